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

// settlingTime is the time at the start of each load that the figures leave out. In it, the hosts acquire their first
// slots and all clients connect.
const settlingTime = 2 * time.Second

// outputDir is the directory for the results, which git ignores.
const outputDir = "../out"

// classFigures holds the figures of one class in one window of a load. Times are in milliseconds.
type classFigures struct {
	// sent counts all requests; served, notRun and unknown count them by outcome.
	sent, served, notRun, unknown int
	// p50, p99 and max are latencies of the served requests. longestGap is the longest time without a served request.
	p50, p99, max, longestGap float64
	// goodput is the rate of served requests as a fraction of the class's capacity.
	goodput float64
	// refusalP99 and refusalMax are latencies of the requests that were not run.
	refusalP99, refusalMax float64
	// errorCodes counts the requests that were not served by the error code of their last attempt.
	errorCodes map[string]int
}

// figures returns the figures of a class for the requests that were due in a window. The longest gap and the goodput
// cover the requests that were served in the window, whenever they were due.
func (r *loadResult) figures(class int, from, to time.Duration) classFigures {
	f := classFigures{errorCodes: map[string]int{}}
	var times, refusals []time.Duration
	// The bounds of the window count too, so that a gap at its start or end is measured.
	servedAt := []time.Duration{from, to}
	for _, s := range r.samples {
		if s.class != class {
			continue
		}
		if s.outcome == site.Served && s.end >= from && s.end < to {
			servedAt = append(servedAt, s.end)
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
		f.errorCodes[s.code]++
	}
	f.p50, f.p99, f.max = quantileMs(times, 0.5), quantileMs(times, 0.99), quantileMs(times, 1)
	f.refusalP99, f.refusalMax = quantileMs(refusals, 0.99), quantileMs(refusals, 1)
	f.goodput = float64(len(servedAt)-2) / (to - from).Seconds() / r.spec.capacity(r.spec.classes[class])
	slices.Sort(servedAt)
	for i := range servedAt[1:] {
		f.longestGap = max(f.longestGap, toMs(servedAt[i+1]-servedAt[i]))
	}
	return f
}

// overallFigures returns the figures of a class for the whole load after settlingTime.
func (r *loadResult) overallFigures(class int) classFigures {
	return r.figures(class, settlingTime, r.load.duration)
}

func toMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantileMs sorts the list and returns a quantile in milliseconds, zero for an empty list.
func quantileMs(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return toMs(list[min(len(list)-1, int(q*float64(len(list))))])
}

// workerLoad summarises the counters of all workers for one load.
type workerLoad struct {
	// overSlots is the greatest number of requests in flight less the slots, of any worker. overSlotsExceptAbandoned leaves
	// out requests that their client had abandoned before.
	overSlots, overSlotsExceptAbandoned int
	// overEffectiveSlots is the greatest excess of requests in flight over the effective slots of a worker, cold or warm.
	overEffectiveSlots int
	collapses, shed    int64
	// measuringShare is the greatest fraction of a worker's time that went into probes and new connections.
	measuringShare float64
}

func (r *loadResult) summariseWorkers() workerLoad {
	l := workerLoad{overSlots: -r.spec.slots, overSlotsExceptAbandoned: 0}
	for _, w := range r.workers {
		l.overSlots = max(l.overSlots, w.GreatestInFlight-w.Slots)
		l.overSlotsExceptAbandoned = max(l.overSlotsExceptAbandoned, w.OverSlots)
		l.overEffectiveSlots = max(l.overEffectiveSlots, w.OverEffectiveSlots)
		l.collapses += w.Collapses
		l.shed += w.Shed
		l.measuringShare = max(l.measuringShare, (w.ProbeTime+w.ConnectionTime)/toMs(r.load.duration))
	}
	return l
}

// report collects the results of all loads. It keeps the text and the target lines for bench.txt and the rows for
// bench.csv.
type report struct {
	t           *trial.T
	quick       bool
	text        strings.Builder
	csvRows     [][]string
	targetLines []string
}

func newReport(t *trial.T) *report {
	if err := os.MkdirAll(outputDir, 0o755); err != nil {
		t.Fatal(err)
	}
	return &report{t: t, csvRows: [][]string{strings.Split(
		"site,scenario,variant,class,share,seconds,sent,served,notRun,unknown,p50Ms,p99Ms,maxMs,gapMs,goodput,loadAverage", ",",
	)}}
}

// addRun prints the results of one load and adds them to the report. If no request was served, it ends the current
// step and fails the run.
func (p *report) addRun(scenario, variant string, r *loadResult) {
	p.t.Helper()
	loadavg, _ := os.ReadFile("/proc/loadavg")
	average := strings.Fields(string(loadavg) + " ?")[0]
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tsent\tserved\tnot run\tunknown\tp50 ms\tp99 ms\tmax ms\tgap ms\tgoodput\t refused p99 ms\tmax ms\t")
	var codes []string
	for i, c := range r.spec.classes {
		f := r.overallFigures(i)
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.3f\t%.1f\t%.1f\t\n", c.name, f.sent, f.served, f.notRun, f.unknown,
			f.p50, f.p99, f.max, f.longestGap, f.goodput, f.refusalP99, f.refusalMax)
		p.csvRows = append(p.csvRows, []string{
			r.spec.name, scenario, variant, c.name, formatTwoDecimals(r.load.share), formatTwoDecimals(r.load.duration.Seconds()), strconv.Itoa(f.sent),
			strconv.Itoa(f.served), strconv.Itoa(f.notRun), strconv.Itoa(f.unknown), formatTwoDecimals(f.p50), formatTwoDecimals(f.p99), formatTwoDecimals(f.max),
			formatTwoDecimals(f.longestGap), fmt.Sprintf("%.3f", f.goodput), average,
		})
		if len(f.errorCodes) > 0 {
			codes = append(codes, fmt.Sprintf("%s %v", c.name, f.errorCodes))
		}
	}
	_ = w.Flush()
	l := r.summariseWorkers()
	block := fmt.Sprintf("== %s, %s, %s: %.0f%% of capacity for %v, load average %s, latest send %.1f ms\n%s", r.spec.name, scenario, variant,
		100*r.load.share, r.load.duration, average, toMs(r.maxSendDelay), text.String())
	block += fmt.Sprintf("workers: greatest in flight less slots %+d (%d without abandoned requests), over what was borne %d, fell over %d, shed %d, measuring %.2f%%\n",
		l.overSlots, l.overSlotsExceptAbandoned, l.overEffectiveSlots, l.collapses, l.shed, 100*l.measuringShare)
	if len(codes) > 0 {
		block += "not served: " + strings.Join(codes, "; ") + "\n"
	}
	p.text.WriteString(block + "\n")
	fmt.Println(block)
	if all := len(r.samples); all == 0 || !slices.ContainsFunc(r.samples, func(s requestSample) bool { return s.outcome == site.Served }) {
		p.t.Fatalf("%s, %s: none of %d requests was served", scenario, variant, all)
	}
}

