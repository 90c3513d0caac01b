package grant

import (
	"fmt"
	"slices"
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

func newRequest() AttemptRequest {
	seq++
	return AttemptRequest{ID: AttemptID{Host: "h", Seq: seq}, Service: "booking", DataCentre: passau, Target: 600 * time.Millisecond, TimeLeft: 2 * time.Second}
}

func assertGranted(t *testing.T, v Selection, id string) {
	t.Helper()
	if v.Upstream != id {
		t.Fatalf("selected upstream %q (reason %s), want %q", v.Upstream, v.Reason, id)
	}
}

func assertRefused(t *testing.T, v Selection, r Reason) {
	t.Helper()
	if v.Upstream != "" || v.Reason != r {
		t.Fatalf("selected upstream %q (reason %s), want a refusal with reason %s", v.Upstream, v.Reason, r)
	}
}

// Guards against requests sent to upstreams that are leaving, out of service or already had the request.
func TestUnusableUpstreamsAreNotSelected(t *testing.T) {
	leaving := upstreamIn("a", passau)
	leaving.State = fleet.Leaving
	s := newState(t, leaving, upstreamIn("b", landshut), upstreamIn("c", passau))
	req := newRequest()
	req.Tried = []string{"c"}
	assertGranted(t, s.Decide(0, 0, req), "b")
	v := view(t, leaving, upstreamIn("b", landshut), upstreamIn("c", passau))
	v.DataCentresOut = map[string]struct{}{landshut: {}}
	s.Update(0, v)
	assertRefused(t, s.Decide(0, 0, req), NoUpstream)
}

// Guards against refusals whose cause the log does not show: each upstream is counted with the reason why it was not
// selected.
func TestRefusalCountsUpstreamsByReason(t *testing.T) {
	leaving := upstreamIn("a", passau)
	leaving.State = fleet.Leaving
	s := newState(t, leaving, upstreamIn("b", landshut), upstreamIn("c", passau), upstreamIn("d", passau), upstreamIn("e", passau))
	s.RecordReport(0, "b", fleet.Report{Slots: 4, Running: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "d", fleet.Report{Slots: 4, ColdFor: time.Minute}, true, false)
	s.RecordProbe(0, "e")
	now := deadAfter + time.Millisecond
	s.RecordReport(now, "b", fleet.Report{Slots: 4, Running: 4, SlowdownPercent: 100}, true, false)
	req := newRequest()
	req.Tried, req.WithoutOwner = []string{"c"}, true
	v := s.Decide(now, 0, req)
	assertRefused(t, v, NoRoom)
	if want := (UpstreamCounts{Listed: 5, Out: 1, Tried: 1, Cold: 1, Dead: 1, Full: 1}); v.UpstreamCounts == nil || *v.UpstreamCounts != want {
		t.Errorf("upstream counts %+v, want %+v", v.UpstreamCounts, want)
	}
}

// Guards against requests sent to an upstream on a slow machine while one on a fast machine is free.
func TestSlowMachineIsAvoided(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 400}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	for range 3 {
		assertGranted(t, s.Decide(time.Millisecond, 0, newRequest()), "b")
	}
}

// Guards against upstreams that work above their knees, where their throughput falls, while others have room that are not much slower, and
// against requests that are sent to much slower ones instead.
func TestWorkAboveTheKneeHasACost(t *testing.T) {
	for slowdown, next := range map[float64]string{200: "b", 300: "a"} {
		s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
		s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
		s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: slowdown}, true, false)
		for range 3 {
			assertGranted(t, s.Decide(0, 0, newRequest()), "a")
		}
		assertGranted(t, s.Decide(0, 0, newRequest()), next)
	}
}

// Guards against requests to another data centre while the local one is as fast, and against staying in the local one
// when it is slow.
func TestOwnDataCentreIsPreferredUnlessSlow(t *testing.T) {
	s := newState(t, upstreamIn("a", landshut), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	assertGranted(t, s.Decide(0, 0, newRequest()), "b")
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 400}, true, false)
	assertGranted(t, s.Decide(0, 0, newRequest()), "a")
}

// Guards against attempts at an upstream that no longer answers probes or fails requests.
func TestSilentAndFailingUpstreamsAreAvoided(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordProbe(0, "a")
	assertGranted(t, s.Decide(silentAfter+time.Millisecond, 0, newRequest()), "b")
	s = newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	req := newRequest()
	v := s.Decide(0, 0, req)
	s.EndAttempt(0, AttemptEnd{ID: req.ID, Upstream: v.Upstream, Outcome: Failed})
	if again := s.Decide(0, 0, newRequest()); again.Upstream == v.Upstream {
		t.Fatalf("upstream %s selected again right after a failed attempt", v.Upstream)
	}
}

