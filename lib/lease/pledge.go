package lease

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// avoidAfterHandoff is how long a host does not pledge to an owner that has just handed over: the heartbeat that
// says why (a leaving flag, a better host) arrives within this time or is lost.
const avoidAfterHandoff = 300 * time.Millisecond

// vote is this host's pledge of one upstream.
type vote struct {
	// to is the owner pledged to, empty if there is none.
	to  ident.HostID
	inc ident.Incarnation
	// sent reports that a heartbeat carried the pledge. The owner counts it until expiry at the latest.
	sent   bool
	expiry time.Duration
	// echo is the highest sequence number echoed with the pledge.
	echo uint64
	// quietAt is the time from which no slots granted by former owners on the strength of this pledge are in use,
	// apart from those that the owner of incarnation previous listed in its handoff of this number. Those are free
	// from previousUntil on.
	quietAt       time.Duration
	previous      ident.Incarnation
	handoff       uint64
	previousUntil time.Duration
	// avoid is not pledged to until avoidUntil.
	avoid      ident.HostID
	avoidUntil time.Duration
}

// pledge is another host's pledge to this host, or this host's to itself.
type pledge struct {
	host ident.HostID
	inc  ident.Incarnation
	// seq is that of the heartbeat that carried the pledge.
	seq uint64
	// until is the end of the pledge, usableAt the time from which it counts.
	until, usableAt time.Duration
	previous        ident.Incarnation
	handoff         uint64
	// first is the time of the first pledge with this previous owner.
	first time.Duration
}

// handed records that an owner handed the upstream over, with no slots in use after quietAt but those listed.
type handed struct {
	inc     ident.Incarnation
	seq     uint64
	at      time.Duration
	quietAt time.Duration
	limit   int
	budget  time.Duration
}

// stepVote moves this host's pledge of an upstream towards the owner in its view. A host that is not in the host
// list does not pledge: the other hosts need not count it among the members.
func (s *State) stepVote(now time.Duration, u *unit) {
	if u.DataCentre != s.settings.DataCentre || now < s.pledgeFrom && !s.guards.noRestartWait {
		return
	}
	v := &u.vote
	listed := s.table.Self().Listed
	if v.to != "" && (v.to != u.best || v.inc != u.bestInc || !listed) {
		s.release(now, u)
	}
	if v.to != "" || !listed || u.best == "" || u.best == v.avoid && now < v.avoidUntil {
		return
	}
	v.to, v.inc = u.best, u.bestInc
	v.sent, v.echo, v.expiry = false, 0, 0
	if v.to == s.settings.Host {
		s.pledgeSelf(now, u)
	}
}

// release takes the pledge back if the owner certainly counts it no more.
func (s *State) release(now time.Duration, u *unit) {
	v := &u.vote
	host, _ := s.table.Get(v.to)
	ended := v.expiry
	switch {
	case !v.sent:
	case v.to == s.settings.Host:
		ended = now
	case host.Incarnation != 0 && host.Incarnation != v.inc:
		// The former incarnation has ended, unless a very late heartbeat of an older one made it seem so.
		ended = max(now, v.expiry)
	case now < v.expiry:
		return
	}
	if v.to == s.settings.Host {
		s.forgetPledge(u, s.settings.Host)
	}
	if v.sent {
		v.quietAt = max(v.quietAt, ended+s.hold(u))
		v.previous = 0
	}
	v.to = ""
}

// pledgeSelf counts this host's pledge to itself, which needs no heartbeat and holds until it is released.
func (s *State) pledgeSelf(now time.Duration, u *unit) {
	v := &u.vote
	v.sent = true
	v.forgetPrevious(now)
	p := pledge{
		host: v.to, inc: v.inc, until: member.Never, usableAt: v.quietAt,
		previous: v.previous, handoff: v.handoff, first: now,
	}
	u.term.pledges = append(u.term.pledges, p)
	s.weigh(now, u)
}

func (v *vote) forgetPrevious(now time.Duration) {
	if now >= v.previousUntil {
		v.previous, v.handoff = 0, 0
	}
}

// Pledges returns the pledges for the heartbeat that is sent to a host now. It must be called in the same step as
// member.Table.DueHeartbeats, whose heartbeat they belong to.
func (s *State) Pledges(now time.Duration, to ident.HostID) []member.Pledge {
	s.Advance(now)
	seq, at := s.table.Echo(to)
	if seq == 0 || !s.table.Self().Listed {
		return nil
	}
	var out []member.Pledge
	for _, u := range s.order {
		v := &u.vote
		if v.to != to || u.best != to || v.inc != u.bestInc {
			continue
		}
		v.sent = true
		v.echo = seq
		v.expiry = max(v.expiry, at+s.settings.Pledge)
		v.forgetPrevious(now)
		p := member.Pledge{Upstream: u.ID, Previous: v.previous, Handoff: v.handoff, Wait: max(0, v.quietAt-now)}
		out = append(out, p)
	}
	return out
}

