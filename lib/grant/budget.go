package grant

import "time"

// budgetSlices is the number of parts of the window of a budget.
const budgetSlices = 10

// budget counts requests and repeats in a sliding window.
type budget struct {
	slices [budgetSlices]struct{ first, repeats int }
	slice  int64
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
}

// repeat counts a repeat and returns true if the window has at most ratio times its requests plus slack of them.
func (b *budget) repeat(now, window time.Duration, ratio, slack float64) bool {
	b.turn(now, window)
	first, repeats := 0, 0
	for _, s := range b.slices {
		first += s.first
		repeats += s.repeats
	}
	if float64(repeats+1) > ratio*float64(first)+slack {
		return false
	}
	b.slices[b.slice%budgetSlices].repeats++
	return true
}
