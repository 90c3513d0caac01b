package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/pool"
)

// dialect is the plainest one: one header for each meaning.
type dialect struct{}

func (dialect) ParseCall(h http.Header) (string, time.Duration, bool) {
	left, _ := time.ParseDuration(h.Get("Left"))
	return h.Get("Id"), left, h.Get("Id") != ""
}

func (dialect) SetAttemptHeaders(h http.Header, left time.Duration, upstream string) {
	h.Set("Left", left.String())
	h.Set("Upstream", upstream)
}

func (dialect) ParseResponse(_ int, h http.Header) fleet.ResponseInfo {
	return fleet.ResponseInfo{RequestID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
}

func (dialect) ParseLoad(http.Header) (fleet.Report, bool) { return fleet.Report{}, false }

// grants grants a, b, c ... in turn.
type grants struct {
	mu    sync.Mutex
	asked []grant.AttemptRequest
	ended []grant.AttemptEnd
	none  bool
	hedge bool
}

func (g *grants) Ask(_ context.Context, a grant.AttemptRequest, seconds chan<- broker.Grant) broker.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = append(g.asked, a)
	if g.none || a.Hedge {
		return broker.Grant{By: "owner", Selection: grant.Selection{
			Reason: grant.NoRoom, RetryAfter: 120 * time.Millisecond, UpstreamCounts: &grant.UpstreamCounts{Listed: 3, Out: 1, Full: 2, Waiting: 7},
		}}
	}
	if g.hedge && seconds != nil {
		seconds <- broker.Grant{Selection: grant.Selection{Upstream: "z"}}
		time.AfterFunc(10*time.Millisecond, func() { seconds <- broker.Grant{Selection: grant.Selection{Upstream: "c"}} })
	}
	return broker.Grant{Selection: grant.Selection{Upstream: string(rune('a' + len(a.Tried)))}}
}

func (g *grants) Finish(_ broker.Grant, d grant.AttemptEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = append(g.ended, d)
}

// sender answers by the upstream's address.
type sender struct {
	mu      sync.Mutex
	answers map[string]func(ctx context.Context, r *pool.Request) (*pool.Response, error)
	sent    []*pool.Request
}

func (s *sender) Do(ctx context.Context, r *pool.Request) (*pool.Response, error) {
	s.mu.Lock()
	s.sent = append(s.sent, r)
	s.mu.Unlock()
	return s.answers[r.Address](ctx, r)
}

type record struct{}

func (record) Request(string, string, time.Duration) {}
func (record) Attempt(string, string, time.Duration) {}

type answer = func(ctx context.Context, r *pool.Request) (*pool.Response, error)

func respond(status int, headers ...string) answer {
	return func(_ context.Context, r *pool.Request) (*pool.Response, error) {
		h := http.Header{"Id": r.Header["Id"]}
		for _, name := range headers {
			h.Set(name, "1")
		}
		return &pool.Response{Status: status, Header: h, Body: []byte("body"), ContentLength: 4}, nil
	}
}

func fail(err error) answer {
	return func(context.Context, *pool.Request) (*pool.Response, error) { return nil, err }
}

func hang(ctx context.Context, _ *pool.Request) (*pool.Response, error) {
	<-ctx.Done()
	return nil, &pool.ExchangeError{Err: ctx.Err()}
}

type fixture struct {
	*Handler
	grants *grants
	sender *sender
}

