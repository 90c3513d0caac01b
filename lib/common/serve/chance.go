package serve

import "math/rand/v2"

// Chance says which requests a fault affects.
type Chance struct {
	// Probability is that of each request.
	Probability float64 `config:"probability" range:"0..1"`
	// Next is the number of requests from now on that are affected in any case.
	Next int `config:"next" range:"0..1000000"`
}

// Hit reports whether the fault affects this request and counts it.
func (c *Chance) Hit(rng *rand.Rand) bool {
	if c.Next > 0 {
		c.Next--
		return true
	}
	return c.Probability > 0 && rng.Float64() < c.Probability
}
