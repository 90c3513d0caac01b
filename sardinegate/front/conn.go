package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"sardinecross.example/lib/common/limit"
)

const (
	// readBufferSize and writeBufferSize are the buffer sizes of one connection, in bytes.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// lingerTime is how long the server waits for further input after the last response of a connection, to discard it.
	// maxLinger bounds how long it goes on discarding. The other two apply to a connection that is aborted; its process may be
	// about to end.
	lingerTime      = time.Second
	maxLinger       = 5 * time.Second
	abortLingerTime = 5 * time.Millisecond
	maxAbortLinger  = 20 * time.Millisecond
	// lingerFreeBytes is how much input is discarded as fast as it comes, several times the longest body that is allowed. After that the
	// connection pauses for lingerPause before each read, so that input without end costs little processor time.
	lingerFreeBytes = 4 << 20
	lingerPause     = 2 * time.Millisecond
)

// conn is a caller's connection. One goroutine reads its requests and starts a goroutine for each request whose body is
// buffered. It serves a request with a longer body itself.
type conn struct {
	server      *Server
	nc          net.Conn
	headerLimit *limit.Reader
	head        *headMeter
	br          *bufio.Reader
	bw          *bufio.Writer
	ctx         context.Context
	cancel      context.CancelFunc
	pipelined   chan struct{} // one element per request being served; the capacity limits pipelining
	handlers    sync.WaitGroup
	accepted    time.Time
	account     account

	mu sync.Mutex
	// receiving is set while a request has begun to arrive and is not complete.
	receiving bool
	// newest is the exchange of the request read last, complete or not; nil before the first request.
	newest *exchange
	// incomplete counts the exchanges whose responses are not complete.
	incomplete int
	// writing counts the parts of responses that wait to be written.
	writing int
	// active is when the last request was received or answered.
	active time.Time
	// closing is set once a response announces the close of the connection, or endIfIdle ends it. No further request is
	// served.
	closing bool
	// endsWithConn is set while a response is being written whose end is the end of the connection.
	endsWithConn bool
	// aborted is set by abort. The read deadline stays in the past until the handlers have ended.
	aborted bool
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	headerLimit := &limit.Reader{R: nc, Remaining: limit.Unlimited}
	now := time.Now()
	c := &conn{
		server: s, nc: nc, headerLimit: headerLimit, bw: bufio.NewWriterSize(nc, writeBufferSize),
		ctx: ctx, cancel: cancel, pipelined: make(chan struct{}, maxPipelined), accepted: now, active: now,
	}
	c.head = &headMeter{c: c, r: headerLimit}
	c.br = bufio.NewReaderSize(c.head, readBufferSize)
	return c
}

// abort cancels the requests of the connection and ends its sending side without waiting for their responses. It makes the reading
// goroutine close the connection: only that one may discard the input, which would reset the connection and with it the responses
// that are sent and not yet delivered. A response that ends with the connection must not look complete, so that a reset cuts it.
func (c *conn) abort() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted, c.closing = true, true
	_ = c.nc.SetReadDeadline(time.Now()) // fails only on a closed connection
	if l, ok := c.nc.(lingerer); ok && c.endsWithConn {
		_ = l.SetLinger(0) // fails only on a closed connection
	}
	half, ok := c.nc.(closeWriter)
	if !ok || c.endsWithConn || half.CloseWrite() != nil {
		_ = c.nc.Close() // the connection is no longer used
	}
}

// lingerer is a connection that can be made to reset when it closes.
type lingerer interface{ SetLinger(sec int) error }

// closeWriter is a connection whose sending side can be closed.
type closeWriter interface{ CloseWrite() error }

// setReadDeadline sets the time that a read may take, unless the connection is aborted.
func (c *conn) setReadDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(d)
}

// setReadDeadlineLocked is setReadDeadline for callers that hold c.mu.
func (c *conn) setReadDeadlineLocked(d time.Duration) {
	if !c.aborted {
		_ = c.nc.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection
	}
}

// closeIdle makes the reading goroutine end the connection if it is idle; see endIfIdle. One without any request yet is ended once
// firstRequestTime has passed.
func (c *conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incomplete == 0 && !c.receiving && !c.closing && (c.newest != nil || now.Sub(c.accepted) > firstRequestTime) {
		_ = c.nc.SetReadDeadline(now) // fails only on a closed connection
	}
}

