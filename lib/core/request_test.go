package core

import (
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

// startedUpstreams returns the upstreams of the attempts started since the last call of takeEffects.
func startedUpstreams(h *testHost) (ids []ident.UpstreamID) {
	for _, e := range h.takeEffects() {
		if e, ok := e.(StartAttempt); ok {
			ids = append(ids, e.Upstream)
		}
	}
	return ids
}

// Guards against a repeated order that runs a second time or gets another answer than the first.
func TestOrders(t *testing.T) {
	variants := map[string]func(*testing.T, *testHost) RequestArrived{
		"token": func(t *testing.T, h *testHost) RequestArrived {
			return RequestArrived{Class: "orders", Token: h.issue(t)}
		},
		"key": func(*testing.T, *testHost) RequestArrived { return RequestArrived{Class: "orders", Key: "k"} },
	}
	for name, request := range variants {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			if a := onlyEffect[StartAttempt](t, h); !a.Capture {
				t.Fatal("the answer is not captured")
			}
			second := h.arrive(ev)
			assertNone(t, h)
			h.answered(id, 1, 200)
			onlyEffect[Deliver](t, h)
			answer := &Answer{Status: 200, Body: []byte("done")}
			h.step(AttemptEnded{ID: id, Attempt: 1, Outcome: OutcomeComplete, Answer: answer})
			if e := onlyEffect[Replay](t, h); e.ID != second || string(e.Answer.Body) != "done" {
				t.Fatalf("got %+v", e)
			}
			h.arrive(ev)
			onlyEffect[Replay](t, h)
		})
		t.Run(name+" cancelled", func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			onlyEffect[StartAttempt](t, h)
			h.step(RequestCancelled{ID: id})
			assertNone(t, h)
			h.answered(id, 1, 200)
			onlyEffect[Deliver](t, h)
			h.step(AttemptEnded{ID: id, Attempt: 1, Outcome: OutcomeComplete, Answer: &Answer{Status: 200}})
			h.arrive(ev)
			onlyEffect[Replay](t, h)
		})
		t.Run(name+" cancelled and reset", func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			onlyEffect[StartAttempt](t, h)
			h.step(RequestCancelled{ID: id})
			h.end(id, 1, OutcomeReset)
			h.arrive(ev)
			assertRefused(t, h, ReasonUpstreamFailed, RunUnknown)
		})
		t.Run(name+" unknown", func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			onlyEffect[StartAttempt](t, h)
			h.end(id, 1, OutcomeReset)
			assertRefused(t, h, ReasonUpstreamFailed, RunUnknown)
			h.arrive(ev)
			assertRefused(t, h, ReasonUpstreamFailed, RunUnknown)
		})
	}
	t.Run("neither", func(t *testing.T) {
		h := newHost(t, 2)
		h.warm()
		h.arrive(RequestArrived{Class: "orders"})
		h.arrive(RequestArrived{Class: "orders"})
		if n := len(startedUpstreams(h)); n != 2 {
			t.Errorf("%d attempts for two orders without a token or key", n)
		}
	})
}

// Guards against running an order whose token another host issued, because that host may run it at the same time.
func TestRelay(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("passau-2", "passau")
	h.run(time.Second)
	cfg := testSettings()
	cfg.Incarnation = h.peers["passau-2"].inc
	token, err := New(cfg).dedup.Issue(0, 1, "orders")
	if err != nil {
		t.Fatal(err)
	}
	id := h.arrive(RequestArrived{Class: "orders", Token: token.Text})
	if e := onlyEffect[Relay](t, h); e.To != "passau-2" {
		t.Fatalf("got %+v", e)
	}
	h.step(RelayEnded{ID: id})
	assertRefused(t, h, ReasonHostGone, RunUnknown)
	h.arrive(RequestArrived{Class: "orders", Token: token.Text, Relayed: true})
	assertRefused(t, h, ReasonHostGone, RunUnknown)
}

