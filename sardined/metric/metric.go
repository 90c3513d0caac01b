// Package metric collects the metrics of the daemon and writes them as text and JSON.
package metric

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"sardinecross.example/lib/core"
)

const (
	// maxClasses and maxTenants bound the memory of the histograms, since callers choose the names of tenants. Further
	// names are recorded together as otherName. The histograms of one class or tenant take about 30 kB.
	maxClasses = 64
	maxTenants = 64
	// maxReasons bounds the counters of refusals. Reasons come from the program, not from callers.
	maxReasons = 64
	// sampleSize and sampleAlpha are the values that go-metrics recommends: samples weighted towards the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// otherName is the name under which all names beyond a bound are recorded.
	otherName = "other"
	// noTenant is the tenant name of requests without a tenant.
	noTenant = "none"
)

// Set holds all metrics of one process. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	// LogReads and LogAppends count calls to the log, LogReadErrors failed reads of it, and HostListErrors failed reads of
	// the host list.
	LogReads       metrics.Counter
	LogReadErrors  metrics.Counter
	LogAppends     metrics.Counter
	HostListErrors metrics.Counter
	// UpstreamProbes counts probes of upstreams, UpstreamNewConns the attempts for which a connection was dialled.
	UpstreamProbes   metrics.Counter
	UpstreamNewConns metrics.Counter

	// The Peer counters concern the links to other hosts.
	PeerMessagesSent     metrics.Counter
	PeerMessagesReceived metrics.Counter
	PeerBytesSent        metrics.Counter
	PeerBytesReceived    metrics.Counter
	PeerMessagesDropped  metrics.Counter
	PeerMessagesInvalid  metrics.Counter
	PeerConnections      metrics.Counter

	// CallerConnections counts connections accepted from callers, CallerConnectionsRefused those closed at the limit.
	CallerConnections        metrics.Counter
	CallerConnectionsRefused metrics.Counter

	classes  *histogramFamily
	tenants  *histogramFamily
	refusals *counterFamily
	// outcomes counts attempts by core.Outcome; index 0 counts outcomes without a name.
	outcomes [core.OutcomeEndless + 1]metrics.Counter
}

// New returns a set whose counters are zero.
func New() *Set {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	s := &Set{
		registry:                 r,
		LogReads:                 counter("log.reads"),
		LogReadErrors:            counter("log.readErrors"),
		LogAppends:               counter("log.appends"),
		HostListErrors:           counter("hostList.errors"),
		UpstreamProbes:           counter("upstream.probes"),
		UpstreamNewConns:         counter("upstream.newConnections"),
		PeerMessagesSent:         counter("peer.messagesSent"),
		PeerMessagesReceived:     counter("peer.messagesReceived"),
		PeerBytesSent:            counter("peer.bytesSent"),
		PeerBytesReceived:        counter("peer.bytesReceived"),
		PeerMessagesDropped:      counter("peer.messagesDropped"),
		PeerMessagesInvalid:      counter("peer.messagesInvalid"),
		PeerConnections:          counter("peer.connections"),
		CallerConnections:        counter("caller.connections"),
		CallerConnectionsRefused: counter("caller.connectionsRefused"),
		classes:                  &histogramFamily{registry: r, kind: "class", limit: maxClasses},
		tenants:                  &histogramFamily{registry: r, kind: "tenant", limit: maxTenants},
		refusals:                 &counterFamily{registry: r, kind: "refused", limit: maxReasons},
	}
	for o, name := range outcomeNames {
		s.outcomes[o] = counter("attempt." + name)
	}
	return s
}

// outcomeNames are the names of the outcomes in metrics.
var outcomeNames = [core.OutcomeEndless + 1]string{
	0:                      "other",
	core.OutcomeComplete:   "complete",
	core.OutcomeNotSent:    "notSent",
	core.OutcomeShed:       "shed",
	core.OutcomeReset:      "reset",
	core.OutcomeTruncated:  "truncated",
	core.OutcomeDeadline:   "deadline",
	core.OutcomeCancelled:  "cancelled",
	core.OutcomeMismatched: "mismatched",
	core.OutcomeEndless:    "endless",
}

// ObserveRequest records the times of one delivered request: total from its arrival to the end of its answer, upstream
// for the delivered attempt, and queue from its arrival to the start of the first attempt.
func (s *Set) ObserveRequest(class, tenant string, total, upstream, queue time.Duration) {
	if tenant == "" {
		tenant = noTenant
	}
	s.classes.get(class).record(total, upstream, queue)
	s.tenants.get(tenant).record(total, upstream, queue)
}

// CountRefusal counts a refused request.
func (s *Set) CountRefusal(reason string) { s.refusals.get(reason).Inc(1) }

// CountAttempt counts an ended attempt; newConn reports that a connection was dialled for it.
func (s *Set) CountAttempt(outcome core.Outcome, newConn bool) {
	if outcome < 0 || int(outcome) >= len(s.outcomes) {
		outcome = 0
	}
	s.outcomes[outcome].Inc(1)
	if newConn {
		s.UpstreamNewConns.Inc(1)
	}
}

// requestHistograms holds the histograms of one class or tenant, in microseconds: the total time of a request, the time
// added to that of the delivered attempt, and the time before the first attempt.
type requestHistograms struct{ total, added, queue metrics.Histogram }

func (h *requestHistograms) record(total, upstream, queue time.Duration) {
	h.total.Update(total.Microseconds())
	h.added.Update((total - upstream).Microseconds())
	h.queue.Update(queue.Microseconds())
}

// histogramFamily holds the histograms of a bounded number of classes or tenants.
type histogramFamily struct {
	registry metrics.Registry
	// kind starts the names of the metrics, and is the label that holds the class or tenant in the text format.
	kind string
	// limit bounds nameCount.
	limit int
	// byName maps names to *requestHistograms; entries are added with mu held and never removed.
	byName sync.Map
	mu     sync.Mutex
	// nameCount is the number of names in byName without otherName. It is guarded by mu.
	nameCount int
}

// get returns the histograms of a name, or those of otherName if the family is full.
func (f *histogramFamily) get(name string) *requestHistograms {
	if v, ok := f.byName.Load(name); ok {
		return v.(*requestHistograms)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nameCount >= f.limit {
		name = otherName
	}
	if v, ok := f.byName.Load(name); ok {
		return v.(*requestHistograms)
	}
	if name != otherName {
		f.nameCount++
	}
	histogram := func(part string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(f.kind+"."+name+"."+part, f.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	v := &requestHistograms{total: histogram("total"), added: histogram("added"), queue: histogram("queue")}
	f.byName.Store(name, v)
	return v
}

// counterFamily holds the counters of a bounded number of names.
type counterFamily struct {
	registry metrics.Registry
	// kind starts the names of the metrics.
	kind string
	// limit bounds nameCount.
	limit int
	// byName maps names to metrics.Counter; entries are added with mu held and never removed.
	byName sync.Map
	mu     sync.Mutex
	// nameCount is the number of names in byName without otherName. It is guarded by mu.
	nameCount int
}

// get returns the counter of a name, or that of otherName if the family is full.
func (f *counterFamily) get(name string) metrics.Counter {
	if v, ok := f.byName.Load(name); ok {
		return v.(metrics.Counter)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nameCount >= f.limit {
		name = otherName
	}
	if v, ok := f.byName.Load(name); ok {
		return v.(metrics.Counter)
	}
	if name != otherName {
		f.nameCount++
	}
	v := metrics.NewRegisteredCounter(f.kind+"."+name, f.registry)
	f.byName.Store(name, v)
	return v
}
