package site

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Cut says which directions of a link drop traffic.
type Cut struct {
	// Forward is from the dialling side, Backward towards it.
	Forward, Backward atomic.Bool
}

// Both cuts or mends both directions.
func (c *Cut) Both(on bool) {
	c.Forward.Store(on)
	c.Backward.Store(on)
}

// TCPLink forwards TCP connections; a cut link holds bytes back without closing, as a lossy network does.
type TCPLink struct {
	Cut
	ln     net.Listener
	target string
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed atomic.Bool
}

// NewTCPLink returns a link to an address that ends with t.
func NewTCPLink(t T, target string) *TCPLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &TCPLink{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
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
	t.Cleanup(l.Close)
	return l
}

// Addr returns the address to dial.
func (l *TCPLink) Addr() string { return l.ln.Addr().String() }

// Close ends the link and its connections and waits.
func (l *TCPLink) Close() {
	l.closed.Store(true)
	_ = l.ln.Close()
	l.mu.Lock()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *TCPLink) track(c net.Conn) func() {
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		_ = c.Close()
	}
}

func (l *TCPLink) serve(c net.Conn) {
	defer l.track(c)()
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.track(up)()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(up, c, &l.Forward)
	}()
	l.copy(c, up, &l.Backward)
	<-done
}

// copy passes bytes on while the direction is not cut.
func (l *TCPLink) copy(dst, src net.Conn, cut *atomic.Bool) {
	defer dst.Close() //nolint:errcheck // the other end has gone
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
			_ = src.Close()
			return
		}
	}
}

// UDPLink forwards datagrams between one dialling host and one listener and drops those of a cut direction.
type UDPLink struct {
	Cut
	in     *net.UDPConn
	target netip.AddrPort
	mu     sync.Mutex
	// outs has one socket for each dialling address, so that answers find their way back.
	outs map[netip.AddrPort]*net.UDPConn
	wg   sync.WaitGroup
}

// NewUDPLink returns a link to an address that ends with t.
func NewUDPLink(t T, target string) *UDPLink {
	t.Helper()
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &UDPLink{in: in, target: netip.MustParseAddrPort(target), outs: map[netip.AddrPort]*net.UDPConn{}}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.forwardAll()
	}()
	t.Cleanup(l.Close)
	return l
}

// Addr returns the address to dial.
func (l *UDPLink) Addr() string { return l.in.LocalAddr().String() }

// Close ends the link and waits.
func (l *UDPLink) Close() {
	_ = l.in.Close()
	l.mu.Lock()
	for _, c := range l.outs {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *UDPLink) forwardAll() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		out, err := l.out(from)
		if err != nil || l.Forward.Load() {
			continue
		}
		_, _ = out.Write(buf[:n])
	}
}

func (l *UDPLink) out(from netip.AddrPort) (*net.UDPConn, error) {
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
			if err == nil && !l.Backward.Load() {
				_, _ = l.in.WriteToUDPAddrPort(buf[:n], from)
			}
		}
	}()
	return c, nil
}
