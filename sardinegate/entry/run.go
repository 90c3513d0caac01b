package entry

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/pool"
)

const (
	// firstHedgeShare is how long after the start of sendAttempts the host asks for a hedge, hedgeIntervalShare how long it
	// waits until it asks again, as shares of the latency target. Owners offer hedges earlier without being asked; this is
	// for requests whose owner has stopped or cannot be reached.
	firstHedgeShare    = 0.55
	hedgeIntervalShare = 0.2
	// lastHedgeShare is the share of the target, from the arrival of the request, after which the timer for hedges is not
	// started again.
	lastHedgeShare = 0.95
	// maxUnusableGrants bounds how often a request asks for another upstream in place of one that was granted and may not be
	// used.
	maxUnusableGrants = 3
	// maxAnswerTime is how long a response may take from its first byte until an attempt that is abandoned before its end
	// counts against the upstream.
	maxAnswerTime = time.Second
)

// result tells how an attempt ended.
type result uint8

const (
	// pending means that the attempt has not ended.
	pending result = iota
	// answered means that the response is the one for the caller.
	answered
	// faulty means a complete response with a 5xx status, or with one that would wrongly tell the caller that the request
	// was not run; see statusMeansNotRun.
	faulty
	// notRun means that the upstream answered that it did not run the request, unsent that the request was not sent.
	notRun
	unsent
	// unknown means that the request may have run: there was no complete response, or one with a status below 300 but
	// without the upstream's receipt; see fleet.ResponseInfo.Signed.
	unknown
)

func (r result) String() string {
	return [...]string{"pending", "answered", "faulty", "notRun", "unsent", "unknown"}[r]
}

// attempt is one attempt to run a request at an upstream.
type attempt struct {
	decision broker.Decision
	hedge    bool
	cancel   context.CancelFunc
	start    time.Time
	took     time.Duration
	result   result
	resp     *pool.Response
	err      error
	// ended is set by sendAttempts once it has received the attempt from the goroutine that sent it. The fields from took
	// to err may be read only then.
	ended bool
}

// formatAttempts returns the text for the attempts in the log line of a request.
func formatAttempts(attempts []*attempt) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "upstream=%s by=%s expectedMs=%d inflight=%d factor=%.0f ageMs=%d hedge=%t",
			a.decision.Upstream, a.decision.DecidedBy, a.decision.ExpectedTime.Milliseconds(), a.decision.InFlight, a.decision.SlowdownPercent,
			a.decision.ReportAge.Milliseconds(), a.hedge)
		if !a.ended {
			fmt.Fprintf(&b, " result=%s", pending)
			continue
		}
		fmt.Fprintf(&b, " result=%s tookMs=%d", a.result, a.took.Milliseconds())
		if a.resp != nil {
			fmt.Fprintf(&b, " status=%d", a.resp.Status)
		}
		if a.err != nil {
			fmt.Fprintf(&b, " error=%q", a.err)
		}
	}
	return b.String()
}

