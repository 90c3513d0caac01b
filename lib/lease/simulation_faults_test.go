package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
)

// fault is an event that the test causes in the simulation, followed by a run of Duration. A and B are indexes of
// hosts; most kinds use only A, and some use neither.
type fault struct {
	Kind     string
	A, B     int
	Duration time.Duration
}

var faultKinds = []string{
	"cut", "cut both", "isolate", "heal", "freeze", "resume", "kill", "restart", "cold", "warm",
	"lossy", "slow", "calm", "leave", "calm",
}

var dataCentres = []ident.DataCentre{"a", "a", "a", "a", "b"}

func genFault() *rapid.Generator[fault] {
	return rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			A:        rapid.IntRange(0, len(dataCentres)-1).Draw(t, "a"),
			B:        rapid.IntRange(0, len(dataCentres)-1).Draw(t, "b"),
			Duration: time.Duration(rapid.IntRange(1, 60).Draw(t, "for")*rapid.SampledFrom([]int{1, 5, 20, 50, 200}).Draw(t, "unit")) * ms,
		}
	})
}

type script struct {
	Seed uint64
	// LateHosts is the number of hosts that do not run from the start; only a restart fault starts them.
	LateHosts int
	Faults    []fault
}

func genScript() *rapid.Generator[script] {
	return rapid.Custom(func(t *rapid.T) script {
		return script{
			Seed:      rapid.Uint64().Draw(t, "seed"),
			LateHosts: rapid.IntRange(0, 2).Draw(t, "joins"),
			Faults:    rapid.SliceOfN(genFault(), 1, 15).Draw(t, "faults"),
		}
	})
}

func (sim *simulation) apply(f fault) {
	a, b := sim.hosts[f.A], sim.hosts[f.B]
	switch f.Kind {
	case "cut":
		sim.cutLinks[[2]int{f.A, f.B}] = true
	case "cut both":
		sim.cutLinks[[2]int{f.A, f.B}] = true
		sim.cutLinks[[2]int{f.B, f.A}] = true
	case "isolate":
		for i := range sim.hosts {
			sim.cutLinks[[2]int{f.A, i}] = true
			sim.cutLinks[[2]int{i, f.A}] = true
		}
	case "heal":
		clear(sim.cutLinks)
	case "freeze":
		if a.up && !a.frozen {
			a.frozen = true
			a.downSince = sim.now
		}
	case "resume":
		sim.resume(a)
		sim.resume(b)
	case "kill":
		sim.kill(a)
	case "restart":
		sim.kill(a)
		sim.start(a)
	case "leave":
		if a.up && !a.frozen {
			a.table.SetLeaving(sim.now)
		}
	case "cold", "warm":
		sim.upstreams[f.A%len(sim.upstreams)].cold = f.Kind == "cold"
	case "lossy":
		sim.lossPercent = 30
	case "slow":
		sim.maxDelay = 700 * ms
	case "calm":
		sim.lossPercent, sim.maxDelay = 0, 10*ms
	}
}

func (sim *simulation) resume(h *host) {
	if h.up && h.frozen {
		h.frozen = false
		h.delisted = false
	}
}

// endFaults ends all faults and restarts the hosts that are down or leaving, except those that were never started.
func (sim *simulation) endFaults() {
	clear(sim.cutLinks)
	sim.lossPercent, sim.maxDelay = 0, 10*ms
	for _, h := range sim.hosts {
		sim.resume(h)
		if h.everStarted && (!h.up || h.table.Self().Leaving) {
			sim.kill(h)
			sim.start(h)
		}
	}
	for _, u := range sim.upstreams {
		u.cold = false
	}
}

// runScript runs a script and returns the first violation.
func runScript(sc script, m disabledRules) (*simulation, error) {
	sim := newSimulation(sc.Seed, dataCentres, m)
	for _, h := range sim.hosts[sc.LateHosts:] {
		sim.start(h)
	}
	if err := sim.run(3 * time.Second); err != nil {
		return sim, err
	}
	for _, f := range sc.Faults {
		sim.apply(f)
		if err := sim.run(f.Duration); err != nil {
			return sim, err
		}
	}
	return sim, nil
}

// TestNeverOverloaded guards against more requests in flight at an upstream than it has slots, whichever faults occur.
// It also guards against hosts that get no slots after the faults have ended.
func TestNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, err := runScript(genScript().Draw(t, "script"), disabledRules{})
		if err != nil {
			t.Fatal(err)
		}
		sim.endFaults()
		if err := sim.run(8 * time.Second); err != nil {
			t.Fatal(err)
		}
		before := map[*host][]int{}
		for _, h := range sim.hosts {
			before[h] = append([]int{}, h.started...)
		}
		if err := sim.run(3 * time.Second); err != nil {
			t.Fatal(err)
		}
		for _, h := range sim.hosts {
			for i, n := range h.started {
				if h.up && n == before[h][i] {
					t.Errorf("host %s started no request at upstream %s after the faults had ended", h.id, sim.upstreams[i].ID)
				}
			}
		}
	})
}

// TestDisabledRulesAreDetected shows that the scripts of TestNeverOverloaded detect the absence of each rule that keeps an
// upstream within its slots.
func TestDisabledRulesAreDetected(t *testing.T) {
	for name, m := range map[string]disabledRules{
		"no wait for former owners": {formerOwnerWait: true},
		"every owner rounds up":     {roundingDown: true},
		"no delay before reclaim":   {reclaimDelay: true},
		"no wait after a start":     {restartWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 1000 {
				if _, err := runScript(genScript().Example(i), m); err != nil {
					t.Logf("script %d: %v", i, err)
					return
				}
			}
			t.Error("no script found a violation")
		})
	}
}
