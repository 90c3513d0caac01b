package main

import (
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/platform"
	"sardinecross.example/sardinegate/front"
)

const (
	// callerMemoryShare is the share of the machine's memory that the connections of callers may use, and runtimeMemoryShare the
	// limit of the Go runtime. The rest is for bodies of responses (32 MB at most), the state of the host, and garbage.
	callerMemoryShare  = 0.3
	runtimeMemoryShare = 0.75
	// filesReserved is the number of descriptors of the machine that are for files.
	filesReserved = 200
	// callerConnsShare is the share of the other descriptors for connections of callers, and listenerConnsShare that for each of
	// the other listeners. The rest is for connections to upstreams and to the store.
	callerConnsShare   = 0.6
	listenerConnsShare = 1.0 / 32
	// minListenerConns is the least number of connections to each of the other listeners.
	minListenerConns = 16
	// headTimeoutMargin is how much longer than the configuration's limit a head may take: the host measures from the first byte that
	// it reads, and a busy process reads late.
	headTimeoutMargin = time.Second
	// maxListenerHeaderBytes and readHeaderTimeout bound the heads of requests from the platform and from other hosts, which are
	// below 1 kB and come at once.
	maxListenerHeaderBytes = 8 << 10
	readHeaderTimeout      = 5 * time.Second
	// refusalLogInterval is the time between two log lines on connections that a listener has closed.
	refusalLogInterval = time.Second
)

// setMemoryLimit makes the Go runtime collect garbage before the process outgrows its machine.
func setMemoryLimit(s platform.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(s.MemoryBytes)))
	}
}

// callerLimits returns the limits of the connections of callers.
func callerLimits(s platform.Settings) front.Limits {
	limits := front.Limits{Memory: int64(callerMemoryShare * float64(s.MemoryBytes))}
	if s.MaxFiles > 0 {
		limits.Connections = max(int(callerConnsShare*float64(s.MaxFiles-filesReserved)), 1)
	}
	return limits
}

// listenerConns returns the limit of connections to each of the other listeners; 0 if there is none.
func listenerConns(s platform.Settings) int {
	if s.MaxFiles == 0 {
		return 0
	}
	return max(int(listenerConnsShare*float64(s.MaxFiles-filesReserved)), minListenerConns)
}

// headTimeout returns the time in which a caller has to send a head; 0 if the configuration does not bound it.
func (g *gate) headTimeout() time.Duration {
	t := g.watcher.View().Routes
	if t == nil || t.Limits.HeaderTimeout == 0 {
		return 0
	}
	return t.Limits.HeaderTimeout + headTimeoutMargin
}

// connBound bounds the connections of an http.Server. Beyond the limit it closes the connection that has been waiting for a
// request longest, or the new one if all are in use.
type connBound struct {
	limit  int // 0 if there is none
	name   string
	log    *slog.Logger
	closed *atomic.Int64

	mu sync.Mutex
	// waitingSince holds for each open connection since when it has waited for a request; the zero time while it has one.
	waitingSince map[net.Conn]time.Time
	loggedAt     time.Time
}

// newConnBound returns a bound that counts the connections it closes.
func newConnBound(limit int, name string, log *slog.Logger, closed *atomic.Int64) *connBound {
	return &connBound{limit: limit, name: name, log: log, closed: closed, waitingSince: make(map[net.Conn]time.Time)}
}

// connStateChanged is the ConnState of an http.Server.
func (b *connBound) connStateChanged(nc net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		if b.limit > 0 && len(b.waitingSince) >= b.limit {
			b.closeOne(nc)
		}
		b.waitingSince[nc] = time.Now()
	case http.StateIdle:
		if _, open := b.waitingSince[nc]; open {
			b.waitingSince[nc] = time.Now()
		}
	case http.StateActive:
		if _, open := b.waitingSince[nc]; open {
			b.waitingSince[nc] = time.Time{}
		}
	case http.StateHijacked, http.StateClosed:
		delete(b.waitingSince, nc)
	}
}

// closeOne closes the connection that has been waiting longest, or the new one.
func (b *connBound) closeOne(added net.Conn) {
	victim, oldest := added, time.Now()
	for nc, since := range b.waitingSince {
		if !since.IsZero() && since.Before(oldest) {
			victim, oldest = nc, since
		}
	}
	delete(b.waitingSince, victim)
	_ = victim.Close() // the server sees the end
	n := b.closed.Add(1)
	if now := time.Now(); now.Sub(b.loggedAt) >= refusalLogInterval {
		b.loggedAt = now
		b.log.Warn("connection to a listener closed by a limit", "listener", b.name, "from", victim.RemoteAddr().String(), "closedSoFar", n)
	}
}
