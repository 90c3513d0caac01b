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
	// WidestGap is the longest time without a served answer of any class.
	WidestGap float64 `json:"widestGap"`
	// SendDelay is the greatest time by which the tool itself sent a request late.
	SendDelay float64 `json:"sendDelay"`
	Overruns  int64   `json:"overruns"`
	// Orders is nil if the upstreams were not asked.
	Orders *Orders `json:"orders,omitempty"`
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

// Orders compares what callers were told with what the upstreams ran.
type Orders struct {
	Sent    int `json:"sent"`
	RunOnce int `json:"runOnce"`
	Doubled int `json:"doubled"`
	// Lost counts orders answered as served that never ran.
	Lost    int `json:"lost"`
	Unknown int `json:"unknown"`
	// FalseNotRun counts orders answered as not run that did run.
	FalseNotRun int `json:"falseNotRun"`
	// OverSlots holds the upstreams that had more requests in flight than slots, and by how many.
	OverSlots map[string]int `json:"overSlots"`
}

// Line returns the last line of the report.
func (o Orders) Line() string {
	return fmt.Sprintf("orders: sent=%d run_once=%d doubled=%d lost=%d unknown=%d", o.Sent, o.RunOnce, o.Doubled, o.Lost, o.Unknown)
}

// OK reports whether every order ran as its caller was told and no upstream had too much work.
func (o Orders) OK() bool {
	return o.Doubled == 0 && o.Lost == 0 && o.FalseNotRun == 0 && len(o.OverSlots) == 0
}

// Summary returns the results so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Seconds: t.length.Seconds(), SendDelay: millis(t.sendDelay), Overruns: t.overruns}
	var all []time.Duration
	for _, c := range t.classes {
		all = append(all, c.served...)
		s.Classes = append(s.Classes, ClassSummary{
			Name:      c.name,
			Sent:      c.sent,
			Served:    c.outcomes[Served],
			NotRun:    c.outcomes[NotRun],
			Unknown:   c.outcomes[Unknown],
			Failed:    c.outcomes[Failed],
			Wrong:     c.wrong,
			Attempts:  c.attempts,
			P50:       c.quantile(50),
			P99:       c.quantile(99),
			P999:      c.quantile(99.9),
			Max:       float64(c.latency.Max()) / 1000,
			WidestGap: millis(widestGap(c.served, t.length)),
		})
	}
	s.WidestGap = millis(widestGap(all, t.length))
	return s
}

// OK reports whether the load ran as planned, every class was served, and nothing went wrong with answers or orders.
func (s Summary) OK() bool {
	if s.Overruns > 0 || s.Orders != nil && !s.Orders.OK() {
		return false
	}
	return !slices.ContainsFunc(s.Classes, func(c ClassSummary) bool {
		return c.Wrong > 0 || c.Sent > 0 && c.Served == 0
	})
}

func (c *class) quantile(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTable writes the summary for people; its last line is about the orders.
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
		row(c.Name, c.Sent, c.Served, c.NotRun, c.Unknown, c.Failed, round(c.P50), round(c.P99), round(c.P999), round(c.Max), round(c.WidestGap))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "widest gap in service: %s ms (greatest send delay of the load tool: %s ms)\n", round(s.WidestGap), round(s.SendDelay))
	if err != nil {
		return err
	}
	return s.writeFaults(out)
}

// writeFaults writes what must not happen, and the line about orders.
func (s Summary) writeFaults(out io.Writer) error {
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
		lines = append(lines, s.Orders.faults()...)
		lines = append(lines, s.Orders.Line())
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return err
		}
	}
	return nil
}

func (o Orders) faults() []string {
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

func round(ms float64) string { return strconv.FormatFloat(ms, 'f', 2, 64) }

// WriteCSV writes the time series.
func (t *Tally) WriteCSV(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := csv.NewWriter(out)
	// Flush returns the error of every write.
	_ = w.Write([]string{"seconds", "class", "sent", "served", "notRun", "unknown", "failed", "p50Ms", "p99Ms"})
	for i := range (t.length + Interval - 1) / Interval {
		for _, c := range t.classes {
			p := c.series[i]
			slices.Sort(p.served)
			line := []string{strconv.FormatFloat((i * Interval).Seconds(), 'f', 1, 64), c.name, strconv.FormatInt(p.sent, 10)}
			for _, n := range p.outcomes {
				line = append(line, strconv.FormatInt(n, 10))
			}
			_ = w.Write(append(line, round(rank(p.served, 0.5)), round(rank(p.served, 0.99))))
		}
	}
	w.Flush()
	return w.Error()
}

// rank returns a quantile of sorted durations in milliseconds, zero if there are none.
func rank(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return millis(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))])
}
