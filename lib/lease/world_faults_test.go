package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
)

// fault is one action of the test on the world, followed by some time.
type fault struct {
	Kind string
	A, B int
	For  time.Duration
}

var faultKinds = []string{
	"cut", "cut both", "isolate", "heal", "freeze", "resume", "kill", "restart", "cold", "warm",
	"lossy", "slow", "calm", "leave", "calm",
}

var dataCentres = []ident.DataCentre{"a", "a", "a", "a", "b"}

func genFault() *rapid.Generator[fault] {
	return rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, len(dataCentres)-1).Draw(t, "a"),
			B:    rapid.IntRange(0, len(dataCentres)-1).Draw(t, "b"),
			For:  time.Duration(rapid.IntRange(1, 60).Draw(t, "for")*rapid.SampledFrom([]int{1, 5, 20, 50, 200}).Draw(t, "unit")) * ms,
		}
	})
}

type script struct {
	Seed uint64
	// Joins is the number of hosts that are started only by a restart.
	Joins  int
	Faults []fault
}

func genScript() *rapid.Generator[script] {
	return rapid.Custom(func(t *rapid.T) script {
		return script{
			Seed:   rapid.Uint64().Draw(t, "seed"),
			Joins:  rapid.IntRange(0, 2).Draw(t, "joins"),
			Faults: rapid.SliceOfN(genFault(), 1, 15).Draw(t, "faults"),
		}
	})
}

func (w *world) apply(f fault) {
	a, b := w.hosts[f.A], w.hosts[f.B]
	switch f.Kind {
	case "cut":
		w.cut[[2]int{f.A, f.B}] = true
	case "cut both":
		w.cut[[2]int{f.A, f.B}] = true
		w.cut[[2]int{f.B, f.A}] = true
	case "isolate":
		for i := range w.hosts {
			w.cut[[2]int{f.A, i}] = true
			w.cut[[2]int{i, f.A}] = true
		}
	case "heal":
		clear(w.cut)
	case "freeze":
		if a.up && !a.frozen {
			a.frozen = true
			a.downSince = w.now
		}
	case "resume":
		w.resume(a)
		w.resume(b)
	case "kill":
		w.kill(a)
	case "restart":
		w.kill(a)
		w.start(a)
	case "leave":
		if a.up && !a.frozen {
			a.table.SetLeaving(w.now)
		}
	case "cold", "warm":
		w.upstreams[f.A%len(w.upstreams)].cold = f.Kind == "cold"
	case "lossy":
		w.loss = 30
	case "slow":
		w.slow = 700 * ms
	case "calm":
		w.loss, w.slow = 0, 10*ms
	}
}

func (w *world) resume(h *host) {
	if h.up && h.frozen {
		h.frozen = false
		h.delisted = false
	}
}

// settleAll ends all faults and restarts hosts that are down or leaving.
func (w *world) settleAll() {
	clear(w.cut)
	w.loss, w.slow = 0, 10*ms
	for _, h := range w.hosts {
		w.resume(h)
		if h.joined && (!h.up || h.table.Self().Leaving) {
			w.kill(h)
			w.start(h)
		}
	}
	for _, u := range w.upstreams {
		u.cold = false
	}
}

// play runs a script and returns the violation that it caused.
func play(sc script, g guards) (*world, error) {
	w := newWorld(sc.Seed, dataCentres, g)
	for _, h := range w.hosts[sc.Joins:] {
		w.start(h)
	}
	if err := w.run(3 * time.Second); err != nil {
		return w, err
	}
	for _, f := range sc.Faults {
		w.apply(f)
		if err := w.run(f.For); err != nil {
			return w, err
		}
	}
	return w, nil
}

// TestNeverOverloaded guards against more requests in flight at an upstream than it has slots, whatever fails, and
// against slots that stay unused after the faults have ended.
func TestNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, err := play(genScript().Draw(t, "script"), guards{})
		if err != nil {
			t.Fatal(err)
		}
		w.settleAll()
		if err := w.run(8 * time.Second); err != nil {
			t.Fatal(err)
		}
		before := map[*host][]int{}
		for _, h := range w.hosts {
			before[h] = append([]int{}, h.started...)
		}
		if err := w.run(3 * time.Second); err != nil {
			t.Fatal(err)
		}
		for _, h := range w.hosts {
			for i, n := range h.started {
				if h.up && n == before[h][i] {
					t.Errorf("%s starts no request at %s", h.id, w.upstreams[i].ID)
				}
			}
		}
	})
}

// TestGuards shows that the test above detects the absence of each rule that keeps an upstream within its slots.
func TestGuards(t *testing.T) {
	for name, g := range map[string]guards{
		"no wait for former owners": {noHold: true},
		"every owner rounds up":     {roundUp: true},
		"no delay before reclaim":   {noReclaimDelay: true},
		"no wait after a start":     {noRestartWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 1000 {
				if _, err := play(genScript().Example(i), g); err != nil {
					t.Logf("script %d: %v", i, err)
					return
				}
			}
			t.Error("no violation found")
		})
	}
}
