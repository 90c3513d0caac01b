package lease

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// connKept is how long an unused connection is taken to stay open.
const connKept = 60 * time.Second

// claim is the holder's part of one upstream.
type claim struct {
	owner    ident.HostID
	ownerInc ident.Incarnation
	// epoch counts the changes of owner and the voided accounts.
	epoch uint64
	// inFlight <= held at all times; the difference is the idle slots, which may be used before leaseEnd.
	inFlight, held int
	leaseEnd       time.Duration
	// keep is that of the last allowance.
	keep int
	// want is the unmet demand, asked the part of it that the owner knows.
	want, asked int
	// seen is the highest total received in the epoch.
	seen uint64
	// leastIdle is the smallest number of idle slots since the last housekeeping; slots that were idle for all
	// that time are returned.
	leastIdle int
	conns     int
	usedAt    time.Duration
	// report is the totals of the epoch, told those that the owner has answered.
	report, told Report
	// sent is the last demand, sentAt its time. The line is settled when the owner has answered an empty demand.
	sent    Demand
	sentAt  time.Duration
	settled bool
	// dirty reports that the unit is in the next request to its owner.
	dirty bool
}

// contact is one owner that requests are sent to.
type contact struct {
	// dirty holds the units of the next request.
	dirty []*unit
	// due is the time of the next request, last that of the last one.
	due, last time.Duration
}

// Permit is the right to send one request to an upstream.
type Permit struct {
	// StartBy is the last time at which the first byte may leave.
	StartBy time.Duration
	// Deadline is the end of the attempt: the one asked for, or the longest that other hosts wait for.
	Deadline time.Duration
}

// Start takes a free slot for one request, if the lease is valid now. The slot is in use until End.
func (s *State) Start(now time.Duration, id ident.UpstreamID, deadline time.Duration) (Permit, bool) {
	u, ok := s.units[id]
	if !ok {
		return Permit{}, false
	}
	c := &u.claim
	if now >= c.leaseEnd || c.inFlight >= c.held || u.Out {
		return Permit{}, false
	}
	c.inFlight++
	c.usedAt = now
	c.leastIdle = min(c.leastIdle, c.held-c.inFlight)
	return Permit{StartBy: c.leaseEnd, Deadline: min(deadline, now+u.startDeadline)}, true
}

// Free returns the number of slots that Start would give now.
func (s *State) Free(now time.Duration, id ident.UpstreamID) int {
	u, ok := s.units[id]
	if !ok || now >= u.claim.leaseEnd || u.Out {
		return 0
	}
	return u.claim.held - u.claim.inFlight
}

// InFlight returns the number of this host's requests in flight at an upstream.
func (s *State) InFlight(id ident.UpstreamID) int {
	u, ok := s.units[id]
	if !ok {
		return 0
	}
	return u.claim.inFlight
}

// Ending is what the end of a request showed.
type Ending struct {
	// Completed reports a whole answer that was not shed.
	Completed bool
	// NewConn reports that the request opened a connection.
	NewConn bool
	// Draining reports that the upstream said so.
	Draining bool
}

// End returns the slot of a request to the host's slots.
func (s *State) End(now time.Duration, id ident.UpstreamID, e Ending) {
	s.Advance(now)
	u, ok := s.units[id]
	if !ok || u.claim.inFlight == 0 {
		return
	}
	c := &u.claim
	c.inFlight--
	c.usedAt = now
	c.settled = false
	if e.Completed {
		c.report.Completed++
		c.report.Draining = false
	}
	if e.NewConn {
		c.report.NewConns++
		c.conns = min(c.conns+1, u.Slots)
	}
	if e.Draining && !c.report.Draining {
		c.report.Draining = true
		s.mark(now, u, true)
	}
	s.shrink(now, u, c.keep)
}

// Signal reports a strong sign that the upstream is cold. Idle slots go back at once: the owner has to decide anew.
func (s *State) Signal(now time.Duration, id ident.UpstreamID) {
	s.Advance(now)
	u, ok := s.units[id]
	if !ok {
		return
	}
	c := &u.claim
	c.report.Signals++
	c.conns = 0
	c.settled = false
	c.keep = 0
	s.shrink(now, u, 0)
	s.mark(now, u, true)
}

