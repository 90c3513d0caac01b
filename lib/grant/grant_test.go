package grant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/route"
)

const (
	passau   = "passau"
	landshut = "landshut"
)

func settings() Settings {
	return Settings{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second, Hosts: 4, CrossDataCentreCost: 0.25, BulkCrossDataCentreCost: 0.6}
}

func upstreamIn(id, dc string) fleet.Upstream {
	return fleet.Upstream{ID: id, Service: "booking", DataCentre: dc, Slots: 4}
}

func view(t testing.TB, upstreams ...fleet.Upstream) *fleet.View {
	t.Helper()
	routes, err := route.New(1, route.Limits{}, []route.Service{{Name: "booking", ColdPerSecond: 5}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return (&fleet.View{Routes: routes}).WithUpstreams(upstreams)
}

func newState(t testing.TB, upstreams ...fleet.Upstream) *State {
	s := New(settings())
	s.Update(0, view(t, upstreams...))
	return s
}

var seq uint64

func ask() AttemptRequest {
	seq++
	return AttemptRequest{ID: AttemptID{Host: "h", Seq: seq}, Service: "booking", DataCentre: passau, Target: 600 * time.Millisecond, TimeLeft: 2 * time.Second}
}

func assertGranted(t *testing.T, v Selection, id string) {
	t.Helper()
	if v.Upstream != id {
		t.Fatalf("granted %q (%s), want %q", v.Upstream, v.Reason, id)
	}
}

func assertRefused(t *testing.T, v Selection, r Reason) {
	t.Helper()
	if v.Upstream != "" || v.Reason != r {
		t.Fatalf("got %q (%s), want refusal %s", v.Upstream, v.Reason, r)
	}
}

// Guards against work for upstreams that are leaving, out of service or were tried.
func TestUnusableUpstreamsAreNotGranted(t *testing.T) {
	leaving := upstreamIn("a", passau)
	leaving.State = fleet.Leaving
	s := newState(t, leaving, upstreamIn("b", landshut), upstreamIn("c", passau))
	a := ask()
	a.Tried = []string{"c"}
	assertGranted(t, s.Decide(0, 0, a), "b")
	v := view(t, leaving, upstreamIn("b", landshut), upstreamIn("c", passau))
	v.DataCentresOut = map[string]struct{}{landshut: {}}
	s.Update(0, v)
	assertRefused(t, s.Decide(0, 0, a), NoUpstream)
}

// Guards against refusals whose cause cannot be told from the log afterwards.
func TestRefusalsTellTheirInputs(t *testing.T) {
	leaving := upstreamIn("a", passau)
	leaving.State = fleet.Leaving
	s := newState(t, leaving, upstreamIn("b", landshut), upstreamIn("c", passau), upstreamIn("d", passau), upstreamIn("e", passau))
	s.RecordReport(0, "b", fleet.Report{Slots: 4, Running: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "d", fleet.Report{Slots: 4, ColdFor: time.Minute}, true, false)
	s.RecordProbe(0, "e")
	now := deadAfter + time.Millisecond
	s.RecordReport(now, "b", fleet.Report{Slots: 4, Running: 4, SlowdownPercent: 100}, true, false)
	a := ask()
	a.Tried, a.WithoutOwner = []string{"c"}, true
	v := s.Decide(now, 0, a)
	assertRefused(t, v, NoRoom)
	if want := (UpstreamCounts{Listed: 5, Out: 1, Tried: 1, Cold: 1, Dead: 1, Full: 1}); v.UpstreamCounts == nil || *v.UpstreamCounts != want {
		t.Errorf("got %+v, want %+v", v.UpstreamCounts, want)
	}
}

// Guards against sending to a machine that is known to be slow while a quick one is free.
func TestSlowMachineIsAvoided(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 400}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	for range 3 {
		assertGranted(t, s.Decide(time.Millisecond, 0, ask()), "b")
	}
}

// Guards against paying for another data centre where the own one is as good, and against staying where it is not.
func TestOwnDataCentreIsPreferredUnlessSlow(t *testing.T) {
	s := newState(t, upstreamIn("a", landshut), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	assertGranted(t, s.Decide(0, 0, ask()), "b")
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 400}, true, false)
	assertGranted(t, s.Decide(0, 0, ask()), "a")
}

// Guards against attempts at an upstream that stopped to answer probes or fails requests.
func TestSilentAndFailingUpstreamsAreAvoided(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordProbe(0, "a")
	assertGranted(t, s.Decide(silentAfter+time.Millisecond, 0, ask()), "b")
	s = newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	a := ask()
	v := s.Decide(0, 0, a)
	s.EndAttempt(0, AttemptEnd{ID: a.ID, Upstream: v.Upstream, Outcome: Failed})
	if again := s.Decide(0, 0, ask()); again.Upstream == v.Upstream {
		t.Fatalf("upstream %s granted again after a failure", v.Upstream)
	}
}

// Guards against more work for a cold upstream than it bears: two owners at a takeover together stay below the bound
// of 1.5 times the rate plus 5 in any second.
func TestColdRateHoldsAtATakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 50).Draw(t, "perSecond")
		takeover := time.Duration(rapid.IntRange(0, 2000).Draw(t, "takeoverMs")) * time.Millisecond
		routes, _ := route.New(1, route.Limits{}, []route.Service{{Name: "booking", ColdPerSecond: perSecond}}, nil)
		cold := upstreamIn("a", passau)
		cold.ColdFor = 10 * time.Second
		v := (&fleet.View{Routes: routes}).WithUpstreams([]fleet.Upstream{cold})
		first, second := New(settings()), New(settings())
		first.Update(0, v)
		second.Update(0, v)
		var sent []time.Duration
		for now := time.Duration(0); now < 3*time.Second; now += 5 * time.Millisecond {
			s := first
			if now >= takeover {
				s = second
			}
			a := ask()
			if g := s.Decide(now, 0, a); g.Upstream != "" {
				sent = append(sent, now)
				s.EndAttempt(now, AttemptEnd{ID: a.ID, Upstream: g.Upstream, Outcome: Served})
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-sent[i] < time.Second {
					n++
				}
			}
			if float64(n) > perSecond*1.5+5 {
				t.Fatalf("%d requests within a second at a rate of %g", n, perSecond)
			}
		}
	})
}

