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

// prefix is common to all names in the text format.
const prefix = "sardined_"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all measurements in the text exposition format. The further counters are named in camelCase.
func (s *Set) WriteText(w io.Writer, further map[string]uint64) error {
	out := bufio.NewWriter(w)
	s.writeCounters(out, further)
	writeLabelled(out, "refused", "reason", s.refusals)
	writeTimings(out, s.classes)
	writeTimings(out, s.tenants)
	return out.Flush()
}

func (s *Set) writeCounters(out io.Writer, further map[string]uint64) {
	values := make(map[string]uint64, len(further))
	for name, v := range further {
		values[snake(name)] = v
	}
	s.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && !strings.HasPrefix(name, s.refusals.kind+".") {
			values[snake(name)] = uint64(c.Count())
		}
	})
	for _, name := range sortedKeys(values) {
		_, _ = fmt.Fprintf(out, "# TYPE %[1]s%[2]s_total counter\n%[1]s%[2]s_total %[3]d\n", prefix, name, values[name])
	}
}

func writeLabelled(out io.Writer, name, label string, c *counters) {
	values := make(map[string]int64)
	c.byName.Range(func(k, v any) bool {
		values[k.(string)] = v.(metrics.Counter).Count()
		return true
	})
	if len(values) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "# TYPE %s%s_total counter\n", prefix, name)
	for _, k := range sortedKeys(values) {
		_, _ = fmt.Fprintf(out, "%s%s_total{%s=%q} %d\n", prefix, name, label, k, values[k])
	}
}

func writeTimings(out io.Writer, t *timings) {
	byName := make(map[string]*timing)
	t.byName.Range(func(k, v any) bool {
		byName[k.(string)] = v.(*timing)
		return true
	})
	names := sortedKeys(byName)
	for _, part := range []struct {
		name string
		of   func(*timing) metrics.Histogram
	}{
		{"total", func(t *timing) metrics.Histogram { return t.total }},
		{"added", func(t *timing) metrics.Histogram { return t.added }},
		{"queue", func(t *timing) metrics.Histogram { return t.queue }},
	} {
		metric := prefix + t.kind + "_" + part.name + "_seconds"
		if len(names) > 0 {
			_, _ = fmt.Fprintf(out, "# TYPE %s summary\n", metric)
		}
		for _, name := range names {
			writeHistogram(out, metric, t.kind, name, part.of(byName[name]))
		}
	}
}

func writeHistogram(out io.Writer, metric, label, name string, h metrics.Histogram) {
	for i, v := range h.Percentiles(quantiles) {
		_, _ = fmt.Fprintf(out, "%s{%s=%q,quantile=\"%g\"} %g\n", metric, label, name, quantiles[i], v/1e6)
	}
	_, _ = fmt.Fprintf(out, "%s_count{%s=%q} %d\n", metric, label, name, h.Count())
}

// WriteJSON writes all measurements as JSON; times are in microseconds.
func (s *Set) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(s.registry, w) }

// snake converts a name in camelCase with dots to the form of the text format.
func snake(name string) string {
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
