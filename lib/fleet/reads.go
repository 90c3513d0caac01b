package fleet

import "time"

// OutageGap is the time without any successful read of the store after which it counts as having been unavailable to all
// hosts, and so to the upstreams as well. All hosts would have read it by then. An entry lapses after a longer silence of its
// upstream.
const OutageGap = 1800 * time.Millisecond

// lapseWindow is how long after an outage the entries of upstreams still lapse that could not renew them during the outage.
const lapseWindow = 2 * time.Second

// Reads is a series of successful reads of one stream of the store, by any hosts, no two successive ones of which were sent
// more than OutageGap apart. The store was available in all this time. It is immutable; the zero Reads holds none.
type Reads struct {
	// First and Last are when the first and the last read were sent. First is not after Last.
	First, Last time.Duration
	// any is set if there is a read.
	any bool
	// afterOutage is set if an earlier read is known, more than OutageGap before First.
	afterOutage bool
}

// ReadsBetween returns a series of reads that begins at first and ends at last.
func ReadsBetween(first, last time.Duration) Reads {
	return Reads{First: min(first, last), Last: last, any: true}
}

// ReadAt returns a series of one read.
func ReadAt(sent time.Duration) Reads { return ReadsBetween(sent, sent) }

// With returns the union of both series. If there is an outage between them, it returns the later one.
func (r Reads) With(other Reads) Reads {
	switch {
	case !r.any:
		return other
	case !other.any:
		return r
	case other.First < r.First:
		return other.With(r)
	case other.First > r.Last+OutageGap:
		other.afterOutage = true
		return other
	}
	r.Last = max(r.Last, other.Last)
	return r
}

// mayLapse reports whether the removal of an entry that the store still held at the time held may be due to an outage before
// the series instead of the upstream.
func (r Reads) mayLapse(held time.Duration) bool { return r.afterOutage && held < r.First+lapseWindow }

// removeLapsed returns when an entry that may have lapsed, and that the store still held at the time held, is removed. If it
// was removed because its upstream leaves, the upstream serves on until then.
func (r Reads) removeLapsed(held time.Duration) time.Duration { return max(held, r.First) + LapseGrace }
