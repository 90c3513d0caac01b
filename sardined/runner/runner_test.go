package runner

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/common/httpc"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/member"
	"sardinecross.example/lib/roster"
	"sardinecross.example/sardined/metric"
	"sardinecross.example/sardined/proxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fake is a reducer made of a function, and everything else that a runner needs.
type fake struct {
	step func(ev core.Event) []core.Effect
	wake time.Duration
	// events has the events that the function did not answer.
	events chan core.Event

	mu   sync.Mutex
	sent []uint64
}

func (f *fake) Step(_ time.Duration, _ uint64, ev core.Event) []core.Effect {
	effects := f.step(ev)
	if effects == nil {
		select {
		case f.events <- ev:
		default:
		}
	}
	return effects
}

func (f *fake) Wake() time.Duration { return f.wake }
func (f *fake) Status() core.Status { return core.Status{} }
func (f *fake) Addresses(time.Duration, ident.ClassName) ([]core.Address, time.Duration) {
	return nil, 0
}
func (f *fake) SetPeers([]core.PeerAddress) {}
func (f *fake) Send(_ ident.HostID, m core.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, m.Heartbeat.Seq)
}
func (f *fake) Relay(context.Context, ident.HostID, *Request, Sink) (bool, error) {
	return false, &GoneError{}
}

// platform is a log that fails in the given way, and an empty host list.
type platform struct{ appendErr error }

func (p platform) Append(context.Context, string, []byte) (int64, error) { return 7, p.appendErr }
func (p platform) Read(context.Context, string, int64, int) (applog.Batch, error) {
	return applog.Batch{Records: []applog.Record{{Offset: 3, Data: []byte("d")}}, First: 1, Next: 4}, nil
}

type hosts struct{}

func (hosts) Read(context.Context) ([]roster.Entry, error) {
	return []roster.Entry{{ID: "h", Role: roster.RoleHost, State: roster.StateLeaving}}, nil
}

func start(t *testing.T, f *fake, p platform, logs *bytes.Buffer) *Runner {
	t.Helper()
	f.events = make(chan core.Event, 1000)
	clock := NewClock()
	client := proxy.New(proxy.Config{MaxConns: 1, CaptureBytes: 100, Now: clock.Now})
	r := New(Deps{
		Reducer: f, Clock: clock, Log: p, HostList: hosts{}, Links: f, Upstreams: client,
		Metrics: metric.New(), Logger: slog.New(slog.NewTextHandler(logs, nil)),
	})
	t.Cleanup(func() {
		r.Close()
		client.Close()
	})
	return r
}

// Messages that overtake those of an earlier step break the protocol between hosts.
func TestEffectsKeepTheOrderOfSteps(t *testing.T) {
	seq := uint64(0)
	f := &fake{wake: time.Hour, step: func(core.Event) []core.Effect {
		seq++
		return []core.Effect{core.SendPeer{Message: core.Message{Heartbeat: &member.Heartbeat{Seq: seq}}}}
	}}
	r := start(t, f, platform{}, &bytes.Buffer{})
	var tasks sync.WaitGroup
	for range 8 {
		tasks.Go(func() {
			for range 200 {
				r.Step(core.HostListFailed{})
			}
		})
	}
	tasks.Wait()
	for i, n := range f.sent {
		if n != uint64(i+1) {
			t.Fatalf("message %d sent as number %d", n, i+1)
		}
	}
	if len(f.sent) != 8*200+1 {
		t.Errorf("%d messages sent", len(f.sent))
	}
}

// Without ticks a host that receives nothing never sends a heartbeat.
func TestTicks(t *testing.T) {
	ticks := 0
	done := make(chan struct{})
	f := &fake{}
	f.step = func(ev core.Event) []core.Effect {
		if _, ok := ev.(core.Tick); !ok {
			t.Errorf("event %T", ev)
		}
		if ticks++; ticks == 5 {
			close(done)
			f.wake = time.Hour
		} else {
			f.wake += time.Millisecond
		}
		return nil
	}
	start(t, f, platform{}, &bytes.Buffer{})
	<-done
}