// Guards against overload of a cold upstream when the owner changes: the old and the new owner do not know each other's
// requests, but together must stay within 1.5 times the cold rate plus 5 in any second.
func TestColdRateHoldsAtOwnerChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 50).Draw(t, "perSecond")
		ownerChange := time.Duration(rapid.IntRange(0, 2000).Draw(t, "takeoverMs")) * time.Millisecond
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
			if now >= ownerChange {
				s = second
			}
			req := newRequest()
			if g := s.Decide(now, 0, req); g.Upstream != "" {
				sent = append(sent, now)
				s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: g.Upstream, Outcome: Served})
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
				t.Fatalf("cold upstream got %d requests within a second at a cold rate of %g per second", n, perSecond)
			}
		}
	})
}

// Guards against overload of a cold upstream by several hosts that decide without the owner at the same time.
func TestColdUpstreamIsNotSelectedWithoutOwner(t *testing.T) {
	cold := upstreamIn("a", passau)
	cold.ColdFor = time.Second
	s := newState(t, cold)
	req := newRequest()
	req.WithoutOwner = true
	assertRefused(t, s.Decide(0, 0, req), NoUpstream)
	assertGranted(t, s.Decide(2*time.Second, 0, req), "a")
}

// Guards against more retries than the budget that all hosts share allows, while some hosts reach the owner and others
// decide on their own.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		cfg := settings()
		cfg.Hosts = hosts
		owner := New(cfg)
		ownerless := make([]*State, hosts)
		routes, _ := route.New(1, route.Limits{}, []route.Service{{Name: "booking"}}, nil)
		var us []fleet.Upstream
		for i := range 50 {
			us = append(us, upstreamIn(fmt.Sprint(i), passau))
		}
		v := (&fleet.View{Routes: routes}).WithUpstreams(us)
		owner.Update(0, v)
		for i := range ownerless {
			ownerless[i] = New(cfg)
			ownerless[i].Update(0, v)
		}
		requests, retries := 0, 0
		// All requests and retries fall within one window.
		for range 300 {
			req := newRequest()
			req.WithoutOwner = rapid.Bool().Draw(t, "alone")
			req.CountsAsRetry = rapid.Bool().Draw(t, "repeat")
			s := owner
			if req.WithoutOwner {
				s = ownerless[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			}
			g := s.Decide(time.Second, 0.5, req)
			if !req.CountsAsRetry {
				requests++
			} else if g.Upstream != "" {
				retries++
			}
			s.EndAttempt(time.Second, AttemptEnd{ID: req.ID, Upstream: g.Upstream, Outcome: Abandoned})
		}
		if float64(retries) > cfg.RetryRatio*float64(requests)+cfg.RetrySlack {
			t.Fatalf("%d retries of %d requests exceed the retry budget", retries, requests)
		}
	})
}

// Guards against more retries than the budget allows during a rolling restart: each new owner starts without knowing
// the retries of the owners before it in the same window.
func TestRetryBudgetWithChangingOwners(t *testing.T) {
	cfg := settings()
	cfg.RetrySlack = 60
	var us []fleet.Upstream
	for i := range 50 {
		us = append(us, upstreamIn(fmt.Sprint(i), passau))
	}
	v := view(t, us...)
	requests, retries := 0, 0
	for owner := range 6 {
		s := New(cfg)
		start := time.Duration(owner) * 1600 * time.Millisecond
		s.Update(start, v)
		for now := start; now < start+1600*time.Millisecond; now += 100 * time.Millisecond {
			req := newRequest()
			g := s.Decide(now, 0.5, req)
			s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: g.Upstream, Outcome: Abandoned})
			requests++
			for range 20 {
				req := newRequest()
				req.CountsAsRetry = true
				if g := s.Decide(now, 0.5, req); g.Upstream != "" {
					retries++
					s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: g.Upstream, Outcome: Abandoned})
				}
			}
		}
	}
	if most := cfg.RetryRatio*float64(requests) + cfg.RetrySlack; float64(retries) > most {
		t.Fatalf("%d retries of %d requests within a window, want at most %g", retries, requests, most)
	}
}

