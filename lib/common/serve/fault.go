package serve

import "math/rand/v2"

// FaultTrigger selects the requests to which an injected fault applies.
type FaultTrigger struct {
	// Probability is the probability with which the fault applies to a request, unless Next selects the request.
	Probability float64 `config:"probability" range:"0..1"`
	// Next is the number of coming requests to which the fault applies whatever the probability.
	Next int `config:"next" range:"0..1000000"`
}

// Fires reports whether the fault applies to the current request. It decrements Next while that is positive.
func (t *FaultTrigger) Fires(rng *rand.Rand) bool {
	if t.Next > 0 {
		t.Next--
		return true
	}
	return t.Probability > 0 && rng.Float64() < t.Probability
}
