package core

import (
	"net/http"
	"time"

	"sardinecross.example/lib/lease"
)

// coldFactor is the multiple of its class's median time to first byte that an upstream must exceed twice in a row to
// be considered cold.
const coldFactor = 8

// abandonedSlotDelay is the time within which an upstream drops a request that was cancelled or whose deadline
// passed. The slot stays in use for this time: a request sent at once was seen to arrive while the upstream still had
// the abandoned one in flight.
const abandonedSlotDelay = 10 * time.Millisecond

// runningAttempt returns attempt n of a request. It returns nil if the request or the attempt does not exist, or if
// the attempt has ended.
func (s *State) runningAttempt(r *request, n int) *attempt {
	if r == nil || n < 1 || n > len(r.attempts) || r.attempts[n-1].outcome != 0 {
		return nil
	}
	return &r.attempts[n-1]
}

// attemptAnswered handles the head of an answer. The first answer is delivered and the other attempts are cancelled,
// unless a server error is given up in favour of another attempt.
func (s *State) attemptAnswered(ev AttemptAnswered) {
	r := s.requests[ev.ID]
	a := s.runningAttempt(r, ev.Attempt)
	if a == nil || a.answered {
		return
	}
	a.answered = true
	a.failed = ev.Status >= http.StatusInternalServerError
	s.updateIncarnation(a.upstream, ev.Incarnation)
	s.observeAnswerHead(r, a, ev)
	if r.delivered > 0 || r.ended || a.cancelled {
		return
	}
	if a.failed && s.retryServerError(r, ev.Attempt) {
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

// observeAnswerHead records the time to the first byte of an answer. A server error is recorded as a slow answer.
func (s *State) observeAnswerHead(r *request, a *attempt, ev AttemptAnswered) {
	p := r.class.policy
	if a.failed {
		p.Tracker.ObserveFailure(a.upstream.id, ev.FirstByte)
		return
	}
	if p.Tracker.DetectCold(a.upstream.id, ev.FirstByte, coldFactor) {
		s.reportCold(a.upstream, "slowFirstByte")
	}
	p.Tracker.Observe(a.upstream.id, ev.FirstByte)
	p.ObserveFirstByte(ev.FirstByte)
}

// retryServerError cancels an attempt that answered with a server error if another attempt is running or can be
// queued, and reports whether it did.
func (s *State) retryServerError(r *request, n int) bool {
	if r.callerGone || !r.idempotent || !s.mayRetry(r) && r.liveAttempts() == 1 {
		return false
	}
	if r.liveAttempts() == 1 {
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
	return r.retriable && len(r.attempts) < maxAttempts && s.now < r.Deadline && s.acceptsWork()
}

// attemptEnded releases the attempt's slot, records what the attempt showed about its upstream, and decides how the
// request continues.
func (s *State) attemptEnded(ev AttemptEnded) {
	r := s.requests[ev.ID]
	a := s.runningAttempt(r, ev.Attempt)
	if a == nil {
		return
	}
	a.outcome = ev.Outcome
	s.returnSlot(r, a, ev)
	s.topo.markDirty(r.class.service)
	s.topo.markDirty(a.upstream.service)
	r.class.inFlight--
	if ev.Attempt == r.delivered && ev.Outcome == OutcomeComplete {
		r.answer = ev.Answer
	}
	switch {
	case r.runningAttempts() > 0 || r.Queued():
	case r.ended:
		s.forget(r)
	case r.delivered > 0:
		s.finish(r, RunYes, r.answer)
	case ev.Outcome == OutcomeComplete:
		s.refuse(r, ReasonUpstreamFailed, RunYes)
	case r.callerGone:
		s.finish(r, RunNo, nil)
	case s.retryAfterFailure(r, ev):
	default:
		s.refuse(r, failureReason(ev.Outcome), RunNo)
	}
}

func failureReason(o Outcome) Reason {
	if o == OutcomeDeadline || o == OutcomeEndless {
		return ReasonDeadline
	}
	return ReasonUpstreamFailed
}

// retryAfterFailure queues the request again if another attempt is safe and the retry budget allows it, and reports
// whether it did. The retry of an attempt that was not sent is free, because that attempt cost the upstreams nothing.
// Every other retry is charged to the budget.
func (s *State) retryAfterFailure(r *request, ev AttemptEnded) bool {
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

// retrySafe reports whether another attempt is certain not to run a non-idempotent request a second time. An idempotent
// request counts as such only while its class is still idempotent, because operators may have changed the class since
// the request arrived.
func (s *State) retrySafe(r *request) bool {
	return r.idempotent && r.class.def.Idempotent || !r.mayHaveRun() || s.disabled.retrySafety
}

// returnSlot releases the attempt's slot and records what the attempt showed about its upstream.
func (s *State) returnSlot(r *request, a *attempt, ev AttemptEnded) {
	u := a.upstream
	p := r.class.policy
	if ev.Outcome == OutcomeDeadline || ev.Outcome == OutcomeCancelled || ev.Outcome == OutcomeEndless {
		s.timers.add(timer{at: s.now + abandonedSlotDelay, slotUpstream: u, newConn: ev.NewConn})
	} else {
		s.leases.End(s.now, u.id, lease.RequestResult{Completed: ev.Outcome == OutcomeComplete && !a.failed, NewConn: ev.NewConn})
	}
	switch ev.Outcome {
	case OutcomeComplete:
		if !a.failed {
			p.ObserveSlotTime(ev.Duration)
		}
	case OutcomeNotSent:
		if ev.ConnRefused {
			p.Tracker.ObserveFailure(u.id, ev.Duration)
			s.reportCold(u, "refused")
		}
	case OutcomeShed:
		p.Tracker.ObserveFailure(u.id, ev.Duration)
		s.reportCold(u, "shed")
	case OutcomeReset:
		p.Tracker.ObserveFailure(u.id, ev.Duration)
		s.reportCold(u, "reset")
	case OutcomeTruncated, OutcomeMismatched, OutcomeEndless:
		p.Tracker.ObserveFailure(u.id, ev.Duration)
	case OutcomeDeadline, OutcomeCancelled:
		if ev.Outcome == OutcomeDeadline {
			p.ObserveSlotTime(ev.Duration)
		}
		if !a.answered {
			p.Tracker.ObserveUnanswered(u.id, ev.Duration)
		}
	}
}

// reportCold reports a sign that an upstream is probably cold.
func (s *State) reportCold(u *upstream, signal string) {
	s.leases.ReportSignal(s.now, u.id)
	s.rateLimitedNotice("cold", string(u.id), "upstream", string(u.id), "signal", signal)
}

// updateIncarnation records the incarnation that an upstream sent, and reports whether the upstream has restarted
// since it last sent one.
func (s *State) updateIncarnation(u *upstream, incarnation string) bool {
	if incarnation == "" {
		return false
	}
	changed := u.incarnation != "" && u.incarnation != incarnation
	u.incarnation = incarnation
	if changed {
		s.reportCold(u, "restarted")
	}
	return changed
}

// hedge starts a second attempt of a request whose first attempt is slow to answer.
func (s *State) hedge(r *request, n int) {
	if !s.mayHedge(r, n) {
		return
	}
	u := s.chooseUpstream(r.class, r, true)
	if u == nil {
		return
	}
	if !r.class.policy.Budget.TryWithdraw() {
		return
	}
	if s.startAttempt(r, u) {
		s.counters.Hedges++
	}
}

// mayHedge reports whether attempt n is the only running attempt of an idempotent request and has not answered. A
// request is hedged at most once.
func (s *State) mayHedge(r *request, n int) bool {
	return !r.callerGone && !r.replied && r.idempotent && r.class.def.Idempotent && s.mayRetry(r) &&
		n == len(r.attempts) && r.liveAttempts() == 1 && s.runningAttempt(r, n) != nil && !r.attempts[n-1].answered
}

// armHedge sets the time at which the latest attempt is hedged if it has not answered by then.
func (s *State) armHedge(r *request) {
	if !r.idempotent || !r.retriable || r.liveAttempts() > 1 {
		return
	}
	after, ok := r.class.policy.HedgeDelay()
	if at := s.now + after; ok && at < r.Deadline {
		s.timers.add(timer{at: at, id: r.ID, attempt: len(r.attempts)})
	}
}
