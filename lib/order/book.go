package order

import (
	"cmp"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Book holds the orders of one host incarnation. It is not safe for concurrent use.
type Book struct {
	self   ident.Incarnation
	limits Limits
	ids    map[uint64]*issued
	// idExpiry holds the random numbers of ids in the order of their expiries.
	idExpiry queue[uint64]
	keys     map[string]*held
	// keyExpiry holds a line for each extension of a key's lifetime; only the last one of a key counts.
	keyExpiry queue[keyLine]
	// active has a line for each request that has started or waits.
	active map[ident.RequestID]*member
	// due holds the times at which waiting requests give up, with lines of requests that no longer wait.
	due dueHeap
	log claimLog
	// blindUntil ends the time in which an unknown key may have been claimed by another host.
	blindUntil time.Duration
	// cleaned is the time of the last removal of expired entries.
	cleaned time.Duration
	stats   Stats
}

// issued is one issued ID.
type issued struct {
	expires time.Duration
	class   ident.ClassName
	// call is nil until the ID is first used.
	call *call
}

// held is what is known about one key.
type held struct {
	// expires is zero until a claim was read; until then the entry lasts as long as requests wait.
	expires time.Duration
	// holder is the first claim in log order that is not released; zero if there is none.
	holder claimID
	// call is set while this host waits for a claim of its own or holds the key.
	call *call
}

// claimID identifies one claim.
type claimID struct {
	incarnation ident.Incarnation
	n           uint64
}

// phase is the progress of a call. Only phaseReady and phaseWaiting lead to phaseRunning; phaseDone and phaseUnknown are final.
type phase int

const (
	// phaseReady means that no upstream has run the call and that this host may start it.
	phaseReady phase = iota + 1
	// phaseWaiting means that the claim has not been read back.
	phaseWaiting
	phaseRunning
	phaseDone
	phaseUnknown
)

// call is one order: all requests with the same token or key.
type call struct {
	phase phase
	// answer is set in phaseDone if the answer was stored.
	answer *Answer
	// waiters are the requests that wait, in the order of their arrival, without the one that runs.
	waiters []*member
	// key and claim are set for a caller's key; queued is true until the claim is in an append.
	key    string
	claim  uint64
	queued bool
}

// member is one request of a call.
type member struct {
	request Request
	call    *call
	// until is when the request gives up waiting.
	until time.Duration
	// running is true for the one request of a call that was started.
	running bool
}

// NewBook returns an empty book of the given incarnation.
func NewBook(self ident.Incarnation, limits Limits) *Book {
	limits.IDs = cmp.Or(limits.IDs, 100_000)
	limits.IDLifetime = cmp.Or(limits.IDLifetime, time.Minute)
	limits.Keys = cmp.Or(limits.Keys, 200_000)
	limits.KeyLifetime = cmp.Or(limits.KeyLifetime, 10*time.Minute)
	limits.ClaimWait = cmp.Or(limits.ClaimWait, time.Second)
	limits.AnswerBytes = cmp.Or(limits.AnswerBytes, 64<<10)
	limits.StoredBytes = cmp.Or(limits.StoredBytes, 64<<20)
	limits.Appends = cmp.Or(limits.Appends, 250)
	return &Book{
		self:   self,
		limits: limits,
		ids:    make(map[uint64]*issued),
		keys:   make(map[string]*held),
		active: make(map[ident.RequestID]*member),
		log:    claimLog{inFlight: make(map[uint64]inFlight)},
	}
}

// Issue returns a new request ID. The random number must not be predictable by callers: it is all that keeps one caller from
// using another one's ID. It fails with *FullError when the table is full.
func (b *Book) Issue(now time.Duration, rnd uint64, class ident.ClassName) (Token, error) {
	if len(b.ids) >= b.limits.IDs {
		b.removeExpired(now)
	}
	if len(b.ids) >= b.limits.IDs {
		return Token{}, &FullError{Limit: b.limits.IDs}
	}
	for b.ids[rnd] != nil {
		rnd = rnd*6364136223846793005 + 1442695040888963407
	}
	expires := now + b.limits.IDLifetime
	b.ids[rnd] = &issued{expires: expires, class: class}
	b.idExpiry.push(expires, rnd)
	return Token{Text: tokenText(b.self, rnd, expires), ValidFor: b.limits.IDLifetime}, nil
}

// Begin decides a request that arrived. A request without token and key is started and leaves no trace.
func (b *Book) Begin(now time.Duration, r Request) Verdict {
	switch {
	case r.Token != "":
		return b.beginToken(now, r)
	case r.Key != "":
		return b.beginKey(now, r)
	case now >= r.Deadline:
		return refuse(r.ID, ReasonDeadline, RunNo)
	default:
		return Verdict{Request: r.ID, Action: Start}
	}
}

func (b *Book) beginToken(now time.Duration, r Request) Verdict {
	incarnation, rnd, expires, ok := parseToken(r.Token)
	if !ok {
		return refuse(r.ID, ReasonUnknownToken, RunNo)
	}
	if incarnation != b.self {
		if r.Relayed {
			return Gone(r.ID)
		}
		return Verdict{Request: r.ID, Action: Relay, To: incarnation}
	}
	e := b.ids[rnd]
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
	if e.call == nil {
		e.call = &call{phase: phaseReady}
	}
	if e.call.phase == phaseReady && now >= e.expires {
		return refuse(r.ID, ReasonExpiredToken, RunNo)
	}
	return b.join(now, e.call, r)
}

// beginKey decides a request with a caller's key.
func (b *Book) beginKey(now time.Duration, r Request) Verdict {
	e := b.keys[r.Key]
	if e != nil && e.call != nil {
		return b.join(now, e.call, r)
	}
	if e != nil && e.holder.incarnation != 0 && e.holder.incarnation != b.self {
		return elsewhere(r, e.holder.incarnation)
	}
	switch {
	case now >= r.Deadline:
		return refuse(r.ID, ReasonDeadline, r.neverStarted())
	case len(r.Key) > MaxKey:
		return refuse(r.ID, ReasonClaimFailed, RunNo)
	case e == nil && (len(b.keys) >= b.limits.Keys || now < b.blindUntil):
		return refuse(r.ID, ReasonTableFull, r.neverStarted())
	}
	if e == nil {
		e = &held{}
		b.keys[r.Key] = e
	}
	e.call = &call{phase: phaseWaiting, key: r.Key}
	b.enqueue(e.call)
	return b.join(now, e.call, r)
}

// join decides a request by the progress of its call.
func (b *Book) join(now time.Duration, c *call, r Request) Verdict {
	switch {
	case c.phase == phaseDone && c.answer != nil:
		return Verdict{Request: r.ID, Action: Replay, Answer: c.answer}
	case c.phase == phaseDone:
		return refuse(r.ID, ReasonAnswerTooLarge, RunYes)
	case c.phase == phaseUnknown:
		return refuse(r.ID, ReasonUpstreamFailed, RunUnknown)
	case now >= r.Deadline && c.phase == phaseReady:
		return refuse(r.ID, ReasonDeadline, RunNo)
	case now >= r.Deadline:
		return refuse(r.ID, ReasonDeadline, RunUnknown)
	case c.phase == phaseReady:
		return b.start(c, &member{request: r, call: c})
	}
	m := &member{request: r, call: c, until: r.Deadline}
	if c.phase == phaseWaiting {
		m.until = min(m.until, now+b.limits.ClaimWait)
	}
	c.waiters = append(c.waiters, m)
	b.active[r.ID] = m
	b.due.add(m)
	return Verdict{Request: r.ID, Action: Wait}
}

func (b *Book) start(c *call, m *member) Verdict {
	c.phase = phaseRunning
	m.running = true
	b.active[m.request.ID] = m
	return Verdict{Request: m.request.ID, Action: Start}
}

// neverStarted is what a host can say about a key that it never started: another host may have run an earlier request.
func (r Request) neverStarted() Run {
	if r.Retry {
		return RunUnknown
	}
	return RunNo
}

// elsewhere decides a request whose key another incarnation holds.
func elsewhere(r Request, to ident.Incarnation) Verdict {
	if r.Relayed {
		return refuse(r.ID, ReasonClaimFailed, RunUnknown)
	}
	return Verdict{Request: r.ID, Action: Relay, To: to}
}

// MayStart reports whether an attempt of a request with a token or key may leave now: it was decided by Start, is not finished, and
// its deadline has not passed. A host that resumes after a freeze is stopped here. It is false for a request that the book does not know,
// so it must not be asked about requests without token and key.
func (b *Book) MayStart(now time.Duration, id ident.RequestID) bool {
	m := b.active[id]
	return m != nil && m.running && now < m.request.Deadline
}

// Finish ends a request that was decided by Start and returns verdicts for the requests that waited for it. After RunNo the same
// token or key may be started again; after RunYes and RunUnknown never. A request that was started here and dropped before any attempt
// is finished with RunNo.
func (b *Book) Finish(now time.Duration, id ident.RequestID, run Run, answer *Answer) []Verdict {
	m := b.active[id]
	if m == nil || !m.running {
		return nil
	}
	delete(b.active, id)
	c := m.call
	waiters := c.waiters
	c.waiters = nil
	out := make([]Verdict, 0, len(waiters))
	for _, w := range waiters {
		delete(b.active, w.request.ID)
		out = append(out, followerVerdict(now, w, run, answer))
	}
	switch run {
	case RunNo:
		c.phase = phaseReady
	case RunYes:
		c.phase = phaseDone
		b.store(c, answer)
	default:
		c.phase = phaseUnknown
	}
	return out
}

// followerVerdict decides a request that waited for another one of the same call.
func followerVerdict(now time.Duration, w *member, run Run, answer *Answer) Verdict {
	id := w.request.ID
	switch {
	case now >= w.until:
		return refuse(id, ReasonDeadline, run)
	case run == RunYes && answer != nil:
		return Verdict{Request: id, Action: Replay, Answer: answer}
	case run == RunYes:
		return refuse(id, ReasonAnswerTooLarge, run)
	default:
		return refuse(id, ReasonUpstreamFailed, run)
	}
}

func (b *Book) store(c *call, answer *Answer) {
	if answer == nil {
		return
	}
	size := answer.Size()
	if size > b.limits.AnswerBytes || b.stats.StoredBytes+size > b.limits.StoredBytes {
		return
	}
	c.answer = answer
	b.stats.StoredBytes += size
}

// Stats returns counters for the status page.
func (b *Book) Stats() Stats {
	s := b.stats
	s.IDs, s.Keys, s.Waiting = len(b.ids), len(b.keys), b.log.waiting
	return s
}
