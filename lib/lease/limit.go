package lease

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

const (
	// evidencePerSlot is the number of completed requests for each slot of the limit after which it doubles.
	evidencePerSlot = 8
	// quietBeforeProbe is the time without news of an upstream after which the owner probes it.
	quietBeforeProbe = 2 * time.Second
	// budgetSpan is the time whose measuring budget can be saved up, for instance for a burst of new connections
	// after a restart of several hosts.
	budgetSpan = 10 * time.Second
)

// limitState is what an owner knows of the capacity of an upstream.
type limitState struct {
	// limit is between the cold slots and the slots of the upstream.
	limit int
	// completed counts the requests completed since the limit last changed.
	completed uint64
	// draining reports that the upstream said it takes no new work.
	draining bool
	// budget is the upstream's time left for measuring at budgetAt; it is negative after unforeseen connections.
	budget   time.Duration
	budgetAt time.Duration
	// heardAt is the time of the last news of the upstream.
	heardAt time.Duration
	// probing is set from the start of a probe to its end.
	probing bool
}

// fall sets the limit back to that of a cold start.
func (l *limitState) fall(cold int) {
	l.limit = cold
	l.completed = 0
}

// evidence takes in what a holder observed. A signal outweighs the requests completed in the same report.
func (s *State) evidence(now time.Duration, u *unit, rec *record, r Report) {
	t := &u.term
	last := rec.report
	rec.report = r
	if r.Completed > last.Completed {
		t.heardAt = now
		t.completed += r.Completed - last.Completed
	}
	if r.NewConns > last.NewConns {
		s.payConns(now, u, rec, int(r.NewConns-last.NewConns))
	}
	if r.Draining && !last.Draining {
		t.draining = true
	}
	if r.Signals > last.Signals {
		t.fall(u.ColdSlots)
		return
	}
	if t.owning && t.limit < u.Slots && t.completed >= uint64(evidencePerSlot*t.limit) {
		t.limit = min(2*t.limit, u.Slots)
		t.completed = 0
	}
}

// refill returns the budget at this time. Owners share the budget of an upstream as they share its slots.
func (t *term) refill(now time.Duration, u *unit) time.Duration {
	full := max(time.Duration(float64(budgetSpan)*u.Share), u.ProbeCost, u.ConnCost)
	part := u.Share * float64(t.counted) / float64(max(1, t.members))
	t.budget = min(full, t.budget+time.Duration(float64(now-t.budgetAt)*part))
	t.budgetAt = now
	return t.budget
}

// canConnect reports whether a further slot for the holder fits the budget: the holder has a connection for it or
// there is time for a new one.
func (s *State) canConnect(now time.Duration, u *unit, r *record) bool {
	if r.entitled < r.count() || r.count() < r.conns+r.prepaid || u.ConnCost == 0 {
		return true
	}
	return u.term.refill(now, u) >= u.ConnCost
}

func (s *State) chargeConn(u *unit, r *record) {
	if r.count() < r.conns+r.prepaid || u.ConnCost == 0 {
		return
	}
	u.term.budget -= u.ConnCost
	r.prepaid++
}

// payConns charges the reported connections that no grant was charged for.
func (s *State) payConns(now time.Duration, u *unit, r *record, n int) {
	paid := min(n, r.prepaid)
	r.prepaid -= paid
	u.term.refill(now, u)
	u.term.budget -= time.Duration(n-paid) * u.ConnCost
}

// Probes returns the upstreams to probe now and charges their budgets. The caller reports each with ProbeEnded.
func (s *State) Probes(now time.Duration) []ident.UpstreamID {
	s.Advance(now)
	var out []ident.UpstreamID
	for _, u := range s.order {
		if s.wantsProbe(now, u) {
			u.term.probing = true
			u.term.budget -= u.ProbeCost
			out = append(out, u.ID)
		}
	}
	return out
}

// wantsProbe reports whether this host is the one owner that probes the upstream, and a probe is due and affordable.
func (s *State) wantsProbe(now time.Duration, u *unit) bool {
	t := &u.term
	if t.probing || u.Out || now-t.heardAt < quietBeforeProbe {
		return false
	}
	s.share(now, u)
	return t.majority && t.refill(now, u) >= u.ProbeCost
}

// ProbeResult is the result of a probe of an upstream.
type ProbeResult struct {
	// OK reports that the upstream answered.
	OK bool
	// Cold, Draining and Restarted are strong signals; the first two are the upstream's own report.
	Cold, Draining, Restarted bool
}

// ProbeEnded takes in the result of a probe.
func (s *State) ProbeEnded(now time.Duration, id ident.UpstreamID, r ProbeResult) {
	s.Advance(now)
	u, ok := s.units[id]
	if !ok {
		return
	}
	t := &u.term
	t.probing = false
	t.heardAt = now
	if r.OK && t.draining && !r.Draining {
		t.fall(u.ColdSlots)
	}
	if r.OK {
		t.draining = r.Draining
	}
	if !r.OK || r.Cold || r.Restarted {
		t.fall(u.ColdSlots)
	}
	s.settle(now, u)
}
