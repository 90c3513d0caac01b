package policy

import "time"

// Limits of the retry budget, in retries.
const (
	// budgetRatio is the share of a retry that each request adds: one retry per ten requests.
	budgetRatio = 0.1
	// maxBudget bounds the burst of retries after a period without any.
	maxBudget = 20
	// initialBudget is the budget after a start. Without it, a class with few requests could not retry at first.
	initialBudget = 2
)

// RetryBudget is a token bucket that limits the retries and hedges of a class to a share of its recent requests.
type RetryBudget struct {
	// tokens is between zero and maxBudget; each retry or hedge costs one.
	tokens float64
}

func newRetryBudget() RetryBudget { return RetryBudget{tokens: initialBudget} }

// Deposit adds budgetRatio to the budget; it is called once per admitted request.
func (b *RetryBudget) Deposit() { b.tokens = min(maxBudget, b.tokens+budgetRatio) }

// TryWithdraw withdraws the cost of one retry or hedge. It reports false if the budget is too low.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// minP95Samples is the number of samples needed before the estimate is used; with fewer it varies too much.
const minP95Samples = 50

// p95Gain is the step size relative to the estimate; 0.05 adapts to a changed load within a few hundred samples.
const p95Gain = 0.05

// p95Estimator estimates the 95th percentile by stochastic approximation. A sample above the estimate raises it by 19
// times as much as a sample below lowers it, so the estimate settles where one sample in 20 is above it.
type p95Estimator struct {
	value time.Duration
	count int
}

func (q *p95Estimator) observe(v time.Duration) {
	q.count++
	if q.count == 1 {
		q.value = max(v, time.Microsecond)
		return
	}
	step := float64(q.value) * p95Gain
	if v > q.value {
		q.value += time.Duration(0.95 * step)
		return
	}
	q.value = max(q.value-time.Duration(0.05*step), time.Microsecond)
}
