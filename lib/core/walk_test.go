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

// randomWalk drives one host with random events and checks its effects against a model. The model knows what was
// published and how each attempt ended, but nothing of the reducer's state.
type randomWalk struct {
	*testHost
	// pick returns a random number from 0 to n-1.
	pick func(n int) int
	// violation describes the first violation, empty if there was none.
	violation string
	requests  map[ident.RequestID]*modelRequest
	// arrivals holds the requests in the order of their arrival.
	arrivals []*modelRequest
	// tokens holds the issued request IDs.
	tokens []string
	// publishedOut holds the items that are out of service by the published configuration, knownOut by the
	// configuration that the host has read.
	publishedOut, knownOut map[conf.Item]bool
	// readAt is the time at which the host's last read of the configuration was sent.
	readAt time.Duration
	// peersSilent reports that the other hosts are silent, so that only the log can confirm that the configuration is
	// fresh.
	peersSilent bool
	// enquiryIdempotent reports whether the published class enquiry is idempotent, knownEnquiryIdempotent whether the
	// class that the host has read is.
	enquiryIdempotent, knownEnquiryIdempotent bool
	// otherDedup is the deduplicator of another host, which claims the same keys.
	otherDedup   *order.Deduplicator
	otherDedupID ident.RequestID
}

// modelRequest is what the model knows of a request.
type modelRequest struct {
	// retry reports that the caller marked the request as a retry of an order with an ID or a key.
	retry      bool
	id         ident.RequestID
	idempotent bool
	// dedupKey is the token or key qualified by the class, empty if there is neither.
	dedupKey string
	deadline time.Duration
	attempts []*modelAttempt
	// answerCount is the number of effects that answered the caller.
	answerCount int
	relayed     bool
	cancelled   bool
}

// modelAttempt is what the model knows of an attempt.
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

// sameOrder reports whether two requests belong to the same order.
func (r *modelRequest) sameOrder(other *modelRequest) bool {
	return r.dedupKey != "" && r.dedupKey == other.dedupKey && !r.idempotent && !other.idempotent
}

func newRandomWalk(t failer, pick func(int) int, disabled disabledRules) *randomWalk {
	w := &randomWalk{
		testHost: newHost(t, 4), pick: pick, requests: map[ident.RequestID]*modelRequest{},
		publishedOut: map[conf.Item]bool{}, knownOut: map[conf.Item]bool{},
		otherDedup: order.NewDeduplicator(8, order.Limits{}), enquiryIdempotent: true, knownEnquiryIdempotent: true,
	}
	w.warm()
	w.s.disabled = disabled
	w.peersSilent = pick(3) > 0
	if w.peersSilent {
		w.addSilentHosts()
	} else {
		w.addPeer("landshut-1", "landshut")
		w.entries = append(w.entries, upstreamEntry(7, "landshut"))
	}
	w.observe = w.check
	w.readAt = w.now
	w.run(300 * ms)
	return w
}

func (w *randomWalk) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// check verifies every event and its effects.
func (w *randomWalk) check(ev Event, effects []Effect) {
	if read, ok := ev.(LogRead); ok && read.Stream == StreamConfig {
		w.readAt = read.SentAt
		w.knownEnquiryIdempotent = w.enquiryIdempotent
		for item, out := range w.publishedOut {
			w.knownOut[item] = out
		}
	}
	for _, e := range effects {
		switch e := e.(type) {
		case StartAttempt:
			w.checkStart(e)
		case CancelAttempt:
			w.requests[e.ID].attempts[e.Attempt-1].cancelled = true
		case Deliver:
			w.checkAnswer(e.ID, false)
			if a := w.requests[e.ID].attempts[e.Attempt-1]; !a.answered || a.cancelled {
				w.violate("request %d: delivered an attempt without an answer", e.ID)
			}
		case Replay:
			w.checkAnswer(e.ID, true)
		case Relay:
			w.requests[e.ID].relayed = true
		case Refuse:
			w.checkRefuse(e)
		}
	}
}

