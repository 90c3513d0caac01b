package grant

import "time"

const (
	// maxFailuresInRow is the number of attempts that may fail in a row before an upstream is on trial. A single failure, such
	// as a broken connection, says little about a sound upstream, whose next response ends the row.
	maxFailuresInRow = 3
	// minTrialPause is the pause after a failure until the first trial. Each trial that fails doubles it, up to maxTrialPause,
	// which bounds how long an upstream that works again may stay without requests.
	minTrialPause = 250 * time.Millisecond
	maxTrialPause = 4 * time.Second
	// overdueFactor is the multiple of the usual response time of an upstream after which an attempt that timed out counts as a
	// failure.
	overdueFactor = 4
)

// trials holds the failures of an upstream and the schedule of its trials. An upstream whose attempts fail in a row is on
// trial until it has served a request: it gets one request at a time, with a pause before each, while another upstream of the
// service is sound. Else each return of the upstream to the selection would cost as many requests as it has slots.
type trials struct {
	servedAt      time.Duration // when the last request was served
	failuresInRow int           // of requests that were sent since then
	pause         time.Duration // before the next trial
	nextAt        time.Duration // when the next trial may start
}

// active reports whether the upstream is on trial.
func (t *trials) active() bool { return t.failuresInRow >= maxFailuresInRow }

// record records the end of an attempt; a is nil if it is not known any more.
func (t *trials) record(now time.Duration, o Outcome, a *attempt) {
	switch o {
	case Served:
		*t = trials{servedAt: now}
	case Failed, Unreached, TimedOut:
		if a != nil && a.startedAt < t.servedAt {
			return // one event may break all requests in flight at a sound upstream
		}
		t.failuresInRow++
		if a != nil && a.isTrial {
			t.pause = min(2*t.pause, maxTrialPause)
		}
		t.pause = max(t.pause, minTrialPause)
		t.nextAt = now + t.pause
	case Shed, Abandoned: // neither shows that the upstream works
		t.nextAt = now + t.pause
	case Unused:
	}
}

// trialOutcome returns the outcome of an attempt for the trials of its upstream. Nothing can be said of an attempt that timed out
// early, as its limit may be too short for any upstream.
func (s *State) trialOutcome(u *upstream, a *attempt, o Outcome) Outcome {
	if o == TimedOut && (a == nil || !s.service(u.Service).overdue(u, a)) {
		return Abandoned
	}
	return o
}

// overdue reports whether an attempt has lasted for much longer than the upstream usually takes, at the speed of its machine.
func (svc *service) overdue(u *upstream, a *attempt) bool {
	return u.workDone-a.workAtStart > overdueFactor*svc.averageTime.Seconds()*u.timeRatio
}

// trialUse tells for which requests an upstream may be selected.
type trialUse uint8

const (
	// anyUse means that the upstream is not on trial, or that no other one is sound.
	anyUse trialUse = iota
	// trialOnly means that the request may be the next trial, lastResort that it may be if the others have no room for it.
	trialOnly
	lastResort
	// noUse means that the request may not be a trial, or that none is due.
	noUse
)

// trialUse returns whether a request may go to an upstream. sound is set if another upstream of the service is sound.
//
// A trial may fail, so it is a request that can be repeated and has attempts left. One without attempts left becomes a trial if no
// other upstream has room for it, and each, also one that may run only once, if no trial has begun for maxTrialPause: else a service
// with such requests alone would never use the upstream again. Hedges are no trials, as they are sent to save time.
func (u *upstream) trialUse(now time.Duration, req *AttemptRequest, sound bool) trialUse {
	switch {
	case !u.trials.active() || !sound:
		return anyUse
	case req.Hedge || u.trialInFlight() || now < u.trials.nextAt:
		return noUse
	case !req.Once && req.AttemptsLeft > 0, now >= u.trials.nextAt+maxTrialPause:
		return trialOnly
	case !req.Once:
		return lastResort
	}
	return noUse
}

// trialInFlight reports whether a trial has not ended. Other attempts do not count: a long response, or an end that was lost, would
// hold up the trials.
func (u *upstream) trialInFlight() bool {
	for _, a := range u.attempts {
		if a.isTrial {
			return true
		}
	}
	return false
}

// alternatives returns whether all upstreams that could serve a request of the host are dead, and whether one is sound: not
// dead, not cold and not on trial.
func (s *State) alternatives(now time.Duration, svc *service, host string, versions versionChoice) (allDead, sound bool) {
	allDead = true
	for _, u := range svc.upstreams {
		if !versions.allows(u) || !s.inService(u) || u.notices.Blocks(now, host) || u.dead(now) {
			continue
		}
		allDead = false
		if !u.isCold(now) && !u.trials.active() {
			return false, true
		}
	}
	return allDead, false
}
