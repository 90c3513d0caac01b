package site

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Cut holds which directions of a link are cut.
type Cut struct {
	// Forward cuts traffic from the dialling side, Backward traffic towards it.
	Forward, Backward atomic.Bool
}

// SetBoth cuts both directions if cut is set, and restores them otherwise.
func (c *Cut) SetBoth(cut bool) {
	c.Forward.Store(cut)
	c.Backward.Store(cut)
}

// TCPLink forwards TCP connections. A cut link holds bytes back without closing the connections, as a network that loses
// every packet does.
type TCPLink struct {
	Cut
	// delay is how long bytes take in each direction, in nanoseconds.
	delay  atomic.Int64
	ln     net.Listener
	target string
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed atomic.Bool
}

// NewTCPLink returns a link to the target address. The link is closed when t ends.
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

// SetDelay changes how long bytes take in each direction.
func (l *TCPLink) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Reset resets all connections.
func (l *TCPLink) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // Close sends a reset
		}
		_ = c.Close()
	}
}

// Close closes the link and its connections and waits until its goroutines have ended.
func (l *TCPLink) Close() {
	l.closed.Store(true)
	_ = l.ln.Close()
	l.Reset()
	l.wg.Wait()
}

// track adds a connection to those that Close closes. The returned function removes and closes it.
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
	targetConn, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.track(targetConn)()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.forward(targetConn, c, &l.Forward)
	}()
	l.forward(c, targetConn, &l.Backward)
	<-done
}

// forward copies bytes from src to dst. While the direction is cut, it holds back what it has read.
func (l *TCPLink) forward(dst, src net.Conn, cut *atomic.Bool) {
	defer dst.Close() //nolint:errcheck // the other end is closed
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		time.Sleep(time.Duration(l.delay.Load()))
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

// UDPLink forwards datagrams between one dialling host and one target address, and drops those of a cut direction.
type UDPLink struct {
	Cut
	listener *net.UDPConn
	target   netip.AddrPort
	mu       sync.Mutex
	// sockets has one socket towards the target for each dialling address, so that answers go back to that address.
	sockets map[netip.AddrPort]*net.UDPConn
	wg      sync.WaitGroup
}

// NewUDPLink returns a link to the target address. The link is closed when t ends.
func NewUDPLink(t T, target string) *UDPLink {
	t.Helper()
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := &UDPLink{listener: in, target: netip.MustParseAddrPort(target), sockets: map[netip.AddrPort]*net.UDPConn{}}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.forwardAll()
	}()
	t.Cleanup(l.Close)
	return l
}

// Addr returns the address to dial.
func (l *UDPLink) Addr() string { return l.listener.LocalAddr().String() }

// Close closes the link and waits until its goroutines have ended.
func (l *UDPLink) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for _, c := range l.sockets {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// forwardAll forwards datagrams towards the target until the link is closed.
func (l *UDPLink) forwardAll() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.listener.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		out, err := l.socketFor(from)
		if err != nil || l.Forward.Load() {
			continue
		}
		_, _ = out.Write(buf[:n])
	}
}

// socketFor returns the socket for a dialling address. A new socket gets a goroutine that sends the answers back.
func (l *UDPLink) socketFor(from netip.AddrPort) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.sockets[from]; ok {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil, err
	}
	l.sockets[from] = c
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Any other error reports a datagram that was sent to a closed port, for example while a host restarts.
			if err == nil && !l.Backward.Load() {
				_, _ = l.listener.WriteToUDPAddrPort(buf[:n], from)
			}
		}
	}()
	return c, nil
}
