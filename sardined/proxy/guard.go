package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// States of a guard.
const (
	guardOpen int32 = iota
	guardSent
	guardSealed
)

// guard decides whether bytes of one attempt may leave, and records whether any has left.
type guard struct {
	// state leaves guardOpen once; after guardSealed no byte of the attempt can leave.
	state atomic.Int32
	// conn is the only connection that may carry the attempt; it is set before guardSent.
	conn atomic.Pointer[conn]
	// dialled reports that a connection was opened for the attempt.
	dialled atomic.Bool
	// connected reports that the attempt got a connection.
	connected atomic.Bool
	startBy   time.Duration
	now       func() time.Duration
}

type guardKey struct{}

// withGuard returns a context that carries g to the dial.
func withGuard(ctx context.Context, g *guard) context.Context {
	return context.WithValue(ctx, guardKey{}, g)
}

// seal reports whether no byte has left; if so none will.
func (g *guard) seal() bool {
	return g.state.CompareAndSwap(guardOpen, guardSealed) || g.state.Load() == guardSealed
}

// unused reports whether the attempt got a connection on which nothing was written, and may still be sent.
func (g *guard) unused() bool {
	return g.connected.Load() && g.state.Load() == guardOpen && g.now() <= g.startBy
}

// admit reports whether c may write for the attempt.
func (g *guard) admit(c *conn) bool {
	if g.state.Load() == guardSent {
		// net/http moves some requests to a second connection; bytes leave on the first one only.
		return g.conn.Load() == c
	}
	if g.now() > g.startBy {
		g.seal()
		return false
	}
	g.conn.Store(c)
	return g.state.CompareAndSwap(guardOpen, guardSent)
}

// conn is a connection to an upstream that writes only what the guard of the current attempt admits.
type conn struct {
	net.Conn
	// guard belongs to the attempt that got the connection last.
	guard atomic.Pointer[guard]
	// broken forbids further writes, so that a request on a connection that is about to close counts as not sent.
	broken atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil || c.broken.Load() || !g.admit(c) {
		return 0, &NotSentError{}
	}
	return c.Conn.Write(p)
}

// discard closes the connection; a request that net/http already assigned to it is not sent.
func (c *conn) discard() {
	c.broken.Store(true)
	_ = c.Close()
}

// NotSentError reports a write that was refused before any byte left.
type NotSentError struct{}

// Error implements error.
func (*NotSentError) Error() string { return "start time passed or attempt ended before the send" }