// Guards against hosts that decide without the owner and warm a cold upstream together.
func TestColdUpstreamIsNotUsedAlone(t *testing.T) {
	cold := upstreamIn("a", passau)
	cold.ColdFor = time.Second
	s := newState(t, cold)
	a := ask()
	a.WithoutOwner = true
	assertRefused(t, s.Decide(0, 0, a), NoUpstream)
	assertGranted(t, s.Decide(2*time.Second, 0, a), "a")
}

// Guards against repeats beyond the budget that all hosts share, in any window, with the owner reachable or not.
func TestRepeatBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		cfg := settings()
		cfg.Hosts = hosts
		owner := New(cfg)
		stranded := make([]*State, hosts)
		routes, _ := route.New(1, route.Limits{}, []route.Service{{Name: "booking"}}, nil)
		var us []fleet.Upstream
		for i := range 50 {
			us = append(us, upstreamIn(fmt.Sprint(i), passau))
		}
		v := (&fleet.View{Routes: routes}).WithUpstreams(us)
		owner.Update(0, v)
		for i := range stranded {
			stranded[i] = New(cfg)
			stranded[i].Update(0, v)
		}
		first, repeats := 0, 0
		// All of it falls within one window.
		for range 300 {
			a := ask()
			a.WithoutOwner = rapid.Bool().Draw(t, "alone")
			a.CountsAsRetry = rapid.Bool().Draw(t, "repeat")
			s := owner
			if a.WithoutOwner {
				s = stranded[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			}
			g := s.Decide(time.Second, 0.5, a)
			if !a.CountsAsRetry {
				first++
			} else if g.Upstream != "" {
				repeats++
			}
			s.EndAttempt(time.Second, AttemptEnd{ID: a.ID, Upstream: g.Upstream, Outcome: Abandoned})
		}
		if float64(repeats) > cfg.RetryRatio*float64(first)+cfg.RetrySlack {
			t.Fatalf("%d repeats of %d requests", repeats, first)
		}
	})
}

