package bench

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sardinecross.example/proofs/site"
	"sardinecross.example/sardinebench/trial"
)

// benchSettle is the part at the start of each load that the figures leave out: the hosts take up their first slots
// and all clients connect.
const benchSettle = 2 * time.Second

// benchDir is where results are written; git ignores it.
const benchDir = "../out"

// figures are those of one class in one window of a run; times are in milliseconds.
type figures struct {
	sent, served, notRun, unknown int
	p50, p99, max, gap            float64
	goodput                       float64
	// refusals are the times to a refusal.
	refusalP99, refusalMax float64
	codes                  map[string]int
}

// figures returns those of a class for the requests that were due in a window; the gap and the goodput
// count by the time of the answers.
func (r *benchRun) figures(class int, from, to time.Duration) figures {
	f := figures{codes: map[string]int{}}
	var times, refusals []time.Duration
	ends := []time.Duration{from, to}
	for _, s := range r.samples {
		if s.class != class {
			continue
		}
		if s.outcome == site.Served && s.end >= from && s.end < to {
			ends = append(ends, s.end)
		}
		if s.due < from || s.due >= to {
			continue
		}
		f.sent++
		switch s.outcome {
		case site.Served:
			f.served++
			times = append(times, s.end-s.due)
			continue
		case site.NotRun:
			f.notRun++
			refusals = append(refusals, s.end-s.due)
		case site.Unknown:
			f.unknown++
		}
		f.codes[s.code]++
	}
	f.p50, f.p99, f.max = quantileMs(times, 0.5), quantileMs(times, 0.99), quantileMs(times, 1)
	f.refusalP99, f.refusalMax = quantileMs(refusals, 0.99), quantileMs(refusals, 1)
	f.goodput = float64(len(ends)-2) / (to - from).Seconds() / r.spec.capacity(r.spec.classes[class])
	slices.Sort(ends)
	for i := range ends[1:] {
		f.gap = max(f.gap, toMs(ends[i+1]-ends[i]))
	}
	return f
}

// whole returns the figures of a class over the run without its start.
func (r *benchRun) whole(class int) figures { return r.figures(class, benchSettle, r.load.duration) }

func toMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantileMs returns a quantile in milliseconds, zero if there are no values.
func quantileMs(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return toMs(list[min(len(list)-1, int(q*float64(len(list))))])
}

// loadOnWorkers summarises the workers' own counts in a run.
type loadOnWorkers struct {
	// overSlots is the greatest in flight less the slots, overSettled the same without requests given up before.
	overSlots, overSettled int
	// overBearable is the greatest excess over what a worker bore, cold or not.
	overBearable   int
	fellOver, shed int64
	// measuring is the greatest part of a worker's time spent on probes and connections.
	measuring float64
}

func (r *benchRun) onWorkers() loadOnWorkers {
	l := loadOnWorkers{overSlots: -r.spec.slots, overSettled: 0}
	for _, w := range r.workers {
		l.overSlots = max(l.overSlots, w.GreatestInFlight-w.Slots)
		l.overSettled = max(l.overSettled, w.OverSlots)
		l.overBearable = max(l.overBearable, w.GreatestOver)
		l.fellOver += w.FellOver
		l.shed += w.Shed
		l.measuring = max(l.measuring, (w.ProbeTime+w.ConnectionTime)/toMs(r.load.duration))
	}
	return l
}

// benchReport collects the results of all runs.
type benchReport struct {
	t       *trial.T
	quick   bool
	table   strings.Builder
	rows    [][]string
	targets []string
}

func newBenchReport(t *trial.T) *benchReport {
	if err := os.MkdirAll(benchDir, 0o755); err != nil {
		t.Fatal(err)
	}
	return &benchReport{t: t, rows: [][]string{strings.Split(
		"site,scenario,variant,class,share,seconds,sent,served,notRun,unknown,p50Ms,p99Ms,maxMs,gapMs,goodput,loadAverage", ",",
	)}}
}

// add prints and keeps the results of one run.
func (p *benchReport) add(scenario, variant string, r *benchRun) {
	p.t.Helper()
	loadavg, _ := os.ReadFile("/proc/loadavg")
	average := strings.Fields(string(loadavg) + " ?")[0]
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tsent\tserved\tnot run\tunknown\tp50 ms\tp99 ms\tmax ms\tgap ms\tgoodput\t refused p99 ms\tmax ms\t")
	var codes []string
	for i, c := range r.spec.classes {
		f := r.whole(i)
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.3f\t%.1f\t%.1f\t\n", c.name, f.sent, f.served, f.notRun, f.unknown,
			f.p50, f.p99, f.max, f.gap, f.goodput, f.refusalP99, f.refusalMax)
		p.rows = append(p.rows, []string{
			r.spec.name, scenario, variant, c.name, text2(r.load.share), text2(r.load.duration.Seconds()), strconv.Itoa(f.sent),
			strconv.Itoa(f.served), strconv.Itoa(f.notRun), strconv.Itoa(f.unknown), text2(f.p50), text2(f.p99), text2(f.max),
			text2(f.gap), fmt.Sprintf("%.3f", f.goodput), average,
		})
		if len(f.codes) > 0 {
			codes = append(codes, fmt.Sprintf("%s %v", c.name, f.codes))
		}
	}
	_ = w.Flush()
	l := r.onWorkers()
	block := fmt.Sprintf("== %s, %s, %s: %.0f%% of capacity for %v, load average %s, latest send %.1f ms\n%s", r.spec.name, scenario, variant,
		100*r.load.share, r.load.duration, average, toMs(r.sendDelay), text.String())
	block += fmt.Sprintf("workers: greatest in flight less slots %+d (%d without abandoned requests), over what was borne %d, fell over %d, shed %d, measuring %.2f%%\n",
		l.overSlots, l.overSettled, l.overBearable, l.fellOver, l.shed, 100*l.measuring)
	if len(codes) > 0 {
		block += "not served: " + strings.Join(codes, "; ") + "\n"
	}
	p.table.WriteString(block + "\n")
	fmt.Println(block)
	if all := len(r.samples); all == 0 || !slices.ContainsFunc(r.samples, func(s benchSample) bool { return s.outcome == site.Served }) {
		p.t.Fatalf("%s, %s: nothing of %d requests was served", scenario, variant, all)
	}
}