// Guards against waiting for slow answers without a hedge, against hedges that run an order twice, and against hedges
// that are left running.
func TestHedge(t *testing.T) {
	h := newHost(t, 3)
	h.warm()
	t.Run("late", func(t *testing.T) {
		id := h.arrive(RequestArrived{Class: "enquiry"})
		first := onlyEffect[StartAttempt](t, h)
		h.run(50 * ms)
		second := onlyEffect[StartAttempt](t, h)
		if second.ID != id || second.Attempt != 2 || second.Upstream == first.Upstream {
			t.Fatalf("got %+v after %+v", second, first)
		}
		h.answered(id, 2, 200)
		effects := h.takeEffects()
		if len(effects) != 2 || effects[0] != (CancelAttempt{ID: id, Attempt: 1}) || effects[1] != (Deliver{ID: id, Attempt: 2}) {
			t.Fatalf("got %+v", effects)
		}
		h.end(id, 2, OutcomeComplete)
		h.end(id, 1, OutcomeCancelled)
		assertNone(t, h)
	})
	t.Run("server error", func(t *testing.T) {
		id := h.arrive(RequestArrived{Class: "enquiry"})
		h.run(50 * ms)
		h.takeEffects()
		h.answered(id, 1, 503)
		if e := onlyEffect[CancelAttempt](t, h); e.Attempt != 1 {
			t.Fatalf("got %+v", e)
		}
		h.end(id, 1, OutcomeCancelled)
		h.serve(id, 2)
		onlyEffect[Deliver](t, h)
	})
	t.Run("order", func(t *testing.T) {
		h.arrive(RequestArrived{Class: "orders"})
		onlyEffect[StartAttempt](t, h)
		h.run(50 * ms)
		assertNone(t, h)
	})
	t.Run("below another call", func(t *testing.T) {
		h.arrive(RequestArrived{Class: "enquiry", Depth: 1})
		onlyEffect[StartAttempt](t, h)
		h.run(50 * ms)
		assertNone(t, h)
	})
}

// Guards against work that continues after its caller closed the connection, and against cancelling an order that may
// be running.
func TestCancel(t *testing.T) {
	h := newHost(t, 1)
	id := h.arrive(RequestArrived{Class: "enquiry"})
	onlyEffect[StartAttempt](t, h)
	waiting := h.arrive(RequestArrived{Class: "orders"})
	h.step(RequestCancelled{ID: waiting})
	assertNone(t, h)
	h.step(RequestCancelled{ID: id})
	if e := onlyEffect[CancelAttempt](t, h); e.ID != id {
		t.Fatalf("got %+v", e)
	}
	h.end(id, 1, OutcomeCancelled)
	order := h.arrive(RequestArrived{Class: "orders"})
	assertNone(t, h)
	h.run(abandonedSlotDelay)
	onlyEffect[StartAttempt](t, h)
	h.step(RequestCancelled{ID: order})
	assertNone(t, h)
}

// Guards against work for an upstream or data centre that is taken out of service, and against full load as soon as
// it returns.
func TestOutOfService(t *testing.T) {
	for _, item := range []conf.Item{conf.UpstreamItem("u0"), conf.DataCentreItem("passau")} {
		t.Run(item.String(), func(t *testing.T) {
			h := newHost(t, 1)
			h.warm()
			h.publish(item, conf.Value{Out: true})
			h.run(250 * ms)
			h.arrive(RequestArrived{Class: "orders"})
			assertRefused(t, h, ReasonNoCapacity, RunNo)
			h.publish(item, conf.Value{Out: false})
			h.run(250 * ms)
			for range 4 {
				h.arrive(RequestArrived{Class: "enquiry"})
			}
			if n := len(startedUpstreams(h)); n != 1 {
				t.Errorf("%d requests at once at an upstream that came back", n)
			}
		})
	}
	t.Run("other data centre", func(t *testing.T) {
		h := newHost(t, 1)
		h.addPeer("landshut-1", "landshut")
		h.entries = append(h.entries, upstreamEntry(7, "landshut"))
		h.run(time.Second)
		h.publish(conf.DataCentreItem("passau"), conf.Value{Out: true})
		h.run(250 * ms)
		h.serve(h.arrive(RequestArrived{Class: "orders"}), 1)
		if ids := startedUpstreams(h); len(ids) != 1 || ids[0] != "u7" {
			t.Fatalf("got attempts at %v", ids)
		}
	})
}

// Guards against requests that miss their target at a full data centre while another one has free slots, and against
// using another data centre while the host's own has free slots.
func TestSpill(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("landshut-1", "landshut")
	h.entries = append(h.entries, upstreamEntry(7, "landshut"))
	h.run(time.Second)
	h.arrive(RequestArrived{Class: "enquiry"})
	h.arrive(RequestArrived{Class: "enquiry"})
	h.run(20 * ms)
	if ids := startedUpstreams(h); len(ids) != 1 || ids[0] != "u0" {
		t.Fatalf("got attempts at %v within the target", ids)
	}
	h.run(50 * ms)
	if ids := startedUpstreams(h); len(ids) != 1 || ids[0] != "u7" {
		t.Fatalf("got attempts at %v after the target", ids)
	}
}