// Want sets the number of queued requests that could use another slot of the upstream now.
func (s *State) Want(now time.Duration, id ident.UpstreamID, n int) {
	s.Advance(now)
	u, ok := s.units[id]
	if !ok || u.claim.want == n || u.Out && n > 0 {
		return
	}
	c := &u.claim
	c.want = n
	c.settled = false
	// A want that stays known after the request went elsewhere brings slots that nobody uses.
	if n != c.asked {
		s.mark(now, u, true)
	}
}

// Return gives back the idle slots of an upstream but for a number to keep.
func (s *State) Return(now time.Duration, id ident.UpstreamID, idle int) {
	s.Advance(now)
	if u, ok := s.units[id]; ok {
		s.shrink(now, u, u.claim.inFlight+idle)
	}
}

// shrink returns idle slots above keep. A slot that the owner called back is returned at once.
func (s *State) shrink(now time.Duration, u *unit, keep int) {
	c := &u.claim
	held := max(c.inFlight, min(c.held, keep))
	if held == c.held {
		return
	}
	c.held = held
	c.leastIdle = min(c.leastIdle, held-c.inFlight)
	c.settled = false
	s.mark(now, u, true)
}

// trimClaim returns the slots that were idle since the last housekeeping, or all idle slots of an expired lease.
func (s *State) trimClaim(now time.Duration, u *unit) {
	c := &u.claim
	if now >= c.leaseEnd {
		s.shrink(now, u, 0)
	} else if c.leastIdle > 0 {
		s.shrink(now, u, c.held-c.leastIdle)
	}
	c.leastIdle = c.held - c.inFlight
	if c.conns > 0 && now-c.usedAt > connKept {
		c.conns = 0
	}
}

// follow makes the holder use the owner in this host's view. Nothing is started under the former owner's lease.
func (s *State) follow(now time.Duration, u *unit) {
	c := &u.claim
	if c.owner == u.best && c.ownerInc == u.bestInc {
		return
	}
	s.unmark(u)
	c.owner, c.ownerInc = u.best, u.bestInc
	s.newEpoch(now, u)
}

// newEpoch gives up all slots but those in use. What was not told to the former owner is reported to the next.
func (s *State) newEpoch(now time.Duration, u *unit) {
	c := &u.claim
	c.epoch++
	c.held = c.inFlight
	c.leastIdle = 0
	c.leaseEnd = 0
	c.keep = 0
	c.seen = 0
	c.sentAt = -1
	c.asked = 0
	c.sent = Demand{}
	c.report.Completed -= c.told.Completed
	c.report.NewConns -= c.told.NewConns
	c.report.Signals -= c.told.Signals
	c.told = Report{}
	c.settled = c.held == 0 && c.want == 0 && c.report == Report{}
	if !c.settled {
		s.mark(now, u, true)
	}
}

// mark puts the unit into the next request to its owner, which is sent soon if urgent.
func (s *State) mark(now time.Duration, u *unit, urgent bool) {
	c := &u.claim
	if c.owner == "" {
		return
	}
	k, ok := s.contacts[c.owner]
	if !ok {
		k = &contact{due: member.Never, last: -s.settings.Gather}
		s.contacts[c.owner] = k
	}
	if !c.dirty {
		c.dirty = true
		k.dirty = append(k.dirty, u)
	}
	switch {
	case c.owner == s.settings.Host || !urgent:
		k.due = min(k.due, now)
	default:
		k.due = min(k.due, max(now, k.last+s.settings.Gather))
	}
}

func (s *State) unmark(u *unit) {
	c := &u.claim
	if !c.dirty {
		return
	}
	c.dirty = false
	k := s.contacts[c.owner]
	k.dirty = slices.DeleteFunc(k.dirty, func(v *unit) bool { return v == u })
}

