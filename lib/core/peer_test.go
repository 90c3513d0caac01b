package core

import (
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/member"
)

// sentMessages returns the messages to other hosts that one event causes.
func (h *testHost) sentMessages(ev Event) (messages []SendPeer) {
	h.observe = func(_ Event, effects []Effect) {
		for _, e := range effects {
			if e, ok := e.(SendPeer); ok {
				messages = append(messages, e)
			}
		}
	}
	h.step(ev)
	h.observe = nil
	return messages
}

// Guards against a host that keeps an old configuration while the log is unavailable although a peer has a newer one,
// or that replaces its configuration by a peer's older one.
func TestConfigurationFromPeer(t *testing.T) {
	newer, older := newHost(t, 1), newHost(t, 1)
	newer.publish(conf.UpstreamItem("u0"), conf.Value{Out: true})
	newer.run(300 * ms)
	older.logDown = true
	older.run(4 * time.Second)
	from := ident.HostID("passau-2")
	heartbeat := func(v int64) PeerMessage {
		return PeerMessage{From: from, Incarnation: 8, Message: Message{Heartbeat: &member.Heartbeat{
			Seq: uint64(v), To: 7, DataCentre: "passau", ConfVersion: v, ConfAge: -1,
		}}}
	}
	request := older.sentMessages(heartbeat(newer.s.conf.Version()))
	if len(request) == 0 || request[0].Message.ConfRequest == nil {
		t.Fatalf("got messages %+v, want a request for the configuration", request)
	}
	reply := newer.sentMessages(PeerMessage{From: from, Incarnation: 8, Message: request[0].Message})
	if len(reply) != 1 || reply[0].Message.ConfCheckpoint == nil {
		t.Fatalf("got messages %+v, want the configuration", reply)
	}
	answer := PeerMessage{From: from, Incarnation: 8, Message: reply[0].Message}
	older.step(answer)
	if !older.s.topo.upstreams["u0"].takenOut {
		t.Error("the configuration is not in force")
	}
	older.logDown = false
	older.publish(conf.UpstreamItem("u0"), conf.Value{Out: true})
	older.publish(conf.UpstreamItem("u0"), conf.Value{Out: false})
	older.run(300 * ms)
	older.step(answer)
	if older.s.topo.upstreams["u0"].takenOut {
		t.Error("an older configuration replaced the current one")
	}
}

// Guards against work for an upstream that left while this host was suspended and whose entry the host cannot read
// because the host list is down afterwards.
func TestLeavingUpstreamFromPeer(t *testing.T) {
	h := newHost(t, 2)
	report := func(age time.Duration) {
		h.step(PeerMessage{From: "passau-2", Incarnation: 8, Message: Message{Heartbeat: &member.Heartbeat{
			Seq: uint64(h.now), To: 7, DataCentre: "passau", ConfAge: -1, ListAge: age, LeavingUpstreams: []ident.UpstreamID{"u0"},
		}}})
	}
	report(time.Hour)
	if h.s.topo.upstreams["u0"].leaving {
		t.Error("a peer's older host list was adopted")
	}
	h.listDown = true
	h.run(10 * time.Second)
	report(0)
	if !h.s.topo.upstreams["u0"].leaving {
		t.Error("a peer's newer host list was not adopted")
	}
	h.listDown = false
	h.run(time.Second)
	if h.s.topo.upstreams["u0"].leaving {
		t.Error("the host's own newer list did not replace the peer's")
	}
}

// Guards against a slow upstream that continues to get normal load, or that gets no trials in which it could show
// that it recovered.
func TestEjection(t *testing.T) {
	h := newHost(t, 4)
	h.warm()
	at := map[ident.UpstreamID]int{}
	for range 200 {
		for range 10 {
			h.arrive(RequestArrived{Class: "enquiry", Depth: 1})
		}
		h.run(20 * ms)
		for _, e := range h.takeEffects() {
			a, ok := e.(StartAttempt)
			if !ok {
				continue
			}
			at[a.Upstream]++
			took := 4 * ms
			if a.Upstream == "u2" {
				took = 20 * ms
			}
			h.step(AttemptAnswered{ID: a.ID, Attempt: 1, Status: 200, FirstByte: took})
			h.step(AttemptEnded{ID: a.ID, Attempt: 1, Outcome: OutcomeComplete, Duration: took})
		}
	}
	if n := at["u2"]; n < 4 || n > 30 {
		t.Errorf("%d of 2000 requests in 4 s at the slow upstream, want one a second and a few before", n)
	}
	if h.s.Status().Counters.Ejections == 0 {
		t.Error("no ejection")
	}
}

// Guards against a server error that reaches the caller of an idempotent request while another upstream could answer.
func TestServerError(t *testing.T) {
	h := newHost(t, 3)
	id := h.arrive(RequestArrived{Class: "enquiry"})
	onlyEffect[StartAttempt](t, h)
	for attempt := 1; attempt < maxAttempts; attempt++ {
		h.answered(id, attempt, 500)
		effects := h.takeEffects()
		if len(effects) != 2 || effects[0] != (CancelAttempt{ID: id, Attempt: attempt}) {
			t.Fatalf("got %+v, want a cancellation and another attempt", effects)
		}
	}
	h.answered(id, maxAttempts, 500)
	onlyEffect[Deliver](t, h)
	for attempt := 1; attempt < maxAttempts; attempt++ {
		h.end(id, attempt, OutcomeCancelled)
	}
	assertNone(t, h)
}

// Guards against an idle service that continues to request a slot that other hosts could use.
func TestSpareSlot(t *testing.T) {
	h := newHost(t, 1)
	h.serve(h.arrive(RequestArrived{Class: "enquiry"}), 1)
	h.arrive(RequestArrived{Class: "enquiry"})
	if want := h.s.topo.upstreams["u0"].wantedSlots; want != 1 {
		t.Fatalf("wants %d slots while all are in use", want)
	}
	h.run(300 * ms)
	if want := h.s.topo.upstreams["u0"].wantedSlots; want != 0 {
		t.Errorf("wants %d slots while idle", want)
	}
}

// Guards against idle slots that stay with a host while other hosts wait for them.
func TestSurplusSlots(t *testing.T) {
	h := newHost(t, 1)
	h.warm()
	held := func() int {
		st, _ := h.s.leases.Status(h.now, "u0")
		return st.Held
	}
	var ids []ident.RequestID
	for range 3 {
		ids = append(ids, h.arrive(RequestArrived{Class: "enquiry"}))
	}
	if held() < 3 {
		t.Fatalf("holds %d slots for three requests", held())
	}
	for _, id := range ids {
		h.serve(id, 1)
	}
	if held() != 1 {
		t.Errorf("holds %d idle slots, want one spare", held())
	}
	h.s.topo.upstreams["u0"].service.contendedUntil = h.now + time.Second
	h.serve(h.arrive(RequestArrived{Class: "enquiry"}), 1)
	if held() != 0 {
		t.Errorf("holds %d idle slots while requests have to wait elsewhere, want none", held())
	}
}
