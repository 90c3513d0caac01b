// Package proxy carries out single attempts of requests at upstreams.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sardinecross.example/lib/core"
)

const (
	// dialTimeout is far above the delay between data centres; a dial that takes longer is a lost packet or a dead host.
	dialTimeout = time.Second
	// idleTimeout closes connections that a quiet class no longer needs.
	idleTimeout = 90 * time.Second
	// unusedTimeout drops the transport of an upstream that left; it exceeds idleTimeout, so no connection is left in it.
	unusedTimeout = 5 * time.Minute
	// maxAnswerHeaderBytes bounds the memory of an upstream's answer head.
	maxAnswerHeaderBytes = 64 << 10
	// maxShedBytes is read of the body of a shed answer to keep the connection usable.
	maxShedBytes = 4 << 10
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 4 << 10
)

// Config holds the settings of a client.
type Config struct {
	// LocalIP is the source address of connections; the zero value leaves it to the system.
	LocalIP netip.Addr
	// MaxConns is the most connections to one upstream.
	MaxConns int
	// CaptureBytes is the greatest body that is captured.
	CaptureBytes int
	// Now returns the time on the reducer's clock.
	Now func() time.Duration
}

// Request is one attempt's request. Header and Body are shared between attempts and not modified.
type Request struct {
	// Address is the upstream's IP and port.
	Address string
	Method  string
	// Path and RawPath are as in url.URL.
	Path, RawPath, RawQuery string
	// Header holds end-to-end fields only.
	Header http.Header
	Body   []byte
	// Deadline ends the attempt; StartBy is the last time at which the first byte may leave.
	Deadline, StartBy time.Duration
	Idempotent        bool
	Capture           bool
}

// Result is how an attempt ended.
type Result struct {
	Outcome core.Outcome
	Took    time.Duration
	NewConn bool
	// Refused reports, with OutcomeNotSent, that the upstream refused a connection or did not accept one in time.
	Refused bool
	// Answer is the captured answer, or nil.
	Answer *core.Answer
	// Err is the cause of an outcome other than a complete answer, if there is one.
	Err error
}

// Client sends requests to upstreams; it is safe for concurrent use.
type Client struct {
	cfg    Config
	dialer net.Dialer

	mu sync.Mutex
	// upstreams is keyed by address.
	upstreams map[string]*upstream
	// swept is when unused upstreams were last dropped.
	swept time.Duration
}

type upstream struct {
	transport *http.Transport
	// used is when the last attempt started; it is guarded by the client's mutex.
	used time.Duration
}

// New returns a client.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, upstreams: make(map[string]*upstream)}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	if cfg.LocalIP.IsValid() {
		c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.LocalIP, 0))
	}
	return c
}

// Close closes idle connections; attempts must have ended.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		u.transport.CloseIdleConnections()
	}
	clear(c.upstreams)
}

func (c *Client) transport(address string) *http.Transport {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[address]
	if u == nil {
		c.sweep(now)
		u = &upstream{transport: c.newTransport()}
		c.upstreams[address] = u
	}
	u.used = now
	return u.transport
}

