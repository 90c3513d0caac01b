// Package httpc is the HTTP client that the clients of the platform's services share.
package httpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
	// probeIdle, probeEvery and probeCount detect a connection that went silent: the peer's kernel answers probes.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
)

// StatusError reports a response with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("service responded with status %d", e.Status)
}

// SizeError reports data above a limit of the client.
type SizeError struct{ Limit int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("size above the limit of %d bytes", e.Limit) }

// ClosedError reports the use of a closed client.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "client is closed" }

// Client talks to one service; it is safe for concurrent use.
type Client struct {
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelFunc

	mu sync.Mutex
	// closed is true once Close was called; no call joins calls after that.
	closed bool
	calls  sync.WaitGroup
}

// New returns a client with at most conns connections, without a bound if conns is zero.
func New(conns int) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		ctx:    ctx,
		cancel: cancel,
		transport: &http.Transport{
			DialContext:        dialer().DialContext,
			MaxConnsPerHost:    conns,
			IdleConnTimeout:    idleTimeout,
			DisableCompression: true,
		},
	}
}

func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		},
	}
}

// Close cancels the calls in flight, waits for them and closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
}

// Begin registers a call; its context ends with ctx or when the client is closed. The caller calls done at its end.
func (c *Client) Begin(ctx context.Context) (call context.Context, done func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, &ClosedError{}
	}
	c.calls.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
		c.calls.Done()
	}, nil
}

// Do sends a request of a call and returns the body of a 200 response of at most limit bytes.
func (c *Client) Do(req *http.Request, limit int64) ([]byte, error) {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is given up
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return body, nil
}
