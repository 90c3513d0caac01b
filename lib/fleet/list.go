package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// List is the list of upstreams as of one position in the store.
type List struct {
	// Progress holds the position in the store up to which the list is complete.
	Progress
	// Reads holds the reads of the store by any host in the era of Position. The last one confirmed Position.
	Reads Reads
	// entries holds the upstreams in use.
	entries map[string]Upstream
	// lapsing holds the IDs of entries that were removed from the store and may have lapsed.
	lapsing map[string]struct{}
	// recorded holds the last record of each upstream up to Position, in the order of the store. An entry in use differs
	// from it if it has lapsed, if its record came after one with a later report, or if it is a removed one that came back with a
	// copy of the store.
	recorded map[string]Upstream
	// removals holds the entries that were removed lately. Until RestoreGrace after the store was restored, records that are not
	// newer than these are not used.
	removals removals
	// digest is the exclusive or of the digests of all upstreams in recorded.
	digest uint64
}

// NewList returns an empty list at position 0.
func NewList() *List {
	return &List{
		entries: make(map[string]Upstream), lapsing: make(map[string]struct{}), recorded: make(map[string]Upstream),
		removals: newRemovals(),
	}
}

// Digest returns a hash of the last record of each upstream up to Position. Lists at the same position have the same digest.
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
// changes nothing if the list is not complete up to from, which would leave a gap, or is already beyond to, or if they are of
// another era.
func (l *List) Apply(now time.Duration, reads Reads, from, to Position, changes []Change) bool {
	if from.Era != l.Position.Era || to.Era != l.Position.Era || from.After(l.Position) || l.Position.After(to) {
		return false
	}
	l.Reads = l.Reads.With(reads)
	for _, c := range changes {
		l.record(c.ID, c.Upstream)
		l.applyChange(now, c)
	}
	l.Position = to
	return true
}

// Replace replaces the list by the entries as of position to, which the last of the given reads found. Entries missing from
// them are removed, those that may have lapsed later. If the store was restored, all missing entries may have lapsed: their
// upstreams may have been listed after the copy was made, and list themselves again.
func (l *List) Replace(now time.Duration, reads Reads, to Position, entries []Upstream) {
	if to.RestoredSince(l.Position) {
		l.beginEra(now, reads)
	}
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
	l.Position = to
}

// beginEra prepares the list for the records of a store that was restored from a copy before the given reads.
func (l *List) beginEra(now time.Duration, reads Reads) {
	l.Previous = l.Position
	l.Reads = reads.withOutageUntil(reads.First)
	l.removals.graceUntil = now + RestoreGrace
}

// applyChange applies one change. It ignores an entry that is older than the listed one, or than one that was removed before the
// store was restored.
func (l *List) applyChange(now time.Duration, c Change) {
	if c.Upstream != nil {
		if old, ok := l.entries[c.ID]; ok && old.newer(c.Upstream) || l.removals.blocks(now, c.Upstream) {
			return
		}
		l.entries[c.ID] = *c.Upstream
		delete(l.lapsing, c.ID)
		delete(l.removals.byID, c.ID)
		return
	}
	if _, ok := l.entries[c.ID]; ok && l.Reads.keepsLapsed(now) {
		l.lapsing[c.ID] = struct{}{}
		return
	}
	l.remove(now, c.ID, false)
}

