package grant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
)

// Guards against an owner that goes on granting an upstream that has said in a response that it is leaving, to any host, and
// against a notice that outlasts the lifetime of the upstream or is lost while its entry is away.
func TestLeavingUpstreamIsNotGranted(t *testing.T) {
	a, b := upstreamIn("a", passau), upstreamIn("b", landshut)
	a.Started, b.Started = 1, 1
	s := newState(t, a, b)
	if !s.ApplyNotice(0, "other", a.Lifetime(), fleet.Notice{Leaving: true}) {
		t.Error("the notice counts as known")
	}
	assertGranted(t, s.Decide(0, 0, newRequest()), "b")
	if got := s.LeavingReady(true)["booking"]; !slices.Equal(got, []fleet.Lifetime{a.Lifetime()}) {
		t.Errorf("leaving and listed as ready: %v, want a", got)
	}
	s.Update(0, view(t, b))
	s.Update(0, view(t, a, b))
	assertGranted(t, s.Decide(0, 0, newRequest()), "b")
	a.State = fleet.Leaving
	s.Update(0, view(t, a, b))
	if got := s.LeavingReady(true)["booking"]; len(got) > 0 {
		t.Errorf("leaving and listed as ready: %v, want none once the list shows it", got)
	}
	a.State, a.Started = fleet.Ready, 2
	s.Update(0, view(t, a))
	assertGranted(t, s.Decide(0, 0, newRequest()), "a")
}

// Guards against an owner that grants an upstream to a host that it wants no requests from for a time, that grants it to none
// of the others, or that does not count it in the cause of a refusal.
func TestPausedUpstreamIsNotGrantedToItsHost(t *testing.T) {
	a := upstreamIn("a", passau)
	s := newState(t, a)
	s.ApplyNotice(0, "h", a.Lifetime(), fleet.Notice{RetryAfter: time.Second})
	refused := s.Decide(time.Second-1, 0, newRequest())
	assertRefused(t, refused, NoUpstream)
	if refused.UpstreamCounts.Full != 1 {
		t.Errorf("upstream counts %+v, want one full", refused.UpstreamCounts)
	}
	other := newRequest()
	other.ID.Host = "other"
	assertGranted(t, s.Decide(0, 0, other), "a")
	assertGranted(t, s.Decide(time.Second, 0, newRequest()), "a")
}

// Guards against a retry budget that grows when a request asks again because its upstream could not be used: it is one request
// of a caller, however often it asks.
func TestRequestThatAsksAgainCountsOnce(t *testing.T) {
	s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
	req := newRequest()
	s.Decide(0, 0, req)
	again := newRequest()
	again.Tried = []string{"a"}
	s.Decide(0, 0, again)
	if got := s.service("booking").ownerBudget.slices[0].requests; got != 1 {
		t.Errorf("%d requests counted, want 1", got)
	}
}

// fleetHost is a host in a simulation of many hosts that send requests to the upstreams that one owner grants.
type fleetHost struct {
	name  string
	state *State // what this host knows from the responses to it
}

// event is a message or response that arrives at a time of a simulation.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

// noticeSim is a simulation of hosts, their owner and the upstreams in virtual time. Messages take up to simMaxDelay, and some
// between hosts are lost.
type noticeSim struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events []event
	owner  *State
	hosts  []*fleetHost
	list   map[string]fleet.Upstream
	// leavingAt is when an upstream begins to say that it is leaving. pausedUntil holds, by host and upstream, until when an
	// upstream wants no requests, as far as its response has reached the host.
	leavingAt   map[string]time.Duration
	leavingSaid map[[2]string]bool
	pausedUntil map[[2]string]time.Duration
	sent        int
	withheld    int
}

const (
	simMaxDelay = 30 * time.Millisecond
	simLoss     = 0.2
)

func (s *noticeSim) after(d time.Duration, do func(now time.Duration)) {
	s.events = append(s.events, event{s.now + d, do})
}

func (s *noticeSim) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(simMaxDelay)))
}

// run handles the events until the given time.
func (s *noticeSim) run(until time.Duration) {
	for len(s.events) > 0 {
		next := 0
		for i := range s.events {
			if s.events[i].at < s.events[next].at {
				next = i
			}
		}
		e := s.events[next]
		if e.at > until {
			return
		}
		s.events = slices.Delete(s.events, next, next+1)
		s.now = e.at
		e.do(s.now)
	}
}

// request sends a request of host h: it asks the owner, may wait for a connection, and sends.
func (s *noticeSim) request(h *fleetHost) {
	req := newRequest()
	req.ID.Host = h.name
	s.after(s.delay(), func(now time.Duration) {
		sel := s.owner.Decide(now, s.rng.Float64(), req)
		if sel.Upstream == "" {
			return
		}
		s.after(s.delay()+s.delay(), func(now time.Duration) { s.send(now, h, req.ID, s.list[sel.Upstream]) })
	})
}

