// Package bench measures a site against its targets and against baselines without hosts.
package bench

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"sardinecross.example/sardinebench/trial"
)

// Settings select what is measured.
type Settings struct {
	// Quick measures one site at a constant service time, for a shorter time.
	Quick bool
	// Scenarios are the names of scenarios and sites; empty means all.
	Scenarios []string
}

// Run measures a site against its targets and against baselines without hosts. Figures depend on the machine, so a
// missed target does not fail the run.
func Run(t *trial.T, cfg Settings) {
	p := newBenchReport(t)
	p.quick = cfg.Quick
	selected := cfg.Scenarios
	if p.quick {
		selected = []string{"steady"}
	}
	want := func(name string) bool {
		return len(selected) == 0 || slices.Contains(selected, name)
	}
	for _, spec := range []benchSpec{hofbauerSpec(), associationSpec()} {
		if spec.name != "hofbauer" && (p.quick || len(selected) > 0 && !want(spec.name)) {
			continue
		}
		if want("steady") {
			p.steadySite(spec)
		}
		if !slices.Equal(selected, []string{"steady"}) {
			p.changingSite(spec, want)
		}
	}
	p.finish()
}

// length shortens a load in the quick run.
func (p *benchReport) length(d time.Duration) time.Duration {
	if p.quick {
		return benchSettle + (d-benchSettle)/4
	}
	return d
}

// steadySite compares the ways at a constant service time, where the difference of quantiles is the added time.
func (p *benchReport) steadySite(spec benchSpec) {
	p.t.Run(spec.name+"/steady", func(t *trial.T) {
		b := newBenchSite(t, spec.constant(50*time.Millisecond))
		sys := b.system()
		p.warmUp(b, sys)
		load := benchLoad{duration: p.length(18 * time.Second), share: 0.7}
		through := b.run(load, sys)
		p.add("steady", "system", through)
		best := b.run(load, b.direct(leastInFlight))
		p.add("steady", "direct, all counts known", best)
		p.add("steady", "two choices", b.run(load, b.direct(twoChoices)))
		if !p.quick {
			p.add("steady", "round robin", b.run(load, b.direct(roundRobin)))
		}
		for i, c := range spec.classes {
			x, y := through.whole(i), best.whole(i)
			p.note(fmt.Sprintf("%s added time p50 of %s: %.2f ms", spec.name, c.name, x.p50-y.p50))
			p.atMost(spec.name+" added time p99 of "+c.name+" (ms)", x.p99-y.p99, 0.56)
		}
		p.inFlight(spec.name+" steady", through)
		if p.quick {
			p.dataCentre(b, sys)
		}
	})
}

// warmUp loads a new site until all workers are warm.
func (p *benchReport) warmUp(b *benchSite, sys *throughSystem) {
	b.T.Helper()
	first := b.run(benchLoad{duration: 4 * time.Second, share: 0.5}, sys)
	for range 5 {
		cold := 0
		for _, w := range b.benchWorkers() {
			if w.State != "ready" {
				cold++
			}
		}
		if cold == 0 {
			break
		}
		p.add("cold start", strconv.Itoa(cold)+" workers still cold", first)
		b.run(benchLoad{duration: 3 * time.Second, share: 0.7}, sys)
	}
	p.add("cold start", "system", first)
	p.atMost(b.spec.name+" cold start, in flight over what was borne", float64(first.onWorkers().overBearable), 0)
}

// inFlight adds the targets on what the workers got.
func (p *benchReport) inFlight(name string, r *benchRun) {
	l := r.onWorkers()
	p.atMost(name+", greatest in flight less slots", float64(l.overSlots), 0)
	p.atMost(name+", share of a worker's time for measuring", l.measuring, 0.01)
}