// An append that may have taken effect must not be reported as not applied, and a read must keep its offsets.
func TestPlatformEvents(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want core.AppendEnded
	}{
		"answered":    {nil, core.AppendEnded{Answered: true, Offset: 7}},
		"not applied": {&applog.NotAppliedError{Err: &httpc.ClosedError{}}, core.AppendEnded{NotApplied: true, Offset: 7}},
		"unanswered":  {&applog.UnknownOutcomeError{Err: &httpc.ClosedError{}}, core.AppendEnded{Offset: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fake{wake: time.Hour, step: func(ev core.Event) []core.Effect {
				if _, ok := ev.(core.Tick); ok {
					return []core.Effect{core.Append{Stream: "s", AppendID: 9}}
				}
				return nil
			}}
			start(t, f, platform{c.err}, &bytes.Buffer{})
			c.want.Stream, c.want.AppendID = "s", 9
			if got := <-f.events; got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
	t.Run("read", func(t *testing.T) {
		f := &fake{wake: time.Hour, step: func(ev core.Event) []core.Effect {
			if _, ok := ev.(core.Tick); ok {
				return []core.Effect{core.ReadLog{Stream: "s", From: 2}}
			}
			return nil
		}}
		start(t, f, platform{}, &bytes.Buffer{})
		got := (<-f.events).(core.LogRead)
		if got.Stream != "s" || got.From != 2 || got.First != 1 || got.Next != 4 || got.SentAt <= 0 ||
			len(got.Records) != 1 || got.Records[0].Offset != 3 || string(got.Records[0].Data) != "d" {
			t.Errorf("got %+v", got)
		}
	})
}

// A request must end with one whole answer whatever the reducer decides after a relay or an answer.
func TestServe(t *testing.T) {
	t.Run("refused after a failed relay", func(t *testing.T) {
		f := &fake{wake: time.Hour, step: func(ev core.Event) []core.Effect {
			switch e := ev.(type) {
			case core.RequestArrived:
				return []core.Effect{core.Relay{ID: e.ID, To: "h", Deadline: time.Hour}}
			case core.RelayEnded:
				return []core.Effect{core.Refuse{ID: e.ID, Reason: core.ReasonHostGone, Run: core.RunUnknown}}
			}
			return nil
		}}
		assertServed(t, start(t, f, platform{}, &bytes.Buffer{}), http.StatusBadGateway, `"hostGone","run":"unknown"`)
	})
	t.Run("chosen after its end", func(t *testing.T) {
		u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Nonce", r.Header.Get("X-Request-Nonce"))
			w.Write([]byte("late"))
		}))
		defer u.Close()
		f := &fake{wake: time.Hour, step: func(ev core.Event) []core.Effect {
			switch e := ev.(type) {
			case core.RequestArrived:
				return []core.Effect{core.StartAttempt{
					ID: e.ID, Attempt: 1, Address: u.Listener.Addr().String(), Deadline: time.Hour, StartBy: time.Hour, Capture: true,
				}}
			case core.AttemptEnded:
				return []core.Effect{core.Deliver{ID: e.ID, Attempt: e.Attempt}}
			}
			return nil
		}}
		assertServed(t, start(t, f, platform{}, &bytes.Buffer{}), http.StatusOK, "late")
	})
}

// memory is a sink that keeps the answer.
type memory struct {
	status int
	bytes.Buffer
}

func (*memory) Expire(time.Duration) {}
func (m *memory) Head(status int, _ http.Header, _ int64) error {
	m.status = status
	return nil
}
func (*memory) Flush() error { return nil }

func assertServed(t *testing.T, r *Runner, status int, body string) {
	t.Helper()
	sink := &memory{}
	err := r.Serve(t.Context(), &Request{Class: "c", Method: http.MethodGet, Path: "/"}, sink)
	if err != nil || sink.status != status || !strings.Contains(sink.String(), body) {
		t.Errorf("status %d, body %s, error %v", sink.status, sink.String(), err)
	}
	r.Close()
	if n := len(r.calls); n != 0 {
		t.Errorf("%d requests left", n)
	}
}

// A failure at each request must not fill the log.
func TestNoticesAreLimited(t *testing.T) {
	f := &fake{wake: time.Hour, step: func(core.Event) []core.Effect {
		return []core.Effect{core.Notice{Warn: true, Name: "upstream failed", Attrs: []core.NoticeAttr{{Key: "upstream", Value: "u1"}}}}
	}}
	var logs bytes.Buffer
	r := start(t, f, platform{}, &logs)
	for range 1000 {
		r.Step(core.HostListFailed{})
	}
	lines := strings.Count(logs.String(), "level=WARN msg=\"upstream failed\" upstream=u1")
	if limit := noticeBurst * int(1+r.Now()/noticeInterval); lines == 0 || lines > limit {
		t.Errorf("%d lines, limit %d", lines, limit)
	}
}