// Guards against more retries than the budget allows while hosts are cut off from each other: in each group, one host is the owner
// of the service.
func TestRetryBudgetOfHostsThatAreCutOff(t *testing.T) {
	const hosts = 17
	for name, groups := range map[string][]int{
		"each alone":    slices.Repeat([]int{1}, hosts),
		"two halves":    {8, 9},
		"three groups":  {2, 5, 10},
		"some vanished": {11},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := settings()
			cfg.RetrySlack = 62
			var us []fleet.Upstream
			for i := range 100 {
				us = append(us, upstreamIn(fmt.Sprint(i), passau))
			}
			requests, retries := 0, 0
			for _, reached := range groups {
				s := New(cfg)
				s.SetHosts(hosts, reached)
				s.Update(0, view(t, us...))
				for now := time.Duration(0); now < cfg.RetryWindow; now += 500 * time.Millisecond {
					for i := range 12 {
						req := newRequest()
						req.CountsAsRetry = i > 0
						g := s.Decide(now, 0.5, req)
						s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: g.Upstream, Outcome: Abandoned})
						if !req.CountsAsRetry {
							requests++
						} else if g.Upstream != "" {
							retries++
						}
					}
				}
			}
			if most := cfg.RetryRatio*float64(requests) + cfg.RetrySlack; float64(retries) > most || retries == 0 {
				t.Errorf("%d retries of %d requests within a window, want some, at most %g", retries, requests, most)
			}
		})
	}
}

// Guards against hedges that would not end earlier than the first attempt.
func TestHedgeIsRefusedUnlessFaster(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 110}, true, false)
	req := newRequest()
	assertGranted(t, s.Decide(0, 0, req), "a")
	now := 20 * time.Millisecond
	s.RecordReport(now, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(now, "b", fleet.Report{Slots: 4, SlowdownPercent: 110}, true, false)
	second := newRequest()
	second.Hedge, second.CountsAsRetry, second.Tried, second.HedgedSeq = true, true, []string{"a"}, req.ID.Seq
	second.Elapsed = now
	assertRefused(t, s.Decide(now, 0, second), NoGain)
	s.RecordReport(now, "a", fleet.Report{Slots: 4, SlowdownPercent: 900}, true, false)
	assertGranted(t, s.Decide(now, 0, second), "b")
}

// Guards against slots that stay occupied because the end of an attempt is not reported, and against too many requests
// at one upstream.
func TestAttemptsAreBoundedAndExpire(t *testing.T) {
	s := newState(t, upstreamIn("a", passau))
	granted := 0
	for range 20 {
		if g := s.Decide(0, 0, newRequest()); g.Upstream != "" {
			granted++
		}
	}
	if granted == 0 || granted > 8 {
		t.Fatalf("%d requests in flight at an upstream with 4 slots, want 1 to 8", granted)
	}
	s.Expire(4 * time.Second)
	assertGranted(t, s.Decide(4*time.Second, 0, newRequest()), "a")
}

// Guards against requests that are still counted as in flight at an upstream that was restarted meanwhile.
func TestRestartedUpstreamHasNoAttempts(t *testing.T) {
	u := upstreamIn("a", passau)
	u.Started = 1
	s := newState(t, u)
	assertGranted(t, s.Decide(0, 0, newRequest()), "a")
	u.Started = 2
	s.Update(0, view(t, u))
	if n := s.byID["a"].inFlight(0); n != 0 {
		t.Fatalf("%d requests in flight after a restart of the upstream, want 0", n)
	}
}

// Guards against a missing hedge when the machine of the first attempt slows down, and against a second one.
func TestOfferHedges(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: 100}, true, false)
	s.RecordReport(0, "b", fleet.Report{Slots: 4, SlowdownPercent: 110}, true, false)
	req := newRequest()
	req.AttemptsLeft = 1
	assertGranted(t, s.Decide(0, 0, req), "a")
	if got := s.OfferHedges(time.Millisecond, 0); len(got) != 0 {
		t.Fatalf("hedges %+v offered for an attempt that is not late", got)
	}
	s.RecordReport(time.Millisecond, "a", fleet.Report{Slots: 4, SlowdownPercent: 900}, true, false)
	got := s.OfferHedges(time.Millisecond, 0)
	if len(got) != 1 || got[0].Upstream != "b" {
		t.Fatalf("hedges %+v offered, want one at upstream b", got)
	}
	if original, ok := got[0].ID.Original(); !ok || original != req.ID {
		t.Fatalf("hedge offered for attempt %+v", original)
	}
	if again := s.OfferHedges(2*time.Millisecond, 0); len(again) != 0 {
		t.Fatalf("second hedge offered for the same attempt: %+v", again)
	}
}