func newFixture(t *testing.T, answers map[string]answer) *fixture {
	t.Helper()
	var routes []route.Route
	for prefix, kind := range map[string]route.Kind{"/once/": route.Once, "/safe/": route.Repeatable} {
		routes = append(routes, route.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Target: 50 * time.Millisecond,
			Timeout: 100 * time.Millisecond, MaxAttempts: 2, Split: []route.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	table, err := route.New(1, route.Limits{BodyBytes: 1 << 20, HeaderBytes: 4000}, []route.Service{{Name: "s"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	var upstreams []fleet.Upstream
	for _, id := range []string{"a", "b", "c", "z"} {
		upstreams = append(upstreams, fleet.Upstream{ID: id, Service: "s", Address: id, Slots: 1})
	}
	view := (&fleet.View{Routes: table}).WithUpstreams(upstreams)
	f := &fixture{grants: &grants{}, sender: &sender{answers: answers}}
	f.Handler = New(Deps{
		Grants: f.grants, Sender: f.sender, Dialect: dialect{}, View: func() *fleet.View { return view },
		Record: record{}, Log: slog.New(slog.DiscardHandler),
	})
	return f
}

func (f *fixture) request(path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Host = "a.example"
	r.Header.Set("Id", "1")
	r.Header.Set("Left", "1s")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// assertGrantsEnd waits until each granted attempt was reported as ended, once.
func (f *fixture) assertGrantsEnd(t *testing.T, n int) {
	t.Helper()
	ended := -1
	for range 200 {
		f.grants.mu.Lock()
		ended = len(f.grants.ended)
		f.grants.mu.Unlock()
		if ended == n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d grants ended, %d were used", ended, n)
}

var (
	served  = respond(200, "Signed")
	shed    = respond(503, "Not-Run")
	lost    = fail(&pool.ExchangeError{Err: io.ErrUnexpectedEOF})
	refused = fail(&pool.ConnectError{Err: io.EOF})
)

// Guards against orders sent twice, untrue "not run", and repeatable requests given up early.
func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		a, b   answer
		status int
		sent   int
	}{
		"served":                        {"/once/x", served, nil, 200, 1},
		"order shed, then served":       {"/once/x", shed, served, 200, 2},
		"order unreached, then served":  {"/once/x", refused, served, 200, 2},
		"order lost":                    {"/once/x", lost, served, 502, 1},
		"order failed":                  {"/once/x", respond(500, "Signed"), served, 500, 1},
		"order answered 503 and ran":    {"/once/x", respond(503, "Signed"), served, 502, 1},
		"order without receipt":         {"/once/x", respond(200), served, 502, 1},
		"order shed twice":              {"/once/x", shed, shed, 503, 2},
		"order shed, then lost":         {"/once/x", shed, lost, 502, 2},
		"order hangs":                   {"/once/x", hang, nil, 504, 1},
		"query lost, then served":       {"/safe/x", lost, served, 200, 2},
		"query failed, then served":     {"/safe/x", respond(500, "Signed"), served, 200, 2},
		"query failed twice":            {"/safe/x", respond(500, "Signed"), respond(500, "Signed"), 500, 2},
		"query without receipt, served": {"/safe/x", respond(200), served, 200, 2},
		"query lost twice":              {"/safe/x", lost, lost, 502, 2},
		"query not found at upstream":   {"/safe/x", respond(404, "Signed"), served, 404, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, map[string]answer{"a": c.a, "b": c.b})
			w := f.request(c.path, "")
			if w.Code != c.status || len(f.sender.sent) != c.sent {
				t.Fatalf("got status %d after %d sends, want %d after %d", w.Code, len(f.sender.sent), c.status, c.sent)
			}
			if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
			f.assertGrantsEnd(t, c.sent)
		})
	}
}

// Guards against a second attempt that is offered and not used, or used for an order.
func TestOfferedSecondAttempt(t *testing.T) {
	f := newFixture(t, map[string]answer{"a": hang, "z": served})
	f.grants.hedge = true
	if w := f.request("/safe/x", ""); w.Code != 200 {
		t.Fatalf("got %d", w.Code)
	}
	f = newFixture(t, map[string]answer{"a": hang, "z": served})
	f.grants.hedge = true
	if w := f.request("/once/x", ""); w.Code != http.StatusGatewayTimeout || len(f.sender.sent) != 1 {
		t.Fatalf("got %d after %d sends", w.Code, len(f.sender.sent))
	}
}

// Guards against a body that is sent in parts to two upstreams, and against offers that are kept although they cannot be used.
func TestLongBodyIsSentOnce(t *testing.T) {
	f := newFixture(t, map[string]answer{"a": hang, "b": hang, "z": hang})
	if w := f.request("/safe/x", strings.Repeat("x", maxBuffered+1)); w.Code != http.StatusGatewayTimeout || len(f.sender.sent) != 1 {
		t.Fatalf("got %d after %d sends", w.Code, len(f.sender.sent))
	}
	for _, a := range f.grants.asked[1:] {
		t.Errorf("asked again with %+v", a)
	}
	f = newFixture(t, map[string]answer{"a": hang, "z": hang})
	f.grants.hedge = true
	f.request("/safe/x", "")
	f.assertGrantsEnd(t, 3) // two attempts and the offer that came after them
}

// Guards against holding a request that has no room, and against answers of the wrong kind before any attempt.
func TestRefusedBeforeAnyAttempt(t *testing.T) {
	f := newFixture(t, nil)
	f.grants.none = true
	if w := f.request("/once/x", ""); w.Code != 503 || w.Header().Get("Retry-After") != "0.120" {
		t.Fatalf("got %d, %v", w.Code, w.Header())
	}
	f = newFixture(t, nil)
	for name, c := range map[string]struct {
		path, body string
		header     []string
		status     int
	}{
		"no route":     {"/none/x", "", nil, 404},
		"no id":        {"/once/x", "", []string{"Id", ""}, 400},
		"long body":    {"/once/x", strings.Repeat("x", 1<<20+1), nil, 413},
		"long headers": {"/once/x", "", []string{"X", strings.Repeat("x", 4001)}, 431},
	} {
		t.Run(name, func(t *testing.T) {
			if w := f.request(c.path, c.body, c.header...); w.Code != c.status {
				t.Fatalf("got %d, want %d", w.Code, c.status)
			}
		})
	}
	view := &fleet.View{}
	f.deps.View = func() *fleet.View { return view }
	if w := f.request("/once/x", ""); w.Code != 503 {
		t.Fatalf("got %d without a configuration", w.Code)
	}
}

// Guards against log lines of failed requests that are left out before those of others, or do not tell the cause.
func TestFailedRequestsAreWarnings(t *testing.T) {
	slow := func(ctx context.Context, r *pool.Request) (*pool.Response, error) {
		time.Sleep(60 * time.Millisecond) // the target is 50 ms
		return served(ctx, r)
	}
	for name, c := range map[string]struct {
		a     answer
		none  bool
		words []string
	}{
		"served":  {served, false, []string{`"level":"INFO"`, `"status":200`, "result=answered"}},
		"late":    {slow, false, []string{`"level":"WARN"`, `"status":200`, `"targetMs":50`, "expectedMs=", "ageMs=", "result=answered"}},
		"refused": {nil, true, []string{`"level":"WARN"`, `"status":503`, `"outcome":"noRoom"`, `"decidedBy":"owner"`, `"retryAfterMs":120`, "listed=3 out=1 tried=0 cold=0 dead=0 full=2 waiting=7"}},
		"unknown": {lost, false, []string{`"level":"WARN"`, `"status":502`, `"outcome":"no complete response"`, "result=unknown", "error="}},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			f := newFixture(t, map[string]answer{"a": c.a})
			f.grants.none = c.none
			f.deps.Log = slog.New(slog.NewJSONHandler(&out, nil))
			f.request("/once/x", "")
			for _, word := range append(c.words, `"msg":"request"`, `"id":"1"`, `"configuration":1`) {
				if !strings.Contains(out.String(), word) {
					t.Errorf("no %s in %s", word, out.String())
				}
			}
		})
	}
}

// Guards against headers that are lost, invented, or passed on although they concern one connection only.
func TestHeaders(t *testing.T) {
	f := newFixture(t, map[string]answer{"a": func(_ context.Context, r *pool.Request) (*pool.Response, error) {
		h := r.Header.Clone()
		h.Set("Signed", "1")
		h.Set("Keep-Alive", "timeout=5")
		return &pool.Response{Status: 200, Header: h, ContentLength: 0}, nil
	}})
	w := f.request("/once/x?q=%2F", "abc", "X-Kept", "1", "Connection", "X-Gone", "X-Gone", "1")
	h := w.Header()
	if h.Get("X-Kept") != "1" || h.Get("X-Gone") != "" || h.Get("Keep-Alive") != "" || h.Get("Upstream") != "a" {
		t.Fatalf("got %v", h)
	}
	if left, err := time.ParseDuration(h.Get("Left")); err != nil || left > 100*time.Millisecond {
		t.Fatalf("the upstream is given %v, more than the route's time", left)
	}
	if r := f.sender.sent[0]; r.RequestURI != "/once/x?q=%2F" || string(r.Body) != "abc" {
		t.Fatalf("sent %s %q", r.RequestURI, r.Body)
	}
}

// Guards against work that goes on after the caller has left.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(t, map[string]answer{"a": hang})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	defer func() {
		if v := recover(); v != http.ErrAbortHandler { //nolint:errorlint // the value itself
			t.Fatalf("got %v", v)
		}
	}()
	r := httptest.NewRequest(http.MethodGet, "/once/x", nil).WithContext(ctx)
	r.Host = "a.example"
	r.Header.Set("Id", "1")
	f.ServeHTTP(httptest.NewRecorder(), r)
}