// Heartbeat takes in the pledges of a heartbeat that the table has received with the given result.
func (s *State) Heartbeat(now time.Duration, from ident.HostID, inc ident.Incarnation, r member.Receipt, hb *member.Heartbeat) {
	s.Advance(now)
	if !r.Accepted || !r.IncarnationMatches {
		return
	}
	for i := range hb.Pledges {
		p := &hb.Pledges[i]
		u, ok := s.units[p.Upstream]
		if !ok || !r.Echoed || hb.Echo <= u.term.after {
			continue
		}
		s.accept(now, u, pledge{
			host: from, inc: inc, seq: hb.Seq, until: r.EchoedSentAt + s.settings.Pledge,
			usableAt: now + p.Wait, previous: p.Previous, handoff: p.Handoff, first: now,
		})
	}
	for _, u := range s.order {
		if slices.ContainsFunc(u.term.pledges, func(p pledge) bool { return p.host == from && p.seq != hb.Seq }) {
			s.withdraw(now, u, from)
		}
	}
}

// accept stores a pledge in place of the host's last one.
func (s *State) accept(now time.Duration, u *unit, p pledge) {
	t := &u.term
	at := slices.IndexFunc(t.pledges, func(q pledge) bool { return q.host == p.host })
	if at < 0 {
		t.pledges = append(t.pledges, p)
		s.weigh(now, u)
		return
	}
	q := t.pledges[at]
	if q.inc == p.inc && q.previous == p.previous && q.handoff == p.handoff {
		p.first = q.first
	}
	t.pledges[at] = p
	// A renewal of a pledge that counts already changes nothing but its end.
	if q.inc == p.inc && q.until > now && s.counts(now, u, &q) && s.counts(now, u, &p) {
		return
	}
	s.weigh(now, u)
}

// withdraw removes a pledge that the host's newest heartbeat does not repeat.
func (s *State) withdraw(now time.Duration, u *unit, host ident.HostID) {
	if s.forgetPledge(u, host) {
		s.settle(now, u)
	}
}

func (s *State) forgetPledge(u *unit, host ident.HostID) bool {
	t := &u.term
	n := len(t.pledges)
	t.pledges = slices.DeleteFunc(t.pledges, func(p pledge) bool { return p.host == host })
	t.stale = true
	return len(t.pledges) < n
}

// weigh makes the next use of the share count the pledges anew, and settles the unit.
func (s *State) weigh(now time.Duration, u *unit) {
	u.term.stale = true
	s.settle(now, u)
}

// counts reports whether a pledge may be used now.
func (s *State) counts(now time.Duration, u *unit, p *pledge) bool {
	if s.guards.noHold {
		return now < p.until
	}
	return now < p.until && now >= s.usableAt(u, p)
}

// usableAt returns the time from which no slot granted on the strength of this pledge by a former owner is in use,
// apart from those this host knows of.
func (s *State) usableAt(u *unit, p *pledge) time.Duration {
	if p.previous == 0 {
		return p.usableAt
	}
	for i := range u.term.handed {
		h := &u.term.handed[i]
		if h.inc == p.previous && h.seq >= p.handoff {
			return max(p.usableAt, h.quietAt)
		}
	}
	return max(p.usableAt, p.first+s.hold(u))
}

// share returns the slots that this host may grant in total.
func (s *State) share(now time.Duration, u *unit) int {
	t := &u.term
	if t.stale || now >= t.shareUntil || t.shareRevision != s.table.Revision() {
		s.count(now, u)
	}
	if u.Out || t.draining {
		return 0
	}
	members := len(s.table.Members(u.DataCentre))
	if members == 0 || t.counted == 0 {
		return 0
	}
	slots := t.limit * t.counted
	if t.majority || s.guards.roundUp {
		slots += members - 1
	}
	return min(slots/members, t.limit)
}

// count counts the pledges and notes when the result changes by time alone.
func (s *State) count(now time.Duration, u *unit) {
	t := &u.term
	members := s.table.Members(u.DataCentre)
	t.stale = false
	t.shareRevision = s.table.Revision()
	t.shareUntil = member.Never
	t.counted = 0
	t.members = len(members)
	lowest := false
	for i := range t.pledges {
		p := &t.pledges[i]
		if p.until > now {
			t.shareUntil = min(t.shareUntil, p.until)
		}
		if from := s.usableAt(u, p); from > now {
			t.shareUntil = min(t.shareUntil, from)
		}
		at, isMember := slices.BinarySearch(members, p.host)
		if !isMember || !s.counts(now, u, p) {
			continue
		}
		t.counted++
		lowest = lowest || at == 0
	}
	t.majority = 2*t.counted > len(members) || lowest && 2*t.counted == len(members)
	s.setOwning(now, u, t.counted > 0)
}

