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

// fakeReducer is a Reducer whose steps are a function. It also implements Links and records the messages sent.
type fakeReducer struct {
	step func(ev core.Event) []core.Effect
	wake time.Duration
	// events receives the events for which the function returned nil.
	events chan core.Event

	// mu guards sentSeqs, the numbers of the heartbeats passed to Send.
	mu       sync.Mutex
	sentSeqs []uint64
}

func (f *fakeReducer) Step(_ time.Duration, _ uint64, ev core.Event) []core.Effect {
	effects := f.step(ev)
	if effects == nil {
		select {
		case f.events <- ev:
		default:
		}
	}
	return effects
}

func (f *fakeReducer) Wake() time.Duration { return f.wake }
func (f *fakeReducer) Status() core.Status { return core.Status{} }
func (f *fakeReducer) Addresses(time.Duration, ident.ClassName) ([]core.Address, time.Duration) {
	return nil, 0
}
func (f *fakeReducer) SetPeers([]core.PeerAddress) {}
func (f *fakeReducer) Send(_ ident.HostID, m core.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentSeqs = append(f.sentSeqs, m.Heartbeat.Seq)
}
func (f *fakeReducer) Relay(context.Context, ident.HostID, *Request, Sink) (bool, error) {
	return false, &CallerGoneError{}
}

// fakeLog is a Log with one record whose appends end with appendErr.
type fakeLog struct{ appendErr error }

func (p fakeLog) Append(context.Context, string, []byte) (int64, error) { return 7, p.appendErr }
func (p fakeLog) Read(context.Context, string, int64, int) (applog.Batch, error) {
	return applog.Batch{Records: []applog.Record{{Offset: 3, Data: []byte("d")}}, First: 1, Next: 4}, nil
}

// fakeHostList is a HostList with one leaving host.
type fakeHostList struct{}

func (fakeHostList) Read(context.Context) ([]roster.Entry, error) {
	return []roster.Entry{{ID: "h", Role: roster.RoleHost, State: roster.StateLeaving}}, nil
}

// startRunner returns a runner that is closed at the end of the test. It writes its log to logs.
func startRunner(t *testing.T, f *fakeReducer, p fakeLog, logs *bytes.Buffer) *Runner {
	t.Helper()
	f.events = make(chan core.Event, 1000)
	clock := NewClock()
	client := proxy.New(proxy.Config{MaxConns: 1, CaptureBytes: 100, Now: clock.Now})
	r := New(Deps{
		Reducer: f, Clock: clock, Log: p, HostList: fakeHostList{}, Links: f, Upstreams: client,
		Metrics: metric.New(), Logger: slog.New(slog.NewTextHandler(logs, nil)),
	})
	t.Cleanup(func() {
		r.Close()
		client.Close()
	})
	return r
}

// Concurrent steps must not send their messages in another order than that of the steps. Messages that
// overtake those of an earlier step break the protocol between hosts.
func TestEffectsKeepTheOrderOfSteps(t *testing.T) {
	seq := uint64(0)
	f := &fakeReducer{wake: time.Hour, step: func(core.Event) []core.Effect {
		seq++
		return []core.Effect{core.SendPeer{Message: core.Message{Heartbeat: &member.Heartbeat{Seq: seq}}}}
	}}
	r := startRunner(t, f, fakeLog{}, &bytes.Buffer{})
	var tasks sync.WaitGroup
	for range 8 {
		tasks.Go(func() {
			for range 200 {
				r.Step(core.HostListFailed{})
			}
		})
	}
	tasks.Wait()
	for i, n := range f.sentSeqs {
		if n != uint64(i+1) {
			t.Fatalf("message %d sent as number %d", n, i+1)
		}
	}
	if len(f.sentSeqs) != 8*200+1 {
		t.Errorf("%d messages sent, want one for each step", len(f.sentSeqs))
	}
}

// The timer must send a Tick at each wake time of the reducer. Without ticks, a host that receives no events would never
// send a heartbeat.
func TestTimerSendsTicks(t *testing.T) {
	ticks := 0
	done := make(chan struct{})
	f := &fakeReducer{}
	f.step = func(ev core.Event) []core.Effect {
		if _, ok := ev.(core.Tick); !ok {
			t.Errorf("unexpected event %T", ev)
		}
		if ticks++; ticks == 5 {
			close(done)
			f.wake = time.Hour
		} else {
			f.wake += time.Millisecond
		}
		return nil
	}
	startRunner(t, f, fakeLog{}, &bytes.Buffer{})
	<-done
}

