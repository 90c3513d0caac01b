// Package entry serves callers: it finds the route of a request, sends it to upstreams and returns the response.
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
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/pool"
)

const (
	// maxBuffered is the longest request body, in bytes, that is read before the request is sent on.
	maxBuffered = 256 << 10
	// defaultLeft is assumed for callers that do not say how long they wait.
	defaultLeft = 30 * time.Second
	// answerMargin is how long before the caller's limit a final answer is given, so that it arrives in time.
	answerMargin = 30 * time.Millisecond
	// unreadyRetry is when callers are told to come back to a host that knows no configuration yet.
	unreadyRetry = 200 * time.Millisecond
	// saneRetry bounds Retry-After from below.
	saneRetry = 50 * time.Millisecond
)

// Granter finds upstreams.
type Granter interface {
	// Ask returns a grant or a refusal; until the attempt is finished, a second one may be offered to seconds.
	Ask(ctx context.Context, a grant.AttemptRequest, seconds chan<- broker.Grant) broker.Grant
	Finish(g broker.Grant, d grant.AttemptEnd)
}

// Sender exchanges a request with an upstream.
type Sender interface {
	Do(ctx context.Context, r *pool.Request) (*pool.Response, error)
}

// Recorder takes the measurements of a request.
type Recorder interface {
	Request(kind, outcome string, took time.Duration)
	Attempt(service, outcome string, took time.Duration)
}

// Deps are what a handler works with.
type Deps struct {
	DataCentre string
	Grants     Granter
	Sender     Sender
	Dialect    fleet.HeaderCodec
	View       func() *fleet.View
	Record     Recorder
	Log        *slog.Logger
}

// Handler serves callers.
type Handler struct{ deps Deps }

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(deps Deps) *Handler { return &Handler{deps} }

// call is one request of a caller.
type call struct {
	id       string
	arrived  time.Time
	deadline time.Time
	// patience is the caller's own limit, not before deadline.
	patience time.Time
	view     *fleet.View
	route    *route.Route
	service  string
	r        *http.Request
	header   http.Header
	body     []byte
	further  io.Reader
	attempts []*attempt
	// seconds takes second attempts that the owner offers; nil if the request may not be repeated.
	seconds chan broker.Grant
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{arrived: time.Now(), r: r, view: h.deps.View()}
	if o := h.admit(c); o != nil {
		h.end(w, c, o)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if o := h.readBody(c); o != nil {
		h.end(w, c, o)
		return
	}
	c.header = forwarded(r.Header)
	h.end(w, c, h.run(ctx, c))
}

// admit finds the route and the limits of a request; it returns an outcome if the request ends here.
func (h *Handler) admit(c *call) *outcome {
	id, left, ok := h.deps.Dialect.ParseCall(c.r.Header)
	c.id = id
	if !ok {
		return refuse(http.StatusBadRequest, "no valid request ID or time limit", 0)
	}
	if left == 0 {
		left = defaultLeft
	}
	if c.view.Routes == nil || !c.view.Listed {
		return refuse(http.StatusServiceUnavailable, "no configuration yet", unreadyRetry)
	}
	rt, ok := c.view.Routes.Match(c.r.Host, c.r.URL.EscapedPath())
	if !ok {
		return refuse(http.StatusNotFound, "no route", 0)
	}
	limits := c.view.Routes.Limits
	if limits.HeaderBytes > 0 && headerBytes(c.r) > limits.HeaderBytes {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "headers too large", 0)
	}
	if limits.BodyBytes > 0 && c.r.ContentLength > limits.BodyBytes {
		return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	}
	c.route, c.service = rt, rt.PickRandomService()
	c.patience = c.arrived.Add(left - min(answerMargin, left/4))
	c.deadline = c.arrived.Add(rt.Timeout)
	if c.patience.Before(c.deadline) {
		c.deadline = c.patience
	}
	return nil
}

func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return int64(n)
}

// readBody buffers the body, or its beginning if it is long.
func (h *Handler) readBody(c *call) *outcome {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	limit := c.view.Routes.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBuffered
	}
	body := http.MaxBytesReader(nil, c.r.Body, limit)
	buffered, err := io.ReadAll(io.LimitReader(body, maxBuffered))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
	case err != nil:
		return refuse(http.StatusBadRequest, "body not read: "+err.Error(), 0)
	}
	c.body = buffered
	if len(buffered) == maxBuffered {
		c.further = body
	}
	return nil
}