// setOwning starts or ends the term of this host as an owner. A term starts with what the last owner handed over
// recently, and otherwise from the cold limit.
func (s *State) setOwning(now time.Duration, u *unit, owning bool) {
	t := &u.term
	if t.owning == owning {
		return
	}
	t.owning = owning
	if !owning {
		t.fall(u.ColdSlots)
		return
	}
	t.budget, t.budgetAt = 0, now
	t.heardAt = now
	for i := range t.handed {
		h := &t.handed[i]
		if h.limit > 0 && now-h.at < s.settings.Pledge+s.hold(u) {
			t.limit = min(max(h.limit, u.ColdSlots), u.Slots)
			t.budget = h.budget
		}
	}
}

// handOver ends the own term: every slot this host granted is listed for the next owner, and nothing is granted on
// the strength of the pledges made until now.
func (s *State) handOver(now time.Duration, u *unit) {
	t := &u.term
	if len(t.pledges) == 0 && t.total(now) == 0 {
		return
	}
	share := s.share(now, u)
	s.handoffSeq++
	tr := Transfer{Upstream: u.ID, Seq: s.handoffSeq, Wait: s.unknownWait(now, u)}
	if t.owning && share > 0 {
		tr.Limit = t.limit
		tr.Budget = t.refill(now, u)
	}
	s.expose(now, u)
	for _, f := range t.foreign {
		o := Outstanding{Host: f.host, Incarnation: f.inc, Epoch: f.epoch, Slots: f.slots, For: f.until - now}
		tr.Outstanding = append(tr.Outstanding, o)
	}
	s.queueHandoff(tr)
	s.endTerm(now, u, tr)
}

// unknownWait is the time after which the slots of former owners that did not hand over to this host are free.
func (s *State) unknownWait(now time.Duration, u *unit) time.Duration {
	var wait time.Duration
	for i := range u.term.pledges {
		p := &u.term.pledges[i]
		if p.previous != 0 {
			wait = max(wait, s.usableAt(u, p)-now)
		}
	}
	for _, h := range u.term.handed {
		wait = max(wait, h.quietAt-now)
	}
	return wait
}

func (s *State) queueHandoff(tr Transfer) {
	for _, id := range s.table.Members(s.settings.DataCentre) {
		if host, _ := s.table.Get(id); id == s.settings.Host || !host.Reachable {
			continue
		}
		at := slices.IndexFunc(s.handoffs, func(m Message) bool { return m.To == id })
		if at < 0 {
			at = len(s.handoffs)
			s.handoffs = append(s.handoffs, Message{To: id, Handoff: &Handoff{After: s.table.Seq()}})
		}
		h := s.handoffs[at].Handoff
		h.Upstreams = append(h.Upstreams, tr)
	}
}

// endTerm forgets the pledges received; this host may be pledged to again with heartbeats sent from now on.
func (s *State) endTerm(now time.Duration, u *unit, tr Transfer) {
	t := &u.term
	t.after = s.table.Seq()
	t.pledges = t.pledges[:0]
	t.stale = true
	t.addHanded(handed{inc: s.settings.Incarnation, seq: tr.Seq, at: now, quietAt: now + tr.Wait})
	s.freeVote(now, u, s.settings.Host, s.settings.Incarnation, tr.Seq)
	s.table.HeartbeatNow(now)
}

// freeVote releases this host's pledge to an owner that handed over.
func (s *State) freeVote(now time.Duration, u *unit, owner ident.HostID, inc ident.Incarnation, seq uint64) {
	v := &u.vote
	if v.to != owner || v.inc != inc {
		return
	}
	if v.sent {
		v.previous, v.handoff = inc, seq
		v.previousUntil = now + s.hold(u)
	}
	v.to = ""
	v.avoid, v.avoidUntil = owner, now+avoidAfterHandoff
}

// Handoff takes in the end of another host's ownership.
func (s *State) Handoff(now time.Duration, from ident.HostID, inc ident.Incarnation, h *Handoff) {
	s.Advance(now)
	if from == s.settings.Host {
		return
	}
	for i := range h.Upstreams {
		tr := &h.Upstreams[i]
		u, ok := s.units[tr.Upstream]
		if !ok {
			continue
		}
		s.inherit(now, u, inc, tr)
		if u.vote.to == from && u.vote.echo <= h.After {
			s.freeVote(now, u, from, inc, tr.Seq)
			s.table.HeartbeatNow(now)
		}
		s.stepVote(now, u)
		s.settle(now, u)
	}
}

// inherit notes the slots that are outstanding under an owner that handed over.
func (s *State) inherit(now time.Duration, u *unit, inc ident.Incarnation, tr *Transfer) {
	t := &u.term
	for _, o := range tr.Outstanding {
		if o.Slots > 0 && o.For > 0 {
			t.addForeign(foreign{host: o.Host, inc: o.Incarnation, epoch: o.Epoch, slots: o.Slots, until: now + o.For})
		}
	}
	t.addHanded(handed{
		inc: inc, seq: tr.Seq, at: now, quietAt: now + max(0, tr.Wait), limit: tr.Limit, budget: tr.Budget,
	})
	t.stale = true
}
