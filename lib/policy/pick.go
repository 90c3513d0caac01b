package policy

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Candidate is an upstream at which a request could start now.
type Candidate struct {
	Upstream ident.UpstreamID
	InFlight int
}

// Pick returns the index of the better of two random candidates, or -1 if there are none. The better one has the lower
// smoothed time x (in flight + 1); two random choices avoid that all hosts pick the same best upstream.
func (w *Watch) Pick(candidates []Candidate, rnd uint64) int {
	n := uint64(len(candidates))
	if n == 0 {
		return -1
	}
	i := int((rnd >> 32) % n)
	j := int((rnd & 0xffffffff) % n)
	if i == j {
		j = (j + 1) % len(candidates)
	}
	if w.cost(candidates[j]) < w.cost(candidates[i]) {
		return j
	}
	return i
}

func (w *Watch) cost(c Candidate) time.Duration {
	return w.Smoothed(c.Upstream) * time.Duration(c.InFlight+1)
}