// An append that may have taken effect must not be reported as not applied, and the event of a read must carry the
// offsets that the log returned.
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
			f := &fakeReducer{wake: time.Hour, step: func(ev core.Event) []core.Effect {
				if _, ok := ev.(core.Tick); ok {
					return []core.Effect{core.Append{Stream: "s", AppendID: 9}}
				}
				return nil
			}}
			startRunner(t, f, fakeLog{c.err}, &bytes.Buffer{})
			c.want.Stream, c.want.AppendID = "s", 9
			if got := <-f.events; got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
	t.Run("read", func(t *testing.T) {
		f := &fakeReducer{wake: time.Hour, step: func(ev core.Event) []core.Effect {
			if _, ok := ev.(core.Tick); ok {
				return []core.Effect{core.ReadLog{Stream: "s", From: 2}}
			}
			return nil
		}}
		startRunner(t, f, fakeLog{}, &bytes.Buffer{})
		got := (<-f.events).(core.LogRead)
		if got.Stream != "s" || got.From != 2 || got.First != 1 || got.Next != 4 || got.SentAt <= 0 ||
			len(got.Records) != 1 || got.Records[0].Offset != 3 || string(got.Records[0].Data) != "d" {
			t.Errorf("got %+v", got)
		}
	})
}

// A request must end with exactly one complete answer, also if the reducer refuses it after a failed relay, or chooses
// the answer of an attempt only after the attempt has ended.
func TestServeWritesOneWholeAnswer(t *testing.T) {
	t.Run("refused after a failed relay", func(t *testing.T) {
		f := &fakeReducer{wake: time.Hour, step: func(ev core.Event) []core.Effect {
			switch e := ev.(type) {
			case core.RequestArrived:
				return []core.Effect{core.Relay{ID: e.ID, To: "h", Deadline: time.Hour}}
			case core.RelayEnded:
				return []core.Effect{core.Refuse{ID: e.ID, Reason: core.ReasonHostGone, Run: core.RunUnknown}}
			}
			return nil
		}}
		assertServed(t, startRunner(t, f, fakeLog{}, &bytes.Buffer{}), http.StatusBadGateway, `"hostGone","run":"unknown"`)
	})
	t.Run("answer chosen after the end of the attempt", func(t *testing.T) {
		u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Nonce", r.Header.Get("X-Request-Nonce"))
			w.Write([]byte("late"))
		}))
		defer u.Close()
		f := &fakeReducer{wake: time.Hour, step: func(ev core.Event) []core.Effect {
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
		assertServed(t, startRunner(t, f, fakeLog{}, &bytes.Buffer{}), http.StatusOK, "late")
	})
}

// recordingSink is a Sink that records the answer.
type recordingSink struct {
	status int
	bytes.Buffer
}

func (*recordingSink) SetWriteTimeout(time.Duration) {}
func (m *recordingSink) WriteHead(status int, _ http.Header, _ int64) error {
	m.status = status
	return nil
}
func (*recordingSink) Flush() error { return nil }

// assertServed checks the status and a part of the body of the answer to one request, and that the runner keeps no call.
func assertServed(t *testing.T, r *Runner, status int, body string) {
	t.Helper()
	sink := &recordingSink{}
	err := r.Serve(t.Context(), &Request{Class: "c", Method: http.MethodGet, Path: "/"}, sink)
	if err != nil || sink.status != status || !strings.Contains(sink.String(), body) {
		t.Errorf("status %d, body %s, error %v", sink.status, sink.String(), err)
	}
	r.Close()
	if n := len(r.calls); n != 0 {
		t.Errorf("%d calls left after Close", n)
	}
}

// A failure that causes a notice for each request must not flood the log.
func TestNoticesAreLimited(t *testing.T) {
	f := &fakeReducer{wake: time.Hour, step: func(core.Event) []core.Effect {
		return []core.Effect{core.Notice{Warn: true, Name: "upstream failed", Attrs: []core.NoticeAttr{{Key: "upstream", Value: "u1"}}}}
	}}
	var logs bytes.Buffer
	r := startRunner(t, f, fakeLog{}, &logs)
	for range 1000 {
		r.Step(core.HostListFailed{})
	}
	lines := strings.Count(logs.String(), "level=WARN msg=\"upstream failed\" upstream=u1")
	if limit := noticeBurst * int(1+r.Now()/noticeInterval); lines == 0 || lines > limit {
		t.Errorf("%d log lines, limit %d", lines, limit)
	}
}
