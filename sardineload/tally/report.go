package tally

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Summary is the result of a load; times are in milliseconds.
type Summary struct {
	Seconds float64        `json:"seconds"`
	Classes []ClassSummary `json:"classes"`
	// WidestGap is the longest time in which no request of any class was served.
	WidestGap float64 `json:"widestGap"`
	// SendDelay is the greatest delay between the due time of a request and its sending; it is caused by the tool itself.
	SendDelay float64 `json:"sendDelay"`
	// Overruns counts requests that were not sent because too many were in flight.
	Overruns int64 `json:"overruns"`
	// Orders is nil if the orders were not compared with the runs at the upstreams.
	Orders *OrderComparison `json:"orders,omitempty"`
}

// ClassSummary is the result of one class; times are in milliseconds.
type ClassSummary struct {
	Name      string  `json:"name"`
	Sent      int64   `json:"sent"`
	Served    int64   `json:"served"`
	NotRun    int64   `json:"notRun"`
	Unknown   int64   `json:"unknown"`
	Failed    int64   `json:"failed"`
	Wrong     int64   `json:"wrong"`
	Attempts  int64   `json:"attempts"`
	P50       float64 `json:"p50"`
	P99       float64 `json:"p99"`
	P999      float64 `json:"p999"`
	Max       float64 `json:"max"`
	WidestGap float64 `json:"widestGap"`
}

// OrderComparison compares the outcomes that callers received with the runs at the upstreams.
type OrderComparison struct {
	Sent    int `json:"sent"`
	RunOnce int `json:"runOnce"`
	// Doubled counts orders that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts orders that were reported as served but never ran.
	Lost int `json:"lost"`
	// Unknown counts orders whose outcome the caller does not know; they are not faults.
	Unknown int `json:"unknown"`
	// FalseNotRun counts orders that were reported as not run but did run.
	FalseNotRun int `json:"falseNotRun"`
	// OverSlots holds the upstreams that had more requests in flight than slots, and by how many.
	OverSlots map[string]int `json:"overSlots"`
}

// ResultLine returns the last line of the report, which scripts read.
func (o OrderComparison) ResultLine() string {
	return fmt.Sprintf("orders: sent=%d run_once=%d doubled=%d lost=%d unknown=%d", o.Sent, o.RunOnce, o.Doubled, o.Lost, o.Unknown)
}

// OK reports whether the runs of all orders agree with the outcomes and no upstream had more requests in flight than
// slots.
func (o OrderComparison) OK() bool {
	return o.Doubled == 0 && o.Lost == 0 && o.FalseNotRun == 0 && len(o.OverSlots) == 0
}

// Summary returns a summary of the results recorded so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Seconds: t.length.Seconds(), SendDelay: millis(t.sendDelay), Overruns: t.overruns}
	var all []time.Duration
	for _, c := range t.classes {
		all = append(all, c.servedAt...)
		s.Classes = append(s.Classes, ClassSummary{
			Name:      c.name,
			Sent:      c.sent,
			Served:    c.outcomes[Served],
			NotRun:    c.outcomes[NotRun],
			Unknown:   c.outcomes[Unknown],
			Failed:    c.outcomes[Failed],
			Wrong:     c.wrong,
			Attempts:  c.attempts,
			P50:       c.percentileMillis(50),
			P99:       c.percentileMillis(99),
			P999:      c.percentileMillis(99.9),
			Max:       float64(c.latency.Max()) / 1000,
			WidestGap: millis(widestGap(c.servedAt, t.length)),
		})
	}
	s.WidestGap = millis(widestGap(all, t.length))
	return s
}

// OK reports whether all requests were sent, every class was served, all responses were correct, and the orders, if
// compared, have no faults.
func (s Summary) OK() bool {
	if s.Overruns > 0 || s.Orders != nil && !s.Orders.OK() {
		return false
	}
	return !slices.ContainsFunc(s.Classes, func(c ClassSummary) bool {
		return c.Wrong > 0 || c.Sent > 0 && c.Served == 0
	})
}

