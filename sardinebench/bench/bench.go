// Package bench runs load scenarios against a site and compares the results with targets and with baselines that send
// requests straight to the upstreams, without hosts.
package bench

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"sardinecross.example/sardinebench/trial"
)

// Settings selects the scenarios and sites to measure.
type Settings struct {
	// Quick limits the run to the scenarios steady and dataCentre of the site hofbauer at a constant service time, with
	// shorter loads.
	Quick bool
	// Scenarios holds the names of the scenarios and sites to measure; empty means all.
	Scenarios []string
}

// Run measures the selected sites and writes the report. The results depend on the machine, so a missed target does not
// fail the run.
func Run(t *trial.T, cfg Settings) {
	p := newReport(t)
	p.quick = cfg.Quick
	selected := cfg.Scenarios
	if p.quick {
		selected = []string{"steady"}
	}
	isSelected := func(name string) bool {
		return len(selected) == 0 || slices.Contains(selected, name)
	}
	for _, spec := range []siteSpec{hofbauerSpec(), associationSpec()} {
		if spec.name != "hofbauer" && (p.quick || len(selected) > 0 && !isSelected(spec.name)) {
			continue
		}
		if isSelected("steady") {
			p.runSteady(spec)
		}
		if !slices.Equal(selected, []string{"steady"}) {
			p.runChanging(spec, isSelected)
		}
	}
	p.finish()
}

// loadDuration returns d, or in a quick run settlingTime and a quarter of the rest of d.
func (p *report) loadDuration(d time.Duration) time.Duration {
	if p.quick {
		return settlingTime + (d-settlingTime)/4
	}
	return d
}

// runSteady compares the system with the baselines at a constant service time. Every request then takes equally long on
// a worker, so the difference between two latency quantiles is the time that the system adds.
func (p *report) runSteady(spec siteSpec) {
	p.t.Run(spec.name+"/steady", func(t *trial.T) {
		b := newBenchSite(t, spec.withConstantServiceTime(50*time.Millisecond))
		sys := b.newSystemSender()
		p.warmUp(b, sys)
		load := loadSpec{duration: p.loadDuration(18 * time.Second), share: 0.7}
		viaHosts := b.run(load, sys)
		p.addRun("steady", "system", viaHosts)
		baseline := b.run(load, b.newDirectSender(leastInFlight))
		p.addRun("steady", "direct, all counts known", baseline)
		p.addRun("steady", "two choices", b.run(load, b.newDirectSender(twoChoices)))
		if !p.quick {
			p.addRun("steady", "round robin", b.run(load, b.newDirectSender(roundRobin)))
		}
		for i, c := range spec.classes {
			x, y := viaHosts.overallFigures(i), baseline.overallFigures(i)
			p.addLine(fmt.Sprintf("%s added time p50 of %s: %.2f ms", spec.name, c.name, x.p50-y.p50))
			p.addTargetAtMost(spec.name+" added time p99 of "+c.name+" (ms)", x.p99-y.p99, 0.56)
		}
		p.addWorkerTargets(spec.name+" steady", viaHosts)
		if p.quick {
			p.dataCentre(b, sys)
		}
	})
}

// warmUp sends load to a new site until all workers are warm, but gives up after five further loads.
func (p *report) warmUp(b *benchSite, sys *systemSender) {
	b.T.Helper()
	first := b.run(loadSpec{duration: 4 * time.Second, share: 0.5}, sys)
	for range 5 {
		cold := 0
		for _, w := range b.fetchWorkerStats() {
			if w.State != "ready" {
				cold++
			}
		}
		if cold == 0 {
			break
		}
		p.addRun("cold start", strconv.Itoa(cold)+" workers still cold", first)
		b.run(loadSpec{duration: 3 * time.Second, share: 0.7}, sys)
	}
	p.addRun("cold start", "system", first)
	p.addTargetAtMost(b.spec.name+" cold start, in flight over what was borne", float64(first.summariseWorkers().overEffectiveSlots), 0)
}

// addWorkerTargets adds the targets for the load on the workers: requests in flight and the time spent on measuring.
func (p *report) addWorkerTargets(name string, r *loadResult) {
	l := r.summariseWorkers()
	p.addTargetAtMost(name+", greatest in flight less slots", float64(l.overSlots), 0)
	p.addTargetAtMost(name+", share of a worker's time for measuring", l.measuringShare, 0.01)
}