func (w *randomWalk) checkStart(e StartAttempt) {
	r := w.requests[e.ID]
	if (!r.idempotent || !w.knownEnquiryIdempotent) && r.mayHaveRun() {
		w.violate("request %d is not idempotent and runs for the second time", e.ID)
	}
	if len(r.attempts)+1 != e.Attempt || r.answerCount > 0 {
		w.violate("request %d: attempt %d out of order or after the answer", e.ID, e.Attempt)
	}
	for _, other := range w.arrivals {
		if other != r && r.sameOrder(other) && other.mayHaveRun() {
			w.violate("request %d runs again what request %d may have run", e.ID, other.id)
		}
	}
	zone := conf.DataCentreItem("passau")
	if e.Upstream == "u7" {
		zone = conf.DataCentreItem("landshut")
	}
	if w.knownOut[conf.UpstreamItem(e.Upstream)] || w.knownOut[zone] {
		w.violate("request %d starts at %s, which is out of service", e.ID, e.Upstream)
	}
	if w.peersSilent && w.now > w.readAt+conf.MaxFreshAge {
		w.violate("request %d starts with a configuration of %v", e.ID, w.readAt)
	}
	if e.StartBy <= w.now || e.Deadline > r.deadline || e.StartBy > e.Deadline {
		w.violate("request %d may start until %v and run until %v", e.ID, e.StartBy, e.Deadline)
	}
	r.attempts = append(r.attempts, &modelAttempt{upstream: e.Upstream})
	running := 0
	for _, r := range w.arrivals {
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

// checkAnswer counts an effect that answers the caller. byHost is true for Replay and Refuse, which must not follow a
// cancellation, and false for Deliver, which may.
func (w *randomWalk) checkAnswer(id ident.RequestID, byHost bool) {
	r := w.requests[id]
	r.answerCount++
	if r.answerCount > 1 || r.cancelled && byHost {
		w.violate("request %d was answered for the second time or after its caller left", id)
	}
}

func (w *randomWalk) checkRefuse(e Refuse) {
	w.checkAnswer(e.ID, true)
	r := w.requests[e.ID]
	if e.Run == RunNo && r.mayHaveRun() {
		w.violate("request %d may have run and was refused as not run (%s)", e.ID, e.Reason)
	}
	for _, other := range w.arrivals {
		if e.Run == RunNo && r.sameOrder(other) && other.mayHaveRun() {
			w.violate("request %d was refused as not run (%s), but request %d may have run it", e.ID, e.Reason, other.id)
		}
	}
	if e.Run == RunNo && r.retry {
		w.violate("retry %d was refused as not run (%s), but an earlier request with its ID or key may still arrive", e.ID, e.Reason)
	}
	allowed := refusalRules[e.Reason].runs
	if r.retry && allowed.has(RunNo) {
		allowed |= allowUnknown
	}
	if !allowed.has(e.Run) {
		w.violate("request %d was refused with %s, run %s", e.ID, e.Reason, e.Run)
	}
}

// randomAction performs one random action.
func (w *randomWalk) randomAction() {
	switch w.pick(20) {
	case 0, 1, 2, 3, 4:
		w.arriveRandom()
	case 5, 6, 7:
		w.answerRandom()
	case 8, 9, 10, 11:
		w.endRandom(Outcome(1 + w.pick(int(OutcomeEndless))))
	case 12:
		w.cancelRandom()
	case 13, 14:
		w.run(time.Duration(1+w.pick(300)) * ms)
	case 15:
		w.run(time.Duration(1+w.pick(2000)) * ms)
	case 16:
		// The process is suspended: time passes without a Tick.
		if w.pick(3) == 0 {
			w.now += time.Duration(1+w.pick(8)) * time.Second
		}
	case 17:
		w.logDown = w.pick(4) == 0
		w.loseAnswers = w.pick(3) == 0
	case 18:
		w.toggleOutOfService()
	case 19:
		w.rareAction()
	}
}

func (w *randomWalk) arriveRandom() {
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
	r := &modelRequest{id: ev.ID, idempotent: ev.Class == "enquiry" && w.knownEnquiryIdempotent, dedupKey: name, deadline: ev.Deadline}
	r.retry = ev.Retry && name != "" && !r.idempotent
	w.requests[ev.ID] = r
	w.arrivals = append(w.arrivals, r)
	w.step(ev)
}

// running returns the attempts that have not ended.
func (w *randomWalk) running() (ids []ident.RequestID, attempts []int) {
	for _, r := range w.arrivals {
		for i, a := range r.attempts {
			if a.outcome == 0 {
				ids = append(ids, r.id)
				attempts = append(attempts, i+1)
			}
		}
	}
	return ids, attempts
}

func (w *randomWalk) answerRandom() {
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

func (w *randomWalk) endRandom(o Outcome) {
	ids, attempts := w.running()
	if len(ids) == 0 {
		return
	}
	i := w.pick(len(ids))
	a := w.requests[ids[i]].attempts[attempts[i]-1]
	// An answered attempt was sent and not shed. An attempt without an answer is neither complete nor truncated.
	if a.answered && (o == OutcomeNotSent || o == OutcomeShed) || !a.answered && (o == OutcomeComplete || o == OutcomeTruncated) {
		o = OutcomeReset
	}
	a.outcome = o
	ev := AttemptEnded{ID: ids[i], Attempt: attempts[i], Outcome: o, Duration: time.Duration(1+w.pick(50)) * ms, NewConn: true}
	if o == OutcomeComplete && w.pick(4) > 0 {
		ev.Answer = &Answer{Status: 200}
	}
	w.step(ev)
	if w.pick(4) == 0 {
		// A late duplicate of the event must have no effect.
		w.step(ev)
	}
}

func (w *randomWalk) cancelRandom() {
	if len(w.arrivals) == 0 {
		return
	}
	r := w.arrivals[w.pick(len(w.arrivals))]
	// Anything that became due before the cancellation may still be answered in the same step, so the model is
	// updated after it.
	w.step(RequestCancelled{ID: r.id})
	r.cancelled = true
}

// toggleOutOfService publishes that a random upstream or data centre is in or out of service.
func (w *randomWalk) toggleOutOfService() {
	item := conf.UpstreamItem(ident.UpstreamID(fmt.Sprintf("u%d", w.pick(4))))
	if w.pick(4) == 0 {
		item = conf.DataCentreItem([]ident.DataCentre{"passau", "landshut"}[w.pick(2)])
	}
	w.publishedOut[item] = w.pick(4) == 0
	w.publish(item, conf.Value{Out: w.publishedOut[item]})
}

// rareAction performs one of the less frequent actions.
func (w *randomWalk) rareAction() {
	switch w.pick(5) {
	case 4:
		w.enquiryIdempotent = !w.enquiryIdempotent
		class := testClasses["enquiry"]
		class.Idempotent = w.enquiryIdempotent
		w.publish(conf.ClassItem("enquiry"), conf.Value{Class: class})
	case 0:
		w.nextID++
		id := w.nextID
		w.requests[id] = &modelRequest{id: id}
		w.step(IDRequested{ID: id, Class: "orders"})
		for _, e := range w.takeEffects() {
			if e, ok := e.(DeliverID); ok {
				w.tokens = append(w.tokens, e.Token)
			}
		}
	case 1:
		i := 1 + w.pick(4)
		w.entries = append([]HostEntry(nil), w.entries...)
		w.entries[i].Leaving = !w.entries[i].Leaving && w.pick(2) == 0
	case 2:
		w.otherDedupID++
		key := scopedKey(RequestArrived{Class: "orders", Key: fmt.Sprintf("key%d", w.pick(4))})
		w.otherDedup.Begin(w.now, order.Request{ID: w.otherDedupID, Key: key, Deadline: w.now + time.Second})
		if a, ok := w.otherDedup.PrepareAppend(w.now, 1); ok {
			w.appendRecord(StreamClaims, a.Data)
			w.otherDedup.FinishAppend(w.now, a.ID, order.AppendConfirmed)
		}
	case 3:
		for _, r := range w.arrivals {
			if r.relayed {
				r.relayed = false
				delivered := w.pick(2) == 0
				if delivered && !r.cancelled {
					r.answerCount++
				}
				w.step(RelayEnded{ID: r.id, Delivered: delivered})
				return
			}
		}
	}
}

// drain ends all attempts, shuts the host down and checks that no state is left.
func (w *randomWalk) drain() {
	w.logDown, w.loseAnswers = false, false
	w.step(StopRequested{})
	for range 50 {
		w.run(100 * ms)
		for ids, _ := w.running(); len(ids) > 0; ids, _ = w.running() {
			w.endRandom(OutcomeDeadline)
		}
		for _, r := range w.arrivals {
			if r.relayed {
				r.relayed = false
				w.step(RelayEnded{ID: r.id})
			}
		}
	}
	for _, r := range w.arrivals {
		if r.answerCount == 0 && !r.cancelled {
			w.violate("request %d was never answered", r.id)
		}
	}
	if len(w.s.requests) > 0 {
		w.violate("%d requests are still tracked", len(w.s.requests))
	}
	for id := range w.s.topo.upstreams {
		if n := w.s.leases.InFlight(id); n != 0 {
			w.violate("%d slots in use at %s", n, id)
		}
	}
	stops := 0
	for _, e := range w.takeEffects() {
		if _, ok := e.(Stop); ok {
			stops++
		}
	}
	if stops != 1 {
		w.violate("%d Stop effects, want one", stops)
	}
}

func (w *randomWalk) runSteps(steps int) {
	for range steps {
		w.randomAction()
		if w.violation != "" {
			return
		}
	}
	w.drain()
}

// Guards against a second execution of an order, a wrong "not run", a second or missing answer, and work for
// upstreams that are out of service or under an old configuration, whatever the order of events.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomWalk(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, disabledRules{})
		w.runSteps(rapid.IntRange(1, 150).Draw(t, "steps"))
		if w.violation != "" {
			t.Fatalf("%s", w.violation)
		}
	})
}

