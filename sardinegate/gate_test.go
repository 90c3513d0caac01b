package main

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"sardinecross.example/sardinegate/grace"
	"sardinecross.example/sardinegate/mesh"
)

// startNode starts a node of a host at 127.0.0.x and the given port.
func startNode(t *testing.T, host string, x byte, port uint16) *mesh.Node {
	t.Helper()
	self := mesh.Self{Host: host, Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, x}), port), Boot: 1}
	n, err := mesh.Listen(self, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.Start(func() mesh.Heartbeat { return mesh.Heartbeat{Ready: true} }, func(*mesh.Message) {})
	t.Cleanup(n.Close)
	return n
}

// Guards against a host that serves after its start before other hosts could tell it what the store does not: it would take
// itself for the owner of every service, and use upstreams that have left.
func TestNewHostServesOnceOthersCouldAnswer(t *testing.T) {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := uint16(c.LocalAddr().(*net.UDPAddr).Port)
	_ = c.Close()
	a := startNode(t, "a", 1, port)
	alone := &gate{node: a, stop: grace.New(), start: time.Now()}
	if alone.mayServe() {
		t.Error("the host serves without a view")
	}
	alone.completeAt.Store(int64(time.Since(alone.start)) + 1)
	if alone.mayServe() || alone.servingView().Routes != nil || alone.Ready() {
		t.Error("the host serves before other hosts could answer")
	}
	alone.completeAt.Store(1)
	alone.start = time.Now().Add(-joinTimeout - time.Second)
	if !alone.mayServe() {
		t.Errorf("the host does not serve %v after its view was complete, though no other host answers", joinTimeout+time.Second)
	}
	b := startNode(t, "b", 2, port)
	joined := &gate{node: b, stop: grace.New(), start: time.Now()}
	joined.completeAt.Store(int64(time.Hour)) // too late for the host to serve alone
	b.AddAddress(netip.MustParseAddr("127.0.0.1"))
	b.SendHeartbeat()
	for end := time.Now().Add(10 * time.Second); !joined.mayServe(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host does not serve though another host answers")
		}
	}
}