// endIfIdle reports whether the connection ends because every request has a complete response and no input waits. Only the reading
// goroutine may call it, while it has no input itself: any other one would not see what that has just taken from the kernel.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incomplete > 0 || !c.closing && hasInput(c.nc) {
		return false
	}
	c.closing = true
	return true
}

// endSending closes the sending side of the connection, and makes the reading goroutine go on to linger if it waits for a
// request. It returns an error if the connection has no sides or is closed.
func (c *conn) endSending() error {
	half, ok := c.nc.(closeWriter)
	if !ok {
		c.abort()
		return net.ErrClosed
	}
	err := half.CloseWrite()
	c.setIdleDeadline()
	return err
}

// beginReceiving records that a request has begun to arrive. It returns false if the connection is closing.
func (c *conn) beginReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = !c.closing
	return c.receiving
}

// serve reads and serves requests until the connection ends, waits for their handlers, and closes the connection.
func (c *conn) serve() {
	if c.take(connCost) == nil {
		c.readRequests()
	}
	c.handlers.Wait()
	c.linger()
	c.cancel()
	_ = c.nc.Close() // the connection is no longer used
}

// linger closes the sending side and discards input until the caller closes the other side, pauses for lingerTime, or has sent for
// maxLinger. While the responses are not delivered it goes on, up to writeTimeout. Input that is unread when the connection closes,
// or arrives later, resets it, and the caller could lose the last response.
func (c *conn) linger() {
	if c.endSending() != nil {
		return
	}
	discarded, total := make([]byte, readBufferSize), 0
	for begun := time.Now(); c.setLingerDeadline(begun); {
		n, err := c.nc.Read(discarded)
		if total += n; total > lingerFreeBytes && err == nil {
			time.Sleep(lingerPause)
		}
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || !hasOutput(c.nc)) {
			return
		}
	}
}

// setLingerDeadline sets the time that the next read of input to discard may take. It returns false if linger has gone on since
// begun for as long as it may.
func (c *conn) setLingerDeadline(begun time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pause, longest := lingerTime, maxLinger
	switch {
	case c.aborted:
		pause, longest = abortLingerTime, maxAbortLinger
	case hasOutput(c.nc):
		longest = writeTimeout
	}
	now := time.Now()
	_ = c.nc.SetReadDeadline(now.Add(pause)) // fails only on a closed connection
	return now.Sub(begun) < longest
}

// setIdleDeadline sets the read deadline by which the next request has to begin. None may begin after the last response.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := idleTimeout
	if c.closing && c.incomplete == 0 {
		wait = 0
	}
	c.setReadDeadlineLocked(wait)
}

// readRequests reads requests until the connection ends. If the caller closes the connection before its responses are
// complete, the contexts of its requests are cancelled.
func (c *conn) readRequests() {
	emptyLineBytes := 0 // before the next request
	for {
		c.setIdleDeadline()
		first, err := c.br.Peek(1)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && c.ctx.Err() == nil && !c.endIfIdle() {
				continue // the caller waits for its responses
			}
			c.inputEnded()
			return
		}
		if isEmptyLine(first) && emptyLineBytes < maxEmptyLineBytes {
			emptyLineBytes++
			_, _ = c.br.Discard(1) // the byte is buffered
			continue
		}
		if !c.beginReceiving() {
			return
		}
		select {
		case c.pipelined <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		if isEmptyLine(first) {
			c.server.recordClose(c, EmptyLinesExceeded) // the request is not valid
		}
		emptyLineBytes = 0
		r, err := c.readHead()
		if err != nil {
			c.rejectRequest(err)
			return
		}
		if !c.serveRequest(r) {
			return
		}
	}
}

// isEmptyLine reports whether input begins with a byte of an empty line, or of the end of a line.
func isEmptyLine(input []byte) bool { return input[0] == '\r' || input[0] == '\n' }

// unsupportedVersionError reports a request of another major version than 1, whose message syntax differs.
type unsupportedVersionError struct{ major int }

// Error implements error.
func (e unsupportedVersionError) Error() string {
	return "unsupported major version of HTTP: " + strconv.Itoa(e.major)
}

