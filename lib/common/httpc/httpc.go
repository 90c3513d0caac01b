// Package httpc provides the HTTP client on which the clients of the platform's services are built.
package httpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sardinecross.example/lib/common/heads"
	"sardinecross.example/lib/common/stream"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = time.Minute // after which an unused connection is closed
	// maxHeadBytes bounds the head of a response, in bytes. The default of net/http is 10 MB for each call in progress.
	maxHeadBytes = 64 << 10
	// The keep-alive settings detect a connection whose remote machine no longer responds: probes are sent after
	// keepAliveIdle without traffic, then every keepAliveInterval, and the connection fails after keepAliveCount
	// unanswered ones. The remote kernel answers them, so a slow server process does not fail the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// StatusError reports a response with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected response status %d", e.Status)
}

// SizeError reports a request or response body that exceeds a limit of the client. The limit is in bytes.
type SizeError struct{ Limit int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("size exceeds the limit of %d bytes", e.Limit) }

// ClosedError reports a call on a closed client.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "client is closed" }

// Client sends HTTP requests to one service. It is safe for concurrent use.
type Client struct {
	transport heads.Transport
	ctx       context.Context
	cancel    context.CancelFunc

	mu sync.Mutex
	// closed is set by Close; Begin rejects every call after that.
	closed bool
	// calls counts the calls in progress, for which Close waits.
	calls sync.WaitGroup
}

// New returns a client that opens at most maxConns connections to an address; zero means no limit.
func New(maxConns int) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		ctx:    ctx,
		cancel: cancel,
		transport: heads.Transport{Transport: &http.Transport{
			DialContext:            stream.DialContext(dialer()),
			MaxConnsPerHost:        maxConns,
			MaxResponseHeaderBytes: maxHeadBytes,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
		}},
	}
}

func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// Close cancels the calls in progress, waits for them to end and closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
}

// Begin registers a call, so that Close waits for it. The returned context is cancelled when ctx ends or the client is
// closed. The function that made the call must invoke done when the call ends. Begin fails with *ClosedError after Close.
func (c *Client) Begin(ctx context.Context) (callCtx context.Context, done func(), err error) {
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

// Do sends a request and returns the body of the response. It fails with *StatusError if the status is not 200 and with
// *SizeError if the body is longer than limit bytes. A response that is cut, or whose head is not valid, is another error: it says
// nothing about the request. The request's context must come from Begin.
func (c *Client) Do(req *http.Request, limit int64) ([]byte, error) {
	body, _, err := c.DoWithHeader(req, limit)
	return body, err
}

// DoWithHeader is Do and returns the header of the response as well, also beside a *StatusError. The header is nil if there was no
// response.
func (c *Client) DoWithHeader(req *http.Request, limit int64) ([]byte, http.Header, error) {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read or is discarded
	if resp.StatusCode != http.StatusOK {
		return nil, resp.Header, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, resp.Header, err
	}
	if int64(len(body)) > limit {
		return nil, resp.Header, &SizeError{Limit: limit}
	}
	return body, resp.Header, nil
}
