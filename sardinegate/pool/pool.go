// Package pool sends requests to upstreams over persistent connections. It never sends a request twice.
package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/common/limit"
	"sardinecross.example/lib/common/stream"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive probes, which detect a peer that
	// no longer answers.
	keepAliveIdle, keepAliveInterval, keepAliveCount = 2 * time.Second, time.Second, 2
	// sweepInterval is the time between checks for idle connections that have expired.
	sweepInterval = time.Second
	// maxBufferedResponse is the largest response body, in bytes, that Do reads completely before it returns, if memory
	// allows.
	maxBufferedResponse = 1 << 20
	// maxBufferedTotal bounds the bytes of response bodies beyond bodyStep that the pool buffers at the same time. If it is
	// reached, Do returns when it has read bodyStep bytes or more of a body.
	maxBufferedTotal = 32 << 20
	// bodyStep is the size of the first step in which a body is buffered, in bytes. Each further step doubles what is
	// buffered.
	bodyStep = 64 << 10
	// initialBodyBuffer is the initial buffer size for a response body of unknown length, in bytes.
	initialBodyBuffer = 8 << 10
)

// Request is a request to the upstream at Address.
type Request struct {
	Address string
	Method  string
	// RequestURI is the request target exactly as the caller sent it.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// BodyRest is the part of the body after Body if the body was too long to buffer, else nil. With BodyRest,
	// ContentLength is the length of the whole body, negative if unknown.
	BodyRest      io.Reader
	ContentLength int64
	// Matches reports whether a response belongs to this request. Do skips other responses.
	Matches func(*http.Response) bool
	// Used holds the connections of earlier attempts of the same request, whose responses Matches does not tell from those of this
	// one. Do uses none of them and adds its own. It is nil if there are no other attempts.
	Used *Used
	// MaySend, if not nil, is asked when a connection is open, right before the request is written to it. If it returns
	// false, Do fails with a WithheldError.
	MaySend func() bool
	// OnHeader, if not nil, is called with the status and the header of the matching response before its body is read.
	OnHeader func(status int, h http.Header)
}

// Response is the response of an upstream. Body holds the whole body, or its beginning if BodyRest is set.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyRest reads the part of the body after Body; nil if Body is the whole body. The caller of Do must close it.
	BodyRest io.ReadCloser
	// ContentLength is the length of the whole body, or the declared length if the response cannot have a body (HEAD);
	// -1 if unknown.
	ContentLength int64
}

// Pool holds persistent connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// Dials counts the attempts to open a connection.
	Dials               atomic.Int64
	maxConnsPerUpstream atomic.Int64
	memory              *limit.Memory // for the bodies of responses
	stopSweep           chan struct{}
	wg                  sync.WaitGroup

	mu        sync.Mutex
	idle      map[string][]*conn // by upstream address, the connection used last at the end
	openCount map[string]int     // by upstream address, including connections being opened
	conns     map[*conn]struct{}
	closed    bool
}

// New returns an empty pool. Close stops its goroutine.
func New() *Pool {
	p := &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}},
		memory:    limit.NewMemory(maxBufferedTotal),
		stopSweep: make(chan struct{}),
		idle:      make(map[string][]*conn),
		openCount: make(map[string]int),
		conns:     make(map[*conn]struct{}),
	}
	p.wg.Go(func() {
		t := time.NewTicker(sweepInterval)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				p.closeExpired(now)
			case <-p.stopSweep:
				return
			}
		}
	})
	return p
}

// SetMaxConnsPerUpstream limits the connections to one upstream; 0 means no limit.
func (p *Pool) SetMaxConnsPerUpstream(n int) { p.maxConnsPerUpstream.Store(int64(n)) }

// Close closes all connections and stops the goroutine of the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	all := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		all = append(all, c)
	}
	p.mu.Unlock()
	close(p.stopSweep)
	for _, c := range all {
		c.close()
	}
	p.wg.Wait()
}

// closeExpired closes the idle connections that are no longer usable.
func (p *Pool) closeExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		keep := conns[:0]
		for _, c := range conns {
			if c.usable(now) {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// acquire returns an idle connection that is not in used, or opens a new one within the limit.
func (p *Pool) acquire(ctx context.Context, address string, used *Used) (*conn, error) {
	for c := p.takeIdle(address, used); c != nil; c = p.takeIdle(address, used) {
		if c.usable(time.Now()) && !used.holds(c) {
			return c, nil
		}
		c.close()
	}
	return p.open(ctx, address)
}

// takeIdle removes and returns the idle connection that was used last and is not in used. If there are only others, it returns one of
// them, so that it can be closed in favour of a new one. It returns nil if there is none.
func (p *Pool) takeIdle(address string, used *Used) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	i := len(conns) - 1
	for i > 0 && used.holds(conns[i]) {
		i--
	}
	c := conns[i]
	p.idle[address] = slices.Delete(conns, i, i+1)
	return c
}

// open opens a connection within the limit.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	if limit := p.maxConnsPerUpstream.Load(); p.closed || limit > 0 && int64(p.openCount[address]) >= limit {
		p.mu.Unlock()
		return nil, &ConnLimitError{address}
	}
	p.openCount[address]++
	p.mu.Unlock()
	p.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.decrementOpenCount(address)
		return nil, &ConnectError{address, err}
	}
	var c *conn
	c = newConn(stream.NewConn(nc), func() {
		p.memory.Release(c.held)
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		p.decrementOpenCount(address)
	})
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

