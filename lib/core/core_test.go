package core

import "testing"

// Guards against a reducer that cannot serve requests at all, with one host, one upstream and both kinds of class.
func TestServe(t *testing.T) {
	for _, class := range []RequestArrived{{Class: "enquiry"}, {Class: "orders"}} {
		t.Run(string(class.Class), func(t *testing.T) {
			h := newHost(t, 1)
			id := h.arrive(class)
			a := onlyEffect[StartAttempt](t, h)
			if a.ID != id || a.Attempt != 1 || a.Upstream != "u0" || a.Address != "127.0.2.1:80" {
				t.Fatalf("got %+v", a)
			}
			h.answered(id, 1, 200)
			if d := onlyEffect[Deliver](t, h); d.ID != id || d.Attempt != 1 {
				t.Fatalf("got %+v", d)
			}
			h.end(id, 1, OutcomeComplete)
			assertNone(t, h)
			if len(h.s.requests) != 0 {
				t.Fatalf("%d requests are still tracked, want none", len(h.s.requests))
			}
		})
	}
}

// Guards against a request of an unknown class that gets no answer, or an answer by which it may have run.
func TestUnknownClass(t *testing.T) {
	h := newHost(t, 1)
	h.arrive(RequestArrived{Class: "none"})
	assertRefused(t, h, ReasonUnknownClass, RunNo)
	h.serve(h.arrive(RequestArrived{Class: "orders"}), 1)
}
