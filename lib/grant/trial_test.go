package grant

import (
	"testing"
	"time"
)

// failEach sends n requests one after the other to an upstream, each of which ends with the given outcome.
func failEach(s *State, now time.Duration, id string, n int, o Outcome) {
	for range n {
		req := newRequest()
		req.Tried = []string{"a", "b", "c", "d"}
		s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: id, Outcome: o})
	}
}

// repeatable returns a request that may be a trial.
func repeatable() AttemptRequest {
	req := newRequest()
	req.AttemptsLeft = 1
	return req
}

// faultySite plays a service of four upstreams, the first two of which take timeout for each request and then fail it.
type faultySite struct {
	*State
	timeout time.Duration
	outcome Outcome // of the requests at the first two
	pending []pendingAttempt
	broken  int
	// failed counts the failures of an upstream since it last served a request, and afterFailure the most requests that it
	// had in flight at the start of one that was granted after maxFailuresInRow of them.
	failed, inFlight map[string]int
	afterFailure     int
	refused, served  int
}

type pendingAttempt struct {
	end AttemptEnd
	at  time.Duration
}

// send sends a request, unless it is refused.
func (f *faultySite) send(now time.Duration, req AttemptRequest) {
	sel := f.Decide(now, 0, req)
	f.started(now, req.ID, sel)
}

// started records the grant of a request.
func (f *faultySite) started(now time.Duration, id AttemptID, sel Selection) {
	if sel.Upstream == "" {
		if sel.Reason != Queued {
			f.refused++
		}
		return
	}
	p := pendingAttempt{AttemptEnd{ID: id, Upstream: sel.Upstream, Outcome: Served}, now + 20*time.Millisecond}
	if sel.Upstream == "a" || sel.Upstream == "b" {
		p.end.Outcome, p.at = f.outcome, now+f.timeout
	}
	f.inFlight[sel.Upstream]++
	if f.failed[sel.Upstream] >= maxFailuresInRow {
		f.afterFailure = max(f.afterFailure, f.inFlight[sel.Upstream])
	}
	f.pending = append(f.pending, p)
}

// endDue ends the attempts whose time has come and then decides queued requests.
func (f *faultySite) endDue(now time.Duration) {
	keep := f.pending[:0]
	for _, p := range f.pending {
		if p.at > now {
			keep = append(keep, p)
			continue
		}
		f.EndAttempt(now, p.end)
		f.inFlight[p.end.Upstream]--
		if p.end.Outcome != Served {
			f.broken++
			f.failed[p.end.Upstream]++
		} else {
			f.served++
		}
	}
	f.pending = keep
	for _, q := range f.DecideQueued(now, 0) {
		f.started(now, q.ID, q.Selection)
	}
}

// Guards against waves of broken requests: upstreams that fail each request after its whole time limit were let back for many
// requests at once, each time that their failures were forgotten.
func TestFailingUpstreamsGetOneRequestAtATime(t *testing.T) {
	const slots, faulty, lasting, timeout = 4, 2, 30 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		once    bool
		outcome Outcome
	}{
		"safe requests": {false, Failed}, "orders": {true, Failed}, "orders without an answer": {true, TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			f := &faultySite{
				outcome: c.outcome,
				State:   newState(t, upstreamIn("a", passau), upstreamIn("b", passau), upstreamIn("c", passau), upstreamIn("d", landshut)),
				timeout: timeout, failed: make(map[string]int), inFlight: make(map[string]int),
			}
			for now := time.Duration(0); now < lasting; now += 5 * time.Millisecond {
				f.endDue(now)
				req := repeatable()
				req.Once = c.once
				f.send(now, req)
			}
			t.Logf("%d broken, %d served, %d refused", f.broken, f.served, f.refused)
			if f.afterFailure > 1 {
				t.Errorf("a failing upstream got %d requests at once", f.afterFailure)
			}
			// A first group may break at each upstream, those that are granted while its first failures arrive, and one
			// in each timeout after that.
			if bound := faulty * (slots + maxFailuresInRow - 1 + int(lasting/timeout)); f.broken > bound {
				t.Errorf("%d requests broken, want at most %d", f.broken, bound)
			}
			if f.refused > f.served/10 {
				t.Errorf("%d requests refused and %d served while two upstreams are sound", f.refused, f.served)
			}
		})
	}
}

// Guards against a sound upstream that loses its capacity by a single broken connection.
func TestIsolatedFailureIsNoTrial(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	failEach(s, 0, "a", 1, Failed)
	failEach(s, 0, "a", 1, Served)
	failEach(s, 0, "a", maxFailuresInRow-1, Failed)
	granted := 0
	for range 6 {
		if s.Decide(0, 0, repeatable()).Upstream == "a" {
			granted++
		}
	}
	if granted < 2 {
		t.Errorf("%d requests granted at an upstream with isolated failures, want 2 or more", granted)
	}
}

// Guards against an upstream that works again and gets no requests, or not as many as before.
func TestServedTrialEndsIt(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", landshut))
	failEach(s, 0, "a", maxFailuresInRow, Failed)
	req := repeatable()
	assertGranted(t, s.Decide(0, 0, req), "b")
	now := 10 * time.Second // the failure rate is forgotten
	trial := repeatable()
	assertGranted(t, s.Decide(now, 0, trial), "a")
	assertGranted(t, s.Decide(now, 0, repeatable()), "b")
	s.EndAttempt(now, AttemptEnd{ID: trial.ID, Upstream: "a", Outcome: Served})
	now += 10 * time.Second
	assertGranted(t, s.Decide(now, 0, repeatable()), "a")
	assertGranted(t, s.Decide(now, 0, repeatable()), "a")
}

