package core

import (
	"time"

	"sardinecross.example/lib/order"
)

// runSet is a set of values of Run.
type runSet uint8

const (
	allowNo      runSet = 1 << RunNo
	allowUnknown runSet = 1 << RunUnknown
	allowYes     runSet = 1 << RunYes
)

func (set runSet) has(run Run) bool { return set&(1<<run) != 0 }

// refusalRule limits the answer to a request that is refused for one reason.
type refusalRule struct {
	// runs are the values of Run that may be sent.
	runs runSet
	// retryAfter is the time after which a retry may succeed; zero means that waiting alone does not help.
	retryAfter time.Duration
}

// refusalRules has one rule for each reason, for the host's own knowledge; see runForCaller for retries. A reason whose
// rule allows RunNo alone is used before the first attempt only. If the attempts of a request contradict the rule, the reason becomes ReasonUpstreamFailed, with RunUnknown or
// RunYes.
var refusalRules = map[Reason]refusalRule{
	// The class is not in the configuration.
	ReasonUnknownClass: {allowNo, 0},
	// The host cannot know whether its configuration is in force. If the class is missing from it, the host cannot
	// know either whether an earlier request with the same ID or key has run.
	ReasonConfigStale: {allowNo | allowUnknown, 100 * time.Millisecond},
	// The request would wait longer than its deadline allows.
	ReasonQueueFull: {allowNo, 50 * time.Millisecond},
	// No upstream of the service is listed and in service.
	ReasonNoCapacity: {allowNo, 250 * time.Millisecond},
	// The deadline passed: before any attempt, between two attempts, during one, or while another request with the
	// same ID or key ran.
	ReasonDeadline: {allowNo | allowUnknown | allowYes, 0},
	// The host is shutting down. It issues no more request IDs, and callers should no longer use it.
	ReasonStopping: {allowNo, 0},
	// The last attempt failed; any kind of failure is possible.
	ReasonUpstreamFailed: {allowNo | allowUnknown | allowYes, 50 * time.Millisecond},
	// The request ID was not issued by this incarnation or is damaged.
	ReasonUnknownToken: {allowNo | allowUnknown, 0},
	// The request ID has expired; the host no longer knows whether the request ran.
	ReasonExpiredToken: {allowNo | allowUnknown, 0},
	// The incarnation that issued the request ID, or that claimed the key, is gone or does not answer.
	ReasonHostGone: {allowUnknown, 0},
	// The table of request IDs or keys is full.
	ReasonTableFull: {allowNo | allowUnknown, time.Second},
	// The claim of the key was not read back in time.
	ReasonClaimFailed: {allowNo | allowUnknown, 100 * time.Millisecond},
	// Another request with the same ID or key is running.
	ReasonInProgress: {allowUnknown, 50 * time.Millisecond},
	// The request ran and its answer was too large to be stored.
	ReasonAnswerTooLarge: {allowYes | allowUnknown, 0},
}

// truthfulRefusal corrects the reason and the run status of a refusal to what the attempts of the request allow. Every
// refusal of a request that may have had attempts passes through it. RunNo stays only if each attempt either sent no
// byte or was answered by its upstream with the statement that it did not run the request.
func (s *State) truthfulRefusal(r *request, reason Reason, run Run) (Reason, Run) {
	if run == RunNo && r.mayHaveRun() && !s.disabled.runAccuracy {
		run = RunUnknown
	}
	if !refusalRules[reason].runs.has(run) {
		return ReasonUpstreamFailed, max(run, RunUnknown)
	}
	return reason, run
}

// refuse ends a request that has no running attempt.
func (s *State) refuse(r *request, reason Reason, run Run) {
	reason, run = s.truthfulRefusal(r, reason, run)
	s.dequeue(r)
	if s.beginReply(r) {
		s.emit(Refuse{ID: r.ID, Reason: reason, Run: s.runForCaller(r, run), RetryAfter: refusalRules[reason].retryAfter})
		s.countRefusal(r.className, reason)
	}
	s.finish(r, run, nil)
}

// runForCaller returns what a caller is told about an order that this host has not run. An earlier request with the same ID
// or key may still arrive, for example from a host that was stopped, and run the order then. The order itself stays as
// run says, so that a further retry may run it.
func (s *State) runForCaller(r *request, run Run) Run {
	if run == RunNo && r.retry && r.deduplicated && !s.disabled.runAccuracy {
		return RunUnknown
	}
	return run
}

// refuseUntracked refuses a request for which no state was created.
func (s *State) refuseUntracked(ev RequestArrived, reason Reason, run Run) {
	s.emit(Refuse{ID: ev.ID, Reason: reason, Run: run, RetryAfter: refusalRules[reason].retryAfter})
	s.countRefusal(ev.Class, reason)
}

// beginReply reports whether the caller may be answered now. It returns true at most once for each request.
func (s *State) beginReply(r *request) bool {
	if r.callerGone || r.replied {
		return false
	}
	r.replied = true
	return true
}

// applyVerdicts carries out the verdicts of the deduplicator. A request that is to start but no longer exists is
// reported as not run.
func (s *State) applyVerdicts(verdicts []order.Verdict) {
	for _, v := range verdicts {
		if r := s.requests[v.Request]; r != nil {
			s.applyVerdict(r, v)
			continue
		}
		if v.Action == order.Start {
			s.applyVerdicts(s.dedup.Finish(s.now, v.Request, order.RunNo, nil))
		}
	}
}

func (s *State) applyVerdict(r *request, v order.Verdict) {
	switch v.Action {
	case order.Start:
		r.finishPending = true
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
	for _, h := range s.members.Hosts() {
		if h.Incarnation == v.To && h.Reachable {
			r.relayed = true
			s.emit(Relay{ID: r.ID, To: h.ID, Deadline: r.Deadline})
			s.counters.Relayed++
			return
		}
	}
	s.applyVerdict(r, order.RefuseHostGone(r.ID))
}

// relayEnded refuses the request if the other host's answer did not reach the caller. That host may have received the
// request.
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

// issueID answers IDRequested with a new request ID or a refusal.
func (s *State) issueID(ev IDRequested) {
	request := RequestArrived{ID: ev.ID, Class: ev.Class}
	switch {
	case s.shutdown.begun:
		s.refuseUntracked(request, ReasonStopping, RunNo)
		return
	case s.topo.classes[ev.Class] == nil:
		s.refuseUnknownClass(request)
		return
	}
	token, err := s.dedup.Issue(s.now, s.rand(), ev.Class)
	if err != nil {
		s.refuseUntracked(request, ReasonTableFull, RunNo)
		return
	}
	s.emit(DeliverID{ID: ev.ID, Token: token.Text, ValidFor: token.ValidFor})
}
