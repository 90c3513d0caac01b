package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

const (
	ms = time.Millisecond
	// settle is the time after which a new host owns its upstreams: the pledge of an earlier incarnation and the
	// slots that it may have granted have expired by then.
	settle = 5 * time.Second
)

// failer is the part of testing.T and rapid.T that the test host uses.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// testHost drives one reducer. It answers for the platform at once and collects the remaining effects.
type testHost struct {
	t       failer
	s       *State
	now     time.Duration
	rnd     uint64
	entries []HostEntry
	streams map[Stream][]Record
	// logDown makes reads and appends fail; loseAnswers makes appends take effect without an answer.
	logDown, loseAnswers bool
	// listDown makes reads of the host list fail.
	listDown bool
	// peers are fake hosts that answer heartbeats and grant all slots of their upstreams.
	peers map[ident.HostID]*fakePeer
	// effects are those since the last call of takeEffects, without calls of the platform and messages to peers.
	effects []Effect
	nextID  ident.RequestID
	// lastVersion holds the version of the last proposal published for each item.
	lastVersion map[conf.Item]int64
	// observe is called with every event and its effects.
	observe func(ev Event, effects []Effect)
}

var testServices = map[ident.ServiceName]Service{
	"booking": {Slots: 4, ColdSlots: 1, MeasuringShare: 0.01},
}

func testSettings() Settings {
	return Settings{
		Host: "passau-1", Incarnation: 7, DataCentre: "passau",
		DataCentres: []ident.DataCentre{"passau", "landshut"}, Services: testServices,
	}
}

// testClasses has a class that is not idempotent (orders) and one that is (enquiry).
var testClasses = map[ident.ClassName]conf.Class{
	"orders":  {Service: "booking", Target: 50 * ms, Deadline: time.Second, Rank: 1},
	"enquiry": {Service: "booking", Target: 50 * ms, Deadline: time.Second, Rank: 2, Idempotent: true},
}

// newHost returns a host with upstreams u0, u1 and so on that has run until it can serve requests.
func newHost(t failer, upstreams int) *testHost {
	return newHostWith(t, testSettings(), upstreams)
}

// newHostWith returns a host with the given settings; see newHost.
func newHostWith(t failer, cfg Settings, upstreams int) *testHost {
	h := &testHost{
		t: t, s: New(cfg), streams: map[Stream][]Record{}, lastVersion: map[conf.Item]int64{}, nextID: 1,
	}
	h.entries = append(h.entries, HostEntry{
		ID: "passau-1", Role: RoleHost, DataCentre: "passau", Address: "127.0.1.1:80", PeerAddress: "127.0.1.1:90",
	})
	for i := range upstreams {
		h.entries = append(h.entries, upstreamEntry(i, "passau"))
	}
	for _, name := range []ident.ClassName{"enquiry", "orders"} {
		h.publish(conf.ClassItem(name), conf.Value{Class: testClasses[name]})
	}
	h.run(settle)
	h.takeEffects()
	return h
}

func upstreamEntry(i int, dc ident.DataCentre) HostEntry {
	return HostEntry{
		ID: fmt.Sprintf("u%d", i), Role: RoleUpstream, Service: "booking", DataCentre: dc,
		Address: fmt.Sprintf("127.0.2.%d:80", i+1),
	}
}

// fakePeer simulates another host.
type fakePeer struct {
	entry HostEntry
	inc   ident.Incarnation
	seq   uint64
}

// addPeer adds a fake peer to the host list.
func (h *testHost) addPeer(id string, dc ident.DataCentre) {
	n := len(h.peers) + 1
	p := &fakePeer{
		entry: HostEntry{ID: id, Role: RoleHost, DataCentre: dc, Address: id + ":80", PeerAddress: id + ":90"},
		inc:   ident.Incarnation(1000 + n),
	}
	if h.peers == nil {
		h.peers = map[ident.HostID]*fakePeer{}
	}
	h.peers[ident.HostID(id)] = p
	h.entries = append(slices.Clone(h.entries), p.entry)
}

func (p *fakePeer) answer(h *testHost, m Message) {
	p.seq++
	send := func(m Message) {
		h.step(PeerMessage{From: ident.HostID(p.entry.ID), Incarnation: p.inc, Message: m})
	}
	switch {
	case m.Heartbeat != nil:
		send(Message{Heartbeat: &member.Heartbeat{
			Seq: p.seq, Echo: m.Heartbeat.Seq, To: h.s.cfg.Incarnation, DataCentre: p.entry.DataCentre,
			ConfVersion: m.Heartbeat.ConfVersion, ConfAge: -1,
		}})
	case m.SlotRequest != nil:
		g := &lease.SlotGrant{Holder: h.s.cfg.Incarnation, Seq: p.seq}
		for _, d := range m.SlotRequest.Upstreams {
			add := max(0, min(d.Want, testServices["booking"].Slots-d.Held))
			g.Upstreams = append(g.Upstreams, lease.Allowance{
				Upstream: d.Upstream, Epoch: d.Epoch, SentAt: m.SlotRequest.SentAt,
				Total: d.Seen + uint64(add), Keep: d.Held + add,
			})
		}
		send(Message{SlotGrant: g})
	}
}

