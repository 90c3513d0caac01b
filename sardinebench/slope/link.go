package slope

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"sardinecross.example/sardinebench/trial"
)

// countingLink is a UDP proxy between one dialling host and one target. It counts the datagrams and their bytes in both
// directions.
type countingLink struct {
	// sent counts what the dialling host sends, received what it receives.
	sent, received struct{ datagrams, bytes atomic.Int64 }
	in, out        *net.UDPConn
	running        sync.WaitGroup
	// dialler is the address that the last datagram came from, nil before the first one.
	dialler atomic.Pointer[net.UDPAddr]
}

// newCountingLink returns a link to the target address that is closed when t ends.
func newCountingLink(t *trial.T, target string) *countingLink {
	t.Helper()
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	out, err := net.DialUDP("udp", nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	l := &countingLink{in: in, out: out}
	l.running.Go(l.forward)
	l.running.Go(l.backward)
	t.Cleanup(func() {
		_ = in.Close()  // no data can be lost
		_ = out.Close() // no data can be lost
		l.running.Wait()
	})
	return l
}

func (l *countingLink) addr() string { return l.in.LocalAddr().String() }

func (l *countingLink) forward() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l.dialler.Store(from)
		l.sent.datagrams.Add(1)
		l.sent.bytes.Add(int64(n))
		_, _ = l.out.Write(buf[:n])
	}
}

func (l *countingLink) backward() {
	buf := make([]byte, 64<<10)
	for {
		n, err := l.out.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// If the target does not listen yet, the read fails with "connection refused"; the link stays open.
		if to := l.dialler.Load(); err == nil && to != nil {
			l.received.datagrams.Add(1)
			l.received.bytes.Add(int64(n))
			_, _ = l.in.WriteToUDP(buf[:n], to)
		}
	}
}
