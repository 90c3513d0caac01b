package core

import (
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

// addSilentHosts lists hosts that never send a heartbeat, so that only the log can confirm that the configuration is
// fresh.
func (h *testHost) addSilentHosts() {
	for _, id := range []string{"landshut-1", "landshut-2"} {
		h.entries = append(h.entries, HostEntry{ID: id, Role: RoleHost, DataCentre: "landshut"})
	}
	h.run(300 * ms)
}

// issue returns a new request ID.
func (h *testHost) issue(t testing.TB) string {
	t.Helper()
	h.nextID++
	h.step(IDRequested{ID: h.nextID, Class: "orders"})
	return onlyEffect[DeliverID](t, h).Token
}

// Guards against a refusal that is missing, has the wrong reason, or claims more about the execution than the host
// knows.
func TestRefusals(t *testing.T) {
	orders := RequestArrived{Class: "orders"}
	fail := func(ev RequestArrived, o Outcome) func(*testing.T, *testHost) {
		return func(t *testing.T, h *testHost) {
			id := h.arrive(ev)
			onlyEffect[StartAttempt](t, h)
			h.end(id, 1, o)
		}
	}
	tests := map[string]struct {
		provoke func(*testing.T, *testHost)
		reason  Reason
		run     Run
	}{
		"stale": {func(_ *testing.T, h *testHost) {
			h.addSilentHosts()
			h.logDown = true
			h.run(4 * time.Second)
			h.arrive(orders)
		}, ReasonConfigStale, RunNo},
		"resumed": {func(_ *testing.T, h *testHost) {
			h.addSilentHosts()
			h.now += 10 * time.Second
			h.arrive(orders)
		}, ReasonConfigStale, RunNo},
		"no upstream in service": {func(_ *testing.T, h *testHost) {
			h.publish(conf.UpstreamItem("u0"), conf.Value{Out: true})
			h.run(300 * ms)
			h.arrive(orders)
		}, ReasonNoCapacity, RunNo},
		"no data centre in service": {func(_ *testing.T, h *testHost) {
			h.publish(conf.DataCentreItem("passau"), conf.Value{Out: true})
			h.run(300 * ms)
			h.arrive(orders)
		}, ReasonNoCapacity, RunNo},
		"waited too long": {func(t *testing.T, h *testHost) {
			h.arrive(orders)
			onlyEffect[StartAttempt](t, h)
			h.arrive(orders)
			h.run(2 * time.Second)
		}, ReasonDeadline, RunNo},
		"queue too long": {func(t *testing.T, h *testHost) {
			h.s.topo.classes["orders"].policy.ObserveSlotTime(300 * ms)
			for range 3 {
				h.arrive(orders)
			}
			onlyEffect[StartAttempt](t, h)
			h.arrive(orders)
		}, ReasonQueueFull, RunNo},
		"deadline in the attempt":       {fail(orders, OutcomeDeadline), ReasonDeadline, RunUnknown},
		"reset":                         {fail(orders, OutcomeReset), ReasonUpstreamFailed, RunUnknown},
		"mismatched answer":             {fail(orders, OutcomeMismatched), ReasonUpstreamFailed, RunUnknown},
		"shed below another call":       {fail(RequestArrived{Class: "orders", Depth: 1}, OutcomeShed), ReasonUpstreamFailed, RunNo},
		"reset of a consultation below": {fail(RequestArrived{Class: "enquiry", Depth: 1}, OutcomeReset), ReasonUpstreamFailed, RunUnknown},
		"unknown ID": {func(_ *testing.T, h *testHost) {
			h.arrive(RequestArrived{Class: "orders", Token: "x"})
		}, ReasonUnknownToken, RunNo},
		"expired ID": {func(t *testing.T, h *testHost) {
			token := h.issue(t)
			h.run(3 * time.Minute)
			h.arrive(RequestArrived{Class: "orders", Token: token})
		}, ReasonExpiredToken, RunUnknown},
		"ID of a host that is gone": {func(t *testing.T, h *testHost) {
			h.s.cfg.Incarnation = 9
			other := New(h.s.cfg)
			token, err := other.dedup.Issue(0, 1, "orders")
			if err != nil {
				t.Fatal(err)
			}
			h.arrive(RequestArrived{Class: "orders", Token: token.Text})
		}, ReasonHostGone, RunUnknown},
		"no log for a key": {func(_ *testing.T, h *testHost) {
			h.logDown = true
			h.arrive(RequestArrived{Class: "orders", Key: "k"})
			h.run(1500 * ms)
		}, ReasonClaimFailed, RunNo},
		"IDs of a leaving host": {func(_ *testing.T, h *testHost) {
			h.step(StopRequested{})
			h.step(IDRequested{ID: 99, Class: "orders"})
		}, ReasonStopping, RunNo},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 1)
			test.provoke(t, h)
			refused := onlyEffect[Refuse](t, h)
			if refused.Reason != test.reason || refused.Run != test.run {
				t.Fatalf("refused with %s, run %s; want %s, run %s", refused.Reason, refused.Run, test.reason, test.run)
			}
			h.run(5 * time.Second)
			for _, e := range h.takeEffects() {
				if e, ok := e.(Refuse); ok && e.ID == refused.ID {
					t.Errorf("refused again with %s", e.Reason)
				}
			}
		})
	}
}

