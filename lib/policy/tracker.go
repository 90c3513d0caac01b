package policy

import (
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Parameters of outlier detection. An outlier is an upstream that is much slower than the others of its class.
const (
	// outlierFactor is the multiple of the class median above which the smoothed time of an upstream makes it an outlier.
	outlierFactor = 3
	// failurePenalty is the multiple of the median that a failure counts as. Two failures in a row eject an upstream; a
	// single one does not.
	failurePenalty = 10
	// trialInterval is the time between two trial requests to an ejected upstream.
	trialInterval = time.Second
	// evaluationInterval is the minimum time between two evaluations; an outlier is detected within one interval.
	evaluationInterval = 50 * time.Millisecond
	// maxIdleEvaluations is the number of evaluations without an observation, about a second, after which a smoothed time
	// above the median starts to decay towards it. Without the decay, an upstream that is slower than the others would get
	// no requests and could never show that it has recovered.
	maxIdleEvaluations = 20
	// idleDecayDivisor divides the distance to the median to give the decay at each further evaluation: a 16th.
	idleDecayDivisor = 16
)

// UpstreamTracker tracks the smoothed response times of the upstreams of one class and ejects outliers. The
// zero value tracks no upstreams.
type UpstreamTracker struct {
	upstreams map[ident.UpstreamID]*trackedUpstream
	// median is the median of the smoothed times at the last evaluation; zero before the first observation.
	median time.Duration
	// evaluatedAt is the time of the last evaluation.
	evaluatedAt time.Duration
	// ejected is the number of ejected upstreams, at most a third of all after an evaluation.
	ejected int
	// sortBuf is a buffer reused by updateMedian.
	sortBuf []time.Duration
}

// trackedUpstream holds the response time statistics of one upstream.
type trackedUpstream struct {
	id ident.UpstreamID
	// smoothed is the moving average of the response times, zero before the first observation.
	smoothed time.Duration
	ejected  bool
	// slowInRow counts consecutive slow responses.
	slowInRow int
	// idleEvaluations counts the evaluations since the last observation.
	idleEvaluations int
	// nextTrial is the earliest time of the next trial request while ejected.
	nextTrial time.Duration
}

// SetUpstreams replaces the set of tracked upstreams. Statistics of upstreams that remain listed are kept.
func (t *UpstreamTracker) SetUpstreams(listed []ident.UpstreamID) {
	next := make(map[ident.UpstreamID]*trackedUpstream, len(listed))
	t.ejected = 0
	for _, id := range listed {
		u := t.upstreams[id]
		if u == nil {
			u = &trackedUpstream{id: id}
		}
		if u.ejected {
			t.ejected++
		}
		next[id] = u
	}
	t.upstreams = next
}

// Observe records the time to first byte of a response.
func (t *UpstreamTracker) Observe(id ident.UpstreamID, took time.Duration) {
	if u := t.upstreams[id]; u != nil {
		u.addSample(took)
	}
}

// ObserveFailure records a failed attempt as a slow response. Otherwise an upstream that fails fast would appear to be
// the fastest and attract the requests of the others.
func (t *UpstreamTracker) ObserveFailure(id ident.UpstreamID, took time.Duration) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	base := max(t.median, u.smoothed/failurePenalty)
	if base == 0 {
		base = initialTimeEstimate
	}
	u.addSample(max(took, failurePenalty*base))
}

// ObserveUnanswered records that an attempt got no response within the given time. This is a lower bound of the response
// time, so it counts only if it exceeds the smoothed time.
func (t *UpstreamTracker) ObserveUnanswered(id ident.UpstreamID, waited time.Duration) {
	if u := t.upstreams[id]; u != nil && waited > u.smoothed {
		u.addSample(waited)
	}
}

