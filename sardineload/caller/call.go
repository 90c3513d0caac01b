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
	// maxAttempts bounds the requests sent to hosts for one call.
	maxAttempts = 5
	// answerGrace is how long after the deadline a client waits for the answer that says so.
	answerGrace = 250 * time.Millisecond
	// defaultRetryAfter and maxRetryAfter bound the pause after a refusal.
	defaultRetryAfter = 5 * time.Millisecond
	maxRetryAfter     = 200 * time.Millisecond
)

// Call is one request of the load.
type Call struct {
	Class plan.Class
	Kind  plan.Kind
	// Number is unique among all loads.
	Number   string
	Deadline time.Time
}

// verdict is what a client learned from one attempt.
type verdict int

const (
	served verdict = iota
	// notRun means that the request did not and will not run; nothing speaks against another attempt.
	notRun
	// rejected means the same, but every host would answer so.
	rejected
	unknown
	failed
)

// attempt is the end of one attempt.
type attempt struct {
	verdict verdict
	// broken means that there was no connection or that it failed.
	broken     bool
	wrong      bool
	retryAfter time.Duration
}

// progress is what a call knows so far.
type progress struct {
	attempts int
	// unknown is true once an attempt may have run; then an order must keep its ID or key.
	unknown bool
	wrong   bool
	id      string
}

// Do makes a call with the attempts that are safe.
func (c *Client) Do(ctx context.Context, call Call) tally.Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(answerGrace))
	defer cancel()
	var p progress
	tried := make(map[string]bool)
	for p.attempts < maxAttempts && time.Now().Before(call.Deadline) {
		address := c.pick(call, tried)
		tried[address] = true
		p.attempts++
		a := c.attempt(ctx, call, address, &p)
		p.wrong = p.wrong || a.wrong
		if a.broken {
			c.failed(address)
		}
		switch a.verdict {
		case served:
			return p.result(tally.Served)
		case failed:
			return p.result(tally.Failed)
		case rejected:
			return p.end()
		case unknown:
			p.unknown = true
			if call.Kind == plan.KindNeither {
				return p.end()
			}
		case notRun:
		}
		if !a.broken && !backOff(ctx, call.Deadline, a.retryAfter) {
			return p.end()
		}
	}
	return p.end()
}

// end is the outcome without an answer of an upstream.
func (p *progress) end() tally.Result {
	if p.unknown {
		return p.result(tally.Unknown)
	}
	return p.result(tally.NotRun)
}

func (p *progress) result(o tally.Outcome) tally.Result {
	return tally.Result{Outcome: o, Wrong: p.wrong, Attempts: p.attempts}
}

// backOff waits before another attempt; it returns false if the deadline comes first.
func backOff(ctx context.Context, deadline time.Time, d time.Duration) bool {
	if d <= 0 {
		d = defaultRetryAfter
	}
	d = min(d, maxRetryAfter)
	// Clients that were refused together must not come back together.
	d += rand.N(d/2 + 1)
	if time.Now().Add(d).After(deadline) {
		return false
	}
	return pause.For(ctx, d)
}

// pick returns the first address that the call has not tried, or the first one if it tried all.
func (c *Client) pick(call Call, tried map[string]bool) string {
	var addresses []string
	if c.opt.Direct {
		addresses = c.upstreams(call.Class)
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

// upstreams returns the upstreams of a class, those with the fewest requests of this client first.
func (c *Client) upstreams(class plan.Class) []string {
	var all []string
	for _, a := range class.Direct {
		all = append(all, a.String())
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(all, func(a, b string) int { return c.inFlight[a] - c.inFlight[b] })
	return c.preferred(all)
}
