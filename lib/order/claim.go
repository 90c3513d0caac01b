package order

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// claimLog is the book's side of the stream of claims.
type claimLog struct {
	// next is the offset of the first record not yet read.
	next int64
	// lastClaim and lastAppend are the last numbers given.
	lastClaim, lastAppend uint64
	// claims are the calls whose claims wait for an append, with calls that no longer wait.
	claims []*call
	// releases wait for an append.
	releases []wireClaim
	inFlight map[uint64]inFlight
	// nextAppend is the time from which the budget allows another append.
	nextAppend time.Duration
	// waiting is the number of calls in phaseWaiting.
	waiting int
}

// inFlight is the content of an append whose end is not known.
type inFlight struct {
	claims   []*call
	numbers  []uint64
	releases []wireClaim
}

// enqueue gives a call in phaseWaiting a new claim.
func (b *Book) enqueue(c *call) {
	b.log.lastClaim++
	c.claim, c.queued = b.log.lastClaim, true
	b.log.claims = append(b.log.claims, c)
	b.log.waiting++
}

func (b *Book) release(key string, n uint64) {
	b.log.releases = append(b.log.releases, wireClaim{Key: key, ID: n})
	b.stats.Released++
}

// stopWaiting ends phaseWaiting; a claim that is still queued is never appended.
func (b *Book) stopWaiting(c *call) {
	c.queued = false
	b.log.waiting--
}

// hasQueued reports whether there is something to append, dropping calls that no longer wait.
func (b *Book) hasQueued() bool {
	for len(b.log.claims) > 0 && !b.log.claims[0].queued {
		b.log.claims = b.log.claims[1:]
	}
	return len(b.log.claims) > 0 || len(b.log.releases) > 0
}

// Flush returns the next append of claims and releases if there is one and the append budget allows it; hosts is the number of
// listed hosts that share the budget.
func (b *Book) Flush(now time.Duration, hosts int) (Append, bool) {
	if now < b.log.nextAppend || !b.hasQueued() {
		return Append{}, false
	}
	var f inFlight
	n := min(len(b.log.releases), MaxBatch)
	f.releases = append(f.releases, b.log.releases[:n]...)
	b.log.releases = b.log.releases[n:]
	w := wireBatch{Incarnation: uint64(b.self), Releases: f.releases}
	for len(b.log.claims) > 0 && len(w.Claims)+n < MaxBatch {
		c := b.log.claims[0]
		b.log.claims = b.log.claims[1:]
		if !c.queued {
			continue
		}
		c.queued = false
		f.claims = append(f.claims, c)
		f.numbers = append(f.numbers, c.claim)
		w.Claims = append(w.Claims, wireClaim{Key: c.key, ID: c.claim})
	}
	b.log.lastAppend++
	b.log.inFlight[b.log.lastAppend] = f
	b.log.nextAppend = now + time.Duration(float64(max(hosts, 1))/b.limits.Appends*float64(time.Second))
	return Append{ID: b.log.lastAppend, Data: encode(w)}, true
}

// Appended reports the end of an append. Claims that certainly were not applied are appended again while their requests wait. Releases are
// appended again unless they were confirmed, which is harmless because a release names one claim.
func (b *Book) Appended(_ time.Duration, id uint64, result AppendResult) {
	f, ok := b.log.inFlight[id]
	if !ok {
		return
	}
	delete(b.log.inFlight, id)
	if result != Answered {
		b.log.releases = append(b.log.releases, f.releases...)
	}
	if result != NotApplied {
		return
	}
	for i, c := range f.claims {
		if c.phase == phaseWaiting && c.claim == f.numbers[i] {
			c.queued = true
			b.log.claims = append(b.log.claims, c)
		}
	}
}

// Next returns the offset from which to read the stream of claims; a book starts at the oldest retained record.
func (b *Book) Next() int64 { return b.log.next }

// Waiting returns the number of claims that wait for their read-back; while it is not zero the stream should be read often.
func (b *Book) Waiting() int { return b.log.waiting }