// sendAttempts sends the request to upstreams, with retries and hedges, until there is a final outcome. When it returns,
// all attempts have ended or are cancelled, except one whose response may still be read.
func (h *Handler) sendAttempts(ctx context.Context, c *call) *outcome {
	ended := make(chan *attempt, c.route.MaxAttempts)
	hedgeTimer := time.NewTimer(time.Duration(firstHedgeShare * float64(c.route.Target)))
	defer hedgeTimer.Stop()
	if c.mayHedge() {
		// Without a buffer: a hedge that is offered when sendAttempts no longer receives ends as unused.
		c.hedges = make(chan broker.Decision)
	}
	running := 0
	if refused := h.startAttempt(ctx, c, ended, false, false); refused != nil {
		return refused
	}
	running++
	for {
		select {
		case a := <-ended:
			running--
			a.ended = true
			if a.result == answered {
				c.cancelExcept(a)
				return &outcome{resp: a.resp}
			}
			if h.mayRetry(ctx, c, a) && h.startAttempt(ctx, c, ended, a.result != unsent, false) == nil {
				running++
			}
			if running == 0 {
				defer c.cancelExcept(nil)
				return h.finalOutcome(ctx, c)
			}
		case d := <-c.hedges:
			if running != 1 || !c.mayHedge() {
				h.deps.Selector.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Unused})
			} else if h.sendAttempt(ctx, c, ended, d, true) {
				running++
			}
		case <-hedgeTimer.C:
			if running == 1 && c.mayHedge() && h.startAttempt(ctx, c, ended, true, true) == nil {
				running++
			}
			if time.Since(c.arrived) < time.Duration(lastHedgeShare*float64(c.route.Target)) {
				hedgeTimer.Reset(time.Duration(hedgeIntervalShare * float64(c.route.Target)))
			}
		case <-ctx.Done():
			return h.finalOutcome(ctx, c)
		}
	}
}

// mayHedge reports whether the request may be sent to another upstream while an attempt is in flight. A body that was not
// buffered whole can be sent only once.
func (c *call) mayHedge() bool {
	return c.route.Kind.MayRepeat() && c.bodyRest == nil && len(c.attempts) < c.route.MaxAttempts
}

// cancelExcept cancels all attempts but keep, whose response may still be read. keep may be nil.
func (c *call) cancelExcept(keep *attempt) {
	for _, a := range c.attempts {
		if a != keep {
			a.cancel()
		}
	}
}

// mayRetry reports whether the request may be sent to another upstream after a failed attempt.
func (h *Handler) mayRetry(ctx context.Context, c *call, a *attempt) bool {
	if ctx.Err() != nil || len(c.attempts) >= c.route.MaxAttempts || c.bodyRest != nil {
		return false
	}
	return a.result == unsent || a.result == notRun || c.route.Kind.MayRepeat()
}

