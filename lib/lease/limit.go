package lease

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

const (
	// completedPerSlot is the number of completed requests per slot of the limit after which the limit doubles.
	completedPerSlot = 8
	// probeAfterSilence is the time since the last completed request or probe after which an owner probes an upstream.
	probeAfterSilence = 2 * time.Second
	// budgetWindow bounds the saved measuring budget to what accrues in this time. The savings pay, for instance, for
	// a burst of new connections after a restart of several hosts.
	budgetWindow = 10 * time.Second
)

// limitState is an owner's estimate of an upstream's capacity, and the budget for measuring it.
type limitState struct {
	// limit is the estimated capacity in slots, between ColdSlots and Slots of the upstream.
	limit int
	// completed counts the requests completed since the limit last changed.
	completed uint64
	// draining reports that the upstream announced that it takes no new work.
	draining bool
	// budget is the upstream's time available at budgetAt for probes and new connections. It is negative after
	// connections that no grant was charged for.
	budget   time.Duration
	budgetAt time.Duration
	// observedAt is the latest of three times: completed requests were reported, a probe ended, this host became an
	// owner.
	observedAt time.Duration
	// probing reports that a probe is running.
	probing bool
}

// resetToCold lowers the limit to that of a cold start.
func (l *limitState) resetToCold(cold int) {
	l.limit = cold
	l.completed = 0
}

// applyReport updates the limit and the budget from a holder's report. A signal resets the limit even if the same
// report has completed requests.
func (s *State) applyReport(now time.Duration, u *upstreamState, acct *holderAccount, r Report) {
	o := &u.asOwner
	last := acct.report
	acct.report = r
	if r.Completed > last.Completed {
		o.observedAt = now
		o.completed += r.Completed - last.Completed
	}
	if r.NewConns > last.NewConns {
		s.chargeReportedConns(now, u, acct, int(r.NewConns-last.NewConns))
	}
	if r.Draining && !last.Draining {
		o.draining = true
	}
	if r.Signals > last.Signals {
		o.resetToCold(u.ColdSlots)
		return
	}
	if o.owning && o.limit < u.Slots && o.completed >= uint64(completedPerSlot*o.limit) {
		o.limit = min(2*o.limit, u.Slots)
		o.completed = 0
	}
}

// refillBudget adds the budget accrued until now and returns the sum. The owners of an upstream divide its budget in
// the same proportion as its slots, by the pledges that each may use.
func (o *ownerState) refillBudget(now time.Duration, u *upstreamState) time.Duration {
	maxBudget := max(time.Duration(float64(budgetWindow)*u.MeasuringShare), u.ProbeCost, u.ConnCost)
	fraction := u.MeasuringShare * float64(o.usablePledges) / float64(max(1, o.memberCount))
	o.budget = min(maxBudget, o.budget+time.Duration(float64(now-o.budgetAt)*fraction))
	o.budgetAt = now
	return o.budget
}

// canAffordSlot reports whether the budget allows a higher entitlement of the holder. It does if the holder still has a
// slot above its entitlement, has a connection for another slot, or the budget covers a new connection.
func (s *State) canAffordSlot(now time.Duration, u *upstreamState, acct *holderAccount) bool {
	if acct.entitled < acct.outstanding() || acct.outstanding() < acct.conns+acct.prepaidConns || u.ConnCost == 0 {
		return true
	}
	return u.asOwner.refillBudget(now, u) >= u.ConnCost
}

// chargeConn charges the budget for a new connection if the holder needs one for another slot.
func (s *State) chargeConn(u *upstreamState, acct *holderAccount) {
	if acct.outstanding() < acct.conns+acct.prepaidConns || u.ConnCost == 0 {
		return
	}
	u.asOwner.budget -= u.ConnCost
	acct.prepaidConns++
}

// chargeReportedConns charges the budget for n connections that a holder opened, except those charged with a grant.
func (s *State) chargeReportedConns(now time.Duration, u *upstreamState, acct *holderAccount, n int) {
	paid := min(n, acct.prepaidConns)
	acct.prepaidConns -= paid
	u.asOwner.refillBudget(now, u)
	u.asOwner.budget -= time.Duration(n-paid) * u.ConnCost
}

// DueProbes returns the upstreams to probe now and charges their budgets. The end of each probe must be reported with
// HandleProbeResult.
func (s *State) DueProbes(now time.Duration) []ident.UpstreamID {
	s.Advance(now)
	var out []ident.UpstreamID
	for _, u := range s.upstreamOrder {
		if s.shouldProbe(now, u) {
			u.asOwner.probing = true
			u.asOwner.budget -= u.ProbeCost
			out = append(out, u.ID)
		}
	}
	return out
}

// shouldProbe reports whether this host, as the owner with the majority of the pledges, probes the upstream now: a
// probe is due and the budget covers it.
func (s *State) shouldProbe(now time.Duration, u *upstreamState) bool {
	o := &u.asOwner
	if o.probing || u.NoNewWork || now-o.observedAt < probeAfterSilence {
		return false
	}
	s.share(now, u)
	return o.majority && o.refillBudget(now, u) >= u.ProbeCost
}

// ProbeResult is what a probe of an upstream showed.
type ProbeResult struct {
	// OK reports that the upstream answered.
	OK bool
	// Cold and Restarted show that the upstream is cold, Draining that it takes no new work. The upstream reports Cold
	// and Draining itself.
	Cold, Draining, Restarted bool
}

// HandleProbeResult ends a probe and updates the limit from its result.
func (s *State) HandleProbeResult(now time.Duration, id ident.UpstreamID, r ProbeResult) {
	s.Advance(now)
	u, ok := s.upstreams[id]
	if !ok {
		return
	}
	o := &u.asOwner
	o.probing = false
	o.observedAt = now
	if r.OK && o.draining && !r.Draining {
		o.resetToCold(u.ColdSlots)
	}
	if r.OK {
		o.draining = r.Draining
	}
	if !r.OK || r.Cold || r.Restarted {
		o.resetToCold(u.ColdSlots)
	}
	s.redistribute(now, u)
}
