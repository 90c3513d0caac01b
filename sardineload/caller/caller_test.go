package caller

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sardinecross.example/sardineload/plan"
	"sardinecross.example/sardineload/tally"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host answers requests of the class with one step of its script each; the last step repeats.
type host struct {
	server *httptest.Server
	mu     sync.Mutex
	script []string
	// seen holds the ID or key of each request, "-" for neither.
	seen []string
	ids  int
}

func newHost(t *testing.T, script ...string) *host {
	t.Helper()
	h := &host{script: script}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"hosts":[{"address":"%s","dataCentre":"p"}],"validFor":"1h"}`, r.Host)
	})
	m.HandleFunc("POST /v1/ids", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ids++
		fmt.Fprintf(w, `{"id":"id%d","validFor":"60s"}`, h.ids)
	})
	m.HandleFunc("/v1/classes/", h.serve)
	h.server = httptest.NewServer(m)
	t.Cleanup(h.server.Close)
	return h
}

func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.seen = append(h.seen, cmp.Or(r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), "-"))
	step := h.script[0]
	if len(h.script) > 1 {
		h.script = h.script[1:]
	}
	h.mu.Unlock()
	body := "number=" + r.URL.Query().Get("number") + "\n"
	switch step {
	case "serve", "wrong":
		w.Header().Set("X-Run", "yes")
		w.Header().Set("X-Body-Checksum", fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))))
		if step == "wrong" {
			body = "number=8\n"
		}
		w.Write([]byte(body))
	case "fail":
		w.Header().Set("X-Run", "yes")
		w.WriteHeader(500)
	case "cut":
		w.Header().Set("X-Run", "yes")
		w.Header().Set("Content-Length", "100")
		w.Write([]byte(body))
		panic(http.ErrAbortHandler)
	case "close":
		panic(http.ErrAbortHandler)
	case "malformed":
		w.Header().Set("X-Run", "no")
		w.WriteHeader(400)
	default:
		w.Header().Set("X-Run", step)
		w.WriteHeader(503)
		fmt.Fprintf(w, `{"error":{"code":"x","run":"%s","retryAfter":"1ms"}}`, step)
	}
}

func do(t *testing.T, kind plan.Kind, script ...string) (*host, tally.Result) {
	t.Helper()
	h := newHost(t, script...)
	c := New(Options{Entries: []netip.AddrPort{netip.MustParseAddrPort(h.server.Listener.Addr().String())}}, 0)
	defer c.Close()
	return h, c.Do(t.Context(), call(kind))
}

func call(kind plan.Kind) Call {
	class := plan.Class{Name: "a", Method: "POST", Path: "x", Orders: kind != plan.KindPlain}
	return Call{Class: class, Kind: kind, Number: "7", Deadline: time.Now().Add(time.Minute)}
}

// A repetition of an order that is not safe doubles it, and a wrong outcome hides that or reports it falsely.
func TestDo(t *testing.T) {
	for name, c := range map[string]struct {
		kind   plan.Kind
		script []string
		want   tally.Outcome
		seen   string
	}{
		"served":                           {plan.KindPlain, []string{"serve"}, tally.Served, "-"},
		"failed":                           {plan.KindNeither, []string{"fail"}, tally.Failed, "-"},
		"malformed":                        {plan.KindKey, []string{"malformed"}, tally.NotRun, "7"},
		"plain, connection closed":         {plan.KindPlain, []string{"close", "serve"}, tally.Served, "- -"},
		"neither, not run":                 {plan.KindNeither, []string{"no", "serve"}, tally.Served, "- -"},
		"neither, connection closed":       {plan.KindNeither, []string{"close", "serve"}, tally.Unknown, "-"},
		"neither, cut answer":              {plan.KindNeither, []string{"cut", "serve"}, tally.Unknown, "-"},
		"neither, unknown":                 {plan.KindNeither, []string{"unknown", "serve"}, tally.Unknown, "-"},
		"issued, not run takes another ID": {plan.KindIssued, []string{"no", "serve"}, tally.Served, "id1 id2"},
		"issued, unknown keeps the ID":     {plan.KindIssued, []string{"close", "unknown", "serve"}, tally.Served, "id1 id1 id1"},
		"key, unknown keeps the key":       {plan.KindKey, []string{"unknown", "serve"}, tally.Served, "7 7"},
		"key, not run after unknown":       {plan.KindKey, []string{"unknown", "no"}, tally.Unknown, "7 7 7 7 7"},
		"always refused":                   {plan.KindNeither, []string{"no"}, tally.NotRun, "- - - - -"},
	} {
		t.Run(name, func(t *testing.T) {
			h, r := do(t, c.kind, c.script...)
			h.mu.Lock()
			defer h.mu.Unlock()
			if seen := strings.Join(h.seen, " "); r.Outcome != c.want || r.Wrong || seen != c.seen {
				t.Errorf("result %+v, seen %s; want %d, %s", r, seen, c.want, c.seen)
			}
		})
	}
}

func TestWrongAnswer(t *testing.T) {
	if _, r := do(t, plan.KindNeither, "wrong"); !r.Wrong || r.Outcome == tally.Served {
		t.Errorf("result %+v", r)
	}
}

// An order without ID or key must move on from an address that refuses connections.
func TestDeadEntry(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	live := newHost(t, "serve")
	c := New(Options{Entries: []netip.AddrPort{
		netip.MustParseAddrPort(dead.Listener.Addr().String()),
		netip.MustParseAddrPort(live.server.Listener.Addr().String()),
	}}, 0)
	defer c.Close()
	if r := c.Do(t.Context(), call(plan.KindNeither)); r.Outcome != tally.Served {
		t.Errorf("result %+v", r)
	}
}

// The tool must not send to other machines by accident.
func TestLoopbackOnly(t *testing.T) {
	c := New(Options{Entries: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")}}, 0)
	defer c.Close()
	if _, _, err := c.ask("a", "192.0.2.1:80"); err == nil || !strings.Contains(err.Error(), "not a loopback") {
		t.Errorf("got %v", err)
	}
}
