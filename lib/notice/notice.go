// Package notice holds what upstreams have said in their responses about further requests: that they are leaving, or that
// they want no request from a host for a time. It does no I/O and reads no clock: times are arguments.
package notice

import (
	"time"

	"sardinecross.example/lib/fleet"
)

const (
	// MaxPause bounds the time for which an upstream can keep a host from sending requests to it with one response.
	MaxPause = 2 * time.Minute
	// keepUnlisted is how long it is remembered that an upstream is leaving after it is no longer listed. Its entry may be
	// listed again while it still serves, for example after an outage of the store.
	keepUnlisted = 10 * time.Minute
	// maxRecords bounds the lifetimes of which something is known.
	maxRecords = 8192
)

// Record is what is known of one lifetime of an upstream. A nil Record says nothing.
type Record struct {
	// leaving never changes back. fromResponse is set if it is known from a response to this host or from the report of the
	// host that got one, not from a host that passes it on.
	leaving, fromResponse bool
	// pausedUntil holds, by host, when the upstream accepts requests from that host again.
	pausedUntil map[string]time.Duration
	// usedAt is when the record was last changed, or the upstream last listed.
	usedAt time.Duration
}

// Leaving reports whether the upstream is leaving.
func (r *Record) Leaving() bool { return r != nil && r.leaving }

// Pause returns how long the upstream wants no request from a host, 0 if it accepts requests.
func (r *Record) Pause(now time.Duration, host string) time.Duration {
	if r == nil {
		return 0
	}
	return max(r.pausedUntil[host]-now, 0)
}

// Blocks reports whether the upstream must get no request from a host.
func (r *Record) Blocks(now time.Duration, host string) bool {
	return r != nil && (r.leaving || r.Pause(now, host) > 0)
}

// Notice returns what the record says to a host now.
func (r *Record) Notice(now time.Duration, host string) fleet.Notice {
	return fleet.Notice{Leaving: r.Leaving(), RetryAfter: r.Pause(now, host)}
}

// Registry holds a Record for each lifetime of which something is known.
type Registry struct {
	records map[fleet.Lifetime]*Record
}

// New returns an empty registry.
func New() *Registry { return &Registry{records: make(map[fleet.Lifetime]*Record)} }

// Get returns the record of a lifetime, nil if nothing is known of it.
func (r *Registry) Get(l fleet.Lifetime) *Record { return r.records[l] }

// Apply records a notice that an upstream gave a host in a response, with RetryAfter bounded by MaxPause. It returns the
// record, and whether the notice says more than was known.
func (r *Registry) Apply(now time.Duration, host string, l fleet.Lifetime, n fleet.Notice) (rec *Record, changed bool) {
	rec = r.record(now, l)
	if n.Leaving {
		changed = !rec.leaving
		rec.leaving, rec.fromResponse = true, true
	}
	if until := now + min(n.RetryAfter, MaxPause); n.RetryAfter > 0 && until > rec.pausedUntil[host] {
		changed = changed || rec.Pause(now, host) == 0
		if rec.pausedUntil == nil {
			rec.pausedUntil = make(map[string]time.Duration)
		}
		rec.pausedUntil[host] = until
	}
	return rec, changed
}

// ApplyLeaving records that an upstream is leaving, as a host that did not get its response says. It returns the record, and
// whether this was not known.
func (r *Registry) ApplyLeaving(now time.Duration, l fleet.Lifetime) (rec *Record, changed bool) {
	rec = r.record(now, l)
	changed = !rec.leaving
	rec.leaving = true
	return rec, changed
}

// record returns the record of a lifetime and creates it if there is none.
func (r *Registry) record(now time.Duration, l fleet.Lifetime) *Record {
	rec := r.records[l]
	if rec == nil {
		if len(r.records) >= maxRecords {
			r.removeOldest()
		}
		rec = &Record{}
		r.records[l] = rec
	}
	rec.usedAt = now
	return rec
}

// removeOldest removes the record that was used longest ago.
func (r *Registry) removeOldest() {
	var oldest fleet.Lifetime
	var oldestRecord *Record
	for l, rec := range r.records {
		if oldestRecord == nil || rec.usedAt < oldestRecord.usedAt {
			oldest, oldestRecord = l, rec
		}
	}
	delete(r.records, oldest)
}

// Leaving returns the lifetimes that are known to be leaving, with whether this is known from responses.
func (r *Registry) Leaving() map[fleet.Lifetime]bool {
	leaving := make(map[fleet.Lifetime]bool)
	for l, rec := range r.records {
		if rec.leaving {
			leaving[l] = rec.fromResponse
		}
	}
	return leaving
}

// Expire removes pauses that have ended, records that say nothing any more, and records of lifetimes that have not been
// listed for keepUnlisted.
func (r *Registry) Expire(now time.Duration, listed func(fleet.Lifetime) bool) {
	for l, rec := range r.records {
		for host, until := range rec.pausedUntil {
			if now >= until {
				delete(rec.pausedUntil, host)
			}
		}
		if listed(l) {
			rec.usedAt = now
		}
		if !rec.leaving && len(rec.pausedUntil) == 0 || now-rec.usedAt > keepUnlisted {
			delete(r.records, l)
		}
	}
}
