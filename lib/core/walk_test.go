package core

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/order"
)

// walk drives one host with random events and checks the rules on requests from outside: it knows what it published and what became of
// each attempt, and nothing of the reducer's state.
type walk struct {
	*host
	// pick returns a number below n.
	pick func(n int) int
	// broken is the first violation.
	broken   string
	requests map[ident.RequestID]*modelRequest
	// order holds the requests in the order of their arrival.
	order []*modelRequest
	// names holds the tokens and keys in use.
	tokens []string
	// out is what was published; known is what the host has read.
	out, known map[conf.Item]bool
	readAt     time.Duration
	// alone reports that the other hosts are silent, so that the host depends on the log for a fresh configuration.
	alone bool
	// enquiries is whether the class enquiry is idempotent, as published and as known.
	enquiries, knownEnquiries bool
	rival                     *order.Deduplicator
	rivalID                   ident.RequestID
}

type modelRequest struct {
	id         ident.RequestID
	idempotent bool
	// name is the token or key, empty if there is none.
	name      string
	deadline  time.Duration
	attempts  []*modelAttempt
	terminal  int
	relayed   bool
	cancelled bool
}

type modelAttempt struct {
	upstream  ident.UpstreamID
	outcome   Outcome
	answered  bool
	cancelled bool
}

func (r *modelRequest) mayHaveRun() bool {
	for _, a := range r.attempts {
		if a.outcome != OutcomeNotSent && a.outcome != OutcomeShed {
			return true
		}
	}
	return false
}

// same reports that two requests are the same order.
func (r *modelRequest) same(other *modelRequest) bool {
	return r.name != "" && r.name == other.name && !r.idempotent && !other.idempotent
}

func newWalk(t failer, pick func(int) int, g guards) *walk {
	w := &walk{
		host: newHost(t, 4), pick: pick, requests: map[ident.RequestID]*modelRequest{},
		out: map[conf.Item]bool{}, known: map[conf.Item]bool{},
		rival: order.NewDeduplicator(8, order.Limits{}), enquiries: true, knownEnquiries: true,
	}
	w.warm()
	w.s.guards = g
	w.alone = pick(3) > 0
	if w.alone {
		w.silentHosts()
	} else {
		w.addPeer("landshut-1", "landshut")
		w.entries = append(w.entries, upstreamEntry(7, "landshut"))
	}
	w.observe = w.check
	w.readAt = w.now
	w.run(300 * ms)
	return w
}

