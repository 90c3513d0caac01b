package core

import (
	"time"

	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/policy"
)

const (
	// recheckInterval is the time after which a service with waiting requests is looked at again without an event:
	// to ask further owners for slots, to use another data centre, or to end a request whose deadline passed.
	recheckInterval = 3 * time.Millisecond
	// spareFor is how long after its last start a service keeps one spare slot, so that the next request does
	// not wait for a round trip to an owner.
	spareFor = 100 * time.Millisecond
	// contendedFor is how long after a request waited for further owners a service keeps no spare slot: hosts that each keep one
	// take more than is free at 70% of all slots.
	contendedFor = time.Second
)

// markReady marks the services of the upstreams that gained free slots, and reports whether there were any.
func (s *State) markReady() bool {
	ready := s.slots.Ready()
	for _, id := range ready {
		if u := s.topo.upstreams[id]; u != nil {
			s.topo.mark(u.service)
		}
	}
	return len(ready) > 0
}

// dispatchDirty starts what can start. Refusals can mark further services.
func (s *State) dispatchDirty() {
	for len(s.topo.dirty) > 0 {
		last := len(s.topo.dirty) - 1
		svc := s.topo.dirty[last]
		s.topo.dirty = s.topo.dirty[:last]
		svc.dirty = false
		s.dispatch(svc)
	}
}

// dispatch starts the waiting requests of one service while there are slots for them.
func (s *State) dispatch(svc *service) {
	blocked := func(p *policy.Class) bool { return s.blocked[p] }
	for {
		p := svc.ranks.Next(blocked)
		if p == nil {
			break
		}
		r := s.requests[p.Queue.Head().ID]
		if reason, ok := s.expired(r); ok {
			s.refuse(r, reason, RunNo)
			continue
		}
		u := s.choose(r.class, r, false)
		if u == nil {
			s.blocked[p] = true
			continue
		}
		s.unqueue(r)
		svc.ranks.RecordStart(p)
		if s.now-r.queuedAt > recheckInterval {
			svc.contendedUntil = s.now + contendedFor
		}
		if !s.start(r, u) {
			s.refuse(r, ReasonUpstreamFailed, RunNo)
		}
	}
	clear(s.blocked)
	s.returnSurplus(svc)
	s.wantSlots(svc)
	s.arm(svc)
}

// expired returns why a waiting request cannot start any more.
func (s *State) expired(r *request) (Reason, bool) {
	switch {
	case s.now >= r.Deadline:
		return ReasonDeadline, true
	case s.now > r.queuedAt && !r.class.policy.MeetsDeadline(s.now, r.Deadline):
		// A request that does not wait is started all the same, so that a misjudged time cannot shut a class out.
		return ReasonDeadline, true
	case !s.inService():
		return ReasonConfigStale, true
	case len(r.attempts) > 0 && !s.retrySafe(r):
		// Operators changed the class while the retry waited.
		return ReasonUpstreamFailed, true
	case r.started && !s.book.MayStart(s.now, r.ID):
		return ReasonDeadline, true
	default:
		return "", false
	}
}

// arm sets a timer for a service whose requests wait.
func (s *State) arm(svc *service) {
	if svc.armed || svc.ranks.QueueLen() == 0 {
		return
	}
	svc.armed = true
	s.timers.add(timer{at: s.now + recheckInterval, service: svc})
}

// choose returns an upstream with a free leased slot for a request, or nil. The own data centre comes first; others are used
// when the wait for a local slot would exceed the target. A hedge goes to an upstream that was not tried.
func (s *State) choose(c *class, r *request, hedge bool) *upstream {
	zones := c.service.zones
	if s.avoidsLocal(c, r) {
		if u := s.chooseAmong(zones[1:], c, r, hedge); u != nil || s.now-r.queuedAt < recheckInterval {
			return u
		}
	}
	if u := s.chooseIn(zones[0], c, r, hedge); u != nil || !s.spills(c, r) {
		return u
	}
	return s.chooseAmong(zones[1:], c, r, hedge)
}

func (s *State) chooseAmong(zones []*zone, c *class, r *request, hedge bool) *upstream {
	for _, z := range zones {
		if u := s.chooseIn(z, c, r, hedge); u != nil {
			return u
		}
	}
	return nil
}

