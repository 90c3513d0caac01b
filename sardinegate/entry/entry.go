// Package entry handles the requests of callers: it finds the route of a request, sends the request to upstreams, with
// retries and hedges where the route allows them, and returns the response.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/pool"
)

const (
	// maxBufferedBody is the number of bytes of a request body that are buffered before the request is sent to an
	// upstream. A request whose body fills the buffer gets only one attempt.
	maxBufferedBody = 256 << 10
	// defaultTimeLeft is assumed as the time limit of callers that state none.
	defaultTimeLeft = 30 * time.Second
	// responseMargin is how long before the end of the caller's time limit the host answers, so that the answer arrives in
	// time. If a quarter of the limit is less, the margin is that quarter.
	responseMargin = 30 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of a host that has no configuration or no list of upstreams yet.
	notReadyRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the lower bound of Retry-After, and what a host that is being stopped sends: other hosts can serve the
	// request at once.
	minRetryAfter = 50 * time.Millisecond
)

// Selector selects upstreams for attempts; see broker.Broker.
type Selector interface {
	// Decide grants an upstream or refuses. Until the attempt has ended, a hedge may be offered on hedges.
	Decide(ctx context.Context, req grant.AttemptRequest, hedges chan<- broker.Decision) broker.Decision
	// EndAttempt reports the end of a granted attempt. It must be called once for each.
	EndAttempt(d broker.Decision, end grant.AttemptEnd)
	// MaySend reports whether an upstream accepts requests from this host, as far as it has said so in responses.
	MaySend(u fleet.Upstream) bool
	// RecordNotice records what a response of an upstream says about further requests.
	RecordNotice(u fleet.Upstream, info fleet.ResponseInfo)
}

// Sender sends a request to an upstream once and returns the response; see pool.Pool.
type Sender interface {
	Do(ctx context.Context, r *pool.Request) (*pool.Response, error)
}

// Recorder records the outcomes and durations of requests and attempts.
type Recorder interface {
	Request(kind, outcome string, took time.Duration)
	Attempt(service, outcome string, took time.Duration)
	// KeyRejected records a request that was rejected for lack of a valid key.
	KeyRejected(cause string)
}

// Stop tells whether the host is being stopped, and what it can still finish; see grace.Stop.
type Stop interface {
	// MayFinish reports whether a request that ends by a deadline may be sent to an upstream.
	MayFinish(deadline time.Time) bool
	// Context returns a context that is done once every request has to end.
	Context() context.Context
}

// Deps are the dependencies of a handler.
type Deps struct {
	DataCentre string
	Selector   Selector
	Sender     Sender
	Codec      fleet.HeaderCodec
	View       func() *fleet.View
	// RevokeAfter is the age of the configuration from which on no key is accepted; 0 means that its age doesn't matter.
	// ConfigurationAge returns the age; it is not called if RevokeAfter is 0.
	RevokeAfter      time.Duration
	ConfigurationAge func() time.Duration
	// Allowances is nil if organisations have no limits.
	Allowances Allowances
	Stop       Stop
	Recorder   Recorder
	Log        *slog.Logger
}

