package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// restoreGrace is the time after the store was restored from a copy in which what was known before prevails over records that
	// were not written again. By its end the operators and the upstreams have written again what was lost, and entries of upstreams
	// that are gone have lapsed.
	restoreGrace = 8 * time.Second
	// removalMemory is how long removals are remembered. A copy from which the store is restored is not as old.
	removalMemory = 2 * time.Minute
)

// removal is an entry that was removed, and when.
type removal struct {
	upstream Upstream
	at       time.Duration
	// lapsed is set if the entry was removed because it was not listed again after an outage of the store. Its upstream may be
	// alive and list the same entry later.
	lapsed bool
}

// guards reports whether an entry that comes after the removal is out of date.
func (r removal) guards(u *Upstream) bool {
	if r.lapsed {
		return r.upstream.newer(u)
	}
	return !u.newer(&r.upstream)
}

// removals holds the entries of upstreams that were removed lately. A store that is restored from a copy may hold them again,
// although their upstreams have left.
type removals struct {
	byID map[string]removal
	// guardUntil is the end of the grace after the store was restored; 0 if the grace has ended.
	guardUntil time.Duration
}

func newRemovals() removals { return removals{byID: make(map[string]removal)} }

// add records that an entry was removed.
func (r *removals) add(now time.Duration, u Upstream, lapsed bool) {
	r.byID[u.ID] = removal{u, now, lapsed}
}

// guards reports whether an entry must not be used because of a removal before the store was restored.
func (r *removals) guards(now time.Duration, u *Upstream) bool {
	old, ok := r.byID[u.ID]
	return ok && now < r.guardUntil && old.guards(u)
}

// endGuard returns the removed entries if the grace has just ended, and none else.
func (r *removals) endGuard(now time.Duration) []Upstream {
	if r.guardUntil == 0 || now < r.guardUntil {
		return nil
	}
	r.guardUntil = 0
	return r.all()
}

// forget drops the removals that are older than removalMemory.
func (r *removals) forget(now time.Duration) {
	for id, old := range r.byID {
		if now-old.at > removalMemory {
			delete(r.byID, id)
		}
	}
}

// merge adds the removed entries that another host knows, and the time for which it guards against them.
func (r *removals) merge(now time.Duration, removed []Upstream, left time.Duration) {
	if left > 0 {
		r.guardUntil = max(r.guardUntil, now+min(left, restoreGrace))
	}
	for _, u := range removed {
		if old, ok := r.byID[u.ID]; !ok || u.newer(&old.upstream) {
			r.add(now, u, false)
		}
	}
}

// all returns the removed entries, sorted by ID.
func (r *removals) all() []Upstream {
	out := make([]Upstream, 0, len(r.byID))
	for _, old := range r.byID {
		out = append(out, old.upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}
