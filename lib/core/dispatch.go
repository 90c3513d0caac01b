package core

import (
	"time"

	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/policy"
)

const (
	// recheckInterval is the time after which a service with waiting requests is dispatched again without an event:
	// to request slots from more owners, to spill over to another data centre, or to end a request whose deadline
	// passed.
	recheckInterval = 3 * time.Millisecond
	// spareSlotPeriod is how long after its last start of an attempt a service keeps one spare slot, so that the next
	// request does not wait for a round trip to an owner.
	spareSlotPeriod = 100 * time.Millisecond
	// contentionPeriod is how long a service keeps no spare slot after a request had to wait for slots of further
	// owners. If each host kept a spare slot, the hosts would together take more slots than are free when 70% of all
	// slots are in use.
	contentionPeriod = time.Second
)

// markServicesWithNewSlots marks the services whose upstreams gained free slots for dispatch, and reports whether any
// upstream did.
func (s *State) markServicesWithNewSlots() bool {
	ready := s.leases.Ready()
	for _, id := range ready {
		if u := s.topo.upstreams[id]; u != nil {
			s.topo.markDirty(u.service)
		}
	}
	return len(ready) > 0
}

// dispatchDirty dispatches all marked services. A refusal can mark further services.
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
		if reason, ok := s.startObstacle(r); ok {
			s.refuse(r, reason, RunNo)
			continue
		}
		u := s.chooseUpstream(r.class, r, false)
		if u == nil {
			s.blocked[p] = true
			continue
		}
		s.dequeue(r)
		svc.ranks.RecordStart(p)
		if s.now-r.queuedAt > recheckInterval {
			svc.contendedUntil = s.now + contentionPeriod
		}
		if !s.startAttempt(r, u) {
			s.refuse(r, ReasonUpstreamFailed, RunNo)
		}
	}
	clear(s.blocked)
	s.returnIdleSlots(svc)
	s.requestSlots(svc)
	s.armRecheck(svc)
}

// startObstacle returns the reason for which a waiting request can no longer start, and whether there is one.
func (s *State) startObstacle(r *request) (Reason, bool) {
	switch {
	case s.now >= r.Deadline:
		return ReasonDeadline, true
	case s.now > r.queuedAt && !r.class.policy.MeetsDeadline(s.now, r.Deadline):
		// A request that does not wait is started regardless, so that an overestimated slot time cannot shut out its
		// class.
		return ReasonDeadline, true
	case !s.acceptsWork():
		return ReasonConfigStale, true
	case len(r.attempts) > 0 && !s.retrySafe(r):
		// Operators made the class non-idempotent while the retry waited.
		return ReasonUpstreamFailed, true
	case r.finishPending && !s.dedup.MayStart(s.now, r.ID):
		return ReasonDeadline, true
	default:
		return "", false
	}
}

// armRecheck sets a timer to dispatch a service again while requests wait.
func (s *State) armRecheck(svc *service) {
	if svc.recheckArmed || svc.ranks.QueueLen() == 0 {
		return
	}
	svc.recheckArmed = true
	s.timers.add(timer{at: s.now + recheckInterval, service: svc})
}

// chooseUpstream returns an upstream with a free leased slot for a request, or nil. The host's own data centre comes
// first; others are used when the wait for a local slot would exceed the target. A hedge only goes to an upstream
// that the request has not tried.
func (s *State) chooseUpstream(c *class, r *request, hedge bool) *upstream {
	zones := c.service.zones
	if s.avoidsLocalZone(c, r) {
		if u := s.chooseInZones(zones[1:], c, r, hedge); u != nil || s.now-r.queuedAt < recheckInterval {
			return u
		}
	}
	if u := s.chooseInZone(zones[0], c, r, hedge); u != nil || !s.maySpillOver(c, r) {
		return u
	}
	return s.chooseInZones(zones[1:], c, r, hedge)
}

func (s *State) chooseInZones(zones []*zone, c *class, r *request, hedge bool) *upstream {
	for _, z := range zones {
		if u := s.chooseInZone(z, c, r, hedge); u != nil {
			return u
		}
	}
	return nil
}

