package core

import (
	"strconv"
	"time"

	"sardinecross.example/lib/common/ident"
)

// noticeInterval is the least time between two notices of one kind about one thing; overload would fill the log otherwise.
const noticeInterval = time.Second

// noticeKey is a kind of notice and what it is about.
type noticeKey struct{ name, about string }

// noticeLimit holds the time of the last notice and the number left out since.
type noticeLimit map[noticeKey]*noticeCount

type noticeCount struct {
	at      time.Duration
	skipped int
}

// noticesKept bounds noticeLimit; old entries are dropped when it is reached.
const noticesKept = 4096

func (s *State) notice(warn bool, name string, attrs ...string) {
	n := Notice{Warn: warn, Name: name}
	for i := 0; i+1 < len(attrs); i += 2 {
		n.Attrs = append(n.Attrs, NoticeAttr{Key: attrs[i], Value: attrs[i+1]})
	}
	s.emit(n)
}

// noticeEach sends at most one notice in an interval, with the number of those left out.
func (s *State) noticeEach(name, about string, attrs ...string) {
	key := noticeKey{name: name, about: about}
	c := s.notices[key]
	if c != nil && s.now-c.at < noticeInterval {
		c.skipped++
		return
	}
	if c == nil {
		s.dropNotices()
		c = &noticeCount{}
		s.notices[key] = c
	}
	if c.skipped > 0 {
		attrs = append(attrs, "skipped", strconv.Itoa(c.skipped))
	}
	*c = noticeCount{at: s.now}
	s.notice(true, name, attrs...)
}

func (s *State) dropNotices() {
	if len(s.notices) >= noticesKept {
		clear(s.notices)
	}
}

func (s *State) countRefusal(class ident.ClassName, reason Reason) {
	s.counters.Refused[reason]++
	s.noticeEach("refused", string(reason), "reason", string(reason), "class", string(class))
}

// judgeStragglers ejects and brings back upstreams.
func (s *State) judgeStragglers() {
	if s.now < s.judgeAt {
		return
	}
	s.judgeAt = s.now + judgeInterval
	for _, svc := range s.topo.order {
		for _, c := range svc.classes {
			s.judgeClass(c)
		}
		if svc.wanting && s.now-svc.lastStart > spareFor {
			// Takes back the wish for a spare slot of a service that is no longer in use.
			s.topo.mark(svc)
		}
	}
	s.watchOwners()
}

// judgeInterval is how often stragglers are looked for, in steps that happen anyway.
const judgeInterval = 50 * time.Millisecond

func (s *State) judgeClass(c *class) {
	for _, change := range c.policy.Tracker.UpdateEjections(s.now) {
		name := "returned"
		if change.Ejected {
			name = "ejected"
			s.counters.Ejections++
		}
		s.notice(change.Ejected, name, "upstream", string(change.Upstream), "class", string(c.name))
		s.topo.mark(c.service)
	}
}

// watchOwners reports the upstreams whose owner changed since the last look, and those of this host's own whose limit fell.
func (s *State) watchOwners() {
	if s.ownersAt != s.table.Revision() {
		s.ownersAt = s.table.Revision()
		s.compareOwners()
	}
	if s.now < s.limitsAt {
		return
	}
	s.limitsAt = s.now + limitInterval
	for _, e := range s.topo.entries {
		if u := s.topo.upstreams[ident.UpstreamID(e.ID)]; u != nil && e.Role == RoleUpstream {
			s.watchLimit(u)
		}
	}
}

// limitInterval is how often the limits of the own upstreams are compared.
const limitInterval = time.Second

func (s *State) compareOwners() {
	changed := 0
	for _, u := range s.topo.upstreams {
		owner, _ := s.slots.Owner(u.id)
		if owner != u.owner {
			u.owner = owner
			changed++
		}
	}
	if changed > 0 {
		s.notice(false, "owners", "changed", strconv.Itoa(changed))
	}
}

func (s *State) watchLimit(u *upstream) {
	if u.owner != s.cfg.Host {
		u.limit = 0
		return
	}
	st, ok := s.slots.Status(s.now, u.id)
	if ok && st.Limit < u.limit {
		s.noticeEach("limitFell", string(u.id), "upstream", string(u.id), "limit", strconv.Itoa(st.Limit))
	}
	u.limit = st.Limit
}
