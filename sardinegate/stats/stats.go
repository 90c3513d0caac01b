// Package stats collects the metrics of sardinegate and writes them in the Prometheus text format.
package stats

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha make a histogram favour the last five minutes, as go-metrics recommends.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// maxSeries limits the number of counters and, separately, that of histograms. Further counters are counted together
	// as otherSeries, further histograms are not kept.
	maxSeries   = 128
	otherSeries = "other"
	prefix      = "sardinegate_"
)

var quantiles = []float64{0.5, 0.9, 0.99}

// Gauge is a metric whose value is read when the metrics are written.
type Gauge struct {
	Name string
	Read func() float64
}

// Collector collects the metrics of one process. It is safe for concurrent use.
type Collector struct {
	gauges []Gauge

	mu         sync.Mutex
	counters   map[string]metrics.Counter
	histograms map[string]metrics.Histogram
}

// New returns a collector with the given gauges.
func New(gauges ...Gauge) *Collector {
	return &Collector{gauges: gauges, counters: make(map[string]metrics.Counter), histograms: make(map[string]metrics.Histogram)}
}

// Request counts a caller's request and records its duration.
func (s *Collector) Request(kind, outcome string, took time.Duration) {
	s.count(fmt.Sprintf("requests_total{kind=%q,outcome=%q}", kind, outcome))
	s.observe("request_seconds{kind="+fmt.Sprintf("%q", kind), took)
}

// Attempt counts an attempt at an upstream of a service and records its duration.
func (s *Collector) Attempt(service, outcome string, took time.Duration) {
	s.count(fmt.Sprintf("attempts_total{service=%q,outcome=%q}", service, outcome))
	s.observe("attempt_seconds{service="+fmt.Sprintf("%q", service), took)
}

// KeyRejected counts a request that was rejected for lack of a valid key.
func (s *Collector) KeyRejected(cause string) {
	s.count(fmt.Sprintf("keys_rejected_total{cause=%q}", cause))
}

// count increments a counter, or otherSeries if there are maxSeries counters already.
func (s *Collector) count(name string) {
	s.mu.Lock()
	c := s.counters[name]
	if c == nil {
		if len(s.counters) >= maxSeries {
			name = otherSeries + "_total"
		}
		if c = s.counters[name]; c == nil {
			c = metrics.NewCounter()
			s.counters[name] = c
		}
	}
	s.mu.Unlock()
	c.Inc(1)
}

// observe records a duration in a histogram. name lacks the closing brace of its labels, so that WriteText can add the
// quantile.
func (s *Collector) observe(name string, took time.Duration) {
	s.mu.Lock()
	h := s.histograms[name]
	if h == nil && len(s.histograms) < maxSeries {
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		s.histograms[name] = h
	}
	s.mu.Unlock()
	if h != nil {
		h.Update(took.Microseconds())
	}
}

// ServeHTTP implements http.Handler. It serves all metrics.
func (s *Collector) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.WriteText(w) // fails only if the client has closed the connection
}

// WriteText writes all metrics in the Prometheus text exposition format.
func (s *Collector) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, g := range s.gauges {
		_, _ = fmt.Fprintf(out, "%s%s %g\n", prefix, g.Name, g.Read())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range sorted(s.counters) {
		_, _ = fmt.Fprintf(out, "%s%s %d\n", prefix, name, s.counters[name].Count())
	}
	for _, name := range sorted(s.histograms) {
		h := s.histograms[name]
		for i, v := range h.Percentiles(quantiles) {
			_, _ = fmt.Fprintf(out, "%s%s,quantile=\"%g\"} %g\n", prefix, name, quantiles[i], v/1e6)
		}
	}
	return out.Flush()
}

// sorted returns the keys of m in order.
func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

var _ http.Handler = (*Collector)(nil)