// Guards against more issued IDs than the limit allows: they would exhaust the memory of a host, which has no disk.
func TestIDLimit(t *testing.T) {
	cfg := testSettings()
	cfg.Limits.RequestIDs = 1
	h := newHostWith(t, cfg, 1)
	h.issue(t)
	h.step(IDRequested{ID: 99, Class: "orders"})
	assertRefused(t, h, ReasonTableFull, RunNo)
}

// Guards against a reason without a rule, whose refusals would be reported with another reason.
func TestEveryReasonHasARule(t *testing.T) {
	h := newHost(t, 1)
	r := &request{className: "orders"}
	for reason, rule := range refusalRules {
		for _, run := range []Run{RunNo, RunUnknown, RunYes} {
			if got, said := h.s.truthfulRefusal(r, reason, run); rule.runs.has(run) && (got != reason || said != run) {
				t.Errorf("%s with run %s became %s with run %s", reason, run, got, said)
			}
		}
	}
	r.attempts = []attempt{{outcome: OutcomeReset}}
	for reason := range refusalRules {
		if _, run := h.s.truthfulRefusal(r, reason, RunNo); run == RunNo {
			t.Errorf("%s says \"not run\" after a reset", reason)
		}
	}
}

// Guards against retries that run an order twice or multiply the load of a deep call tree.
func TestRetries(t *testing.T) {
	tests := []struct {
		name    string
		class   ident.ClassName
		depth   int
		outcome Outcome
		retried bool
	}{
		{"order not sent", "orders", 0, OutcomeNotSent, true},
		{"order shed", "orders", 0, OutcomeShed, true},
		{"order shed below", "orders", 1, OutcomeShed, false},
		{"order reset", "orders", 0, OutcomeReset, false},
		{"order truncated", "orders", 0, OutcomeTruncated, false},
		{"order late", "orders", 0, OutcomeDeadline, false},
		{"consultation reset", "enquiry", 0, OutcomeReset, true},
		{"consultation mismatched", "enquiry", 0, OutcomeMismatched, true},
		{"consultation reset below", "enquiry", 1, OutcomeReset, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHost(t, 2)
			id := h.arrive(RequestArrived{Class: test.class, Depth: test.depth})
			first := onlyEffect[StartAttempt](t, h)
			h.end(id, 1, test.outcome)
			if !test.retried {
				onlyEffect[Refuse](t, h)
				return
			}
			second := onlyEffect[StartAttempt](t, h)
			if second.Attempt != 2 || second.Upstream == first.Upstream {
				t.Fatalf("got %+v after %+v", second, first)
			}
			h.serve(id, 2)
			onlyEffect[Deliver](t, h)
		})
	}
}

