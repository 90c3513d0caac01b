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
	if !req.CountsAsRetry {
		svc.budgetFor(&req).countRequest(now, s.cfg.RetryWindow)
	}
	sel := s.tryGrant(now, rnd, svc, &req)
	if sel.Reason != NoRoom || req.WithoutOwner || req.Hedge || len(svc.queue) >= maxQueued {
		return s.addCounts(now, svc, &req, sel)
	}
	svc.enqueue(queuedRequest{req, now + time.Duration(maxQueueShare*float64(req.Target))})
	return Selection{Reason: Queued}
}

// enqueue adds a request to the queue behind those that are as urgent.
func (svc *service) enqueue(w queuedRequest) {
	i, _ := slices.BinarySearchFunc(svc.queue, w.request.Priority+1, func(q queuedRequest, priority int) int {
		return q.request.Priority - priority
	})
	svc.queue = slices.Insert(svc.queue, i, w)
}

// addCounts adds the counts of upstreams to a refusal, so that the log shows its cause.
func (s *State) addCounts(now time.Duration, svc *service, req *AttemptRequest, sel Selection) Selection {
	if sel.Upstream != "" || req.Hedge {
		return sel
	}
	c := &UpstreamCounts{Listed: len(svc.upstreams), Waiting: len(svc.queue)}
	for _, u := range svc.upstreams {
		switch {
		case !s.inService(u):
			c.Out++
		case slices.Contains(req.Tried, u.ID):
			c.Tried++
		case u.isCold(now) && (req.WithoutOwner || u.coldTokens < 1):
			c.Cold++
		case u.dead(now):
			c.Dead++
		case u.inFlight(now) >= u.slots():
			c.Full++
		}
	}
	sel.UpstreamCounts = c
	return sel
}

// budgetFor returns the retry budget that a request counts against.
func (svc *service) budgetFor(req *AttemptRequest) *retryBudget {
	if req.WithoutOwner {
		return &svc.ownerlessBudget
	}
	return &svc.ownerBudget
}

