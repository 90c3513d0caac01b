package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/pool"
)

const (
	// hedgeFirst and hedgeStep are when a second attempt is considered, as shares of the target.
	// Owners offer second attempts earlier; this is for requests whose owner is gone.
	hedgeFirst = 0.55
	hedgeStep  = 0.2
	// hedgeLast is the share of the target after which a second attempt is not considered any more.
	hedgeLast = 0.95
)

// result says how an attempt ended for the request.
type result uint8

const (
	pending result = iota
	// answered is a response to deliver.
	answered
	// faulty is a complete response of an upstream that failed.
	faulty
	// notRun says that the request was not run; unsent that it did not even arrive.
	notRun
	unsent
	// unknown is an attempt of which nothing certain is known.
	unknown
)

func (r result) String() string {
	return [...]string{"pending", "answered", "faulty", "notRun", "unsent", "unknown"}[r]
}

// attempt is a request sent to one upstream.
type attempt struct {
	grant  broker.Grant
	hedge  bool
	cancel context.CancelFunc
	start  time.Time
	took   time.Duration
	result result
	resp   *pool.Response
	err    error
	// done is set once the request has taken note of the end; the fields from took to err are valid then.
	done bool
}

// describe is the text of attempts in the log.
func describe(attempts []*attempt) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "upstream=%s by=%s expectedMs=%d inflight=%d factor=%.0f ageMs=%d hedge=%t",
			a.grant.Upstream, a.grant.By, a.grant.ExpectedTime.Milliseconds(), a.grant.InFlight, a.grant.SlowdownPercent,
			a.grant.ReportAge.Milliseconds(), a.hedge)
		if !a.done {
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

// run sends the request until it has a final answer. All attempts have ended or are cancelled when it returns.
func (h *Handler) run(ctx context.Context, c *call) *outcome {
	ended := make(chan *attempt, c.route.MaxAttempts)
	hedge := time.NewTimer(time.Duration(hedgeFirst * float64(c.route.Target)))
	defer hedge.Stop()
	if c.mayHedge() {
		c.seconds = make(chan broker.Grant, 1)
		defer h.returnSeconds(c)
	}
	running := 0
	if refused := h.start(ctx, c, ended, false, false); refused != nil {
		return refused
	}
	running++
	for {
		select {
		case a := <-ended:
			running--
			a.done = true
			if a.result == answered {
				c.cancelExcept(a)
				return &outcome{resp: a.resp}
			}
			if h.mayGoOn(ctx, c, a) && h.start(ctx, c, ended, a.result != unsent, false) == nil {
				running++
			}
			if running == 0 {
				defer c.cancelExcept(nil)
				return h.give(ctx, c)
			}
		case g := <-c.seconds:
			if running != 1 || !c.mayHedge() {
				h.deps.Grants.Finish(g, grant.AttemptEnd{Outcome: grant.Unused})
			} else if h.send(ctx, c, ended, g, true) == nil {
				running++
			}
		case <-hedge.C:
			if running == 1 && c.mayHedge() && h.start(ctx, c, ended, true, true) == nil {
				running++
			}
			if time.Since(c.arrived) < time.Duration(hedgeLast*float64(c.route.Target)) {
				hedge.Reset(time.Duration(hedgeStep * float64(c.route.Target)))
			}
		case <-ctx.Done():
			return h.give(ctx, c)
		}
	}
}

// mayHedge reports whether the request may be sent to another upstream while an attempt is open. A body that was not
// buffered whole can be sent once only.
func (c *call) mayHedge() bool {
	return c.route.Kind.MayRepeat() && c.further == nil && len(c.attempts) < c.route.MaxAttempts
}

// returnSeconds returns offers that were not taken.
func (h *Handler) returnSeconds(c *call) {
	select {
	case g := <-c.seconds:
		h.deps.Grants.Finish(g, grant.AttemptEnd{Outcome: grant.Unused})
	default:
	}
}

// cancelExcept ends all attempts but one, whose response may still be read.
func (c *call) cancelExcept(keep *attempt) {
	for _, a := range c.attempts {
		if a != keep {
			a.cancel()
		}
	}
}

// mayGoOn reports whether the request may be sent to another upstream after a failed attempt.
func (h *Handler) mayGoOn(ctx context.Context, c *call, a *attempt) bool {
	if ctx.Err() != nil || len(c.attempts) >= c.route.MaxAttempts || c.further != nil {
		return false
	}
	return a.result == unsent || a.result == notRun || c.route.Kind.MayRepeat()
}

// start begins an attempt, or returns the refusal.
func (h *Handler) start(ctx context.Context, c *call, ended chan<- *attempt, repeat, hedge bool) *outcome {
	ask := grant.AttemptRequest{
		Service:       c.service,
		DataCentre:    h.deps.DataCentre,
		Once:          c.route.Kind == route.Once,
		Bulk:          c.route.Kind == route.Bulk,
		Priority:      c.route.Priority,
		Target:        c.route.Target,
		TimeLeft:      time.Until(c.deadline),
		Elapsed:       time.Since(c.arrived),
		AttemptsLeft:  c.route.MaxAttempts - len(c.attempts) - 1,
		CountsAsRetry: repeat,
		Hedge:         hedge,
	}
	for _, a := range c.attempts {
		ask.Tried = append(ask.Tried, a.grant.Upstream)
		ask.HedgedSeq = a.grant.ID.Seq
	}
	g := h.deps.Grants.Ask(ctx, ask, c.seconds)
	if g.Upstream == "" {
		o := refuse(http.StatusServiceUnavailable, g.Reason.String(), g.RetryAfter)
		o.by, o.census = g.By, g.UpstreamCounts
		return o
	}
	return h.send(ctx, c, ended, g, hedge)
}

// send begins the attempt of a grant, or returns the grant and says why.
func (h *Handler) send(ctx context.Context, c *call, ended chan<- *attempt, g broker.Grant, hedge bool) *outcome {
	view := h.deps.View()
	u, ok := view.Upstreams[g.Upstream]
	if !ok || !view.Usable(u, c.service) || ctx.Err() != nil {
		h.deps.Grants.Finish(g, grant.AttemptEnd{Outcome: grant.Unused})
		return refuse(http.StatusServiceUnavailable, "granted upstream is not usable", g.RetryAfter)
	}
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{grant: g, hedge: hedge, start: time.Now(), cancel: cancel}
	c.attempts = append(c.attempts, a)
	header := maps.Clone(c.header)
	left := time.Until(c.deadline)
	h.deps.Dialect.SetAttemptHeaders(header, left, u.ID)
	req := &pool.Request{
		Address:       u.Address,
		Method:        c.r.Method,
		RequestURI:    c.r.RequestURI,
		Host:          c.r.Host,
		Header:        header,
		Body:          c.body,
		BodyRest:      c.further,
		ContentLength: c.r.ContentLength,
		Matches: func(resp *http.Response) bool {
			return h.deps.Dialect.ParseResponse(resp.StatusCode, resp.Header).RequestID == c.id
		},
	}
	go func() {
		resp, err := h.deps.Sender.Do(actx, req)
		h.finish(actx, c, a, resp, err)
		ended <- a
	}()
	return nil
}

// finish classifies the end of an attempt and reports it to the owner.
func (h *Handler) finish(ctx context.Context, c *call, a *attempt, resp *pool.Response, err error) {
	a.took, a.resp, a.err = time.Since(a.start), resp, err
	d := grant.AttemptEnd{Took: a.took}
	if err != nil {
		a.result, d.Outcome = classifyError(ctx, err)
	} else {
		a.result, d.Outcome = h.classify(c, resp)
		if report, ok := h.deps.Dialect.ParseLoad(resp.Header); ok {
			d.Report = &report
		}
	}
	h.deps.Record.Attempt(c.service, a.result.String(), a.took)
	h.deps.Grants.Finish(a.grant, d)
}

func classifyError(ctx context.Context, err error) (result, grant.Outcome) {
	var unreached *pool.ConnectError
	var busy *pool.ConnLimitError
	switch {
	case errors.As(err, &busy):
		return unsent, grant.Unused
	case errors.As(err, &unreached):
		if ctx.Err() != nil {
			return unsent, grant.Abandoned
		}
		return unsent, grant.Unreached
	case ctx.Err() != nil:
		return unknown, grant.Abandoned
	}
	return unknown, grant.Failed
}

// classify says what a response means for the request.
func (h *Handler) classify(c *call, resp *pool.Response) (result, grant.Outcome) {
	answer := h.deps.Dialect.ParseResponse(resp.Status, resp.Header)
	switch {
	case answer.NotRun && resp.Status == http.StatusMisdirectedRequest:
		return notRun, grant.Unreached
	case answer.NotRun:
		return notRun, grant.Shed
	case resp.Status < http.StatusMultipleChoices && !answer.Signed:
		return unknown, grant.Failed
	case resp.Status >= http.StatusInternalServerError || promises(resp.Status):
		return faulty, grant.Failed
	}
	return answered, grant.Served
}

// promises reports whether a status tells callers that the request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// give returns the answer for a request that no attempt has answered well.
func (h *Handler) give(ctx context.Context, c *call) *outcome {
	if c.r.Context().Err() != nil {
		return refuse(0, "caller has gone", 0)
	}
	late := ctx.Err() != nil
	mayHaveRun := false
	retryAfter := time.Duration(0)
	var failed *pool.Response
	for _, a := range c.attempts {
		switch {
		case !a.done:
			mayHaveRun = true
		case a.result == faulty && !promises(a.resp.Status):
			failed, mayHaveRun = a.resp, true
		case a.result == unknown || a.result == faulty:
			mayHaveRun = true
		}
		retryAfter = max(retryAfter, a.grant.RetryAfter)
	}
	switch {
	case failed != nil && failed.BodyRest == nil:
		return &outcome{resp: failed}
	case !mayHaveRun:
		return refuse(http.StatusServiceUnavailable, "not run by any upstream", max(retryAfter, saneRetry))
	case late:
		return refuse(http.StatusGatewayTimeout, "time limit passed", 0)
	}
	return refuse(http.StatusBadGateway, "no complete response", 0)
}