// send sends a granted request unless the upstream has told the host otherwise meanwhile, and fails the test if it had.
func (s *noticeSim) send(now time.Duration, h *fleetHost, id AttemptID, u fleet.Upstream) {
	key := [2]string{h.name, u.ID}
	end := func(now time.Duration, o Outcome) {
		n := h.state.Notice(now, h.name, u.Lifetime())
		if s.rng.Float64() < simLoss {
			return
		}
		s.after(s.delay(), func(now time.Duration) {
			s.owner.EndAttempt(now, AttemptEnd{ID: id, Upstream: u.ID, Outcome: o})
			if !n.IsZero() {
				s.owner.ApplyNotice(now, h.name, u.Lifetime(), n)
			}
		})
	}
	if !h.state.Notice(now, h.name, u.Lifetime()).IsZero() {
		s.withheld++
		end(now, Unused)
		return
	}
	s.sent++
	if s.leavingSaid[key] || now < s.pausedUntil[key] {
		s.t.Errorf("at %v host %s sends to %s, which has told it not to", now, h.name, u.ID)
	}
	s.after(s.delay()+s.delay(), func(now time.Duration) {
		var n fleet.Notice
		if at, ok := s.leavingAt[u.ID]; ok && now >= at {
			n.Leaving, s.leavingSaid[key] = true, true
		}
		if s.rng.Float64() < 0.2 {
			n.RetryAfter = time.Duration(1+s.rng.IntN(5)) * 100 * time.Millisecond
			s.pausedUntil[key] = max(s.pausedUntil[key], now+n.RetryAfter)
		}
		h.state.ApplyNotice(now, h.name, u.Lifetime(), n)
		end(now, Served)
	})
}

// Guards against a host that sends a request to an upstream that has told it that it is leaving, or to send nothing for a
// time: with hundreds of hosts and attempts in flight, an upstream is granted before its notice reaches the owner, and the notice
// may be lost on the way there.
func TestNoHostSendsAgainstANotice(t *testing.T) {
	for _, hosts := range []int{20, 300} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				s := newNoticeSim(t, hosts, seed)
				for i := range 40 * hosts {
					s.events = append(s.events, event{
						at: time.Duration(s.rng.Int64N(int64(2 * time.Second))),
						do: func(time.Duration) { s.request(s.hosts[i%hosts]) },
					})
				}
				s.run(time.Minute)
				if s.sent == 0 || s.withheld == 0 {
					t.Errorf("%d requests sent, %d granted ones withheld, want some of both", s.sent, s.withheld)
				}
			})
		}
	}
}

func newNoticeSim(t *testing.T, hosts int, seed uint64) *noticeSim {
	s := &noticeSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), list: make(map[string]fleet.Upstream), leavingAt: make(map[string]time.Duration),
		leavingSaid: make(map[[2]string]bool), pausedUntil: make(map[[2]string]time.Duration),
	}
	var upstreams []fleet.Upstream
	for i := range 40 {
		u := upstreamIn(fmt.Sprintf("u%d", i), passau)
		u.Started, u.Slots = 1, 50
		upstreams = append(upstreams, u)
		s.list[u.ID] = u
		if i%4 == 0 {
			s.leavingAt[u.ID] = time.Duration(i) * 40 * time.Millisecond
		}
	}
	s.owner = newState(t, upstreams...)
	for i := range hosts {
		s.hosts = append(s.hosts, &fleetHost{fmt.Sprintf("h%d", i), newState(t, upstreams...)})
	}
	return s
}

// Guards against upstreams that count as cold for ever, because hosts tell each other what others told them, and the time grows by
// the delay of each message.
func TestColdStateIsNotRepeated(t *testing.T) {
	const delay, heartbeat = 5 * time.Millisecond, 400 * time.Millisecond
	hosts := []*State{newState(t, upstreamIn("a", passau)), newState(t, upstreamIn("a", passau)), newState(t, upstreamIn("a", passau))}
	hosts[0].RecordReport(0, "a", fleet.Report{Slots: 4, ColdFor: time.Second}, true, false)
	tell := func(now time.Duration, from *State) {
		cold := from.ColdUpstreams(now)
		for _, to := range hosts {
			if left, ok := cold["a"]; ok && to != from {
				to.RecordCold(now+delay, "a", left)
			}
		}
	}
	for now := time.Duration(0); now < time.Second; now += heartbeat {
		for i, h := range hosts {
			tell(now+time.Duration(i+1)*2*delay, h)
		}
	}
	if !hosts[1].byID["a"].isCold(time.Second / 2) {
		t.Error("the other hosts do not know that the upstream is cold")
	}
	for i, h := range hosts {
		if until := h.byID["a"].coldUntil; until > time.Second+delay {
			t.Errorf("host %d takes the upstream for cold until %v, want at most %v", i, until, time.Second+delay)
		}
	}
}

// Guards against one false load report that spoils the average response time of the whole service.
func TestFalseSlowdownDoesNotSpoilTheAverage(t *testing.T) {
	for _, percent := range []float64{1e-300, 1, 1e9} {
		s := newState(t, upstreamIn("a", passau), upstreamIn("b", passau))
		s.RecordReport(0, "a", fleet.Report{Slots: 4, SlowdownPercent: percent}, true, false)
		req := newRequest()
		req.Tried = []string{"b"}
		assertGranted(t, s.Decide(0, 0, req), "a")
		s.EndAttempt(time.Millisecond, AttemptEnd{ID: req.ID, Upstream: "a", Outcome: Served})
		if got := s.service("booking").averageTime; got < defaultAverageTime/2 || got > 2*defaultAverageTime {
			t.Errorf("average response time %v after one response at %g percent, want about %v", got, percent, defaultAverageTime)
		}
	}
}
