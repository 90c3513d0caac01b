package order

import (
	"container/heap"
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// cleanEvery is the shortest time between two wake-ups that only remove expired entries.
const cleanEvery = time.Second

// Expire abandons claims and attached requests whose time has passed and removes expired entries.
func (b *Book) Expire(now time.Duration) []Verdict {
	var out []Verdict
	for len(b.due) > 0 && b.due[0].at <= now {
		m := heap.Pop(&b.due).(dueLine).member
		if b.active[m.request.ID] != m || m.running || m.until > now {
			continue
		}
		if m.call.phase == phaseWaiting {
			out = append(out, b.expireWaiting(now, m.call)...)
			continue
		}
		b.leave(m)
		out = append(out, refuse(m.request.ID, ReasonDeadline, RunUnknown))
	}
	b.removeExpired(now)
	return out
}

// expireWaiting removes all late requests of a claim. While other requests wait for it the order may still run.
func (b *Book) expireWaiting(now time.Duration, c *call) []Verdict {
	if !slices.ContainsFunc(c.waiters, func(m *member) bool { return m.until > now }) {
		return b.abandon(c.key, b.keys[c.key], ReasonClaimFailed)
	}
	var out []Verdict
	for _, m := range slices.Clone(c.waiters) {
		if m.until <= now {
			b.leave(m)
			out = append(out, refuse(m.request.ID, ReasonClaimFailed, RunUnknown))
		}
	}
	return out
}

// abandon gives up a claim for good: if it is read back later it is released.
func (b *Book) abandon(key string, e *held, reason Reason) []Verdict {
	c := e.call
	b.stopWaiting(c)
	b.stats.Abandoned++
	e.call = nil
	out := make([]Verdict, 0, len(c.waiters))
	for _, m := range c.waiters {
		delete(b.active, m.request.ID)
		out = append(out, refuse(m.request.ID, reason, m.request.neverStarted()))
	}
	b.drop(key, e)
	return out
}

// drop removes an entry that says nothing.
func (b *Book) drop(key string, e *held) {
	if e.call == nil && e.holder.incarnation == 0 {
		delete(b.keys, key)
	}
}

// leave removes a waiting request from its call.
func (b *Book) leave(m *member) {
	delete(b.active, m.request.ID)
	m.call.waiters = slices.DeleteFunc(m.call.waiters, func(w *member) bool { return w == m })
}

// Cancel drops a request whose caller left while it waited. A request that has started is not affected: its answer is stored for a retry.
func (b *Book) Cancel(_ time.Duration, id ident.RequestID) {
	m := b.active[id]
	if m == nil || m.running {
		return
	}
	b.leave(m)
	if c := m.call; c.phase == phaseWaiting && len(c.waiters) == 0 {
		b.abandon(c.key, b.keys[c.key], ReasonClaimFailed)
	}
}

// extend prolongs a key's lifetime, in steps of an eighth so that a key that is claimed often has few lines in keyExpiry.
func (b *Book) extend(now time.Duration, key string, e *held) {
	lifetime := b.limits.KeyLifetime
	if e.expires >= now+lifetime {
		return
	}
	e.expires = now + lifetime + lifetime/8
	b.keyExpiry.push(e.expires, keyLine{key: key, expires: e.expires})
}

// keyLine is one extension of a key's lifetime.
type keyLine struct {
	key     string
	expires time.Duration
}

// removeExpired forgets IDs and keys whose lifetime has ended and that no request uses.
func (b *Book) removeExpired(now time.Duration) {
	b.cleaned = now
	for rnd, ok := b.idExpiry.pop(now); ok; rnd, ok = b.idExpiry.pop(now) {
		e := b.ids[rnd]
		if e.call != nil && e.call.phase == phaseRunning {
			b.idExpiry.push(now+b.limits.IDLifetime, rnd)
			continue
		}
		b.forget(e.call)
		delete(b.ids, rnd)
	}
	for line, ok := b.keyExpiry.pop(now); ok; line, ok = b.keyExpiry.pop(now) {
		e := b.keys[line.key]
		if e == nil || e.expires != line.expires {
			continue
		}
		if e.call != nil && (e.call.phase == phaseRunning || e.call.phase == phaseWaiting) {
			b.extend(now, line.key, e)
			continue
		}
		b.forget(e.call)
		delete(b.keys, line.key)
	}
}

func (b *Book) forget(c *call) {
	if c != nil && c.answer != nil {
		b.stats.StoredBytes -= c.answer.Size()
	}
}

// Wake returns the earliest time at which Expire or Flush has work to do; none means there is nothing to wait for.
func (b *Book) Wake(now time.Duration) (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if b.hasQueued() {
		earlier(max(now, b.log.nextAppend))
	}
	if len(b.due) > 0 {
		earlier(b.due[0].at)
	}
	if t, some := b.idExpiry.head(); some {
		earlier(max(t, b.cleaned+cleanEvery))
	}
	if t, some := b.keyExpiry.head(); some {
		earlier(max(t, b.cleaned+cleanEvery))
	}
	return at, ok
}

// dueLine is the time at which a request gives up waiting.
type dueLine struct {
	at     time.Duration
	member *member
}

// dueHeap orders lines by time, then by request.
type dueHeap []dueLine

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].member.request.ID < h[j].member.request.ID
}

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueLine)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	line := (*h)[last]
	(*h)[last] = dueLine{}
	*h = (*h)[:last]
	return line
}

func (h *dueHeap) add(m *member) { heap.Push(h, dueLine{at: m.until, member: m}) }

// queue holds values with times that never decrease.
type queue[T any] struct {
	lines []queueLine[T]
	// first is the index of the oldest line.
	first int
}

type queueLine[T any] struct {
	at    time.Duration
	value T
}

func (q *queue[T]) push(at time.Duration, value T) {
	q.lines = append(q.lines, queueLine[T]{at: at, value: value})
}

func (q *queue[T]) head() (time.Duration, bool) {
	if q.first == len(q.lines) {
		return 0, false
	}
	return q.lines[q.first].at, true
}

// pop returns the oldest value whose time has come.
func (q *queue[T]) pop(now time.Duration) (value T, ok bool) {
	at, some := q.head()
	if !some || at > now {
		return value, false
	}
	value = q.lines[q.first].value
	q.lines[q.first] = queueLine[T]{}
	q.first++
	if 2*q.first > len(q.lines) {
		n := copy(q.lines, q.lines[q.first:])
		clear(q.lines[n:])
		q.lines, q.first = q.lines[:n], 0
	}
	return value, true
}
