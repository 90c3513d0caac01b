package pool

import (
	"slices"
	"sync"
)

// Used holds the connections over which the attempts of one request were sent. A response names the request and not the attempt, and
// an upstream may repeat it late, where the next one is expected. So no connection carries two attempts of a request. The zero value
// holds none. It is safe for concurrent use.
type Used struct {
	mu    sync.Mutex
	conns []*conn
}

// add adds a connection. It does nothing if u is nil.
func (u *Used) add(c *conn) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
}

// holds reports whether a connection was added. It returns false if u is nil.
func (u *Used) holds(c *conn) bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.conns, c)
}
