// Package metric collects the daemon's measurements.
package metric

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"sardinecross.example/lib/core"
)

const (
	// maxClasses and maxTenants bound memory; names above them are counted as other. A class or tenant costs about 30 kB.
	maxClasses = 64
	maxTenants = 64
	// maxReasons bounds the counters of refusals; reasons come from the program, not from callers.
	maxReasons = 64
	// sampleSize and sampleAlpha weight the last five minutes, as go-metrics recommends.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// otherName stands for all names above a bound.
	otherName = "other"
	// noTenant stands for requests without a tenant.
	noTenant = "none"
)

// Set holds all measurements of one process; it is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	LogReads       metrics.Counter
	LogReadErrors  metrics.Counter
	LogAppends     metrics.Counter
	HostListErrors metrics.Counter
	Probes         metrics.Counter
	NewConns       metrics.Counter

	PeerMessagesSent     metrics.Counter
	PeerMessagesReceived metrics.Counter
	PeerBytesSent        metrics.Counter
	PeerBytesReceived    metrics.Counter
	PeerMessagesDropped  metrics.Counter
	PeerMessagesInvalid  metrics.Counter
	PeerConnections      metrics.Counter

	CallerConnections metrics.Counter
	CallerRefused     metrics.Counter

	classes  *timings
	tenants  *timings
	refusals *counters
	outcomes [core.OutcomeMismatched + 1]metrics.Counter
}

// New returns an empty set.
func New() *Set {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	s := &Set{
		registry:             r,
		LogReads:             counter("log.reads"),
		LogReadErrors:        counter("log.readErrors"),
		LogAppends:           counter("log.appends"),
		HostListErrors:       counter("hostList.errors"),
		Probes:               counter("upstream.probes"),
		NewConns:             counter("upstream.newConnections"),
		PeerMessagesSent:     counter("peer.messagesSent"),
		PeerMessagesReceived: counter("peer.messagesReceived"),
		PeerBytesSent:        counter("peer.bytesSent"),
		PeerBytesReceived:    counter("peer.bytesReceived"),
		PeerMessagesDropped:  counter("peer.messagesDropped"),
		PeerMessagesInvalid:  counter("peer.messagesInvalid"),
		PeerConnections:      counter("peer.connections"),
		CallerConnections:    counter("caller.connections"),
		CallerRefused:        counter("caller.connectionsRefused"),
		classes:              &timings{registry: r, kind: "class", limit: maxClasses},
		tenants:              &timings{registry: r, kind: "tenant", limit: maxTenants},
		refusals:             &counters{registry: r, kind: "refused", limit: maxReasons},
	}
	for o, name := range outcomeNames {
		s.outcomes[o] = counter("attempt." + name)
	}
	return s
}

var outcomeNames = [core.OutcomeMismatched + 1]string{
	0:                      "other",
	core.OutcomeComplete:   "complete",
	core.OutcomeNotSent:    "notSent",
	core.OutcomeShed:       "shed",
	core.OutcomeReset:      "reset",
	core.OutcomeTruncated:  "truncated",
	core.OutcomeDeadline:   "deadline",
	core.OutcomeCancelled:  "cancelled",
	core.OutcomeMismatched: "mismatched",
}

// Request records one delivered request: its total time, the time of the delivered attempt and the time before the first attempt.
func (s *Set) Request(class, tenant string, total, upstream, queue time.Duration) {
	if tenant == "" {
		tenant = noTenant
	}
	s.classes.get(class).record(total, upstream, queue)
	s.tenants.get(tenant).record(total, upstream, queue)
}

// Refused counts a refusal.
func (s *Set) Refused(reason string) { s.refusals.get(reason).Inc(1) }

// Attempt counts an ended attempt.
func (s *Set) Attempt(outcome core.Outcome, newConn bool) {
	if outcome < 0 || int(outcome) >= len(s.outcomes) {
		outcome = 0
	}
	s.outcomes[outcome].Inc(1)
	if newConn {
		s.NewConns.Inc(1)
	}
}

// timing holds the histograms of one name, in microseconds.
type timing struct{ total, added, queue metrics.Histogram }

func (t *timing) record(total, upstream, queue time.Duration) {
	t.total.Update(total.Microseconds())
	t.added.Update((total - upstream).Microseconds())
	t.queue.Update(queue.Microseconds())
}

// timings holds the histograms of a bounded number of names.
type timings struct {
	registry metrics.Registry
	kind     string
	limit    int
	byName   sync.Map
	mu       sync.Mutex
	// n counts the names, otherName left out; it is guarded by mu.
	n int
}

func (t *timings) get(name string) *timing {
	if v, ok := t.byName.Load(name); ok {
		return v.(*timing)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n >= t.limit {
		name = otherName
	}
	if v, ok := t.byName.Load(name); ok {
		return v.(*timing)
	}
	if name != otherName {
		t.n++
	}
	h := func(part string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(t.kind+"."+name+"."+part, t.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	v := &timing{total: h("total"), added: h("added"), queue: h("queue")}
	t.byName.Store(name, v)
	return v
}

// counters holds counters for a bounded number of names.
type counters struct {
	registry metrics.Registry
	kind     string
	limit    int
	byName   sync.Map
	mu       sync.Mutex
	// n counts the names, otherName left out; it is guarded by mu.
	n int
}

func (c *counters) get(name string) metrics.Counter {
	if v, ok := c.byName.Load(name); ok {
		return v.(metrics.Counter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n >= c.limit {
		name = otherName
	}
	if v, ok := c.byName.Load(name); ok {
		return v.(metrics.Counter)
	}
	if name != otherName {
		c.n++
	}
	v := metrics.NewRegisteredCounter(c.kind+"."+name, c.registry)
	c.byName.Store(name, v)
	return v
}