// publish appends a configuration proposal that the host will accept.
func (h *testHost) publish(item conf.Item, value conf.Value) {
	h.t.Helper()
	base, ok := h.lastVersion[item]
	if !ok {
		base = conf.NoVersion
	}
	n := len(h.streams[StreamConfig])
	data, err := conf.NewProposal(conf.Proposal{
		ID: conf.ProposalID(fmt.Sprintf("proposal-%d", n)), Item: item, Base: base, Value: value,
	})
	if err != nil {
		h.t.Fatalf("proposal: %v", err)
	}
	h.lastVersion[item] = h.appendRecord(StreamConfig, data)
}

func (h *testHost) appendRecord(stream Stream, data []byte) int64 {
	offset := int64(len(h.streams[stream]))
	h.streams[stream] = append(h.streams[stream], Record{Offset: offset, Data: data})
	return offset
}

// step delivers one event and answers the calls of the platform that follow.
func (h *testHost) step(ev Event) {
	h.rnd = h.rnd*6364136223846793005 + 1442695040888963407
	effects := append([]Effect(nil), h.s.Step(h.now, h.rnd, ev)...)
	if h.observe != nil {
		h.observe(ev, effects)
	}
	for _, e := range effects {
		h.handleEffect(e)
	}
}

// handleEffect answers calls of the platform and messages to fake peers, and collects all other effects.
func (h *testHost) handleEffect(e Effect) {
	switch e := e.(type) {
	case ReadHostList:
		if h.listDown {
			h.step(HostListFailed{})
			return
		}
		h.step(HostListRead{Entries: h.entries})
	case ReadLog:
		h.readLog(e)
	case Append:
		if h.logDown {
			h.step(AppendEnded{Stream: e.Stream, AppendID: e.AppendID, NotApplied: true})
			return
		}
		offset := h.appendRecord(e.Stream, e.Data)
		h.step(AppendEnded{Stream: e.Stream, AppendID: e.AppendID, Answered: !h.loseAnswers, Offset: offset})
	case SendPeer:
		if p := h.peers[e.To]; p != nil {
			p.answer(h, e.Message)
		}
	case ConnectPeers, Notice:
	default:
		h.effects = append(h.effects, e)
	}
}

func (h *testHost) readLog(e ReadLog) {
	if h.logDown {
		h.step(LogReadFailed{Stream: e.Stream})
		return
	}
	all := h.streams[e.Stream]
	from := min(max(0, e.From), int64(len(all)))
	h.step(LogRead{Stream: e.Stream, From: e.From, Records: all[from:], Next: int64(len(all)), SentAt: h.now})
}

// run advances the clock and delivers each Tick that the reducer requests.
func (h *testHost) run(d time.Duration) {
	h.t.Helper()
	end := h.now + d
	for same := 0; h.s.Wake() <= end; same++ {
		if wake := h.s.Wake(); wake > h.now {
			h.now = wake
			same = 0
		}
		if same > 100 {
			h.t.Fatalf("the reducer requested more than 100 ticks at %v", h.now)
		}
		h.step(Tick{})
	}
	h.now = end
	h.step(Tick{})
}

// takeEffects returns the collected effects and removes them.
func (h *testHost) takeEffects() []Effect {
	out := h.effects
	h.effects = nil
	return out
}

// arrive delivers a request with a buffered body and returns its ID.
func (h *testHost) arrive(ev RequestArrived) ident.RequestID {
	h.nextID++
	ev.ID = h.nextID
	ev.Replayable = true
	h.step(ev)
	return ev.ID
}

func (h *testHost) end(id ident.RequestID, attempt int, outcome Outcome) {
	h.step(AttemptEnded{ID: id, Attempt: attempt, Outcome: outcome, Duration: 5 * ms})
}

func (h *testHost) answered(id ident.RequestID, attempt, status int) {
	h.step(AttemptAnswered{ID: id, Attempt: attempt, Status: status, FirstByte: 4 * ms, Incarnation: "1"})
}

// serve completes an attempt with a successful answer.
func (h *testHost) serve(id ident.RequestID, attempt int) {
	h.answered(id, attempt, 200)
	h.end(id, attempt, OutcomeComplete)
}

// warm serves enough requests for the limits to rise and for slow attempts to be hedged.
func (h *testHost) warm() {
	for range 2 * minWarm {
		h.serve(h.arrive(RequestArrived{Class: "enquiry"}), 1)
		h.now += ms
	}
	h.takeEffects()
}

// minWarm is more than the number of answers that is required before the first hedge.
const minWarm = 60

// onlyEffect returns the only effect since the last call of takeEffects, which must be of type E.
func onlyEffect[E Effect](t testing.TB, h *testHost) E {
	t.Helper()
	effects := h.takeEffects()
	if len(effects) == 1 {
		if e, ok := effects[0].(E); ok {
			return e
		}
	}
	var want E
	t.Fatalf("got effects %+v, want one %T", effects, want)
	return want
}

func assertNone(t testing.TB, h *testHost) {
	t.Helper()
	if effects := h.takeEffects(); len(effects) > 0 {
		t.Fatalf("got effects %+v, want none", effects)
	}
}

func assertRefused(t testing.TB, h *testHost, reason Reason, run Run) {
	t.Helper()
	if e := onlyEffect[Refuse](t, h); e.Reason != reason || e.Run != run {
		t.Fatalf("refused with %s, run %s; want %s, run %s", e.Reason, e.Run, reason, run)
	}
}
