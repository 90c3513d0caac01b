package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// RestoreGrace is the time after the store was restored from a copy in which what was known before prevails over records that
	// were not written again. By its end the operators and the upstreams have written again what was lost, and entries of upstreams
	// that are gone have lapsed.
	RestoreGrace = 8 * time.Second
	// removalMemory is how long removed entries and past records are remembered, up to the last read of the store. A copy from which it
	// is restored is some seconds older than that.
	removalMemory = 30 * time.Second
)

// removal is an entry that was removed, and when.
type removal struct {
	upstream Upstream
	at       time.Duration
	// lapsed is set if the entry was removed because it was not listed again after an outage of the store. Its upstream may be
	// alive and list the same entry later.
	lapsed bool
}

// outdates reports whether an entry that comes after the removal is none of a later report. Entries of which one has no time of the
// start cannot be compared.
func (r removal) outdates(u *Upstream) bool {
	if u.Started != r.upstream.Started && (u.Started == 0 || r.upstream.Started == 0) {
		return false
	}
	if r.lapsed {
		return r.upstream.newer(u)
	}
	return !u.newer(&r.upstream)
}

// removals holds the entries of upstreams that were removed lately. A store that is restored from a copy may hold them again,
// although their upstreams have left.
type removals struct {
	byID map[string]removal
	// graceUntil is the end of the grace after the store was restored; 0 if it has ended.
	graceUntil time.Duration
}

func newRemovals() removals { return removals{byID: make(map[string]removal)} }

// add records that an entry was removed.
func (r *removals) add(now time.Duration, u Upstream, lapsed bool) {
	r.byID[u.ID] = removal{u, now, lapsed}
}

// blocks reports whether an entry must not be used because of a removal before the store was restored.
func (r *removals) blocks(now time.Duration, u *Upstream) bool {
	old, ok := r.byID[u.ID]
	return ok && now < r.graceUntil && old.outdates(u)
}

// extendGrace starts the grace again if it has not ended and the store was not read lately: neither are entries listed again then, nor
// do they lapse. lastRead is when the last read was sent.
func (r *removals) extendGrace(now, lastRead time.Duration) {
	if r.graceUntil > 0 && now-lastRead > OutageGap {
		r.graceUntil = now + RestoreGrace
	}
}

// endGrace returns the IDs of the removed entries if the grace has just ended, and none else.
func (r *removals) endGrace(now time.Duration) []string {
	if r.graceUntil == 0 || now < r.graceUntil {
		return nil
	}
	r.graceUntil = 0
	return slices.Sorted(maps.Keys(r.byID))
}

// forget drops the removals that were older than removalMemory when the store was last read, but none in the grace.
func (r *removals) forget(lastRead time.Duration) {
	for id, old := range r.byID {
		if r.graceUntil == 0 && lastRead-old.at > removalMemory {
			delete(r.byID, id)
		}
	}
}

// RemovedEntry is an entry that was removed a time Age ago.
type RemovedEntry struct {
	Upstream Upstream      `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	// Lapsed is set if the entry was removed because it was not listed again after an outage.
	Lapsed bool `cbor:"3,keyasint,omitempty"`
}

// snapshot returns the removed entries, sorted by ID, for another host.
func (r *removals) snapshot(now time.Duration) []RemovedEntry {
	var out []RemovedEntry
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		old := r.byID[id]
		out = append(out, RemovedEntry{old.upstream, now - old.at, old.lapsed})
	}
	return out
}

// merge adds the removed entries that another host knows, and the time that is left of its grace.
func (r *removals) merge(now time.Duration, removed []RemovedEntry, graceLeft time.Duration) {
	if graceLeft > 0 {
		r.graceUntil = max(r.graceUntil, now+min(graceLeft, RestoreGrace))
	}
	for _, e := range removed {
		old, ok := r.byID[e.Upstream.ID]
		if e.Age >= 0 && (!ok || e.Upstream.newer(&old.upstream)) {
			r.byID[e.Upstream.ID] = removal{e.Upstream, now - e.Age, e.Lapsed}
		}
	}
}
