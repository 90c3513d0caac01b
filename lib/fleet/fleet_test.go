package fleet

import (
	"testing"
	"time"
)

func newEntry(id string, started, report int64) *Upstream {
	return &Upstream{ID: id, Service: "s", Slots: 1, Started: started, ReportNumber: report}
}

func assertListed(t *testing.T, l *List, id string, want bool) {
	t.Helper()
	if _, ok := l.Get(id); ok != want {
		t.Fatalf("%s listed: %t, want %t", id, ok, want)
	}
}

// Guards against a list that misses changes or goes back: changes that do not follow its position are refused.
func TestApplyRefusesNonContiguousChanges(t *testing.T) {
	l := NewList()
	if l.Apply(0, ReadAt(0), At(0, 5), At(0, 6), nil) {
		t.Fatal("changes from 5 to 6 applied to a list at position 0")
	}
	if !l.Apply(0, ReadAt(0), At(0, 0), At(0, 2), []Change{{ID: "a", Upstream: newEntry("a", 1, 1)}}) || l.Position != At(0, 2) {
		t.Fatal("changes from 0 to 2 not applied to a list at position 0")
	}
	if l.Apply(0, ReadAt(0), At(0, 0), At(0, 1), []Change{{ID: "a"}}) {
		t.Fatal("changes up to 1 applied to a list at position 2")
	}
	assertListed(t, l, "a", true)
}

// Guards against reports that arrive late: from before a restart of the upstream, or older than the listed one.
func TestOldReportsAreIgnored(t *testing.T) {
	l := NewList()
	leaving := newEntry("a", 2, 5)
	leaving.State = Leaving
	l.Apply(0, ReadAt(0), At(0, 0), At(0, 1), []Change{{ID: "a", Upstream: leaving}})
	l.Apply(0, ReadAt(0), At(0, 1), At(0, 3), []Change{{ID: "a", Upstream: newEntry("a", 2, 4)}, {ID: "a", Upstream: newEntry("a", 1, 9)}})
	if u, _ := l.Get("a"); u.State != Leaving {
		t.Fatal("an older report replaced a newer one")
	}
	l.Apply(0, ReadAt(0), At(0, 3), At(0, 4), []Change{{ID: "a", Upstream: newEntry("a", 3, 1)}})
	if u, _ := l.Get("a"); u.State != Ready {
		t.Fatal("the first report after a restart did not replace the entry")
	}
}

// outageEnd is when the first read after an outage is sent in the tests below. The last one before it was sent at 0.
const outageEnd = OutageGap + time.Second

// Guards against an outage of the store that empties the list, and against upstreams that stay listed although they are
// gone. Entries that lapse in an outage are kept until live upstreams are listed again.
func TestLapsedEntriesAreKeptUntilListedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		read time.Duration // after which one more read is sent, 0 for none
		gone time.Duration // when the entries that are not listed again are removed
	}{
		"read in time": {relistTime, relistTime},
		"early read":   {relistTime - 1, relistTime + relistReadTime},
		"no read":      {0, relistTime + relistReadTime},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewList()
			l.Apply(0, ReadAt(0), At(0, 0), At(0, 1), []Change{{ID: "a", Upstream: newEntry("a", 1, 1)}, {ID: "b", Upstream: newEntry("b", 1, 1)}})
			l.Apply(outageEnd, ReadAt(outageEnd), At(0, 1), At(0, 2), []Change{{ID: "a"}, {ID: "b"}})
			assertListed(t, l, "a", true)
			assertListed(t, l, "b", true)
			listedAt := outageEnd + time.Second
			l.Apply(listedAt, ReadAt(listedAt), At(0, 2), At(0, 3), []Change{{ID: "a", Upstream: newEntry("a", 1, 2)}})
			if c.read > 0 {
				l.Apply(outageEnd+c.read, ReadAt(outageEnd+c.read), At(0, 3), At(0, 3), nil)
			}
			if l.Expire(outageEnd+c.gone-1) != (c.read == relistTime) {
				t.Fatal("an entry expired before live upstreams were listed again, or none after a read had shown that they were")
			}
			l.Expire(outageEnd + c.gone)
			assertListed(t, l, "a", true)
			assertListed(t, l, "b", false)
		})
	}
}

// Guards against the loss of upstreams whose entries lapse just after an outage, before they could renew them, and against
// removals that count as lapses for longer.
func TestEntriesLapseSoonAfterAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		found time.Duration // the time after the outage at which the removal is found
		kept  bool
	}{
		"soon":                      {relistTime - 1, true},
		"when all are listed again": {relistTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewList()
			l.Apply(0, ReadAt(0), At(0, 0), At(0, 1), []Change{{ID: "a", Upstream: newEntry("a", 1, 1)}})
			l.Apply(outageEnd, ReadAt(outageEnd), At(0, 1), At(0, 1), nil)
			l.Apply(outageEnd+time.Second, ReadAt(outageEnd+time.Second), At(0, 1), At(0, 1), nil)
			found := outageEnd + c.found
			l.Apply(found, ReadAt(found), At(0, 1), At(0, 2), []Change{{ID: "a"}})
			assertListed(t, l, "a", c.kept)
			l.Apply(outageEnd+relistTime, ReadAt(outageEnd+relistTime), At(0, 2), At(0, 2), nil)
			l.Expire(outageEnd + relistTime)
			assertListed(t, l, "a", false)
		})
	}
}

