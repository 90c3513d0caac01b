package mesh

import (
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// port returns a UDP port that is free on the addresses of the test.
func port(t *testing.T) uint16 {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return uint16(c.LocalAddr().(*net.UDPAddr).Port)
}

func start(t *testing.T, host, ip string, port uint16, boot int64, status func() Beat, h Handler) *Node {
	t.Helper()
	n, err := Listen(Self{Host: host, Callers: ip + ":1", Listen: netip.AddrPortFrom(netip.MustParseAddr(ip), port), Boot: boot}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.Start(status, h)
	return n
}

func ready() Beat { return Beat{Ready: true} }

func ignore(*Message) {}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s did not happen", what)
}

// Guards against hosts that do not find each other, are kept after their death, or own services while they leave.
func TestMembership(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := port(t)
	a := start(t, "a", "127.0.0.1", p, 1, ready, ignore)
	defer a.Close()
	var leaving atomic.Bool
	b := start(t, "b", "127.0.0.2", p, 1, func() Beat { return Beat{Ready: true, Leaving: leaving.Load()} }, ignore)
	b.Introduce(netip.MustParseAddr("127.0.0.1"))
	b.Beat()
	eventually(t, "the meeting", func() bool { return len(a.Alive()) == 1 && len(b.Alive()) == 1 })
	if x, y := a.Order("s", false), b.Order("s", false); len(x) != 2 || x[0] != y[0] {
		t.Fatalf("orders %v and %v differ", x, y)
	}
	leaving.Store(true)
	b.Beat()
	eventually(t, "the leaving", func() bool { return len(a.Order("s", false)) == 1 })
	b.Close()
	eventually(t, "the death", func() bool { return len(a.Alive()) == 0 })
}

// Guards against a host whose leaving and loss nobody can tell from the log, and against a line for each beat.
func TestLossOfAHostIsLogged(t *testing.T) {
	p := port(t)
	var out lockedBuffer
	a, err := Listen(Self{Host: "a", Listen: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p), Boot: 1}, slog.New(slog.NewTextHandler(&out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	a.Start(ready, ignore)
	defer a.Close()
	var leaving atomic.Bool
	b := start(t, "b", "127.0.0.2", p, 1, func() Beat { return Beat{Ready: true, Leaving: leaving.Load()} }, ignore)
	b.Introduce(netip.MustParseAddr("127.0.0.1"))
	b.Beat()
	for _, step := range []struct {
		do   func()
		line string
	}{
		{func() {}, `msg="host is alive" host=b`},
		{func() { leaving.Store(true); b.Beat() }, `msg="host changed" host=b ready=true leaving=true`},
		{b.Close, `msg="host lost" host=b`},
	} {
		step.do()
		eventually(t, step.line, func() bool { return strings.Contains(out.String(), step.line) })
	}
	time.Sleep(2 * beatEvery)
	if n := strings.Count(out.String(), "msg="); n != 3 {
		t.Errorf("%d lines:\n%s", n, out.String())
	}
}

// Guards against a beat that was made earlier and is sent later: others would take back what they know of the host.
func TestBeatsKeepTheirOrder(t *testing.T) {
	p := port(t)
	var newest, backwards atomic.Int64
	a := start(t, "a", "127.0.0.1", p, 1, ready, func(m *Message) {
		if m.Beat == nil {
			return
		}
		if m.Beat.List < newest.Load() {
			backwards.Add(1)
		}
		newest.Store(m.Beat.List)
	})
	defer a.Close()
	var status atomic.Int64
	b := start(t, "b", "127.0.0.2", p, 1, func() Beat { return Beat{Ready: true, List: status.Add(1)} }, ignore)
	defer b.Close()
	b.Introduce(netip.MustParseAddr("127.0.0.1"))
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				b.Beat()
			}
		})
	}
	wg.Wait()
	if n := backwards.Load(); n > 0 {
		t.Errorf("%d beats told an earlier status than one before them", n)
	}
}

// lockedBuffer is a buffer that goroutines share.
type lockedBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against messages of a former lifetime that arrive late, and against bytes that are no message.
func TestFormerLifetimeAndGarbage(t *testing.T) {
	p := port(t)
	var got atomic.Int64
	a := start(t, "a", "127.0.0.1", p, 1, ready, func(*Message) { got.Add(1) })
	defer a.Close()
	conn, err := net.Dial("udp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p).String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(boot int64) {
		data, err := encoder.Marshal(&Message{From: "b", Boot: boot, Beat: &Beat{}})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
	}
	send(5)
	eventually(t, "the first message", func() bool { return got.Load() == 1 })
	send(4)
	_, _ = conn.Write([]byte("\xff\x00garbage"))
	eventually(t, "the count of garbage", func() bool { return a.Invalid.Load() == 1 })
	send(6)
	eventually(t, "the next lifetime", func() bool { return got.Load() == 2 })
	// A host whose clock was set back before it started again is heard once its former lifetime is silent.
	eventually(t, "a lifetime with a lower number", func() bool { send(3); return got.Load() >= 3 })
}

// Guards against crashes on bytes from the network.
func FuzzMessage(f *testing.F) {
	data, err := encoder.Marshal(&Message{From: "b", Boot: 1, Beat: &Beat{Callers: "x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m Message
		_ = decoder.Unmarshal(data, &m) // only crashes matter
	})
}

// Guards against hosts that take each other for dead because a beat tells of many cold upstreams.
func TestBeatWithManyColdUpstreams(t *testing.T) {
	p := port(t)
	a := start(t, "a", "127.0.0.1", p, 1, ready, ignore)
	defer a.Close()
	b := start(t, "b", "127.0.0.2", p, 1, func() Beat { return Beat{Cold: make([]Cold, 500)} }, ignore)
	defer b.Close()
	b.Introduce(netip.MustParseAddr("127.0.0.1"))
	b.Beat()
	eventually(t, "the meeting", func() bool { return len(a.Alive()) == 1 })
}