// renewAll puts every line that the owners have to know into the requests sent now.
func (s *State) renewAll(now time.Duration) {
	for _, u := range s.order {
		if !u.claim.settled {
			s.mark(now, u, false)
		}
	}
}

// flushRequests builds the requests that are due; the one to this host is handled at once.
func (s *State) flushRequests(now time.Duration, out []Message) []Message {
	for _, id := range s.contactOrder(now) {
		k := s.contacts[id]
		units := k.dirty
		k.dirty = nil
		k.due = member.Never
		k.last = now
		r := &Request{SentAt: now, Upstreams: make([]Demand, 0, len(units))}
		for _, u := range units {
			u.claim.dirty = false
			r.Owner = u.claim.ownerInc
			r.Upstreams = append(r.Upstreams, s.demandOf(now, u))
		}
		s.requestSeq++
		r.Seq = s.requestSeq
		if id == s.settings.Host {
			s.takeRequest(now, id, s.settings.Incarnation, r)
			continue
		}
		out = append(out, Message{To: id, Request: r})
	}
	return out
}

// contactOrder returns the owners with due requests by ascending ID, so that a step has one result.
func (s *State) contactOrder(now time.Duration) []ident.HostID {
	var ids []ident.HostID
	for id, k := range s.contacts {
		if k.due <= now && len(k.dirty) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// demandOf returns the line of a request. Idle slots of an expired lease are not held any more.
func (s *State) demandOf(now time.Duration, u *unit) Demand {
	c := &u.claim
	if now >= c.leaseEnd {
		c.held = c.inFlight
		c.leastIdle = 0
	}
	c.sent = Demand{
		Upstream: u.ID, Epoch: c.epoch, Want: c.want, Held: c.held, Seen: c.seen,
		Conns: max(c.conns, c.inFlight), Report: c.report,
	}
	c.sentAt = now
	c.asked = c.want
	return c.sent
}

// Grant takes in an owner's grant.
func (s *State) Grant(now time.Duration, from ident.HostID, inc ident.Incarnation, g *Grant) {
	s.Advance(now)
	if g.Holder != s.settings.Incarnation || !s.inOrder(now, from, inc, 0, g.Seq) {
		return
	}
	s.takeGrant(now, from, inc, g)
}

func (s *State) takeGrant(now time.Duration, from ident.HostID, inc ident.Incarnation, g *Grant) {
	for i := range g.Upstreams {
		a := &g.Upstreams[i]
		u, ok := s.units[a.Upstream]
		if !ok || u.claim.owner != from || u.claim.ownerInc != inc || u.claim.epoch != a.Epoch {
			continue
		}
		if a.Void {
			s.newEpoch(now, u)
			continue
		}
		s.allow(now, u, a)
	}
}

// allow applies an allowance: it extends the lease, adds slots if the lease is valid, and bounds those kept.
func (s *State) allow(now time.Duration, u *unit, a *Allowance) {
	c := &u.claim
	expired := now >= c.leaseEnd
	c.leaseEnd = max(c.leaseEnd, a.SentAt+s.settings.Lease)
	valid := now < c.leaseEnd
	if expired && !valid {
		c.held = c.inFlight
	}
	added := 0
	if a.Total > c.seen {
		added = int(a.Total - c.seen)
		c.seen = a.Total
		c.settled = false
	}
	if !valid {
		added = 0
	}
	c.keep = a.Keep
	c.held += added
	if added > 0 {
		c.want = max(0, c.want-added)
		c.asked = max(0, c.asked-added)
		s.ready = append(s.ready, u.ID)
	}
	s.shrink(now, u, c.keep)
	s.settleLine(u, a)
}

// settleLine ends the renewal of a line whose empty demand the owner has answered.
func (s *State) settleLine(u *unit, a *Allowance) {
	c := &u.claim
	if a.SentAt != c.sentAt {
		return
	}
	c.told = c.sent.Report
	empty := c.held == 0 && c.want == 0 && c.sent.Held == 0 && c.sent.Want == 0
	c.settled = empty && c.sent.Seen == c.seen && c.sent.Report == c.report
}
