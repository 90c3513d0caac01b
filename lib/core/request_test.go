package core

import (
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

// started returns the upstreams of the attempts since the last call of take.
func started(h *host) (ids []ident.UpstreamID) {
	for _, e := range h.take() {
		if e, ok := e.(StartAttempt); ok {
			ids = append(ids, e.Upstream)
		}
	}
	return ids
}

// Guards against a repetition of an order that runs again, or gets another answer than the first.
func TestOrders(t *testing.T) {
	names := map[string]func(*testing.T, *host) RequestArrived{
		"token": func(t *testing.T, h *host) RequestArrived {
			return RequestArrived{Class: "orders", Token: h.issue(t)}
		},
		"key": func(*testing.T, *host) RequestArrived { return RequestArrived{Class: "orders", Key: "k"} },
	}
	for name, request := range names {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			if a := only[StartAttempt](t, h); !a.Capture {
				t.Fatal("the answer is not captured")
			}
			second := h.arrive(ev)
			assertNone(t, h)
			h.answered(id, 1, 200)
			only[Deliver](t, h)
			answer := &Answer{Status: 200, Body: []byte("done")}
			h.step(AttemptEnded{ID: id, Attempt: 1, Outcome: OutcomeComplete, Answer: answer})
			if e := only[Replay](t, h); e.ID != second || string(e.Answer.Body) != "done" {
				t.Fatalf("got %+v", e)
			}
			h.arrive(ev)
			only[Replay](t, h)
		})
		t.Run(name+" cancelled", func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			only[StartAttempt](t, h)
			h.step(RequestCancelled{ID: id})
			assertNone(t, h)
			h.answered(id, 1, 200)
			only[Deliver](t, h)
			h.step(AttemptEnded{ID: id, Attempt: 1, Outcome: OutcomeComplete, Answer: &Answer{Status: 200}})
			h.arrive(ev)
			only[Replay](t, h)
		})
		t.Run(name+" cancelled and reset", func(t *testing.T) {
			h := newHost(t, 1)
			ev := request(t, h)
			id := h.arrive(ev)
			h.run(100 * ms)
			only[StartAttempt](t, h)
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
			only[StartAttempt](t, h)
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
		if n := len(started(h)); n != 2 {
			t.Errorf("%d attempts for two orders without a name", n)
		}
	})
}

// Guards against an order that another host may run at the same time.
func TestRelay(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("passau-2", "passau")
	h.run(time.Second)
	cfg := testSettings()
	cfg.Incarnation = h.peers["passau-2"].inc
	token, err := New(cfg).book.Issue(0, 1, "orders")
	if err != nil {
		t.Fatal(err)
	}
	id := h.arrive(RequestArrived{Class: "orders", Token: token.Text})
	if e := only[Relay](t, h); e.To != "passau-2" {
		t.Fatalf("got %+v", e)
	}
	h.step(RelayEnded{ID: id})
	assertRefused(t, h, ReasonHostGone, RunUnknown)
	h.arrive(RequestArrived{Class: "orders", Token: token.Text, Relayed: true})
	assertRefused(t, h, ReasonHostGone, RunUnknown)
}

// Guards against late answers that are waited for, and against hedges that run an order twice or that are left running.
func TestHedge(t *testing.T) {
	h := newHost(t, 3)
	h.warm()
	t.Run("late", func(t *testing.T) {
		id := h.arrive(RequestArrived{Class: "enquiry"})
		first := only[StartAttempt](t, h)
		h.run(50 * ms)
		second := only[StartAttempt](t, h)
		if second.ID != id || second.Attempt != 2 || second.Upstream == first.Upstream {
			t.Fatalf("got %+v after %+v", second, first)
		}
		h.answered(id, 2, 200)
		effects := h.take()
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
		h.take()
		h.answered(id, 1, 503)
		if e := only[CancelAttempt](t, h); e.Attempt != 1 {
			t.Fatalf("got %+v", e)
		}
		h.end(id, 1, OutcomeCancelled)
		h.serve(id, 2)
		only[Deliver](t, h)
	})
	t.Run("order", func(t *testing.T) {
		h.arrive(RequestArrived{Class: "orders"})
		only[StartAttempt](t, h)
		h.run(50 * ms)
		assertNone(t, h)
	})
	t.Run("below another call", func(t *testing.T) {
		h.arrive(RequestArrived{Class: "enquiry", Depth: 1})
		only[StartAttempt](t, h)
		h.run(50 * ms)
		assertNone(t, h)
	})
}

