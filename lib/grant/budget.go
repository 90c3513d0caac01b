package grant

import "time"

// windowSlices is the number of slices of the sliding window of a retryBudget.
const windowSlices = 10

const (
	// newOwnerSlackShare is the share of the slack that a new owner may use at once: the owners before it may have used
	// the rest within the same window.
	newOwnerSlackShare = 0.15
	// ownerIdleTime is the time without requests after which a host counts as a new owner, as another host may have
	// been the owner meanwhile.
	ownerIdleTime = time.Second
)

// retryBudget limits retries and hedges, in proportion to the requests in a sliding window.
type retryBudget struct {
	slices  [windowSlices]struct{ requests, retries int }
	current int64 // number of the current slice since time 0; modulo windowSlices, its index
	// ownerSince is when this host began to count as the owner, lastRequest when it counted its last request.
	ownerSince, lastRequest time.Duration
	used                    bool // whether a request was counted
}

// advance clears the slices that have left the window and makes the one of now the current slice.
func (b *retryBudget) advance(now, window time.Duration) {
	slice := int64(now / (window / windowSlices))
	for i := b.current + 1; i <= slice && i <= b.current+windowSlices; i++ {
		b.slices[i%windowSlices] = struct{ requests, retries int }{}
	}
	b.current = max(b.current, slice)
}

// countRequest counts the first attempt of a request.
func (b *retryBudget) countRequest(now, window time.Duration) {
	b.advance(now, window)
	b.slices[b.current%windowSlices].requests++
	if !b.used || now-b.lastRequest > ownerIdleTime {
		b.ownerSince, b.used = now, true
	}
	b.lastRequest = now
}

// take counts a retry and returns true if the window then has at most ratio*requests + slack retries. The slack of a
// new owner grows to the whole within one window.
func (b *retryBudget) take(now, window time.Duration, ratio, slack float64) bool {
	b.advance(now, window)
	requests, retries := 0, 0
	for _, s := range b.slices {
		requests += s.requests
		retries += s.retries
	}
	slack *= newOwnerSlackShare + (1-newOwnerSlackShare)*min(1, float64(now-b.ownerSince)/float64(window))
	if float64(retries+1) > ratio*float64(requests)+slack {
		return false
	}
	b.slices[b.current%windowSlices].retries++
	return true
}
