package grant

import (
	"slices"
	"time"

	"sardinecross.example/lib/fleet"
)

// Decide grants an upstream for a, says why none is granted, or queues the request until Release has room for it. rnd is
// uniform in [0,1) and breaks ties.
func (s *State) Decide(now time.Duration, rnd float64, a AttemptRequest) Selection {
	svc := s.service(a.Service)
	if !a.CountsAsRetry {
		svc.counts(&a).first(now, s.cfg.RetryWindow)
	}
	v := s.decide(now, rnd, svc, &a)
	if v.Reason != NoRoom || a.WithoutOwner || a.Hedge || len(svc.waiting) >= maxWaiting {
		return s.explain(now, svc, &a, v)
	}
	svc.waiting = append(svc.waiting, waiter{a, now + time.Duration(holdShare*float64(a.Target))})
	return Selection{Reason: Queued}
}

// explain adds the inputs to a refusal.
func (s *State) explain(now time.Duration, svc *service, a *AttemptRequest, v Selection) Selection {
	if v.Upstream != "" || a.Hedge {
		return v
	}
	c := &UpstreamCounts{Listed: len(svc.upstreams), Waiting: len(svc.waiting)}
	for _, u := range svc.upstreams {
		switch {
		case !s.working(u):
			c.Out++
		case slices.Contains(a.Tried, u.ID):
			c.Tried++
		case u.isCold(now) && (a.WithoutOwner || u.tokens < 1):
			c.Cold++
		case u.dead(now):
			c.Dead++
		case u.inflight(now) >= u.slots():
			c.Full++
		}
	}
	v.UpstreamCounts = c
	return v
}

func (svc *service) counts(a *AttemptRequest) *budget {
	if a.WithoutOwner {
		return &svc.alone
	}
	return &svc.budget
}

func (s *State) decide(now time.Duration, rnd float64, svc *service, a *AttemptRequest) Selection {
	best, eta, full := s.choose(now, rnd, svc, a)
	switch {
	case best == nil && full:
		return Selection{Reason: NoRoom, RetryAfter: svc.retryAfter(now)}
	case best == nil:
		return Selection{Reason: NoUpstream, RetryAfter: svc.retryAfter(now)}
	case a.Hedge && !s.worthwhile(now, svc, a, eta):
		return Selection{Reason: NoGain}
	case a.CountsAsRetry && !s.mayRepeat(now, svc.counts(a), a.WithoutOwner):
		return Selection{Reason: NoBudget, RetryAfter: svc.retryAfter(now)}
	}
	v := Selection{
		Upstream:        best.ID,
		ExpectedTime:    eta,
		InFlight:        best.inflight(now),
		SlowdownPercent: best.factor(now),
		ReportAge:       now - best.reported,
	}
	if best.isCold(now) {
		best.tokens--
	}
	best.advance(now)
	best.flights[a.ID] = flight{ask: *a, start: now, work: best.work, expires: now + a.TimeLeft + time.Second}
	return v
}

// OfferHedges grants second upstreams to requests in flight that would otherwise be late, and would end earlier there.
func (s *State) OfferHedges(now time.Duration, rnd float64) []AttemptSelection {
	var out []AttemptSelection
	for _, u := range s.byID {
		svc := s.service(u.Service)
		for id, f := range u.flights {
			a := f.ask
			if a.Once || a.AttemptsLeft < 1 || a.CountsAsRetry || f.hedged || a.WithoutOwner {
				continue
			}
			a.Elapsed += now - f.start
			a.TimeLeft -= now - f.start
			if a.Elapsed+svc.remaining(now, u, f) <= a.Target {
				continue
			}
			a.Tried = append(slices.Clone(a.Tried), u.ID)
			a.ID, a.HedgedSeq, a.Hedge, a.CountsAsRetry, a.AttemptsLeft = id.OwnerHedge(), id.Seq, true, true, a.AttemptsLeft-1
			if v := s.decide(now, rnd, svc, &a); v.Upstream != "" {
				f.hedged = true
				u.flights[id] = f
				out = append(out, AttemptSelection{a.ID, v})
			}
		}
	}
	return out
}

// remaining estimates the time until the response of an attempt.
func (svc *service) remaining(now time.Duration, u *upstream, f flight) time.Duration {
	u.advance(now)
	rest := float64(svc.typical)*u.speed - (u.work-f.work)*float64(time.Second)
	t := max(rest, float64(svc.typical)*leastRest, -rest*overdueShare) * u.factor(now) / usualFactor
	if u.silent(now) {
		t *= silentSlowdown
	}
	return time.Duration(t)
}

// AttemptSelection is the verdict on an ask that was queued.
type AttemptSelection struct {
	ID AttemptID
	Selection
}

