package order

import (
	"fmt"
	"time"

	"testing"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
)

// site is several books that share one log whose answers get lost.
type site struct {
	now   time.Duration
	hosts []*siteHost
	log   []Record
	// delayed are appends that may still take effect.
	delayed [][]byte
	// orders are the logical orders, by key or token.
	orders   map[string]*siteOrder
	requests map[ident.RequestID]*siteRequest
	lastID   ident.RequestID
	lastInc  ident.Incarnation
	tokens   []string
}

type siteHost struct {
	book *Book
	inc  ident.Incarnation
	// born is the site's time at which the host's clock started.
	born time.Duration
	// started are the requests that the host may run.
	started []ident.RequestID
}

type siteOrder struct {
	runs int
	// seen is true if an earlier request named the order.
	seen bool
}

type siteRequest struct {
	Request
	order *siteOrder
	// refused is true once the caller was told that the request did not run.
	refused bool
}

func newSite(t *rapid.T) *site {
	s := &site{orders: make(map[string]*siteOrder), requests: make(map[ident.RequestID]*siteRequest)}
	for range 3 {
		s.hosts = append(s.hosts, s.newHost())
	}
	for i, h := range s.hosts {
		token, err := h.book.Issue(s.now-h.born, uint64(i+1), "orders")
		if err != nil {
			t.Fatal(err)
		}
		s.tokens = append(s.tokens, token.Text)
	}
	return s
}

func (s *site) newHost() *siteHost {
	s.lastInc++
	return &siteHost{book: NewBook(s.lastInc, Limits{ClaimWait: 500 * time.Millisecond}), inc: s.lastInc, born: s.now}
}

func (s *site) host(t *rapid.T) *siteHost { return rapid.SampledFrom(s.hosts).Draw(t, "host") }

func (s *site) begin(t *rapid.T) {
	r := Request{Class: "orders", Deadline: s.now + time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline"))*100*time.Millisecond}
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		r.Token = rapid.SampledFrom(s.tokens).Draw(t, "token")
	} else {
		r.Key = rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	}
	o := s.orders[r.Token+r.Key]
	if o == nil {
		o = &siteOrder{}
		s.orders[r.Token+r.Key] = o
	}
	r.Retry = o.seen
	o.seen = true
	s.arrive(t, s.host(t), r, o)
}

// arrive gives a request, whose deadline is in the site's time, to a host.
func (s *site) arrive(t *rapid.T, h *siteHost, r Request, o *siteOrder) {
	s.lastID++
	r.ID = s.lastID
	s.requests[r.ID] = &siteRequest{Request: r, order: o}
	onHost := r
	onHost.Deadline -= h.born
	s.decided(t, h, h.book.Begin(s.now-h.born, onHost))
}

func (s *site) decided(t *rapid.T, h *siteHost, verdicts ...Verdict) {
	for _, v := range verdicts {
		r := s.requests[v.Request]
		switch v.Action {
		case Start:
			if s.now >= r.Deadline || r.refused {
				t.Fatalf("request %d started after its deadline or refusal", r.ID)
			}
			h.started = append(h.started, r.ID)
		case Replay:
			if string(v.Answer.Body) != r.Token+r.Key {
				t.Fatalf("request %d got the answer of %q", r.ID, v.Answer.Body)
			}
		case Relay:
			s.relay(t, v)
		case Refuse:
			r.refused = r.refused || v.Run == RunNo
			if v.Run == RunNo && r.Retry && r.order.runs > 0 {
				t.Fatalf("repetition %d was told that the order did not run", r.ID)
			}
		}
	}
}

func (s *site) relay(t *rapid.T, v Verdict) {
	r := s.requests[v.Request]
	if r.Relayed {
		t.Fatalf("request %d was relayed twice", r.ID)
	}
	for _, h := range s.hosts {
		if h.inc == v.To {
			relayed := r.Request
			relayed.Relayed = true
			s.arrive(t, h, relayed, r.order)
			return
		}
	}
}

func (s *site) run(t *rapid.T, o *siteOrder) {
	if o.runs++; o.runs > 1 {
		t.Fatalf("order ran %d times", o.runs)
	}
}

