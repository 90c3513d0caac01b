package policy

import (
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Rules for stragglers.
const (
	// stragglerFactor is how many times the median of its class an upstream's smoothed time may reach.
	stragglerFactor = 3
	// failureFactor is the multiple of the median that a failure counts as, so that two failures in a row eject
	// an upstream and a single one does not.
	failureFactor = 10
	// trialInterval is the time between two requests sent to an ejected upstream.
	trialInterval = time.Second
	// judgeInterval bounds how often the median is computed; a straggler is found within one interval.
	judgeInterval = 50 * time.Millisecond
	// idleJudgements is the number of judgements without an observation, about a second, after which a time above
	// the median starts to fall back to it. An upstream that others outrun gets no work that could show a recovery.
	idleJudgements = 20
	// idleGain is the part of the distance to the median by which it falls at each further judgement.
	idleGain = 16
)

// Watch holds the smoothed times of the upstreams of one class; the zero value is empty.
type Watch struct {
	upstreams map[ident.UpstreamID]*watched
	// median is that of the smoothed times at the last judgement; zero while none is known.
	median   time.Duration
	judgedAt time.Duration
	// ejected is the number of ejected upstreams, at most a third of all.
	ejected int
	// times is scratch space of judge.
	times []time.Duration
}

type watched struct {
	id ident.UpstreamID
	// smoothed is zero before the first observation.
	smoothed time.Duration
	ejected  bool
	// slow counts the slow answers in a row.
	slow int
	// idle counts the judgements since the last observation.
	idle int
	// trialAt is the earliest time of the next trial while ejected.
	trialAt time.Duration
}

// Keep forgets the upstreams that are not listed and adds those that are new.
func (w *Watch) Keep(listed []ident.UpstreamID) {
	next := make(map[ident.UpstreamID]*watched, len(listed))
	w.ejected = 0
	for _, id := range listed {
		u := w.upstreams[id]
		if u == nil {
			u = &watched{id: id}
		}
		if u.ejected {
			w.ejected++
		}
		next[id] = u
	}
	w.upstreams = next
}

// Observe records the time to the head of an answer.
func (w *Watch) Observe(id ident.UpstreamID, took time.Duration) {
	if u := w.upstreams[id]; u != nil {
		u.smooth(took)
	}
}

// ObserveFailure records a failed attempt as a long answer, since an upstream that fails fast
// would otherwise look better than all others and draw their work.
func (w *Watch) ObserveFailure(id ident.UpstreamID, took time.Duration) {
	u := w.upstreams[id]
	if u == nil {
		return
	}
	base := max(w.median, u.smoothed/failureFactor)
	if base == 0 {
		base = unknownTime
	}
	u.smooth(max(took, failureFactor*base))
}

// ObserveUnanswered records that no answer had come after a time.
func (w *Watch) ObserveUnanswered(id ident.UpstreamID, waited time.Duration) {
	if u := w.upstreams[id]; u != nil && waited > u.smoothed {
		u.smooth(waited)
	}
}

// smooth gives a trial of an ejected upstream more weight, so that a few good trials bring it back.
func (u *watched) smooth(took time.Duration) {
	u.idle = 0
	if u.smoothed == 0 {
		u.smoothed = max(took, 1)
		return
	}
	weight := time.Duration(5)
	if u.ejected {
		weight = 2
	}
	u.smoothed = max(u.smoothed+(took-u.smoothed)/weight, 1)
}

// Smoothed returns the smoothed time of an upstream; without an observation it is the median of the class.
func (w *Watch) Smoothed(id ident.UpstreamID) time.Duration {
	if u := w.upstreams[id]; u != nil && u.smoothed > 0 {
		return u.smoothed
	}
	return max(w.median, 1)
}

// Observed returns the smoothed time of an upstream, zero before the first observation.
func (w *Watch) Observed(id ident.UpstreamID) time.Duration {
	if u := w.upstreams[id]; u != nil {
		return u.smoothed
	}
	return 0
}

// Slow records whether an answer's head took more than factor times the median and reports whether this was so twice
// in a row, which is a sign of a cold upstream.
func (w *Watch) Slow(id ident.UpstreamID, took, factor time.Duration) bool {
	u := w.upstreams[id]
	if u == nil {
		return false
	}
	if w.median == 0 || took <= factor*w.median {
		u.slow = 0
		return false
	}
	u.slow++
	if u.slow < 2 {
		return false
	}
	u.slow = 0
	return true
}

// Ejected reports whether an upstream gets no normal work of the class.
func (w *Watch) Ejected(id ident.UpstreamID) bool {
	u := w.upstreams[id]
	return u != nil && u.ejected
}

// TrialDue reports whether an ejected upstream may get one request now.
func (w *Watch) TrialDue(id ident.UpstreamID, now time.Duration) bool {
	u := w.upstreams[id]
	return u != nil && u.ejected && now >= u.trialAt
}

// Tried records that a trial was sent.
func (w *Watch) Tried(id ident.UpstreamID, now time.Duration) {
	if u := w.upstreams[id]; u != nil {
		u.trialAt = now + trialInterval
	}
}

// EjectedCount returns the number of ejected upstreams.
func (w *Watch) EjectedCount() int { return w.ejected }

// Change is an upstream that was ejected or brought back.
type Change struct {
	Upstream ident.UpstreamID
	Ejected  bool
}

// Judge compares the upstreams with their median, at most once in an interval, and returns what changed.
func (w *Watch) Judge(now time.Duration) []Change {
	if now < w.judgedAt+judgeInterval && w.ejected <= len(w.upstreams)/3 {
		return nil
	}
	w.judgedAt = now
	if !w.findMedian() {
		return nil
	}
	w.forget()
	bound := stragglerFactor * w.median
	changes := w.bringBack(bound, nil)
	changes = w.trim(changes)
	return w.eject(now, bound, changes)
}

// trim brings back the fastest ejected upstreams while they are more than a third, as after others left.
func (w *Watch) trim(changes []Change) []Change {
	for w.ejected > len(w.upstreams)/3 {
		var best *watched
		for _, u := range w.upstreams {
			if u.ejected && (best == nil || best.slower(u)) {
				best = u
			}
		}
		best.ejected = false
		w.ejected--
		changes = append(changes, Change{Upstream: best.id})
	}
	return changes
}

// slower orders by smoothed time; the order of equal ones is fixed, so that a step is deterministic.
func (u *watched) slower(v *watched) bool {
	if u.smoothed != v.smoothed {
		return u.smoothed > v.smoothed
	}
	return u.id < v.id
}

// forget lets the times of upstreams without recent observations fall to the median; ejected ones have their trials.
func (w *Watch) forget() {
	for _, u := range w.upstreams {
		u.idle++
		if !u.ejected && u.idle > idleJudgements && u.smoothed > w.median {
			u.smoothed -= (u.smoothed - w.median) / idleGain
		}
	}
}

// findMedian reports whether any upstream has an observation.
func (w *Watch) findMedian() bool {
	w.times = w.times[:0]
	for _, u := range w.upstreams {
		if u.smoothed > 0 {
			w.times = append(w.times, u.smoothed)
		}
	}
	if len(w.times) == 0 {
		return false
	}
	slices.Sort(w.times)
	w.median = w.times[(len(w.times)-1)/2]
	return true
}

func (w *Watch) bringBack(bound time.Duration, changes []Change) []Change {
	if w.ejected == 0 {
		return changes
	}
	for id, u := range w.upstreams {
		if u.ejected && u.smoothed <= bound {
			u.ejected = false
			w.ejected--
			changes = append(changes, Change{Upstream: id})
		}
	}
	slices.SortFunc(changes, byUpstream)
	return changes
}

// eject ejects the slowest upstreams above the bound while they are at most a third.
func (w *Watch) eject(now, bound time.Duration, changes []Change) []Change {
	for w.ejected < len(w.upstreams)/3 {
		worst := w.worst(bound)
		if worst == nil {
			return changes
		}
		worst.ejected = true
		worst.trialAt = now + trialInterval
		w.ejected++
		changes = append(changes, Change{Upstream: worst.id, Ejected: true})
	}
	return changes
}

// worst returns the slowest upstream above the bound that is not ejected, or nil.
func (w *Watch) worst(bound time.Duration) *watched {
	var worst *watched
	for _, u := range w.upstreams {
		if u.ejected || u.smoothed <= bound {
			continue
		}
		if worst == nil || u.slower(worst) {
			worst = u
		}
	}
	return worst
}

func byUpstream(a, b Change) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) }
