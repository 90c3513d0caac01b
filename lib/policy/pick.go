package policy

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Candidate is an upstream with a free slot that a request could be sent to now.
type Candidate struct {
	Upstream ident.UpstreamID
	// InFlight is the number of requests that this host has in flight to the upstream.
	InFlight int
}

// Pick returns the index of the cheaper of two random candidates (power of two choices), or -1 if there are none.
// Random choices keep the hosts from all picking the same best upstream.
func (t *UpstreamTracker) Pick(candidates []Candidate, rnd uint64) int {
	n := uint64(len(candidates))
	if n == 0 {
		return -1
	}
	i := int((rnd >> 32) % n)
	j := int((rnd & 0xffffffff) % n)
	if i == j {
		j = (j + 1) % len(candidates)
	}
	if t.cost(candidates[j]) < t.cost(candidates[i]) {
		return j
	}
	return i
}

// cost returns the expected response time multiplied by the number of requests in flight, including the new one.
func (t *UpstreamTracker) cost(c Candidate) time.Duration {
	return t.ExpectedTime(c.Upstream) * time.Duration(c.InFlight+1)
}
