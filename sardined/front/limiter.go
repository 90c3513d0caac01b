package front

import (
	"net"
	"net/netip"
	"sync"

	"sardinecross.example/sardined/metric"
)

// limiter bounds the connections from one IP address.
type limiter struct {
	net.Listener
	limit   int
	metrics *metric.Set

	mu sync.Mutex
	// counts has an entry for each address with a connection.
	counts map[netip.Addr]int
}

func newLimiter(l net.Listener, limit int, metrics *metric.Set) *limiter {
	return &limiter{Listener: l, limit: limit, metrics: metrics, counts: make(map[netip.Addr]int)}
}

// Accept implements net.Listener; connections above the limit are closed.
func (l *limiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
		if l.take(ip) {
			l.metrics.CallerConnections.Inc(1)
			return &limitedConn{TCPConn: c.(*net.TCPConn), release: func() { l.release(ip) }}, nil
		}
		l.metrics.CallerRefused.Inc(1)
		_ = c.Close()
	}
}

func (l *limiter) take(ip netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[ip] >= l.limit {
		return false
	}
	l.counts[ip]++
	return true
}

func (l *limiter) release(ip netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[ip]--; l.counts[ip] == 0 {
		delete(l.counts, ip)
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	*net.TCPConn
	release func()
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.TCPConn.Close()
}