// Handler handles the requests of callers.
type Handler struct {
	deps       Deps
	timeLimits timeLimits
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(deps Deps) *Handler {
	return &Handler{deps: deps, timeLimits: timeLimits{longest: make(map[string]time.Duration)}}
}

// call is the state of one caller's request.
type call struct {
	id       string
	arrived  time.Time
	deadline time.Time
	// callerDeadline is the end of the caller's time limit less the margin; see responseMargin. deadline is the earlier of
	// it and the end of the route's timeout.
	callerDeadline time.Time
	view           *fleet.View
	route          *route.Route
	// spent is the time that the caller has spent on earlier attempts, as far as its time limit shows; see timeLimits.
	spent time.Duration
	// organisation is the one that the request acts for, nil if it needed no key at its admission.
	organisation *orgs.Organisation
	service      string
	r            *http.Request
	header       http.Header
	body         []byte
	bodyRest     io.Reader
	attempts     []*attempt
	// conns holds the connections over which the attempts were sent.
	conns pool.Used
	// unusable holds the IDs of upstreams that were granted but not usable any more.
	unusable []string
	// hedges receives the hedges that the owner offers; nil if the request may not be hedged.
	hedges chan broker.Decision
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{arrived: time.Now(), r: r, view: h.deps.View()}
	if o := h.admit(c); o != nil {
		h.respond(w, c, o)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	detach := context.AfterFunc(h.deps.Stop.Context(), cancel)
	defer detach()
	if o := h.readBody(c); o != nil {
		h.respond(w, c, o)
		return
	}
	c.header = endToEndHeaders(r.Header)
	h.respond(w, c, h.refuseIfRevoked(c, h.sendWithinAllowance(ctx, c)))
}

// admit checks a request and sets its route, service and deadlines. It returns an outcome if the request is refused.
func (h *Handler) admit(c *call) *outcome { return h.admitWith(c, h.timeLimits.spent) }

// admitWith is admit with the function that returns the time that the caller has spent on earlier attempts.
func (h *Handler) admitWith(c *call, spent func(route string, left time.Duration) time.Duration) *outcome {
	id, left, ok := h.deps.Codec.ParseCall(c.r.Header)
	c.id = id
	if !ok {
		return refuse(http.StatusBadRequest, "no valid request ID or time limit", 0)
	}
	stated := left > 0
	if !stated {
		left = defaultTimeLeft
	}
	if c.view.Routes == nil || !c.view.Listed {
		return refuse(http.StatusServiceUnavailable, "not ready yet", notReadyRetryAfter)
	}
	rt, ok := c.view.Routes.Match(c.r.Host, c.r.URL.EscapedPath())
	if !ok {
		return refuse(http.StatusNotFound, "no route", 0)
	}
	organisation, refused := h.authorise(c.r, c.view, rt)
	if refused != nil {
		return refused
	}
	c.organisation = organisation
	limits := c.view.Routes.Limits
	if limits.HeaderBytes > 0 && headerBytes(c.r) > limits.HeaderBytes {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "headers too large", 0)
	}
	if limits.BodyBytes > 0 && c.r.ContentLength > limits.BodyBytes {
		return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	}
	c.route, c.service = rt, rt.PickRandomService()
	if stated {
		c.spent = spent(rt.Name, left)
	}
	c.callerDeadline = c.arrived.Add(left - min(responseMargin, left/4))
	c.deadline = c.arrived.Add(rt.Timeout)
	if c.callerDeadline.Before(c.deadline) {
		c.deadline = c.callerDeadline
	}
	return nil
}

// headerBytes returns the approximate size of the request line and the headers.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return int64(n)
}

// readBody buffers the body, or the first maxBufferedBody bytes of a longer one. It returns an outcome if the request is
// refused.
func (h *Handler) readBody(c *call) *outcome {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	limit := c.view.Routes.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBufferedBody
	}
	body := http.MaxBytesReader(nil, c.r.Body, limit)
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	case err != nil:
		return refuse(http.StatusBadRequest, "body not read: "+err.Error(), 0)
	}
	c.body = buffered
	if len(buffered) == maxBufferedBody {
		c.bodyRest = body
	}
	return nil
}

