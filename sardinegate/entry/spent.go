package entry

import (
	"sync"
	"time"
)

const (
	// maxTimeLimits bounds the routes whose time limits are known.
	maxTimeLimits = 4096
	// lateAfter is the share of the target after which a request that is about to begin probably misses it.
	lateAfter = 0.5
)

// timeLimits estimates how long callers have been waiting when their requests arrive. A caller that returns after a rejection
// states only the time that it has left. The longest time that callers of a route have stated is taken for that of a first
// attempt. If some callers of the route wait longer than others, those with less time are taken for later than they are.
type timeLimits struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// spent returns the time that the caller of a request with some time left has probably spent on earlier attempts.
func (t *timeLimits) spent(route string, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.longest[route]
	if left > longest {
		if longest == 0 && len(t.longest) >= maxTimeLimits {
			clear(t.longest)
		}
		longest = left
		t.longest[route] = left
	}
	return longest - left
}

// peek returns what spent would, and changes nothing.
func (t *timeLimits) peek(route string, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.longest[route]-left, 0)
}

// probablyLate reports whether the request will probably miss the target of its route, counted from the first attempt of the
// caller, even if it is sent now.
func (c *call) probablyLate() bool {
	return c.spent+time.Since(c.arrived) > time.Duration(lateAfter*float64(c.route.Target))
}
