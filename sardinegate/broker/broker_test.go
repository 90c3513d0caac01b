package broker

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
)

type fakeCodec struct{}

func (fakeCodec) ParseCall(http.Header) (string, time.Duration, bool)  { return "", 0, false }
func (fakeCodec) ClientKey(http.Header) (string, bool)                 { return "", false }
func (fakeCodec) SetOrganisation(http.Header, string)                  {}
func (fakeCodec) SetAttemptHeaders(http.Header, time.Duration, string) {}
func (fakeCodec) ParseResponse(int, http.Header) fleet.ResponseInfo    { return fleet.ResponseInfo{} }
func (fakeCodec) ParseLoad(http.Header) (fleet.Report, bool) {
	return fleet.Report{Slots: 4, SlowdownPercent: 100}, true
}

type host struct {
	*Broker
	node *mesh.Node
	view *fleet.View
}

// startHosts starts brokers that know each other and one upstream, u, of the service s. It returns them by host name.
func startHosts(t *testing.T, names ...string) map[string]*host {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := uint16(c.LocalAddr().(*net.UDPAddr).Port)
	_ = c.Close()
	routes, err := route.New(1, route.Limits{}, []route.Service{{Name: "s"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	view := (&fleet.View{Routes: routes}).WithUpstreams([]fleet.Upstream{{ID: "u", Service: "s", Slots: 8, Address: "127.0.0.1:1"}})
	log := slog.New(slog.DiscardHandler)
	all := map[string]*host{}
	for i, name := range names {
		ip := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
		node, err := mesh.Listen(mesh.Self{Host: name, Listen: netip.AddrPortFrom(ip, port), Boot: 1}, log)
		if err != nil {
			t.Fatal(err)
		}
		p := pool.New()
		b := New(Deps{
			Host: name, Node: node, Pool: p, Codec: fakeCodec{}, Log: log,
			View: func() *fleet.View { return view }, Leaving: func() bool { return false }, ProbeInterval: time.Second, ProbesPerSecond: 100,
		}, grant.Settings{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: time.Second, Hosts: len(names)})
		b.Update(view)
		node.Start(func() mesh.Heartbeat { return mesh.Heartbeat{Ready: true} }, b.Handle)
		for j := range i {
			node.AddAddress(netip.AddrFrom4([4]byte{127, 0, 1, byte(j + 1)}))
		}
		node.SendHeartbeat()
		node.AddressesKnown()
		all[name] = &host{b, node, view}
		t.Cleanup(func() {
			b.Close()
			p.Close()
		})
	}
	for _, h := range all {
		for len(h.node.Alive()) < len(names)-1 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(2 * ownerOrderLifetime) // lets orders of owners that were cached before all hosts were known expire
	return all
}

// newRequest returns a request for an upstream of the service s.
func newRequest() grant.AttemptRequest {
	return grant.AttemptRequest{Service: "s", Target: 300 * time.Millisecond, TimeLeft: 500 * time.Millisecond, AttemptsLeft: 1}
}

// Guards against hosts that disagree on the owner of a service, and against hosts that decide on their own although the
// owner answers.
func TestOwnerDecides(t *testing.T) {
	all := startHosts(t, "a", "b", "c")
	owner := all["a"].node.RankHosts("s", false)[0]
	for name, h := range all {
		d := h.Decide(context.Background(), newRequest(), nil)
		if d.Upstream != "u" || d.DecidedBy != owner {
			t.Errorf("host %s was granted upstream %q by host %q, want u by %s", name, d.Upstream, d.DecidedBy, owner)
		}
		h.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Served})
	}
	for _, h := range all {
		h.node.Close()
	}
}

// Guards against requests that fail or wait long after the owner has stopped: a host has to decide without the owner and
// must not ask it again at once.
func TestDecidesWithoutSilentOwner(t *testing.T) {
	all := startHosts(t, "a", "b")
	owner := all["a"].node.RankHosts("s", false)[0]
	survivor := all["a"]
	if owner == "a" {
		survivor = all["b"]
	}
	all[owner].node.Close()
	start := time.Now()
	d := survivor.Decide(context.Background(), newRequest(), nil)
	if d.Upstream != "u" || d.DecidedBy == owner {
		t.Fatalf("granted upstream %q by host %q, want u by another host than the stopped owner", d.Upstream, d.DecidedBy)
	}
	if survivor.WithoutOwner.Load() != 1 {
		t.Fatalf("%d decisions without the owner, want 1", survivor.WithoutOwner.Load())
	}
	if d := survivor.Decide(context.Background(), newRequest(), nil); d.DecidedBy == owner || survivor.WithoutOwner.Load() != 1 {
		t.Fatal("the silent owner was asked again at once")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("two decisions without the owner took %v, want at most 5s", took)
	}
	survivor.node.Close()
}

// Guards against an upstream whose loss or recovery isn't logged, and against a log line for every probe.
func TestLostUpstreamIsLogged(t *testing.T) {
	all := startHosts(t, "a")
	h := all["a"]
	var out strings.Builder
	h.deps.Log = slog.New(slog.NewTextHandler(&out, nil))
	u := h.view.Upstreams["u"]
	p := &probeState{}
	for range 2 {
		h.probe(t.Context(), p, u, "/health")
	}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	u.Address = strings.TrimPrefix(server.URL, "http://")
	for range 2 {
		h.probe(t.Context(), p, u, "/health")
	}
	for _, line := range []string{`msg="upstream lost" upstream=u`, `msg="upstream changed" upstream=u`} {
		if strings.Count(out.String(), line) != 1 {
			t.Errorf("want exactly one line with %s in:\n%s", line, out.String())
		}
	}
	h.node.Close()
}

// Guards against a request that stays queued at the owner for ever, and against slots that stay occupied because the
// selection for a queued request was lost.
func TestQueuedRequestIsAnswered(t *testing.T) {
	all := startHosts(t, "a", "b")
	var granted []Decision
	for range 6 { // fills the upstream
		granted = append(granted, all["a"].Decide(context.Background(), newRequest(), nil))
	}
	d := all["b"].Decide(context.Background(), newRequest(), nil)
	if d.Reason != grant.NoRoom || d.RetryAfter <= 0 {
		t.Fatalf("got %+v from a full upstream, want noRoom and a RetryAfter above 0", d)
	}
	time.AfterFunc(10*time.Millisecond, func() { all["a"].EndAttempt(granted[0], grant.AttemptEnd{Outcome: grant.Served}) })
	if d := all["b"].Decide(context.Background(), newRequest(), nil); d.Upstream != "u" {
		t.Fatalf("got %+v after a slot was freed, want u", d)
	}
	for _, h := range all {
		h.node.Close()
	}
}

// Guards against a slot that is granted to a request whose caller has disconnected: it leaves the queue of an owner on this or another host.
func TestRequestOfDisconnectedCallerLeavesQueue(t *testing.T) {
	all := startHosts(t, "a", "b")
	req := newRequest()
	req.Target, req.TimeLeft = time.Hour, 2*time.Hour // long enough to be queued, or in flight, until the end of the test
	for range 6 {                                     // fills the upstream
		all["a"].Decide(context.Background(), req, nil)
	}
	for _, h := range all {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		if d := h.Decide(ctx, req, nil); d.Reason != grant.RequestEnded {
			t.Fatalf("got %+v for a request of a disconnected caller", d)
		}
	}
	for end := time.Now().Add(time.Minute); waiting(all) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests of disconnected callers are still queued", waiting(all))
		}
	}
	for _, h := range all {
		h.node.Close()
	}
}

