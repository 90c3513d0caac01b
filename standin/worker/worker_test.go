package worker

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a fleet of one warm worker of 2 slots without delays.
type fixture struct {
	*Fleet
	w      *Worker
	client *http.Client
}

func newFixture(t *testing.T, change func(*Service)) fixture {
	t.Helper()
	cfg := Service{Slots: 2, ColdSlots: 1, Connections: 100, AnswerBytes: 100, WarmUp: 2, Warm: true}
	if change != nil {
		change(&cfg)
	}
	f, err := New(Settings{
		Control:  netip.MustParseAddrPort("127.0.0.1:0"),
		Seed:     1,
		Services: map[string]Service{"s": cfg},
		Workers:  []Place{{ID: "w", Service: "s", DataCentre: "passau", Address: netip.MustParseAddrPort("127.0.0.1:0")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 10}
	t.Cleanup(func() { tr.CloseIdleConnections(); f.Close() })
	return fixture{f, f.workers[0], &http.Client{Transport: tr}}
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request; headers are pairs of name and value.
func (f fixture) send(ctx context.Context, number string, headers ...string) result {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.w.place.Address.String()+"/x",
		strings.NewReader("number="+number+"\nrest"))
	req.Header.Set("X-Request-Nonce", "nonce-"+number)
	req.Header.Set("X-Order-Number", number)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(body), err}
}

// background sends a request that runs until it is cancelled, and returns after it started.
func (f fixture) background(t *testing.T, number string) (cancel func()) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.send(ctx, number)
	}()
	wait(t, func() bool { return f.Orders()[number].Run == 1 })
	return func() { stop(); <-done }
}