// attempt lets a started request reach an upstream, or not.
func (s *site) attempt(t *rapid.T) {
	h := s.host(t)
	if len(h.started) == 0 {
		return
	}
	id := h.started[0]
	h.started = h.started[1:]
	r := s.requests[id]
	result := RunNo
	if h.book.MayStart(s.now-h.born, id) {
		if s.now >= r.Deadline {
			t.Fatalf("request %d may start after its deadline", id)
		}
		result = Run(rapid.IntRange(int(RunNo), int(RunYes)).Draw(t, "run"))
	}
	if result == RunYes || result == RunUnknown && rapid.Bool().Draw(t, "ran") {
		s.run(t, r.order)
	}
	var answer *Answer
	if result == RunYes && rapid.Bool().Draw(t, "captured") {
		answer = &Answer{Body: []byte(r.Token + r.Key)}
	}
	s.decided(t, h, h.book.Finish(s.now-h.born, id, result, answer)...)
}

func (s *site) append(data []byte) {
	s.log = append(s.log, Record{Offset: int64(len(s.log)), Data: data})
}

func (s *site) flush(t *rapid.T) {
	h := s.host(t)
	a, ok := h.book.Flush(s.now-h.born, 1)
	if !ok {
		return
	}
	result := Unanswered
	switch rapid.IntRange(0, 5).Draw(t, "append") {
	case 0:
		result = NotApplied
	case 1:
		s.delayed = append(s.delayed, a.Data)
	case 2:
		s.append(a.Data)
	case 3: // Lost.
	default:
		s.append(a.Data)
		result = Answered
	}
	h.book.Appended(s.now-h.born, a.ID, result)
}

func (s *site) read(t *rapid.T) {
	h := s.host(t)
	from := max(0, h.book.Next()-int64(rapid.IntRange(0, 1).Draw(t, "again")))
	to := min(int64(len(s.log)), from+int64(rapid.IntRange(1, 5).Draw(t, "limit")))
	b := Batch{Records: s.log[min(from, to):to], Next: int64(len(s.log))}
	s.decided(t, h, h.book.Read(s.now-h.born, b)...)
}

// restart replaces a host; what it had started may have reached an upstream.
func (s *site) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "restarted")
	for _, id := range s.hosts[i].started {
		if s.hosts[i].book.MayStart(s.now-s.hosts[i].born, id) && rapid.Bool().Draw(t, "ran") {
			s.run(t, s.requests[id].order)
		}
	}
	s.hosts[i] = s.newHost()
}

// finish guards against requests that are never decided.
func (s *site) finish(t *rapid.T) {
	s.now += time.Minute
	for _, h := range s.hosts {
		s.decided(t, h, h.book.Expire(s.now-h.born)...)
		if h.book.Waiting() != 0 || len(h.book.active) != len(h.started) {
			t.Fatalf("%d claims wait and %d requests are active, %d of them started",
				h.book.Waiting(), len(h.book.active), len(h.started))
		}
	}
}

// Guards against an order that runs twice, or runs after a refusal as "not run", over hosts that share a log with lost answers. A host
// that freezes is one whose turn does not come while time passes.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin":   s.begin,
			"again":   s.begin,
			"attempt": s.attempt,
			"flush":   s.flush,
			"read":    s.read,
			"catchUp": func(t *rapid.T) {
				h := s.host(t)
				s.decided(t, h, h.book.Read(s.now-h.born, Batch{Records: s.log, Next: int64(len(s.log))})...)
			},
			"late": func(*rapid.T) {
				if len(s.delayed) > 0 {
					s.append(s.delayed[0])
					s.delayed = s.delayed[1:]
				}
			},
			"wait": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 8).Draw(t, "wait")) * 100 * time.Millisecond
			},
			"expire": func(t *rapid.T) {
				h := s.host(t)
				s.decided(t, h, h.book.Expire(s.now-h.born)...)
			},
			"cancel": func(t *rapid.T) {
				h := s.host(t)
				h.book.Cancel(s.now-h.born, ident.RequestID(rapid.IntRange(1, int(s.lastID)+1).Draw(t, "id")))
			},
			"restart": s.restart,
		})
		s.finish(t)
	})
}

// BenchmarkStoredIDs measures the memory of used IDs with a stored answer of 100 bytes.
func BenchmarkStoredIDs(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(heapOf(func() any { return fullBook(b, n) }))/float64(n), "B/id")
			}
		})
	}
}