// avoidsLocal reports that the last attempt of a request should be made in another data centre, because all others failed in the own
// one: what failed there may be common to it.
func (s *State) avoidsLocal(c *class, r *request) bool {
	if len(r.attempts) != maxAttempts-1 || c.service.usable == len(c.service.zones[0].upstreams) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].upstream.dataCentre != s.cfg.DataCentre {
			return false
		}
	}
	return true
}

// chooseIn selects within one data centre. An ejected upstream whose trial is due goes first; one that was tried
// goes last.
func (s *State) chooseIn(z *zone, c *class, r *request, hedge bool) *upstream {
	tracker := &c.policy.Tracker
	s.fresh, s.tried = s.fresh[:0], s.tried[:0]
	for _, u := range z.upstreams {
		if s.slots.FreeSlots(s.now, u.id) == 0 {
			continue
		}
		if tracker.Ejected(u.id) {
			if !hedge && len(r.attempts) == 0 && tracker.TrialDue(u.id, s.now) {
				tracker.RecordTrial(u.id, s.now)
				return u
			}
			continue
		}
		cand := policy.Candidate{Upstream: u.id, InFlight: s.slots.InFlight(u.id)}
		if r.triedAt(u) {
			s.tried = append(s.tried, cand)
			continue
		}
		s.fresh = append(s.fresh, cand)
	}
	candidates := s.fresh
	if len(candidates) == 0 && !hedge && s.mayReturn(c, r) {
		candidates = s.tried
	}
	if len(candidates) == 0 {
		return nil
	}
	return s.topo.upstreams[candidates[tracker.Pick(candidates, s.rand())].Upstream]
}

// mayReturn reports whether a retry may go to an upstream that failed it: there is no other, or the owners of the others had
// the time of a round trip to grant a slot.
func (s *State) mayReturn(c *class, r *request) bool {
	return c.service.usable <= len(r.attempts) || s.now-r.queuedAt >= recheckInterval
}

// spills reports whether a request may leave the own data centre: there is no usable upstream, its attempts there have failed, or the
// wait for a local slot, with the time to answer, would exceed the target of the class.
func (s *State) spills(c *class, r *request) bool {
	local := c.service.zones[0]
	if len(local.upstreams) == 0 || s.avoidsLocal(c, r) {
		return true
	}
	wait := s.now - r.queuedAt
	if held := s.heldIn(local); held > 0 {
		wait += c.policy.EstimatedWait(held)
	}
	return wait+c.policy.SlotTime() > c.def.Target
}

func (s *State) heldIn(z *zone) int {
	n := 0
	for _, u := range z.upstreams {
		n += s.slots.FreeSlots(s.now, u.id) + s.slots.InFlight(u.id)
	}
	return n
}

// slotsOf returns the slots that the host uses or could use at once for a service.
func (s *State) slotsOf(svc *service) int {
	n := 0
	for _, z := range svc.zones {
		n += s.heldIn(z)
	}
	return n
}

// start begins an attempt. This is the only place that does, so the rules on what must hold at that moment are here: the
// configuration is known to be in force, neither the upstream nor its data centre is taken out of service, the book
// allows the request to run, and the slot's lease is valid.
func (s *State) start(r *request, u *upstream) bool {
	if !s.inService() || !u.usable() {
		return false
	}
	if r.started && !s.book.MayStart(s.now, r.ID) {
		return false
	}
	permit, ok := s.slots.Start(s.now, u.id, r.Deadline)
	if !ok {
		return false
	}
	r.attempts = append(r.attempts, attempt{upstream: u, startedAt: s.now, deadline: permit.Deadline})
	r.class.inFlight++
	u.service.lastStart = s.now
	s.counters.Attempts++
	s.emit(StartAttempt{
		ID: r.ID, Attempt: len(r.attempts), Upstream: u.id, Address: u.address, Class: r.className,
		Deadline: permit.Deadline, StartBy: min(permit.StartBy, permit.Deadline),
		Idempotent: r.idempotent, Capture: r.booked,
	})
	s.armHedge(r)
	return true
}

