package audit

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"sardinecross.example/sardineload/tally"
)

// Guards against an audit that misses an outcome that contradicts the runs, or that reports an order of unknown
// outcome, which may have run once or not at all, as a contradiction.
func TestCompare(t *testing.T) {
	outcomes := map[string]tally.Outcome{
		"served": tally.Served, "lost": tally.Served, "doubled": tally.Served,
		"refused": tally.NotRun, "false": tally.NotRun,
		"unknown run": tally.Unknown, "unknown not run": tally.Unknown, "failed": tally.Failed,
	}
	runs := Runs{
		ByOrder:   map[string]int{"served": 1, "doubled": 2, "false": 1, "unknown run": 1, "of another load": 2},
		OverSlots: map[string]int{"u": 1},
	}
	want := tally.OrderComparison{Sent: 8, RunOnce: 3, Doubled: 1, Lost: 1, Unknown: 2, FalseNotRun: 1, OverSlots: runs.OverSlots}
	if got := Compare(outcomes, runs); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against runs and overloaded upstreams that are read from the wrong field of the stand-in's responses.
func TestRead(t *testing.T) {
	m := http.NewServeMux()
	m.HandleFunc("/orders", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"orders":{"1":{"run":2,"completed":1}}}`))
	})
	m.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"workers":[{"id":"u","overSlots":3},{"id":"v","overSlots":0}]}`))
	})
	s := httptest.NewServer(m)
	defer s.Close()
	got, err := Read(t.Context(), http.DefaultTransport, s.Listener.Addr().String())
	want := Runs{ByOrder: map[string]int{"1": 2}, OverSlots: map[string]int{"u": 3}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}
