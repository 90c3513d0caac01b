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

// fixture is a fleet of one warm worker with 2 slots and no service time.
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
		Workers:  []Placement{{ID: "w", Service: "s", DataCentre: "passau", Address: netip.MustParseAddrPort("127.0.0.1:0")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 10}
	t.Cleanup(func() { tr.CloseIdleConnections(); f.Close() })
	return fixture{f, f.workers[0], &http.Client{Transport: tr}}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request; headers are pairs of name and value.
func (f fixture) send(ctx context.Context, number string, headers ...string) response {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.w.placement.Address.String()+"/x",
		strings.NewReader("number="+number+"\nrest"))
	req.Header.Set("X-Request-Nonce", "nonce-"+number)
	req.Header.Set("X-Order-Number", number)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

// startInBackground sends a request that runs until it is cancelled, and returns after it has started.
func (f fixture) startInBackground(t *testing.T, number string) (cancel func()) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.send(ctx, number)
	}()
	waitFor(t, func() bool { return f.Orders()[number].Started == 1 })
	return func() { stop(); <-done }
}

func (f fixture) control(t *testing.T, body string, status int) {
	t.Helper()
	resp, err := f.client.Post("http://"+f.Fleet.controlServer.Addr().String()+"/control", "", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != status {
		t.Fatalf("control %s: status %d, want %d", body, resp.StatusCode, status)
	}
}

func (f fixture) loadReport(t *testing.T) string {
	t.Helper()
	resp, err := f.client.Get("http://" + f.w.placement.Address.String() + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func (f fixture) assertOrder(t *testing.T, number string, run, completed int) {
	t.Helper()
	if e := f.Orders()[number]; e != (OrderRuns{run, completed}) {
		t.Errorf("order %s: %+v, want started %d, completed %d", number, e, run, completed)
	}
}

func assertServed(t *testing.T, r response, number string) {
	t.Helper()
	if r.status != 200 || r.err != nil || !strings.HasPrefix(r.body, "number="+number+"\n") || len(r.body) != 100 {
		t.Fatalf("got %+v, want the response to request %s", r, number)
	}
	if r.header.Get("X-Body-Checksum") != newResponseBody(number, 100).checksum() {
		t.Errorf("wrong checksum")
	}
}

func assertNotRun(t *testing.T, r response) {
	t.Helper()
	if r.status != 503 || r.header.Get("X-Not-Run") != "true" {
		t.Fatalf("got %+v, want not run", r)
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 30 s")
		}
	}
}

// neverCompletes sets a service time that no test waits for.
func neverCompletes(s *Service) { s.ServiceTime = ServiceTime{Median: time.Hour, P99: time.Hour} }

// Guards against faults that don't do what the comments of Faults say. Checks the response under each fault, and whether
// the worker counts the order as started and completed.
func TestFaultsChangeResponseAndCounts(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		f := newFixture(t, nil)
		r := f.send(t.Context(), "1")
		assertServed(t, r, "1")
		if r.header.Get("X-Request-Nonce") != "nonce-1" || r.header.Get("X-Upstream-Incarnation") != f.w.Stats().Incarnation {
			t.Errorf("got header %v", r.header)
		}
		f.assertOrder(t, "1", 1, 1)
	})
	t.Run("fail fast", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"worker": "w", "faults": {"failFast": {"probability": 1}}}`, 204)
		if r := f.send(t.Context(), "1"); r.status != 500 {
			t.Errorf("got %+v, want status 500", r)
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
			t.Errorf("got %+v, want status 200 and 50 bytes of a longer body", r)
		}
		f.assertOrder(t, "1", 1, 1)
	})
	t.Run("run then close", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"faults": {"runThenClose": {"next": 1}}}`, 204)
		if r := f.send(t.Context(), "1"); r.err == nil {
			t.Errorf("got %+v, want no response", r)
		}
		f.assertOrder(t, "1", 1, 1)
	})
	t.Run("late, past the deadline", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"faults": {"late": {"next": 1}, "lateBy": "30ms"}}`, 204)
		start := time.Now()
		assertServed(t, f.send(t.Context(), "1", "X-Request-Timeout", "20"), "1")
		if time.Since(start) < 30*time.Millisecond {
			t.Error("response sent before lateBy had passed")
		}
	})
	t.Run("straggle", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { s.ServiceTime = ServiceTime{time.Millisecond, time.Millisecond} })
		f.control(t, `{"faults": {"straggle": 1000000}}`, 204)
		if r := f.send(t.Context(), "1", "X-Request-Timeout", "20"); r.status != 504 {
			t.Errorf("got %+v, want status 504", r)
		}
		f.assertOrder(t, "1", 1, 0)
	})
	t.Run("down and back as a cold incarnation", func(t *testing.T) {
		f := newFixture(t, nil)
		before := f.w.Stats().Incarnation
		f.control(t, `{"faults": {"down": true}}`, 204)
		if r := f.send(t.Context(), "1"); r.err == nil {
			t.Errorf("got %+v from a worker that is down", r)
		}
		f.control(t, `{"faults": {"down": false}}`, 204)
		assertServed(t, f.send(t.Context(), "2"), "2")
		if s := f.w.Stats(); s.Incarnation == before || s.State != "cold" || s.EffectiveSlots != 1 {
			t.Errorf("got stats %+v, want a new, cold incarnation with 1 effective slot", s)
		}
	})
	t.Run("invalid control request", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"worker": "x"}`, 404)
		f.control(t, `{"faults": {"drian": true}}`, 400)
	})
}

