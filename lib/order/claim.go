package order

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// claimLog is the state of reading from and appending to the stream of claims.
type claimLog struct {
	// nextOffset is the offset of the first record not yet read.
	nextOffset int64
	// lastClaim is the number of the newest claim of this host, lastAppend the ID of its newest append.
	lastClaim, lastAppend uint64
	// queuedClaims are the orders whose claims wait for an append. Those with claimQueued false no longer wait and are
	// skipped.
	queuedClaims []*orderState
	// queuedReleases are the claims whose releases wait for an append.
	queuedReleases []wireClaim
	// inFlight holds the appends that have not finished, by ID.
	inFlight map[uint64]inFlightAppend
	// nextAppendAt is the time from which AppendsPerSecond allows another append.
	nextAppendAt time.Duration
	// pendingClaims is the number of orders in phaseClaiming.
	pendingClaims int
}

// inFlightAppend is the content of an append that has not finished.
type inFlightAppend struct {
	claims []*orderState
	// claimNumbers are the numbers of the claims at the time of the append; an order may have got a new claim since.
	claimNumbers []uint64
	releases     []wireClaim
}

// enqueueClaim queues a new claim for an order in phaseClaiming.
func (d *Deduplicator) enqueueClaim(o *orderState) {
	d.log.lastClaim++
	o.claimNumber, o.claimQueued = d.log.lastClaim, true
	d.log.queuedClaims = append(d.log.queuedClaims, o)
	d.log.pendingClaims++
}

// enqueueRelease queues the release of one claim of this host.
func (d *Deduplicator) enqueueRelease(key string, n uint64) {
	d.log.queuedReleases = append(d.log.queuedReleases, wireClaim{Key: key, Number: n})
	d.stats.Released++
}

// endClaiming withdraws the pending claim of an order; a claim that is still queued is never appended. The phase is
// left as it is.
func (d *Deduplicator) endClaiming(o *orderState) {
	o.claimQueued = false
	d.log.pendingClaims--
}

// hasQueued reports whether there is a claim or release to append. It removes withdrawn claims from the head of the
// queue.
func (d *Deduplicator) hasQueued() bool {
	for len(d.log.queuedClaims) > 0 && !d.log.queuedClaims[0].claimQueued {
		d.log.queuedClaims = d.log.queuedClaims[1:]
	}
	return len(d.log.queuedClaims) > 0 || len(d.log.queuedReleases) > 0
}

// PrepareAppend returns the next append of claims and releases if there is one and AppendsPerSecond allows it; hosts is
// the number of listed hosts, which share that rate.
func (d *Deduplicator) PrepareAppend(now time.Duration, hosts int) (Append, bool) {
	if now < d.log.nextAppendAt || !d.hasQueued() {
		return Append{}, false
	}
	var f inFlightAppend
	n := min(len(d.log.queuedReleases), MaxClaimsPerRecord)
	f.releases = append(f.releases, d.log.queuedReleases[:n]...)
	d.log.queuedReleases = d.log.queuedReleases[n:]
	w := claimRecord{Incarnation: uint64(d.self), Releases: f.releases}
	for len(d.log.queuedClaims) > 0 && len(w.Claims)+n < MaxClaimsPerRecord {
		o := d.log.queuedClaims[0]
		d.log.queuedClaims = d.log.queuedClaims[1:]
		if !o.claimQueued {
			continue
		}
		o.claimQueued = false
		f.claims = append(f.claims, o)
		f.claimNumbers = append(f.claimNumbers, o.claimNumber)
		w.Claims = append(w.Claims, wireClaim{Key: o.key, Number: o.claimNumber})
	}
	d.log.lastAppend++
	d.log.inFlight[d.log.lastAppend] = f
	d.log.nextAppendAt = now + time.Duration(float64(max(hosts, 1))/d.limits.AppendsPerSecond*float64(time.Second))
	return Append{ID: d.log.lastAppend, Data: encodeRecord(w)}, true
}

// FinishAppend records the outcome of an append. Claims are appended again only after AppendNotApplied and while their
// requests wait. Releases are appended again unless they were confirmed; a duplicate is harmless because a release
// names one claim.
func (d *Deduplicator) FinishAppend(_ time.Duration, id uint64, result AppendResult) {
	f, ok := d.log.inFlight[id]
	if !ok {
		return
	}
	delete(d.log.inFlight, id)
	if result != AppendConfirmed {
		d.log.queuedReleases = append(d.log.queuedReleases, f.releases...)
	}
	if result != AppendNotApplied {
		return
	}
	for i, o := range f.claims {
		if o.phase == phaseClaiming && o.claimNumber == f.claimNumbers[i] {
			o.claimQueued = true
			d.log.queuedClaims = append(d.log.queuedClaims, o)
		}
	}
}

// NextOffset returns the offset from which to read the stream of claims. A new Deduplicator starts at the oldest
// retained record.
func (d *Deduplicator) NextOffset() int64 { return d.log.nextOffset }

// PendingClaims returns the number of this host's claims that have not been read back; while it is not zero the stream
// should be read often.
func (d *Deduplicator) PendingClaims() int { return d.log.pendingClaims }