func (f fixture) control(t *testing.T, body string, status int) {
	t.Helper()
	resp, err := f.client.Post("http://"+f.Fleet.control.Addr().String()+"/control", "", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != status {
		t.Fatalf("control %s: status %d, want %d", body, resp.StatusCode, status)
	}
}

func (f fixture) report(t *testing.T) string {
	t.Helper()
	resp, err := f.client.Get("http://" + f.w.place.Address.String() + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func (f fixture) assertOrder(t *testing.T, number string, run, completed int) {
	t.Helper()
	if e := f.Orders()[number]; e != (Execution{run, completed}) {
		t.Errorf("order %s: %+v, want run %d, completed %d", number, e, run, completed)
	}
}

func assertServed(t *testing.T, r result, number string) {
	t.Helper()
	if r.status != 200 || r.err != nil || !strings.HasPrefix(r.body, "number="+number+"\n") || len(r.body) != 100 {
		t.Fatalf("got %+v, want the answer to %s", r, number)
	}
	if r.header.Get("X-Body-Checksum") != newBody(number, 100).checksum() {
		t.Errorf("wrong checksum")
	}
}

func assertNotRun(t *testing.T, r result) {
	t.Helper()
	if r.status != 503 || r.header.Get("X-Not-Run") != "true" {
		t.Fatalf("got %+v, want not run", r)
	}
}

func wait(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached")
		}
	}
}

func endless(s *Service) { s.ServiceTime = ServiceTime{Median: time.Hour, P99: time.Hour} }

func TestFaults(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		f := newFixture(t, nil)
		r := f.send(t.Context(), "1")
		assertServed(t, r, "1")
		if r.header.Get("X-Request-Nonce") != "nonce-1" || r.header.Get("X-Upstream-Incarnation") != f.w.Stats().Incarnation {
			t.Errorf("header %v", r.header)
		}
		f.assertOrder(t, "1", 1, 1)
	})
	t.Run("fail fast", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"worker": "w", "faults": {"failFast": {"probability": 1}}}`, 204)
		if r := f.send(t.Context(), "1"); r.status != 500 {
			t.Errorf("got %+v", r)
		}
		f.assertOrder(t, "1", 0, 0)
	})
	t.Run("drain", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"dataCentre": "passau", "faults": {"drain": true}}`, 204)
		assertNotRun(t, f.send(t.Context(), "1"))
		f.assertOrder(t, "1", 0, 0)
		f.control(t, `{"clear": true}`, 204)
		assertServed(t, f.send(t.Context(), "1"), "1")
	})
	t.Run("crossed", func(t *testing.T) {
		f := newFixture(t, nil)
		f.send(t.Context(), "1")
		f.control(t, `{"faults": {"crossed": {"next": 1}}}`, 204)
		r := f.send(t.Context(), "2")
		assertServed(t, r, "1")
		if r.header.Get("X-Request-Nonce") != "nonce-1" {
			t.Errorf("nonce %v", r.header)
		}
		assertServed(t, f.send(t.Context(), "3"), "3")
	})
	t.Run("truncated", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"faults": {"truncated": {"next": 1}}}`, 204)
		if r := f.send(t.Context(), "1"); r.status != 200 || r.err == nil || len(r.body) != 50 {
			t.Errorf("got %+v", r)
		}
		f.assertOrder(t, "1", 1, 1)
	})
	t.Run("run then close", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"faults": {"runThenClose": {"next": 1}}}`, 204)
		if r := f.send(t.Context(), "1"); r.err == nil {
			t.Errorf("got %+v", r)
		}
		f.assertOrder(t, "1", 1, 1)
	})
	t.Run("late, past the deadline", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"faults": {"late": {"next": 1}, "lateBy": "30ms"}}`, 204)
		start := time.Now()
		assertServed(t, f.send(t.Context(), "1", "X-Request-Timeout", "20"), "1")
		if time.Since(start) < 30*time.Millisecond {
			t.Error("not late")
		}
	})
	t.Run("straggle", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { s.ServiceTime = ServiceTime{time.Millisecond, time.Millisecond} })
		f.control(t, `{"faults": {"straggle": 1000000}}`, 204)
		if r := f.send(t.Context(), "1", "X-Request-Timeout", "20"); r.status != 504 {
			t.Errorf("got %+v", r)
		}
		f.assertOrder(t, "1", 1, 0)
	})
	t.Run("down and back as a cold incarnation", func(t *testing.T) {
		f := newFixture(t, nil)
		before := f.w.Stats().Incarnation
		f.control(t, `{"faults": {"down": true}}`, 204)
		if r := f.send(t.Context(), "1"); r.err == nil {
			t.Errorf("got %+v", r)
		}
		f.control(t, `{"faults": {"down": false}}`, 204)
		assertServed(t, f.send(t.Context(), "2"), "2")
		if s := f.w.Stats(); s.Incarnation == before || s.State != "cold" || s.Bearable != 1 {
			t.Errorf("stats %+v", s)
		}
	})
	t.Run("wrong control", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"worker": "x"}`, 404)
		f.control(t, `{"faults": {"drian": true}}`, 400)
	})
}

func TestDeadline(t *testing.T) {
	stamp := func(d time.Duration) string { return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10) }
	t.Run("past", func(t *testing.T) {
		f := newFixture(t, nil)
		assertNotRun(t, f.send(t.Context(), "1", "X-Request-Deadline", stamp(-time.Second)))
		f.assertOrder(t, "1", 0, 0)
	})
	t.Run("past within the tolerance, far enough for a busy machine", func(t *testing.T) {
		f := newFixture(t, nil)
		q := &request{ctx: t.Context(), latest: time.Now().Add(clockTolerance)}
		if _, ok := f.w.begin(q); !ok {
			t.Error("rejected")
		}
	})
	t.Run("timeout while waiting for a slot", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { endless(s); s.Queue = 1 })
		defer f.background(t, "1")()
		defer f.background(t, "2")()
		assertNotRun(t, f.send(t.Context(), "3", "X-Request-Timeout", "10"))
		f.assertOrder(t, "3", 0, 0)
	})
	t.Run("client disconnects", func(t *testing.T) {
		f := newFixture(t, endless)
		f.background(t, "1")()
		wait(t, func() bool { return f.w.Stats().InFlight == 0 })
		f.assertOrder(t, "1", 1, 0)
	})
}

