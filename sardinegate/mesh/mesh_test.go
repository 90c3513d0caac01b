package mesh

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sardinecross.example/lib/common/logbuf"
)

// freePort returns a UDP port that is free on 127.0.0.1 and is assumed to be free on the other loopback addresses.
func freePort(t *testing.T) uint16 {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return uint16(c.LocalAddr().(*net.UDPAddr).Port)
}

// startNode starts a node that listens on ip and port.
func startNode(t *testing.T, host, ip string, port uint16, boot int64, status func() Heartbeat, h Handler) *Node {
	t.Helper()
	n, err := Listen(Self{Host: host, CallerAddress: ip + ":1", Listen: netip.AddrPortFrom(netip.MustParseAddr(ip), port), Boot: boot}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.Start(status, h)
	return n
}

func readyStatus() Heartbeat { return Heartbeat{Ready: true} }

func ignore(*Message) {}

// eventually waits until holds returns true and fails the test after ten seconds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// Guards against hosts that do not discover each other when only one knows the other's address, that are kept as alive
// after they stopped, or that may own services while they leave.
func TestDiscoveryLeavingAndLossOfHosts(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := freePort(t)
	a := startNode(t, "a", "127.0.0.1", p, 1, readyStatus, ignore)
	defer a.Close()
	var leaving atomic.Bool
	b := startNode(t, "b", "127.0.0.2", p, 1, func() Heartbeat { return Heartbeat{Ready: true, Leaving: leaving.Load()} }, ignore)
	b.AddAddress(netip.MustParseAddr("127.0.0.1"))
	b.SendHeartbeat()
	a.AddressesKnown()
	b.AddressesKnown()
	eventually(t, "the hosts to discover each other", func() bool { return len(a.Alive()) == 1 && len(b.Alive()) == 1 })
	eventually(t, "the hosts to have joined", func() bool { return a.Phase() != Joining && b.Phase() != Joining })
	if x, y := a.RankHosts("s", false), b.RankHosts("s", false); len(x) != 2 || x[0] != y[0] {
		t.Fatalf("ranks of owners are %v at host a and %v at host b, want two hosts in the same order", x, y)
	}
	leaving.Store(true)
	b.SendHeartbeat()
	eventually(t, "the leaving host to lose its rank as an owner", func() bool { return len(a.RankHosts("s", false)) == 1 })
	b.Close()
	eventually(t, "the stopped host to be dropped", func() bool { return len(a.Alive()) == 0 })
}

// Guards against a host whose leaving or loss does not appear in the log, and against a log that is flooded by a
// line for each heartbeat.
func TestMembershipChangesAreLoggedOnce(t *testing.T) {
	p := freePort(t)
	var out logbuf.Buffer
	a, err := Listen(Self{Host: "a", Listen: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p), Boot: 1}, slog.New(slog.NewTextHandler(&out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	a.Start(readyStatus, ignore)
	defer a.Close()
	var leaving atomic.Bool
	b := startNode(t, "b", "127.0.0.2", p, 1, func() Heartbeat { return Heartbeat{Ready: true, Leaving: leaving.Load()} }, ignore)
	b.AddAddress(netip.MustParseAddr("127.0.0.1"))
	b.SendHeartbeat()
	for _, step := range []struct {
		do   func()
		line string
	}{
		{func() {}, `msg="host is alive" host=b`},
		{func() { leaving.Store(true); b.SendHeartbeat() }, `msg="host changed" host=b ready=true leaving=true`},
		{b.Close, `msg="host lost" host=b`},
	} {
		step.do()
		eventually(t, step.line, func() bool { return out.Count(step.line) > 0 })
	}
	time.Sleep(2 * heartbeatInterval)
	if n := out.Count("msg="); n != 3 {
		t.Errorf("%d log lines, want 3:\n%s", n, out.String())
	}
}

// Guards against a heartbeat with an earlier status that is sent after one with a later status, which can happen when
// several goroutines send heartbeats: other hosts would replace the newer status by the older one.
func TestConcurrentHeartbeatsKeepStatusOrder(t *testing.T) {
	p := freePort(t)
	var newest, backwards atomic.Int64
	a := startNode(t, "a", "127.0.0.1", p, 1, readyStatus, func(m *Message) {
		if m.Heartbeat == nil {
			return
		}
		if m.Heartbeat.ListPosition < newest.Load() {
			backwards.Add(1)
		}
		newest.Store(m.Heartbeat.ListPosition)
	})
	defer a.Close()
	var status atomic.Int64
	b := startNode(t, "b", "127.0.0.2", p, 1, func() Heartbeat { return Heartbeat{Ready: true, ListPosition: status.Add(1)} }, ignore)
	defer b.Close()
	b.AddAddress(netip.MustParseAddr("127.0.0.1"))
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				b.SendHeartbeat()
			}
		})
	}
	wg.Wait()
	if n := backwards.Load(); n > 0 {
		t.Errorf("%d heartbeats carried an earlier status than one received before them", n)
	}
}

// Guards against delayed messages of an earlier lifetime of a host that reach the handler, and against datagrams that
// cannot be decoded.
func TestOldLifetimeAndInvalidDatagramsAreDropped(t *testing.T) {
	p := freePort(t)
	var got atomic.Int64
	a := startNode(t, "a", "127.0.0.1", p, 1, readyStatus, func(*Message) { got.Add(1) })
	defer a.Close()
	conn, err := net.Dial("udp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p).String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(boot int64) {
		data, err := encoder.Marshal(&Message{From: "b", Boot: boot, Heartbeat: &Heartbeat{}})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
	}
	send(5)
	eventually(t, "the first message", func() bool { return got.Load() == 1 })
	send(4)
	_, _ = conn.Write([]byte("\xff\x00garbage"))
	eventually(t, "the invalid datagram to be counted", func() bool { return a.Invalid.Load() == 1 })
	send(6)
	eventually(t, "a message of the next lifetime", func() bool { return got.Load() == 2 })
	// A host whose clock was set back before a restart is accepted once its earlier lifetime is no longer alive.
	eventually(t, "a message of a lifetime with a lower Boot", func() bool { send(3); return got.Load() >= 3 })
}

// Guards against hosts that count each other as lost because a heartbeat with many cold upstreams is too long for a
// datagram or for the decoder's limits.
func TestHeartbeatWithManyColdUpstreamsIsDelivered(t *testing.T) {
	p := freePort(t)
	a := startNode(t, "a", "127.0.0.1", p, 1, readyStatus, ignore)
	defer a.Close()
	b := startNode(t, "b", "127.0.0.2", p, 1, func() Heartbeat { return Heartbeat{ColdUpstreams: make([]ColdUpstream, 500)} }, ignore)
	defer b.Close()
	b.AddAddress(netip.MustParseAddr("127.0.0.1"))
	b.SendHeartbeat()
	eventually(t, "the hosts to discover each other", func() bool { return len(a.Alive()) == 1 })
}
