// Package stream provides connections on which the end of the stream proves that the peer has ended it.
package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ResetError reports that a connection failed before its peer had ended the stream, where a read found the end of the stream.
type ResetError struct{ Err error }

// Error implements error.
func (e *ResetError) Error() string {
	return fmt.Sprintf("connection failed before the end of the stream: %v", e.Err)
}

// Unwrap returns the error of the write that failed.
func (e *ResetError) Unwrap() error { return e.Err }

// Conn is a connection whose Read returns io.EOF only if the peer has ended the stream. The kernel reports a reset once: if a
// concurrent write receives the report, the next read of the socket returns the end of the stream. Read then returns a ResetError.
//
// A read at the end of the stream ends the write in progress and all later ones.
type Conn struct {
	net.Conn

	// mu is held during each write, and guards failure.
	mu sync.Mutex
	// failure is the error of the first write that failed because the connection did; nil before that.
	failure error
}

// NewConn returns a Conn that takes over nc. All reads and writes must go through it.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// DialContext returns the DialContext function of an http.Transport that dials with d and returns a Conn.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.endWrites(); failure != nil {
			return n, &ResetError{failure}
		}
	}
	return n, err
}

// endWrites ends the write in progress, so that its result is known, and returns the failure of the connection, if any.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Now()) // fails only on a closed connection
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// isFailure reports whether a write failed because the connection did, before its peer had ended the stream. A connection that is
// reset after that reports a broken pipe.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
