package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/order"
	"sardinecross.example/lib/policy"
)

// maxAttempts bounds the attempts of one request, so that a request that every upstream sheds ends.
const maxAttempts = 3

// request is the state of one request from its arrival until its last attempt has ended and its caller has an answer.
type request struct {
	policy.Item
	class     *class
	className ident.ClassName
	// idempotent is that of the class when the request arrived.
	idempotent bool
	// retriable reports that another attempt may be made where its kind of request allows one: the body
	// can be sent again and no caller above retries the same work.
	retriable bool
	// booked reports that the order book knows the request; started that the book waits for Finish.
	booked, started bool
	relayed         bool
	// replied reports that the terminal effect was sent; it is sent at most once.
	replied bool
	// callerGone reports that the caller left.
	callerGone bool
	// ended reports that nothing more is sent for the request; it is kept only until its attempts have ended.
	ended    bool
	queuedAt time.Duration
	// delivered is the attempt whose answer the caller gets, zero before one answered.
	delivered int
	// answer is the captured answer of the delivered attempt.
	answer *Answer
	// attempts are numbered from 1 in this order.
	attempts []attempt
	// first is the place of the first attempts, which saves an allocation for most requests.
	first [2]attempt
}

// attempt is one try at one upstream.
type attempt struct {
	upstream  *upstream
	startedAt time.Duration
	// deadline is the attempt's own; it is not after the request's.
	deadline time.Duration
	// answered reports that the head of the answer was read, failed that it was a server error.
	answered, failed bool
	// cancelled reports that CancelAttempt was sent.
	cancelled bool
	// outcome is zero while the attempt runs.
	outcome Outcome
}

// mayHaveRun reports whether an upstream may have run the request or may still run it.
func (r *request) mayHaveRun() bool {
	for i := range r.attempts {
		if o := r.attempts[i].outcome; o != OutcomeNotSent && o != OutcomeShed {
			return true
		}
	}
	return false
}

// running returns the number of attempts that have not ended.
func (r *request) running() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].outcome == 0 {
			n++
		}
	}
	return n
}

// live returns the number of attempts whose answer may still be delivered.
func (r *request) live() int {
	n := 0
	for i := range r.attempts {
		if a := &r.attempts[i]; a.outcome == 0 && !a.cancelled {
			n++
		}
	}
	return n
}

// triedAt reports whether an attempt of the request was sent to an upstream.
func (r *request) triedAt(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].upstream == u {
			return true
		}
	}
	return false
}

// arrive decides a request that was received. What the order book knows of an earlier request with the same ID or key
// comes before every reason of this host's own, since that request may have run.
func (s *State) arrive(ev RequestArrived) {
	s.counters.Requests++
	c := s.topo.classes[ev.Class]
	if c == nil {
		s.refuseUnknownClass(ev)
		return
	}
	r := newRequest(ev, c, s.now)
	s.requests[r.ID] = r
	if r.booked {
		s.applyOne(r, s.book.Begin(s.now, order.Request{
			ID: ev.ID, Class: ev.Class, Token: ev.Token, Key: scopedKey(ev), Deadline: r.Deadline,
			Retry: ev.Retry, Relayed: ev.Relayed,
		}))
		return
	}
	s.admit(r)
}

// refuseUnknownClass refuses a request of a class that is not in the configuration. While that may be old, the class may exist and
// an earlier request with the same ID or key may have run elsewhere.
func (s *State) refuseUnknownClass(ev RequestArrived) {
	switch {
	case s.inService():
		s.refuseUnqueued(ev, ReasonUnknownClass, RunNo)
	case ev.Token != "" || ev.Key != "":
		s.refuseUnqueued(ev, ReasonConfigStale, RunUnknown)
	default:
		s.refuseUnqueued(ev, ReasonConfigStale, RunNo)
	}
}

// scopedKey returns the caller's key in the scope of its class and tenant, so that two tenants may choose the same one.
func scopedKey(ev RequestArrived) string {
	if ev.Key == "" {
		return ""
	}
	return string(ev.Class) + "\x00" + string(ev.Tenant) + "\x00" + ev.Key
}