// percentileMillis returns a percentile of the latency in milliseconds. The histogram counts microseconds.
func (c *class) percentileMillis(q float64) float64 {
	return float64(c.latency.ValueAtQuantile(q)) / 1000
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTable writes the summary as text. Its last line is about the orders.
func (s Summary) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		for _, c := range cells {
			_, _ = fmt.Fprintf(w, "%v\t", c) // Flush returns the error
		}
		_, _ = fmt.Fprintln(w)
	}
	row("class", "sent", "served", "not run", "unknown", "failed", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "gap ms")
	for _, c := range s.Classes {
		row(c.Name, c.Sent, c.Served, c.NotRun, c.Unknown, c.Failed, formatMillis(c.P50), formatMillis(c.P99), formatMillis(c.P999), formatMillis(c.Max), formatMillis(c.WidestGap))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "widest gap in service: %s ms (greatest send delay of the load tool: %s ms)\n", formatMillis(s.WidestGap), formatMillis(s.SendDelay))
	if err != nil {
		return err
	}
	return s.writeFaultsAndOrders(out)
}

// writeFaultsAndOrders writes a line for each fault of the run, and the line about the orders.
func (s Summary) writeFaultsAndOrders(out io.Writer) error {
	lines := []string{}
	if s.Overruns > 0 {
		lines = append(lines, fmt.Sprintf("not sent because too many requests were in flight: %d", s.Overruns))
	}
	for _, c := range s.Classes {
		if c.Wrong > 0 {
			lines = append(lines, fmt.Sprintf("answers of class %s to another request or with a wrong checksum: %d", c.Name, c.Wrong))
		}
		if c.Sent > 0 && c.Served == 0 {
			lines = append(lines, fmt.Sprintf("class %s was never served", c.Name))
		}
	}
	if s.Orders == nil {
		lines = append(lines, "orders: not compared")
	} else {
		lines = append(lines, s.Orders.faultLines()...)
		lines = append(lines, s.Orders.ResultLine())
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return err
		}
	}
	return nil
}

// faultLines returns a line for each fault that ResultLine does not show.
func (o OrderComparison) faultLines() []string {
	lines := []string{}
	for id, over := range o.OverSlots {
		lines = append(lines, fmt.Sprintf("upstream %s was over its slots by %d", id, over))
	}
	slices.Sort(lines)
	if o.FalseNotRun > 0 {
		lines = append(lines, fmt.Sprintf("orders answered as not run that did run: %d", o.FalseNotRun))
	}
	return lines
}

func formatMillis(ms float64) string { return strconv.FormatFloat(ms, 'f', 2, 64) }

// WriteCSV writes the time series, with one row for each interval and class.
func (t *Tally) WriteCSV(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := csv.NewWriter(out)
	// The errors of Write are ignored here because Error returns the first one after Flush.
	_ = w.Write([]string{"seconds", "class", "sent", "served", "notRun", "unknown", "failed", "p50Ms", "p99Ms"})
	for i := range (t.length + SeriesInterval - 1) / SeriesInterval {
		for _, c := range t.classes {
			p := c.series[i]
			slices.Sort(p.latencies)
			line := []string{strconv.FormatFloat((i * SeriesInterval).Seconds(), 'f', 1, 64), c.name, strconv.FormatInt(p.sent, 10)}
			for _, n := range p.outcomes {
				line = append(line, strconv.FormatInt(n, 10))
			}
			_ = w.Write(append(line, formatMillis(quantileMillis(p.latencies, 0.5)), formatMillis(quantileMillis(p.latencies, 0.99))))
		}
	}
	w.Flush()
	return w.Error()
}

// quantileMillis returns a quantile of sorted durations in milliseconds, or zero if there are none.
func quantileMillis(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return millis(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))])
}
