// Package proxy sends requests to upstreams. Each attempt sends a request at most once to one upstream and reports
// whether the upstream may have run it.
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

	"sardinecross.example/lib/common/heads"
	"sardinecross.example/lib/core"
)

const (
	// dialTimeout is far above the delay between data centres. A dial that takes longer means a lost packet or a host
	// that is down.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection stays open. It closes connections that a class with little traffic no
	// longer needs.
	idleTimeout = 90 * time.Second
	// unusedTransportTimeout is how long the transport of an upstream that is no longer used is kept. It exceeds
	// idleTimeout, so that no connection is open when the transport is dropped.
	unusedTransportTimeout = 5 * time.Minute
	// maxAnswerHeaderBytes bounds the head of an upstream's answer, and so its memory.
	maxAnswerHeaderBytes = 64 << 10
	// maxShedBodyBytes bounds how much of the body of a shed answer is read so that the connection can be used again.
	maxShedBodyBytes = 4 << 10
	// maxLoadReportBytes bounds the body of a load report.
	maxLoadReportBytes = 4 << 10
)

// Config holds the settings of a client.
type Config struct {
	// LocalIP is the source address of connections. If it is the zero value, the system chooses the address.
	LocalIP netip.Addr
	// MaxConns is the maximum number of connections to one upstream.
	MaxConns int
	// CaptureBytes is the size of the largest body that is captured.
	CaptureBytes int
	// Now returns the time on the reducer's clock.
	Now func() time.Duration
}

// Request is the request of one attempt. Attempts share Header and Body, and do not modify them.
type Request struct {
	// Address is the upstream's IP and port.
	Address string
	Method  string
	// Path, RawPath and RawQuery are those of url.URL.
	Path, RawPath, RawQuery string
	// Header holds end-to-end fields only.
	Header http.Header
	Body   []byte
	// Deadline ends the attempt; StartBy is the last time at which the first byte may be sent. Both are times on the
	// clock of Config.Now.
	Deadline, StartBy time.Duration
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Capture asks for a copy of the answer in Result.Answer.
	Capture bool
}

// Result describes how an attempt ended.
type Result struct {
	Outcome core.Outcome
	// Took is the time since the start of the attempt.
	Took time.Duration
	// NewConn reports that a connection was dialled for the attempt.
	NewConn bool
	// Refused reports, with OutcomeNotSent, that the upstream refused a connection or did not accept one in time.
	Refused bool
	// Answer is the captured answer. It is nil if Capture was not set, the body exceeded CaptureBytes, or the answer is
	// not complete.
	Answer *core.Answer
	// Err is the cause of an outcome other than core.OutcomeComplete, if there is one.
	Err error
}

// Client sends requests to upstreams; it is safe for concurrent use.
type Client struct {
	cfg    Config
	dialer net.Dialer

	mu sync.Mutex
	// upstreams is keyed by address.
	upstreams map[string]*upstream
	// lastSweep is the time of the last removal of unused transports.
	lastSweep time.Duration
}

// upstream is the connection pool of one upstream.
type upstream struct {
	transport *http.Transport
	// lastUsed is the start of the last attempt. It is guarded by the mutex of Client.
	lastUsed time.Duration
}

// New returns a client without connections.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, upstreams: make(map[string]*upstream)}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	if cfg.LocalIP.IsValid() {
		c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.LocalIP, 0))
	}
	return c
}

// Close closes the idle connections. All attempts must have ended before.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.upstreams {
		u.transport.CloseIdleConnections()
	}
	clear(c.upstreams)
}

// transport returns the transport for an upstream and creates it if needed.
func (c *Client) transport(address string) *http.Transport {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[address]
	if u == nil {
		c.closeUnused(now)
		u = &upstream{transport: c.newTransport()}
		c.upstreams[address] = u
	}
	u.lastUsed = now
	return u.transport
}

