package grant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minQueueShare is the share of its latency target for which a request may be queued even if its target can't be made.
	minQueueShare = 0.11
	// maxQueueShare bounds the time in the queue, as a share of the target: the asking host takes the owner for dead once the
	// whole target has passed.
	maxQueueShare = 0.9
	// admissionSpread is the number of mean deviations of the response time that a request must have left, after its expected wait, to be
	// queued. With less, most of what a busy service serves is late, as in steady overload every request waits as long as the
	// last one that is admitted.
	admissionSpread = 1.5
	// demotionSpread is the same number below which a queued request is served after those that have more.
	demotionSpread = 1.25
	// lateWorth is the worth of a response after the target, as a share of one within it.
	lateWorth = 0.1
	// minLossHorizon is the shortest wait for which the loss by waiting is compared.
	minLossHorizon = 5 * time.Millisecond
	// negligibleLoss is the loss by waiting, per second of work, below which the order of arrival decides.
	negligibleLoss = 1e-3
	// oldestEvery is the number of grants of which one goes to the request that arrived first, whatever it loses by waiting, so that none
	// starves. It is one that can make its target if any can: else a service that is overloaded for long spends this share on late responses.
	oldestEvery = 100
	// maxQueued bounds the queued requests of one service.
	maxQueued = 500
)

// AttemptSelection is the selection for a queued attempt, or for a hedge that the owner offers.
type AttemptSelection struct {
	ID AttemptID
	Selection
}

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	request  AttemptRequest
	queuedAt time.Duration
	// arrivedAt is when the caller probably first sent the request: a request that returns after a rejection has less time
	// left than others of its class.
	arrivedAt time.Duration
	targetAt  time.Duration
	endsAt    time.Duration // the deadline
	refuseAt  time.Duration
}

// newQueued returns a queue entry for a request, and its class.
func (svc *service) newQueued(now time.Duration, req AttemptRequest) (*class, queuedRequest) {
	c := svc.class(now, &req, false)
	arrivedAt := now - c.age(&req)
	w := queuedRequest{request: req, queuedAt: now, arrivedAt: arrivedAt, targetAt: arrivedAt + req.Target, endsAt: now + req.TimeLeft}
	share := func(x float64) time.Duration { return now + time.Duration(x*float64(req.Target)) }
	w.refuseAt = w.targetAt - c.earlyTime()
	if w.refuseAt <= now {
		c = svc.class(now, &req, true)
		w.refuseAt = w.endsAt - c.earlyTime()
	}
	w.refuseAt = min(max(w.refuseAt, share(minQueueShare)), w.endsAt-c.earlyTime(), share(maxQueueShare))
	return c, w
}

// admittedUntil returns the latest expected start with which the request is queued.
func (w *queuedRequest) admittedUntil(c *class) time.Duration {
	if c.late {
		return w.refuseAt
	}
	floor := w.queuedAt + time.Duration(minQueueShare*float64(w.request.Target))
	return min(max(w.targetAt-c.time-time.Duration(admissionSpread*float64(c.deviation)), floor), w.refuseAt)
}

// worth returns the expected worth of the response if the request is sent at start.
func (w *queuedRequest) worth(c *class, start time.Duration) float64 {
	return (1-lateWorth)*c.endsWithin(w.targetAt-start) + lateWorth*c.endsWithin(w.endsAt-start)
}

// loss returns what is lost per second of work if the request is sent after the horizon instead of now.
func (w *queuedRequest) loss(c *class, now, horizon time.Duration) float64 {
	return (w.worth(c, now) - w.worth(c, now+horizon)) / max(c.time.Seconds(), math.SmallestNonzeroFloat64)
}

// aheadOf reports whether w is served before v, with the losses by waiting of both. Priority comes first.
func (w *queuedRequest) aheadOf(loss float64, v *queuedRequest, lossV float64) bool {
	if w.request.Priority != v.request.Priority {
		return w.request.Priority < v.request.Priority
	}
	if math.Abs(loss-lossV) > negligibleLoss {
		return loss > lossV
	}
	return w.arrivedAt < v.arrivedAt
}

// position returns the index in the queue of the class at which a request that arrived at a time is inserted.
func (c *class) position(arrivedAt time.Duration) int {
	i, _ := slices.BinarySearchFunc(c.queue, arrivedAt+1, func(q queuedRequest, at time.Duration) int { return int(q.arrivedAt - at) })
	return i
}

