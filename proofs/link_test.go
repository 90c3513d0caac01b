package proofs

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// cut says which directions of a link drop traffic.
type cut struct {
	// forward is from the dialling side, backward towards it.
	forward, backward atomic.Bool
}

func (c *cut) both(on bool) {
	c.forward.Store(on)
	c.backward.Store(on)
}

// tcpLink forwards TCP connections; a cut link holds bytes back without closing, as a lossy network does.
type tcpLink struct {
	cut
	ln     net.Listener
	target string
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed atomic.Bool
}

func newTCPLink(t *testing.T, target string) *tcpLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &tcpLink{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.serve(c)
			}()
		}
	}()
	t.Cleanup(l.close)
	return l
}

func (l *tcpLink) addr() string { return l.ln.Addr().String() }

func (l *tcpLink) close() {
	l.closed.Store(true)
	l.ln.Close()
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *tcpLink) track(c net.Conn) func() {
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		c.Close()
	}
}

func (l *tcpLink) serve(c net.Conn) {
	defer l.track(c)()
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.track(up)()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(up, c, &l.forward)
	}()
	l.copy(c, up, &l.backward)
	<-done
}

// copy passes bytes on while the direction is not cut.
func (l *tcpLink) copy(dst, src net.Conn, cut *atomic.Bool) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for cut.Load() && !l.closed.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			src.Close()
			return
		}
	}
}

// udpLink forwards datagrams between one dialling host and one listener and drops those of a cut direction.
type udpLink struct {
	cut
	in     *net.UDPConn
	target netip.AddrPort
	mu     sync.Mutex
	// outs has one socket for each dialling address, so that answers find their way back.
	outs map[netip.AddrPort]*net.UDPConn
	wg   sync.WaitGroup
}

func newUDPLink(t *testing.T, target string) *udpLink {
	t.Helper()
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &udpLink{in: in, target: netip.MustParseAddrPort(target), outs: map[netip.AddrPort]*net.UDPConn{}}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.forwardAll()
	}()
	t.Cleanup(l.close)
	return l
}

func (l *udpLink) addr() string { return l.in.LocalAddr().String() }

func (l *udpLink) close() {
	l.in.Close()
	l.mu.Lock()
	for _, c := range l.outs {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *udpLink) forwardAll() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		out, err := l.out(from)
		if err != nil || l.forward.Load() {
			continue
		}
		_, _ = out.Write(buf[:n])
	}
}

func (l *udpLink) out(from netip.AddrPort) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.outs[from]; ok {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil, err
	}
	l.outs[from] = c
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Another error tells of a datagram that found no listener, as while a host restarts.
			if err == nil && !l.backward.Load() {
				_, _ = l.in.WriteToUDPAddrPort(buf[:n], from)
			}
		}
	}()
	return c, nil
}