func formatTwoDecimals(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// addLine prints a line, such as a figure without a target, and adds it to the report.
func (p *report) addLine(text string) {
	p.text.WriteString(text + "\n")
	fmt.Println(text)
}

// addTarget adds a line about a target. A missed target is only reported and does not fail the run.
func (p *report) addTarget(name string, measured, bound float64, met bool) {
	result := "missed"
	if met {
		result = "met"
	}
	p.targetLines = append(p.targetLines, fmt.Sprintf("target %s: measured=%.3g bound=%.3g %s", name, measured, bound, result))
}

// addTargetAtMost adds a line about a target that is met if the measured value does not exceed the bound.
func (p *report) addTargetAtMost(name string, measured, bound float64) {
	p.addTarget(name, measured, bound, measured <= bound)
}

// finish writes bench.txt and bench.csv and prints the targets.
func (p *report) finish() {
	p.t.Helper()
	p.writeFile("bench.txt", p.text.String()+strings.Join(p.targetLines, "\n")+"\n")
	var text strings.Builder
	w := csv.NewWriter(&text)
	_ = w.WriteAll(p.csvRows)
	p.writeFile("bench.csv", text.String())
	fmt.Println(strings.Join(p.targetLines, "\n"))
}

func (p *report) writeFile(name, text string) {
	p.t.Helper()
	if err := os.WriteFile(filepath.Join(outputDir, name), []byte(text), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

// writeTimeSeries writes the latency of each class over time as CSV and SVG, in windows of 100 ms.
func (p *report) writeTimeSeries(name string, r *loadResult) {
	p.t.Helper()
	const window = 100 * time.Millisecond
	n := int(r.load.duration / window)
	rows := [][]string{strings.Split("seconds,class,sent,served,p50Ms,p99Ms", ",")}
	lines := make([][]float64, len(r.spec.classes))
	for i := range n {
		at := time.Duration(i) * window
		for k, c := range r.spec.classes {
			f := r.figures(k, at, at+window)
			lines[k] = append(lines[k], f.p99)
			rows = append(rows, []string{
				fmt.Sprintf("%.1f", at.Seconds()), c.name, strconv.Itoa(f.sent), strconv.Itoa(f.served), formatTwoDecimals(f.p50), formatTwoDecimals(f.p99),
			})
		}
	}
	var text strings.Builder
	_ = csv.NewWriter(&text).WriteAll(rows)
	p.writeFile(name+".csv", text.String())
	p.writeFile(name+".svg", renderSVG(r, lines, window))
}

// renderSVG draws the 99th percentile of each class over time, one value for each window, and marks the events.
func renderSVG(r *loadResult, lines [][]float64, window time.Duration) string {
	const svgWidth, svgHeight, margin = 960.0, 360.0, 50.0
	maxValue := 1.0
	for _, line := range lines {
		maxValue = max(maxValue, slices.Max(line))
	}
	x := func(at time.Duration) float64 {
		return margin + (svgWidth-2*margin)*at.Seconds()/r.load.duration.Seconds()
	}
	y := func(v float64) float64 { return svgHeight - margin - (svgHeight-2*margin)*v/maxValue }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" height="%.0f" font-family="sans-serif" font-size="12">`, svgWidth, svgHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%.0f" y="20">p99 in ms of each 100 ms, greatest %.0f, over %.0f s</text>`, margin, maxValue, r.load.duration.Seconds())
	fmt.Fprintf(&b, `<path d="M%.0f %.0fH%.0fM%.0f %.0fV%.0f" stroke="black"/>`, margin, svgHeight-margin, svgWidth-margin, margin, margin, svgHeight-margin)
	for _, e := range r.load.events {
		fmt.Fprintf(&b, `<path d="M%.1f %.0fV%.0f" stroke="grey" stroke-dasharray="4"/><text x="%.1f" y="%.0f">%s</text>`,
			x(e.at), margin, svgHeight-margin, x(e.at)+3, margin+10, e.label)
	}
	for k, line := range lines {
		colour := []string{"#1b6ca8", "#c0392b", "#2e8b57"}[k%3]
		fmt.Fprintf(&b, `<text x="%.0f" y="%.0f" fill="%s">%s</text><polyline fill="none" stroke="%s" points="`,
			margin+120*float64(k), svgHeight-15, colour, r.spec.classes[k].name, colour)
		for i, v := range line {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(time.Duration(i)*window), y(v))
		}
		b.WriteString(`"/>`)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
