package fleet

import (
	"testing"
	"time"
)

func entry(id string, started, report int64) *Upstream {
	return &Upstream{ID: id, Service: "s", Slots: 1, Started: started, ReportNumber: report}
}

func assertListed(t *testing.T, l *List, id string, want bool) {
	t.Helper()
	if _, ok := l.Get(id); ok != want {
		t.Fatalf("%s listed: %t, want %t", id, ok, want)
	}
}

// Guards against a list with a gap: changes that do not follow the known position are refused.
func TestApplyNeedsAContiguousPosition(t *testing.T) {
	l := NewList()
	if l.Apply(0, 0, 5, 6, nil) {
		t.Fatal("applied beyond a gap")
	}
	if !l.Apply(0, 0, 0, 2, []Change{{ID: "a", Upstream: entry("a", 1, 1)}}) || l.Offset != 2 {
		t.Fatal("not applied")
	}
	if l.Apply(0, 0, 0, 1, []Change{{ID: "a"}}) {
		t.Fatal("applied although older")
	}
	assertListed(t, l, "a", true)
}

// Guards against late reports: of a former lifetime, or an earlier one of the same lifetime.
func TestOldReportsChangeNothing(t *testing.T) {
	l := NewList()
	leaving := entry("a", 2, 5)
	leaving.State = Leaving
	l.Apply(0, 0, 0, 1, []Change{{ID: "a", Upstream: leaving}})
	l.Apply(0, 0, 1, 3, []Change{{ID: "a", Upstream: entry("a", 2, 4)}, {ID: "a", Upstream: entry("a", 1, 9)}})
	if u, _ := l.Get("a"); u.State != Leaving {
		t.Fatal("an old report replaced a newer one")
	}
	l.Apply(0, 0, 3, 4, []Change{{ID: "a", Upstream: entry("a", 3, 1)}})
	if u, _ := l.Get("a"); u.State != Ready {
		t.Fatal("a new lifetime was not taken over")
	}
}

// Guards against losing all upstreams to an outage of the store, and against keeping those that are gone.
func TestLapsedEntriesGetAGrace(t *testing.T) {
	l := NewList()
	l.Apply(0, 0, 0, 1, []Change{{ID: "a", Upstream: entry("a", 1, 1)}, {ID: "b", Upstream: entry("b", 1, 1)}})
	l.Apply(0, 0, 1, 2, []Change{{ID: "a", Lapsed: true}, {ID: "b", Lapsed: true}})
	assertListed(t, l, "a", true)
	l.Apply(time.Second, 0, 2, 3, []Change{{ID: "a", Upstream: entry("a", 1, 2)}})
	if !l.Expire(LapseGrace) {
		t.Fatal("nothing expired")
	}
	assertListed(t, l, "a", true)
	assertListed(t, l, "b", false)
}

// Guards against entries that stay although a whole reading lacks them.
func TestReplaceRemovesMissing(t *testing.T) {
	l := NewList()
	l.Replace(0, 0, 3, []Upstream{*entry("a", 1, 1), *entry("b", 1, 1)}, false)
	l.Replace(0, 0, 5, []Upstream{*entry("b", 1, 2)}, false)
	assertListed(t, l, "a", false)
	assertListed(t, l, "b", true)
}