// DecideQueued decides on queued asks that have room now or have waited long enough, the most urgent first.
func (s *State) DecideQueued(now time.Duration, rnd float64) []AttemptSelection {
	var out []AttemptSelection
	for _, svc := range s.services {
		if len(svc.waiting) == 0 {
			continue
		}
		slices.SortStableFunc(svc.waiting, func(a, b waiter) int { return a.ask.Priority - b.ask.Priority })
		keep := svc.waiting[:0]
		for _, w := range svc.waiting {
			v := s.decide(now, rnd, svc, &w.ask)
			if v.Reason == NoRoom && now < w.until {
				keep = append(keep, w)
				continue
			}
			out = append(out, AttemptSelection{w.ask.ID, s.explain(now, svc, &w.ask, v)})
		}
		svc.waiting = keep
	}
	return out
}

func (s *State) mayRepeat(now time.Duration, counts *budget, alone bool) bool {
	ratio, slack := s.cfg.RetryRatio*repeatShare, s.cfg.RetrySlack*repeatShare
	if alone {
		ratio = s.cfg.RetryRatio * strandedShare
		slack = s.cfg.RetrySlack * strandedShare / float64(max(s.cfg.Hosts, 1))
	}
	return counts.repeat(now, s.cfg.RetryWindow, ratio, slack)
}

// choose returns the upstream with the least expected cost, and whether upstreams were left out for lack of room. Single
// upstreams may work above their knee if that is quicker than another one; all of them together may not.
func (s *State) choose(now time.Duration, rnd float64, svc *service, a *AttemptRequest) (best *upstream, eta time.Duration, full bool) {
	cross := s.cfg.CrossDataCentreCost
	if a.Bulk {
		cross = s.cfg.BulkCrossDataCentreCost
	}
	bestCost, room := 0.0, 0
	n := len(svc.upstreams)
	allDead := !slices.ContainsFunc(svc.upstreams, func(u *upstream) bool { return s.working(u) && !u.dead(now) })
	for i := range n {
		u := svc.upstreams[(i+int(rnd*float64(n)))%n]
		if !s.usable(now, svc, u, a) || u.dead(now) && !allDead {
			continue
		}
		inflight := u.inflight(now)
		room += u.room() - inflight
		if inflight >= u.slots() {
			full = true
			continue
		}
		t := svc.estimate(now, u)
		cost := float64(t)
		if u.DataCentre != a.DataCentre {
			cost += cross * float64(svc.typical)
		}
		if best == nil || cost < bestCost {
			best, bestCost, eta = u, cost, t
		}
	}
	if room <= 0 {
		return nil, 0, best != nil || full
	}
	return best, eta, full
}

// working reports whether an upstream takes work at all.
func (s *State) working(u *upstream) bool {
	_, out := s.out[u.DataCentre]
	return u.State == fleet.Ready && !out
}

func (s *State) usable(now time.Duration, svc *service, u *upstream, a *AttemptRequest) bool {
	if !s.working(u) || slices.Contains(a.Tried, u.ID) {
		return false
	}
	if u.isCold(now) {
		return !a.WithoutOwner && u.refill(now, svc.coldPerSecond) >= 1
	}
	return true
}

// estimate is the expected time to the response of a further request at u.
func (svc *service) estimate(now time.Duration, u *upstream) time.Duration {
	n, slots := u.inflight(now), u.slots()
	t := float64(svc.typical) * u.speed * u.factor(now) / usualFactor
	if n >= u.room() {
		t *= kneeSlowdown
	}
	if u.isCold(now) {
		t *= coldSlowdown
	}
	if u.silent(now) {
		t *= silentSlowdown
	}
	if u.ill {
		t *= illSlowdown
	}
	t *= 1 + failureSlowdown*u.failure(now)
	// Equal upstreams are told apart by their work in flight.
	t *= 1 + 0.05*float64(n)/float64(slots)
	return time.Duration(t)
}

// room is the number of requests at which an upstream does the most work in a given time.
func (u *upstream) room() int { return max(int(kneeShare*float64(u.slots())), 1) }

func (u *upstream) silent(now time.Duration) bool {
	return u.waiting >= 0 && now-u.waiting > silentAfter
}

func (u *upstream) dead(now time.Duration) bool {
	return u.waiting >= 0 && now-u.waiting > deadAfter
}

// worthwhile reports whether a second attempt probably ends enough earlier than the first.
func (s *State) worthwhile(now time.Duration, svc *service, a *AttemptRequest, eta time.Duration) bool {
	if len(a.Tried) == 0 {
		return true
	}
	u := s.byID[a.Tried[len(a.Tried)-1]]
	if u == nil {
		return true
	}
	f, ok := u.flights[AttemptID{Host: a.ID.Host, Seq: a.HedgedSeq}]
	if !ok {
		return a.Elapsed > a.Target/2
	}
	remaining := svc.remaining(now, u, f)
	return a.Elapsed+remaining > a.Target && float64(eta) < float64(remaining)*(1-hedgeGain)
}

// retryAfter is when a refused caller should come back: about the time in which a slot is freed.
func (svc *service) retryAfter(now time.Duration) time.Duration {
	busy, slots := 0, 0
	for _, u := range svc.upstreams {
		busy += u.inflight(now)
		slots += u.slots()
	}
	d := svc.typical
	if slots > 0 && busy > slots {
		d = d * time.Duration(busy) / time.Duration(slots)
	}
	return min(max(d/2, minRetryAfter), maxRetryAfter)
}