// addSample updates the moving average. Samples of an ejected upstream have more weight, so that a few fast trials
// suffice to readmit it.
func (u *trackedUpstream) addSample(took time.Duration) {
	u.idleEvaluations = 0
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

// ExpectedTime returns the smoothed response time of an upstream, or the median of the class before the first observation.
func (t *UpstreamTracker) ExpectedTime(id ident.UpstreamID) time.Duration {
	if u := t.upstreams[id]; u != nil && u.smoothed > 0 {
		return u.smoothed
	}
	return max(t.median, 1)
}

// SmoothedTime returns the smoothed response time of an upstream, or zero before the first observation.
func (t *UpstreamTracker) SmoothedTime(id ident.UpstreamID) time.Duration {
	if u := t.upstreams[id]; u != nil {
		return u.smoothed
	}
	return 0
}

// DetectCold records whether the time to first byte exceeds factor times the median. It reports true for the second such
// response in a row, which indicates a cold upstream, and then starts counting again.
func (t *UpstreamTracker) DetectCold(id ident.UpstreamID, took, factor time.Duration) bool {
	u := t.upstreams[id]
	if u == nil {
		return false
	}
	if t.median == 0 || took <= factor*t.median {
		u.slowInRow = 0
		return false
	}
	u.slowInRow++
	if u.slowInRow < 2 {
		return false
	}
	u.slowInRow = 0
	return true
}

// Ejected reports whether an upstream is ejected. It then gets only trial requests of the class.
func (t *UpstreamTracker) Ejected(id ident.UpstreamID) bool {
	u := t.upstreams[id]
	return u != nil && u.ejected
}

// TrialDue reports whether an ejected upstream may get a trial request now.
func (t *UpstreamTracker) TrialDue(id ident.UpstreamID, now time.Duration) bool {
	u := t.upstreams[id]
	return u != nil && u.ejected && now >= u.nextTrial
}

// RecordTrial records that a trial request was sent and schedules the next one.
func (t *UpstreamTracker) RecordTrial(id ident.UpstreamID, now time.Duration) {
	if u := t.upstreams[id]; u != nil {
		u.nextTrial = now + trialInterval
	}
}

// EjectedCount returns the number of ejected upstreams.
func (t *UpstreamTracker) EjectedCount() int { return t.ejected }

// EjectionChange reports that an upstream was ejected or readmitted.
type EjectionChange struct {
	Upstream ident.UpstreamID
	Ejected  bool
}

// UpdateEjections ejects outliers, readmits recovered upstreams and returns the changes. It does so at most once per
// evaluationInterval, or at once if more than a third of the upstreams is ejected.
func (t *UpstreamTracker) UpdateEjections(now time.Duration) []EjectionChange {
	if now < t.evaluatedAt+evaluationInterval && t.ejected <= len(t.upstreams)/3 {
		return nil
	}
	t.evaluatedAt = now
	if !t.updateMedian() {
		return nil
	}
	t.decayIdle()
	bound := outlierFactor * t.median
	changes := t.readmitRecovered(bound, nil)
	changes = t.readmitExcess(changes)
	return t.ejectSlowest(now, bound, changes)
}

// readmitExcess readmits the fastest ejected upstreams while more than a third is ejected, which happens after other
// upstreams were removed.
func (t *UpstreamTracker) readmitExcess(changes []EjectionChange) []EjectionChange {
	for t.ejected > len(t.upstreams)/3 {
		var best *trackedUpstream
		for _, u := range t.upstreams {
			if u.ejected && (best == nil || best.slowerThan(u)) {
				best = u
			}
		}
		best.ejected = false
		t.ejected--
		changes = append(changes, EjectionChange{Upstream: best.id})
	}
	return changes
}

// slowerThan compares smoothed times. Ties are broken by ID, so that the result is deterministic.
func (u *trackedUpstream) slowerThan(v *trackedUpstream) bool {
	if u.smoothed != v.smoothed {
		return u.smoothed > v.smoothed
	}
	return u.id < v.id
}

// decayIdle decays the smoothed times of upstreams without recent observations towards the median. It leaves out ejected
// upstreams, which get trial requests.
func (t *UpstreamTracker) decayIdle() {
	for _, u := range t.upstreams {
		u.idleEvaluations++
		if !u.ejected && u.idleEvaluations > maxIdleEvaluations && u.smoothed > t.median {
			u.smoothed -= (u.smoothed - t.median) / idleDecayDivisor
		}
	}
}

// updateMedian recomputes the median. It reports false if no upstream has an observation.
func (t *UpstreamTracker) updateMedian() bool {
	t.sortBuf = t.sortBuf[:0]
	for _, u := range t.upstreams {
		if u.smoothed > 0 {
			t.sortBuf = append(t.sortBuf, u.smoothed)
		}
	}
	if len(t.sortBuf) == 0 {
		return false
	}
	slices.Sort(t.sortBuf)
	t.median = t.sortBuf[(len(t.sortBuf)-1)/2]
	return true
}

// readmitRecovered readmits the ejected upstreams whose smoothed time is within the bound.
func (t *UpstreamTracker) readmitRecovered(bound time.Duration, changes []EjectionChange) []EjectionChange {
	if t.ejected == 0 {
		return changes
	}
	for id, u := range t.upstreams {
		if u.ejected && u.smoothed <= bound {
			u.ejected = false
			t.ejected--
			changes = append(changes, EjectionChange{Upstream: id})
		}
	}
	slices.SortFunc(changes, compareUpstreams)
	return changes
}

// ejectSlowest ejects the slowest upstreams above the bound until a third of the upstreams is ejected.
func (t *UpstreamTracker) ejectSlowest(now, bound time.Duration, changes []EjectionChange) []EjectionChange {
	for t.ejected < len(t.upstreams)/3 {
		worst := t.slowestAbove(bound)
		if worst == nil {
			return changes
		}
		worst.ejected = true
		worst.nextTrial = now + trialInterval
		t.ejected++
		changes = append(changes, EjectionChange{Upstream: worst.id, Ejected: true})
	}
	return changes
}

// slowestAbove returns the slowest upstream above the bound that is not ejected, or nil if there is none.
func (t *UpstreamTracker) slowestAbove(bound time.Duration) *trackedUpstream {
	var worst *trackedUpstream
	for _, u := range t.upstreams {
		if u.ejected || u.smoothed <= bound {
			continue
		}
		if worst == nil || u.slowerThan(worst) {
			worst = u
		}
	}
	return worst
}

func compareUpstreams(a, b EjectionChange) int {
	return strings.Compare(string(a.Upstream), string(b.Upstream))
}