// tryGrant selects an upstream and records the attempt there, or returns why none is selected.
func (s *State) tryGrant(now time.Duration, rnd float64, svc *service, req *AttemptRequest) Selection {
	best, eta, full := s.selectUpstream(now, rnd, svc, req)
	switch {
	case best == nil && full:
		return Selection{Reason: NoRoom, RetryAfter: svc.retryAfter(now)}
	case best == nil:
		return Selection{Reason: NoUpstream, RetryAfter: svc.retryAfter(now)}
	case req.Hedge && !s.hedgeSavesTime(now, svc, req, eta):
		return Selection{Reason: NoGain}
	case req.CountsAsRetry && !s.takeRetry(now, svc.budgetFor(req), req.WithoutOwner):
		return Selection{Reason: NoBudget, RetryAfter: svc.retryAfter(now)}
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
	best.updateWorkDone(now)
	best.attempts[req.ID] = &attempt{request: *req, startedAt: now, workAtStart: best.workDone, expiresAt: now + req.TimeLeft + time.Second}
	return sel
}

// OfferHedges selects upstreams for hedges of attempts that will probably miss their latency target. An attempt gets at
// most one such hedge, and only if the hedge will probably end earlier than the attempt.
func (s *State) OfferHedges(now time.Duration, rnd float64) []AttemptSelection {
	var out []AttemptSelection
	for _, svc := range s.services {
		out = append(out, s.offerServiceHedges(now, rnd, svc)...)
	}
	return out
}

// offerServiceHedges is OfferHedges for one service.
func (s *State) offerServiceHedges(now time.Duration, rnd float64, svc *service) []AttemptSelection {
	var out []AttemptSelection
	quickest := time.Duration(-1) // the shortest expected response time of any upstream; negative until it is needed
	failed := 0
	for _, u := range svc.upstreams {
		for id, att := range u.attempts {
			if !s.wantsHedge(now, svc, u, att) {
				continue
			}
			if quickest < 0 {
				best, eta, _ := s.selectUpstream(now, rnd, svc, &AttemptRequest{})
				if best == nil {
					return out
				}
				quickest = eta
			}
			if !savesTime(quickest, svc.remainingTime(now, u, att)) {
				continue
			}
			req := hedgeRequest(now, id, u, att)
			sel := s.tryGrant(now, rnd, svc, &req)
			if sel.Upstream != "" {
				att.hedged = true
				out = append(out, AttemptSelection{req.ID, sel})
				continue
			}
			if failed++; sel.Reason != NoGain || failed >= maxFailedSearches {
				return out
			}
		}
	}
	return out
}

// wantsHedge reports whether an attempt may be hedged and will probably miss its latency target.
func (s *State) wantsHedge(now time.Duration, svc *service, u *upstream, att *attempt) bool {
	req := &att.request
	if req.Once || req.AttemptsLeft < 1 || req.CountsAsRetry || att.hedged || req.WithoutOwner {
		return false
	}
	return req.Elapsed+now-att.startedAt+svc.remainingTime(now, u, att) > req.Target
}

// hedgeRequest returns the request for a hedge of the attempt id at u.
func hedgeRequest(now time.Duration, id AttemptID, u *upstream, att *attempt) AttemptRequest {
	req := att.request
	req.Elapsed += now - att.startedAt
	req.TimeLeft -= now - att.startedAt
	req.Tried = append(slices.Clone(req.Tried), u.ID)
	req.ID, req.HedgedSeq, req.Hedge, req.CountsAsRetry, req.AttemptsLeft = id.OwnerHedge(), id.Seq, true, true, req.AttemptsLeft-1
	return req
}

// savesTime reports whether a response expected after eta is enough earlier than one expected after remaining.
func savesTime(eta, remaining time.Duration) bool {
	return float64(eta) < float64(remaining)*(1-minHedgeSaving)
}

// remainingTime estimates the time until the response of an attempt.
func (svc *service) remainingTime(now time.Duration, u *upstream, att *attempt) time.Duration {
	u.updateWorkDone(now)
	rest := float64(svc.averageTime)*u.timeRatio - (u.workDone-att.workAtStart)*float64(time.Second)
	t := max(rest, float64(svc.averageTime)*minRemainingShare, -rest*overdueShare) * u.slowdownPercent(now) / normalSlowdownPercent
	if u.silent(now) {
		t *= silentSlowdown
	}
	return time.Duration(t)
}

// AttemptSelection is the selection for a queued attempt, or for a hedge that the owner offers.
type AttemptSelection struct {
	ID AttemptID
	Selection
}

// DecideQueued returns the selections for the queued requests that leave the queue now: those with any result but NoRoom,
// and those that have waited for the longest allowed time. It serves the most urgent first.
func (s *State) DecideQueued(now time.Duration, rnd float64) []AttemptSelection {
	var out []AttemptSelection
	for _, svc := range s.services {
		if len(svc.queue) > 0 {
			out = append(out, s.decideServiceQueue(now, rnd, svc)...)
		}
	}
	return out
}

// decideServiceQueue is DecideQueued for one service.
func (s *State) decideServiceQueue(now time.Duration, rnd float64, svc *service) []AttemptSelection {
	var out []AttemptSelection
	keep := svc.queue[:0]
	failed := 0
	for _, w := range svc.queue {
		sel := Selection{Reason: NoRoom}
		if failed < maxFailedSearches {
			sel = s.tryGrant(now, rnd, svc, &w.request)
		}
		if sel.Reason == NoRoom {
			failed++
			if len(w.request.Tried) == 0 {
				failed = maxFailedSearches // no other request can be granted an upstream that this one may not use
			}
			if now < w.refuseAt {
				keep = append(keep, w)
				continue
			}
			sel.RetryAfter = svc.retryAfter(now)
		}
		out = append(out, AttemptSelection{w.request.ID, s.addCounts(now, svc, &w.request, sel)})
	}
	clear(svc.queue[len(keep):])
	svc.queue = keep
	return out
}

// Searches returns how often the upstreams of a service were searched for the best one.
func (s *State) Searches() int { return s.searches }

// Waiting returns the number of queued requests of all services.
func (s *State) Waiting() int {
	n := 0
	for _, svc := range s.services {
		n += len(svc.queue)
	}
	return n
}

// takeRetry takes a retry from the budget b and reports whether there was one left.
func (s *State) takeRetry(now time.Duration, b *retryBudget, withoutOwner bool) bool {
	ratio, slack := s.cfg.RetryRatio*ownerRetryShare, s.cfg.RetrySlack*ownerRetryShare
	if withoutOwner {
		ratio = s.cfg.RetryRatio * ownerlessRetryShare
		slack = s.cfg.RetrySlack * ownerlessRetryShare / float64(max(s.cfg.Hosts, 1))
	}
	return b.take(now, s.cfg.RetryWindow, ratio, slack)
}

// selectUpstream returns the upstream with the least expected cost and its expected response time. The cost is the
// response time plus a charge for another data centre. A single upstream may work above its knee (see kneeSlots) if
// that is quicker than the others, but all usable upstreams together may not. full reports whether capacity was
// lacking: a usable upstream had no free slot, or all together had reached their knee.
func (s *State) selectUpstream(now time.Duration, rnd float64, svc *service, req *AttemptRequest) (best *upstream, eta time.Duration, full bool) {
	crossCost := s.cfg.CrossDataCentreCost
	if req.Bulk {
		crossCost = s.cfg.BulkCrossDataCentreCost
	}
	s.searches++
	bestCost, belowKnee := 0.0, 0
	n := len(svc.upstreams)
	allDead := !slices.ContainsFunc(svc.upstreams, func(u *upstream) bool { return s.inService(u) && !u.dead(now) })
	for i := range n {
		u := svc.upstreams[(i+int(rnd*float64(n)))%n]
		if !s.usable(now, svc, u, req) || u.dead(now) && !allDead {
			continue
		}
		inFlight := u.inFlight(now)
		belowKnee += u.kneeSlots() - inFlight
		if inFlight >= u.slots() {
			full = true
			continue
		}
		t := svc.responseTime(now, u)
		cost := float64(t)
		if u.DataCentre != req.DataCentre {
			cost += crossCost * float64(svc.averageTime)
		}
		if best == nil || cost < bestCost {
			best, bestCost, eta = u, cost, t
		}
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

// usable reports whether a request may be sent to u. A cold upstream needs a token of its cold rate; only the owner
// grants these, because hosts that decide on their own would exceed the rate together.
func (s *State) usable(now time.Duration, svc *service, u *upstream, req *AttemptRequest) bool {
	if !s.inService(u) || slices.Contains(req.Tried, u.ID) {
		return false
	}
	if u.isCold(now) {
		return !req.WithoutOwner && u.refill(now, svc.coldPerSecond) >= 1
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

// kneeSlots returns the number of concurrent requests at which an upstream has its highest throughput.
func (u *upstream) kneeSlots() int { return max(int(kneeShare*float64(u.slots())), 1) }

// silent reports whether an upstream has left a probe unanswered for longer than silentAfter.
func (u *upstream) silent(now time.Duration) bool {
	return u.probePendingSince >= 0 && now-u.probePendingSince > silentAfter
}

// dead reports whether an upstream has left a probe unanswered for longer than deadAfter.
func (u *upstream) dead(now time.Duration) bool {
	return u.probePendingSince >= 0 && now-u.probePendingSince > deadAfter
}

// hedgeSavesTime reports whether the first attempt will probably miss the latency target and a hedge with the response
// time eta ends enough earlier. If this host has no record of the first attempt, half of the target must have passed. If
// the upstream of the first attempt is unknown, the hedge is always worthwhile.
func (s *State) hedgeSavesTime(now time.Duration, svc *service, req *AttemptRequest, eta time.Duration) bool {
	if len(req.Tried) == 0 {
		return true
	}
	u := s.byID[req.Tried[len(req.Tried)-1]]
	if u == nil {
		return true
	}
	att, ok := u.attempts[AttemptID{Host: req.ID.Host, Seq: req.HedgedSeq}]
	if !ok {
		return req.Elapsed > req.Target/2
	}
	remaining := svc.remainingTime(now, u, att)
	return req.Elapsed+remaining > req.Target && savesTime(eta, remaining)
}

// retryAfter returns how long a refused caller should wait before it tries again: about the time until a slot is free.
func (svc *service) retryAfter(now time.Duration) time.Duration {
	busy, slots := 0, 0
	for _, u := range svc.upstreams {
		busy += u.inFlight(now)
		slots += u.slots()
	}
	d := svc.averageTime
	if slots > 0 && busy > slots {
		d = d * time.Duration(busy) / time.Duration(slots)
	}
	return min(max(d/2, minRetryAfter), maxRetryAfter)
}
