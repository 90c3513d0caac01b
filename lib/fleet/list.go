package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// List is the list of upstreams as of one position in the store.
type List struct {
	// Offset is the position in the store up to which the list is complete.
	Offset int64
	// Reads holds the reads of the store by any host. The last one confirmed Offset.
	Reads Reads
	// entries holds the upstreams in use.
	entries map[string]Upstream
	// lapsing holds the IDs of entries that were removed from the store and may have lapsed.
	lapsing map[string]struct{}
	// recorded holds the last record of each upstream up to Offset, in the order of the store. An entry in use differs
	// from it if it has lapsed or if its record came after one with a later report.
	recorded map[string]Upstream
	// digest is the exclusive or of the digests of all upstreams in recorded.
	digest uint64
}

// NewList returns an empty list at position 0.
func NewList() *List {
	return &List{entries: make(map[string]Upstream), lapsing: make(map[string]struct{}), recorded: make(map[string]Upstream)}
}

// Digest returns a hash of the last record of each upstream up to Offset. Lists at the same position have the same digest.
func (l *List) Digest() uint64 { return l.digest }

// record updates recorded and digest by a change. u is nil if the upstream was removed.
func (l *List) record(id string, u *Upstream) {
	if old, ok := l.recorded[id]; ok {
		l.digest ^= old.digest()
		delete(l.recorded, id)
	}
	if u != nil {
		l.recorded[id] = *u
		l.digest ^= u.digest()
	}
}

// Apply applies the changes between the positions from and to, which the last of the given reads found. It returns false and
// changes nothing if the list is not complete up to from, which would leave a gap, or is already beyond to.
func (l *List) Apply(now time.Duration, reads Reads, from, to int64, changes []Change) bool {
	if from > l.Offset || to < l.Offset {
		return false
	}
	l.Reads = l.Reads.With(reads)
	for _, c := range changes {
		l.record(c.ID, c.Upstream)
		l.applyChange(now, c)
	}
	l.Offset = to
	return true
}

// Replace replaces the list by the entries as of position to, which the last of the given reads found. Entries missing from
// them are removed, those that may have lapsed later.
func (l *List) Replace(now time.Duration, reads Reads, to int64, entries []Upstream) {
	l.Reads = l.Reads.With(reads)
	listed := make(map[string]struct{}, len(entries))
	clear(l.recorded)
	l.digest = 0
	for i := range entries {
		l.record(entries[i].ID, &entries[i])
		listed[entries[i].ID] = struct{}{}
		l.applyChange(now, Change{ID: entries[i].ID, Upstream: &entries[i]})
	}
	for id := range l.entries {
		if _, ok := listed[id]; !ok {
			l.applyChange(now, Change{ID: id})
		}
	}
	l.Offset = to
}

// applyChange applies one change. It ignores an entry that is older than the listed one.
func (l *List) applyChange(now time.Duration, c Change) {
	if c.Upstream != nil {
		if old, ok := l.entries[c.ID]; ok && old.newer(c.Upstream) {
			return
		}
		l.entries[c.ID] = *c.Upstream
		delete(l.lapsing, c.ID)
		return
	}
	if _, ok := l.entries[c.ID]; ok && l.Reads.keepsLapsed(now) {
		l.lapsing[c.ID] = struct{}{}
		return
	}
	delete(l.entries, c.ID)
	delete(l.lapsing, c.ID)
}

// Lapses reports whether the removal of an entry that a read sent at the given time finds now may be due to an outage of the
// store.
func (l *List) Lapses(now, sent time.Duration) bool {
	return l.Reads.With(ReadAt(sent)).keepsLapsed(now)
}

// Lapsing reports whether the entry of an upstream may have lapsed and is still in use.
func (l *List) Lapsing(id string) bool {
	_, ok := l.lapsing[id]
	return ok
}

// Expire removes the entries that may have lapsed and were not listed again in time, or of which reads of other hosts have shown
// that there was no outage. It reports whether there were any.
func (l *List) Expire(now time.Duration) bool {
	if len(l.lapsing) == 0 || l.Reads.keepsLapsed(now) {
		return false
	}
	for id := range l.lapsing {
		delete(l.entries, id)
	}
	clear(l.lapsing)
	return true
}

// Entries returns the upstreams, sorted by ID.
func (l *List) Entries() []Upstream { return sortedByID(l.entries) }

func sortedByID(upstreams map[string]Upstream) []Upstream {
	return slices.SortedFunc(maps.Values(upstreams), func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}

// Get returns the entry of an upstream and whether it is listed.
func (l *List) Get(id string) (Upstream, bool) {
	u, ok := l.entries[id]
	return u, ok
}

// Holds reports whether the last record of an upstream is already as the change c makes it, in all that matters for
// routing. A host at the same position then needs no notice of c, whatever it has in use.
func (l *List) Holds(c Change) bool {
	last, ok := l.recorded[c.ID]
	if c.Upstream == nil {
		return !ok
	}
	return ok && last.EqualForRouting(*c.Upstream)
}

// Snapshot is a copy of a list for another host.
type Snapshot struct {
	Offset int64 `cbor:"1,keyasint"`
	// Age is the time since the read that confirmed Offset was sent.
	Age time.Duration `cbor:"2,keyasint"`
	// Recorded holds the last record of each upstream up to Offset.
	Recorded []Upstream `cbor:"3,keyasint,omitempty"`
	// Kept holds the entries in use that differ from Recorded.
	Kept []KeptEntry `cbor:"4,keyasint,omitempty"`
}

// KeptEntry is an entry in use that differs from the last record of its upstream.
type KeptEntry struct {
	Upstream Upstream `cbor:"1,keyasint"`
	// Left is the time until a lapsed entry is removed; 0 if the entry has not lapsed but is of a later report than the record.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
}

// Snapshot returns a copy of the list.
func (l *List) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Offset: l.Offset, Age: now - l.Reads.Last, Recorded: sortedByID(l.recorded)}
	for _, u := range sortedByID(l.entries) {
		switch {
		case l.Lapsing(u.ID):
			s.Kept = append(s.Kept, KeptEntry{u, max(l.Reads.keepUntil()-now, 1)})
		case !u.EqualForRouting(l.recorded[u.ID]):
			s.Kept = append(s.Kept, KeptEntry{Upstream: u})
		}
	}
	return s
}

// Restore replaces the list by a snapshot of another host. Entries missing from it are removed, those that may have lapsed
// later. A list that was read or copied before is changed as the reads known to this host show; else the other host's judgement of
// lapses holds.
func (l *List) Restore(now time.Duration, s Snapshot) {
	first := !l.Reads.any
	l.Replace(now, ReadAt(now-s.Age), s.Offset, s.Recorded)
	for _, k := range s.Kept {
		if k.Left == 0 {
			l.applyChange(now, Change{ID: k.Upstream.ID, Upstream: &k.Upstream})
			continue
		}
		if _, listed := l.entries[k.Upstream.ID]; listed {
			continue
		}
		if first {
			l.Reads = l.Reads.withOutageUntil(now + k.Left - relistTime - relistReadTime)
		}
		l.entries[k.Upstream.ID] = k.Upstream
		l.lapsing[k.Upstream.ID] = struct{}{}
	}
}