// Guards against work that goes on for a caller that left, and against the cancellation of an order that may be running.
func TestCancel(t *testing.T) {
	h := newHost(t, 1)
	id := h.arrive(RequestArrived{Class: "enquiry"})
	only[StartAttempt](t, h)
	waiting := h.arrive(RequestArrived{Class: "orders"})
	h.step(RequestCancelled{ID: waiting})
	assertNone(t, h)
	h.step(RequestCancelled{ID: id})
	if e := only[CancelAttempt](t, h); e.ID != id {
		t.Fatalf("got %+v", e)
	}
	h.end(id, 1, OutcomeCancelled)
	order := h.arrive(RequestArrived{Class: "orders"})
	assertNone(t, h)
	h.run(abandonedFor)
	only[StartAttempt](t, h)
	h.step(RequestCancelled{ID: order})
	assertNone(t, h)
}

// Guards against work for an upstream or data centre that is out of service, and against full load on its return.
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
			if n := len(started(h)); n != 1 {
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
		if ids := started(h); len(ids) != 1 || ids[0] != "u7" {
			t.Fatalf("got attempts at %v", ids)
		}
	})
}

// Guards against requests that miss their target at a full data centre while another one has free slots, and against
// the longer way while the own data centre is free.
func TestSpill(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("landshut-1", "landshut")
	h.entries = append(h.entries, upstreamEntry(7, "landshut"))
	h.run(time.Second)
	h.arrive(RequestArrived{Class: "enquiry"})
	h.arrive(RequestArrived{Class: "enquiry"})
	h.run(20 * ms)
	if ids := started(h); len(ids) != 1 || ids[0] != "u0" {
		t.Fatalf("got attempts at %v within the target", ids)
	}
	h.run(50 * ms)
	if ids := started(h); len(ids) != 1 || ids[0] != "u7" {
		t.Fatalf("got attempts at %v after the target", ids)
	}
}

// Guards against a shutdown that ends requests, or that never ends.
func TestStop(t *testing.T) {
	h := newHost(t, 1)
	h.addPeer("passau-2", "passau")
	h.run(settle)
	id := h.arrive(RequestArrived{Class: "orders"})
	h.run(10 * ms)
	only[StartAttempt](t, h)
	h.step(StopRequested{})
	h.run(2500 * ms)
	h.end(id, 1, OutcomeNotSent)
	if a := only[Refuse](t, h); a.Run != RunNo {
		t.Fatalf("got %+v", a)
	}
	last := h.arrive(RequestArrived{Class: "enquiry"})
	h.run(300 * ms)
	only[StartAttempt](t, h)
	h.run(500 * ms)
	assertNone(t, h)
	h.serve(last, 1)
	if _, ok := h.take()[1].(Stop); !ok {
		t.Fatal("no stop after the last request")
	}
}

// Guards against callers that are sent to a host that leaves, is unreachable or is in a data centre out of service.
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

// Guards against a request above an upstream's slots: an upstream drops what its host has given up a little later.
func TestSlotOfAbandonedAttempt(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeDeadline, OutcomeCancelled} {
		h := newHost(t, 1)
		id := h.arrive(RequestArrived{Class: "orders"})
		only[StartAttempt](t, h)
		h.arrive(RequestArrived{Class: "orders"})
		assertNone(t, h)
		h.end(id, 1, outcome)
		assertRefused(t, h, failureReason(outcome), RunUnknown)
		h.run(abandonedFor - ms)
		assertNone(t, h)
		h.run(ms)
		only[StartAttempt](t, h)
	}
}

// Guards against slots spent on requests whose answer comes after the deadline: their outcome is unknown and their work of no use.
func TestTooLateToStart(t *testing.T) {
	h := newHost(t, 1)
	h.s.topo.classes["orders"].policy.ObserveSlotTime(400 * ms)
	h.arrive(RequestArrived{Class: "orders"})
	only[StartAttempt](t, h)
	h.arrive(RequestArrived{Class: "orders"})
	h.run(590 * ms)
	assertNone(t, h)
	h.run(20 * ms)
	assertRefused(t, h, ReasonDeadline, RunNo)
}