// remove removes an entry from those in use. lapsed is set if it was not listed again after an outage.
func (l *List) remove(now time.Duration, id string, lapsed bool) {
	if u, ok := l.entries[id]; ok {
		l.removals.add(now, u, lapsed)
	}
	delete(l.entries, id)
	delete(l.lapsing, id)
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
// that there was no outage. After RestoreGrace it uses the records that removals kept from use. It reports whether there were any.
func (l *List) Expire(now time.Duration) bool {
	l.removals.forget(min(now, l.Reads.Last))
	l.removals.extendGrace(now, l.Reads.Last)
	released := l.release(now)
	if len(l.lapsing) == 0 || l.Reads.keepsLapsed(now) {
		return released
	}
	for id := range l.lapsing {
		l.remove(now, id, true)
	}
	return true
}

// release uses the records that removals kept from use once the grace has ended. It reports whether there were any.
func (l *List) release(now time.Duration) bool {
	released := false
	for _, id := range l.removals.endGrace(now) {
		recorded, ok := l.recorded[id]
		if _, used := l.entries[id]; ok && !used {
			l.entries[id] = recorded
			released = true
		}
	}
	return released
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
	// Offset is the offset of the list's position.
	Offset int64 `cbor:"1,keyasint"`
	// Age is the time since the read that confirmed Offset was sent.
	Age time.Duration `cbor:"2,keyasint"`
	// Recorded holds the last record of each upstream up to Offset.
	Recorded []Upstream `cbor:"3,keyasint,omitempty"`
	// Kept holds the entries in use that differ from Recorded.
	Kept []KeptEntry `cbor:"4,keyasint,omitempty"`
	// Era is the era of the list's position, and Previous the position before that era if it is known. Hosts of earlier releases do
	// not send these and the following fields.
	Era      int64     `cbor:"5,keyasint,omitempty"`
	Previous *Position `cbor:"6,keyasint,omitempty"`
	// Removed holds the entries that were removed lately. For the time GraceLeft, records that are not newer are not used.
	Removed   []RemovedEntry `cbor:"7,keyasint,omitempty"`
	GraceLeft time.Duration  `cbor:"8,keyasint,omitempty"`
}

// WithoutEra returns the snapshot with the fields that hosts of earlier releases know.
func (s Snapshot) WithoutEra() Snapshot {
	s.Era, s.Previous, s.Removed, s.GraceLeft = 0, nil, nil, 0
	return s
}

// Progress returns the progress of the list.
func (s Snapshot) Progress() Progress {
	p := Progress{Position: At(s.Era, s.Offset)}
	if s.Previous != nil {
		p.Previous = *s.Previous
	}
	return p
}

// KeptEntry is an entry in use that differs from the last record of its upstream.
type KeptEntry struct {
	Upstream Upstream `cbor:"1,keyasint"`
	// Left is the time until a lapsed entry is removed; 0 if the entry has not lapsed but is of a later report than the record.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
}

// Snapshot returns a copy of the list.
func (l *List) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Offset: l.Position.Offset, Age: now - l.Reads.Last, Recorded: sortedByID(l.recorded), Era: l.Position.Era,
	}
	if previous := l.Previous; previous != (Position{}) {
		s.Previous = &previous
	}
	for _, u := range sortedByID(l.entries) {
		switch {
		case l.Lapsing(u.ID):
			s.Kept = append(s.Kept, KeptEntry{u, max(l.Reads.keepUntil()-now, 1)})
		case !u.EqualForRouting(l.recorded[u.ID]):
			s.Kept = append(s.Kept, KeptEntry{Upstream: u})
		}
	}
	if l.Position.Era > 0 {
		s.Removed, s.GraceLeft = l.removals.snapshot(now), max(l.removals.graceUntil-now, 0)
	}
	return s
}

// Restore takes over a snapshot of another host. If that host is not behind, its list replaces this one: entries missing from it are
// removed, those that may have lapsed later. A list that was read or copied before is changed as the reads known to this host show;
// else, and if the other host knew more before the store was restored, its judgement of lapses holds. Of a host that is behind, only
// what it knew before the restore is taken over.
func (l *List) Restore(now time.Duration, s Snapshot) {
	to := s.Progress()
	if to.Position.Era < l.Position.Era {
		return
	}
	knewLess := !l.Reads.any || to.Position.Era == l.Position.Era && to.Previous.After(l.Previous)
	reads := ReadAt(now - s.Age)
	if to.Position.RestoredSince(l.Position) {
		l.beginEra(now, reads)
		if s.Previous != nil && s.GraceLeft == 0 {
			l.removals.graceUntil = 0 // the grace of the era has ended
		}
	}
	l.MergeRemovals(now, s)
	if !l.Position.After(to.Position) {
		l.Position.Era = to.Position.Era
		l.Replace(now, reads, to.Position, s.Recorded)
	}
	if to.Previous.After(l.Previous) {
		l.Previous = to.Previous
	}
	for _, k := range s.Kept {
		if k.Left == 0 {
			l.applyChange(now, Change{ID: k.Upstream.ID, Upstream: &k.Upstream})
			continue
		}
		if _, listed := l.entries[k.Upstream.ID]; listed || l.removals.blocks(now, &k.Upstream) {
			continue
		}
		if knewLess {
			l.Reads = l.Reads.withOutageUntil(now + k.Left - relistTime - relistReadTime)
		}
		l.entries[k.Upstream.ID] = k.Upstream
		l.lapsing[k.Upstream.ID] = struct{}{}
	}
}

// MergeRemovals takes over the removals in a snapshot of another host and removes the entries that these show to be out of date. It
// reports whether there were any.
func (l *List) MergeRemovals(now time.Duration, s Snapshot) bool {
	l.removals.merge(now, s.Removed, s.GraceLeft)
	before := len(l.entries)
	for id, u := range l.entries {
		if l.removals.blocks(now, &u) {
			delete(l.entries, id)
			delete(l.lapsing, id)
		}
	}
	return len(l.entries) < before
}
