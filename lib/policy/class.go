package policy

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// maxQueue bounds the memory that one class's queue takes when its times are not yet known.
const maxQueue = 4096

// unknownTime stands for the time of an answer before the first one was observed.
const unknownTime = 10 * time.Millisecond

// Class is what the policy knows about one class of work on this host.
type Class struct {
	Name ident.ClassName
	// Rank orders the classes of one service; 1 is served first.
	Rank   int
	Target time.Duration

	Queue  Queue
	Budget Budget
	Watch  Watch

	// busy is the smoothed time for which one request keeps a slot, zero before the first.
	busy time.Duration
	// slow tracks the 95th percentile of the time to an answer's head.
	slow quantile
	// passed counts the starts of better ranks since the class's own last one, while it was waiting.
	passed int
}

// NewClass returns the state of a class without observations.
func NewClass(name ident.ClassName, rank int, target time.Duration) *Class {
	return &Class{Name: name, Rank: rank, Target: target, Budget: newBudget()}
}

// Typical returns the time for which one request keeps a slot.
func (c *Class) Typical() time.Duration {
	if c.busy == 0 {
		return unknownTime
	}
	return c.busy
}

// Observe records how long a finished request kept its slot.
func (c *Class) Observe(took time.Duration) {
	if c.busy == 0 {
		c.busy = took
		return
	}
	c.busy += (took - c.busy) / 16
}

// ObserveHead records the time to the head of an answer that was not a failure.
func (c *Class) ObserveHead(took time.Duration) { c.slow.observe(took) }

// HedgeAfter returns the time without an answer after which a second attempt is worth its cost.
// It reports false until enough answers were observed.
func (c *Class) HedgeAfter() (time.Duration, bool) { return c.slow.value, c.slow.count >= minSamples }

// Wait estimates how long a request pushed now waits for one of a number of slots.
func (c *Class) Wait(slots int) time.Duration {
	return time.Duration(c.Queue.Len()) * c.Typical() / time.Duration(max(slots, 1))
}

// waitMargin is how much longer than estimated the wait may turn out. The estimate counts all slots as in use all the time and for one
// class; without a margin, an overload filled the queue with requests that reached their deadline in a slot, and
// less than half of the capacity was of use.
const waitMargin = 2

// Admits reports whether a request pushed now can start in time. An empty queue admits every request,
// so that a typical time that was misjudged cannot shut a class out.
func (c *Class) Admits(now, deadline time.Duration, slots int) bool {
	if now >= deadline || c.Queue.Len() >= maxQueue {
		return false
	}
	if c.Queue.Len() == 0 {
		return true
	}
	return now+waitMargin*c.Wait(slots)+c.Typical() <= deadline
}

// EndsInTime reports whether a request started now is typically answered before its deadline.
func (c *Class) EndsInTime(now, deadline time.Duration) bool { return now+c.Typical() <= deadline }

// minimumEvery is the number of starts of better ranks after which a waiting class gets one. Ten
// keeps a class of low rank moving and costs a class of high rank little.
const minimumEvery = 10

// Ranks shares the starts of one service among its classes.
type Ranks struct {
	// classes are all classes of the service, in no order.
	classes []*Class
}

// NewRanks returns the order of the given classes.
func NewRanks(classes ...*Class) *Ranks { return &Ranks{classes: classes} }

// Classes returns all classes; the caller must not modify the slice.
func (r *Ranks) Classes() []*Class { return r.classes }

// Waiting returns the number of queued requests of all classes.
func (r *Ranks) Waiting() int {
	n := 0
	for _, c := range r.classes {
		n += c.Queue.Len()
	}
	return n
}

// Next returns the waiting class that is served next, or nil. Classes for which skip reports true are passed over.
func (r *Ranks) Next(skip func(*Class) bool) *Class {
	var best *Class
	for _, c := range r.classes {
		if c.Queue.Len() == 0 || skip(c) {
			continue
		}
		if best == nil || c.before(best) {
			best = c
		}
	}
	return best
}

// before orders classes that are owed a start first, then by rank, then by the earliest deadline.
func (c *Class) before(d *Class) bool {
	if c.owed() != d.owed() {
		return c.owed()
	}
	if c.Rank != d.Rank {
		return c.Rank < d.Rank
	}
	return c.Queue.Head().Deadline < d.Queue.Head().Deadline
}

func (c *Class) owed() bool { return c.passed >= minimumEvery }

// Started records that a request of a class was taken from its queue.
func (r *Ranks) Started(started *Class) {
	started.passed = 0
	for _, c := range r.classes {
		if c == started {
			continue
		}
		if c.Queue.Len() == 0 {
			c.passed = 0
			continue
		}
		if c.Rank > started.Rank {
			c.passed++
		}
	}
}
