package order

import (
	"cmp"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Deduplicator decides which requests one host incarnation runs, and keeps the tokens, keys and answers that this
// needs. It is not safe for concurrent use.
type Deduplicator struct {
	self   ident.Incarnation
	limits Limits
	// tokens holds the issued tokens by their random number.
	tokens map[uint64]*tokenEntry
	// tokenExpiry holds the random numbers of the tokens in the order of their expiry.
	tokenExpiry expiryQueue[uint64]
	keys        map[string]*keyEntry
	// keyExpiry holds an entry for each extension of a key's lifetime; only the last one of a key is valid.
	keyExpiry expiryQueue[keyLifetime]
	// active holds the requests with a token or key that run or wait.
	active map[ident.RequestID]*activeRequest
	// waitDeadlines holds the giveUpAt times of waiting requests. Entries of requests that no longer wait are skipped
	// by Expire.
	waitDeadlines deadlineHeap
	log           claimLog
	// refuseNewKeysUntil is the time until which keys without an entry are refused: another host may have claimed them
	// in a record that this host could not read or keep.
	refuseNewKeysUntil time.Duration
	// lastCleanup is the time of the last call of removeExpired.
	lastCleanup time.Duration
	stats       Stats
}

// tokenEntry is the state of one issued token.
type tokenEntry struct {
	expires time.Duration
	class   ident.ClassName
	// order is nil until the token is first used.
	order *orderState
}

// keyEntry is the state of one key.
type keyEntry struct {
	// expires is zero until a claim of the key was read from the log; until then the entry is kept as long as requests
	// wait.
	expires time.Duration
	// holder is the claim that won the key: the first one in log order that was not released. It is zero if there is
	// none.
	holder claimID
	// order is set while a claim of this host is pending or holds the key.
	order *orderState
}

// claimID identifies one claim among those of all hosts.
type claimID struct {
	incarnation ident.Incarnation
	number      uint64
}

// phase is the progress of an order. Only phaseReady and phaseClaiming lead to phaseRunning; phaseDone and phaseUnknown
// are final.
type phase int

const (
	// phaseReady means that no upstream has run the order and that this host may start it.
	phaseReady phase = iota + 1
	// phaseClaiming means that the claim of the key has not been read back from the log.
	phaseClaiming
	// phaseRunning means that one request of the order was started and has not finished.
	phaseRunning
	// phaseDone means that an upstream ran the order.
	phaseDone
	// phaseUnknown means that an upstream may have run the order.
	phaseUnknown
)

// orderState is the state of one order, which is all requests with the same token or key.
type orderState struct {
	phase phase
	// answer is set in phaseDone if the answer was stored.
	answer *Answer
	// waiters are the waiting requests by arrival, without the one that runs.
	waiters []*activeRequest
	// key and claimNumber are set for an order with a caller's key; claimQueued is true until the claim is part of an
	// append.
	key         string
	claimNumber uint64
	claimQueued bool
}

// activeRequest is one running or waiting request of an order.
type activeRequest struct {
	request Request
	order   *orderState
	// giveUpAt is the time at which a waiting request is refused.
	giveUpAt time.Duration
	// running is true for the one request of the order that was started.
	running bool
}

// NewDeduplicator returns a Deduplicator without tokens and keys for the given host incarnation.
func NewDeduplicator(self ident.Incarnation, limits Limits) *Deduplicator {
	limits.Tokens = cmp.Or(limits.Tokens, 100_000)
	limits.TokenLifetime = cmp.Or(limits.TokenLifetime, time.Minute)
	limits.Keys = cmp.Or(limits.Keys, 200_000)
	limits.KeyLifetime = cmp.Or(limits.KeyLifetime, 10*time.Minute)
	limits.ClaimTimeout = cmp.Or(limits.ClaimTimeout, time.Second)
	limits.MaxAnswerBytes = cmp.Or(limits.MaxAnswerBytes, 64<<10)
	limits.MaxStoredBytes = cmp.Or(limits.MaxStoredBytes, 64<<20)
	limits.AppendsPerSecond = cmp.Or(limits.AppendsPerSecond, 250)
	return &Deduplicator{
		self:   self,
		limits: limits,
		tokens: make(map[uint64]*tokenEntry),
		keys:   make(map[string]*keyEntry),
		active: make(map[ident.RequestID]*activeRequest),
		log:    claimLog{inFlight: make(map[uint64]inFlightAppend)},
	}
}

// Issue returns a new token. The random number must not be predictable by callers: nothing else keeps one caller from
// using the token of another. It fails with *TokenLimitError when the limit of tokens is reached.
func (d *Deduplicator) Issue(now time.Duration, rnd uint64, class ident.ClassName) (Token, error) {
	if len(d.tokens) >= d.limits.Tokens {
		d.removeExpired(now)
	}
	if len(d.tokens) >= d.limits.Tokens {
		return Token{}, &TokenLimitError{Limit: d.limits.Tokens}
	}
	for d.tokens[rnd] != nil {
		rnd = rnd*6364136223846793005 + 1442695040888963407
	}
	expires := now + d.limits.TokenLifetime
	d.tokens[rnd] = &tokenEntry{expires: expires, class: class}
	d.tokenExpiry.push(expires, rnd)
	return Token{Text: formatToken(d.self, rnd, expires), ValidFor: d.limits.TokenLifetime}, nil
}

// Begin returns the verdict on a request that arrived. A request without token and key is started and not recorded.
func (d *Deduplicator) Begin(now time.Duration, r Request) Verdict {
	switch {
	case r.Token != "":
		return d.beginToken(now, r)
	case r.Key != "":
		return d.beginKey(now, r)
	case now >= r.Deadline:
		return refuse(r.ID, ReasonDeadline, RunNo)
	default:
		return Verdict{Request: r.ID, Action: Start}
	}
}

// beginToken returns the verdict on a request with a token.
func (d *Deduplicator) beginToken(now time.Duration, r Request) Verdict {
	incarnation, rnd, expires, ok := parseToken(r.Token)
	if !ok {
		return refuse(r.ID, ReasonUnknownToken, RunNo)
	}
	if incarnation != d.self {
		if r.Relayed {
			return RefuseHostGone(r.ID)
		}
		return Verdict{Request: r.ID, Action: Relay, To: incarnation}
	}
	e := d.tokens[rnd]
	if e == nil || e.expires != expires {
		if now >= expires {
			// The entry may have been removed after the request ran.
			return refuse(r.ID, ReasonExpiredToken, RunUnknown)
		}
		return refuse(r.ID, ReasonUnknownToken, RunNo)
	}
	if e.class != r.Class {
		return refuse(r.ID, ReasonUnknownToken, RunNo)
	}
	if e.order == nil {
		e.order = &orderState{phase: phaseReady}
	}
	if e.order.phase == phaseReady && now >= e.expires {
		return refuse(r.ID, ReasonExpiredToken, RunNo)
	}
	return d.decideByPhase(now, e.order, r)
}

// beginKey returns the verdict on a request with a caller's key.
func (d *Deduplicator) beginKey(now time.Duration, r Request) Verdict {
	e := d.keys[r.Key]
	if e != nil && e.order != nil {
		return d.decideByPhase(now, e.order, r)
	}
	if e != nil && e.holder.incarnation != 0 && e.holder.incarnation != d.self {
		return relayOrRefuse(r, e.holder.incarnation)
	}
	switch {
	case now >= r.Deadline:
		return refuse(r.ID, ReasonDeadline, r.runIfNotStarted())
	case len(r.Key) > MaxKeyBytes:
		return refuse(r.ID, ReasonClaimFailed, RunNo)
	case e == nil && (len(d.keys) >= d.limits.Keys || now < d.refuseNewKeysUntil):
		return refuse(r.ID, ReasonTableFull, r.runIfNotStarted())
	}
	if e == nil {
		e = &keyEntry{}
		d.keys[r.Key] = e
	}
	e.order = &orderState{phase: phaseClaiming, key: r.Key}
	d.enqueueClaim(e.order)
	return d.decideByPhase(now, e.order, r)
}

// decideByPhase returns the verdict on a request by the phase of its order, and starts the request or adds it to the
// waiters.
func (d *Deduplicator) decideByPhase(now time.Duration, o *orderState, r Request) Verdict {
	switch {
	case o.phase == phaseDone && o.answer != nil:
		return Verdict{Request: r.ID, Action: Replay, Answer: o.answer}
	case o.phase == phaseDone:
		return refuse(r.ID, ReasonAnswerTooLarge, RunYes)
	case o.phase == phaseUnknown:
		return refuse(r.ID, ReasonUpstreamFailed, RunUnknown)
	case now >= r.Deadline && o.phase == phaseReady:
		return refuse(r.ID, ReasonDeadline, RunNo)
	case now >= r.Deadline:
		return refuse(r.ID, ReasonDeadline, RunUnknown)
	case o.phase == phaseReady:
		return d.start(o, &activeRequest{request: r, order: o})
	}
	a := &activeRequest{request: r, order: o, giveUpAt: r.Deadline}
	if o.phase == phaseClaiming {
		a.giveUpAt = min(a.giveUpAt, now+d.limits.ClaimTimeout)
	}
	o.waiters = append(o.waiters, a)
	d.active[r.ID] = a
	d.waitDeadlines.add(a)
	return Verdict{Request: r.ID, Action: Wait}
}

func (d *Deduplicator) start(o *orderState, a *activeRequest) Verdict {
	o.phase = phaseRunning
	a.running = true
	d.active[a.request.ID] = a
	return Verdict{Request: a.request.ID, Action: Start}
}

// runIfNotStarted returns the Run of a refusal by a host that never started the order: if the request is a retry,
// another host may have run an earlier request.
func (r Request) runIfNotStarted() Run {
	if r.Retry {
		return RunUnknown
	}
	return RunNo
}

// relayOrRefuse returns the verdict on a request whose key is held by another incarnation. A request that was relayed
// already is refused.
func relayOrRefuse(r Request, to ident.Incarnation) Verdict {
	if r.Relayed {
		return refuse(r.ID, ReasonClaimFailed, RunUnknown)
	}
	return Verdict{Request: r.ID, Action: Relay, To: to}
}

// MayStart reports whether an attempt of a request with a token or key may be sent now: the request got the verdict
// Start, is not finished, and its deadline has not passed. This stops a host that was suspended and resumes after the
// deadline. MayStart returns false for a request that is not recorded, so it must not be called for requests without
// token and key.
func (d *Deduplicator) MayStart(now time.Duration, id ident.RequestID) bool {
	a := d.active[id]
	return a != nil && a.running && now < a.request.Deadline
}

// Finish ends a request that got the verdict Start and returns verdicts on the requests that waited for it. After RunNo
// the same token or key may be started again; after RunYes and RunUnknown never. A request that got the verdict Start
// but was dropped before any attempt must be finished with RunNo.
func (d *Deduplicator) Finish(now time.Duration, id ident.RequestID, run Run, answer *Answer) []Verdict {
	a := d.active[id]
	if a == nil || !a.running {
		return nil
	}
	delete(d.active, id)
	o := a.order
	waiters := o.waiters
	o.waiters = nil
	out := make([]Verdict, 0, len(waiters))
	for _, w := range waiters {
		delete(d.active, w.request.ID)
		out = append(out, waiterVerdict(now, w, run, answer))
	}
	switch run {
	case RunNo:
		o.phase = phaseReady
	case RunYes:
		o.phase = phaseDone
		d.storeAnswer(o, answer)
	default:
		o.phase = phaseUnknown
	}
	return out
}

// waiterVerdict returns the verdict on a request that waited for the running request of the same order.
func waiterVerdict(now time.Duration, w *activeRequest, run Run, answer *Answer) Verdict {
	id := w.request.ID
	switch {
	case now >= w.giveUpAt:
		return refuse(id, ReasonDeadline, run)
	case run == RunYes && answer != nil:
		return Verdict{Request: id, Action: Replay, Answer: answer}
	case run == RunYes:
		return refuse(id, ReasonAnswerTooLarge, run)
	default:
		return refuse(id, ReasonUpstreamFailed, run)
	}
}

// storeAnswer keeps the answer of an order unless it exceeds a limit.
func (d *Deduplicator) storeAnswer(o *orderState, answer *Answer) {
	if answer == nil {
		return
	}
	size := answer.Size()
	if size > d.limits.MaxAnswerBytes || d.stats.StoredBytes+size > d.limits.MaxStoredBytes {
		return
	}
	o.answer = answer
	d.stats.StoredBytes += size
}

// Stats returns the sizes and counters for the status page.
func (d *Deduplicator) Stats() Stats {
	s := d.stats
	s.Tokens, s.Keys, s.PendingClaims = len(d.tokens), len(d.keys), d.log.pendingClaims
	return s
}
