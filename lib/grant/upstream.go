package grant

import (
	"math"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/notice"
)

// attempt is a granted attempt whose end was not reported yet.
type attempt struct {
	request   AttemptRequest
	hedged    bool // whether the owner offered a hedge for it
	startedAt time.Duration
	// workAtStart is upstream.workDone at the start of the attempt.
	workAtStart float64
	isTrial     bool          // see trials
	reuses      bool          // whether it was expected to use an idle connection
	expiresAt   time.Duration // when the attempt is dropped if its end was not reported
}

// upstream is a listed upstream with the load, health and speed that this host knows of it.
type upstream struct {
	fleet.Upstream
	attempts map[AttemptID]*attempt
	// connections holds the idle connections of hosts to the upstream.
	connections map[string]idleConnections

	report            fleet.Report
	reportedAt        time.Duration // when report was received; negative before the first
	probePendingSince time.Duration // when the oldest unanswered probe was sent; negative if none is unanswered
	unhealthy         bool          // whether the last health response was not 200

	// notices is what the upstream said in its lifetime about further requests; nil if nothing.
	notices *notice.Record

	coldUntil time.Duration
	// coldReported is set if coldUntil comes from a report of the upstream to this host.
	coldReported bool
	coldTokens   float64       // requests that the cold rate allows at refilledAt
	refilledAt   time.Duration // when coldTokens was last refilled

	// slowdown is the result of slowdownPercent at slowdownAt, which is negative after a new report.
	slowdown   float64
	slowdownAt time.Duration

	trials        trials
	failureRate   float64 // moving average of failures, in 0 to 1, as of failureRateAt
	failureRateAt time.Duration
	timeRatio     float64 // response time relative to the average of the service, without machine slowdown

	// workDone is the work that one request could have had done at this upstream until workDoneAt, in seconds at normal
	// machine speed: the integral of normalSlowdownPercent/slowdownPercent over time.
	workDone   float64
	workDoneAt time.Duration
}

func newUpstream(now time.Duration, entry fleet.Upstream) *upstream {
	return &upstream{
		attempts:          make(map[AttemptID]*attempt),
		reportedAt:        -1,
		slowdownAt:        -1,
		probePendingSince: -1,
		coldUntil:         now + entry.ColdFor,
		coldTokens:        1,
		refilledAt:        now,
		failureRateAt:     now,
		timeRatio:         1,
		workDoneAt:        now,
	}
}

// setCold sets the time for which the upstream stays cold.
func (u *upstream) setCold(now, left time.Duration) {
	if left > 0 && u.coldUntil <= now {
		u.coldTokens, u.refilledAt = 0, now // requests sent just before count against the cold rate as well
	}
	u.coldUntil = now + left
}

// updateWorkDone integrates the speed of the upstream's machine up to now.
func (u *upstream) updateWorkDone(now time.Duration) {
	if now > u.workDoneAt {
		u.workDone += (now - u.workDoneAt).Seconds() * normalSlowdownPercent / u.slowdownPercent(now)
		u.workDoneAt = now
	}
}

// slowdownPercent estimates the present slowdown of the upstream's machine: the last reported value, which approaches
// defaultSlowdownPercent as the report gets older.
func (u *upstream) slowdownPercent(now time.Duration) float64 {
	if u.reportedAt < 0 {
		return defaultSlowdownPercent
	}
	if u.slowdownAt >= 0 && now-u.slowdownAt < slowdownLifetime {
		return u.slowdown
	}
	f := u.report.SlowdownPercent
	if f <= 0 {
		f = normalSlowdownPercent
	}
	f = min(max(f, minSlowdownPercent), maxSlowdownPercent)
	keep := math.Exp(-float64(now-u.reportedAt) / float64(slowdownDecay))
	u.slowdown, u.slowdownAt = defaultSlowdownPercent+(f-defaultSlowdownPercent)*keep, now
	return u.slowdown
}

// slots returns the reported number of slots, or the one in the list of upstreams if none was reported.
func (u *upstream) slots() int {
	if u.report.Slots > 0 {
		return u.report.Slots
	}
	return max(u.Slots, 1)
}

// inFlight returns the number of requests at the upstream: the larger of this host's count and a fresh report.
func (u *upstream) inFlight(now time.Duration) int {
	n := len(u.attempts)
	if u.reportedAt >= 0 && now-u.reportedAt < maxReportAge {
		n = max(n, u.report.Running+u.report.Waiting)
	}
	return n
}

// currentFailureRate returns the failure rate, which decays while no attempts end.
func (u *upstream) currentFailureRate(now time.Duration) float64 {
	if u.failureRate == 0 {
		return 0
	}
	return u.failureRate * math.Exp2(-float64(now-u.failureRateAt)/float64(failureHalfLife))
}

func (u *upstream) isCold(now time.Duration) bool { return now < u.coldUntil }

// isColdReserve reports whether the room of the upstream is kept for requests that the others have no room for. A silent upstream is
// left to the comparison of expected times.
func (u *upstream) isColdReserve(now time.Duration) bool { return u.isCold(now) && !u.silent(now) }

// refill adds the tokens that the cold rate has allowed since the last refill and returns how many there are. Each
// request to a cold upstream takes one.
func (u *upstream) refill(now time.Duration, perSecond float64) float64 {
	u.coldTokens = min(coldBurst, u.coldTokens+(now-u.refilledAt).Seconds()*perSecond*ownerColdRateShare)
	u.refilledAt = now
	return u.coldTokens
}

// recordFailure adds an attempt to the failure rate; failed is 0 for a success and 1 for a failure.
func (u *upstream) recordFailure(now time.Duration, failed float64) {
	u.failureRate = u.currentFailureRate(now)*(1-failureWeight) + failed*failureWeight
	u.failureRateAt = now
}

// kneeSlots returns the number of concurrent requests at which an upstream has its highest throughput.
func (u *upstream) kneeSlots() int { return max(int(kneeShare*float64(u.slots())), 1) }

// silent reports whether an upstream has left a probe unanswered for longer than silentAfter.
func (u *upstream) silent(now time.Duration) bool {
	return u.probePendingSince >= 0 && now-u.probePendingSince > silentAfter
}

// dead reports whether an upstream has left a probe unanswered for longer than deadAfter.
func (u *upstream) dead(now time.Duration) bool {
	return u.probePendingSince >= 0 && now-u.probePendingSince > deadAfter
}