// wantSlots asks the owners for as many slots as requests wait, and for one spare slot while the service is in use. The
// requests are spread over twice as many upstreams each time the first of them has waited for a further recheckInterval,
// since an owner that was asked may have no free slot.
func (s *State) wantSlots(svc *service) {
	need := svc.ranks.QueueLen()
	inUse := s.now-svc.lastStart <= spareFor
	if need == 0 && !svc.wanting && !inUse {
		return
	}
	head, waited, spill := s.pressure(svc)
	spread := need << (1 + min(waited/recheckInterval, 3))
	if need == 0 && inUse && s.spare(svc) > 0 && !s.anyFree(svc) {
		need, spread = 1, 1
	}
	if need > 0 && !svc.wanting {
		svc.rotation++
	}
	svc.wanting = need > 0
	zones := 1
	switch {
	case spill && waited > 4*recheckInterval:
		zones = len(svc.zones)
	case spill:
		zones = 2
	}
	for _, z := range svc.zones {
		if len(z.upstreams) == 0 {
			continue
		}
		if zones == 0 {
			s.wantIn(svc, z, head, 0, 0)
			continue
		}
		zones--
		s.wantIn(svc, z, head, need, spread)
	}
}

// pressure returns the request that has waited longest among the first ones of the classes, its wait, and whether any of them may leave
// the own data centre.
func (s *State) pressure(svc *service) (first *request, waited time.Duration, spill bool) {
	for _, c := range svc.classes {
		head := c.policy.Queue.Head()
		if head == nil {
			continue
		}
		r := s.requests[head.ID]
		if first == nil || s.now-r.queuedAt > waited {
			first, waited = r, s.now-r.queuedAt
		}
		spill = spill || s.spills(c, r)
	}
	return first, waited, spill && len(svc.zones[0].upstreams) > 0
}

func (s *State) anyFree(svc *service) bool {
	for _, z := range svc.zones {
		for _, u := range z.upstreams {
			if s.slots.FreeSlots(s.now, u.id) > 0 {
				return true
			}
		}
	}
	return false
}

// wantIn spreads a number of wanted slots over some upstreams of a zone, each of which is asked for its part. An ejected
// upstream is asked for one slot when its trial is due. Upstreams that failed the first waiting request are not asked while there
// are others.
func (s *State) wantIn(svc *service, z *zone, head *request, need, spread int) {
	n := len(z.upstreams)
	left := min(spread, n)
	each := 0
	if left > 0 {
		each = min((need+left-1)/left, s.cfg.Services[svc.name].Slots)
	}
	for i := range n {
		u := z.upstreams[(svc.rotation+i)%n]
		want := 0
		ejected, trial := s.ejected(svc, u)
		switch {
		case trial:
			want = 1
		case head != nil && head.triedAt(u) && svc.usable > len(head.attempts):
		case !ejected && left > 0:
			want = each
			left--
		}
		if u.want != 0 || want != 0 {
			u.want = want
			s.slots.SetWanted(s.now, u.id, want)
		}
	}
}

// ejected reports whether a class of the service avoids an upstream, and whether one would send it a trial.
func (s *State) ejected(svc *service, u *upstream) (ejected, trial bool) {
	for _, c := range svc.classes {
		tracker := &c.policy.Tracker
		if tracker.EjectedCount() == 0 || !tracker.Ejected(u.id) {
			continue
		}
		ejected = true
		trial = trial || tracker.TrialDue(u.id, s.now)
	}
	return ejected, trial
}

// flushSlots sends the messages of the leases.
func (s *State) flushSlots() {
	for _, m := range s.slots.Outbox(s.now) {
		s.emit(SendPeer{To: m.To, Message: slotMessage(m)})
	}
}

func slotMessage(m lease.Message) Message {
	return Message{SlotRequest: m.Request, SlotGrant: m.Grant, Handoff: m.Handoff}
}

// spare returns the number of idle slots that a service keeps.
func (s *State) spare(svc *service) int {
	if s.now < svc.contendedUntil {
		return 0
	}
	return 1
}

// returnSurplus gives back the idle slots beyond the spare one, for which other hosts may wait.
func (s *State) returnSurplus(svc *service) {
	if svc.ranks.QueueLen() > 0 {
		return
	}
	kept := 0
	for _, z := range svc.zones {
		for _, u := range z.upstreams {
			n := s.slots.FreeSlots(s.now, u.id)
			keep := min(n, s.spare(svc)-kept)
			kept += keep
			if keep < n {
				s.slots.ReturnIdle(s.now, u.id, keep)
			}
		}
	}
}