// expectedWait returns how long a request that would be queued now waits. It counts the requests that are served before, which
// those that yield are not, and leaves out the capacity that more urgent requests will need. It is 0 if none is served before, as then the
// next end may come at any time and the rate of ends says little.
func (svc *service) expectedWait(now time.Duration, c *class, w *queuedRequest) time.Duration {
	ahead := c.position(w.arrivedAt)
	rate := svc.capacityRate(now)
	urgent := 0.0
	for _, other := range svc.classes {
		switch {
		case other == c || other.priority > c.priority:
		case other.priority < c.priority:
			if c.late || !other.yields(now) {
				ahead += len(other.queue)
			}
			if !other.late {
				urgent += other.arrivals.rate(now)
			}
		case other.late != c.late:
			if c.late {
				ahead += len(other.queue)
			}
		default:
			// of the same priority, those whose latest start is earlier
			ahead += other.position(w.arrivedAt + (c.target - c.time) - (other.target - other.time))
		}
	}
	if ahead == 0 {
		return 0
	}
	rate = max(rate-urgent, rate*minClassShare)
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// enqueue queues a request and reports true, or reports false if it can't be served in time or if all queued requests are worth
// more. In a full queue, it takes the place of the one that costs least.
func (svc *service) enqueue(now time.Duration, req AttemptRequest) bool {
	c, w := svc.newQueued(now, req)
	if now+svc.expectedWait(now, c, &w) > w.admittedUntil(c) {
		return false
	}
	if svc.waiting() >= maxQueued && !svc.evictFor(now, c, &w) {
		return false
	}
	c.queue = slices.Insert(c.queue, c.position(w.arrivedAt), w)
	return true
}

// evictFor removes the request that costs least from a full queue, for w of the class c. It reports false if w costs least.
func (svc *service) evictFor(now time.Duration, c *class, w *queuedRequest) bool {
	horizon := svc.lossHorizon(now)
	least, leastLoss, of := w, w.loss(c, now, horizon), (*class)(nil)
	for _, other := range svc.classes {
		if len(other.queue) == 0 {
			continue
		}
		last := &other.queue[len(other.queue)-1]
		if loss := last.loss(other, now, horizon); least.aheadOf(leastLoss, last, loss) {
			least, leastLoss, of = last, loss, other
		}
	}
	if of == nil {
		return false
	}
	svc.evicted = append(svc.evicted, *least)
	of.queue = of.queue[:len(of.queue)-1]
	return true
}

// lossHorizon returns the wait until all queued requests are served.
func (svc *service) lossHorizon(now time.Duration) time.Duration {
	return max(time.Duration(float64(svc.waiting())/svc.capacityRate(now)*float64(time.Second)), minLossHorizon)
}

// nextClass returns the class whose next request in this look is served first, nil if there is none. The most urgent priority comes
// first, but for those that yield. If oldest is set, none yields, and the request that arrived first is served, of those
// that can make their target if there are any.
func (svc *service) nextClass(now, horizon time.Duration, oldest bool) *class {
	var best *class
	var bestOrder classOrder
	bestLoss := 0.0
	for _, c := range svc.classes {
		if c.skipped >= len(c.queue) {
			continue
		}
		order := classOrder{yields: !oldest && svc.yields(now, c.priority), priority: c.priority, late: oldest && c.late}
		if best != nil && order.compare(bestOrder) > 0 {
			continue
		}
		w, loss := &c.queue[c.skipped], 0.0
		if !oldest {
			loss = w.loss(c, now, horizon)
		}
		if best == nil || order.compare(bestOrder) < 0 || w.aheadOf(loss, &best.queue[best.skipped], bestLoss) {
			best, bestOrder, bestLoss = c, order, loss
		}
	}
	return best
}

// classOrder is what decides between the queues of two classes before the loss by waiting.
type classOrder struct {
	yields   bool
	priority int
	late     bool
}

// compare is negative if o is served before p.
func (o classOrder) compare(p classOrder) int {
	return cmp.Or(compareBool(o.yields, p.yields), cmp.Compare(o.priority, p.priority), compareBool(o.late, p.late))
}

// compareBool is negative if only b is set, and positive if only a is.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// yields reports whether all queued requests of a priority may wait for less urgent ones.
func (svc *service) yields(now time.Duration, priority int) bool {
	for _, c := range svc.classes {
		if c.priority == priority && c.skipped < len(c.queue) && !c.yields(now) {
			return false
		}
	}
	return true
}

// yields reports whether the queued requests of the class may wait for less urgent ones that can make their target. They may if their
// own targets can't be made any more, as nothing more is lost until the deadline. A route whose target is shorter than its usual
// response time never does: it would be served less often than a less urgent one.
func (c *class) yields(now time.Duration) bool {
	if !c.late || c.skipped >= len(c.queue) || c.target < c.time {
		return false
	}
	last := &c.queue[len(c.queue)-1] // the others arrived earlier
	return last.targetAt <= now+time.Duration(minEarlyShare*float64(c.time))
}

// demote moves the requests that will probably miss their target now behind those that can make it, and begins a look at the queue. Else
// a busy service would serve each request just too late.
func (svc *service) demote(now time.Duration) {
	for _, c := range slices.Clone(svc.classes) {
		c.skipped = 0
		n := 0
		for n < len(c.queue) && !c.late && now > c.queue[n].targetAt-c.time-time.Duration(demotionSpread*float64(c.deviation)) {
			n++
		}
		if n == 0 {
			continue
		}
		late := svc.class(now, &c.queue[0].request, true)
		for _, w := range c.queue[:n] {
			late.queue = slices.Insert(late.queue, late.position(w.arrivedAt), w)
		}
		c.queue = slices.Delete(c.queue, 0, n)
	}
}

// DecideQueued returns the selections for the queued requests that leave the queue now: those with any result but NoRoom,
// those that have waited for the longest useful time, and those that left a full queue for more valuable ones. It serves first
// what costs most by waiting, the most urgent priority before all others.
func (s *State) DecideQueued(now time.Duration, rnd float64) []AttemptSelection {
	var out []AttemptSelection
	for _, svc := range s.services {
		if svc.waiting()+len(svc.evicted) > 0 {
			out = append(out, s.decideServiceQueue(now, rnd, svc)...)
		}
	}
	return out
}

// decideServiceQueue is DecideQueued for one service.
func (s *State) decideServiceQueue(now time.Duration, rnd float64, svc *service) []AttemptSelection {
	svc.ends.advance(now, svc.waiting() > 0)
	var out []AttemptSelection
	leave := func(w *queuedRequest, sel Selection) {
		req := w.requestAt(now)
		out = append(out, AttemptSelection{req.ID, s.completeRefusal(now, svc, &req, sel)})
	}
	svc.demote(now)
	horizon := svc.lossHorizon(now)
	for failed := 0; failed < maxFailedSearches; {
		c := svc.nextClass(now, horizon, svc.grants%oldestEvery == oldestEvery-1)
		if c == nil {
			break
		}
		w := c.queue[c.skipped]
		req := w.requestAt(now)
		if sel := s.tryGrant(now, rnd, svc, &req); sel.Reason != NoRoom {
			c.queue = slices.Delete(c.queue, c.skipped, c.skipped+1)
			svc.grants++
			leave(&w, sel)
			continue
		}
		c.skipped++
		if failed++; len(w.request.Tried) == 0 {
			break // no other request can be granted an upstream that this one may not use, but as a trial
		}
	}
	for _, c := range svc.classes {
		c.queue = slices.DeleteFunc(c.queue, func(w queuedRequest) bool {
			if now >= w.refuseAt {
				svc.evicted = append(svc.evicted, w)
			}
			return now >= w.refuseAt
		})
	}
	for i := range svc.evicted {
		leave(&svc.evicted[i], Selection{Reason: NoRoom})
	}
	clear(svc.evicted)
	svc.evicted = svc.evicted[:0]
	return out
}

// leaveQueue removes a request whose caller has disconnected, if it is queued.
func (s *State) leaveQueue(id AttemptID) {
	for _, svc := range s.services {
		for _, c := range svc.classes {
			c.queue = slices.DeleteFunc(c.queue, func(w queuedRequest) bool { return w.request.ID == id })
		}
	}
}

// requestAt returns the request with its times as of now.
func (w *queuedRequest) requestAt(now time.Duration) AttemptRequest {
	req := w.request
	req.Elapsed += now - w.queuedAt
	req.TimeLeft -= now - w.queuedAt
	return req
}

// waiting returns the number of queued requests of the service.
func (svc *service) waiting() int {
	n := 0
	for _, c := range svc.classes {
		n += len(c.queue)
	}
	return n
}

// Waiting returns the number of queued requests of all services.
func (s *State) Waiting() int {
	n := 0
	for _, svc := range s.services {
		n += svc.waiting()
	}
	return n
}
