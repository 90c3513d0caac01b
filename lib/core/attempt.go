package core

import (
	"net/http"
	"time"

	"sardinecross.example/lib/lease"
)

// coldFactor is how many times the median of its class the time to a first byte may reach twice in a row before
// the upstream counts as cold.
const coldFactor = 8

// abandonedFor is the time within which an upstream drops a request whose deadline passed or that was cancelled. The slot stays
// in use meanwhile: a request sent at once was seen to arrive while the upstream still had the other one in flight.
const abandonedFor = 10 * time.Millisecond

// attemptOf returns the running attempt that an event belongs to, or nil.
func (s *State) attemptOf(r *request, n int) *attempt {
	if r == nil || n < 1 || n > len(r.attempts) || r.attempts[n-1].outcome != 0 {
		return nil
	}
	return &r.attempts[n-1]
}

// answered takes in the head of an answer: the first one is delivered, other attempts are cancelled.
func (s *State) answered(ev AttemptAnswered) {
	r := s.requests[ev.ID]
	a := s.attemptOf(r, ev.Attempt)
	if a == nil || a.answered {
		return
	}
	a.answered = true
	a.failed = ev.Status >= http.StatusInternalServerError
	s.sawIncarnation(a.upstream, ev.Incarnation)
	s.observeHead(r, a, ev)
	if r.delivered > 0 || r.ended || a.cancelled {
		return
	}
	if a.failed && s.retryAnswer(r, ev.Attempt) {
		return
	}
	r.delivered = ev.Attempt
	s.cancelAttempts(r, ev.Attempt)
	s.trimTimers()
	if r.replied {
		return
	}
	r.replied = true
	s.emit(Deliver{ID: r.ID, Attempt: ev.Attempt})
	s.counters.Delivered++
}

// observeHead records the time to the head of an answer. A failure counts as a long answer.
func (s *State) observeHead(r *request, a *attempt, ev AttemptAnswered) {
	p := r.class.policy
	if a.failed {
		p.Tracker.ObserveFailure(a.upstream.id, ev.FirstByte)
		return
	}
	if p.Tracker.DetectCold(a.upstream.id, ev.FirstByte, coldFactor) {
		s.signal(a.upstream, "slowFirstByte")
	}
	p.Tracker.Observe(a.upstream.id, ev.FirstByte)
	p.ObserveFirstByte(ev.FirstByte)
}

// retryAnswer gives up an attempt that answered with a server error in favour of another one, which runs already or is
// queued, and reports whether there is one.
func (s *State) retryAnswer(r *request, n int) bool {
	if r.callerGone || !r.idempotent || !s.mayRetry(r) && r.live() == 1 {
		return false
	}
	if r.live() == 1 {
		if !r.class.policy.Budget.TryWithdraw() {
			return false
		}
		s.counters.Retries++
		s.enqueue(r)
	}
	s.cancelAttempt(r, n)
	return true
}

// mayRetry reports whether another attempt is possible at all.
func (s *State) mayRetry(r *request) bool {
	return r.retriable && len(r.attempts) < maxAttempts && s.now < r.Deadline && s.inService()
}

// attemptEnded returns the slot, records what was observed and decides what becomes of the request.
func (s *State) attemptEnded(ev AttemptEnded) {
	r := s.requests[ev.ID]
	a := s.attemptOf(r, ev.Attempt)
	if a == nil {
		return
	}
	a.outcome = ev.Outcome
	s.returnSlot(r, a, ev)
	s.topo.mark(r.class.service)
	s.topo.mark(a.upstream.service)
	r.class.inFlight--
	if ev.Attempt == r.delivered && ev.Outcome == OutcomeComplete {
		r.answer = ev.Answer
	}
	switch {
	case r.running() > 0 || r.Queued():
	case r.ended:
		s.forget(r)
	case r.delivered > 0:
		s.finish(r, RunYes, r.answer)
	case ev.Outcome == OutcomeComplete:
		s.refuse(r, ReasonUpstreamFailed, RunYes)
	case r.callerGone:
		s.finish(r, RunNo, nil)
	case s.retryFailed(r, ev):
	default:
		s.refuse(r, failureReason(ev.Outcome), RunNo)
	}
}

func failureReason(o Outcome) Reason {
	if o == OutcomeDeadline {
		return ReasonDeadline
	}
	return ReasonUpstreamFailed
}