// startAttempt asks for an upstream and starts an attempt there. If the granted upstream is not usable any more, it asks for
// another one. It returns an outcome if it is refused, also if this host may have stopped before the attempt ends.
func (h *Handler) startAttempt(ctx context.Context, c *call, ended chan<- *attempt, countsAsRetry, hedge bool) *outcome {
	if !h.deps.Stop.MayFinish(c.deadline) {
		return refuse(http.StatusServiceUnavailable, "host is stopping", minRetryAfter)
	}
	var d broker.Decision
	for range maxUnusableGrants {
		if _, refused := h.recheckKey(c, h.deps.View()); refused != nil {
			return refused
		}
		d = h.deps.Selector.Decide(ctx, h.attemptRequest(c, countsAsRetry, hedge), c.hedges)
		if d.Upstream == "" {
			o := refuse(http.StatusServiceUnavailable, d.Reason.String(), d.RetryAfter)
			o.decidedBy, o.upstreamCounts = d.DecidedBy, d.UpstreamCounts
			return o
		}
		if h.sendAttempt(ctx, c, ended, d, hedge) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	o := refuse(http.StatusServiceUnavailable, "granted upstreams are not usable", minRetryAfter)
	o.decidedBy = d.DecidedBy
	return o
}

// attemptRequest returns the request for an upstream for the next attempt.
func (h *Handler) attemptRequest(c *call, countsAsRetry, hedge bool) grant.AttemptRequest {
	req := grant.AttemptRequest{
		Service:       c.service,
		DataCentre:    h.deps.DataCentre,
		Once:          c.route.Kind == route.Once,
		Bulk:          c.route.Kind == route.Bulk,
		Priority:      c.priority(),
		Target:        c.route.Target,
		TimeLeft:      time.Until(c.deadline),
		Elapsed:       time.Since(c.arrived),
		Tried:         slices.Clone(c.unusable),
		AttemptsLeft:  c.route.MaxAttempts - len(c.attempts) - 1,
		CountsAsRetry: countsAsRetry,
		Hedge:         hedge,
		Route:         c.route.Name,
	}
	for _, a := range c.attempts {
		req.Tried = append(req.Tried, a.decision.Upstream)
		req.HedgedSeq = a.decision.ID.Seq
	}
	return req
}

// sendAttempt starts the attempt that d grants and returns true. If the upstream is no longer usable or accepts no requests
// from this host, or the request's key is no longer valid, it ends the attempt as unused and returns false.
func (h *Handler) sendAttempt(ctx context.Context, c *call, ended chan<- *attempt, d broker.Decision, hedge bool) bool {
	view := h.deps.View()
	u, ok := view.Upstreams[d.Upstream]
	organisation, refused := h.recheckKey(c, view)
	if refused != nil || !ok || !view.Usable(u, c.service) || !h.deps.Selector.MaySend(u) || ctx.Err() != nil {
		h.deps.Selector.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Unused})
		c.unusable = append(c.unusable, d.Upstream)
		return false
	}
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{decision: d, hedge: hedge, start: time.Now(), cancel: cancel}
	c.attempts = append(c.attempts, a)
	header := maps.Clone(c.header)
	left := time.Until(c.deadline)
	h.deps.Codec.SetAttemptHeaders(header, left, u.ID)
	h.setOrganisation(c, view, header, organisation)
	req := &pool.Request{
		Address:       u.Address,
		Method:        c.r.Method,
		RequestURI:    c.r.RequestURI,
		Host:          c.r.Host,
		Header:        header,
		Body:          c.body,
		BodyRest:      c.bodyRest,
		ContentLength: c.r.ContentLength,
		Matches: func(resp *http.Response) bool {
			return h.deps.Codec.ParseResponse(resp.StatusCode, resp.Header).RequestID == c.id
		},
		Used:    &c.conns,
		MaySend: func() bool { return h.deps.Selector.MaySend(u) && h.keepsKey(c, organisation) },
		OnHeader: func(status int, header http.Header) {
			h.recordNotice(u, status, header)
		},
	}
	go func() {
		resp, err := h.deps.Sender.Do(actx, req)
		h.endAttempt(actx, c, a, resp, err)
		ended <- a
	}()
	return true
}

// recordNotice records what a response that was sent from the address of u says about further requests. A response with the
// status for a misdirected request comes from another upstream, so that it counts only if that one names itself.
func (h *Handler) recordNotice(u fleet.Upstream, status int, header http.Header) {
	info := h.deps.Codec.ParseResponse(status, header)
	if status == http.StatusMisdirectedRequest && info.Upstream != u.ID {
		return
	}
	h.deps.Selector.RecordNotice(u, info)
}

// endAttempt classifies the result of an attempt and reports it to the host that granted it, for a response that the
// caller still reads when that has ended.
func (h *Handler) endAttempt(ctx context.Context, c *call, a *attempt, resp *pool.Response, err error) {
	a.took, a.resp, a.err = time.Since(a.start), resp, err
	end := grant.AttemptEnd{Took: a.took}
	if err != nil {
		a.result, end.Outcome = classifyError(ctx, err, c.bodyRest == nil)
	} else {
		a.result, end.Outcome = h.classifyResponse(c, resp)
		if report, ok := h.deps.Codec.ParseLoad(resp.Header); ok {
			end.Report = &report
		}
	}
	h.deps.Recorder.Attempt(c.service, a.result.String(), a.took)
	switch {
	case resp == nil || resp.BodyRest == nil:
	case a.result != answered:
		_ = resp.BodyRest.Close() // the response is not for the caller
	default:
		streamBody(ctx, resp, end.Outcome, func(o grant.Outcome) {
			end.Outcome, end.Took = o, time.Since(a.start)
			h.deps.Selector.EndAttempt(a.decision, end)
		})
		return
	}
	h.deps.Selector.EndAttempt(a.decision, end)
}
