package grant

import (
	"slices"
	"time"
)

// AttemptSelection is the selection for a queued attempt, or for a hedge that the owner offers.
type AttemptSelection struct {
	ID AttemptID
	Selection
}

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	request  AttemptRequest
	refuseAt time.Duration
}

// enqueue adds a request to the queue behind those that are as urgent.
func (svc *service) enqueue(w queuedRequest) {
	i, _ := slices.BinarySearchFunc(svc.queue, w.request.Priority+1, func(q queuedRequest, priority int) int {
		return q.request.Priority - priority
	})
	svc.queue = slices.Insert(svc.queue, i, w)
}

// DecideQueued returns the selections for the queued requests that leave the queue now: those with any result but NoRoom,
// and those that have waited for the longest allowed time. It serves the most urgent first.
func (s *State) DecideQueued(now time.Duration, rnd float64) []AttemptSelection {
	var out []AttemptSelection
	for _, svc := range s.services {
		if len(svc.queue) > 0 {
			out = append(out, s.decideServiceQueue(now, rnd, svc)...)
		}
	}
	return out
}

// decideServiceQueue is DecideQueued for one service.
func (s *State) decideServiceQueue(now time.Duration, rnd float64, svc *service) []AttemptSelection {
	var out []AttemptSelection
	keep := svc.queue[:0]
	failed := 0
	for _, w := range svc.queue {
		sel := Selection{Reason: NoRoom}
		if failed < maxFailedSearches {
			sel = s.tryGrant(now, rnd, svc, &w.request)
		}
		if sel.Reason == NoRoom {
			failed++
			if len(w.request.Tried) == 0 {
				failed = maxFailedSearches // no other request can be granted an upstream that this one may not use, but as a trial
			}
			if now < w.refuseAt {
				keep = append(keep, w)
				continue
			}
			sel.RetryAfter = svc.retryAfter(now)
		}
		out = append(out, AttemptSelection{w.request.ID, s.addCounts(now, svc, &w.request, sel)})
	}
	clear(svc.queue[len(keep):])
	svc.queue = keep
	return out
}

// Waiting returns the number of queued requests of all services.
func (s *State) Waiting() int {
	n := 0
	for _, svc := range s.services {
		n += len(svc.queue)
	}
	return n
}
