package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/order"
	"sardinecross.example/lib/policy"
)

// maxAttempts bounds the attempts of one request, so that a request that every upstream sheds comes to an end.
const maxAttempts = 3

// request is the state of one request. It is kept until the last attempt has ended and the caller has an answer.
type request struct {
	policy.Item
	class     *class
	className ident.ClassName
	// idempotent reports whether the class was idempotent when the request arrived.
	idempotent bool
	// retriable reports that another attempt is possible if the failure allows it: the body can be sent again, and no
	// caller higher in the call tree retries the same work.
	retriable bool
	// retry reports that the caller sent the request before and does not know whether it ran.
	retry bool
	// deduplicated reports that the deduplicator tracks the request, finishPending that it expects a call of Finish.
	deduplicated, finishPending bool
	// relayed reports that Relay was sent.
	relayed bool
	// replied reports that the effect that answers the caller was sent; it is sent at most once.
	replied bool
	// callerGone reports that the caller closed its connection.
	callerGone bool
	// ended reports that no more effects are sent for the request. It is kept only until its attempts have ended.
	ended bool
	// queuedAt is the time at which the request arrived or was last queued.
	queuedAt time.Duration
	// delivered is the number of the attempt whose answer the caller gets, zero before an attempt has answered.
	delivered int
	// answer is the captured answer of the delivered attempt.
	answer *Answer
	// attempts holds the attempts in the order of their numbers, which start at 1.
	attempts []attempt
	// attemptBuf backs the first elements of attempts, which saves an allocation for most requests.
	attemptBuf [2]attempt
}

// attempt is one attempt of a request at one upstream.
type attempt struct {
	upstream  *upstream
	startedAt time.Duration
	// deadline is the deadline of the attempt; it is not after that of the request.
	deadline time.Duration
	// answered reports that the head of the answer was read, failed that its status was a server error.
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

// runningAttempts returns the number of attempts that have not ended.
func (r *request) runningAttempts() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].outcome == 0 {
			n++
		}
	}
	return n
}

// liveAttempts returns the number of running attempts whose answer may still be delivered, because they were not
// cancelled.
func (r *request) liveAttempts() int {
	n := 0
	for i := range r.attempts {
		if a := &r.attempts[i]; a.outcome == 0 && !a.cancelled {
			n++
		}
	}
	return n
}

// triedUpstream reports whether an attempt of the request was started at an upstream.
func (r *request) triedUpstream(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].upstream == u {
			return true
		}
	}
	return false
}

// requestArrived handles a new request. The deduplicator is asked before this host looks for reasons of its own to
// refuse: an earlier request with the same ID or key may have run, and the answer must reflect that.
func (s *State) requestArrived(ev RequestArrived) {
	s.counters.Requests++
	c := s.topo.classes[ev.Class]
	if c == nil {
		s.refuseUnknownClass(ev)
		return
	}
	r := newRequest(ev, c, s.now)
	s.requests[r.ID] = r
	if r.deduplicated {
		s.applyVerdict(r, s.dedup.Begin(s.now, order.Request{
			ID: ev.ID, Class: ev.Class, Token: ev.Token, Key: scopedKey(ev), Deadline: r.Deadline,
			Retry: ev.Retry, Relayed: ev.Relayed,
		}))
		return
	}
	s.admit(r)
}

// refuseUnknownClass refuses a request whose class is not in the configuration. While the configuration may be old,
// the class may exist, and an earlier request with the same ID or key may have run on another host. An earlier request of a
// retry may also run later, on a host that still knows the class.
func (s *State) refuseUnknownClass(ev RequestArrived) {
	current := s.acceptsWork()
	switch {
	case (ev.Token != "" || ev.Key != "") && (ev.Retry || !current):
		s.refuseUntracked(ev, ReasonConfigStale, RunUnknown)
	case current:
		s.refuseUntracked(ev, ReasonUnknownClass, RunNo)
	default:
		s.refuseUntracked(ev, ReasonConfigStale, RunNo)
	}
}