// readHead reads the request line and the header of a request.
func (c *conn) readHead() (*http.Request, error) {
	c.setReadDeadline(c.server.headTimeout())
	buffered, _ := c.br.Peek(c.br.Buffered()) // takes nothing from the connection
	if err := c.head.begin(buffered); err != nil {
		return nil, err
	}
	c.headerLimit.Remaining = maxHeaderBytes - int64(c.br.Buffered())
	r, err := http.ReadRequest(c.br)
	c.headerLimit.Remaining = limit.Unlimited
	c.head.counting = false
	if c.head.err != nil {
		return nil, c.head.err
	}
	if err == nil && r.ProtoMajor != 1 { // http.ReadRequest takes any version
		return nil, unsupportedVersionError{r.ProtoMajor}
	}
	return r, err
}

// headTimeout returns the time in which a head has to arrive.
func (s *Server) headTimeout() time.Duration {
	if s.HeaderTimeout != nil {
		if d := s.HeaderTimeout(); d > 0 {
			return min(d, headerTimeout)
		}
	}
	return headerTimeout
}

// inputEnded cancels the requests of the connection, unless its last response was sent.
func (c *conn) inputEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.incomplete > 0 {
		c.cancel()
	}
}

// requestsLeft returns the number of requests without a complete response.
func (c *conn) requestsLeft() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incomplete
}

// rejectRequest answers input that is not a valid request, after the responses to earlier requests. If the input ended
// or timed out within a request, it cancels the requests of the connection instead.
func (c *conn) rejectRequest(err error) {
	status := http.StatusBadRequest
	var header *limit.ExceededError
	var timeout net.Error
	switch {
	case errors.As(err, &header):
		status = http.StatusRequestHeaderFieldsTooLarge
		c.server.recordClose(c, HeadTooLong)
	case errors.Is(err, memoryExceededError{}):
		return // aborted
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		if timeout != nil && c.ctx.Err() == nil {
			c.server.recordClose(c, HeadTimedOut)
		}
		c.cancel()
		return
	}
	if x := c.newExchange(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}); x != nil {
		x.WriteHeader(status)
		x.finish()
	}
}

// serveRequest serves a request and reports whether another one may follow on the connection.
func (c *conn) serveRequest(r *http.Request) bool {
	x := c.newExchange(r)
	if x == nil {
		return false
	}
	x.cost = c.head.end(r)
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		r.Close = true
		x.WriteHeader(http.StatusBadRequest)
		x.finish()
		return false
	}
	if err := c.readBody(r, x); err != nil {
		c.abort()
		x.finish()
		return false
	}
	x.r = r.WithContext(c.ctx)
	c.handlers.Add(1)
	if x.longBody != nil {
		c.runHandler(x) // in the reading goroutine, since the handler reads from the connection
		return false
	}
	last := x.closeAfter // the handler sets it as well, once it writes the response
	go c.runHandler(x)
	return !last
}

// runHandler calls the handler and finishes the exchange. If the handler panics, the connection is aborted.
func (c *conn) runHandler(x *exchange) {
	defer c.handlers.Done()
	defer x.finish()
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v != http.ErrAbortHandler { //nolint:errorlint // handlers panic with this very value
			c.server.Log.Error("handler failed", "panic", v)
		}
		x.aborted = true
		c.abort()
	}()
	if x.longBody != nil {
		defer x.longBody.end()
	}
	c.server.Handler.ServeHTTP(x, x.r)
}

// readBody buffers a body of less than maxBufferedBody bytes that the request needs. Any other body becomes a longBody; the handler then reads it from
// the connection, which closes after the response.
func (c *conn) readBody(r *http.Request, x *exchange) error {
	if r.ContentLength == 0 {
		return nil
	}
	if checker := c.server.BodyChecker; checker != nil && !checker.NeedsBody(r) {
		c.setReadDeadline(bodyTimeout)
		x.setLongBody(r.Body)
		return nil
	}
	if r.Header.Get("Expect") != "" {
		if err := x.sendContinue(); err != nil {
			return err
		}
	}
	c.setReadDeadline(bodyTimeout)
	if r.ContentLength > maxBufferedBody {
		if err := x.take(maxBufferedBody * bodyCost); err != nil { // the handler buffers as much
			return err
		}
		x.setLongBody(r.Body)
		return nil
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(&bodyMeter{x, r.Body}, maxBufferedBody))
	if err != nil {
		return err
	}
	if n == maxBufferedBody {
		x.setLongBody(io.MultiReader(&buf, r.Body))
		return nil
	}
	r.ContentLength = n
	r.TransferEncoding = nil
	r.Body = io.NopCloser(&buf)
	return nil
}
