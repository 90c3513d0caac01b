// Package policy decides which request starts next and at which upstream, and when a request is retried, hedged or refused.
//
// It reads no clock and no random source: times and random numbers are passed in as arguments.
package policy

import (
	"container/heap"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Item is the queue entry of one request; it is embedded in the request's state.
type Item struct {
	ID       ident.RequestID
	Deadline time.Duration
	// heapPos is the index in the heap plus one; zero means that the item is not queued.
	heapPos int
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.heapPos > 0 }

// Queue is a priority queue of the waiting requests of one class, ordered by deadline. The zero value is empty.
type Queue struct{ items itemHeap }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item, which must not be in a queue.
func (q *Queue) Push(item *Item) { heap.Push(&q.items, item) }

// Head returns the item with the earliest deadline, or nil if the queue is empty.
func (q *Queue) Head() *Item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Remove removes an item from the queue; it does nothing if the item is not queued.
func (q *Queue) Remove(item *Item) {
	if item.heapPos > 0 {
		heap.Remove(&q.items, item.heapPos-1)
	}
}

// itemHeap implements heap.Interface and keeps each item's heapPos equal to its index plus one.
type itemHeap []*Item

var _ heap.Interface = (*itemHeap)(nil)

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].ID < h[j].ID
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos, h[j].heapPos = i+1, j+1
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	*h = append(*h, item)
	item.heapPos = len(*h)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.heapPos = 0
	return item
}
