package metric

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"

	metrics "github.com/rcrowley/go-metrics"
)

// namePrefix starts the names of all metrics in the text format.
const namePrefix = "sardined_"

// quantiles are written for each histogram in the text format.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all metrics in the Prometheus text exposition format. The keys of extra are the camelCase names of
// further counters.
func (s *Set) WriteText(w io.Writer, extra map[string]uint64) error {
	out := bufio.NewWriter(w)
	s.writeCounters(out, extra)
	writeCounterFamily(out, "refused", "reason", s.refusals)
	writeHistogramFamily(out, s.classes)
	writeHistogramFamily(out, s.tenants)
	return out.Flush()
}

// writeCounters writes the counters without a label.
func (s *Set) writeCounters(out io.Writer, extra map[string]uint64) {
	values := make(map[string]uint64, len(extra))
	for name, v := range extra {
		values[toSnakeCase(name)] = v
	}
	s.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && !strings.HasPrefix(name, s.refusals.kind+".") {
			values[toSnakeCase(name)] = uint64(c.Count())
		}
	})
	for _, name := range sortedKeys(values) {
		_, _ = fmt.Fprintf(out, "# TYPE %[1]s%[2]s_total counter\n%[1]s%[2]s_total %[3]d\n", namePrefix, name, values[name])
	}
}

// writeCounterFamily writes one counter for each name of the family, with the name as the value of label.
func writeCounterFamily(out io.Writer, name, label string, f *counterFamily) {
	values := make(map[string]int64)
	f.byName.Range(func(k, v any) bool {
		values[k.(string)] = v.(metrics.Counter).Count()
		return true
	})
	if len(values) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "# TYPE %s%s_total counter\n", namePrefix, name)
	for _, k := range sortedKeys(values) {
		_, _ = fmt.Fprintf(out, "%s%s_total{%s=%q} %d\n", namePrefix, name, label, k, values[k])
	}
}

// writeHistogramFamily writes a summary of total, added and queue for each name of the family.
func writeHistogramFamily(out io.Writer, f *histogramFamily) {
	byName := make(map[string]*requestHistograms)
	f.byName.Range(func(k, v any) bool {
		byName[k.(string)] = v.(*requestHistograms)
		return true
	})
	names := sortedKeys(byName)
	for _, part := range []struct {
		name      string
		histogram func(*requestHistograms) metrics.Histogram
	}{
		{"total", func(h *requestHistograms) metrics.Histogram { return h.total }},
		{"added", func(h *requestHistograms) metrics.Histogram { return h.added }},
		{"queue", func(h *requestHistograms) metrics.Histogram { return h.queue }},
	} {
		metric := namePrefix + f.kind + "_" + part.name + "_seconds"
		if len(names) > 0 {
			_, _ = fmt.Fprintf(out, "# TYPE %s summary\n", metric)
		}
		for _, name := range names {
			writeHistogram(out, metric, f.kind, name, part.histogram(byName[name]))
		}
	}
}

// writeHistogram writes the quantiles of h in seconds, and its count.
func writeHistogram(out io.Writer, metric, label, name string, h metrics.Histogram) {
	for i, v := range h.Percentiles(quantiles) {
		_, _ = fmt.Fprintf(out, "%s{%s=%q,quantile=\"%g\"} %g\n", metric, label, name, quantiles[i], v/1e6)
	}
	_, _ = fmt.Fprintf(out, "%s_count{%s=%q} %d\n", metric, label, name, h.Count())
}

// WriteJSON writes all metrics as JSON; times are in microseconds.
func (s *Set) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(s.registry, w) }

// toSnakeCase converts a camelCase name with dots to the snake case of the text format.
func toSnakeCase(name string) string {
	var b strings.Builder
	for _, c := range name {
		switch {
		case c == '.':
			b.WriteByte('_')
		case unicode.IsUpper(c):
			b.WriteByte('_')
			b.WriteRune(unicode.ToLower(c))
		default:
			b.WriteRune(c)
		}
	}
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
