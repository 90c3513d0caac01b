package caller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/sardineload/plan"
	"sardinecross.example/sardineload/tally"
)

const (
	// maxAttempts limits the attempts of one call.
	maxAttempts = 5
	// responseGrace is how long a client waits after the deadline for the response that reports the missed deadline.
	responseGrace = 250 * time.Millisecond
	// defaultRetryAfter is the delay after a refusal that states none, and maxRetryAfter the longest delay that a client
	// obeys, both before jitter.
	defaultRetryAfter = 5 * time.Millisecond
	maxRetryAfter     = 200 * time.Millisecond
)

// Call is one request of the load.
type Call struct {
	Class plan.Class
	Kind  plan.Kind
	// Number identifies the call. It is unique among all runs of the load generator.
	Number   string
	Deadline time.Time
}

// attemptOutcome is what the client knows about the request after one attempt.
type attemptOutcome int

const (
	// served means that the client received the complete, correct response of an upstream.
	served attemptOutcome = iota
	// notRun means that the request did not and will not run, so that another attempt is safe.
	notRun
	// rejected means that the request did not and will not run, and that every other host would reject it too.
	rejected
	// unknown means that the request may have run or may still run.
	unknown
	// failed means that an upstream responded with an error.
	failed
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome attemptOutcome
	// connectionFailed means that the connection could not be opened or broke.
	connectionFailed bool
	// wrongResponse means that the response is not the complete and correct response to this request.
	wrongResponse bool
	// retryAfter is the delay before the next attempt that the host asked for; zero means that it stated none.
	retryAfter time.Duration
}

// callState accumulates the results of the attempts of a call.
type callState struct {
	attempts int
	// mayHaveRun is true once an attempt may have run. From then on, an order must keep its request ID or idempotency key.
	mayHaveRun    bool
	wrongResponse bool
	// requestID is the newest ID that a host has issued for an order of KindIssued.
	requestID string
}

// Do sends a call, retries it as long as that is safe and returns the result for the caller.
func (c *Client) Do(ctx context.Context, call Call) tally.Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(responseGrace))
	defer cancel()
	var state callState
	tried := make(map[string]bool)
	for state.attempts < maxAttempts && time.Now().Before(call.Deadline) {
		address := c.pickAddress(call, tried)
		tried[address] = true
		state.attempts++
		a := c.sendAttempt(ctx, call, address, &state)
		state.wrongResponse = state.wrongResponse || a.wrongResponse
		if a.connectionFailed {
			c.markFailed(address)
		}
		switch a.outcome {
		case served:
			return state.result(tally.Served)
		case failed:
			return state.result(tally.Failed)
		case rejected:
			return state.unansweredResult()
		case unknown:
			state.mayHaveRun = true
			if call.Kind == plan.KindNeither {
				return state.unansweredResult()
			}
		case notRun:
		}
		if !a.connectionFailed && !backOff(ctx, call.Deadline, a.retryAfter) {
			return state.unansweredResult()
		}
	}
	return state.unansweredResult()
}

// unansweredResult returns the result of a call that got no response from an upstream.
func (s *callState) unansweredResult() tally.Result {
	if s.mayHaveRun {
		return s.result(tally.Unknown)
	}
	return s.result(tally.NotRun)
}

func (s *callState) result(o tally.Outcome) tally.Result {
	return tally.Result{Outcome: o, Wrong: s.wrongResponse, Attempts: s.attempts}
}

// backOff waits before the next attempt, for d, or a default, plus a random addition. It returns false if the deadline
// comes first.
func backOff(ctx context.Context, deadline time.Time, d time.Duration) bool {
	if d <= 0 {
		d = defaultRetryAfter
	}
	d = min(d, maxRetryAfter)
	// The random addition keeps clients that were refused at the same time from retrying at the same time.
	d += rand.N(d/2 + 1)
	if time.Now().Add(d).After(deadline) {
		return false
	}
	return pause.For(ctx, d)
}

// pickAddress returns the first address that the call has not tried. If the call has tried all, it starts over with the
// first.
func (c *Client) pickAddress(call Call, tried map[string]bool) string {
	var addresses []string
	if c.opt.Direct {
		addresses = c.upstreamsByLoad(call.Class)
	} else {
		addresses = c.addresses(call.Class.Name)
	}
	for _, a := range addresses {
		if !tried[a] {
			return a
		}
	}
	clear(tried)
	return addresses[0]
}

// upstreamsByLoad returns the upstreams of a class, sorted by the number of this client's requests in flight to them,
// with upstreams to avoid last. Upstreams with equal numbers are in random order.
func (c *Client) upstreamsByLoad(class plan.Class) []string {
	var all []string
	for _, a := range class.Direct {
		all = append(all, a.String())
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(all, func(a, b string) int { return c.inFlight[a] - c.inFlight[b] })
	return c.avoidedLast(all)
}
