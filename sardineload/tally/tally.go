// Package tally counts outcomes and latencies.
package tally

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes.
const (
	// Served means that the caller got the complete answer of an upstream that did its work.
	Served Outcome = iota
	// NotRun means that every attempt was answered as not run or had no connection.
	NotRun
	// Unknown means that the caller cannot know whether the request ran.
	Unknown
	// Failed means that an upstream answered with an error.
	Failed
	outcomes
)

// Interval is the length of one line of the time series.
const Interval = 100 * time.Millisecond

// Result is the end of one request.
type Result struct {
	Outcome Outcome
	// Wrong reports an answer that was not the complete one to this request.
	Wrong bool
	// Attempts counts the requests sent to hosts, including refused ones.
	Attempts int
}

// Tally collects results; it is safe for concurrent use.
type Tally struct {
	length time.Duration

	mu      sync.Mutex
	classes []*class
	// orders holds the outcome of each order by its number.
	orders map[string]Outcome
	// sendDelay is the greatest time by which the tool itself sent a request late.
	sendDelay time.Duration
	overruns  int64
}

type class struct {
	name     string
	sent     int64
	outcomes [outcomes]int64
	wrong    int64
	attempts int64
	latency  *hdrhistogram.Histogram
	// served holds the times of served answers, from the start of the load.
	served []time.Duration
	series []point
}

// point is one interval of the time series, by the time at which the requests were due.
type point struct {
	sent     int64
	outcomes [outcomes]int64
	served   []time.Duration
}

// New returns a tally for a load of a length.
func New(names []string, length time.Duration) *Tally {
	t := &Tally{length: length, orders: make(map[string]Outcome)}
	for _, name := range names {
		t.classes = append(t.classes, &class{
			name:    name,
			latency: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
			series:  make([]point, (length+Interval-1)/Interval),
		})
	}
	return t
}

// Sent counts a request that was due at a time and sent after a delay of the tool.
func (t *Tally) Sent(class int, due, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[class]
	c.sent++
	c.point(due).sent++
	t.sendDelay = max(t.sendDelay, delay)
}

// Overrun counts a request that was not sent because too many were in flight.
func (t *Tally) Overrun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overruns++
}

// Ended counts a result. The latency runs from the time at which the request was due, so that a late send counts.
// The order number is empty if the request was no order.
func (t *Tally) Ended(class int, order string, due, end time.Duration, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[class]
	c.outcomes[r.Outcome]++
	c.attempts += int64(r.Attempts)
	p := c.point(due)
	p.outcomes[r.Outcome]++
	if r.Wrong {
		c.wrong++
	}
	if order != "" {
		t.orders[order] = r.Outcome
	}
	if r.Outcome != Served {
		return
	}
	// Values out of the histogram's range cannot occur below an hour.
	_ = c.latency.RecordValue(max(1, (end - due).Microseconds()))
	c.served = append(c.served, end)
	p.served = append(p.served, end-due)
}

// Orders returns the outcome of each order.
func (t *Tally) Orders() map[string]Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orders
}

func (c *class) point(due time.Duration) *point {
	return &c.series[min(len(c.series)-1, int(due/Interval))]
}

// widestGap returns the longest time without a served answer, from the start to the end of the load.
func widestGap(served []time.Duration, length time.Duration) time.Duration {
	times := slices.Clone(served)
	slices.Sort(times)
	gap, last := time.Duration(0), time.Duration(0)
	for _, at := range times {
		at = min(at, length)
		gap = max(gap, at-last)
		last = at
	}
	return max(gap, length-last)
}
