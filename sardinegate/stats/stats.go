// Package stats collects the measurements of the entry host and writes them as text.
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
	// sampleSize and sampleAlpha weight the last five minutes, as go-metrics recommends.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// maxNames bounds the names of each family; further ones are counted as other.
	maxNames  = 128
	otherName = "other"
	prefix    = "sardinegate_"
)

var quantiles = []float64{0.5, 0.9, 0.99}

// Gauge is a value that is read when the measurements are written.
type Gauge struct {
	Name string
	Read func() float64
}

// Set is safe for concurrent use.
type Set struct {
	gauges []Gauge

	mu       sync.Mutex
	counters map[string]metrics.Counter
	times    map[string]metrics.Histogram
}

// New returns a set that also writes the gauges.
func New(gauges ...Gauge) *Set {
	return &Set{gauges: gauges, counters: make(map[string]metrics.Counter), times: make(map[string]metrics.Histogram)}
}

// Request counts a caller's request and its time.
func (s *Set) Request(kind, outcome string, took time.Duration) {
	s.count(fmt.Sprintf("requests_total{kind=%q,outcome=%q}", kind, outcome))
	s.observe("request_seconds{kind="+fmt.Sprintf("%q", kind), took)
}

// Attempt counts an attempt at an upstream of a service.
func (s *Set) Attempt(service, outcome string, took time.Duration) {
	s.count(fmt.Sprintf("attempts_total{service=%q,outcome=%q}", service, outcome))
	s.observe("attempt_seconds{service="+fmt.Sprintf("%q", service), took)
}

func (s *Set) count(name string) {
	s.mu.Lock()
	c := s.counters[name]
	if c == nil {
		if len(s.counters) >= maxNames {
			name = otherName + "_total"
		}
		if c = s.counters[name]; c == nil {
			c = metrics.NewCounter()
			s.counters[name] = c
		}
	}
	s.mu.Unlock()
	c.Inc(1)
}

func (s *Set) observe(name string, took time.Duration) {
	s.mu.Lock()
	h := s.times[name]
	if h == nil && len(s.times) < maxNames {
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		s.times[name] = h
	}
	s.mu.Unlock()
	if h != nil {
		h.Update(took.Microseconds())
	}
}

// ServeHTTP implements http.Handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.WriteText(w) // the reader has gone
}

// WriteText writes all measurements in the text exposition format.
func (s *Set) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, g := range s.gauges {
		_, _ = fmt.Fprintf(out, "%s%s %g\n", prefix, g.Name, g.Read())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range sorted(s.counters) {
		_, _ = fmt.Fprintf(out, "%s%s %d\n", prefix, name, s.counters[name].Count())
	}
	for _, name := range sorted(s.times) {
		h := s.times[name]
		for i, v := range h.Percentiles(quantiles) {
			_, _ = fmt.Fprintf(out, "%s%s,quantile=\"%g\"} %g\n", prefix, name, quantiles[i], v/1e6)
		}
	}
	return out.Flush()
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

var _ http.Handler = (*Set)(nil)