// Guards against a random walk that cannot fail: with one rule switched off, it must find the violation within a
// number of seeds.
func TestWalkDetects(t *testing.T) {
	for want, g := range map[string]disabledRules{
		"second time":        {retrySafety: true},
		"refused as not run": {runAccuracy: true},
		"configuration of":   {configFreshness: true},
		"out of service":     {outOfService: true},
	} {
		t.Run(want, func(t *testing.T) {
			for seed := range uint64(400) {
				w := newRandomWalk(t, rand.New(rand.NewPCG(seed, 1)).IntN, g)
				w.runSteps(150)
				if strings.Contains(w.violation, want) {
					t.Logf("seed %d: %s", seed, w.violation)
					return
				}
				if w.violation != "" {
					t.Fatalf("seed %d: another rule is broken: %s", seed, w.violation)
				}
			}
			t.Error("no violation found")
		})
	}
}

// Guards against a step that depends on the iteration order of a map: a recorded run could not be replayed.
func TestDeterministic(t *testing.T) {
	run := func(seed uint64) (trace []string) {
		w := newRandomWalk(t, rand.New(rand.NewPCG(seed, 2)).IntN, disabledRules{})
		w.observe = func(ev Event, effects []Effect) {
			for _, e := range effects {
				text, err := json.Marshal(e)
				trace = append(trace, fmt.Sprintf("%v %T %T %s %v", w.now, ev, e, text, err))
			}
			w.check(ev, effects)
		}
		w.runSteps(150)
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
