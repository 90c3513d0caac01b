package pool

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sardinecross.example/lib/common/heads"
	"sardinecross.example/lib/common/limit"
	"sardinecross.example/lib/common/stream"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// writeChunkSize is, in bytes, the largest request that is written whole before its response is awaited, and the
	// largest chunk of a body of unknown length.
	writeChunkSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no timeout in Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's own timeout an idle connection expires.
	idleMargin = time.Second
	// maxSkipped limits the responses to other requests that are skipped before the matching response.
	maxSkipped = 4
	// maxHeadBytes bounds the head of one response, in bytes.
	maxHeadBytes = 64 << 10
)

// readResult is the outcome of one read: a response, whose body is still on the connection, or an error.
type readResult struct {
	resp *http.Response
	err  error
}

// conn is a connection to an upstream. A goroutine reads from it also while it is idle, so that bytes which belong to no
// request are noticed and close it at once.
type conn struct {
	nc        *stream.Conn
	headLimit *limit.Reader
	br        *bufio.Reader
	results   chan readResult
	readNext  chan struct{} // signalled when the body of the last response was read
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// request is the request whose response is awaited; nil while the connection is idle.
	request *http.Request
	// answeredAt is when the first byte after the request was read; the zero time before that.
	answeredAt time.Time
	isClosed   bool
	// held is the memory that is released when the connection closes, in bytes.
	held int64

	reused    bool      // an earlier request was completed
	idleUntil time.Time // when the connection, if idle, expires
	onClose   func()
}

func newConn(nc *stream.Conn, onClose func()) *conn {
	headLimit := &limit.Reader{R: nc, Remaining: limit.Unlimited}
	c := &conn{
		nc:        nc,
		headLimit: headLimit,
		br:        bufio.NewReaderSize(headLimit, readBufferSize),
		results:   make(chan readResult, 1),
		readNext:  make(chan struct{}, 1),
		closed:    make(chan struct{}),
		onClose:   onClose,
	}
	go c.readResponses()
	return c
}

// close closes the connection; it may be called more than once.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.isClosed = true
		c.mu.Unlock()
		close(c.closed)
		_ = c.nc.Close() // the connection is no longer used
		c.onClose()
	})
}

// hold releases n bytes of the pool's memory when the connection closes, or now if it is closed.
func (c *conn) hold(m *limit.Memory, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		m.Release(n)
		return
	}
	c.held = n
}

// answeringFor returns the time since the first byte after the request was read, 0 before that.
func (c *conn) answeringFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.IsZero() {
		return 0
	}
	return max(time.Since(c.answeredAt), 1)
}

// usable reports whether the connection is open and its idle time has not expired.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isClosed && now.Before(c.idleUntil)
}

// expectResponse registers the request whose response is read next. It returns false if the connection is closed.
func (c *conn) expectResponse(req *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return false
	}
	c.request, c.answeredAt = req, time.Time{}
	return true
}

// readResponses reads responses until the connection fails or closes. Input without a registered request closes it.
func (c *conn) readResponses() {
	for {
		_, err := c.br.Peek(1)
		c.mu.Lock()
		req := c.request
		if err == nil && c.answeredAt.IsZero() {
			c.answeredAt = time.Now()
		}
		c.mu.Unlock()
		if req == nil {
			c.close()
			return
		}
		var resp *http.Response
		if err == nil {
			c.headLimit.Remaining = maxHeadBytes - int64(c.br.Buffered())
			resp, err = http.ReadResponse(c.br, req) //nolint:bodyclose // closing the connection ends the body
			c.headLimit.Remaining = limit.Unlimited
		}
		if err == nil {
			err = heads.Check(resp)
		}
		c.results <- readResult{resp, err}
		if err != nil {
			return
		}
		select {
		case <-c.readNext:
		case <-c.closed:
			return
		}
	}
}

// nextResponse returns the next final response for which matches returns true. It skips interim responses and responses
// to other requests, within their limits.
func (c *conn) nextResponse(done <-chan struct{}, matches func(*http.Response) bool) (*http.Response, error) {
	for skipped, interim := 0, 0; ; {
		var r readResult
		select {
		case r = <-c.results:
		case <-c.closed:
			return nil, net.ErrClosed
		case <-done:
			return nil, net.ErrClosed
		}
		if r.err != nil {
			return nil, r.err
		}
		switch {
		case r.resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, &UpgradeError{}
		case r.resp.StatusCode < http.StatusOK:
			if interim++; interim > heads.MaxInterim {
				return nil, &NoMatchingResponseError{}
			}
		case matches(r.resp):
			return r.resp, nil
		default:
			if skipped++; skipped > maxSkipped || r.resp.Close {
				return nil, &NoMatchingResponseError{}
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(r.resp.Body, maxBufferedResponse)); err != nil || n == maxBufferedResponse {
				return nil, cmp.Or(err, error(&NoMatchingResponseError{}))
			}
		}
		c.readNext <- struct{}{}
	}
}

// makeIdle prepares the connection for another request. It returns false if the response ends the connection or is
// followed by unread bytes.
func (c *conn) makeIdle(now time.Time, resp *http.Response) bool {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(resp) || c.br.Buffered() > 0 {
		return false
	}
	c.mu.Lock()
	c.request = nil
	c.mu.Unlock()
	c.reused = true
	c.idleUntil = now.Add(keepAliveTimeout(resp.Header))
	c.readNext <- struct{}{}
	return true
}

func hasBody(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// keepAliveTimeout returns the timeout of the Keep-Alive header less idleMargin, or defaultIdleTimeout without one.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// writeRequest sends a request and delivers the result on the returned channel. A request without a body, or of at most
// writeChunkSize bytes, is written before writeRequest returns, any other by a separate goroutine.
func (c *conn) writeRequest(header []byte, body io.Reader) <-chan error {
	written := make(chan error, 1)
	send := func() error {
		if _, err := c.nc.Write(header); err != nil {
			return err
		}
		if body == nil {
			return nil
		}
		_, err := io.Copy(c.nc, body)
		return err
	}
	if r, ok := body.(*bytes.Reader); ok && r.Len()+len(header) <= writeChunkSize {
		header = append(header, make([]byte, r.Len())...)
		_, _ = io.ReadFull(r, header[len(header)-r.Len():]) // cannot fail: the buffer has the length of the body
		body = nil
	}
	if body == nil {
		written <- send()
		return written
	}
	go func() { written <- send() }()
	return written
}