// Guards against work for a caller that no longer waits: a request past its deadline or timeout must not start, and one
// whose client disconnects must not complete.
func TestRequestPastDeadlineDoesNotRun(t *testing.T) {
	stamp := func(d time.Duration) string { return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10) }
	t.Run("past", func(t *testing.T) {
		f := newFixture(t, nil)
		assertNotRun(t, f.send(t.Context(), "1", "X-Request-Deadline", stamp(-time.Second)))
		f.assertOrder(t, "1", 0, 0)
	})
	t.Run("past by less than the clock tolerance", func(t *testing.T) {
		f := newFixture(t, nil)
		// The start is still allowed for the whole of clockTolerance, which is enough for a busy machine.
		q := &request{ctx: t.Context(), latestStart: time.Now().Add(clockTolerance)}
		if _, ok := f.w.beginRun(q); !ok {
			t.Error("a request within the clock tolerance does not start")
		}
	})
	t.Run("timeout while waiting for a slot", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { neverCompletes(s); s.Queue = 1 })
		defer f.startInBackground(t, "1")()
		defer f.startInBackground(t, "2")()
		assertNotRun(t, f.send(t.Context(), "3", "X-Request-Timeout", "10"))
		f.assertOrder(t, "3", 0, 0)
	})
	t.Run("client disconnects", func(t *testing.T) {
		f := newFixture(t, neverCompletes)
		f.startInBackground(t, "1")()
		waitFor(t, func() bool { return f.w.Stats().InFlight == 0 })
		f.assertOrder(t, "1", 1, 0)
	})
}

// Guards against a count that is too low, which would hide hosts that exceed the slots of an upstream.
func TestExcessOverSlotsIsCounted(t *testing.T) {
	f := newFixture(t, func(s *Service) { neverCompletes(s); s.Queue = 0 })
	defer f.startInBackground(t, "1")()
	defer f.startInBackground(t, "2")()
	assertNotRun(t, f.send(t.Context(), "3"))
	waitFor(t, func() bool { return f.w.Stats().OverSlots == 1 })
	if s := f.w.Stats(); s.GreatestInFlight != 3 || s.OverEffectiveSlots != 1 || s.Shed != 1 {
		t.Errorf("got stats %+v, want 3 in flight, 1 over the effective slots and 1 shed", s)
	}
}

// Guards against blaming a host for a request that it gave up before it sent the next one: the worker may notice the
// disconnect only after the next arrival, and must then not count the request as in excess.
func TestDisconnectedRequestIsNotExcess(t *testing.T) {
	w := newFixture(t, nil).w
	w.recordOverSlots(2, w.disconnects-2)
	if s := w.Stats(); s.OverSlots != 0 {
		t.Errorf("got stats %+v, want no excess after two disconnects", s)
	}
	w.recordOverSlots(2, w.disconnects-1)
	if s := w.Stats(); s.OverSlots != 1 {
		t.Errorf("got stats %+v, want an excess of 1 after one disconnect", s)
	}
}