// waiting returns the number of requests that are queued at all hosts.
func waiting(all map[string]*host) int {
	n := 0
	for _, h := range all {
		h.mu.Lock()
		n += h.state.Waiting()
		h.mu.Unlock()
	}
	return n
}

// Guards against an owner that spends its processor and its link on probes: their rate is bounded by what the host can
// handle, whatever the number of upstreams, and the unused rate of a pause is not made up for.
func TestProbesKeepToTheRateOfTheHost(t *testing.T) {
	var limit tokens
	const perSecond = 100
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += probeTick {
		sent += limit.take(now, 1000, perSecond)
	}
	if sent < 9*perSecond || sent > 10*perSecond+1 {
		t.Fatalf("%d probes in 10 s, want about 1000", sent)
	}
	if n := limit.take(time.Minute, 1000, perSecond); n > 5 {
		t.Fatalf("%d probes at once after a pause, want at most those of %v", n, maxTokenTime)
	}
}

// Guards against a started host that probes all upstreams of a service before its role has lasted.
func TestStartedHostProbesASampleFirst(t *testing.T) {
	const upstreams = 80
	h := startHosts(t, "a")["a"]
	routes, err := route.New(2, route.Limits{}, []route.Service{{Name: "s", HealthPath: "/health"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var entries []fleet.Upstream
	for i := range upstreams {
		entries = append(entries, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 8, Address: "127.0.0.1:1"})
	}
	view := (&fleet.View{Routes: routes}).WithUpstreams(entries)
	h.mu.Lock()
	defer h.mu.Unlock()
	first, _ := h.dueProbes(200*time.Millisecond, view)
	later, _ := h.dueProbes(400*time.Millisecond, view)
	if len(first) == 0 || len(first) > upstreams/3 || len(later) != upstreams {
		t.Errorf("%d of %d upstreams probed at first, %d later", len(first), upstreams, len(later))
	}
}
