package grant

import (
	"slices"
	"time"
)

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
