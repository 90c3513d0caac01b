package fleet

import (
	"math"
	"time"
)

// OutageGap is the time without any successful read of the store after which it counts as having been unavailable to all
// hosts, and so to the upstreams as well. All hosts would have read it by then. An entry lapses after a longer silence of its
// upstream.
const OutageGap = 1800 * time.Millisecond

const (
	// relistTime is the time after an outage by which live upstreams whose entries lapsed are listed again.
	relistTime = 2 * time.Second
	// relistReadTime is how long after that the next read may come. Each host that fails delays it a little.
	relistReadTime = time.Second
)

// Reads is a series of successful reads of one stream of the store, by any hosts, no two successive ones of which were sent
// more than OutageGap apart. The store was available in all this time. It is immutable; the zero Reads holds none.
type Reads struct {
	// First and Last are when the first and the last read were sent. First is not after Last.
	First, Last time.Duration
	// any is set if there is a read.
	any bool
	// afterOutage is set if the series follows an outage that began after a read that was sent at lostAt.
	afterOutage bool
	lostAt      time.Duration
}

// ReadsBetween returns a series of reads that begins at first and ends at last.
func ReadsBetween(first, last time.Duration) Reads {
	return Reads{First: min(first, last), Last: last, any: true}
}

// ReadAt returns a series of one read.
func ReadAt(sent time.Duration) Reads { return ReadsBetween(sent, sent) }

// With returns the union of r and a series that another host or a later read has shown. If there is an outage between them, it
// returns the later one. The outage before r remains as far as the other series does not cover it.
func (r Reads) With(other Reads) Reads {
	switch {
	case !r.any:
		return other
	case !other.any || r.First > other.Last+OutageGap:
		return r
	case other.First > r.Last+OutageGap:
		other.afterOutage, other.lostAt = true, r.Last
		return other
	}
	r.First, r.Last = min(r.First, other.First), max(r.Last, other.Last)
	r.afterOutage = r.afterOutage && r.First > r.lostAt+OutageGap
	return r
}

// withOutageUntil returns r with an outage of unknown length before it that ended at the given time.
func (r Reads) withOutageUntil(end time.Duration) Reads {
	r.First, r.afterOutage, r.lostAt = min(r.First, end), true, math.MinInt64/2
	return r
}

// AfterOutage reports whether an outage of the store is known that ended with the first read of the series.
func (r Reads) AfterOutage() bool { return r.afterOutage }

// keepUntil returns until when entries that may have lapsed are kept at most.
func (r Reads) keepUntil() time.Duration { return r.First + relistTime + relistReadTime }

// keepsLapsed reports whether an entry that was removed from the store may have lapsed because of the outage before the series: no read
// was sent yet by which live upstreams are listed again.
func (r Reads) keepsLapsed(now time.Duration) bool {
	return r.afterOutage && r.Last < r.First+relistTime && now < r.keepUntil()
}