// sweep drops the transports of upstreams that have not been used for long.
func (c *Client) sweep(now time.Duration) {
	if now-c.swept < unusedTimeout {
		return
	}
	c.swept = now
	for address, u := range c.upstreams {
		if now-u.used > unusedTimeout {
			u.transport.CloseIdleConnections()
			delete(c.upstreams, address)
		}
	}
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        c.cfg.MaxConns,
		MaxIdleConnsPerHost:    c.cfg.MaxConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if g, ok := ctx.Value(guardKey{}).(*guard); ok {
		g.dialled.Store(true)
	}
	nc, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

// Attempt is one attempt at one upstream.
type Attempt struct {
	client  *Client
	req     Request
	guard   guard
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Duration
	// expires is the deadline on the wall clock. It is taken at the start, so that a frozen host does not move it.
	expires time.Time
	nonce   string
}

// NewAttempt prepares an attempt; Do or Abort must follow.
func (c *Client) NewAttempt(req Request) *Attempt {
	// The wall clock is read first: a pause in between makes the deadline earlier, not later.
	wall := time.Now()
	a := &Attempt{client: c, req: req, started: c.cfg.Now()}
	a.expires = wall.Add(req.Deadline - a.started)
	a.guard.startBy, a.guard.now = req.StartBy, c.cfg.Now
	a.nonce = strconv.FormatUint(rand.Uint64(), 36)
	a.ctx, a.cancel = context.WithTimeout(context.Background(), req.Deadline-a.started)
	return a
}

// Cancel ends the attempt early if that cannot interrupt a request that must not run twice.
func (a *Attempt) Cancel() {
	if a.req.Idempotent || a.guard.seal() {
		a.cancel()
	}
}

// Abort ends the attempt at once, even if that interrupts the upstream.
func (a *Attempt) Abort() { a.cancel() }

// Do sends the request and reads the head of the answer. Without an answer the result is final;
// otherwise Answer.Copy gives the result.
func (a *Attempt) Do() (*Answer, Result) {
	resp, err := a.send()
	if err != nil {
		defer a.cancel()
		return nil, a.result(a.failure(err), err)
	}
	if outcome, err := a.check(resp); err != nil {
		defer a.cancel()
		a.reject(resp, outcome)
		return nil, a.result(outcome, err)
	}
	return a.answer(resp), Result{}
}

// send sends the request. A kept connection may turn out to be closed before a byte has left; the request then goes to another one.
func (a *Attempt) send() (*http.Response, error) {
	transport := a.client.transport(a.req.Address)
	for n := 1; ; n++ {
		a.guard.connected.Store(false)
		resp, err := transport.RoundTrip(a.request())
		if err == nil || n > a.client.cfg.MaxConns || !a.guard.unused() || a.ctx.Err() != nil {
			return resp, err
		}
	}
}

func (a *Attempt) request() *http.Request {
	ctx := httptrace.WithClientTrace(withGuard(a.ctx, &a.guard), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				a.guard.connected.Store(true)
				c.guard.Store(&a.guard)
			}
		},
	})
	req := &http.Request{
		Method:     a.req.Method,
		URL:        &url.URL{Scheme: "http", Host: a.req.Address, Path: a.req.Path, RawPath: a.req.RawPath, RawQuery: a.req.RawQuery},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     a.header(),
		Host:       a.req.Address,
	}
	if len(a.req.Body) > 0 {
		// Without GetBody net/http cannot send the body a second time.
		req.Body = io.NopCloser(bytes.NewReader(a.req.Body))
		req.ContentLength = int64(len(a.req.Body))
	}
	return req.WithContext(ctx)
}

func (a *Attempt) header() http.Header {
	h := make(http.Header, len(a.req.Header)+4)
	for k, v := range a.req.Header {
		h[k] = v
	}
	if !a.req.Idempotent {
		// net/http repeats requests that carry these fields when a kept connection fails.
		delete(h, "Idempotency-Key")
		delete(h, "X-Idempotency-Key")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	left := a.req.Deadline - a.started
	h["X-Request-Timeout"] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	h["X-Request-Deadline"] = []string{strconv.FormatInt(a.expires.UnixMilli(), 10)}
	h["X-Request-Nonce"] = []string{a.nonce}
	return h
}

// failure returns the outcome of a request without an answer.
func (a *Attempt) failure(err error) core.Outcome {
	switch {
	case a.guard.seal():
		return core.OutcomeNotSent
	case errors.Is(err, context.DeadlineExceeded):
		return core.OutcomeDeadline
	case errors.Is(err, context.Canceled):
		return core.OutcomeCancelled
	}
	return core.OutcomeReset
}

// check reports an answer that must not be passed on.
func (a *Attempt) check(resp *http.Response) (core.Outcome, error) {
	if resp.Header.Get("X-Request-Nonce") != a.nonce {
		return core.OutcomeMismatched, &MismatchError{Address: a.req.Address}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Run") == "true" {
		return core.OutcomeShed, &ShedError{Address: a.req.Address}
	}
	if resp.StatusCode < http.StatusOK {
		return core.OutcomeTruncated, &StatusError{Value: resp.Status}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && a.req.Method != http.MethodHead {
		// The end of such a body cannot be told from a failure of the upstream.
		return core.OutcomeTruncated, &UnframedError{Address: a.req.Address}
	}
	return 0, nil
}

// reject gives up an answer; only the connection of a shed answer stays usable.
func (a *Attempt) reject(resp *http.Response, outcome core.Outcome) {
	if outcome == core.OutcomeShed {
		_, _ = io.CopyN(io.Discard, resp.Body, maxShedBytes)
	} else if c := a.guard.conn.Load(); c != nil {
		c.discard()
	}
	_ = resp.Body.Close()
}

func (a *Attempt) result(outcome core.Outcome, err error) Result {
	return Result{
		Outcome: outcome,
		Took:    a.client.cfg.Now() - a.started,
		NewConn: a.guard.dialled.Load(),
		Refused: outcome == core.OutcomeNotSent && a.refused(err),
		Err:     err,
	}
}

// refused reports whether the upstream did not accept a connection for the attempt. Failures on this side are not counted.
func (a *Attempt) refused(err error) bool {
	if !a.guard.dialled.Load() || a.guard.connected.Load() {
		return false
	}
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout()
}