func (p *benchReport) changingSite(spec benchSpec, want func(string) bool) {
	p.t.Run(spec.name, func(t *trial.T) {
		b := newBenchSite(t, spec.varying(40*time.Millisecond, 100*time.Millisecond))
		sys := b.system()
		p.warmUp(b, sys)
		for _, s := range []struct {
			name string
			run  func(*benchSite, *throughSystem)
		}{
			{"dataCentre", p.dataCentre},
			{"stragglers", p.stragglers},
			{"overload", p.overload},
			{"coldClass", p.coldClass},
			{"coldWorker", p.coldWorker},
			{"failFast", p.failFast},
			{"shift", p.shift},
			{"logDown", p.logDown},
			{"hostKilled", p.hostKilled},
		} {
			extra := s.name != "dataCentre" && s.name != "stragglers"
			if want(s.name) && (spec.name == "hofbauer" || !extra) {
				s.run(b, sys)
			}
		}
	})
}

// dataCentre takes a data centre out of service and back. The remaining ones must be able to carry the load.
func (p *benchReport) dataCentre(b *benchSite, sys *throughSystem) {
	out, back, end := 5*time.Second, 12*time.Second, 18*time.Second
	if p.quick {
		out, back, end = 3*time.Second, 6*time.Second, 9*time.Second
	}
	dc := b.spec.dataCentres[1]
	operate := func(what string) func() {
		return func() {
			if r := b.RunCtlWithSettings(what, "dataCentre", dc); r.ExitCode != 0 {
				b.T.Errorf("%s %s: exit code %d: %s%s", what, dc, r.ExitCode, r.Stdout, r.Stderr)
			}
		}
	}
	load := benchLoad{duration: end, share: 0.45, events: []benchEvent{
		{out, dc + " out", operate("out")}, {back, dc + " back", operate("back")},
	}}
	r := b.run(load, sys)
	p.add("data centre out and back", "system", r)
	p.series("dataCentre-"+b.spec.name, r)
	lost, gap, over := 0, 0.0, 0.0
	for i, c := range b.spec.classes {
		f := r.whole(i)
		lost += f.unknown
		gap = max(gap, f.gap)
		for _, at := range []time.Duration{out, back} {
			near := r.figures(i, at, at+2*time.Second)
			over = max(over, near.p99/toMs(c.target))
			p.note(fmt.Sprintf("%s %s, 2 s after %v: p99 %.1f ms, target %v, not run %d", b.spec.name, c.name, at, near.p99, c.target, near.notRun))
		}
	}
	name := b.spec.name + " data centre out and back, "
	p.atMost(name+"failed and not refused \"not run\"", float64(lost), 0)
	p.atMost(name+"widest time without a served request of a class (ms)", gap, 100)
	p.atMost(name+"p99 in the 2 s after a change as a part of the target", over, 1)
	p.atMost(name+"in flight over what was borne", float64(r.onWorkers().overBearable), 0)
	p.inFlight(name[:len(name)-2], r)
}

// stragglers slows a tenth of the workers tenfold.
func (p *benchReport) stragglers(b *benchSite, sys *throughSystem) {
	for _, id := range b.workersOf("", 10) {
		b.PostControl(b.UpstreamControl(), `{"worker": "`+id+`", "faults": {"straggle": 10}}`)
	}
	load := benchLoad{duration: 12 * time.Second, share: 0.5}
	r := b.run(load, sys)
	p.add("stragglers", "system", r)
	base := b.run(load, b.direct(twoChoices))
	p.add("stragglers", "two choices", base)
	p.add("stragglers", "round robin", b.run(load, b.direct(roundRobin)))
	b.PostControl(b.UpstreamControl(), `{"clear": true}`)
	p.atMost(b.spec.name+" stragglers, p99 of consultations as a part of that of two choices", r.whole(0).p99/base.whole(0).p99, 0.5)
	p.inFlight(b.spec.name+" stragglers", r)
}

