// Package policy decides which request starts next and at which upstream, and when one is retried, hedged or turned away.
//
// It holds no clock and no random source; both are arguments.
package policy

import (
	"container/heap"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Item is the place of one request in a queue; it is embedded in the request's state.
type Item struct {
	ID       ident.RequestID
	Deadline time.Duration
	// place is the position in the heap plus one; zero means that the item is not queued.
	place int
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.place > 0 }

// Queue holds the waiting requests of one class in the order of their deadlines; the zero value is empty.
type Queue struct{ items itemHeap }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item that is in no queue.
func (q *Queue) Push(item *Item) { heap.Push(&q.items, item) }

// Head returns the item with the earliest deadline, or nil.
func (q *Queue) Head() *Item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Remove takes an item out of the queue; it does nothing if the item is in no queue.
func (q *Queue) Remove(item *Item) {
	if item.place > 0 {
		heap.Remove(&q.items, item.place-1)
	}
}

// itemHeap keeps each item's place equal to its index plus one.
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
	h[i].place, h[j].place = i+1, j+1
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	*h = append(*h, item)
	item.place = len(*h)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.place = 0
	return item
}