// Guards against upstreams that are used for longer than they serve on: reads of other hosts show that there was no outage,
// before or after the removal was found.
func TestRemovalIsNoLapseIfOtherHostsReadTheStore(t *testing.T) {
	listed := []Change{{ID: "a", Upstream: newEntry("a", 1, 1)}, {ID: "b", Upstream: newEntry("b", 1, 1)}}
	others := ReadsBetween(-relistTime, outageEnd)
	for name, when := range map[string]struct {
		reads Reads
		after Reads
	}{
		"known before": {reads: others},
		"known later":  {reads: ReadAt(outageEnd), after: others},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewList()
			l.Apply(0, ReadAt(0), At(0, 0), At(0, 1), listed)
			l.Apply(outageEnd, when.reads, At(0, 1), At(0, 2), []Change{{ID: "a"}})
			l.Reads = l.Reads.With(when.after)
			l.Expire(outageEnd)
			assertListed(t, l, "a", false)
			assertListed(t, l, "b", true)
		})
	}
}

// Guards against series of reads that hide an outage, or that lose reads which only another host knows of.
func TestSeriesOfReads(t *testing.T) {
	const gap = OutageGap
	ended := func(first time.Duration) Reads {
		return Reads{First: first, Last: 4 + gap, any: true, afterOutage: true, lostAt: 1}
	}
	afterOutage := Reads{First: 2 + gap, Last: 2 + gap, any: true, afterOutage: true, lostAt: 1}
	for name, test := range map[string]struct{ a, b, want Reads }{
		"next read":          {ReadAt(1), ReadAt(1 + gap), ReadsBetween(1, 1+gap)},
		"after an outage":    {ReadAt(1), ReadAt(2 + gap), afterOutage},
		"from before it":     {afterOutage, ReadAt(1), afterOutage},
		"ended earlier":      {ended(4 + gap), ReadsBetween(2+gap, 3+gap), ended(2 + gap)},
		"no outage":          {ended(4 + gap), ReadsBetween(1+gap, 3+gap), ReadsBetween(1+gap, 4+gap)},
		"other spans outage": {ReadAt(2 + gap), ReadsBetween(0, 3+gap), ReadsBetween(0, 3+gap)},
		"none":               {Reads{}, ReadAt(-1), ReadAt(-1)},
		"no other":           {ReadAt(1), Reads{}, ReadAt(1)},
	} {
		t.Run(name, func(t *testing.T) {
			got := test.a.With(test.b)
			if !got.afterOutage {
				got.lostAt = 0 // has no meaning
			}
			if got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against entries that stay listed although a complete list lacks them.
func TestReplaceRemovesMissingEntries(t *testing.T) {
	l := NewList()
	const later = relistTime + time.Second // without an outage
	l.Replace(0, ReadAt(0), At(0, 3), []Upstream{*newEntry("a", 1, 1), *newEntry("b", 1, 1)})
	l.Replace(later, ReadsBetween(0, later), At(0, 4), []Upstream{*newEntry("a", 1, 1), *newEntry("b", 1, 1)})
	l.Replace(later, ReadAt(later), At(0, 5), []Upstream{*newEntry("b", 1, 2)})
	assertListed(t, l, "a", false)
	assertListed(t, l, "b", true)
}

// Guards against upstreams that are gone but stay listed for good on a host that copied the list from another one: an entry
// that has lapsed there must lapse here as well.
func TestLapsedEntriesLapseInACopy(t *testing.T) {
	l, c := NewList(), NewList()
	l.Apply(0, ReadAt(0), At(0, 0), At(0, 2), []Change{{ID: "a", Upstream: newEntry("a", 1, 1)}, {ID: "b", Upstream: newEntry("b", 1, 1)}})
	l.Apply(outageEnd, ReadAt(outageEnd), At(0, 2), At(0, 3), []Change{{ID: "a"}})
	const left = time.Second // until the entry is removed
	c.Restore(time.Minute, l.Snapshot(l.Reads.keepUntil()-left))
	assertListed(t, c, "a", true)
	if c.Position != At(0, 3) || c.Digest() != l.Digest() {
		t.Fatalf("the copy is at position %v with digest %x, want 3 and %x", c.Position, c.Digest(), l.Digest())
	}
	c.Expire(time.Minute + left - 1)
	assertListed(t, c, "a", true)
	c.Expire(time.Minute + left)
	assertListed(t, c, "a", false)
	assertListed(t, c, "b", true)
}

// Guards against a copy that forgets that an upstream is leaving, because an older report was recorded after that one.
func TestLaterReportStaysInUseInACopy(t *testing.T) {
	l, c := NewList(), NewList()
	leaving := newEntry("a", 1, 5)
	leaving.State = Leaving
	l.Apply(0, ReadAt(0), At(0, 0), At(0, 2), []Change{{ID: "a", Upstream: leaving}, {ID: "a", Upstream: newEntry("a", 1, 4)}})
	c.Restore(0, l.Snapshot(0))
	if u, _ := c.Get("a"); u.State != Leaving {
		t.Fatalf("the copy lists %+v, want the later report", u)
	}
	leaving.ReportNumber = 6
	if l.Holds(Change{ID: "a", Upstream: leaving}) {
		t.Fatal("a report that differs from the last record counts as known to a host that has read only that record")
	}
}