// closeUnused removes the transports not used for unusedTransportTimeout. It does nothing if the last removal was more
// recent than that. c.mu must be held.
func (c *Client) closeUnused(now time.Duration) {
	if now-c.lastSweep < unusedTransportTimeout {
		return
	}
	c.lastSweep = now
	for address, u := range c.upstreams {
		if now-u.lastUsed > unusedTransportTimeout {
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

// dial opens a connection and records in the guard of the attempt in ctx that one was dialled.
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

// Attempt is one attempt to run a request at one upstream.
type Attempt struct {
	client  *Client
	req     Request
	guard   guard
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Duration
	// wallDeadline is the deadline on the wall clock. It is computed when the attempt starts, so that it does not move if
	// this host is frozen before the send.
	wallDeadline time.Time
	// nonce must be repeated in the answer; it detects answers that belong to another request.
	nonce string
}

// NewAttempt prepares an attempt. Do or Abort must be called to release its resources.
func (c *Client) NewAttempt(req Request) *Attempt {
	// The wall clock is read first: a pause between the two reads makes the deadline earlier, not later.
	wall := time.Now()
	a := &Attempt{client: c, req: req, started: c.cfg.Now()}
	a.wallDeadline = wall.Add(req.Deadline - a.started)
	a.guard.startBy, a.guard.now = req.StartBy, c.cfg.Now
	a.nonce = newNonce()
	a.ctx, a.cancel = context.WithTimeout(context.Background(), req.Deadline-a.started)
	return a
}

func newNonce() string { return strconv.FormatUint(rand.Uint64(), 36) }

// Cancel ends the attempt early if the request is idempotent or nothing was sent. Otherwise the attempt continues, since
// cancelling could interrupt a request that must not run twice.
func (a *Attempt) Cancel() {
	if a.req.Idempotent || a.guard.blockSend() {
		a.cancel()
	}
}

// Abort ends the attempt at once, even if that interrupts the request at the upstream.
func (a *Attempt) Abort() { a.cancel() }

// Do sends the request and reads the head of the answer. If the returned answer is nil, the result is final; otherwise
// Answer.Copy returns the result.
func (a *Attempt) Do() (*Answer, Result) {
	resp, err := a.send()
	if err != nil {
		defer a.cancel()
		return nil, a.result(a.outcomeOf(err), err)
	}
	if outcome, err := a.checkHead(resp); err != nil {
		defer a.cancel()
		a.discardAnswer(resp, outcome)
		return nil, a.result(outcome, err)
	}
	return a.newAnswer(resp), Result{}
}

// send sends the request. If a kept-alive connection turns out to be closed before a byte was sent, it sends the request
// on another connection.
func (a *Attempt) send() (*http.Response, error) {
	transport := a.client.transport(a.req.Address)
	for n := 1; ; n++ {
		a.guard.connected.Store(false)
		resp, err := transport.RoundTrip(a.request())
		if err == nil || n > a.client.cfg.MaxConns || !a.guard.canResend() || a.ctx.Err() != nil {
			return resp, err
		}
	}
}

// request returns the HTTP request, whose trace ties the connection that it gets to the guard of the attempt and checks interim answers.
func (a *Attempt) request() *http.Request {
	ctx := httptrace.WithClientTrace(withGuard(a.ctx, &a.guard), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				a.guard.connected.Store(true)
				c.guard.Store(&a.guard)
			}
		},
		Got1xxResponse: new(heads.Interim).Check,
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
		// GetBody is not set, so that net/http cannot send the body a second time.
		req.Body = io.NopCloser(bytes.NewReader(a.req.Body))
		req.ContentLength = int64(len(a.req.Body))
	}
	return req.WithContext(ctx)
}

// header returns the header to send, a copy of the request's header with the fields that sardinecross sets.
func (a *Attempt) header() http.Header {
	h := make(http.Header, len(a.req.Header)+4)
	for k, v := range a.req.Header {
		h[k] = v
	}
	if !a.req.Idempotent {
		// net/http repeats requests that carry these fields when a kept-alive connection fails.
		delete(h, "Idempotency-Key")
		delete(h, "X-Idempotency-Key")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	left := a.req.Deadline - a.started
	h["X-Request-Timeout"] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	h["X-Request-Deadline"] = []string{strconv.FormatInt(a.wallDeadline.UnixMilli(), 10)}
	h["X-Request-Nonce"] = []string{a.nonce}
	return h
}

// outcomeOf returns the outcome of an attempt that got no answer but err.
func (a *Attempt) outcomeOf(err error) core.Outcome {
	switch {
	case a.guard.blockSend():
		return core.OutcomeNotSent
	case errors.Is(err, context.DeadlineExceeded):
		return core.OutcomeDeadline
	case errors.Is(err, context.Canceled):
		return core.OutcomeCancelled
	}
	return core.OutcomeReset
}

// checkHead returns an error and the outcome if the answer must not be passed to the caller.
func (a *Attempt) checkHead(resp *http.Response) (core.Outcome, error) {
	if err := heads.Check(resp); err != nil {
		return core.OutcomeTruncated, err // where the answer ends is not known
	}
	if resp.Header.Get("X-Request-Nonce") != a.nonce {
		return core.OutcomeMismatched, &MismatchError{Address: a.req.Address}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Run") == "true" {
		return core.OutcomeShed, &ShedError{Address: a.req.Address}
	}
	if resp.StatusCode < http.StatusOK {
		return core.OutcomeTruncated, &UnexpectedValueError{Value: resp.Status}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && a.req.Method != http.MethodHead {
		// Such a body ends with the connection, so its end looks the same as a failure of the upstream.
		return core.OutcomeTruncated, &UnframedError{Address: a.req.Address}
	}
	return 0, nil
}

// discardAnswer closes an answer that is not passed to the caller. Only the connection of a shed answer can be used
// again.
func (a *Attempt) discardAnswer(resp *http.Response, outcome core.Outcome) {
	if outcome == core.OutcomeShed {
		_, _ = io.CopyN(io.Discard, resp.Body, maxShedBodyBytes)
	} else {
		a.discardConn()
	}
	_ = resp.Body.Close()
}

// discardConn closes the connection on which the request was sent.
func (a *Attempt) discardConn() {
	if c := a.guard.conn.Load(); c != nil {
		c.discard()
	}
}

// result returns the result of the attempt if it ends now.
func (a *Attempt) result(outcome core.Outcome, err error) Result {
	return Result{
		Outcome: outcome,
		Took:    a.client.cfg.Now() - a.started,
		NewConn: a.guard.dialled.Load(),
		Refused: outcome == core.OutcomeNotSent && a.refused(err),
		Err:     err,
	}
}

// refused reports whether the upstream refused a connection for the attempt or did not accept it in time. Failures of
// this host do not count.
func (a *Attempt) refused(err error) bool {
	if !a.guard.dialled.Load() || a.guard.connected.Load() {
		return false
	}
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout()
}
