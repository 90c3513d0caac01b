package policy

import "time"

// Limits of the retry budget: a tenth of recent requests, and at most a short burst saved up.
const (
	budgetShare = 0.1
	budgetBurst = 20
	// budgetStart lets a class with few requests retry at all after a start.
	budgetStart = 2
)

// Budget bounds the second attempts of a class to a share of its recent requests.
type Budget struct {
	// tokens is between zero and budgetBurst; each second attempt takes one.
	tokens float64
}

func newBudget() Budget { return Budget{tokens: budgetStart} }

// Request records a first attempt.
func (b *Budget) Request() { b.tokens = min(budgetBurst, b.tokens+budgetShare) }

// Take takes the cost of one second attempt and reports whether the budget allows it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// minSamples is the number of answers before a percentile is used; an estimate from fewer moves too much.
const minSamples = 50

// quantileGain is the relative step of the estimate; 0.05 follows a changed load within some hundred answers.
const quantileGain = 0.05

// quantile tracks the 95th percentile by stochastic approximation: it rises by 19 steps at an observation above
// it and falls by one at an observation below it, so that it rests where one in 20 is above.
type quantile struct {
	value time.Duration
	count int
}

func (q *quantile) observe(v time.Duration) {
	q.count++
	if q.count == 1 {
		q.value = max(v, time.Microsecond)
		return
	}
	step := float64(q.value) * quantileGain
	if v > q.value {
		q.value += time.Duration(0.95 * step)
		return
	}
	q.value = max(q.value-time.Duration(0.05*step), time.Microsecond)
}