// Guards against orders sent to an upstream that has not answered probes for long because the others are full: they
// would be lost instead of refused.
func TestDeadUpstreamIsNotSelectedWhileOthersAnswer(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	s.RecordProbe(0, "a")
	now := deadAfter + time.Millisecond
	for range 20 {
		if v := s.Decide(now, 0, newRequest()); v.Upstream == "a" {
			t.Fatal("dead upstream selected while another one answers probes")
		}
	}
	s = newState(t, upstreamIn("a", passau))
	s.RecordProbe(0, "a")
	assertGranted(t, s.Decide(now, 0, newRequest()), "a")
}

// assertSearches fails the test if more searches than max were made since s.Searches() was before.
func assertSearches(t *testing.T, s *State, before, max int) {
	t.Helper()
	if n := s.Searches() - before; n > max {
		t.Fatalf("the upstreams were searched %d times, want at most %d", n, max)
	}
}

// Guards against an owner whose work grows with the requests that wait: each look at the queue of a busy service must end
// at the first request that finds no room, or the owner falls behind just when it is needed most.
func TestWorkForAQueueDoesNotGrowWithIt(t *testing.T) {
	s, request := largeService(t)
	granted := fill(s, 0, request)
	for range 300 {
		s.Decide(0, 0.5, request())
	}
	now, before := time.Millisecond, s.Searches()
	if out := s.DecideQueued(now, 0.5); len(out) > 0 {
		t.Fatalf("%d requests left the queue of a busy service, want none", len(out))
	}
	assertSearches(t, s, before, 1)
	for _, end := range granted[:20] {
		s.EndAttempt(now, end)
	}
	before = s.Searches()
	if out := s.DecideQueued(now, 0.5); len(out) != 20 {
		t.Fatalf("%d requests left the queue after the end of 20 attempts, want 20", len(out))
	}
	assertSearches(t, s, before, 21)
	before = s.Searches()
	if out := s.DecideQueued(request().Target, 0.5); len(out) != 281 || out[0].RetryAfter == 0 {
		t.Fatalf("%d requests were refused after the longest wait, want all 281 with the time to come back", len(out))
	}
	assertSearches(t, s, before, 1)
}

// Guards against an owner whose work grows with the attempts that are late: if no upstream is quick enough for a hedge, one
// search has to show that for all of them.
func TestWorkForHedgesDoesNotGrowWithLateAttempts(t *testing.T) {
	s, request := largeService(t)
	late := fill(s, 0, func() AttemptRequest {
		req := request()
		req.Target = 50 * time.Millisecond
		return req
	})
	for _, end := range late[:600] {
		s.EndAttempt(0, AttemptEnd{ID: end.ID, Upstream: end.Upstream, Outcome: Abandoned})
	}
	before := s.Searches()
	if out := s.OfferHedges(100*time.Millisecond, 0.5); len(out) > 0 {
		t.Fatalf("%d hedges were offered that would end after the first attempts, want none", len(out))
	}
	assertSearches(t, s, before, 1+maxFailedSearches)
}

// Guards against hosts that each grant the whole cold rate and the whole retry budget of a service while several may own it. Other
// requests are granted and queued meanwhile.
func TestSharedServiceGrantsNoColdRate(t *testing.T) {
	cold, warm := upstreamIn("cold", passau), upstreamIn("warm", landshut)
	cold.ColdFor = time.Minute
	s := newState(t, cold, warm)
	s.SetShared("booking", true)
	for range 3 { // up to the knee
		assertGranted(t, s.Decide(0, 0, newRequest()), "warm")
	}
	assertRefused(t, s.Decide(0, 0, newRequest()), Queued)
	s.SetShared("booking", false)
	assertGranted(t, s.Decide(0, 0, newRequest()), "cold")
}

// Guards against retries beyond the budget when several hosts own a service: each of them may use its part of what is left to hosts
// without an owner.
func TestSharedServiceGrantsPartOfTheRetries(t *testing.T) {
	warm := upstreamIn("warm", landshut)
	warm.Slots = 100
	s := newState(t, warm)
	s.SetShared("booking", true)
	retries := 0
	for range 20 {
		req := newRequest()
		req.CountsAsRetry, req.Tried = true, []string{"other"}
		if s.Decide(settings().RetryWindow, 0, req).Upstream != "" {
			retries++
		}
	}
	cfg := settings()
	if most := cfg.RetrySlack * ownerlessRetryShare / float64(cfg.Hosts); float64(retries) > most {
		t.Errorf("%d retries granted, want at most %g", retries, most)
	}
}
