package policy

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// maxQueueLen is the maximum length of one class's queue, in requests. It bounds the memory until observed slot times
// limit the queue more tightly.
const maxQueueLen = 4096

// initialTimeEstimate is the assumed slot time and response time before the first observation.
const initialTimeEstimate = 10 * time.Millisecond

// Class holds the queue, the retry budget and the latency statistics of one class of requests on this host.
type Class struct {
	Name ident.ClassName
	// Rank orders the classes of one service; 1 is served first.
	Rank int
	// Target is the response time that the class aims for.
	Target time.Duration

	Queue   Queue
	Budget  RetryBudget
	Tracker UpstreamTracker

	// slotTime is the moving average of the time for which a request occupies a slot, zero before the first observation.
	slotTime time.Duration
	// firstByteP95 estimates the 95th percentile of the time to first byte.
	firstByteP95 p95Estimator
	// passedOver counts the requests of better ranks started while this class had requests waiting, since its own last start.
	passedOver int
}

// NewClass returns a class with an empty queue and no observations.
func NewClass(name ident.ClassName, rank int, target time.Duration) *Class {
	return &Class{Name: name, Rank: rank, Target: target, Budget: newRetryBudget()}
}

// SlotTime returns the expected time for which a request occupies a slot.
func (c *Class) SlotTime() time.Duration {
	if c.slotTime == 0 {
		return initialTimeEstimate
	}
	return c.slotTime
}

// ObserveSlotTime records for how long a finished request occupied its slot.
func (c *Class) ObserveSlotTime(took time.Duration) {
	if c.slotTime == 0 {
		c.slotTime = took
		return
	}
	c.slotTime += (took - c.slotTime) / 16
}

// ObserveFirstByte records the time to first byte of a successful response.
func (c *Class) ObserveFirstByte(took time.Duration) { c.firstByteP95.observe(took) }

// HedgeDelay returns the time to wait for a response before a hedge is sent: the 95th percentile of the time to first
// byte. It reports false until enough responses were observed.
func (c *Class) HedgeDelay() (time.Duration, bool) {
	return c.firstByteP95.value, c.firstByteP95.count >= minP95Samples
}

// EstimatedWait returns the expected queueing time of a request that is pushed now, given the number of slots.
func (c *Class) EstimatedWait(slots int) time.Duration {
	return time.Duration(c.Queue.Len()) * c.SlotTime() / time.Duration(max(slots, 1))
}

// waitSafetyFactor is the factor by which admission multiplies the estimated wait. The estimate is optimistic: it assumes
// that all slots are always busy and serve this class only. Without the factor, an overload filled the queue with
// requests that reached their deadline while occupying a slot, and less than half of the capacity did useful work.
const waitSafetyFactor = 2

// Admits reports whether a request pushed now is expected to be answered by its deadline. An empty queue admits every
// request whose deadline has not passed, so that an overestimated slot time cannot block the class for good. A full queue
// admits none.
func (c *Class) Admits(now, deadline time.Duration, slots int) bool {
	if now >= deadline || c.Queue.Len() >= maxQueueLen {
		return false
	}
	if c.Queue.Len() == 0 {
		return true
	}
	return now+waitSafetyFactor*c.EstimatedWait(slots)+c.SlotTime() <= deadline
}

// MeetsDeadline reports whether a request started now is expected to be answered by its deadline.
func (c *Class) MeetsDeadline(now, deadline time.Duration) bool { return now+c.SlotTime() <= deadline }

// starvationLimit is the number of requests of better ranks that may start before a waiting class gets a start. Ten
// keeps a low-ranked class progressing at little cost to the better ranks.
const starvationLimit = 10

// RankScheduler selects the class of a service whose request starts next.
type RankScheduler struct {
	// classes holds all classes of the service in no particular order.
	classes []*Class
}

// NewRankScheduler returns a scheduler for the given classes.
func NewRankScheduler(classes ...*Class) *RankScheduler { return &RankScheduler{classes: classes} }

// Classes returns all classes; the slice must not be modified.
func (r *RankScheduler) Classes() []*Class { return r.classes }

// QueueLen returns the total number of queued requests of all classes.
func (r *RankScheduler) QueueLen() int {
	n := 0
	for _, c := range r.classes {
		n += c.Queue.Len()
	}
	return n
}

// Next returns the class whose queue is served next, or nil if there is none. It ignores empty queues and classes for
// which skip reports true.
func (r *RankScheduler) Next(skip func(*Class) bool) *Class {
	var best *Class
	for _, c := range r.classes {
		if c.Queue.Len() == 0 || skip(c) {
			continue
		}
		if best == nil || c.servedBefore(best) {
			best = c
		}
	}
	return best
}

// servedBefore reports whether c is served before d: starved classes first, then by rank, then by earliest deadline.
func (c *Class) servedBefore(d *Class) bool {
	if c.starved() != d.starved() {
		return c.starved()
	}
	if c.Rank != d.Rank {
		return c.Rank < d.Rank
	}
	return c.Queue.Head().Deadline < d.Queue.Head().Deadline
}

// starved reports whether starvationLimit requests of better ranks have started while c was waiting.
func (c *Class) starved() bool { return c.passedOver >= starvationLimit }

// RecordStart updates the starvation counters after a request of the started class has left its queue.
func (r *RankScheduler) RecordStart(started *Class) {
	started.passedOver = 0
	for _, c := range r.classes {
		if c == started {
			continue
		}
		if c.Queue.Len() == 0 {
			c.passedOver = 0
			continue
		}
		if c.Rank > started.Rank {
			c.passedOver++
		}
	}
}
