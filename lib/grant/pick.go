package grant

import (
	"slices"
	"time"

	"sardinecross.example/lib/fleet"
)

// Decide selects an upstream for a request. If all usable upstreams are full, it queues the request for DecideQueued;
// else the selection tells why none was found. rnd is uniform in [0,1) and breaks ties.
func (s *State) Decide(now time.Duration, rnd float64, req AttemptRequest) Selection {
	svc := s.service(req.Service)
	if !req.CountsAsRetry && len(req.Tried) == 0 { // a request that asks again was counted before
		svc.budgetFor(&req).countRequest(now, s.cfg.RetryWindow)
		svc.countArrival(now, &req)
	}
	sel := s.tryGrant(now, rnd, svc, &req)
	if sel.Reason != NoRoom || req.WithoutOwner || req.Hedge || !svc.enqueue(now, req) {
		return s.completeRefusal(now, svc, &req, sel)
	}
	return Selection{Reason: Queued}
}

// completeRefusal adds to a refusal when to try again, and the counts of upstreams, so that the log shows its cause.
func (s *State) completeRefusal(now time.Duration, svc *service, req *AttemptRequest, sel Selection) Selection {
	if sel.Upstream != "" || req.Hedge {
		return sel
	}
	sel.RetryAfter = svc.retryAfter(now, req)
	c := &UpstreamCounts{Listed: len(svc.upstreams), Waiting: svc.waiting()}
	for _, u := range svc.upstreams {
		switch {
		case !s.inService(u) || u.notices.Leaving():
			c.Out++
		case slices.Contains(req.Tried, u.ID):
			c.Tried++
		case u.isCold(now) && (svc.ownerless(req) || u.coldTokens < 1):
			c.Cold++
		case u.dead(now):
			c.Dead++
		case u.trials.active() || u.inFlight(now) >= u.slots() || u.notices.Pause(now, req.ID.Host) > 0:
			c.Full++
		}
	}
	sel.UpstreamCounts = c
	return sel
}

// ownerless reports whether other hosts may decide on requests of the service at the same time, so that this host must not grant all of
// what they may grant together.
func (svc *service) ownerless(req *AttemptRequest) bool { return req.WithoutOwner || svc.shared }

// budgetFor returns the retry budget that a request counts against.
func (svc *service) budgetFor(req *AttemptRequest) *retryBudget {
	if svc.ownerless(req) {
		return &svc.ownerlessBudget
	}
	return &svc.ownerBudget
}

// tryGrant selects an upstream and records the attempt there, or returns why none is selected.
func (s *State) tryGrant(now time.Duration, rnd float64, svc *service, req *AttemptRequest) Selection {
	best, eta, full := s.selectUpstream(now, rnd, svc, req)
	switch {
	case best == nil && full:
		return Selection{Reason: NoRoom}
	case best == nil:
		return Selection{Reason: NoUpstream}
	case req.Hedge && !s.hedgeSavesTime(now, svc, req, eta):
		return Selection{Reason: NoGain}
	case req.CountsAsRetry && !s.takeRetry(now, svc.budgetFor(req), svc.ownerless(req)):
		return Selection{Reason: NoBudget}
	}
	sel := Selection{
		Upstream:        best.ID,
		ExpectedTime:    eta,
		InFlight:        best.inFlight(now),
		SlowdownPercent: best.slowdownPercent(now),
		ReportAge:       now - best.reportedAt,
	}
	if best.isCold(now) {
		best.coldTokens--
	}
	svc.recordVersionGrant(now, best)
	best.updateWorkDone(now)
	best.attempts[req.ID] = &attempt{
		request: *req, startedAt: now, workAtStart: best.workDone, isTrial: best.trials.active(), expiresAt: now + req.TimeLeft + time.Second,
	}
	if s.cfg.PreferIdleConnections {
		best.attempts[req.ID].reuses = best.takeConnection(now, req.ID.Host)
	}
	return sel
}

// Searches returns how often the upstreams of a service were searched for the best one.
func (s *State) Searches() int { return s.searches }

// takeRetry takes a retry from the budget b and reports whether there was one left.
func (s *State) takeRetry(now time.Duration, b *retryBudget, withoutOwner bool) bool {
	ratio, slack := s.cfg.RetryRatio*ownerRetryShare, s.cfg.RetrySlack*ownerRetryShare*s.reachedShare()
	if withoutOwner {
		ratio = s.cfg.RetryRatio * ownerlessRetryShare
		slack = s.cfg.RetrySlack * ownerlessRetryShare / float64(max(s.cfg.Hosts, 1))
	}
	return b.take(now, s.cfg.RetryWindow, ratio, slack)
}