// respond writes the response to the caller and records the outcome.
func (h *Handler) respond(w http.ResponseWriter, c *call, o *outcome) {
	switch {
	case o.resp != nil:
		o.status, o.reason = o.resp.Status, "answered"
		defer h.recordOutcome(c, o)
		if err := h.writeUpstreamResponse(w, o.resp); err != nil {
			o.deliveryErr, o.reason = err, "answer not delivered"
			panic(http.ErrAbortHandler) // cuts the connection, so that the caller does not take the response for complete
		}
		return
	case o.status == 0:
		h.recordOutcome(c, o)
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	if o.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(max(o.retryAfter, minRetryAfter).Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(o.status)
	_, _ = io.WriteString(w, o.reason+"\n") // an error means that the caller has disconnected
	h.recordOutcome(c, o)
}

// recordOutcome records the outcome of a request in the metrics and the log. Requests that failed or missed their latency
// target are logged as warnings.
func (h *Handler) recordOutcome(c *call, o *outcome) {
	status := o.status
	took := time.Since(c.arrived)
	kind, name := "none", ""
	var version int64
	var target time.Duration
	if c.route != nil {
		kind, name, target = c.route.Kind.String(), c.route.Name, c.route.Target
	}
	if c.view.Routes != nil {
		version = c.view.Routes.Version
	}
	h.deps.Recorder.Request(kind, o.label(c.r.Context().Err() != nil), took)
	if o.keyCause != "" {
		h.deps.Recorder.KeyRejected(o.keyCause)
	}
	level := slog.LevelInfo
	if o.deliveryErr != nil || status < 200 || status > 299 || target > 0 && took > target {
		level = slog.LevelWarn
	}
	if !h.deps.Log.Enabled(context.Background(), level) {
		return
	}
	attrs := []any{
		"id", c.id, "route", name, "kind", kind, "service", c.service, "configuration", version,
		"status", status, "outcome", o.reason, "tookMs", took.Milliseconds(), "targetMs", target.Milliseconds(),
	}
	if c.organisation != nil {
		attrs = append(attrs, "organisation", c.organisation.Name)
	}
	if o.deliveryErr != nil {
		attrs = append(attrs, "error", o.deliveryErr)
	}
	if o.decidedBy != "" {
		attrs = append(attrs, "decidedBy", o.decidedBy, "retryAfterMs", o.retryAfter.Milliseconds())
	}
	if n := o.upstreamCounts; n != nil {
		attrs = append(attrs, "upstreams", fmt.Sprintf("listed=%d out=%d tried=%d cold=%d dead=%d full=%d waiting=%d",
			n.Listed, n.Out, n.Tried, n.Cold, n.Dead, n.Full, n.Waiting))
	}
	if len(c.attempts) > 0 {
		attrs = append(attrs, "attempts", formatAttempts(c.attempts))
	}
	h.deps.Log.Log(context.Background(), level, "request", attrs...)
}

// writeUpstreamResponse writes an upstream's response, without its hop-by-hop headers, to the caller. It returns an error if the
// connection of the caller has ended, or the upstream within its response.
func (h *Handler) writeUpstreamResponse(w http.ResponseWriter, resp *pool.Response) error {
	out := w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		out[name] = values
	}
	// A nil value keeps the server from adding headers that the upstream did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	if resp.ContentLength >= 0 {
		out.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	if resp.BodyRest != nil {
		defer resp.BodyRest.Close() //nolint:errcheck // the connection is not used again
	}
	_, err := w.Write(resp.Body)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		err = nil
	}
	if err != nil || resp.BodyRest == nil {
		return err
	}
	resp.Body = nil // a long response must not hold its beginning until its end
	_, err = io.Copy(w, resp.BodyRest)
	return err
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = map[string]struct{}{
	"Connection": {}, "Keep-Alive": {}, "Proxy-Connection": {}, "Proxy-Authenticate": {}, "Proxy-Authorization": {},
	"Te": {}, "Trailer": {}, "Transfer-Encoding": {}, "Upgrade": {}, "Content-Length": {}, "Expect": {},
}

// endToEndHeaders returns the headers to forward: all but the hop-by-hop headers and those named in Connection.
func endToEndHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in)+2)
	for name, values := range in {
		if _, hop := hopByHopHeaders[name]; !hop {
			out[name] = values
		}
	}
	for _, v := range in["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
