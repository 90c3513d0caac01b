package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// States of a guard.
const (
	// guardOpen: nothing was sent, and the request may still be sent.
	guardOpen int32 = iota
	// guardSent: a connection may have sent bytes of the request.
	guardSent
	// guardBlocked: nothing was sent, and nothing will be.
	guardBlocked
)

// guard decides whether bytes of one attempt may be sent, and records whether any may have been. An attempt reported as
// not sent can therefore safely be repeated.
type guard struct {
	// state leaves guardOpen once; after guardBlocked no byte of the attempt can be sent.
	state atomic.Int32
	// conn is the only connection that may carry the attempt. It is set before state becomes guardSent.
	conn atomic.Pointer[conn]
	// dialled reports that a connection was dialled for the attempt.
	dialled atomic.Bool
	// connected reports that the attempt got a connection.
	connected atomic.Bool
	// startBy is the last time at which the first byte may be sent, on the clock of now.
	startBy time.Duration
	now     func() time.Duration
}

// guardKey is the context key of the guard.
type guardKey struct{}

// withGuard returns a context that carries g to Client.dial.
func withGuard(ctx context.Context, g *guard) context.Context {
	return context.WithValue(ctx, guardKey{}, g)
}

// blockSend forbids any write for the attempt if nothing was sent. It returns false if bytes may have been sent already.
func (g *guard) blockSend() bool {
	return g.state.CompareAndSwap(guardOpen, guardBlocked) || g.state.Load() == guardBlocked
}

// canResend reports whether the attempt got a connection but sent nothing on it, and may still be sent.
func (g *guard) canResend() bool {
	return g.connected.Load() && g.state.Load() == guardOpen && g.now() <= g.startBy
}

// allowWrite reports whether c may write bytes of the attempt. The first connection allowed is the only one.
func (g *guard) allowWrite(c *conn) bool {
	if g.state.Load() == guardSent {
		// net/http moves some requests to a second connection; only the first one may send bytes.
		return g.conn.Load() == c
	}
	if g.now() > g.startBy {
		g.blockSend()
		return false
	}
	g.conn.Store(c)
	return g.state.CompareAndSwap(guardOpen, guardSent)
}

// conn is a connection to an upstream that writes only what the guard of the current attempt allows.
type conn struct {
	net.Conn
	// guard is that of the attempt that got the connection last.
	guard atomic.Pointer[guard]
	// discarded forbids further writes, so that a request on a connection that is about to close counts as
	// not sent.
	discarded atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil || c.discarded.Load() || !g.allowWrite(c) {
		return 0, &NotSentError{}
	}
	return c.Conn.Write(p)
}

// discard closes the connection. A request that net/http already assigned to it is not sent.
func (c *conn) discard() {
	c.discarded.Store(true)
	_ = c.Close()
}

// NotSentError reports a write that was refused before any byte was sent.
type NotSentError struct{}

// Error implements error.
func (*NotSentError) Error() string {
	return "request not sent: its start time passed, the attempt ended or the connection is being closed"
}
