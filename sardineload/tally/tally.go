// Package tally collects the outcomes and latencies of a load and reports them.
package tally

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a request ended from the point of view of its caller.
type Outcome int

// Outcomes of requests.
const (
	// Served means that the caller received the complete response of an upstream that executed the request.
	Served Outcome = iota
	// NotRun means that every attempt got a response that says the request did not run, or got no connection.
	NotRun
	// Unknown means that the caller cannot know whether the request ran.
	Unknown
	// Failed means that an upstream responded with an error.
	Failed
	// numOutcomes is the number of outcomes.
	numOutcomes
)

// SeriesInterval is the length of one interval of the time series.
const SeriesInterval = 100 * time.Millisecond

// Result is the result of one request, after all its attempts.
type Result struct {
	Outcome Outcome
	// Wrong is true if a response was not the complete and correct response to this request.
	Wrong bool
	// Attempts is the number of attempts, including refused ones.
	Attempts int
}

// Tally collects the results of a load. It is safe for concurrent use.
type Tally struct {
	length time.Duration

	mu      sync.Mutex
	classes []*class
	// orders holds the outcome of each order, by order number.
	orders map[string]Outcome
	// sendDelay is the greatest delay between the due time of a request and its sending; it is caused by the tool itself.
	sendDelay time.Duration
	overruns  int64
}

// class holds the results of one class.
type class struct {
	name     string
	sent     int64
	outcomes [numOutcomes]int64
	wrong    int64
	attempts int64
	latency  *hdrhistogram.Histogram
	// servedAt holds the times at which requests were served, counted from the start of the load.
	servedAt []time.Duration
	series   []seriesPoint
}

// seriesPoint holds the results of the requests that were due in one interval of the time series.
type seriesPoint struct {
	sent      int64
	outcomes  [numOutcomes]int64
	latencies []time.Duration
}

// New returns a tally for a load with the given class names and length.
func New(names []string, length time.Duration) *Tally {
	t := &Tally{length: length, orders: make(map[string]Outcome)}
	for _, name := range names {
		t.classes = append(t.classes, &class{
			name:    name,
			latency: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
			series:  make([]seriesPoint, (length+SeriesInterval-1)/SeriesInterval),
		})
	}
	return t
}

// RecordSent records a request that was due at a time and that the tool sent after a delay.
func (t *Tally) RecordSent(class int, due, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[class]
	c.sent++
	c.pointAt(due).sent++
	t.sendDelay = max(t.sendDelay, delay)
}

// RecordOverrun records a request that was not sent because too many requests were in flight.
func (t *Tally) RecordOverrun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overruns++
}

// RecordResult records the result of a request. The latency is measured from the time at which the request was due, so
// that it includes a late send. The order number is empty if the request is not an order.
func (t *Tally) RecordResult(class int, order string, due, end time.Duration, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[class]
	c.outcomes[r.Outcome]++
	c.attempts += int64(r.Attempts)
	p := c.pointAt(due)
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
	// RecordValue fails only above the histogram's range of one hour, and the timeout of a request is at most 10 minutes.
	_ = c.latency.RecordValue(max(1, (end - due).Microseconds()))
	c.servedAt = append(c.servedAt, end)
	p.latencies = append(p.latencies, end-due)
}

// OrderOutcomes returns the outcome of each order, by order number.
func (t *Tally) OrderOutcomes() map[string]Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orders
}

// pointAt returns the point for a due time. The last point also takes later times.
func (c *class) pointAt(due time.Duration) *seriesPoint {
	return &c.series[min(len(c.series)-1, int(due/SeriesInterval))]
}

// widestGap returns the longest time between two served requests, including the time before the first and after the
// last one, within the length of the load.
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
