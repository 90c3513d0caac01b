package front

import (
	"net"
	"net/netip"
	"sync"

	"sardinecross.example/sardined/metric"
)

// connLimiter is a listener that bounds the connections from one IP address.
type connLimiter struct {
	net.Listener
	limit   int
	metrics *metric.Set

	mu sync.Mutex
	// counts is the number of open connections from each IP address that has any.
	counts map[netip.Addr]int
}

func newConnLimiter(l net.Listener, limit int, metrics *metric.Set) *connLimiter {
	return &connLimiter{Listener: l, limit: limit, metrics: metrics, counts: make(map[netip.Addr]int)}
}

// Accept implements net.Listener. It closes connections above the limit at once.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
		if l.acquire(ip) {
			l.metrics.CallerConnections.Inc(1)
			return &limitedConn{TCPConn: c.(*net.TCPConn), release: func() { l.release(ip) }}, nil
		}
		l.metrics.CallerConnectionsRefused.Inc(1)
		_ = c.Close()
	}
}

// acquire counts a connection from ip; it returns false if ip is at the limit.
func (l *connLimiter) acquire(ip netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[ip] >= l.limit {
		return false
	}
	l.counts[ip]++
	return true
}

// release removes a closed connection from the count of ip.
func (l *connLimiter) release(ip netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[ip]--; l.counts[ip] == 0 {
		delete(l.counts, ip)
	}
}

// limitedConn is a connection that connLimiter counts until it is closed.
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
