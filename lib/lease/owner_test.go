package lease

import (
	"testing"
	"time"
)

// demandFor returns the demands of a request for slots of the only upstream of newOwner(1).
func demandFor(epoch uint64, want, held int, seen uint64, r Report) []Demand {
	return []Demand{{Upstream: "u0", Epoch: epoch, Want: want, Held: held, Seen: seen, Conns: 4, Report: r}}
}

func assertAllowance(t *testing.T, g *SlotGrant, total uint64, keep int) {
	t.Helper()
	if g == nil || len(g.Upstreams) != 1 {
		t.Fatalf("grant %+v, want exactly one allowance", g)
	}
	if a := g.Upstreams[0]; a.Total != total || a.Keep != keep {
		t.Fatalf("allowance with total %d and keep %d, want %d and %d", a.Total, a.Keep, total, keep)
	}
}

// TestLimitGrowsOnlyWithCompletedRequests guards against a limit that grows without completed requests, and against new
// slots after a sign that the upstream is cold.
func TestLimitGrowsOnlyWithCompletedRequests(t *testing.T) {
	s, now := newOwner(1)
	assertAllowance(t, requestSlots(s, now, 1, demandFor(1, 4, 0, 0, Report{})), 1, 1)
	assertAllowance(t, requestSlots(s, now+ms, 2, demandFor(1, 4, 1, 1, Report{Completed: 7})), 1, 1)
	now += ms
	assertAllowance(t, requestSlots(s, now, 3, demandFor(1, 4, 1, 1, Report{Completed: 8})), 2, 2)
	assertAllowance(t, requestSlots(s, now, 4, demandFor(1, 4, 2, 2, Report{Completed: 24})), 4, 4)
	assertAllowance(t, requestSlots(s, now, 5, demandFor(1, 4, 4, 4, Report{Completed: 30, Signals: 1})), 4, 1)
	assertAllowance(t, requestSlots(s, now, 6, demandFor(1, 4, 2, 4, Report{Completed: 30, Signals: 1})), 4, 1)
	assertAllowance(t, requestSlots(s, now, 7, demandFor(1, 4, 0, 4, Report{Completed: 30, Signals: 1})), 5, 1)
}

// TestLostGrantLosesNoSlots guards against slots that are lost with a grant. If the holder repeats its demand, the next
// allowance has the same total.
func TestLostGrantLosesNoSlots(t *testing.T) {
	s, now := newOwner(1)
	assertAllowance(t, requestSlots(s, now, 1, demandFor(1, 1, 0, 0, Report{})), 1, 1)
	assertAllowance(t, requestSlots(s, now, 2, demandFor(1, 1, 0, 0, Report{})), 1, 1)
}

// TestNoSlotsWhenTakenOut guards against new slots at an upstream that is taken out of service.
func TestNoSlotsWhenTakenOut(t *testing.T) {
	s, now := newOwner(1)
	up := s.upstreams["u0"].Upstream
	up.NoNewWork = true
	s.SetUpstreams(now, []Upstream{up})
	assertAllowance(t, requestSlots(s, now, 1, demandFor(1, 1, 0, 0, Report{})), 0, 0)
}

// TestOnlySlotIsCalledBackAfterTurn guards against a holder that keeps the only slot while another host waits for it:
// once the holder's turn is over, the owner must call the slot back.
func TestOnlySlotIsCalledBackAfterTurn(t *testing.T) {
	s, now := newOwner(1)
	assertAllowance(t, requestSlots(s, now, 1, demandFor(1, 1, 0, 0, Report{})), 1, 1)
	assertAllowance(t, requestSlots(s, now, 2, demandFor(1, 1, 1, 1, Report{})), 1, 1)
	s.SetWanted(now, "u0", 1)
	s.Outbox(now)
	now += turnDuration
	s.Advance(now)
	assertAllowance(t, requestSlots(s, now, 3, demandFor(1, 1, 1, 1, Report{})), 1, 0)
	requestSlots(s, now, 4, demandFor(1, 1, 0, 1, Report{}))
	if s.FreeSlots(now, "u0") != 1 || len(s.Ready()) == 0 {
		t.Fatal("the returned slot did not reach the waiting host")
	}
}

// TestNoStartAfterLeaseEnd guards against a request that starts after the end of the lease, as happens on a host that
// was paused and resumed.
func TestNoStartAfterLeaseEnd(t *testing.T) {
	s, now := newOwner(1)
	s.SetWanted(now, "u0", 1)
	s.Outbox(now)
	if _, ok := s.Start(now+500*ms, "u0", now+time.Hour); ok {
		t.Fatal("a request started at the end of the lease")
	}
	p, ok := s.Start(now+499*ms, "u0", now+time.Hour)
	if !ok || p.StartBy != now+500*ms || p.Deadline != now+499*ms+time.Second {
		t.Fatalf("got permit %+v, %v; want one until the end of the lease, with the upstream's deadline", p, ok)
	}
}

// TestLoweredWantIsSentAtOnce guards against a slot granted for a request that was sent to another upstream in the
// meantime: the holder reports the lower want to the owner at once.
func TestLoweredWantIsSentAtOnce(t *testing.T) {
	s, now := newOwner(1)
	assertAllowance(t, requestSlots(s, now, 1, demandFor(1, 1, 0, 0, Report{})), 1, 1)
	s.SetWanted(now, "u0", 1)
	s.Outbox(now)
	s.SetWanted(now, "u0", 0)
	s.Outbox(now)
	requestSlots(s, now, 2, demandFor(1, 0, 0, 1, Report{}))
	if n := s.FreeSlots(now, "u0"); n != 0 {
		t.Fatalf("%d free slots after the want was lowered to 0, want none", n)
	}
}

// TestProbesStayWithinBudget guards against probes beyond the budget: at 1 % of the upstream's time, the budget for a
// probe of 6 ms accrues in 600 ms.
func TestProbesStayWithinBudget(t *testing.T) {
	s, now := newOwner(1)
	u := s.upstreams["u0"]
	u.ProbeCost = 6 * ms
	u.asOwner.budget, u.asOwner.budgetAt, u.asOwner.observedAt = 0, now, now-time.Hour
	probed := func(at time.Duration, want int) {
		t.Helper()
		for step := s.advancedAt + 50*ms; step < at; step += 50 * ms {
			s.Advance(step)
		}
		if got := s.DueProbes(at); len(got) != want {
			t.Fatalf("at %v: probes of %v, want %d probes", at, got, want)
		}
	}
	probed(now+599*ms, 0)
	probed(now+600*ms, 1)
	probed(now+601*ms, 0)
	s.HandleProbeResult(now+601*ms, "u0", ProbeResult{OK: true})
	probed(now+2600*ms, 0)
	probed(now+2601*ms, 1)
}