// Apply calls Expire, applies the records of one read of the stream of claims, and returns the verdicts of both.
// Records below NextOffset are ignored.
func (d *Deduplicator) Apply(now time.Duration, batch Batch) []Verdict {
	out := d.Expire(now)
	if batch.First > d.log.nextOffset {
		if d.log.nextOffset > 0 {
			out = append(out, d.handleGap(now)...)
		}
		d.log.nextOffset = batch.First
	}
	for _, r := range batch.Records {
		if r.Offset < d.log.nextOffset {
			continue
		}
		if r.Offset > d.log.nextOffset {
			break
		}
		d.log.nextOffset++
		w, err := decodeRecord(r.Data)
		if err != nil {
			d.stats.BadRecords++
			continue
		}
		out = append(out, d.applyRecord(now, w)...)
	}
	return out
}

// handleGap abandons all pending claims and refuses new keys for KeyLifetime. It is called when the log's retention
// removed records that were not read: any key may have been claimed in them.
func (d *Deduplicator) handleGap(now time.Duration) []Verdict {
	d.refuseNewKeysUntil = now + d.limits.KeyLifetime
	var waiting []string
	for key, e := range d.keys {
		if e.order != nil && e.order.phase == phaseClaiming {
			waiting = append(waiting, key)
		}
	}
	slices.Sort(waiting)
	var out []Verdict
	for _, key := range waiting {
		out = append(out, d.abandon(key, d.keys[key], ReasonClaimFailed)...)
	}
	return out
}

// applyRecord applies the releases of one record, then its claims.
func (d *Deduplicator) applyRecord(now time.Duration, w claimRecord) []Verdict {
	var out []Verdict
	owner := ident.Incarnation(w.Incarnation)
	for _, r := range w.Releases {
		e := d.keys[r.Key]
		if e != nil && e.holder == (claimID{incarnation: owner, number: r.Number}) && !d.holdsKey(e) {
			e.holder = claimID{}
			d.removeIfUnclaimed(r.Key, e)
		}
	}
	for _, c := range w.Claims {
		out = append(out, d.applyClaim(now, c.Key, claimID{incarnation: owner, number: c.Number})...)
	}
	return out
}

// holdsKey reports whether this host won the key for an order; such a claim is never released.
func (d *Deduplicator) holdsKey(e *keyEntry) bool {
	return e.order != nil && e.order.phase != phaseClaiming
}

// applyClaim applies one claim of any host; claims must be applied in log order.
func (d *Deduplicator) applyClaim(now time.Duration, key string, id claimID) []Verdict {
	e := d.keys[key]
	if e == nil {
		if len(d.keys) >= 2*d.limits.Keys {
			// There is no room to keep the claim, so this host must not claim any key without an entry until the claim
			// has expired.
			d.refuseNewKeysUntil = now + d.limits.KeyLifetime + d.limits.KeyLifetime/8
			return nil
		}
		e = &keyEntry{}
		d.keys[key] = e
	}
	// Each claim extends the lifetime of the entry. Otherwise the entry could expire on some hosts before a later claim
	// and on others after it, since they read the holder's claim at different times, and different claims would win.
	d.extendLifetime(now, key, e)
	mine := id.incarnation == d.self && e.order != nil && e.order.phase == phaseClaiming && e.order.claimNumber == id.number
	if e.holder.incarnation != 0 {
		return d.claimLost(e, id, mine)
	}
	e.holder = id
	switch {
	case mine:
		return d.claimWon(e.order)
	case id.incarnation == d.self:
		// No request waits for this claim any more. Its request may have been refused with RunNo, so the order must not
		// run.
		d.enqueueRelease(key, id.number)
		return nil
	default:
		return d.relayWaiters(e)
	}
}

// claimWon starts the request that has waited longest; the others wait for its answer until their own deadlines.
func (d *Deduplicator) claimWon(o *orderState) []Verdict {
	d.endClaiming(o)
	first := o.waiters[0]
	o.waiters = o.waiters[1:]
	for _, a := range o.waiters {
		a.giveUpAt = a.request.Deadline
		d.waitDeadlines.add(a)
	}
	return []Verdict{d.start(o, first)}
}

// claimLost applies a claim of a key that another claim holds already.
func (d *Deduplicator) claimLost(e *keyEntry, id claimID, mine bool) []Verdict {
	if !mine || e.holder == id {
		return nil
	}
	d.stats.Conflicts++
	if e.holder.incarnation == d.self {
		// An abandoned claim of this host holds the key. Its release is queued or in flight, so a new claim is applied
		// after it.
		d.endClaiming(e.order)
		d.enqueueClaim(e.order)
		return nil
	}
	return d.relayWaiters(e)
}

// relayWaiters relays the requests that wait for a claim of this host to the incarnation that holds the key.
func (d *Deduplicator) relayWaiters(e *keyEntry) []Verdict {
	o := e.order
	if o == nil || o.phase != phaseClaiming {
		return nil
	}
	d.endClaiming(o)
	e.order = nil
	out := make([]Verdict, 0, len(o.waiters))
	for _, a := range o.waiters {
		delete(d.active, a.request.ID)
		out = append(out, relayOrRefuse(a.request, e.holder.incarnation))
	}
	return out
}