func (w *walk) violate(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// check looks at every event and its effects.
func (w *walk) check(ev Event, effects []Effect) {
	if read, ok := ev.(LogRead); ok && read.Stream == StreamConfig {
		w.readAt = read.SentAt
		w.knownEnquiries = w.enquiries
		for item, out := range w.out {
			w.known[item] = out
		}
	}
	for _, e := range effects {
		switch e := e.(type) {
		case StartAttempt:
			w.checkStart(e)
		case CancelAttempt:
			w.requests[e.ID].attempts[e.Attempt-1].cancelled = true
		case Deliver:
			w.checkTerminal(e.ID, false)
			if a := w.requests[e.ID].attempts[e.Attempt-1]; !a.answered || a.cancelled {
				w.violate("request %d: delivered an attempt without an answer", e.ID)
			}
		case Replay:
			w.checkTerminal(e.ID, true)
		case Relay:
			w.requests[e.ID].relayed = true
		case Refuse:
			w.checkRefuse(e)
		}
	}
}

func (w *walk) checkStart(e StartAttempt) {
	r := w.requests[e.ID]
	if (!r.idempotent || !w.knownEnquiries) && r.mayHaveRun() {
		w.violate("request %d is not idempotent and runs for the second time", e.ID)
	}
	if len(r.attempts)+1 != e.Attempt || r.terminal > 0 {
		w.violate("request %d: attempt %d out of order or after the answer", e.ID, e.Attempt)
	}
	for _, other := range w.order {
		if other != r && r.same(other) && other.mayHaveRun() {
			w.violate("request %d runs again what request %d may have run", e.ID, other.id)
		}
	}
	zone := conf.DataCentreItem("passau")
	if e.Upstream == "u7" {
		zone = conf.DataCentreItem("landshut")
	}
	if w.known[conf.UpstreamItem(e.Upstream)] || w.known[zone] {
		w.violate("request %d starts at %s, which is out of service", e.ID, e.Upstream)
	}
	if w.alone && w.now > w.readAt+conf.MaxFreshAge {
		w.violate("request %d starts with a configuration of %v", e.ID, w.readAt)
	}
	if e.StartBy <= w.now || e.Deadline > r.deadline || e.StartBy > e.Deadline {
		w.violate("request %d may start until %v and run until %v", e.ID, e.StartBy, e.Deadline)
	}
	r.attempts = append(r.attempts, &modelAttempt{upstream: e.Upstream})
	running := 0
	for _, r := range w.order {
		for _, a := range r.attempts {
			if a.outcome == 0 && a.upstream == e.Upstream {
				running++
			}
		}
	}
	if running > 4 {
		w.violate("%d requests in flight at %s", running, e.Upstream)
	}
}

func (w *walk) checkTerminal(id ident.RequestID, replay bool) {
	r := w.requests[id]
	r.terminal++
	if r.terminal > 1 || r.cancelled && replay {
		w.violate("request %d was answered for the second time or after its caller left", id)
	}
}

func (w *walk) checkRefuse(e Refuse) {
	w.checkTerminal(e.ID, true)
	r := w.requests[e.ID]
	if e.Run == RunNo && r.mayHaveRun() {
		w.violate("request %d may have run and was refused as not run (%s)", e.ID, e.Reason)
	}
	for _, other := range w.order {
		if e.Run == RunNo && r.same(other) && other.mayHaveRun() {
			w.violate("request %d was refused as not run (%s), but request %d may have run it", e.ID, e.Reason, other.id)
		}
	}
	if !refusals[e.Reason].runs.has(e.Run) {
		w.violate("request %d was refused with %s, run %s", e.ID, e.Reason, e.Run)
	}
}

// act performs one random action.
func (w *walk) act() {
	switch w.pick(20) {
	case 0, 1, 2, 3, 4:
		w.arriveAny()
	case 5, 6, 7:
		w.answerAny()
	case 8, 9, 10, 11:
		w.endAny(Outcome(1 + w.pick(int(OutcomeMismatched))))
	case 12:
		w.cancelAny()
	case 13, 14:
		w.run(time.Duration(1+w.pick(300)) * ms)
	case 15:
		w.run(time.Duration(1+w.pick(2000)) * ms)
	case 16:
		// A stop of the process: time passes without a Tick.
		if w.pick(3) == 0 {
			w.now += time.Duration(1+w.pick(8)) * time.Second
		}
	case 17:
		w.logDown = w.pick(4) == 0
		w.lost = w.pick(3) == 0
	case 18:
		w.takeOut()
	case 19:
		w.disturb()
	}
}

func (w *walk) arriveAny() {
	ev := RequestArrived{Class: "orders", Depth: w.pick(4) / 3, Replayable: w.pick(4) > 0, Retry: w.pick(2) == 0}
	if w.pick(2) == 0 {
		ev.Class = "enquiry"
	}
	switch w.pick(4) {
	case 0:
		ev.Key = fmt.Sprintf("key%d", w.pick(4))
	case 1:
		if len(w.tokens) > 0 && (ev.Class == "orders" || w.pick(4) == 0) {
			ev.Token = w.tokens[w.pick(len(w.tokens))]
		}
	}
	ev.Deadline = w.now + time.Duration(w.pick(1500))*ms
	w.nextID++
	ev.ID = w.nextID
	name := ev.Token + ev.Key
	if name != "" {
		name = string(ev.Class) + "/" + name
	}
	r := &modelRequest{id: ev.ID, idempotent: ev.Class == "enquiry" && w.knownEnquiries, name: name, deadline: ev.Deadline}
	w.requests[ev.ID] = r
	w.order = append(w.order, r)
	w.step(ev)
}

// running returns the attempts that have not ended.
func (w *walk) running() (ids []ident.RequestID, attempts []int) {
	for _, r := range w.order {
		for i, a := range r.attempts {
			if a.outcome == 0 {
				ids = append(ids, r.id)
				attempts = append(attempts, i+1)
			}
		}
	}
	return ids, attempts
}

func (w *walk) answerAny() {
	ids, attempts := w.running()
	if len(ids) == 0 {
		return
	}
	i := w.pick(len(ids))
	a := w.requests[ids[i]].attempts[attempts[i]-1]
	if a.answered {
		return
	}
	a.answered = true
	status := []int{200, 200, 503}[w.pick(3)]
	w.step(AttemptAnswered{
		ID: ids[i], Attempt: attempts[i], Status: status, FirstByte: time.Duration(1+w.pick(50)) * ms,
		Incarnation: string(rune('a' + w.pick(20)/19)),
	})
}

func (w *walk) endAny(o Outcome) {
	ids, attempts := w.running()
	if len(ids) == 0 {
		return
	}
	i := w.pick(len(ids))
	a := w.requests[ids[i]].attempts[attempts[i]-1]
	// An answered attempt was sent and not shed; one that is not answered is not complete.
	if a.answered && (o == OutcomeNotSent || o == OutcomeShed) || !a.answered && (o == OutcomeComplete || o == OutcomeTruncated) {
		o = OutcomeReset
	}
	a.outcome = o
	ev := AttemptEnded{ID: ids[i], Attempt: attempts[i], Outcome: o, Took: time.Duration(1+w.pick(50)) * ms, NewConn: true}
	if o == OutcomeComplete && w.pick(4) > 0 {
		ev.Answer = &Answer{Status: 200}
	}
	w.step(ev)
	if w.pick(4) == 0 {
		// A late duplicate must change nothing.
		w.step(ev)
	}
}

func (w *walk) cancelAny() {
	if len(w.order) == 0 {
		return
	}
	r := w.order[w.pick(len(w.order))]
	// What became due before the cancellation may still be answered in the same step.
	w.step(RequestCancelled{ID: r.id})
	r.cancelled = true
}

func (w *walk) takeOut() {
	item := conf.UpstreamItem(ident.UpstreamID(fmt.Sprintf("u%d", w.pick(4))))
	if w.pick(4) == 0 {
		item = conf.DataCentreItem([]ident.DataCentre{"passau", "landshut"}[w.pick(2)])
	}
	w.out[item] = w.pick(4) == 0
	w.publish(item, conf.Value{Out: w.out[item]})
}

// disturb performs one of the rarer actions.
func (w *walk) disturb() {
	switch w.pick(5) {
	case 4:
		w.enquiries = !w.enquiries
		class := testClasses["enquiry"]
		class.Idempotent = w.enquiries
		w.publish(conf.ClassItem("enquiry"), conf.Value{Class: class})
	case 0:
		w.nextID++
		id := w.nextID
		w.requests[id] = &modelRequest{id: id}
		w.step(IDWanted{ID: id, Class: "orders"})
		for _, e := range w.take() {
			if e, ok := e.(IDIssued); ok {
				w.tokens = append(w.tokens, e.Token)
			}
		}
	case 1:
		i := 1 + w.pick(4)
		w.entries = append([]HostEntry(nil), w.entries...)
		w.entries[i].Leaving = !w.entries[i].Leaving && w.pick(2) == 0
	case 2:
		w.rivalID++
		key := scopedKey(RequestArrived{Class: "orders", Key: fmt.Sprintf("key%d", w.pick(4))})
		w.rival.Begin(w.now, order.Request{ID: w.rivalID, Key: key, Deadline: w.now + time.Second})
		if a, ok := w.rival.PrepareAppend(w.now, 1); ok {
			w.add(StreamClaims, a.Data)
			w.rival.FinishAppend(w.now, a.ID, order.AppendConfirmed)
		}
	case 3:
		for _, r := range w.order {
			if r.relayed {
				r.relayed = false
				delivered := w.pick(2) == 0
				if delivered && !r.cancelled {
					r.terminal++
				}
				w.step(RelayEnded{ID: r.id, Delivered: delivered})
				return
			}
		}
	}
}

// drain ends everything and checks that nothing is left over.
func (w *walk) drain() {
	w.logDown, w.lost = false, false
	w.step(StopRequested{})
	for range 50 {
		w.run(100 * ms)
		for ids, _ := w.running(); len(ids) > 0; ids, _ = w.running() {
			w.endAny(OutcomeDeadline)
		}
		for _, r := range w.order {
			if r.relayed {
				r.relayed = false
				w.step(RelayEnded{ID: r.id})
			}
		}
	}
	for _, r := range w.order {
		if r.terminal == 0 && !r.cancelled {
			w.violate("request %d was never answered", r.id)
		}
	}
	if len(w.s.requests) > 0 {
		w.violate("%d requests are kept", len(w.s.requests))
	}
	for id := range w.s.topo.upstreams {
		if n := w.s.slots.InFlight(id); n != 0 {
			w.violate("%d slots in use at %s", n, id)
		}
	}
	stops := 0
	for _, e := range w.take() {
		if _, ok := e.(Stop); ok {
			stops++
		}
	}
	if stops != 1 {
		w.violate("%d stops", stops)
	}
}

func (w *walk) walk(steps int) {
	for range steps {
		w.act()
		if w.broken != "" {
			return
		}
	}
	w.drain()
}

// Guards against a second execution of an order, a wrong "not run", a second or missing answer, and work for upstreams that are out
// of service or under an old configuration, whatever the order of events.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, guards{})
		w.walk(rapid.IntRange(1, 150).Draw(t, "steps"))
		if w.broken != "" {
			t.Fatalf("%s", w.broken)
		}
	})
}

