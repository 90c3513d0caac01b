package core

import (
	"container/heap"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

// timer is a time at which an attempt may be hedged, a service with waiting requests has to be looked at, or the slot of an abandoned
// attempt is free.
type timer struct {
	at      time.Duration
	id      ident.RequestID
	attempt int
	// service is that with waiting requests.
	service *service
	// slot is the upstream whose slot becomes free; newConn reports that the attempt opened a connection.
	slot    *upstream
	newConn bool
}

// timers is a heap by time. Timers of requests that are gone stay until they are at the top.
type timers struct{ heap timerHeap }

func (t *timers) add(tm timer) { heap.Push(&t.heap, tm) }

func (t *timers) wake() time.Duration {
	if len(t.heap) == 0 {
		return member.Never
	}
	return t.heap[0].at
}

// pop removes the first timer if its time has come.
func (t *timers) pop(now time.Duration) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&t.heap).(timer), true
}

// trim removes timers from the top for which dead reports true.
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

// fireTimers acts on the timers that are due.
func (s *State) fireTimers() {
	for {
		tm, ok := s.timers.pop(s.now)
		if !ok {
			return
		}
		if tm.service != nil {
			tm.service.armed = false
			s.topo.mark(tm.service)
			continue
		}
		if tm.slot != nil {
			s.slots.End(s.now, tm.slot.id, lease.RequestResult{NewConn: tm.newConn})
			s.topo.mark(tm.slot.service)
			continue
		}
		if r := s.requests[tm.id]; r != nil {
			s.hedge(r, tm.attempt)
		}
	}
}

// trimTimers drops dead timers, so that a finished request causes no wake-up.
func (s *State) trimTimers() {
	s.timers.trim(func(tm timer) bool {
		if tm.service != nil || tm.slot != nil {
			return false
		}
		r := s.requests[tm.id]
		return r == nil || r.delivered > 0
	})
}
