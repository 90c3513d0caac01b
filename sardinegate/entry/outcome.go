package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sardinecross.example/lib/grant"
	"sardinecross.example/sardinegate/pool"
)

// maxBodyRate is a rate, in bytes per second, that no link reaches. A body of a length that could not arrive at this rate before
// the time limit is taken for one without end.
const maxBodyRate = 100e9

// outcome is the final response to a caller.
type outcome struct {
	// resp is an upstream's response; nil for a response of this host.
	resp *pool.Response
	// status and reason are sent in a response of this host and logged; status is 0 if the caller has disconnected.
	status int
	reason string
	// deliveryErr is set if resp was not written whole to the caller.
	deliveryErr error
	retryAfter  time.Duration
	// keyCause is the cause of a rejection for lack of a valid key, empty for all other outcomes.
	keyCause string
	// decidedBy is the host that refused to grant an upstream, upstreamCounts why it found none.
	decidedBy      string
	upstreamCounts *grant.UpstreamCounts
}

// refuse returns an outcome for which this host writes the response. A retryAfter of 0 sends no Retry-After.
func refuse(status int, reason string, retryAfter time.Duration) *outcome {
	return &outcome{status: status, reason: reason, retryAfter: retryAfter}
}

// label returns the value of the metric label for the outcome of a request whose caller has gone or not.
func (o *outcome) label(callerGone bool) string {
	switch status := o.status; {
	case status == 0, o.deliveryErr != nil && callerGone:
		return "callerGone"
	case o.deliveryErr != nil:
		return "unknown"
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

// classifyError returns the result of an attempt that ended with an error, for the request and for the host that granted
// it. An upstream can be late only with requests that were sent whole; sent is not set if a part of the body came later.
func classifyError(ctx context.Context, err error, sent bool) (result, grant.Outcome) {
	var unreached *pool.ConnectError
	var busy *pool.ConnLimitError
	var withheld *pool.WithheldError
	var exchange *pool.ExchangeError
	switch {
	case errors.As(err, &busy), errors.As(err, &withheld):
		return unsent, grant.Unused
	case errors.As(err, &unreached):
		if ctx.Err() != nil {
			return unsent, grant.Abandoned
		}
		return unsent, grant.Unreached
	case errors.As(err, &exchange) && exchange.AnsweringFor > maxAnswerTime:
		return unknown, grant.Failed
	case sent && errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.As(err, &exchange) && exchange.AnsweringFor == 0:
		return unknown, grant.TimedOut
	case ctx.Err() != nil:
		return unknown, grant.Abandoned
	}
	return unknown, grant.Failed
}

// classifyResponse returns the result of an attempt with a complete response, for the request and for the host that
// granted it.
func (h *Handler) classifyResponse(c *call, resp *pool.Response) (result, grant.Outcome) {
	info := h.deps.Codec.ParseResponse(resp.Status, resp.Header)
	switch {
	case info.NotRun && resp.Status == http.StatusMisdirectedRequest:
		return notRun, grant.Unreached
	case info.NotRun:
		return notRun, grant.Shed
	case resp.BodyRest != nil && cannotArrive(resp.ContentLength, time.Until(c.deadline)):
		return unknown, grant.Failed
	case resp.Status < http.StatusMultipleChoices && !info.Signed:
		return unknown, grant.Failed
	case resp.Status >= http.StatusInternalServerError || statusMeansNotRun(resp.Status):
		return faulty, grant.Failed
	}
	return answered, grant.Served
}

// cannotArrive reports whether a body is too long to arrive in the time that is left. After the time limit, its length says nothing
// about the upstream.
func cannotArrive(length int64, left time.Duration) bool {
	return left > 0 && float64(length) > maxBodyRate*left.Seconds()
}

// statusMeansNotRun reports whether callers conclude from a status that the request was not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// finalOutcome returns the outcome for a request without an answered attempt. It must not tell the caller that the
// request was not run if it may have run.
func (h *Handler) finalOutcome(ctx context.Context, c *call) *outcome {
	if c.r.Context().Err() != nil {
		return refuse(0, "caller has gone", 0)
	}
	late := ctx.Err() != nil
	mayHaveRun := false
	retryAfter := time.Duration(0)
	var failed *pool.Response
	for _, a := range c.attempts {
		switch {
		case !a.ended:
			mayHaveRun = true
		case a.result == faulty && !statusMeansNotRun(a.resp.Status):
			failed, mayHaveRun = a.resp, true
		case a.result == unknown || a.result == faulty:
			mayHaveRun = true
		}
		retryAfter = max(retryAfter, a.decision.RetryAfter)
	}
	switch {
	case failed != nil && failed.BodyRest == nil:
		return &outcome{resp: failed}
	case !mayHaveRun:
		return refuse(http.StatusServiceUnavailable, "not run by any upstream", max(retryAfter, minRetryAfter))
	case h.deps.Stop.Context().Err() != nil:
		return refuse(http.StatusGatewayTimeout, "host has stopped", 0)
	case late:
		return refuse(http.StatusGatewayTimeout, "time limit passed", 0)
	}
	return refuse(http.StatusBadGateway, "no complete response", 0)
}
