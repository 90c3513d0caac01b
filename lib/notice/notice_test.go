package notice

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
)

func lifetime(id string, started int64) fleet.Lifetime {
	return fleet.Lifetime{Upstream: id, Started: started}
}

func assertBlocks(t *testing.T, r *Registry, now time.Duration, host string, l fleet.Lifetime, want bool) {
	t.Helper()
	if got := r.Get(l).Blocks(now, host); got != want {
		t.Errorf("at %v, upstream %s (started %d) blocks host %s: %t, want %t", now, l.Upstream, l.Started, host, got, want)
	}
}

// Guards against a leaving upstream that is used again: by another host, later, or after its entry was away for a while. Only
// a new lifetime ends it.
func TestLeavingLastsForTheLifetime(t *testing.T) {
	r, l := New(), lifetime("u", 1)
	unlisted := func(fleet.Lifetime) bool { return false }
	if _, changed := r.Apply(0, "a", l, fleet.Notice{Leaving: true}); !changed {
		t.Error("the first notice counts as known")
	}
	if _, changed := r.ApplyLeaving(0, l); changed {
		t.Error("the second notice counts as new")
	}
	r.Expire(time.Minute, unlisted)
	for _, host := range []string{"a", "b"} {
		assertBlocks(t, r, time.Hour, host, l, true)
		assertBlocks(t, r, time.Hour, host, lifetime("u", 2), false)
		assertBlocks(t, r, time.Hour, host, lifetime("v", 1), false)
	}
	r.Expire(time.Hour, func(fleet.Lifetime) bool { return true })
	assertBlocks(t, r, time.Hour, "a", l, true)
	r.Expire(time.Hour+keepUnlisted+1, unlisted)
	if r.Get(l) != nil {
		t.Error("a lifetime that ended long ago is still remembered")
	}
}

// Guards against a pause that holds for another host, ends early, is shortened by a later response or outlasts its bound.
func TestPauseHoldsForItsHost(t *testing.T) {
	r, l := New(), lifetime("u", 1)
	r.Apply(0, "a", l, fleet.Notice{RetryAfter: 2 * time.Second})
	r.Apply(time.Second, "a", l, fleet.Notice{RetryAfter: 100 * time.Millisecond})
	assertBlocks(t, r, 2*time.Second-1, "a", l, true)
	assertBlocks(t, r, 0, "b", l, false)
	assertBlocks(t, r, 2*time.Second, "a", l, false)
	r.Apply(0, "a", l, fleet.Notice{RetryAfter: 1000 * time.Hour})
	assertBlocks(t, r, MaxPause-1, "a", l, true)
	assertBlocks(t, r, MaxPause, "a", l, false)
	r.Expire(MaxPause, func(fleet.Lifetime) bool { return true })
	if r.Get(l) != nil {
		t.Error("an ended pause is still remembered")
	}
}

// Guards against a host that repeats what it was told by others, so that the messages grow with the number of hosts.
func TestOnlyOwnWordIsRepeated(t *testing.T) {
	r := New()
	r.ApplyLeaving(0, lifetime("told", 1))
	r.Apply(0, "a", lifetime("said", 1), fleet.Notice{Leaving: true})
	r.Apply(0, "a", lifetime("paused", 1), fleet.Notice{RetryAfter: time.Second})
	want := map[fleet.Lifetime]bool{lifetime("told", 1): false, lifetime("said", 1): true}
	if got := r.Leaving(); !maps.Equal(got, want) {
		t.Errorf("leaving, and whether by their own responses: %v, want %v", got, want)
	}
}

// Guards against memory that grows with the lifetimes that other hosts name.
func TestRecordsAreBounded(t *testing.T) {
	r := New()
	for i := range maxRecords + 10 {
		r.ApplyLeaving(time.Duration(i), lifetime(fmt.Sprint(i), 1))
	}
	if len(r.records) != maxRecords {
		t.Errorf("%d records, want %d", len(r.records), maxRecords)
	}
	if r.Get(lifetime("0", 1)) != nil || !r.Get(lifetime(fmt.Sprint(maxRecords+9), 1)).Leaving() {
		t.Error("another record than the oldest was removed")
	}
}