// runChanging runs the other scenarios on a site with a varying service time. Sites other than hofbauer run only the
// first two.
func (p *report) runChanging(spec siteSpec, isSelected func(string) bool) {
	p.t.Run(spec.name, func(t *trial.T) {
		b := newBenchSite(t, spec.withVaryingServiceTime(40*time.Millisecond, 100*time.Millisecond))
		sys := b.newSystemSender()
		p.warmUp(b, sys)
		for _, s := range []struct {
			name string
			run  func(*benchSite, *systemSender)
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
			hofbauerOnly := s.name != "dataCentre" && s.name != "stragglers"
			if isSelected(s.name) && (spec.name == "hofbauer" || !hofbauerOnly) {
				s.run(b, sys)
			}
		}
	})
}

// dataCentre takes a data centre out of service and puts it back. The load is low enough for the remaining data centres.
func (p *report) dataCentre(b *benchSite, sys *systemSender) {
	out, back, end := 5*time.Second, 12*time.Second, 18*time.Second
	if p.quick {
		out, back, end = 3*time.Second, 6*time.Second, 9*time.Second
	}
	dc := b.spec.dataCentres[1]
	operate := func(action string) func() {
		return func() {
			if r := b.RunCtlWithSettings(action, "dataCentre", dc); r.ExitCode != 0 {
				b.T.Errorf("sardinectl %s dataCentre %s: exit code %d: %s%s", action, dc, r.ExitCode, r.Stdout, r.Stderr)
			}
		}
	}
	load := loadSpec{duration: end, share: 0.45, events: []loadEvent{
		{out, dc + " out", operate("out")}, {back, dc + " back", operate("back")},
	}}
	r := b.run(load, sys)
	p.addRun("data centre out and back", "system", r)
	p.writeTimeSeries("dataCentre-"+b.spec.name, r)
	lost, gap, worstRatio := 0, 0.0, 0.0
	for i, c := range b.spec.classes {
		f := r.overallFigures(i)
		lost += f.unknown
		gap = max(gap, f.longestGap)
		for _, at := range []time.Duration{out, back} {
			afterChange := r.figures(i, at, at+2*time.Second)
			worstRatio = max(worstRatio, afterChange.p99/toMs(c.target))
			p.addLine(fmt.Sprintf("%s %s, 2 s after %v: p99 %.1f ms, target %v, not run %d", b.spec.name, c.name, at, afterChange.p99, c.target, afterChange.notRun))
		}
	}
	name := b.spec.name + " data centre out and back, "
	p.addTargetAtMost(name+"failed and not refused \"not run\"", float64(lost), 0)
	p.addTargetAtMost(name+"widest time without a served request of a class (ms)", gap, 100)
	p.addTargetAtMost(name+"p99 in the 2 s after a change as a part of the target", worstRatio, 1)
	p.addTargetAtMost(name+"in flight over what was borne", float64(r.summariseWorkers().overEffectiveSlots), 0)
	p.addWorkerTargets(name[:len(name)-2], r)
}

// stragglers makes a tenth of the workers ten times slower.
func (p *report) stragglers(b *benchSite, sys *systemSender) {
	for _, id := range b.everyNthWorker("", 10) {
		b.PostControl(b.UpstreamControl(), `{"worker": "`+id+`", "faults": {"straggle": 10}}`)
	}
	load := loadSpec{duration: 12 * time.Second, share: 0.5}
	r := b.run(load, sys)
	p.addRun("stragglers", "system", r)
	base := b.run(load, b.newDirectSender(twoChoices))
	p.addRun("stragglers", "two choices", base)
	p.addRun("stragglers", "round robin", b.run(load, b.newDirectSender(roundRobin)))
	b.PostControl(b.UpstreamControl(), `{"clear": true}`)
	p.addTargetAtMost(b.spec.name+" stragglers, p99 of consultations as a part of that of two choices", r.overallFigures(0).p99/base.overallFigures(0).p99, 0.5)
	p.addWorkerTargets(b.spec.name+" stragglers", r)
}