// Guards against repeats beyond the budget while hosts are restarted in turn and each is the owner for a while.
func TestRepeatBudgetWithChangingOwners(t *testing.T) {
	cfg := settings()
	cfg.RetrySlack = 60
	var us []fleet.Upstream
	for i := range 50 {
		us = append(us, upstreamIn(fmt.Sprint(i), passau))
	}
	v := view(t, us...)
	first, repeats := 0, 0
	for owner := range 6 {
		s := New(cfg)
		start := time.Duration(owner) * 1600 * time.Millisecond
		s.Update(start, v)
		for now := start; now < start+1600*time.Millisecond; now += 100 * time.Millisecond {
			a := ask()
			g := s.Decide(now, 0.5, a)
			s.EndAttempt(now, AttemptEnd{ID: a.ID, Upstream: g.Upstream, Outcome: Abandoned})
			first++
			for range 20 {
				a := ask()
				a.CountsAsRetry = true
				if g := s.Decide(now, 0.5, a); g.Upstream != "" {
					repeats++
					s.EndAttempt(now, AttemptEnd{ID: a.ID, Upstream: g.Upstream, Outcome: Abandoned})
				}
			}
		}
	}
	if most := cfg.RetryRatio*float64(first) + cfg.RetrySlack; float64(repeats) > most {
		t.Fatalf("%d repeats of %d requests within a window, the bound is %g", repeats, first, most)
	}
}

// Guards against second attempts that gain nothing.
func TestHedgeOnlyWhereItGains(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 110}, true, false)
	a := ask()
	assertGranted(t, s.Decide(0, 0, a), "a")
	now := 20 * time.Millisecond
	s.RecordReport(now, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(now, "b", fleet.Report{Slots: 4, SlowdownPercent: 110}, true, false)
	second := ask()
	second.Hedge, second.CountsAsRetry, second.Tried, second.HedgedSeq = true, true, []string{"a"}, a.ID.Seq
	second.Elapsed = now
	assertRefused(t, s.Decide(now, 0, second), NoGain)
	s.RecordReport(now, "a", fleet.Report{Slots: 4, SlowdownPercent: 900}, true, false)
	assertGranted(t, s.Decide(now, 0, second), "b")
}

// Guards against a leak of room where the end of an attempt is not reported, and against too many at one upstream.
func TestRoomIsBoundedAndFreed(t *testing.T) {
	s := newState(t, upstreamIn("a", passau))
	granted := 0
	for range 20 {
		if g := s.Decide(0, 0, ask()); g.Upstream != "" {
			granted++
		}
	}
	if granted == 0 || granted > 8 {
		t.Fatalf("%d requests at an upstream of 4 slots", granted)
	}
	s.Expire(4 * time.Second)
	assertGranted(t, s.Decide(4*time.Second, 0, ask()), "a")
}

// Guards against what was learned of a former lifetime of an upstream.
func TestNewLifetimeStartsAnew(t *testing.T) {
	u := upstreamIn("a", passau)
	u.Started = 1
	s := newState(t, u)
	assertGranted(t, s.Decide(0, 0, ask()), "a")
	u.Started = 2
	s.Update(0, view(t, u))
	if n := s.byID["a"].inFlight(0); n != 0 {
		t.Fatalf("%d requests of the former lifetime counted", n)
	}
}

// Guards against second attempts that are not offered when the machine of the first one slows down, or offered twice.
func TestOffer(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 110}, true, false)
	a := ask()
	a.AttemptsLeft = 1
	assertGranted(t, s.Decide(0, 0, a), "a")
	if got := s.OfferHedges(time.Millisecond, 0); len(got) != 0 {
		t.Fatalf("offered %+v without need", got)
	}
	s.RecordReport(time.Millisecond, "a", fleet.Report{Slots: 4, SlowdownPercent: 900}, true, false)
	got := s.OfferHedges(time.Millisecond, 0)
	if len(got) != 1 || got[0].Upstream != "b" {
		t.Fatalf("offered %+v", got)
	}
	if first, ok := got[0].ID.Original(); !ok || first != a.ID {
		t.Fatalf("offered for %+v", first)
	}
	if again := s.OfferHedges(2*time.Millisecond, 0); len(again) != 0 {
		t.Fatalf("offered again: %+v", again)
	}
}

// Guards against orders sent to an upstream that has not answered for long because the others are full: they would be
// lost instead of refused.
func TestDeadUpstreamGetsNothingWhileOthersAnswer(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordProbe(0, "a")
	now := deadAfter + time.Millisecond
	for range 20 {
		if v := s.Decide(now, 0, ask()); v.Upstream == "a" {
			t.Fatal("a dead upstream was granted")
		}
	}
	s = newState(t, upstreamIn("a", passau))
	s.RecordProbe(0, "a")
	assertGranted(t, s.Decide(now, 0, ask()), "a")
}