// Guards against a graceful shutdown that aborts requests, or that never ends.
func TestStop(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("passau-2", "passau")
	h.run(settle)
	id := h.arrive(RequestArrived{Class: "orders"})
	h.run(10 * ms)
	onlyEffect[StartAttempt](t, h)
	h.step(StopRequested{})
	h.run(2500 * ms)
	h.end(id, 1, OutcomeNotSent)
	if a := onlyEffect[Refuse](t, h); a.Run != RunNo {
		t.Fatalf("got %+v", a)
	}
	last := h.arrive(RequestArrived{Class: "enquiry"})
	h.run(300 * ms)
	onlyEffect[StartAttempt](t, h)
	h.run(500 * ms)
	assertNone(t, h)
	h.serve(last, 1)
	if _, ok := h.takeEffects()[1].(Stop); !ok {
		t.Fatal("no Stop effect after the last request")
	}
}

// Guards against directing callers to a host that is leaving, unreachable, or in a data centre taken out of service.
func TestAddresses(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("landshut-1", "landshut")
	h.addPeer("passau-2", "passau")
	h.run(time.Second)
	assertAddresses := func(what string, want ...string) {
		t.Helper()
		got, _ := h.s.Addresses(h.now, "orders")
		for i := range max(len(got), len(want)) {
			if i >= len(got) || i >= len(want) || got[i].Address != want[i] {
				t.Fatalf("%s: got %v, want %v", what, got, want)
			}
		}
	}
	assertAddresses("all", "passau-2:80", "127.0.1.1:80", "landshut-1:80")
	assertAddresses("next turn", "127.0.1.1:80", "passau-2:80", "landshut-1:80")
	delete(h.peers, "passau-2")
	h.run(time.Second)
	assertAddresses("unreachable", "127.0.1.1:80", "landshut-1:80")
	h.logDown = true
	h.run(1500 * ms)
	others := h.peers
	h.peers = nil
	h.run(3 * time.Second)
	assertAddresses("old configuration", "passau-2:80", "landshut-1:80")
	h.logDown, h.peers = false, others
	h.run(time.Second)
	h.step(StopRequested{})
	assertAddresses("leaving", "landshut-1:80")
	h.publish(conf.DataCentreItem("landshut"), conf.Value{Out: true})
	h.run(250 * ms)
	assertAddresses("out of service")
}

// Guards against more requests in flight than the upstream has slots. An upstream drops an abandoned request a little
// after its host has abandoned it, so the slot must not be used again at once.
func TestSlotOfAbandonedAttempt(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeDeadline, OutcomeCancelled, OutcomeEndless} {
		h := newHost(t, 1)
		id := h.arrive(RequestArrived{Class: "orders"})
		onlyEffect[StartAttempt](t, h)
		h.arrive(RequestArrived{Class: "orders"})
		assertNone(t, h)
		h.end(id, 1, outcome)
		assertRefused(t, h, failureReason(outcome), RunUnknown)
		h.run(abandonedSlotDelay - ms)
		assertNone(t, h)
		h.run(ms)
		onlyEffect[StartAttempt](t, h)
	}
}

// Guards against spending slots on requests that would be answered after their deadline: their outcome would be
// unknown and their work wasted.
func TestTooLateToStart(t *testing.T) {
	h := newHost(t, 1)
	h.s.topo.classes["orders"].policy.ObserveSlotTime(400 * ms)
	h.arrive(RequestArrived{Class: "orders"})
	onlyEffect[StartAttempt](t, h)
	h.arrive(RequestArrived{Class: "orders"})
	h.run(590 * ms)
	assertNone(t, h)
	h.run(20 * ms)
	assertRefused(t, h, ReasonDeadline, RunNo)
}

// Guards against an upstream that goes on getting requests because its answers begin quickly, although they never end.
func TestEndlessAnswerCountsAgainstTheUpstream(t *testing.T) {
	h := newHost(t, 1)
	tracker := h.s.topo.classes["orders"].policy.Tracker
	for _, c := range []struct {
		outcome Outcome
		slower  bool
	}{{OutcomeComplete, false}, {OutcomeDeadline, false}, {OutcomeEndless, true}} {
		id := h.arrive(RequestArrived{Class: "orders"})
		a := onlyEffect[StartAttempt](t, h)
		h.answered(id, 1, 200)
		before := tracker.SmoothedTime(a.Upstream)
		h.end(id, 1, c.outcome)
		h.takeEffects()
		if after := tracker.SmoothedTime(a.Upstream); after > before != c.slower {
			t.Errorf("after outcome %d, the upstream's time went from %v to %v; want it longer: %t", c.outcome, before, after, c.slower)
		}
		h.run(time.Second)
		h.takeEffects()
	}
}
