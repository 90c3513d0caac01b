// Package pool exchanges requests and responses with upstreams over kept connections. It never repeats a request.
package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 400 * time.Millisecond
	// probeIdle, probeEvery and probeCount detect a connection that went silent.
	probeIdle, probeEvery, probeCount = 2 * time.Second, time.Second, 2
	// sweepEvery is the time between searches for expired idle connections.
	sweepEvery = time.Second
	// bufferedBody is the largest response body, in bytes, that is read whole before it is delivered.
	bufferedBody = 1 << 20
	// firstRead is the least buffer for a body of unknown length, in bytes.
	firstRead = 8 << 10
)

// Request is one attempt at an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Further is the rest of a body that was too long to buffer; Length is the whole length then, -1 if unknown.
	Further io.Reader
	Length  int64
	// Accept tells the response to this request from others.
	Accept func(*http.Response) bool
}

// Response is a response whose body is complete, or is followed by Further.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Further is nil if Body is the whole body. It has to be closed.
	Further io.ReadCloser
	// Length is the length of the whole body, -1 if unknown.
	Length int64
}

// Pool keeps connections to upstreams; it is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// Dials counts new connections.
	Dials atomic.Int64
	limit atomic.Int64
	stop  chan struct{}
	done  sync.WaitGroup

	mu    sync.Mutex
	idle  map[string][]*conn
	open  map[string]int
	conns map[*conn]struct{}
	shut  bool
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		}},
		stop:  make(chan struct{}),
		idle:  make(map[string][]*conn),
		open:  make(map[string]int),
		conns: make(map[*conn]struct{}),
	}
	p.done.Go(func() {
		t := time.NewTicker(sweepEvery)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				p.sweep(now)
			case <-p.stop:
				return
			}
		}
	})
	return p
}

// SetLimit bounds the connections to one upstream; 0 is no bound.
func (p *Pool) SetLimit(n int) { p.limit.Store(int64(n)) }

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	p.shut = true
	all := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		all = append(all, c)
	}
	p.mu.Unlock()
	close(p.stop)
	for _, c := range all {
		c.close()
	}
	p.done.Wait()
}

func (p *Pool) sweep(now time.Time) {
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

// get returns an idle connection or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	for {
		conns := p.idle[address]
		if len(conns) == 0 {
			break
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		if c.usable(now) {
			p.mu.Unlock()
			return c, nil
		}
		go c.close()
	}
	if limit := p.limit.Load(); p.shut || limit > 0 && int64(p.open[address]) >= limit {
		p.mu.Unlock()
		return nil, &BusyError{address}
	}
	p.open[address]++
	p.mu.Unlock()
	p.Dials.Add(1)
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &UnreachedError{address, err}
	}
	var c *conn
	c = newConn(nc, func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		p.release(address)
	})
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	p.idle[address] = append(p.idle[address], c)
	p.mu.Unlock()
}

// Do sends a request once and returns its response. The end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	resp, err := p.exchange(ctx, c, r, stop)
	if err != nil {
		stop()
		c.mu.Lock()
		answered := c.answered
		c.mu.Unlock()
		c.close()
		return nil, &BrokenError{r.Address, c.reused, answered, err}
	}
	return resp, nil
}

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request, stop func() bool) (*Response, error) {
	req := &http.Request{Method: r.Method}
	if !c.begin(req) {
		return nil, net.ErrClosed
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	if r.Further != nil {
		body = io.MultiReader(bytes.NewReader(r.Body), r.Further)
		if r.Length < 0 {
			body = &chunker{r: body}
		}
	}
	written := c.write(r.head(), body)
	resp, err := c.next(ctx.Done(), r.Accept) //nolint:bodyclose // the body ends with the connection
	if err != nil {
		return nil, err
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	out.Body, err = readBody(resp)
	if err != nil {
		return nil, err
	}
	if len(out.Body) > bufferedBody {
		out.Further = &further{Reader: resp.Body, close: func() { stop(); c.close() }}
		return out, nil
	}
	out.Length = int64(len(out.Body))
	if !hasBody(resp) {
		out.Length = resp.ContentLength
	}
	p.finish(c, r.Address, resp, written, stop)
	return out, nil
}

// finish keeps the connection if the whole request was written and the whole response read.
func (p *Pool) finish(c *conn, address string, resp *http.Response, written <-chan error, stop func() bool) {
	keep := false
	select {
	case err := <-written:
		keep = err == nil
	default:
	}
	if stop() && keep && c.finish(time.Now(), resp) {
		p.put(address, c)
		return
	}
	c.close()
}

// readBody reads a body up to one byte above the buffered size.
func readBody(resp *http.Response) ([]byte, error) {
	n := int64(firstRead)
	if resp.ContentLength >= 0 {
		n = min(resp.ContentLength, bufferedBody)
	}
	buf := bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	_, err := buf.ReadFrom(io.LimitReader(resp.Body, bufferedBody+1))
	return buf.Bytes(), err
}

// further is the rest of a long body.
type further struct {
	io.Reader
	close func()
}

// Close implements io.Closer.
func (f *further) Close() error {
	f.close()
	return nil
}

// head returns the request line and headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer takes all
	switch {
	case r.Further != nil && r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Further != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// chunker encodes a body of unknown length in chunks.
type chunker struct {
	r    io.Reader
	out  bytes.Buffer
	done bool
}

// Read implements io.Reader.
func (c *chunker) Read(p []byte) (int, error) {
	if c.out.Len() == 0 {
		if c.done {
			return 0, io.EOF
		}
		buf := make([]byte, writeChunk)
		n, err := c.r.Read(buf)
		if n > 0 {
			c.out.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			c.out.Write(buf[:n])
			c.out.WriteString("\r\n")
		}
		if errors.Is(err, io.EOF) {
			c.done = true
			c.out.WriteString("0\r\n\r\n")
		} else if err != nil {
			return 0, err
		}
	}
	return c.out.Read(p)
}
