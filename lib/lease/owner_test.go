package lease

import (
	"testing"
	"time"
)

// line asks for slots of the one upstream of ownerOf(1).
func line(epoch uint64, want, held int, seen uint64, r Report) []Demand {
	return []Demand{{Upstream: "u0", Epoch: epoch, Want: want, Held: held, Seen: seen, Conns: 4, Report: r}}
}

func assertAllowance(t *testing.T, g *Grant, total uint64, keep int) {
	t.Helper()
	if g == nil || len(g.Upstreams) != 1 {
		t.Fatalf("grant %+v, want one allowance", g)
	}
	if a := g.Upstreams[0]; a.Total != total || a.Keep != keep {
		t.Fatalf("total %d keep %d, want %d and %d", a.Total, a.Keep, total, keep)
	}
}

// TestColdLimit guards against growth without completed work and against new slots after a strong signal.
func TestColdLimit(t *testing.T) {
	s, now := ownerOf(1)
	assertAllowance(t, serve(s, now, 1, line(1, 4, 0, 0, Report{})), 1, 1)
	assertAllowance(t, serve(s, now+ms, 2, line(1, 4, 1, 1, Report{Completed: 7})), 1, 1)
	now += ms
	assertAllowance(t, serve(s, now, 3, line(1, 4, 1, 1, Report{Completed: 8})), 2, 2)
	assertAllowance(t, serve(s, now, 4, line(1, 4, 2, 2, Report{Completed: 24})), 4, 4)
	assertAllowance(t, serve(s, now, 5, line(1, 4, 4, 4, Report{Completed: 30, Signals: 1})), 4, 1)
	assertAllowance(t, serve(s, now, 6, line(1, 4, 2, 4, Report{Completed: 30, Signals: 1})), 4, 1)
	assertAllowance(t, serve(s, now, 7, line(1, 4, 0, 4, Report{Completed: 30, Signals: 1})), 5, 1)
}

// TestLostGrant guards against slots lost with a grant: the next allowance has the same total.
func TestLostGrant(t *testing.T) {
	s, now := ownerOf(1)
	assertAllowance(t, serve(s, now, 1, line(1, 1, 0, 0, Report{})), 1, 1)
	assertAllowance(t, serve(s, now, 2, line(1, 1, 0, 0, Report{})), 1, 1)
}

// TestOut guards against new slots at an upstream taken out of service.
func TestOut(t *testing.T) {
	s, now := ownerOf(1)
	up := s.units["u0"].Upstream
	up.Out = true
	s.SetUpstreams(now, []Upstream{up})
	assertAllowance(t, serve(s, now, 1, line(1, 1, 0, 0, Report{})), 0, 0)
}

// TestTurns guards against a holder that keeps the only slot while another host waits: after a turn it is called back.
func TestTurns(t *testing.T) {
	s, now := ownerOf(1)
	assertAllowance(t, serve(s, now, 1, line(1, 1, 0, 0, Report{})), 1, 1)
	assertAllowance(t, serve(s, now, 2, line(1, 1, 1, 1, Report{})), 1, 1)
	s.Want(now, "u0", 1)
	s.Outbox(now)
	now += turn
	s.Advance(now)
	assertAllowance(t, serve(s, now, 3, line(1, 1, 1, 1, Report{})), 1, 0)
	serve(s, now, 4, line(1, 1, 0, 1, Report{}))
	if s.Free(now, "u0") != 1 || len(s.Ready()) == 0 {
		t.Fatal("the returned slot did not reach the waiting host")
	}
}

// TestStartNeedsLease guards against a start after the lease ended, as on a host that was stopped and resumed.
func TestStartNeedsLease(t *testing.T) {
	s, now := ownerOf(1)
	s.Want(now, "u0", 1)
	s.Outbox(now)
	if _, ok := s.Start(now+500*ms, "u0", now+time.Hour); ok {
		t.Fatal("started without a lease")
	}
	p, ok := s.Start(now+499*ms, "u0", now+time.Hour)
	if !ok || p.StartBy != now+500*ms || p.Deadline != now+499*ms+time.Second {
		t.Fatalf("permit %+v %v", p, ok)
	}
}

// TestWithdrawnWant guards against a slot granted for a request that went elsewhere meanwhile: the owner hears of the smaller want at once.
func TestWithdrawnWant(t *testing.T) {
	s, now := ownerOf(1)
	assertAllowance(t, serve(s, now, 1, line(1, 1, 0, 0, Report{})), 1, 1)
	s.Want(now, "u0", 1)
	s.Outbox(now)
	s.Want(now, "u0", 0)
	s.Outbox(now)
	serve(s, now, 2, line(1, 0, 0, 1, Report{}))
	if n := s.Free(now, "u0"); n != 0 {
		t.Fatalf("%d slots without a want", n)
	}
}

// TestProbeBudget guards against measuring beyond the budget: 6 ms of probes take 600 ms at 1%.
func TestProbeBudget(t *testing.T) {
	s, now := ownerOf(1)
	u := s.units["u0"]
	u.ProbeCost = 6 * ms
	u.term.budget, u.term.budgetAt, u.term.heardAt = 0, now, now-time.Hour
	probed := func(at time.Duration, want int) {
		t.Helper()
		for step := s.advanced + 50*ms; step < at; step += 50 * ms {
			s.Advance(step)
		}
		if got := s.Probes(at); len(got) != want {
			t.Fatalf("at %v: probes %v, want %d", at, got, want)
		}
	}
	probed(now+599*ms, 0)
	probed(now+600*ms, 1)
	probed(now+601*ms, 0)
	s.ProbeEnded(now+601*ms, "u0", ProbeResult{OK: true})
	probed(now+2600*ms, 0)
	probed(now+2601*ms, 1)
}