func text2(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// note prints and keeps a figure that has no bound.
func (p *benchReport) note(text string) {
	p.table.WriteString(text + "\n")
	fmt.Println(text)
}

// target keeps one line about a target; whether it is met is a result, not a verdict on the run.
func (p *benchReport) target(name string, measured, bound float64, met bool) {
	verdict := "missed"
	if met {
		verdict = "met"
	}
	p.targets = append(p.targets, fmt.Sprintf("target %s: measured=%.3g bound=%.3g %s", name, measured, bound, verdict))
}

func (p *benchReport) atMost(name string, measured, bound float64) {
	p.target(name, measured, bound, measured <= bound)
}

// finish writes the files and prints the targets.
func (p *benchReport) finish() {
	p.t.Helper()
	p.write("bench.txt", p.table.String()+strings.Join(p.targets, "\n")+"\n")
	var text strings.Builder
	w := csv.NewWriter(&text)
	_ = w.WriteAll(p.rows)
	p.write("bench.csv", text.String())
	fmt.Println(strings.Join(p.targets, "\n"))
}

func (p *benchReport) write(name, text string) {
	p.t.Helper()
	if err := os.WriteFile(filepath.Join(benchDir, name), []byte(text), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

// series writes the latency over time of a run as CSV and SVG.
func (p *benchReport) series(name string, r *benchRun) {
	p.t.Helper()
	const width = 100 * time.Millisecond
	n := int(r.load.duration / width)
	rows := [][]string{strings.Split("seconds,class,sent,served,p50Ms,p99Ms", ",")}
	lines := make([][]float64, len(r.spec.classes))
	for i := range n {
		at := time.Duration(i) * width
		for k, c := range r.spec.classes {
			f := r.figures(k, at, at+width)
			lines[k] = append(lines[k], f.p99)
			rows = append(rows, []string{
				fmt.Sprintf("%.1f", at.Seconds()), c.name, strconv.Itoa(f.sent), strconv.Itoa(f.served), text2(f.p50), text2(f.p99),
			})
		}
	}
	var text strings.Builder
	_ = csv.NewWriter(&text).WriteAll(rows)
	p.write(name+".csv", text.String())
	p.write(name+".svg", plot(r, lines, width))
}

// plot draws the 99th percentile of each class over time and marks the events.
func plot(r *benchRun, lines [][]float64, width time.Duration) string {
	const wide, high, edge = 960.0, 360.0, 50.0
	top := 1.0
	for _, line := range lines {
		top = max(top, slices.Max(line))
	}
	x := func(at time.Duration) float64 { return edge + (wide-2*edge)*at.Seconds()/r.load.duration.Seconds() }
	y := func(v float64) float64 { return high - edge - (high-2*edge)*v/top }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" height="%.0f" font-family="sans-serif" font-size="12">`, wide, high)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%.0f" y="20">p99 in ms of each 100 ms, greatest %.0f, over %.0f s</text>`, edge, top, r.load.duration.Seconds())
	fmt.Fprintf(&b, `<path d="M%.0f %.0fH%.0fM%.0f %.0fV%.0f" stroke="black"/>`, edge, high-edge, wide-edge, edge, edge, high-edge)
	for _, e := range r.load.events {
		fmt.Fprintf(&b, `<path d="M%.1f %.0fV%.0f" stroke="grey" stroke-dasharray="4"/><text x="%.1f" y="%.0f">%s</text>`,
			x(e.at), edge, high-edge, x(e.at)+3, edge+10, e.what)
	}
	for k, line := range lines {
		colour := []string{"#1b6ca8", "#c0392b", "#2e8b57"}[k%3]
		fmt.Fprintf(&b, `<text x="%.0f" y="%.0f" fill="%s">%s</text><polyline fill="none" stroke="%s" points="`,
			edge+120*float64(k), high-15, colour, r.spec.classes[k].name, colour)
		for i, v := range line {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(time.Duration(i)*width), y(v))
		}
		b.WriteString(`"/>`)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
