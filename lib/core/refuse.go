package core

import (
	"time"

	"sardinecross.example/lib/order"
)

// runSet is a set of values of Run.
type runSet uint8

const (
	maybeNo      runSet = 1 << RunNo
	maybeUnknown runSet = 1 << RunUnknown
	maybeYes     runSet = 1 << RunYes
)

func (set runSet) has(run Run) bool { return set&(1<<run) != 0 }

// refusal is what may be said about a request that is refused for one reason.
type refusal struct {
	// runs are the values of Run that may be answered.
	runs runSet
	// retryAfter is the time after which a repetition may succeed; zero means that time alone does not help.
	retryAfter time.Duration
}

// refusals has one row for each reason. A reason whose row has maybeNo alone is used before the first
// attempt only; what refuse finds to contradict the row becomes ReasonUpstreamFailed with RunUnknown.
var refusals = map[Reason]refusal{
	// The class is not in the configuration.
	ReasonUnknownClass: {maybeNo, 0},
	// The host cannot know whether its configuration is in force, nor, without the class, what became of an earlier
	// request with the same ID or key.
	ReasonConfigStale: {maybeNo | maybeUnknown, 100 * time.Millisecond},
	// The request would wait longer than its deadline allows.
	ReasonQueueFull: {maybeNo, 50 * time.Millisecond},
	// No upstream of the service is listed and in service.
	ReasonNoCapacity: {maybeNo, 250 * time.Millisecond},
	// The deadline passed: before any attempt, between two attempts, during one, or while another request with the
	// same ID or key ran.
	ReasonDeadline: {maybeNo | maybeUnknown | maybeYes, 0},
	// The host shuts down: it gives out no more request IDs, and nobody should call it any more.
	ReasonStopping: {maybeNo, 0},
	// The last attempt failed; every kind of failure is possible.
	ReasonUpstreamFailed: {maybeNo | maybeUnknown | maybeYes, 50 * time.Millisecond},
	// The request ID was not issued by this incarnation or is damaged.
	ReasonUnknownToken: {maybeNo | maybeUnknown, 0},
	// The request ID has expired; whether it ran is no longer known.
	ReasonExpiredToken: {maybeNo | maybeUnknown, 0},
	// The incarnation that issued the request ID, or that claimed the key, is gone or does not answer.
	ReasonHostGone: {maybeUnknown, 0},
	// The table of request IDs or keys is full.
	ReasonTableFull: {maybeNo | maybeUnknown, time.Second},
	// The claim of the key was not read back in time.
	ReasonClaimFailed: {maybeNo | maybeUnknown, 100 * time.Millisecond},
	// Another request with the same ID or key is running.
	ReasonInProgress: {maybeUnknown, 50 * time.Millisecond},
	// The request ran and its answer was too large to be stored.
	ReasonAnswerTooLarge: {maybeYes | maybeUnknown, 0},
}

// permit returns what a refusal may truthfully say. This is the only place that lets RunNo pass: no attempt of the request
// may have sent a byte, unless the upstream said that it did not run the request.
func (s *State) permit(r *request, reason Reason, run Run) (Reason, Run) {
	if run == RunNo && r.mayHaveRun() && !s.guards.noRunRule {
		run = RunUnknown
	}
	if !refusals[reason].runs.has(run) {
		return ReasonUpstreamFailed, max(run, RunUnknown)
	}
	return reason, run
}

// refuse ends a request that has no attempt under way.
func (s *State) refuse(r *request, reason Reason, run Run) {
	reason, run = s.permit(r, reason, run)
	s.unqueue(r)
	if s.beginReply(r) {
		s.emit(Refuse{ID: r.ID, Reason: reason, Run: run, RetryAfter: refusals[reason].retryAfter})
		s.countRefusal(r.className, reason)
	}
	s.finish(r, run, nil)
}

// refuseUnqueued answers a request that left no state.
func (s *State) refuseUnqueued(ev RequestArrived, reason Reason, run Run) {
	s.emit(Refuse{ID: ev.ID, Reason: reason, Run: run, RetryAfter: refusals[reason].retryAfter})
	s.countRefusal(ev.Class, reason)
}

// beginReply reports whether the caller may be answered now, which is so exactly once for each request.
func (s *State) beginReply(r *request) bool {
	if r.callerGone || r.replied {
		return false
	}
	r.replied = true
	return true
}

// apply carries out the verdicts of the order book.
func (s *State) apply(verdicts []order.Verdict) {
	for _, v := range verdicts {
		if r := s.requests[v.Request]; r != nil {
			s.applyOne(r, v)
			continue
		}
		if v.Action == order.Start {
			s.apply(s.book.Finish(s.now, v.Request, order.RunNo, nil))
		}
	}
}

func (s *State) applyOne(r *request, v order.Verdict) {
	switch v.Action {
	case order.Start:
		r.started = true
		s.admit(r)
	case order.Replay:
		s.replay(r, v.Answer)
	case order.Relay:
		s.relay(r, v)
	case order.Refuse:
		s.refuse(r, Reason(v.Reason), Run(v.Run))
	}
}

func (s *State) replay(r *request, answer *order.Answer) {
	if s.beginReply(r) {
		s.emit(Replay{ID: r.ID, Answer: (*Answer)(answer)})
		s.counters.Replayed++
	}
	s.forget(r)
}

func (s *State) relay(r *request, v order.Verdict) {
	for _, h := range s.table.Hosts() {
		if h.Incarnation == v.To && h.Reachable {
			r.relayed = true
			s.emit(Relay{ID: r.ID, To: h.ID, Deadline: r.Deadline})
			s.counters.Relayed++
			return
		}
	}
	s.applyOne(r, order.RefuseHostGone(r.ID))
}

// relayEnded answers the caller if the other host did not: the request may have reached it.
func (s *State) relayEnded(ev RelayEnded) {
	r := s.requests[ev.ID]
	if r == nil || !r.relayed {
		return
	}
	if ev.Delivered {
		r.replied = true
		s.forget(r)
		return
	}
	s.refuse(r, ReasonHostGone, RunUnknown)
}

// issue answers IDWanted.
func (s *State) issue(ev IDWanted) {
	request := RequestArrived{ID: ev.ID, Class: ev.Class}
	switch {
	case s.leaving.begun:
		s.refuseUnqueued(request, ReasonStopping, RunNo)
		return
	case s.topo.classes[ev.Class] == nil:
		s.refuseUnknownClass(request)
		return
	}
	token, err := s.book.Issue(s.now, s.rand(), ev.Class)
	if err != nil {
		s.refuseUnqueued(request, ReasonTableFull, RunNo)
		return
	}
	s.emit(IDIssued{ID: ev.ID, Token: token.Text, ValidFor: token.ValidFor})
}
