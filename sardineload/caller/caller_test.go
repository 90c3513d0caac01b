package caller

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"io"
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

// fakeHost responds to each request of the class as the next step of its script says; the last step repeats.
type fakeHost struct {
	server *httptest.Server
	mu     sync.Mutex
	script []string
	// requestKeys holds the request ID or idempotency key of each request, or "-" if it has neither.
	requestKeys []string
	ids         int
}

func newFakeHost(t *testing.T, script ...string) *fakeHost {
	t.Helper()
	h := &fakeHost{script: script}
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

func (h *fakeHost) serve(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.requestKeys = append(h.requestKeys, cmp.Or(r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), "-"))
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
	case "brokenRefusal":
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		io.WriteString(nc, "HTTP/1.1 503 no\r\nX-Run: no\r\nA B: c\r\nContent-Length: 0\r\n\r\n")
		nc.Close()
	case "malformed":
		w.Header().Set("X-Run", "no")
		w.WriteHeader(400)
	default:
		w.Header().Set("X-Run", step)
		w.WriteHeader(503)
		fmt.Fprintf(w, `{"error":{"code":"x","run":"%s","retryAfter":"1ms"}}`, step)
	}
}

// callFakeHost makes a call of a kind to a fake host with a script.
func callFakeHost(t *testing.T, kind plan.Kind, script ...string) (*fakeHost, tally.Result) {
	t.Helper()
	h := newFakeHost(t, script...)
	c := New(Options{Entries: []netip.AddrPort{netip.MustParseAddrPort(h.server.Listener.Addr().String())}}, 0)
	defer c.Close()
	return h, c.Do(t.Context(), newCall(kind))
}

func newCall(kind plan.Kind) Call {
	class := plan.Class{Name: "a", Method: "POST", Path: "x", Orders: kind != plan.KindPlain}
	return Call{Class: class, Kind: kind, Number: "7", Deadline: time.Now().Add(time.Minute)}
}

// Guards against an unsafe retry, which runs an order twice, and against a wrong outcome, which hides a second run or
// reports one that did not happen.
func TestOutcomeAndRetries(t *testing.T) {
	for name, c := range map[string]struct {
		kind   plan.Kind
		script []string
		want   tally.Outcome
		seen   string
	}{
		"served":                        {plan.KindPlain, []string{"serve"}, tally.Served, "-"},
		"failed":                        {plan.KindNeither, []string{"fail"}, tally.Failed, "-"},
		"malformed":                     {plan.KindKey, []string{"malformed"}, tally.NotRun, "7"},
		"plain, connection closed":      {plan.KindPlain, []string{"close", "serve"}, tally.Served, "- -"},
		"neither, not run":              {plan.KindNeither, []string{"no", "serve"}, tally.Served, "- -"},
		"neither, connection closed":    {plan.KindNeither, []string{"close", "serve"}, tally.Unknown, "-"},
		"neither, cut answer":           {plan.KindNeither, []string{"cut", "serve"}, tally.Unknown, "-"},
		"neither, broken refusal":       {plan.KindNeither, []string{"brokenRefusal", "serve"}, tally.Unknown, "-"},
		"neither, unknown":              {plan.KindNeither, []string{"unknown", "serve"}, tally.Unknown, "-"},
		"issued, new ID after not run":  {plan.KindIssued, []string{"no", "serve"}, tally.Served, "id1 id2"},
		"issued, same ID after unknown": {plan.KindIssued, []string{"close", "unknown", "serve"}, tally.Served, "id1 id1 id1"},
		"key, same key after unknown":   {plan.KindKey, []string{"unknown", "serve"}, tally.Served, "7 7"},
		"key, not run after unknown":    {plan.KindKey, []string{"unknown", "no"}, tally.Unknown, "7 7 7 7 7"},
		"always refused":                {plan.KindNeither, []string{"no"}, tally.NotRun, "- - - - -"},
	} {
		t.Run(name, func(t *testing.T) {
			h, r := callFakeHost(t, c.kind, c.script...)
			h.mu.Lock()
			defer h.mu.Unlock()
			if seen := strings.Join(h.requestKeys, " "); r.Outcome != c.want || r.Wrong || seen != c.seen {
				t.Errorf("result %+v, seen %s; want %d, %s", r, seen, c.want, c.seen)
			}
		})
	}
}

// Guards against counting a response that belongs to another request as served.
func TestWrongResponse(t *testing.T) {
	if _, r := callFakeHost(t, plan.KindNeither, "wrong"); !r.Wrong || r.Outcome == tally.Served {
		t.Errorf("result %+v", r)
	}
}

// Guards against a client that stays with an entry that refuses connections. An order without request ID or idempotency
// key can be retried at another address, because it did not run.
func TestEntryRefusesConnections(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	live := newFakeHost(t, "serve")
	c := New(Options{Entries: []netip.AddrPort{
		netip.MustParseAddrPort(dead.Listener.Addr().String()),
		netip.MustParseAddrPort(live.server.Listener.Addr().String()),
	}}, 0)
	defer c.Close()
	if r := c.Do(t.Context(), newCall(plan.KindNeither)); r.Outcome != tally.Served {
		t.Errorf("result %+v", r)
	}
}

// Guards against sending load to other machines by accident.
func TestLoopbackOnly(t *testing.T) {
	c := New(Options{Entries: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")}}, 0)
	defer c.Close()
	if _, _, err := c.fetchAddresses("a", "192.0.2.1:80"); err == nil || !strings.Contains(err.Error(), "not a loopback") {
		t.Errorf("got error %v, want a LoopbackError", err)
	}
}