func (p *Pool) decrementOpenCount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[address]--; p.openCount[address] <= 0 {
		delete(p.openCount, address)
	}
}

func (p *Pool) putIdle(address string, c *conn) {
	p.mu.Lock()
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

// Do sends a request once and returns its response. If ctx ends before the response is complete, the connection closes.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.prepare(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	resp, err := p.roundTrip(ctx, c, r, stop)
	if err != nil {
		stop()
		answeringFor := c.answeringFor()
		c.close()
		return nil, &ExchangeError{r.Address, c.reused, answeringFor > 0, answeringFor, err}
	}
	return resp, nil
}

// prepare returns a connection on which the response to r is awaited. Nothing is sent before, so that another one can replace an idle
// connection that its upstream has closed meanwhile.
func (p *Pool) prepare(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, err := p.acquire(ctx, r.Address, r.Used)
		if err != nil {
			return nil, err
		}
		if r.MaySend != nil && !r.MaySend() {
			c.close()
			return nil, &WithheldError{r.Address}
		}
		if c.expectResponse(&http.Request{Method: r.Method}) {
			r.Used.add(c)
			return c, nil
		}
		if !c.reused {
			return nil, &ConnectError{r.Address, net.ErrClosed}
		}
	}
}

// roundTrip sends r over c and reads the response. stop detaches c from the context.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r *Request, stop func() bool) (*Response, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	if r.BodyRest != nil {
		body = io.MultiReader(bytes.NewReader(r.Body), r.BodyRest)
		if r.ContentLength < 0 {
			body = &chunkedReader{r: body}
		}
	}
	written := c.writeRequest(r.encodeHeader(), body)
	resp, err := c.nextResponse(ctx.Done(), r.Matches) //nolint:bodyclose // closing the connection ends the body
	if err != nil {
		return nil, err
	}
	if r.OnHeader != nil {
		r.OnHeader(resp.StatusCode, resp.Header)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength}
	buffered, taken, whole, err := p.readBody(resp)
	if err != nil || whole {
		p.memory.Release(taken)
	}
	if err != nil {
		return nil, err
	}
	out.Body = buffered
	if !whole {
		c.hold(p.memory, taken)
		out.BodyRest = &bodyRest{Reader: resp.Body, close: func() { stop(); c.close() }}
		return out, nil
	}
	out.ContentLength = int64(len(out.Body))
	if !hasBody(resp) {
		out.ContentLength = resp.ContentLength
	}
	p.keepOrClose(c, r.Address, resp, written, stop)
	return out, nil
}

// keepOrClose makes the connection idle if the whole request was written and the whole response read before the context
// ended. Otherwise it closes the connection.
func (p *Pool) keepOrClose(c *conn, address string, resp *http.Response, written <-chan error, stop func() bool) {
	keep := false
	select {
	case err := <-written:
		keep = err == nil
	default:
	}
	if stop() && keep && c.makeIdle(time.Now(), resp) {
		p.putIdle(address, c)
		return
	}
	c.close()
}

// readBody reads a body, or the beginning of one that is longer than maxBufferedResponse or than the pool's memory allows.
// whole is set if it has read the end. taken is the memory that it took, in bytes.
func (p *Pool) readBody(resp *http.Response) (body []byte, taken int64, whole bool, err error) {
	capacity, end := int64(initialBodyBuffer), int64(bodyStep)
	if n := resp.ContentLength; n >= 0 {
		capacity = min(n, bodyStep)
		if n > bodyStep && n <= maxBufferedResponse && p.memory.Take(n) {
			capacity, end, taken = n, n+1, n
		}
	}
	buf := bytes.NewBuffer(make([]byte, 0, capacity+bytes.MinRead))
	for {
		_, err = buf.ReadFrom(io.LimitReader(resp.Body, end-int64(buf.Len())))
		switch n := int64(buf.Len()); {
		case err != nil || n < end:
			return buf.Bytes(), taken, true, err
		case n > maxBufferedResponse || !p.memory.Take(end):
			return buf.Bytes(), taken, false, nil
		}
		taken += end
		end = min(2*end, maxBufferedResponse+1)
		// A buffer that grows by itself would take up to twice the memory.
		larger := make([]byte, 0, end+bytes.MinRead)
		buf = bytes.NewBuffer(append(larger, buf.Bytes()...))
	}
}

// bodyRest reads the part of a long response body that is not buffered. Close also closes the connection.
type bodyRest struct {
	io.Reader
	close func()
}

// Close implements io.Closer.
func (f *bodyRest) Close() error {
	f.close()
	return nil
}

// encodeHeader returns the request line and the header, with the field that frames the body.
func (r *Request) encodeHeader() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	switch {
	case r.BodyRest != nil && r.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.BodyRest != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// chunkedReader encodes a body of unknown length in the chunked transfer coding.
type chunkedReader struct {
	r         io.Reader
	encoded   bytes.Buffer
	sourceEOF bool
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.encoded.Len() == 0 {
		if c.sourceEOF {
			return 0, io.EOF
		}
		buf := make([]byte, writeChunkSize)
		n, err := c.r.Read(buf)
		if n > 0 {
			c.encoded.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			c.encoded.Write(buf[:n])
			c.encoded.WriteString("\r\n")
		}
		if errors.Is(err, io.EOF) {
			c.sourceEOF = true
			c.encoded.WriteString("0\r\n\r\n")
		} else if err != nil {
			return 0, err
		}
	}
	return c.encoded.Read(p)
}
