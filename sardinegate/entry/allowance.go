package entry

import (
	"context"
	"net/http"
	"time"

	"sardinecross.example/lib/orgs"
)

// Allowances limits the requests of organisations over all hosts; see quota.Quota.
type Allowances interface {
	// Take asks for one unit of an organisation. late is set if the request will probably miss its target. If no unit is
	// granted, retryAfter is the time after which there may be one.
	Take(ctx context.Context, o *orgs.Organisation, late bool) (granted bool, retryAfter time.Duration)
	// Return returns the unit of a request that did not run.
	Return(organisation string)
}

// sendWithinAllowance sends a request to upstreams if its organisation has a unit for it.
func (h *Handler) sendWithinAllowance(ctx context.Context, c *call) *outcome {
	o := c.organisation
	if o == nil || h.deps.Allowances == nil {
		return h.sendAttempts(ctx, c)
	}
	granted, retryAfter := h.deps.Allowances.Take(ctx, o, c.probablyLate())
	switch {
	case !granted && ctx.Err() != nil:
		return h.finalOutcome(ctx, c)
	case !granted:
		return refuse(http.StatusTooManyRequests, "allowance exceeded", max(retryAfter, minRetryAfter))
	}
	result := h.sendAttempts(ctx, c)
	if didNotRun(c, result) {
		h.deps.Allowances.Return(o.Name)
	}
	return result
}

// didNotRun reports whether no upstream has run a request or will run it.
func didNotRun(c *call, o *outcome) bool {
	return o.resp == nil && (o.status == http.StatusServiceUnavailable || len(c.attempts) == 0)
}
