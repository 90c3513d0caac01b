package proofs

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
)

// requirement is one of the nine lines of what must always hold.
type requirement struct {
	number int
	name   string
}

var (
	atMostOnce    = requirement{1, "at most once"}
	notRunIsTrue  = requirement{2, "not run is true"}
	wholeAnswers  = requirement{3, "whole answers"}
	coldStart     = requirement{4, "cold start"}
	centreOut     = requirement{5, "data centre out"}
	upstreamOut   = requirement{6, "leaving upstream"}
	configuration = requirement{7, "configuration"}
	plannedStop   = requirement{8, "graceful shutdown"}
	measuring     = requirement{9, "measuring budget"}
)

// results collects the verdict on each requirement over all tests of a run.
var results struct {
	sync.Mutex
	faults map[requirement]int
	failed map[requirement]bool
}

// holds records the verdict of this test on a requirement, and the faults that it brought about.
func holds(t *testing.T, r requirement, faults ...string) {
	t.Helper()
	t.Cleanup(func() {
		results.Lock()
		defer results.Unlock()
		if results.faults == nil {
			results.faults, results.failed = map[requirement]int{}, map[requirement]bool{}
		}
		results.faults[r] += len(faults)
		results.failed[r] = results.failed[r] || t.Failed()
		t.Logf("requirement %d under: %s", r.number, strings.Join(faults, ", "))
	})
}

func TestMain(m *testing.M) {
	code := m.Run()
	var all []requirement
	for r := range results.faults {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b requirement) int { return a.number - b.number })
	for _, r := range all {
		verdict := "pass"
		if results.failed[r] {
			verdict = "FAIL"
		}
		fmt.Printf("holds %d: %s: faults=%d %s\n", r.number, r.name, results.faults[r], verdict)
	}
	os.Exit(code)
}
