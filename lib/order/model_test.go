package order

import (
	"fmt"
	"time"

	"testing"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
)

// simulation runs several hosts that share one log, which may lose an append or its answer, or apply it late.
type simulation struct {
	// now is the time of the simulation; the clock of a host shows now minus its bootTime.
	now   time.Duration
	hosts []*simHost
	log   []Record
	// delayedAppends are unanswered appends that the log may still apply.
	delayedAppends [][]byte
	// orders holds the orders by token or key.
	orders          map[string]*simOrder
	requests        map[ident.RequestID]*simRequest
	lastID          ident.RequestID
	lastIncarnation ident.Incarnation
	tokens          []string
}

type simHost struct {
	dedup       *Deduplicator
	incarnation ident.Incarnation
	// bootTime is the time of the simulation at which the host's clock started.
	bootTime time.Duration
	// started are the requests that got the verdict Start and have not been attempted.
	started []ident.RequestID
}

type simOrder struct {
	// runs is the number of times that an upstream ran the order.
	runs int
	// requested is true once a request of the order was sent.
	requested bool
}

type simRequest struct {
	Request
	order *simOrder
	// reportedNotRun is true once the request was refused with RunNo.
	reportedNotRun bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{orders: make(map[string]*simOrder), requests: make(map[ident.RequestID]*simRequest)}
	for range 3 {
		s.hosts = append(s.hosts, s.newHost())
	}
	for i, h := range s.hosts {
		token, err := h.dedup.Issue(s.now-h.bootTime, uint64(i+1), "orders")
		if err != nil {
			t.Fatal(err)
		}
		s.tokens = append(s.tokens, token.Text)
	}
	return s
}

func (s *simulation) newHost() *simHost {
	s.lastIncarnation++
	return &simHost{dedup: NewDeduplicator(s.lastIncarnation, Limits{ClaimTimeout: 500 * time.Millisecond}), incarnation: s.lastIncarnation, bootTime: s.now}
}

func (s *simulation) pickHost(t *rapid.T) *simHost { return rapid.SampledFrom(s.hosts).Draw(t, "host") }

func (s *simulation) begin(t *rapid.T) {
	r := Request{Class: "orders", Deadline: s.now + time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline"))*100*time.Millisecond}
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		r.Token = rapid.SampledFrom(s.tokens).Draw(t, "token")
	} else {
		r.Key = rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	}
	o := s.orders[r.Token+r.Key]
	if o == nil {
		o = &simOrder{}
		s.orders[r.Token+r.Key] = o
	}
	r.Retry = o.requested
	o.requested = true
	s.sendTo(t, s.pickHost(t), r, o)
}

// sendTo sends a request to a host. The deadline of r is in the time of the simulation.
func (s *simulation) sendTo(t *rapid.T, h *simHost, r Request, o *simOrder) {
	s.lastID++
	r.ID = s.lastID
	s.requests[r.ID] = &simRequest{Request: r, order: o}
	onHost := r
	onHost.Deadline -= h.bootTime
	s.applyVerdicts(t, h, h.dedup.Begin(s.now-h.bootTime, onHost))
}

// applyVerdicts checks the verdicts of a host and acts on them.
func (s *simulation) applyVerdicts(t *rapid.T, h *simHost, verdicts ...Verdict) {
	for _, v := range verdicts {
		r := s.requests[v.Request]
		switch v.Action {
		case Start:
			if s.now >= r.Deadline || r.reportedNotRun {
				t.Fatalf("request %d started after its deadline or a refusal with RunNo", r.ID)
			}
			h.started = append(h.started, r.ID)
		case Replay:
			if string(v.Answer.Body) != r.Token+r.Key {
				t.Fatalf("request %d got the answer of %q", r.ID, v.Answer.Body)
			}
		case Relay:
			s.relay(t, v)
		case Refuse:
			r.reportedNotRun = r.reportedNotRun || v.Run == RunNo
			if v.Run == RunNo && r.Retry && r.order.runs > 0 {
				t.Fatalf("retry %d was refused with RunNo although the order ran", r.ID)
			}
		}
	}
}

// relay delivers a request to the host named by the verdict, if that still exists.
func (s *simulation) relay(t *rapid.T, v Verdict) {
	r := s.requests[v.Request]
	if r.Relayed {
		t.Fatalf("request %d was relayed twice", r.ID)
	}
	for _, h := range s.hosts {
		if h.incarnation == v.To {
			relayed := r.Request
			relayed.Relayed = true
			s.sendTo(t, h, relayed, r.order)
			return
		}
	}
}

// recordRun counts a run of the order by an upstream; there must not be a second one.
func (s *simulation) recordRun(t *rapid.T, o *simOrder) {
	if o.runs++; o.runs > 1 {
		t.Fatalf("order ran %d times", o.runs)
	}
}

