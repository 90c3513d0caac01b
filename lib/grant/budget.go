package grant

import "time"

// budgetSlices is the number of parts of the window of a budget.
const budgetSlices = 10

const (
	// newSlack is the part of the slack that a new owner has at once: its predecessors in the window may have used theirs.
	newSlack = 0.15
	// ownerPause is the time without requests after which an owner counts as new.
	ownerPause = time.Second
)

// budget counts requests and repeats in a sliding window.
type budget struct {
	slices [budgetSlices]struct{ first, repeats int }
	slice  int64
	// since is when this host became the one that counts, last the last request.
	since, last time.Duration
	used        bool
}

func (b *budget) turn(now, window time.Duration) {
	slice := int64(now / (window / budgetSlices))
	for i := b.slice + 1; i <= slice && i <= b.slice+budgetSlices; i++ {
		b.slices[i%budgetSlices] = struct{ first, repeats int }{}
	}
	b.slice = max(b.slice, slice)
}

func (b *budget) first(now, window time.Duration) {
	b.turn(now, window)
	b.slices[b.slice%budgetSlices].first++
	if !b.used || now-b.last > ownerPause {
		b.since, b.used = now, true
	}
	b.last = now
}

// repeat counts a repeat and returns true if the window has at most ratio times its requests plus slack of them. A new
// owner comes to the whole slack within a window.
func (b *budget) repeat(now, window time.Duration, ratio, slack float64) bool {
	b.turn(now, window)
	first, repeats := 0, 0
	for _, s := range b.slices {
		first += s.first
		repeats += s.repeats
	}
	slack *= newSlack + (1-newSlack)*min(1, float64(now-b.since)/float64(window))
	if float64(repeats+1) > ratio*float64(first)+slack {
		return false
	}
	b.slices[b.slice%budgetSlices].repeats++
	return true
}