// selectUpstream returns the upstream with the least expected cost and its expected response time. The cost is the
// response time plus charges for another data centre and for work above the knee. A single upstream may work above its knee (see kneeSlots) if
// that is quicker than the others, but all usable upstreams together may not. full reports whether capacity was
// lacking: a usable upstream had no free slot or was on trial, or all others together had reached their knee. A trial that is due does
// not need room at the others. The room of cold upstreams does not count, as their cold rate bounds its use: one of them gets the
// request if all others together have reached their knee.
func (s *State) selectUpstream(now time.Duration, rnd float64, svc *service, req *AttemptRequest) (best *upstream, eta time.Duration, full bool) {
	crossCost := s.cfg.CrossDataCentreCost
	if req.Bulk {
		crossCost = s.cfg.BulkCrossDataCentreCost
	}
	s.searches++
	versions := s.chooseVersion(now, svc, req)
	bestCost, belowKnee, kneeSlots := 0.0, 0, 0
	gain := svc.connectionGain()
	n := len(svc.upstreams)
	allDead, sound := s.alternatives(now, svc, req.ID.Host, versions)
	var trial *upstream // one for which the request may be a trial if the others have no room
	var cold *upstream  // the best cold one with room, if the others have none
	coldCost := 0.0
	for i := range n {
		u := svc.upstreams[(i+int(rnd*float64(n)))%n]
		if !versions.allows(u) || !s.usable(now, svc, u, req) || u.dead(now) && !allDead {
			continue
		}
		use := u.trialUse(now, req, sound)
		inFlight := u.inFlight(now)
		if use == anyUse {
			kneeSlots += u.kneeSlots()
			if !u.isColdReserve(now) {
				belowKnee += u.kneeSlots() - inFlight
			}
		}
		if use == noUse || inFlight >= u.slots() {
			full = true
			continue
		}
		if use == trialOnly || use == lastResort && trial == nil {
			trial = u
		}
		if use == lastResort {
			continue
		}
		t := svc.responseTime(now, u)
		cost := float64(t)
		if s.cfg.PreferIdleConnections && u.hasIdleConnection(now, req.ID.Host) {
			cost -= gain * float64(t)
		}
		if inFlight >= u.kneeSlots() {
			cost *= aboveKneeCost
		}
		if u.DataCentre != req.DataCentre {
			cost += crossCost * float64(svc.averageTime)
		}
		if use == anyUse && u.isColdReserve(now) && inFlight < u.kneeSlots() && (cold == nil || cost < coldCost) {
			cold, coldCost = u, cost
		}
		if best == nil || cost < bestCost {
			best, bestCost, eta = u, cost, t
		}
	}
	if len(req.Tried) == 0 && versions.packed == "" {
		svc.kneeSlots, svc.freeShare = kneeSlots, float64(belowKnee)/float64(max(kneeSlots, 1))
	}
	if cold != nil && belowKnee <= 0 {
		return cold, svc.responseTime(now, cold), full
	}
	if trial != nil && (best == nil || belowKnee <= 0) {
		return trial, svc.responseTime(now, trial), full
	}
	if belowKnee <= 0 {
		return nil, 0, best != nil || full
	}
	return best, eta, full
}

// inService reports whether an upstream is ready and its data centre in service.
func (s *State) inService(u *upstream) bool {
	_, out := s.outOfService[u.DataCentre]
	return u.State == fleet.Ready && !out
}

// usable reports whether a request may be sent to u by the host that asks. A cold upstream needs a token of its cold rate;
// only the owner grants these, because hosts that decide on their own would exceed the rate together.
func (s *State) usable(now time.Duration, svc *service, u *upstream, req *AttemptRequest) bool {
	if !s.inService(u) || u.notices.Blocks(now, req.ID.Host) || slices.Contains(req.Tried, u.ID) {
		return false
	}
	if u.isCold(now) {
		return !svc.ownerless(req) && u.refill(now, svc.coldPerSecond) >= 1
	}
	return true
}

// responseTime estimates the response time of a further request at u.
func (svc *service) responseTime(now time.Duration, u *upstream) time.Duration {
	n, slots := u.inFlight(now), u.slots()
	t := float64(svc.averageTime) * u.timeRatio * u.slowdownPercent(now) / normalSlowdownPercent
	if n >= u.kneeSlots() {
		t *= kneeSlowdown
	}
	if u.isCold(now) {
		t *= coldSlowdown
	}
	if u.silent(now) {
		t *= silentSlowdown
	}
	if u.unhealthy {
		t *= unhealthySlowdown
	}
	t *= 1 + failureSlowdown*u.currentFailureRate(now)
	// Among otherwise equal upstreams, the one with fewer requests in flight is preferred.
	t *= 1 + 0.05*float64(n)/float64(slots)
	return time.Duration(t)
}