// attempt ends the oldest started request of a host, with or without a run by an upstream.
func (s *simulation) attempt(t *rapid.T) {
	h := s.pickHost(t)
	if len(h.started) == 0 {
		return
	}
	id := h.started[0]
	h.started = h.started[1:]
	r := s.requests[id]
	result := RunNo
	if h.dedup.MayStart(s.now-h.bootTime, id) {
		if s.now >= r.Deadline {
			t.Fatalf("request %d may start after its deadline", id)
		}
		result = Run(rapid.IntRange(int(RunNo), int(RunYes)).Draw(t, "run"))
	}
	if result == RunYes || result == RunUnknown && rapid.Bool().Draw(t, "ran") {
		s.recordRun(t, r.order)
	}
	var answer *Answer
	if result == RunYes && rapid.Bool().Draw(t, "captured") {
		answer = &Answer{Body: []byte(r.Token + r.Key)}
	}
	s.applyVerdicts(t, h, h.dedup.Finish(s.now-h.bootTime, id, result, answer)...)
}

func (s *simulation) append(data []byte) {
	s.log = append(s.log, Record{Offset: int64(len(s.log)), Data: data})
}

// appendClaims sends the next append of a host to the log, with one of the outcomes that an append can have.
func (s *simulation) appendClaims(t *rapid.T) {
	h := s.pickHost(t)
	a, ok := h.dedup.PrepareAppend(s.now-h.bootTime, 1)
	if !ok {
		return
	}
	result := AppendUnknown
	switch rapid.IntRange(0, 5).Draw(t, "append") {
	case 0:
		result = AppendNotApplied
	case 1:
		s.delayedAppends = append(s.delayedAppends, a.Data)
	case 2:
		s.append(a.Data)
	case 3: // The append is lost, and the host does not know it.
	default:
		s.append(a.Data)
		result = AppendConfirmed
	}
	h.dedup.FinishAppend(s.now-h.bootTime, a.ID, result)
}

// readLog makes a host read a few records, sometimes starting with one that it has read before.
func (s *simulation) readLog(t *rapid.T) {
	h := s.pickHost(t)
	from := max(0, h.dedup.NextOffset()-int64(rapid.IntRange(0, 1).Draw(t, "again")))
	to := min(int64(len(s.log)), from+int64(rapid.IntRange(1, 5).Draw(t, "limit")))
	b := Batch{Records: s.log[min(from, to):to], Next: int64(len(s.log))}
	s.applyVerdicts(t, h, h.dedup.Apply(s.now-h.bootTime, b)...)
}

// restart replaces a host by a new incarnation. The requests that the old one had started may have reached an upstream.
func (s *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "restarted")
	for _, id := range s.hosts[i].started {
		if s.hosts[i].dedup.MayStart(s.now-s.hosts[i].bootTime, id) && rapid.Bool().Draw(t, "ran") {
			s.recordRun(t, s.requests[id].order)
		}
	}
	s.hosts[i] = s.newHost()
}

// checkAllDecided lets all deadlines pass and checks that no request is left waiting for a verdict.
func (s *simulation) checkAllDecided(t *rapid.T) {
	s.now += time.Minute
	for _, h := range s.hosts {
		s.applyVerdicts(t, h, h.dedup.Expire(s.now-h.bootTime)...)
		if h.dedup.PendingClaims() != 0 || len(h.dedup.active) != len(h.started) {
			t.Fatalf("%d claims are pending and %d requests are active, %d of them started",
				h.dedup.PendingClaims(), len(h.dedup.active), len(h.started))
		}
	}
}

// An order must not run twice, nor after a refusal with RunNo, when several hosts share a log that loses or delays
// appends and their answers. A suspended host is simulated by one that takes no step while time passes.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin":   s.begin,
			"again":   s.begin,
			"attempt": s.attempt,
			"flush":   s.appendClaims,
			"read":    s.readLog,
			"catchUp": func(t *rapid.T) {
				h := s.pickHost(t)
				s.applyVerdicts(t, h, h.dedup.Apply(s.now-h.bootTime, Batch{Records: s.log, Next: int64(len(s.log))})...)
			},
			"late": func(*rapid.T) {
				if len(s.delayedAppends) > 0 {
					s.append(s.delayedAppends[0])
					s.delayedAppends = s.delayedAppends[1:]
				}
			},
			"wait": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 8).Draw(t, "wait")) * 100 * time.Millisecond
			},
			"expire": func(t *rapid.T) {
				h := s.pickHost(t)
				s.applyVerdicts(t, h, h.dedup.Expire(s.now-h.bootTime)...)
			},
			"cancel": func(t *rapid.T) {
				h := s.pickHost(t)
				h.dedup.Cancel(s.now-h.bootTime, ident.RequestID(rapid.IntRange(1, int(s.lastID)+1).Draw(t, "id")))
			},
			"restart": s.restart,
		})
		s.checkAllDecided(t)
	})
}

// BenchmarkStoredIDs measures the heap memory for each used token with a stored answer of 100 bytes.
func BenchmarkStoredIDs(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(heapBytes(func() any { return filledDeduplicator(b, n) }))/float64(n), "B/id")
			}
		})
	}
}