// overload offers 1.5 times the capacity of all slots. Callers do not retry, so that every refusal is counted.
func (p *report) overload(b *benchSite, sys *systemSender) {
	load := loadSpec{duration: 12 * time.Second, share: 1.5, maxAttempts: 1}
	r := b.run(load, sys)
	p.addRun("overload", "system", r)
	p.addRun("overload", "two choices", b.run(load, b.newDirectSender(twoChoices)))
	for i, c := range b.spec.classes {
		f := r.overallFigures(i)
		p.addTarget(b.spec.name+" overload, goodput of "+c.name+" as a part of capacity", f.goodput, 0.95, f.goodput >= 0.95)
		p.addTargetAtMost(b.spec.name+" overload, slowest refusal of "+c.name+" (ms)", f.refusalMax, 10)
	}
	p.addWorkerTargets(b.spec.name+" overload", r)
}

// coldClass restarts all workers of a class, one after another within a second, which makes them cold.
func (p *report) coldClass(b *benchSite, sys *systemSender) {
	load := loadSpec{duration: 12 * time.Second, share: 0.4, events: []loadEvent{{4 * time.Second, "restart", func() {
		b.PostControl(b.UpstreamControl(), `{"service": "`+b.spec.classes[0].service+`", "restart": true}`)
	}}}}
	r := b.run(load, sys)
	p.addRun("a class cold, restarted", "system", r)
	l := r.summariseWorkers()
	p.addTargetAtMost(b.spec.name+" class restarted, in flight over what was borne", float64(l.overEffectiveSlots), 0)
}

// coldWorker makes one worker cold without any signal to the hosts. Requests that are in flight at that moment cannot be
// withdrawn.
func (p *report) coldWorker(b *benchSite, sys *systemSender) {
	id := b.everyNthWorker(b.spec.classes[0].service, 1)[0]
	load := loadSpec{duration: 10 * time.Second, share: 0.6, events: []loadEvent{{4 * time.Second, "cold", func() {
		b.PostControl(b.UpstreamControl(), `{"worker": "`+id+`", "cold": true}`)
	}}}}
	r := b.run(load, sys)
	p.addRun("one worker cold without a sign", "system", r)
	p.addTargetAtMost(b.spec.name+" one worker cold without a sign, in flight over what was borne", float64(r.summariseWorkers().overEffectiveSlots), 0)
}

// failFast makes one worker answer every request with status 500 at once.
func (p *report) failFast(b *benchSite, sys *systemSender) {
	id := b.everyNthWorker(b.spec.classes[0].service, 1)[0]
	b.PostControl(b.UpstreamControl(), `{"worker": "`+id+`", "faults": {"failFast": {"probability": 1}}}`)
	load := loadSpec{duration: 10 * time.Second, share: 0.6}
	r := b.run(load, sys)
	p.addRun("a worker that fails fast", "system", r)
	p.addRun("a worker that fails fast", "two choices", b.run(load, b.newDirectSender(twoChoices)))
	b.PostControl(b.UpstreamControl(), `{"clear": true}`)
	p.addWorkerTargets(b.spec.name+" fast failures", r)
}

// shift moves load between two classes every 10 ms.
func (p *report) shift(b *benchSite, sys *systemSender) {
	load := loadSpec{duration: 10 * time.Second, share: 0.5, shift: true}
	r := b.run(load, sys)
	p.addRun("load shifts every 10 ms", "system", r)
	p.addRun("load shifts every 10 ms", "two choices", b.run(load, b.newDirectSender(twoChoices)))
	p.addWorkerTargets(b.spec.name+" shifting load", r)
}

// logDown stops the log for 7 s.
func (p *report) logDown(b *benchSite, sys *systemSender) {
	load := loadSpec{duration: 12 * time.Second, share: 0.5, events: []loadEvent{
		{3 * time.Second, "log down", func() { b.PostControl(b.LogControl(), `{"down": true}`) }},
		{10 * time.Second, "log up", func() { b.PostControl(b.LogControl(), `{"down": false}`) }},
	}}
	r := b.run(load, sys)
	p.addRun("log down for 7 s", "system", r)
	p.addWorkerTargets(b.spec.name+" log down", r)
}

// hostKilled kills a host. It must be the last scenario on a site, since the host is not started again.
func (p *report) hostKilled(b *benchSite, sys *systemSender) {
	load := loadSpec{duration: 12 * time.Second, share: 0.5, events: []loadEvent{{4 * time.Second, "kill", func() { b.Kill(b.Hosts[0]) }}}}
	r := b.run(load, sys)
	p.addRun("a host killed", "system", r)
	p.addWorkerTargets(b.spec.name+" host killed", r)
}