// Guards against a walk that cannot fail: with one rule off it must find the violation within some seeds.
func TestWalkDetects(t *testing.T) {
	for want, g := range map[string]guards{
		"second time":        {noRetryRule: true},
		"refused as not run": {noRunRule: true},
		"configuration of":   {noFreshRule: true},
		"out of service":     {noOutRule: true},
	} {
		t.Run(want, func(t *testing.T) {
			for seed := range uint64(400) {
				w := newWalk(t, rand.New(rand.NewPCG(seed, 1)).IntN, g)
				w.walk(150)
				if strings.Contains(w.broken, want) {
					t.Logf("seed %d: %s", seed, w.broken)
					return
				}
				if w.broken != "" {
					t.Fatalf("seed %d: another rule is broken: %s", seed, w.broken)
				}
			}
			t.Error("no violation found")
		})
	}
}

// Guards against a step that depends on the order of a map: a recorded run could not be repeated.
func TestDeterministic(t *testing.T) {
	run := func(seed uint64) (trace []string) {
		w := newWalk(t, rand.New(rand.NewPCG(seed, 2)).IntN, guards{})
		w.observe = func(ev Event, effects []Effect) {
			for _, e := range effects {
				text, err := json.Marshal(e)
				trace = append(trace, fmt.Sprintf("%v %T %T %s %v", w.now, ev, e, text, err))
			}
			w.check(ev, effects)
		}
		w.walk(150)
		return trace
	}
	for seed := range uint64(20) {
		first, second := run(seed), run(seed)
		for i := range min(len(first), len(second)) {
			if first[i] != second[i] {
				t.Fatalf("seed %d: effect %d is %s, then %s", seed, i, first[i], second[i])
			}
		}
		if len(first) != len(second) {
			t.Fatalf("seed %d: %d effects, then %d", seed, len(first), len(second))
		}
	}
}
