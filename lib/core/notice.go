package core

import (
	"strconv"
	"time"

	"sardinecross.example/lib/common/ident"
)

// noticeInterval is the minimum time between two notices with the same name and subject. Without it, an overload
// would flood the log.
const noticeInterval = time.Second

// noticeKey is the name of a notice and the subject that it is about.
type noticeKey struct{ name, subject string }

// noticeLimiter holds the time of the last notice for each key and the number of notices suppressed since.
type noticeLimiter map[noticeKey]*noticeRecord

type noticeRecord struct {
	at      time.Duration
	skipped int
}

// maxNoticeRecords bounds noticeLimiter. All records are dropped when it is reached.
const maxNoticeRecords = 4096

func (s *State) notice(warn bool, name string, attrs ...string) {
	n := Notice{Warn: warn, Name: name}
	for i := 0; i+1 < len(attrs); i += 2 {
		n.Attrs = append(n.Attrs, NoticeAttr{Key: attrs[i], Value: attrs[i+1]})
	}
	s.emit(n)
}

// rateLimitedNotice emits at most one warning per noticeInterval for a name and subject, with the number of those
// suppressed before it.
func (s *State) rateLimitedNotice(name, subject string, attrs ...string) {
	key := noticeKey{name: name, subject: subject}
	c := s.notices[key]
	if c != nil && s.now-c.at < noticeInterval {
		c.skipped++
		return
	}
	if c == nil {
		s.boundNoticeRecords()
		c = &noticeRecord{}
		s.notices[key] = c
	}
	if c.skipped > 0 {
		attrs = append(attrs, "skipped", strconv.Itoa(c.skipped))
	}
	*c = noticeRecord{at: s.now}
	s.notice(true, name, attrs...)
}

func (s *State) boundNoticeRecords() {
	if len(s.notices) >= maxNoticeRecords {
		clear(s.notices)
	}
}

func (s *State) countRefusal(class ident.ClassName, reason Reason) {
	s.counters.Refused[reason]++
	s.rateLimitedNotice("refused", string(reason), "reason", string(reason), "class", string(class))
}

// updateEjections ejects outliers and readmits upstreams that recovered. It also reports changed owners and limits.
func (s *State) updateEjections() {
	if s.now < s.nextEjectionCheck {
		return
	}
	s.nextEjectionCheck = s.now + ejectionCheckInterval
	for _, svc := range s.topo.sortedServices {
		for _, c := range svc.classes {
			s.updateClassEjections(c)
		}
		if svc.slotsRequested && s.now-svc.lastStart > spareSlotPeriod {
			// The service is no longer in use, so its dispatch withdraws the request for a spare slot.
			s.topo.markDirty(svc)
		}
	}
	s.reportOwnership()
}

// ejectionCheckInterval is the minimum time between two checks for outliers. A check never causes a step of its own.
const ejectionCheckInterval = 50 * time.Millisecond

func (s *State) updateClassEjections(c *class) {
	for _, change := range c.policy.Tracker.UpdateEjections(s.now) {
		name := "returned"
		if change.Ejected {
			name = "ejected"
			s.counters.Ejections++
		}
		s.notice(change.Ejected, name, "upstream", string(change.Upstream), "class", string(c.name))
		s.topo.markDirty(c.service)
	}
}

// reportOwnership reports how many upstreams changed their owner since the last check, and the upstreams owned by
// this host whose limit fell.
func (s *State) reportOwnership() {
	if s.ownersRevision != s.members.Revision() {
		s.ownersRevision = s.members.Revision()
		s.reportOwnerChanges()
	}
	if s.now < s.nextLimitCheck {
		return
	}
	s.nextLimitCheck = s.now + limitCheckInterval
	for _, e := range s.topo.entries {
		if u := s.topo.upstreams[ident.UpstreamID(e.ID)]; u != nil && e.Role == RoleUpstream {
			s.reportLimitFall(u)
		}
	}
}

// limitCheckInterval is the minimum time between two comparisons of the limits of this host's own upstreams.
const limitCheckInterval = time.Second

func (s *State) reportOwnerChanges() {
	changed := 0
	for _, u := range s.topo.upstreams {
		owner, _ := s.leases.Owner(u.id)
		if owner != u.reportedOwner {
			u.reportedOwner = owner
			changed++
		}
	}
	if changed > 0 {
		s.notice(false, "owners", "changed", strconv.Itoa(changed))
	}
}

func (s *State) reportLimitFall(u *upstream) {
	if u.reportedOwner != s.cfg.Host {
		u.lastLimit = 0
		return
	}
	st, ok := s.leases.Status(s.now, u.id)
	if ok && st.Limit < u.lastLimit {
		s.rateLimitedNotice("limitFell", string(u.id), "upstream", string(u.id), "limit", strconv.Itoa(st.Limit))
	}
	u.lastLimit = st.Limit
}