// overload offers half more than all slots can do; callers do not repeat, so that each refusal is seen.
func (p *benchReport) overload(b *benchSite, sys *throughSystem) {
	load := benchLoad{duration: 12 * time.Second, share: 1.5, attempts: 1}
	r := b.run(load, sys)
	p.add("overload", "system", r)
	p.add("overload", "two choices", b.run(load, b.direct(twoChoices)))
	for i, c := range b.spec.classes {
		f := r.whole(i)
		p.target(b.spec.name+" overload, goodput of "+c.name+" as a part of capacity", f.goodput, 0.95, f.goodput >= 0.95)
		p.atMost(b.spec.name+" overload, slowest refusal of "+c.name+" (ms)", f.refusalMax, 10)
	}
	p.inFlight(b.spec.name+" overload", r)
}

// coldClass restarts all workers of a class one after another within a second.
func (p *benchReport) coldClass(b *benchSite, sys *throughSystem) {
	load := benchLoad{duration: 12 * time.Second, share: 0.4, events: []benchEvent{{4 * time.Second, "restart", func() {
		b.PostControl(b.UpstreamControl(), `{"service": "`+b.spec.classes[0].service+`", "restart": true}`)
	}}}}
	r := b.run(load, sys)
	p.add("a class cold, restarted", "system", r)
	l := r.onWorkers()
	p.atMost(b.spec.name+" class restarted, in flight over what was borne", float64(l.overBearable), 0)
}

// coldWorker makes one worker cold without a sign; what is in flight then cannot be recalled.
func (p *benchReport) coldWorker(b *benchSite, sys *throughSystem) {
	id := b.workersOf(b.spec.classes[0].service, 1)[0]
	load := benchLoad{duration: 10 * time.Second, share: 0.6, events: []benchEvent{{4 * time.Second, "cold", func() {
		b.PostControl(b.UpstreamControl(), `{"worker": "`+id+`", "cold": true}`)
	}}}}
	r := b.run(load, sys)
	p.add("one worker cold without a sign", "system", r)
	p.atMost(b.spec.name+" one worker cold without a sign, in flight over what was borne", float64(r.onWorkers().overBearable), 0)
}

// failFast makes one worker answer 500 at once.
func (p *benchReport) failFast(b *benchSite, sys *throughSystem) {
	id := b.workersOf(b.spec.classes[0].service, 1)[0]
	b.PostControl(b.UpstreamControl(), `{"worker": "`+id+`", "faults": {"failFast": {"probability": 1}}}`)
	load := benchLoad{duration: 10 * time.Second, share: 0.6}
	r := b.run(load, sys)
	p.add("a worker that fails fast", "system", r)
	p.add("a worker that fails fast", "two choices", b.run(load, b.direct(twoChoices)))
	b.PostControl(b.UpstreamControl(), `{"clear": true}`)
	p.inFlight(b.spec.name+" fast failures", r)
}

func (p *benchReport) shift(b *benchSite, sys *throughSystem) {
	load := benchLoad{duration: 10 * time.Second, share: 0.5, shift: true}
	r := b.run(load, sys)
	p.add("load shifts every 10 ms", "system", r)
	p.add("load shifts every 10 ms", "two choices", b.run(load, b.direct(twoChoices)))
	p.inFlight(b.spec.name+" shifting load", r)
}

func (p *benchReport) logDown(b *benchSite, sys *throughSystem) {
	load := benchLoad{duration: 12 * time.Second, share: 0.5, events: []benchEvent{
		{3 * time.Second, "log down", func() { b.PostControl(b.LogControl(), `{"down": true}`) }},
		{10 * time.Second, "log up", func() { b.PostControl(b.LogControl(), `{"down": false}`) }},
	}}
	r := b.run(load, sys)
	p.add("log down for 7 s", "system", r)
	p.inFlight(b.spec.name+" log down", r)
}

// hostKilled is last, since the host does not come back.
func (p *benchReport) hostKilled(b *benchSite, sys *throughSystem) {
	load := benchLoad{duration: 12 * time.Second, share: 0.5, events: []benchEvent{{4 * time.Second, "kill", func() { b.Kill(b.Hosts[0]) }}}}
	r := b.run(load, sys)
	p.add("a host killed", "system", r)
	p.inFlight(b.spec.name+" host killed", r)
}
