package canary

import (
	"math"
	"slices"
	"time"
)

const (
	// evidenceLimit is the sum of logarithms of likelihood ratios at which a version counts as bad. A cumulative sum test
	// reaches it by chance once in about exp(12) = 160,000 responses of a good version.
	evidenceLimit = 12.0
	// minRatio is the lower bound of the ratio that is assumed of the old version, as a few responses without a failure do
	// not show that there are none.
	minRatio = 0.01
	// failureFactor and failureStep give the ratio of failures that is tested against that of the old version.
	failureFactor, failureStep = 2.0, 0.06
	// timeLimit replaces evidenceLimit for response times. Those of a moment depend on each other: one pause of a machine
	// slows all requests there.
	timeLimit = 20.0
	// suspicionRatio is the part of these limits at which a version does not move yet. With few requests a version that is three
	// times slower reaches about half of timeLimit before the move, and the limit of slow responses is higher after it. A good
	// version is above a quarter of it once in about exp(5) = 150 responses, and falls below it again.
	suspicionRatio = 0.25
	// slowFactor is the multiple of a quantile of the old version above which a response counts as slow. slowStep is added
	// to the share of the old version's responses above it. Bad versions take several times as long.
	slowFactor, slowStep = 2.0, 0.3
	// movingSlowFactor replaces slowFactor from the stage moving on, when the target version carries the load that the old one
	// had in the samples, or more.
	movingSlowFactor = 4.0
	// maxRatio bounds the tested ratios.
	maxRatio = 0.95
	// sampleSize is the number of the old version's last response times that are kept for a route, minSamples the least
	// with which response times are compared.
	sampleSize, minSamples = 64, 20
)

// sequentialTest is a cumulative sum test on a series of events, each of which is bad or not. It forgets evidence in
// favour, so that a version which turns bad late is noticed as soon as one that is bad at once.
type sequentialTest struct{ sum float64 }

// add adds an event. ratio is the share of bad events that a good version has, worse the share that is tested for.
func (t *sequentialTest) add(bad bool, ratio, worse float64) {
	ratio = min(max(ratio, minRatio), maxRatio-minRatio)
	worse = min(max(worse, ratio+minRatio), maxRatio)
	if bad {
		t.sum += math.Log(worse / ratio)
	} else {
		t.sum = max(0, t.sum+math.Log((1-worse)/(1-ratio)))
	}
}

// failures counts the responses of one version.
type failures struct {
	responses, bad int
	recent         float64 // moving average of bad responses
}

// recentWeight is the weight of a response in the moving average of failures. A fault of the machines or of another service
// affects both versions at the same time.
const recentWeight = 0.05

func (f *failures) add(bad bool) {
	f.responses++
	value := 0.0
	if bad {
		f.bad++
		value = 1
	}
	f.recent += (value - f.recent) * recentWeight
}

// ratio returns the ratio of failures to expect of an equally good version at present.
func (f *failures) ratio() float64 {
	return max(float64(f.bad)/float64(max(f.responses, 1)), f.recent, minRatio)
}

// routeEvidence compares the versions on one route, or on all together.
type routeEvidence struct {
	old, target  failures
	oldTimes     []time.Duration // the last response times of the old version, the oldest at next once it is full
	next         int
	failing      sequentialTest
	median, tail sequentialTest // response times against the median and the 90% quantile of the old version
}

// add adds the end of an attempt; took is 0 if the response time does not count, slow the
// multiple of a quantile from which on it is slow.
func (e *routeEvidence) add(target, bad bool, took time.Duration, slow float64) {
	if !target {
		e.old.add(bad)
		if took > 0 && !bad {
			e.addOldTime(took)
		}
		return
	}
	e.target.add(bad)
	ratio := e.old.ratio()
	e.failing.add(bad, ratio, failureFactor*ratio+failureStep)
	if took <= 0 || bad || len(e.oldTimes) < minSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(e.oldTimes))
	for _, c := range []struct {
		test     *sequentialTest
		quantile int // in tenths
	}{{&e.median, 5}, {&e.tail, 9}} {
		limit := time.Duration(slow * float64(sorted[len(sorted)*c.quantile/10]))
		i, _ := slices.BinarySearch(sorted, limit+1)
		ratio := float64(len(sorted)-i+1) / float64(len(sorted)+1)
		c.test.add(took > limit, ratio, ratio+slowStep)
	}
}

func (e *routeEvidence) addOldTime(took time.Duration) {
	if len(e.oldTimes) < sampleSize {
		e.oldTimes = append(e.oldTimes, took)
		return
	}
	e.oldTimes[e.next] = took
	e.next = (e.next + 1) % sampleSize
}

// against returns why the version is bad, or an empty string, if the evidence is at least a part of its limit.
func (e *routeEvidence) against(part float64) string {
	switch {
	case e.failing.sum >= part*evidenceLimit:
		return "failures"
	case e.median.sum >= part*timeLimit:
		return "median response time"
	case e.tail.sum >= part*timeLimit:
		return "90% quantile of response times"
	}
	return ""
}
