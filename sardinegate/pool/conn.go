package pool

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// readBuffer and writeChunk are sizes in bytes.
	readBuffer = 4 << 10
	// writeChunk is the largest request written before its response is read.
	writeChunk = 4 << 10
	// idleLimit is how long a connection is kept if the upstream does not say how long it keeps it.
	idleLimit = 4 * time.Second
	// idleMargin is how long before the upstream's limit an idle connection is closed.
	idleMargin = time.Second
	// maxSkipped bounds the responses to other requests that are skipped while one is awaited.
	maxSkipped = 4
	// maxInterim bounds the interim responses before a final one.
	maxInterim = 8
)

// reply is what the reading goroutine of a connection hands over: the head of a response or an error.
type reply struct {
	resp *http.Response
	err  error
}

// conn is a connection to an upstream. One goroutine reads it, so that bytes without a request are noticed at once.
type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	replies chan reply
	resume  chan struct{} // the body of the last response was consumed
	closed  chan struct{}
	once    sync.Once

	mu sync.Mutex
	// request is nil while no request is waiting.
	request  *http.Request
	answered bool
	dead     bool

	reused    bool
	idleUntil time.Time
	onClose   func()
}

func newConn(nc net.Conn, onClose func()) *conn {
	c := &conn{
		nc:      nc,
		br:      bufio.NewReaderSize(nc, readBuffer),
		replies: make(chan reply, 1),
		resume:  make(chan struct{}, 1),
		closed:  make(chan struct{}),
		onClose: onClose,
	}
	go c.read()
	return c
}

// close ends the connection; it may be called more than once.
func (c *conn) close() {
	c.once.Do(func() {
		c.mu.Lock()
		c.dead = true
		c.mu.Unlock()
		close(c.closed)
		_ = c.nc.Close() // nothing is left to lose
		c.onClose()
	})
}

func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead && now.Before(c.idleUntil)
}

// begin registers the request whose response is read next.
func (c *conn) begin(req *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.request, c.answered = req, false
	return true
}

func (c *conn) read() {
	for {
		_, err := c.br.Peek(1)
		c.mu.Lock()
		req := c.request
		c.answered = c.answered || err == nil
		c.mu.Unlock()
		if req == nil {
			c.close()
			return
		}
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.br, req) //nolint:bodyclose // the body ends with the connection
		}
		c.replies <- reply{resp, err}
		if err != nil {
			return
		}
		select {
		case <-c.resume:
		case <-c.closed:
			return
		}
	}
}

// next returns the next final response that accept takes; others are skipped.
func (c *conn) next(done <-chan struct{}, accept func(*http.Response) bool) (*http.Response, error) {
	for skipped, interim := 0, 0; ; {
		var r reply
		select {
		case r = <-c.replies:
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
			if interim++; interim > maxInterim {
				return nil, &UnsolicitedError{}
			}
		case accept(r.resp):
			return r.resp, nil
		default:
			if skipped++; skipped > maxSkipped || r.resp.Close {
				return nil, &UnsolicitedError{}
			}
			if _, err := io.Copy(io.Discard, r.resp.Body); err != nil {
				return nil, err
			}
		}
		c.resume <- struct{}{}
	}
}

// finish prepares the connection for another request and reports whether it can take one.
func (c *conn) finish(now time.Time, resp *http.Response) bool {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(resp) || c.br.Buffered() > 0 {
		return false
	}
	c.mu.Lock()
	c.request = nil
	c.mu.Unlock()
	c.reused = true
	c.idleUntil = now.Add(keepFor(resp.Header))
	c.resume <- struct{}{}
	return true
}

func hasBody(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// keepFor returns how long the upstream keeps an idle connection, less the margin.
func keepFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return idleLimit
}

// write sends a request. The returned channel holds the result; a request in one chunk is written before write returns.
func (c *conn) write(head []byte, body io.Reader) <-chan error {
	written := make(chan error, 1)
	send := func() error {
		if _, err := c.nc.Write(head); err != nil {
			return err
		}
		if body == nil {
			return nil
		}
		_, err := io.Copy(c.nc, body)
		return err
	}
	if r, ok := body.(*bytes.Reader); ok && r.Len()+len(head) <= writeChunk {
		head = append(head, make([]byte, r.Len())...)
		_, _ = io.ReadFull(r, head[len(head)-r.Len():]) // the length is exact
		body = nil
	}
	if body == nil {
		written <- send()
		return written
	}
	go func() { written <- send() }()
	return written
}