// newRequest returns the state of a request. Its deadline is at most that of the class, which other hosts wait for
// before they use the slots of a silent one again. The ID or key of an idempotent request protects nothing, so it is not looked at:
// such a request needs neither the log nor another host.
func newRequest(ev RequestArrived, c *class, now time.Duration) *request {
	deadline := now + c.def.Deadline
	if ev.Deadline > 0 {
		deadline = min(deadline, ev.Deadline)
	}
	r := &request{
		Item:       policy.Item{ID: ev.ID, Deadline: deadline},
		class:      c,
		className:  ev.Class,
		idempotent: c.def.Idempotent,
		retriable:  ev.Replayable && ev.Depth == 0,
		booked:     !c.def.Idempotent && (ev.Token != "" || ev.Key != ""),
		queuedAt:   now,
	}
	r.attempts = r.first[:0]
	return r
}

// admit queues a request that may run, or refuses it if it cannot start in time.
func (s *State) admit(r *request) {
	svc := r.class.service
	if reason, ok := s.expired(r); ok {
		s.refuse(r, reason, RunNo)
		return
	}
	switch {
	case s.leaving.begun && s.now >= s.leaving.until:
		s.refuse(r, ReasonStopping, RunNo)
		return
	case svc.usable == 0:
		s.refuse(r, ReasonNoCapacity, RunNo)
		return
	case r.class.policy.Queue.Len() > 0 && !r.class.policy.Admits(s.now, r.Deadline, s.slotsOf(svc)):
		s.refuse(r, ReasonQueueFull, RunNo)
		return
	}
	r.class.policy.Budget.Deposit()
	s.enqueue(r)
}

func (s *State) enqueue(r *request) {
	r.queuedAt = s.now
	r.class.policy.Queue.Push(&r.Item)
	s.topo.mark(r.class.service)
}

func (s *State) unqueue(r *request) {
	if r.Queued() {
		r.class.policy.Queue.Remove(&r.Item)
	}
}

// cancel stops work for a caller that left. Attempts of a class that is not idempotent go on: their answer is
// stored for a repetition, and an upstream that is cancelled may have run the request all the same.
func (s *State) cancel(id ident.RequestID) {
	r := s.requests[id]
	if r == nil || r.callerGone {
		return
	}
	r.callerGone = true
	s.counters.Cancelled++
	queued := r.Queued()
	s.unqueue(r)
	s.topo.mark(r.class.service)
	switch {
	case r.running() > 0:
		if r.idempotent {
			s.cancelAttempts(r, 0)
		}
	case queued:
		s.finish(r, RunNo, nil)
	case r.relayed:
		s.forget(r)
	default:
		s.book.Cancel(s.now, id)
		s.forget(r)
	}
}

// cancelAttempts ends all running attempts but one.
func (s *State) cancelAttempts(r *request, except int) {
	for i := range r.attempts {
		if i+1 != except {
			s.cancelAttempt(r, i+1)
		}
	}
}

func (s *State) cancelAttempt(r *request, n int) {
	a := &r.attempts[n-1]
	if a.outcome == 0 && !a.cancelled {
		a.cancelled = true
		s.emit(CancelAttempt{ID: r.ID, Attempt: n})
	}
}

// finish ends a request: the book learns what became of it, and nothing more is sent for it.
func (s *State) finish(r *request, run Run, answer *Answer) {
	s.forget(r)
	s.cancelAttempts(r, 0)
	if !r.started {
		return
	}
	r.started = false
	if run == RunNo && r.mayHaveRun() {
		run = RunUnknown
	}
	s.apply(s.book.Finish(s.now, r.ID, order.Run(run), (*order.Answer)(answer)))
}

// forget drops the state of a request, or keeps it without further effects until its attempts have ended and
// returned their slots.
func (s *State) forget(r *request) {
	r.ended = true
	if r.running() == 0 {
		delete(s.requests, r.ID)
	}
	s.trimTimers()
}