// Guards against trials that follow each other without a pause while they fail, and against pauses without a bound.
func TestPausesBetweenTrialsGrowToABound(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", landshut))
	failEach(s, 0, "a", maxFailuresInRow, Failed)
	u, now := s.byID["a"], time.Duration(0)
	for _, want := range []time.Duration{250, 500, 1000, 2000, 4000, 4000} {
		want *= time.Millisecond
		if got := u.trials.nextAt - now; got != want {
			t.Fatalf("pause of %v before a trial, want %v", got, want)
		}
		now = u.trials.nextAt
		req := repeatable()
		req.Tried = []string{"b"}
		assertRefused(t, s.tryGrant(now-1, 0, s.service("booking"), &req), NoRoom)
		assertGranted(t, s.Decide(now, 0, req), "a")
		s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: "a", Outcome: Failed})
	}
}

// Guards against requests that break as trials although they could not be repeated, and against an upstream that is not used
// again because all requests of its service are such.
func TestOrdersAndHedgesAreNoTrials(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	svc := s.service("booking")
	failEach(s, 0, "a", maxFailuresInRow, Failed)
	order, hedge := repeatable(), repeatable()
	order.Once, order.Tried = true, []string{"b"}
	hedge.Hedge, hedge.Tried = true, []string{"b"}
	now := minTrialPause
	assertRefused(t, s.tryGrant(now, 0, svc, &order), NoRoom)
	assertRefused(t, s.tryGrant(now, 0, svc, &hedge), NoRoom)
	now += maxTrialPause
	assertRefused(t, s.tryGrant(now, 0, svc, &hedge), NoRoom)
	assertGranted(t, s.tryGrant(now, 0, svc, &order), "a")
}

// Guards against a service that refuses requests because all of its upstreams have failed: they share the load as before.
func TestUpstreamsThatAllFailShareTheLoad(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	failEach(s, 0, "a", maxFailuresInRow, Failed)
	failEach(s, 0, "b", maxFailuresInRow, Unreached)
	granted := map[string]int{}
	for range 6 {
		granted[s.Decide(0, 0, newRequest()).Upstream]++
	}
	if granted["a"] != 3 || granted["b"] != 3 {
		t.Errorf("requests granted by upstream: %v, want 3 each", granted)
	}
}

// Guards against sound upstreams that go on trial because callers set time limits that no upstream can keep.
func TestShortTimeLimitsAreNoFailures(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", landshut))
	now := time.Duration(0)
	for range 10 {
		req := repeatable()
		req.Tried = []string{"b"}
		assertGranted(t, s.Decide(now, 0, req), "a")
		now += 50 * time.Millisecond
		s.EndAttempt(now, AttemptEnd{ID: req.ID, Upstream: "a", Outcome: TimedOut})
	}
	if s.byID["a"].trials.active() {
		t.Error("the upstream is on trial")
	}
}

// Guards against a sound upstream that goes on trial because one event, such as a reset of its connections, broke all of its requests
// in flight.
func TestRequestsThatBreakTogetherAreNoTrial(t *testing.T) {
	a := upstreamIn("a", passau)
	a.Slots = 2 * (maxFailuresInRow + 1)
	s := newState(t, a, upstreamIn("b", landshut))
	var inFlight []AttemptID
	for range maxFailuresInRow + 1 {
		req := repeatable()
		req.Tried = []string{"b"}
		assertGranted(t, s.tryGrant(0, 0, s.service("booking"), &req), "a")
		inFlight = append(inFlight, req.ID)
	}
	s.EndAttempt(time.Second, AttemptEnd{ID: inFlight[0], Upstream: "a", Outcome: Served})
	for _, id := range inFlight[1:] {
		s.EndAttempt(time.Second+time.Millisecond, AttemptEnd{ID: id, Upstream: "a", Outcome: Failed})
	}
	if s.byID["a"].trials.active() {
		t.Error("the upstream is on trial")
	}
}

// Guards against an upstream that works again and gets no trial for as long as a long response of it lasts, or as an attempt whose
// end was lost.
func TestLongAttemptDoesNotHoldUpTrials(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	long := newRequest()
	long.Tried, long.TimeLeft = []string{"b"}, 30*time.Second
	assertGranted(t, s.Decide(0, 0, long), "a")
	failEach(s, 0, "a", maxFailuresInRow, Failed)
	trial := repeatable()
	trial.Tried = []string{"b"}
	assertGranted(t, s.tryGrant(minTrialPause, 0, s.service("booking"), &trial), "a")
}

// Guards against requests that are refused although a trial is due, because the sound upstreams have no room.
func TestTrialThatIsDueIsUsedBesideFullUpstreams(t *testing.T) {
	for name, attemptsLeft := range map[string]int{"trial": 1, "last resort": 0} {
		t.Run(name, func(t *testing.T) {
			s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
			svc := s.service("booking")
			failEach(s, 0, "a", maxFailuresInRow, Failed)
			for range svc.upstreams[0].kneeSlots() {
				order := newRequest()
				order.Once = true
				assertGranted(t, s.tryGrant(0, 0, svc, &order), "b")
			}
			first, second := newRequest(), newRequest()
			first.AttemptsLeft, second.AttemptsLeft = attemptsLeft, attemptsLeft
			assertGranted(t, s.tryGrant(minTrialPause, 0, svc, &first), "a")
			assertRefused(t, s.tryGrant(minTrialPause, 0, svc, &second), NoRoom)
		})
	}
}
