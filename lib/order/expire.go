package order

import (
	"container/heap"
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// cleanupInterval is the shortest time between two wake-ups that only remove expired entries.
const cleanupInterval = time.Second

// Expire refuses waiting requests whose time has passed, abandons claims that no request waits for any more, and
// removes expired tokens and keys.
func (d *Deduplicator) Expire(now time.Duration) []Verdict {
	var out []Verdict
	for len(d.waitDeadlines) > 0 && d.waitDeadlines[0].at <= now {
		a := heap.Pop(&d.waitDeadlines).(waitDeadline).waiter
		if d.active[a.request.ID] != a || a.running || a.giveUpAt > now {
			continue
		}
		if a.order.phase == phaseClaiming {
			out = append(out, d.expireClaim(now, a.order)...)
			continue
		}
		d.removeWaiter(a)
		out = append(out, refuse(a.request.ID, ReasonDeadline, RunUnknown))
	}
	d.removeExpired(now)
	return out
}

// expireClaim refuses all requests of a claim whose time has passed, and abandons the claim if none is left. While
// other requests wait for it the order may still run, so the refusal carries RunUnknown.
func (d *Deduplicator) expireClaim(now time.Duration, o *orderState) []Verdict {
	if !slices.ContainsFunc(o.waiters, func(a *activeRequest) bool { return a.giveUpAt > now }) {
		return d.abandon(o.key, d.keys[o.key], ReasonClaimFailed)
	}
	var out []Verdict
	for _, a := range slices.Clone(o.waiters) {
		if a.giveUpAt <= now {
			d.removeWaiter(a)
			out = append(out, refuse(a.request.ID, ReasonClaimFailed, RunUnknown))
		}
	}
	return out
}

// abandon gives up a pending claim and refuses its requests. If the claim is read back later and wins the key, it is
// released.
func (d *Deduplicator) abandon(key string, e *keyEntry, reason Reason) []Verdict {
	o := e.order
	d.endClaiming(o)
	d.stats.Abandoned++
	e.order = nil
	out := make([]Verdict, 0, len(o.waiters))
	for _, a := range o.waiters {
		delete(d.active, a.request.ID)
		out = append(out, refuse(a.request.ID, reason, a.request.runIfNotStarted()))
	}
	d.removeIfUnclaimed(key, e)
	return out
}

// removeIfUnclaimed removes the entry of a key that no claim holds and this host does not claim.
func (d *Deduplicator) removeIfUnclaimed(key string, e *keyEntry) {
	if e.order == nil && e.holder.incarnation == 0 {
		delete(d.keys, key)
	}
}

// removeWaiter removes a waiting request from its order.
func (d *Deduplicator) removeWaiter(a *activeRequest) {
	delete(d.active, a.request.ID)
	a.order.waiters = slices.DeleteFunc(a.order.waiters, func(w *activeRequest) bool { return w == a })
}

// Cancel removes a waiting request whose caller no longer waits for the answer. A request that was started is not
// affected: its answer is stored for a retry.
func (d *Deduplicator) Cancel(_ time.Duration, id ident.RequestID) {
	a := d.active[id]
	if a == nil || a.running {
		return
	}
	d.removeWaiter(a)
	if o := a.order; o.phase == phaseClaiming && len(o.waiters) == 0 {
		d.abandon(o.key, d.keys[o.key], ReasonClaimFailed)
	}
}

// extendLifetime extends the lifetime of a key, in steps of an eighth of KeyLifetime, so that a key that is claimed
// often has few entries in keyExpiry.
func (d *Deduplicator) extendLifetime(now time.Duration, key string, e *keyEntry) {
	lifetime := d.limits.KeyLifetime
	if e.expires >= now+lifetime {
		return
	}
	e.expires = now + lifetime + lifetime/8
	d.keyExpiry.push(e.expires, keyLifetime{key: key, expires: e.expires})
}

// keyLifetime is one extension of the lifetime of a key.
type keyLifetime struct {
	key     string
	expires time.Duration
}

// removeExpired removes tokens and keys whose lifetime has ended and whose order is neither running nor being claimed.
func (d *Deduplicator) removeExpired(now time.Duration) {
	d.lastCleanup = now
	for rnd, ok := d.tokenExpiry.pop(now); ok; rnd, ok = d.tokenExpiry.pop(now) {
		e := d.tokens[rnd]
		if e.order != nil && e.order.phase == phaseRunning {
			d.tokenExpiry.push(now+d.limits.TokenLifetime, rnd)
			continue
		}
		d.freeAnswer(e.order)
		delete(d.tokens, rnd)
	}
	for extension, ok := d.keyExpiry.pop(now); ok; extension, ok = d.keyExpiry.pop(now) {
		e := d.keys[extension.key]
		if e == nil || e.expires != extension.expires {
			continue
		}
		if e.order != nil && (e.order.phase == phaseRunning || e.order.phase == phaseClaiming) {
			d.extendLifetime(now, extension.key, e)
			continue
		}
		d.freeAnswer(e.order)
		delete(d.keys, extension.key)
	}
}

// freeAnswer subtracts the stored answer of an order that is removed from StoredBytes.
func (d *Deduplicator) freeAnswer(o *orderState) {
	if o != nil && o.answer != nil {
		d.stats.StoredBytes -= o.answer.Size()
	}
}

// Wake returns the earliest time at which Expire or PrepareAppend has work to do; ok is false if there is none.
func (d *Deduplicator) Wake(now time.Duration) (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if d.hasQueued() {
		earlier(max(now, d.log.nextAppendAt))
	}
	if len(d.waitDeadlines) > 0 {
		earlier(d.waitDeadlines[0].at)
	}
	if t, some := d.tokenExpiry.head(); some {
		earlier(max(t, d.lastCleanup+cleanupInterval))
	}
	if t, some := d.keyExpiry.head(); some {
		earlier(max(t, d.lastCleanup+cleanupInterval))
	}
	return at, ok
}

// waitDeadline is the giveUpAt time of a waiting request when it was added to the heap.
type waitDeadline struct {
	at     time.Duration
	waiter *activeRequest
}

// deadlineHeap orders its entries by time, then by request ID.
type deadlineHeap []waitDeadline

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].waiter.request.ID < h[j].waiter.request.ID
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(waitDeadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = waitDeadline{}
	*h = (*h)[:last]
	return entry
}