// avoidsLocalZone reports whether the last attempt of a request should be made in another data centre. This is so
// when all earlier attempts failed in the host's own data centre, because its upstreams may share the cause of the
// failures.
func (s *State) avoidsLocalZone(c *class, r *request) bool {
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

// chooseInZone chooses an upstream in one data centre. An ejected upstream whose trial is due comes first; an
// upstream that the request has already tried comes last.
func (s *State) chooseInZone(z *zone, c *class, r *request, hedge bool) *upstream {
	tracker := &c.policy.Tracker
	s.untried, s.tried = s.untried[:0], s.tried[:0]
	for _, u := range z.upstreams {
		if s.leases.FreeSlots(s.now, u.id) == 0 {
			continue
		}
		if tracker.Ejected(u.id) {
			if !hedge && len(r.attempts) == 0 && tracker.TrialDue(u.id, s.now) {
				tracker.RecordTrial(u.id, s.now)
				return u
			}
			continue
		}
		cand := policy.Candidate{Upstream: u.id, InFlight: s.leases.InFlight(u.id)}
		if r.triedUpstream(u) {
			s.tried = append(s.tried, cand)
			continue
		}
		s.untried = append(s.untried, cand)
	}
	candidates := s.untried
	if len(candidates) == 0 && !hedge && s.mayRepeatUpstream(c, r) {
		candidates = s.tried
	}
	if len(candidates) == 0 {
		return nil
	}
	return s.topo.upstreams[candidates[tracker.Pick(candidates, s.rand())].Upstream]
}

// mayRepeatUpstream reports whether a retry may go to an upstream that already failed the request. It may if there is
// no other upstream, or if the owners of the others had the time of a round trip to grant a slot.
func (s *State) mayRepeatUpstream(c *class, r *request) bool {
	return c.service.usable <= len(r.attempts) || s.now-r.queuedAt >= recheckInterval
}

// maySpillOver reports whether a request may leave the host's own data centre: no upstream is usable there, the
// request's attempts there have failed, or the wait for a local slot plus the time to answer would exceed the target
// of the class.
func (s *State) maySpillOver(c *class, r *request) bool {
	local := c.service.zones[0]
	if len(local.upstreams) == 0 || s.avoidsLocalZone(c, r) {
		return true
	}
	wait := s.now - r.queuedAt
	if held := s.slotsInZone(local); held > 0 {
		wait += c.policy.EstimatedWait(held)
	}
	return wait+c.policy.SlotTime() > c.def.Target
}

// slotsInZone returns the number of slots in a zone that this host holds, whether free or in use.
func (s *State) slotsInZone(z *zone) int {
	n := 0
	for _, u := range z.upstreams {
		n += s.leases.FreeSlots(s.now, u.id) + s.leases.InFlight(u.id)
	}
	return n
}

// slotsOfService returns the number of slots of a service that this host holds, whether free or in use.
func (s *State) slotsOfService(svc *service) int {
	n := 0
	for _, z := range svc.zones {
		n += s.slotsInZone(z)
	}
	return n
}

// startAttempt starts an attempt and reports whether it could. No other function starts attempts, so everything that
// must hold at that moment is checked here: the configuration is known to be in force, neither the upstream nor its
// data centre is taken out of service, the deduplicator allows the request to run, and the lease of the slot is
// valid.
func (s *State) startAttempt(r *request, u *upstream) bool {
	if !s.acceptsWork() || !u.usable() {
		return false
	}
	if r.finishPending && !s.dedup.MayStart(s.now, r.ID) {
		return false
	}
	permit, ok := s.leases.Start(s.now, u.id, r.Deadline)
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
		Idempotent: r.idempotent, Capture: r.deduplicated,
	})
	s.armHedge(r)
	return true
}