// scopedKey returns the caller's key qualified by class and tenant, so that two tenants may choose the same key.
func scopedKey(ev RequestArrived) string {
	if ev.Key == "" {
		return ""
	}
	return string(ev.Class) + "\x00" + string(ev.Tenant) + "\x00" + ev.Key
}

// newRequest returns the state of a request. The deadline is at most that of the class, because other hosts wait for
// the class's deadline before they reuse the slots of a silent host. An idempotent request may run twice, so its ID
// or key is ignored: it needs neither the log nor another host.
func newRequest(ev RequestArrived, c *class, now time.Duration) *request {
	deadline := now + c.def.Deadline
	if ev.Deadline > 0 {
		deadline = min(deadline, ev.Deadline)
	}
	r := &request{
		Item:         policy.Item{ID: ev.ID, Deadline: deadline},
		class:        c,
		className:    ev.Class,
		idempotent:   c.def.Idempotent,
		retriable:    ev.Replayable && ev.Depth == 0,
		retry:        ev.Retry,
		deduplicated: !c.def.Idempotent && (ev.Token != "" || ev.Key != ""),
		queuedAt:     now,
	}
	r.attempts = r.attemptBuf[:0]
	return r
}

// admit queues a request that may run, or refuses it if it cannot start in time.
func (s *State) admit(r *request) {
	svc := r.class.service
	if reason, ok := s.startObstacle(r); ok {
		s.refuse(r, reason, RunNo)
		return
	}
	switch {
	case s.shutdown.begun && s.now >= s.shutdown.serveUntil:
		s.refuse(r, ReasonStopping, RunNo)
		return
	case svc.usable == 0:
		s.refuse(r, ReasonNoCapacity, RunNo)
		return
	case r.class.policy.Queue.Len() > 0 && !r.class.policy.Admits(s.now, r.Deadline, s.slotsOfService(svc)):
		s.refuse(r, ReasonQueueFull, RunNo)
		return
	}
	r.class.policy.Budget.Deposit()
	s.enqueue(r)
}

func (s *State) enqueue(r *request) {
	r.queuedAt = s.now
	r.class.policy.Queue.Push(&r.Item)
	s.topo.markDirty(r.class.service)
}

func (s *State) dequeue(r *request) {
	if r.Queued() {
		r.class.policy.Queue.Remove(&r.Item)
	}
}

// requestCancelled stops the work for a caller that closed its connection. Attempts of a class that is not idempotent
// go on: their answer is stored for a repeated request, and a cancelled upstream may have run the request all the
// same.
func (s *State) requestCancelled(id ident.RequestID) {
	r := s.requests[id]
	if r == nil || r.callerGone {
		return
	}
	r.callerGone = true
	s.counters.Cancelled++
	queued := r.Queued()
	s.dequeue(r)
	s.topo.markDirty(r.class.service)
	switch {
	case r.runningAttempts() > 0:
		if r.idempotent {
			s.cancelAttempts(r, 0)
		}
	case queued:
		s.finish(r, RunNo, nil)
	case r.relayed:
		s.forget(r)
	default:
		s.dedup.Cancel(s.now, id)
		s.forget(r)
	}
}

// cancelAttempts cancels all running attempts except one; zero cancels all of them.
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

// finish ends a request and reports to the deduplicator whether it ran, with the answer. Only cancellations of
// running attempts are still sent for the request.
func (s *State) finish(r *request, run Run, answer *Answer) {
	s.forget(r)
	s.cancelAttempts(r, 0)
	if !r.finishPending {
		return
	}
	r.finishPending = false
	if run == RunNo && r.mayHaveRun() {
		run = RunUnknown
	}
	s.applyVerdicts(s.dedup.Finish(s.now, r.ID, order.Run(run), (*order.Answer)(answer)))
}

// forget removes the state of a request. While attempts are running, the state is kept without further effects until
// they have ended and returned their slots.
func (s *State) forget(r *request) {
	r.ended = true
	if r.runningAttempts() == 0 {
		delete(s.requests, r.ID)
	}
	s.trimTimers()
}
