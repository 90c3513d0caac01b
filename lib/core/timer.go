package core

import (
	"container/heap"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

// timer is a time at which an attempt may be hedged, a service with waiting requests is dispatched again, or the slot
// of an abandoned attempt becomes free.
type timer struct {
	at time.Duration
	// id and attempt identify the attempt that may be hedged.
	id      ident.RequestID
	attempt int
	// service is the service to dispatch again.
	service *service
	// slotUpstream is the upstream whose slot becomes free; newConn reports that the abandoned attempt opened a
	// connection.
	slotUpstream *upstream
	newConn      bool
}

// timers is a heap ordered by time. A timer of a finished request stays in the heap until it reaches the top.
type timers struct{ heap timerHeap }

func (t *timers) add(tm timer) { heap.Push(&t.heap, tm) }

func (t *timers) wake() time.Duration {
	if len(t.heap) == 0 {
		return member.Never
	}
	return t.heap[0].at
}

// pop removes and returns the first timer if it is due.
func (t *timers) pop(now time.Duration) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&t.heap).(timer), true
}

// trim removes timers from the top of the heap while dead returns true for them.
func (t *timers) trim(dead func(timer) bool) {
	for len(t.heap) > 0 && dead(t.heap[0]) {
		heap.Pop(&t.heap)
	}
}

type timerHeap []timer

var _ heap.Interface = (*timerHeap)(nil)

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].id < h[j].id
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	tm := (*h)[last]
	*h = (*h)[:last]
	return tm
}

// fireTimers handles the timers that are due.
func (s *State) fireTimers() {
	for {
		tm, ok := s.timers.pop(s.now)
		if !ok {
			return
		}
		if tm.service != nil {
			tm.service.recheckArmed = false
			s.topo.markDirty(tm.service)
			continue
		}
		if tm.slotUpstream != nil {
			s.leases.End(s.now, tm.slotUpstream.id, lease.RequestResult{NewConn: tm.newConn})
			s.topo.markDirty(tm.slotUpstream.service)
			continue
		}
		if r := s.requests[tm.id]; r != nil {
			s.hedge(r, tm.attempt)
		}
	}
}

// trimTimers removes timers that no longer matter from the top of the heap, so that a finished request causes no
// Tick.
func (s *State) trimTimers() {
	s.timers.trim(func(tm timer) bool {
		if tm.service != nil || tm.slotUpstream != nil {
			return false
		}
		r := s.requests[tm.id]
		return r == nil || r.delivered > 0
	})
}