// requestSlots asks the owners for as many slots as requests wait, and for one spare slot while the service is in
// use. An owner that was asked may have no free slot. Therefore the demand is spread over two upstreams for each slot
// needed, and over twice as many after each recheckInterval that the longest waiting request has waited, up to 16.
func (s *State) requestSlots(svc *service) {
	need := svc.ranks.QueueLen()
	inUse := s.now-svc.lastStart <= spareSlotPeriod
	if need == 0 && !svc.slotsRequested && !inUse {
		return
	}
	head, waited, spill := s.longestWaiting(svc)
	spread := need << (1 + min(waited/recheckInterval, 3))
	if need == 0 && inUse && s.spareSlots(svc) > 0 && !s.hasFreeSlot(svc) {
		need, spread = 1, 1
	}
	if need > 0 && !svc.slotsRequested {
		svc.rotation++
	}
	svc.slotsRequested = need > 0
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
			s.requestZoneSlots(svc, z, head, 0, 0)
			continue
		}
		zones--
		s.requestZoneSlots(svc, z, head, need, spread)
	}
}

// longestWaiting returns the request that has waited longest among the heads of the classes' queues, its wait, and
// whether any of the heads may spill over to another data centre.
func (s *State) longestWaiting(svc *service) (first *request, waited time.Duration, spill bool) {
	for _, c := range svc.classes {
		head := c.policy.Queue.Head()
		if head == nil {
			continue
		}
		r := s.requests[head.ID]
		if first == nil || s.now-r.queuedAt > waited {
			first, waited = r, s.now-r.queuedAt
		}
		spill = spill || s.maySpillOver(c, r)
	}
	return first, waited, spill && len(svc.zones[0].upstreams) > 0
}

func (s *State) hasFreeSlot(svc *service) bool {
	for _, z := range svc.zones {
		for _, u := range z.upstreams {
			if s.leases.FreeSlots(s.now, u.id) > 0 {
				return true
			}
		}
	}
	return false
}

// requestZoneSlots spreads the needed slots over a number of upstreams of a zone and asks the owner of each for its
// part. For an ejected upstream, one slot is requested when its trial is due. Upstreams that failed the request head
// are left out while there are others.
func (s *State) requestZoneSlots(svc *service, z *zone, head *request, need, spread int) {
	n := len(z.upstreams)
	left := min(spread, n)
	each := 0
	if left > 0 {
		each = min((need+left-1)/left, s.cfg.Services[svc.name].Slots)
	}
	for i := range n {
		u := z.upstreams[(svc.rotation+i)%n]
		want := 0
		ejected, trial := s.ejectionState(svc, u)
		switch {
		case trial:
			want = 1
		case head != nil && head.triedUpstream(u) && svc.usable > len(head.attempts):
		case !ejected && left > 0:
			want = each
			left--
		}
		if u.wantedSlots != 0 || want != 0 {
			u.wantedSlots = want
			s.leases.SetWanted(s.now, u.id, want)
		}
	}
}

// ejectionState reports whether any class of the service has ejected an upstream, and whether one of these classes is
// due to send it a trial.
func (s *State) ejectionState(svc *service, u *upstream) (ejected, trial bool) {
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

// sendSlotMessages sends the pending messages of the lease protocol.
func (s *State) sendSlotMessages() {
	for _, m := range s.leases.Outbox(s.now) {
		s.emit(SendPeer{To: m.To, Message: slotMessage(m)})
	}
}

func slotMessage(m lease.Message) Message {
	return Message{SlotRequest: m.Request, SlotGrant: m.Grant, Handoff: m.Handoff}
}

// spareSlots returns the number of idle slots that a service keeps.
func (s *State) spareSlots(svc *service) int {
	if s.now < svc.contendedUntil {
		return 0
	}
	return 1
}

// returnIdleSlots returns the idle slots beyond the spare one to their owners, because other hosts may wait for them.
func (s *State) returnIdleSlots(svc *service) {
	if svc.ranks.QueueLen() > 0 {
		return
	}
	kept := 0
	for _, z := range svc.zones {
		for _, u := range z.upstreams {
			n := s.leases.FreeSlots(s.now, u.id)
			keep := min(n, s.spareSlots(svc)-kept)
			kept += keep
			if keep < n {
				s.leases.ReturnIdle(s.now, u.id, keep)
			}
		}
	}
}