// Guards against a stand-in that is too lenient: a cold worker must need completed work to warm up, and must collapse
// when a host exceeds its effective slots.
func TestColdWorkerWarmsUpAndCollapses(t *testing.T) {
	t.Run("warms up by completed work", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { s.Warm = false })
		for i, want := range []int{1, 2, 2} {
			f.send(t.Context(), strconv.Itoa(i))
			if s := f.w.Stats(); s.EffectiveSlots != want {
				t.Fatalf("after %d requests: %d effective slots, want %d", i+1, s.EffectiveSlots, want)
			}
		}
	})
	t.Run("collapses and sheds", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { neverCompletes(s); s.Warm = false; s.Queue = 10 })
		defer f.startInBackground(t, "1")()
		for i := range collapseAfter - 1 {
			f.send(t.Context(), "2"+strconv.Itoa(i), "X-Request-Timeout", "5")
		}
		assertNotRun(t, f.send(t.Context(), "3", "X-Request-Timeout", "5"))
		if s := f.w.Stats(); s.Collapses != 1 || s.GreatestInFlightCold < 2 || s.OverEffectiveSlots < 1 {
			t.Errorf("got stats %+v, want 1 collapse", s)
		}
	})
	t.Run("by control, without a new incarnation", func(t *testing.T) {
		f := newFixture(t, nil)
		before := f.w.Stats().Incarnation
		f.control(t, `{"service": "s", "cold": true}`, 204)
		if s := f.w.Stats(); s.EffectiveSlots != 1 || s.Incarnation != before {
			t.Errorf("got stats %+v, want 1 effective slot in the same incarnation", s)
		}
	})
}

// Guards against load reports and connections that are cheaper, fresher or more truthful than the settings say, which
// would hide faults of the hosts that rely on them.
func TestLoadReportAndProbeCost(t *testing.T) {
	t.Run("lags", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { neverCompletes(s); s.ReportLag = time.Hour })
		defer f.startInBackground(t, "1")()
		assertContains(t, f.loadReport(t), `"inFlight":0`)
	})
	t.Run("has the bias and the misreported state", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { neverCompletes(s); s.ReportBias = 5 })
		defer f.startInBackground(t, "1")()
		f.control(t, `{"faults": {"misreport": "draining"}}`, 204)
		got := f.loadReport(t)
		assertContains(t, got, `"inFlight":6`)
		assertContains(t, got, `"state":"draining"`)
	})
	t.Run("occupies the worker, as connections do", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { s.ProbeCost, s.ConnectionCost = 3*time.Millisecond, time.Millisecond })
		f.loadReport(t)
		if s := f.w.Stats(); s.Probes != 1 || s.ProbeTime != 3 || s.Connections != 1 || s.ConnectionTime != 1 {
			t.Errorf("stats %+v", s)
		}
	})
	t.Run("connections above the limit are closed", func(t *testing.T) {
		f := newFixture(t, func(s *Service) { neverCompletes(s); s.Connections = 1 })
		defer f.startInBackground(t, "1")()
		if r := f.send(t.Context(), "2"); r.err == nil || f.w.Stats().RefusedConnections == 0 {
			t.Errorf("got %+v on a connection above the limit", r)
		}
	})
}

// Guards against a checksum of only a part of the body: a response of several buffers must carry that of its whole body.
func TestLargeResponseChecksum(t *testing.T) {
	f := newFixture(t, func(s *Service) { s.AnswerBytes = 1 << 20 })
	r := f.send(t.Context(), "1")
	if len(r.body) != 1<<20 || r.header.Get("X-Body-Checksum") != newResponseBody("1", 1<<20).checksum() {
		t.Errorf("%d bytes, %v", len(r.body), r.header)
	}
}

func assertContains(t *testing.T, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Errorf("got %s, want %s", got, want)
	}
}