// Guards against an unbounded number of retries while every upstream fails.
func TestRetryBudget(t *testing.T) {
	h := newHost(t, 4)
	started := 0
	for range 300 {
		id := h.arrive(RequestArrived{Class: "enquiry"})
		for attempt := 1; ; attempt++ {
			effects := h.takeEffects()
			if len(effects) == 0 {
				h.run(10 * ms)
				effects = h.takeEffects()
			}
			if _, ok := effects[0].(StartAttempt); !ok {
				break
			}
			started++
			h.end(id, attempt, OutcomeTruncated)
		}
	}
	if started > 300+32 {
		t.Errorf("%d attempts for 300 requests", started)
	}
}

// Guards against a request that fails because all upstreams of the host's own data centre fail, while another data
// centre could serve it.
func TestLastAttemptElsewhere(t *testing.T) {
	h := newHost(t, 4)
	h.addPeer("landshut-1", "landshut")
	h.entries = append(h.entries, upstreamEntry(7, "landshut"))
	h.run(time.Second)
	id := h.arrive(RequestArrived{Class: "orders"})
	for attempt := 1; attempt < maxAttempts; attempt++ {
		if a := onlyEffect[StartAttempt](t, h); a.Upstream == "u7" {
			t.Fatalf("attempt %d left the data centre", attempt)
		}
		h.step(AttemptEnded{ID: id, Attempt: attempt, Outcome: OutcomeNotSent, ConnRefused: true})
		h.run(5 * ms)
	}
	if a := onlyEffect[StartAttempt](t, h); a.Upstream != "u7" {
		t.Fatalf("the last attempt went to %s", a.Upstream)
	}
}

// Guards against the retry of a request whose class became non-idempotent while the retry waited.
func TestRetryOfChangedClass(t *testing.T) {
	h := newHost(t, 1)
	id := h.arrive(RequestArrived{Class: "enquiry"})
	order := h.arrive(RequestArrived{Class: "orders"})
	h.end(id, 1, OutcomeReset)
	if n := len(startedUpstreams(h)); n != 2 {
		t.Fatalf("%d attempts, want one of each request", n)
	}
	class := testClasses["enquiry"]
	class.Idempotent = false
	h.publish(conf.ClassItem("enquiry"), conf.Value{Class: class})
	h.run(250 * ms)
	h.serve(order, 1)
	h.run(100 * ms)
	effects := h.takeEffects()
	if len(effects) != 2 || effects[0] != (Deliver{ID: order, Attempt: 1}) && effects[1] != (Deliver{ID: order, Attempt: 1}) {
		t.Fatalf("got %+v, want the answer of the order and a refusal", effects)
	}
	if len(h.s.requests) != 0 {
		t.Error("the retry is still waiting")
	}
}

// Guards against "not run" about an order that runs later: the caller had no answer to its first request, because the host
// that got it was stopped, and sends the order again. A refusal of that retry must not say "not run", since the first
// request may still arrive.
func TestRefusedRetryOfADelayedOrderMayRunLater(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, h *testHost) RequestArrived{
		"issued ID": func(t *testing.T, h *testHost) RequestArrived {
			return RequestArrived{Class: "orders", Token: h.issue(t)}
		},
		"key": func(*testing.T, *testHost) RequestArrived { return RequestArrived{Class: "orders", Key: "k"} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 1)
			first := prepare(t, h)
			retry := first
			retry.Retry = true
			h.publish(conf.DataCentreItem("passau"), conf.Value{Out: true})
			h.run(300 * ms)
			h.arrive(retry)
			h.run(300 * ms)
			assertRefused(t, h, ReasonNoCapacity, RunUnknown)
			h.publish(conf.DataCentreItem("passau"), conf.Value{})
			h.run(settle)
			h.takeEffects()
			id := h.arrive(first)
			h.run(300 * ms)
			if a := onlyEffect[StartAttempt](t, h); a.ID != id {
				t.Fatalf("request %d started, want the delayed one, %d", a.ID, id)
			}
		})
	}
}