// Read applies records of the stream of claims, after Expire, and returns verdicts for the requests that waited for them.
// Records below Next are ignored.
func (b *Book) Read(now time.Duration, batch Batch) []Verdict {
	out := b.Expire(now)
	if batch.First > b.log.next {
		if b.log.next > 0 {
			out = append(out, b.gap(now)...)
		}
		b.log.next = batch.First
	}
	for _, r := range batch.Records {
		if r.Offset < b.log.next {
			continue
		}
		if r.Offset > b.log.next {
			break
		}
		b.log.next++
		w, err := decode(r.Data)
		if err != nil {
			b.stats.BadRecords++
			continue
		}
		out = append(out, b.apply(now, w)...)
	}
	return out
}

// gap is called when retention removed records that were not read: any key may have been claimed in them.
func (b *Book) gap(now time.Duration) []Verdict {
	b.blindUntil = now + b.limits.KeyLifetime
	var waiting []string
	for key, e := range b.keys {
		if e.call != nil && e.call.phase == phaseWaiting {
			waiting = append(waiting, key)
		}
	}
	slices.Sort(waiting)
	var out []Verdict
	for _, key := range waiting {
		out = append(out, b.abandon(key, b.keys[key], ReasonClaimFailed)...)
	}
	return out
}

func (b *Book) apply(now time.Duration, w wireBatch) []Verdict {
	var out []Verdict
	owner := ident.Incarnation(w.Incarnation)
	for _, r := range w.Releases {
		e := b.keys[r.Key]
		if e != nil && e.holder == (claimID{incarnation: owner, n: r.ID}) && !b.holds(e) {
			e.holder = claimID{}
			b.drop(r.Key, e)
		}
	}
	for _, c := range w.Claims {
		out = append(out, b.claimed(now, c.Key, claimID{incarnation: owner, n: c.ID})...)
	}
	return out
}

// holds reports whether this host won the key; it never releases such a claim.
func (b *Book) holds(e *held) bool { return e.call != nil && e.call.phase != phaseWaiting }

// claimed applies one claim in log order.
func (b *Book) claimed(now time.Duration, key string, id claimID) []Verdict {
	e := b.keys[key]
	if e == nil {
		if len(b.keys) >= 2*b.limits.Keys {
			// The claim cannot be remembered, so no unknown key may be claimed here until it has lapsed.
			b.blindUntil = now + b.limits.KeyLifetime + b.limits.KeyLifetime/8
			return nil
		}
		e = &held{}
		b.keys[key] = e
	}
	// Each claim prolongs the entry, so that hosts which read the holder's claim at different times do not let different claims win.
	b.extend(now, key, e)
	mine := id.incarnation == b.self && e.call != nil && e.call.phase == phaseWaiting && e.call.claim == id.n
	if e.holder.incarnation != 0 {
		return b.claimLost(e, id, mine)
	}
	e.holder = id
	switch {
	case mine:
		return b.claimWon(e.call)
	case id.incarnation == b.self:
		// The request was told that it did not run, so the claim must never be used.
		b.release(key, id.n)
		return nil
	default:
		return b.relayWaiters(e)
	}
}

// claimWon starts the request that has waited longest; the others get its answer.
func (b *Book) claimWon(c *call) []Verdict {
	b.stopWaiting(c)
	first := c.waiters[0]
	c.waiters = c.waiters[1:]
	for _, m := range c.waiters {
		m.until = m.request.Deadline
		b.due.add(m)
	}
	return []Verdict{b.start(c, first)}
}

// claimLost applies a claim for a key that is held already.
func (b *Book) claimLost(e *held, id claimID, mine bool) []Verdict {
	if !mine || e.holder == id {
		return nil
	}
	b.stats.Lost++
	if e.holder.incarnation == b.self {
		// An abandoned claim of this host is in the way; its release is queued or in flight, so a new claim follows it.
		b.stopWaiting(e.call)
		b.enqueue(e.call)
		return nil
	}
	return b.relayWaiters(e)
}

// relayWaiters sends the requests that wait for a claim to the incarnation that holds the key.
func (b *Book) relayWaiters(e *held) []Verdict {
	c := e.call
	if c == nil || c.phase != phaseWaiting {
		return nil
	}
	b.stopWaiting(c)
	e.call = nil
	out := make([]Verdict, 0, len(c.waiters))
	for _, m := range c.waiters {
		delete(b.active, m.request.ID)
		out = append(out, elsewhere(m.request, e.holder.incarnation))
	}
	return out
}
