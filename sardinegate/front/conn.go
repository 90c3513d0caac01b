package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readBuffer and writeBuffer are sizes in bytes.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// lingerTime is how long a connection is read after its last response.
	lingerTime = 300 * time.Millisecond
)

// conn is a caller's connection. One goroutine reads its requests; each is served by a goroutine of its own.
type conn struct {
	server *Server
	nc     net.Conn
	limit  *limitedReader
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	ahead  chan struct{} // holds an element for each request that is served
	active sync.WaitGroup

	mu sync.Mutex
	// last is the newest exchange, served or not; nil before the first.
	last *exchange
	// open counts exchanges without a complete response.
	open int
	// ending is set once a response ends the connection: no further request is served.
	ending bool
}

// limitedReader fails once a header is longer than allowed.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, &headerError{}
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}

// headerError reports headers above the limit.
type headerError struct{}

// Error implements error.
func (*headerError) Error() string { return "headers above the limit" }

// unlimited is the budget of a reader without a limit.
const unlimited = 1 << 62

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitedReader{nc, unlimited}
	return &conn{
		server: s, nc: nc, limit: limit,
		br: bufio.NewReaderSize(limit, readBuffer), bw: bufio.NewWriterSize(nc, writeBuffer),
		ctx: ctx, cancel: cancel, ahead: make(chan struct{}, maxAhead),
	}
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close() // nothing is left to lose
}

// closeIdle ends the connection if no request is served on it.
func (c *conn) closeIdle() {
	c.mu.Lock()
	idle := c.open == 0
	if idle {
		c.ending = true
	}
	c.mu.Unlock()
	if idle {
		c.abort()
	}
}

func (c *conn) serve() {
	c.readRequests()
	c.active.Wait()
	c.linger()
	c.abort()
}

// linger lets the last response arrive: closing a connection with unread bytes would reset it.
func (c *conn) linger() {
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || c.ctx.Err() != nil || tcp.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	_, _ = io.Copy(io.Discard, c.nc)                     // ends with the deadline or the caller's end
}

// awaitRequest sets the time for which the next request is awaited.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := idleTimeout
	if c.ending && c.open == 0 {
		wait = lingerTime
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(wait)) // fails only on a closed connection
}

// readRequests reads requests until the connection ends. When the caller leaves, the contexts of its requests end.
func (c *conn) readRequests() {
	for {
		c.awaitRequest()
		if _, err := c.br.Peek(1); err != nil {
			if !c.ends() {
				c.cancel()
			}
			return
		}
		select {
		case c.ahead <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(headerTimeout)) // fails only on a closed connection
		c.limit.left = maxHeaderBytes - int64(c.br.Buffered())
		r, err := http.ReadRequest(c.br)
		c.limit.left = unlimited
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.take(r) {
			return
		}
	}
}

// ends reports whether a response ends the connection anyway.
func (c *conn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.open == 0
}

// refuse answers what is no request, after the responses before it.
func (c *conn) refuse(err error) {
	status := http.StatusBadRequest
	var header *headerError
	var timeout net.Error
	switch {
	case errors.As(err, &header):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		c.cancel()
		return
	}
	if x := c.exchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}); x != nil {
		x.WriteHeader(status)
		x.finish()
	}
}

// take serves a request and reports whether another one may follow.
func (c *conn) take(r *http.Request) bool {
	x := c.exchange(r)
	if x == nil {
		return false
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		r.Close = true
		x.WriteHeader(http.StatusBadRequest)
		x.finish()
		return false
	}
	long, err := c.readBody(r, x)
	if err != nil {
		c.abort()
		x.finish()
		return false
	}
	x.r = r.WithContext(c.ctx)
	c.active.Add(1)
	if long {
		// The next request begins after this body.
		c.run(x)
		_, err := io.CopyN(io.Discard, r.Body, 1)
		return errors.Is(err, io.EOF) && !x.closeAfter
	}
	go c.run(x)
	return !x.closeAfter
}

func (c *conn) run(x *exchange) {
	defer c.active.Done()
	defer x.finish()
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v != http.ErrAbortHandler { //nolint:errorlint // the value that handlers panic with
			c.server.Log.Error("handler failed", "panic", v)
		}
		x.aborted = true
		c.abort()
	}()
	c.server.Handler.ServeHTTP(x, x.r)
}

// readBody buffers a short body and reports whether the body is longer.
func (c *conn) readBody(r *http.Request, x *exchange) (long bool, err error) {
	if r.ContentLength == 0 {
		return false, nil
	}
	if r.Header.Get("Expect") != "" {
		if err := x.proceed(); err != nil {
			return false, err
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
	if r.ContentLength > maxBufferedBody {
		x.closeAfter = true
		return true, nil
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(r.Body, maxBufferedBody))
	if err != nil {
		return false, err
	}
	if n == maxBufferedBody {
		x.closeAfter = true
		r.Body = io.NopCloser(io.MultiReader(&buf, r.Body))
		return true, nil
	}
	r.ContentLength = n
	r.TransferEncoding = nil
	r.Body = io.NopCloser(&buf)
	return false, nil
}
