package record

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sardinecross.example/lib/applog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is a clock that only moves by advance.
type clock struct{ ns atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(1000, c.ns.Load()) }
func (c *clock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// fixture is a running log with a client and a clock that the test advances.
type fixture struct {
	*Log
	clock  *clock
	client *applog.Client
}

func newFixture(t *testing.T, change func(*Settings)) fixture {
	t.Helper()
	var cfg Settings
	cfg.SetDefaults()
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Control = cfg.Listen
	if change != nil {
		change(&cfg)
	}
	c := &clock{}
	l, err := start(cfg, c.now)
	if err != nil {
		t.Fatal(err)
	}
	client := applog.New(l.servers.Data.Addr().String())
	t.Cleanup(func() { client.Close(); l.Close() })
	return fixture{l, c, client}
}

func (f fixture) control(t *testing.T, body string, status int) {
	t.Helper()
	resp, err := http.Post("http://"+f.Log.servers.Control.Addr().String()+"/control", "", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if resp.StatusCode != status {
		t.Fatalf("control %s: status %d, want %d", body, resp.StatusCode, status)
	}
}

func (f fixture) assertAppend(t *testing.T, want int64) {
	t.Helper()
	if n, err := f.client.Append(t.Context(), "s", []byte("x")); err != nil || n != want {
		t.Fatalf("append: offset %d, %v; want %d", n, err, want)
	}
}

func (f fixture) assertRange(t *testing.T, from, first, next int64, records int) {
	t.Helper()
	b, err := f.client.Read(t.Context(), "s", from, 10)
	if err != nil || b.First != first || b.Next != next || len(b.Records) != records {
		t.Fatalf("read %+v, %v; want first %d, next %d, %d records", b, err, first, next, records)
	}
}

func assertNotApplied(t *testing.T, err error) {
	t.Helper()
	var na *applog.NotAppliedError
	if !errors.As(err, &na) {
		t.Fatalf("got error %v, want NotAppliedError", err)
	}
}

func assertUnknownOutcome(t *testing.T, err error) {
	t.Helper()
	var un *applog.UnknownOutcomeError
	if !errors.As(err, &un) {
		t.Fatalf("got error %v, want UnknownOutcomeError", err)
	}
}

// Guards against a stand-in that hides faults of its clients: records past the retention must disappear, appends above
// the rate must be rejected, and each fault must leave the append applied or not as the comments of Faults say.
func TestRetentionRateAndFaults(t *testing.T) {
	t.Run("retention by count and age", func(t *testing.T) {
		f := newFixture(t, func(s *Settings) { s.Retention = Retention{Age: time.Minute, Records: 2} })
		f.assertRange(t, 0, 0, 0, 0)
		for i := range int64(3) {
			f.assertAppend(t, i)
		}
		f.assertRange(t, 0, 1, 3, 2)
		f.assertRange(t, 2, 1, 3, 1)
		f.clock.advance(time.Minute + 1)
		f.assertRange(t, 0, 3, 3, 0)
		f.assertAppend(t, 3)
	})
	t.Run("append rate", func(t *testing.T) {
		f := newFixture(t, func(s *Settings) { s.Burst, s.AppendsPerSecond = 1, 10 })
		f.assertAppend(t, 0)
		_, err := f.client.Append(t.Context(), "s", nil)
		assertNotApplied(t, err)
		f.clock.advance(100 * time.Millisecond)
		f.assertAppend(t, 1)
	})
	t.Run("down", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"down": true}`, 204)
		_, err := f.client.Append(t.Context(), "s", nil)
		assertNotApplied(t, err)
		f.control(t, `{"down": false}`, 204)
		f.assertAppend(t, 0)
	})
	t.Run("lost response", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"loseAnswers": {"next": 1}}`, 204)
		_, err := f.client.Append(t.Context(), "s", nil)
		assertUnknownOutcome(t, err)
		f.assertRange(t, 0, 0, 1, 1)
		f.assertAppend(t, 1)
	})
	t.Run("slow append is applied after its client disconnected", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"slow": "10m"}`, 204)
		impatient := applog.New(f.servers.Data.Addr().String())
		ended := make(chan error, 1)
		go func() {
			_, err := impatient.Append(t.Context(), "s", nil)
			ended <- err
		}()
		waitFor(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.delayed == 1 })
		impatient.Close()
		assertUnknownOutcome(t, <-ended)
		f.control(t, `{"slow": "0s"}`, 204)
		waitFor(t, func() bool { return f.Stats().Appends == 1 })
	})
	t.Run("silent", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"silent": true}`, 204)
		ended := make(chan error, 1)
		go func() {
			_, err := f.client.Append(t.Context(), "s", nil)
			ended <- err
		}()
		waitFor(t, func() bool { return f.Stats().Silenced == 1 })
		f.control(t, `{"silent": false}`, 204)
		assertUnknownOutcome(t, <-ended)
		f.assertRange(t, 0, 0, 0, 0)
	})
	t.Run("invalid control request", func(t *testing.T) {
		f := newFixture(t, nil)
		f.control(t, `{"slow": 5}`, 400)
		f.control(t, `{"dawn": true}`, 400)
	})
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 30 s")
		}
	}
}