func (h *deadlineHeap) add(a *activeRequest) { heap.Push(h, waitDeadline{at: a.giveUpAt, waiter: a}) }

// expiryQueue is a FIFO queue of values with the times at which they expire; no time pushed may be below the one before.
type expiryQueue[T any] struct {
	entries []expiryQueueEntry[T]
	// first is the index of the oldest entry; those before it are free.
	first int
}

// expiryQueueEntry is a value and the time at which it expires.
type expiryQueueEntry[T any] struct {
	at    time.Duration
	value T
}

func (q *expiryQueue[T]) push(at time.Duration, value T) {
	q.entries = append(q.entries, expiryQueueEntry[T]{at: at, value: value})
}

// head returns the expiry of the oldest value; the result is false if the queue is empty.
func (q *expiryQueue[T]) head() (time.Duration, bool) {
	if q.first == len(q.entries) {
		return 0, false
	}
	return q.entries[q.first].at, true
}

// pop removes and returns the oldest value if it has expired.
func (q *expiryQueue[T]) pop(now time.Duration) (value T, ok bool) {
	at, some := q.head()
	if !some || at > now {
		return value, false
	}
	value = q.entries[q.first].value
	q.entries[q.first] = expiryQueueEntry[T]{}
	q.first++
	if 2*q.first > len(q.entries) {
		n := copy(q.entries, q.entries[q.first:])
		clear(q.entries[n:])
		q.entries, q.first = q.entries[:n], 0
	}
	return value, true
}
