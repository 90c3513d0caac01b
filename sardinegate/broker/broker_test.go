package broker

import (
	"context"
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

type dialect struct{}

func (dialect) ParseCall(http.Header) (string, time.Duration, bool)  { return "", 0, false }
func (dialect) SetAttemptHeaders(http.Header, time.Duration, string) {}
func (dialect) ParseResponse(int, http.Header) fleet.ResponseInfo    { return fleet.ResponseInfo{} }
func (dialect) ParseLoad(http.Header) (fleet.Report, bool) {
	return fleet.Report{Slots: 4, SlowdownPercent: 100}, true
}

type host struct {
	*Broker
	node *mesh.Node
	view *fleet.View
}

// hosts starts brokers that know each other and the upstreams of one service.
func hosts(t *testing.T, names ...string) map[string]*host {
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
			Host: name, Node: node, Pool: p, Dialect: dialect{}, Log: log,
			View: func() *fleet.View { return view }, Leaving: func() bool { return false }, ProbeEvery: time.Second,
		}, grant.Settings{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: time.Second, Hosts: len(names)})
		b.Update(view)
		node.Start(func() mesh.Heartbeat { return mesh.Heartbeat{Ready: true} }, b.Handle)
		for j := range i {
			node.AddAddress(netip.AddrFrom4([4]byte{127, 0, 1, byte(j + 1)}))
		}
		node.SendHeartbeat()
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
	time.Sleep(2 * orderFor) // the order of owners is kept that long
	return all
}

func ask() grant.AttemptRequest {
	return grant.AttemptRequest{Service: "s", Target: 300 * time.Millisecond, TimeLeft: 500 * time.Millisecond, AttemptsLeft: 1}
}

// Guards against hosts that do not agree on the owner, and against decisions without it while it answers.
func TestOwnerDecides(t *testing.T) {
	all := hosts(t, "a", "b", "c")
	owner := all["a"].node.RankOwners("s", false)[0]
	for name, h := range all {
		g := h.Ask(context.Background(), ask(), nil)
		if g.Upstream != "u" || g.By != owner {
			t.Errorf("%s was granted %q by %q, want u by %s", name, g.Upstream, g.By, owner)
		}
		h.Finish(g, grant.AttemptEnd{Outcome: grant.Served})
	}
	for _, h := range all {
		h.node.Close()
	}
}

// Guards against requests that fail or wait long because the owner is gone.
func TestOwnerGone(t *testing.T) {
	all := hosts(t, "a", "b")
	owner := all["a"].node.RankOwners("s", false)[0]
	other := all["a"]
	if owner == "a" {
		other = all["b"]
	}
	all[owner].node.Close()
	start := time.Now()
	g := other.Ask(context.Background(), ask(), nil)
	if g.Upstream != "u" || g.By == owner {
		t.Fatalf("granted %q by %q", g.Upstream, g.By)
	}
	if other.Alone.Load() != 1 {
		t.Fatalf("%d decisions alone", other.Alone.Load())
	}
	if g := other.Ask(context.Background(), ask(), nil); g.By == owner || other.Alone.Load() != 1 {
		t.Fatal("the silent owner was asked again at once")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("took %v", took)
	}
	other.node.Close()
}

// Guards against an upstream whose loss and return nobody can tell from the log, and against a line for each probe.
func TestLostUpstreamIsLogged(t *testing.T) {
	all := hosts(t, "a")
	h := all["a"]
	var out strings.Builder
	h.deps.Log = slog.New(slog.NewTextHandler(&out, nil))
	u := h.view.Upstreams["u"]
	p := &probe{}
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
			t.Errorf("not one line %s in:\n%s", line, out.String())
		}
	}
	h.node.Close()
}

// Guards against an ask that waits at the owner for ever, and against grants that are lost with it.
func TestQueuedAskIsAnswered(t *testing.T) {
	all := hosts(t, "a", "b")
	var granted []Grant
	for range 6 { // all the room of the upstream
		granted = append(granted, all["a"].Ask(context.Background(), ask(), nil))
	}
	g := all["b"].Ask(context.Background(), ask(), nil)
	if g.Reason != grant.NoRoom || g.RetryAfter <= 0 {
		t.Fatalf("got %+v", g)
	}
	time.AfterFunc(10*time.Millisecond, func() { all["a"].Finish(granted[0], grant.AttemptEnd{Outcome: grant.Served}) })
	if g := all["b"].Ask(context.Background(), ask(), nil); g.Upstream != "u" {
		t.Fatalf("got %+v after room was freed", g)
	}
	for _, h := range all {
		h.node.Close()
	}
}