// A count that is too low hides hosts that exceed the slots.
func TestOverSlots(t *testing.T) {
	f := newFixture(t, func(s *Service) { endless(s); s.Queue = 0 })
	defer f.background(t, "1")()
	defer f.background(t, "2")()
	assertNotRun(t, f.send(t.Context(), "3"))
	wait(t, func() bool { return f.w.Stats().OverSlots == 1 })
	if s := f.w.Stats(); s.GreatestInFlight != 3 || s.GreatestOver != 1 || s.Shed != 1 {
		t.Errorf("stats %+v", s)
	}
}

// A request that the client gave up before the next one arrived is not in excess.
func TestDisconnectIsNotExcess(t *testing.T) {
	w := newFixture(t, nil).w
	w.settle(2, w.disconnects-2)
	if s := w.Stats(); s.OverSlots != 0 {
		t.Errorf("stats %+v", s)
	}
	w.settle(2, w.disconnects-1)
	if s := w.Stats(); s.OverSlots != 1 {
		t.Errorf("stats %+v", s)
	}
}

func TestCold(t *testing.T) {
	t.Run("warms up by completed work", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { s.Warm = false })
		for i, want := range []int{1, 2, 2} {
			f.send(t.Context(), strconv.Itoa(i))
			if s := f.w.Stats(); s.Bearable != want {
				t.Fatalf("after %d: bears %d, want %d", i+1, s.Bearable, want)
			}
		}
	})
	t.Run("falls over and sheds", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { endless(s); s.Warm = false; s.Queue = 10 })
		defer f.background(t, "1")()
		for i := range fallAfter - 1 {
			f.send(t.Context(), "2"+strconv.Itoa(i), "X-Request-Timeout", "5")
		}
		assertNotRun(t, f.send(t.Context(), "3", "X-Request-Timeout", "5"))
		if s := f.w.Stats(); s.FellOver != 1 || s.GreatestInFlightCold < 2 || s.GreatestOver < 1 {
			t.Errorf("stats %+v", s)
		}
	})
	t.Run("by control, without a sign", func(t *testing.T) {
		f := newFixture(t, nil)
		before := f.w.Stats().Incarnation
		f.control(t, `{"service": "s", "cold": true}`, 204)
		if s := f.w.Stats(); s.Bearable != 1 || s.Incarnation != before {
			t.Errorf("stats %+v", s)
		}
	})
}

func TestReport(t *testing.T) {
	t.Run("lags", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { endless(s); s.ReportLag = time.Hour })
		defer f.background(t, "1")()
		assertContains(t, f.report(t), `"inFlight":0`)
	})
	t.Run("is biased and misleads about the state", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { endless(s); s.ReportBias = 5 })
		defer f.background(t, "1")()
		f.control(t, `{"faults": {"misreport": "draining"}}`, 204)
		got := f.report(t)
		assertContains(t, got, `"inFlight":6`)
		assertContains(t, got, `"state":"draining"`)
	})
	t.Run("costs time, as connections do", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { s.ProbeCost, s.ConnectionCost = 3*time.Millisecond, time.Millisecond })
		f.report(t)
		if s := f.w.Stats(); s.Probes != 1 || s.ProbeTime != 3 || s.Connections != 1 || s.ConnectionTime != 1 {
			t.Errorf("stats %+v", s)
		}
	})
	t.Run("connections above the limit are closed", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { endless(s); s.Connections = 1 })
		defer f.background(t, "1")()
		if r := f.send(t.Context(), "2"); r.err == nil || f.w.Stats().RefusedConnections == 0 {
			t.Errorf("got %+v", r)
		}
	})
}

// A large download must carry the checksum of its whole body.
func TestLargeAnswer(t *testing.T) {
	f := newFixture(t, func(s *Service) { s.AnswerBytes = 1 << 20 })
	r := f.send(t.Context(), "1")
	if len(r.body) != 1<<20 || r.header.Get("X-Body-Checksum") != newBody("1", 1<<20).checksum() {
		t.Errorf("%d bytes, %v", len(r.body), r.header)
	}
}

func assertContains(t *testing.T, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Errorf("got %s, want %s", got, want)
	}
}