// outcome is the final answer to a caller.
type outcome struct {
	// resp is an upstream's response; nil for an answer of this host.
	resp *pool.Response
	// status is that of this host's answer, 0 if the caller has gone.
	status     int
	reason     string
	retryAfter time.Duration
	// by is the host that decided on a refusal, census what it found.
	by     string
	census *grant.UpstreamCounts
}

func refuse(status int, reason string, retryAfter time.Duration) *outcome {
	return &outcome{status: status, reason: reason, retryAfter: retryAfter}
}

// end writes the answer and the log line of a request.
func (h *Handler) end(w http.ResponseWriter, c *call, o *outcome) {
	switch {
	case o.resp != nil:
		o.status, o.reason = o.resp.Status, "answered"
		defer h.note(c, o)
		h.deliver(w, o.resp)
		return
	case o.status == 0:
		h.note(c, o)
		panic(http.ErrAbortHandler) // nobody is there to answer
	}
	if o.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(max(o.retryAfter, saneRetry).Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(o.status)
	_, _ = io.WriteString(w, o.reason+"\n") // the caller has gone
	h.note(c, o)
}

// note counts and logs the end of a request.
func (h *Handler) note(c *call, o *outcome) {
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
	h.deps.Record.Request(kind, outcomeWord(status), took)
	level := slog.LevelInfo
	if status < 200 || status > 299 || target > 0 && took > target {
		level = slog.LevelWarn
	}
	if !h.deps.Log.Enabled(context.Background(), level) {
		return
	}
	attrs := []any{
		"id", c.id, "route", name, "kind", kind, "service", c.service, "configuration", version,
		"status", status, "outcome", o.reason, "tookMs", took.Milliseconds(), "targetMs", target.Milliseconds(),
	}
	if o.by != "" {
		attrs = append(attrs, "decidedBy", o.by, "retryAfterMs", o.retryAfter.Milliseconds())
	}
	if n := o.census; n != nil {
		attrs = append(attrs, "upstreams", fmt.Sprintf("listed=%d out=%d tried=%d cold=%d dead=%d full=%d waiting=%d",
			n.Listed, n.Out, n.Tried, n.Cold, n.Dead, n.Full, n.Waiting))
	}
	if len(c.attempts) > 0 {
		attrs = append(attrs, "attempts", describe(c.attempts))
	}
	h.deps.Log.Log(context.Background(), level, "request", attrs...)
}

// outcomeWord groups statuses for counters.
func outcomeWord(status int) string {
	switch {
	case status == 0:
		return "callerGone"
	case status < 400:
		return "served"
	case status == http.StatusServiceUnavailable:
		return "refused"
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		return "unknown"
	case status < 500:
		return "rejected"
	}
	return "failed"
}

// deliver writes an upstream's response unchanged.
func (h *Handler) deliver(w http.ResponseWriter, resp *pool.Response) {
	out := w.Header()
	for name, values := range forwarded(resp.Header) {
		out[name] = values
	}
	// Headers that the upstream did not send are not added.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	if resp.ContentLength >= 0 {
		out.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil || resp.BodyRest == nil {
		return
	}
	defer resp.BodyRest.Close() //nolint:errcheck // closes a connection that is given up
	if _, err := io.Copy(w, resp.BodyRest); err != nil {
		panic(http.ErrAbortHandler) // an incomplete response must not look complete
	}
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]struct{}{
	"Connection": {}, "Keep-Alive": {}, "Proxy-Connection": {}, "Proxy-Authenticate": {}, "Proxy-Authorization": {},
	"Te": {}, "Trailer": {}, "Transfer-Encoding": {}, "Upgrade": {}, "Content-Length": {}, "Expect": {},
}

// forwarded returns the headers that concern more than one connection.
func forwarded(in http.Header) http.Header {
	out := make(http.Header, len(in)+2)
	for name, values := range in {
		if _, hop := hopHeaders[name]; !hop {
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