// retryFailed queues the request again if another attempt is safe and affordable, and reports whether it did.
// An attempt that was not sent cost the upstreams nothing and is free; every other one is charged to the budget.
func (s *State) retryFailed(r *request, ev AttemptEnded) bool {
	if !s.mayRetry(r) || !s.retrySafe(r) {
		return false
	}
	if ev.Outcome != OutcomeNotSent && !r.class.policy.Budget.TryWithdraw() {
		return false
	}
	s.counters.Retries++
	s.enqueue(r)
	return true
}

// retrySafe reports that another attempt cannot run a request that is not idempotent for the second time. The
// class must be idempotent still: operators may have changed it.
func (s *State) retrySafe(r *request) bool {
	return r.idempotent && r.class.def.Idempotent || !r.mayHaveRun() || s.guards.noRetryRule
}

// returnSlot gives the attempt's slot back and records what the attempt showed of the upstream.
func (s *State) returnSlot(r *request, a *attempt, ev AttemptEnded) {
	u := a.upstream
	p := r.class.policy
	if ev.Outcome == OutcomeDeadline || ev.Outcome == OutcomeCancelled {
		s.timers.add(timer{at: s.now + abandonedFor, slot: u, newConn: ev.NewConn})
	} else {
		s.slots.End(s.now, u.id, lease.RequestResult{Completed: ev.Outcome == OutcomeComplete && !a.failed, NewConn: ev.NewConn})
	}
	switch ev.Outcome {
	case OutcomeComplete:
		if !a.failed {
			p.ObserveSlotTime(ev.Took)
		}
	case OutcomeNotSent:
		if ev.Refused {
			p.Tracker.ObserveFailure(u.id, ev.Took)
			s.signal(u, "refused")
		}
	case OutcomeShed:
		p.Tracker.ObserveFailure(u.id, ev.Took)
		s.signal(u, "shed")
	case OutcomeReset:
		p.Tracker.ObserveFailure(u.id, ev.Took)
		s.signal(u, "reset")
	case OutcomeTruncated, OutcomeMismatched:
		p.Tracker.ObserveFailure(u.id, ev.Took)
	case OutcomeDeadline, OutcomeCancelled:
		if ev.Outcome == OutcomeDeadline {
			p.ObserveSlotTime(ev.Took)
		}
		if !a.answered {
			p.Tracker.ObserveUnanswered(u.id, ev.Took)
		}
	}
}

// signal reports that an upstream is probably cold.
func (s *State) signal(u *upstream, why string) {
	s.slots.ReportSignal(s.now, u.id)
	s.noticeEach("cold", string(u.id), "upstream", string(u.id), "signal", why)
}

// sawIncarnation reports an upstream that restarted since its last answer.
func (s *State) sawIncarnation(u *upstream, incarnation string) bool {
	if incarnation == "" {
		return false
	}
	changed := u.incarnation != "" && u.incarnation != incarnation
	u.incarnation = incarnation
	if changed {
		s.signal(u, "restarted")
	}
	return changed
}

// hedge sends a second attempt of a request whose first one is late.
func (s *State) hedge(r *request, n int) {
	if !s.mayHedge(r, n) {
		return
	}
	u := s.choose(r.class, r, true)
	if u == nil {
		return
	}
	if !r.class.policy.Budget.TryWithdraw() {
		return
	}
	if s.start(r, u) {
		s.counters.Hedges++
	}
}

// mayHedge reports that only the given attempt of an idempotent request runs and that it has not answered. A request
// is hedged once.
func (s *State) mayHedge(r *request, n int) bool {
	return !r.callerGone && !r.replied && r.idempotent && r.class.def.Idempotent && s.mayRetry(r) &&
		n == len(r.attempts) && r.live() == 1 && s.attemptOf(r, n) != nil && !r.attempts[n-1].answered
}

// armHedge sets the time at which an attempt that has not answered is hedged.
func (s *State) armHedge(r *request) {
	if !r.idempotent || !r.retriable || r.live() > 1 {
		return
	}
	after, ok := r.class.policy.HedgeDelay()
	if at := s.now + after; ok && at < r.Deadline {
		s.timers.add(timer{at: at, id: r.ID, attempt: len(r.attempts)})
	}
}
