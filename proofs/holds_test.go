package proofs

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
)

// requirement is one of the nine requirements that must hold under all faults. It is printed with its result after a run.
type requirement struct {
	number int
	name   string
}

var (
	atMostOnce       = requirement{1, "at most once"}
	notRunIsTrue     = requirement{2, "not run is true"}
	wholeAnswers     = requirement{3, "whole answers"}
	coldStart        = requirement{4, "cold start"}
	dataCentreOut    = requirement{5, "data centre out"}
	leavingUpstream  = requirement{6, "leaving upstream"}
	configuration    = requirement{7, "configuration"}
	gracefulShutdown = requirement{8, "graceful shutdown"}
	measuringBudget  = requirement{9, "measuring budget"}
)

// results collects, over all tests of a run, how many faults each requirement was tested under and whether a test of it
// failed.
var results struct {
	sync.Mutex
	faults map[requirement]int
	failed map[requirement]bool
}

// recordVerdict records at the end of the test whether it passed, as the verdict on a requirement, and the faults that the
// test injects.
func recordVerdict(t *testing.T, r requirement, faults ...string) {
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

// TestMain runs the tests and prints one line for each requirement that they recorded.
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
