// Package grant decides which upstream serves a request. It is a deterministic reducer: time and randomness are
// arguments, and nothing in it does input or output. Every host keeps one; for each service one host, the owner, is
// asked by all others and so knows all work in flight, the cold limits and the retry budget of the service.
package grant

import "time"

// Settings are the bounds and weights of the decisions.
type Settings struct {
	// RetryRatio and RetrySlack bound the attempts beyond the first of all hosts together within RepeatWindow:
	// RetryRatio times the requests plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Hosts is the number of hosts that may decide without the owner.
	Hosts int
	// CrossDataCentreCost is what an upstream in another data centre costs, as a share of a typical response time.
	CrossDataCentreCost float64
	// BulkCrossDataCentreCost is the same for large responses.
	BulkCrossDataCentreCost float64
}

const (
	// repeatShare is the owner's share of the retry budget; the rest is left to hosts that cannot reach it.
	repeatShare = 0.65
	// strandedShare is the part of the retry budget that all hosts together use without the owner.
	strandedShare = 0.2
	// coldShare is the part of the cold rate that an owner grants: a second owner may grant as much at a takeover.
	coldShare = 0.7
	// coldBurst is the most requests a cold upstream gets at once.
	coldBurst = 2.0
	// coldSlowdown is how much longer work is assumed to take at a cold upstream.
	coldSlowdown = 2.0
	// kneeShare is the share of busy slots above which upstreams slow down, so that more work is done more slowly.
	kneeShare = 0.8
	// kneeSlowdown is how much longer work is assumed to take above it.
	kneeSlowdown = 1.7
	// usualFactor is the machine factor without contention, in percent; meanFactor is assumed without a report.
	usualFactor = 100.0
	meanFactor  = 180.0
	// factorMemory is the time after which a reported machine factor says little about the present one.
	factorMemory = 400 * time.Millisecond
	// reportFresh is the age up to which a reported count of requests is compared with the own count.
	reportFresh = 150 * time.Millisecond
	// silentAfter is the time without an answer to a probe after which an upstream counts as silent.
	silentAfter = 200 * time.Millisecond
	// deadAfter is the time without an answer to a probe after which an upstream gets no work while another one answers.
	deadAfter = 700 * time.Millisecond
	// silentSlowdown is how much longer work is assumed to take at a silent upstream.
	silentSlowdown = 12.0
	// illSlowdown applies to an upstream whose health response is not 200.
	illSlowdown = 1.6
	// failureWeight is the gain of the failure average of an upstream, failureSlowdown its effect on the estimate.
	failureWeight   = 0.25
	failureSlowdown = 8.0
	// failureMemory halves the failure average.
	failureMemory = 1500 * time.Millisecond
	// typicalWork is assumed until responses were measured.
	typicalWork = 150 * time.Millisecond
	// workWeight is the gain of the average response time of a service, speedWeight that of an upstream's ratio to it.
	workWeight  = 0.05
	speedWeight = 0.1
	// minSpeed and maxSpeed bound an upstream's ratio to the average.
	minSpeed, maxSpeed = 0.5, 4.0
	// holdShare is the share of its target for which a request waits for room before it is refused.
	holdShare = 0.11
	// maxWaiting bounds the requests that wait for room at one service.
	maxWaiting = 500
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 80 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// leastRest is the least part of a typical response time that is assumed to remain.
	leastRest = 0.25
	// overdueShare is the part of the time by which a response is overdue that is assumed to remain as well: a stalled
	// request does not end soon because it began long ago.
	overdueShare = 0.5
	// hedgeGain is the share of the expected remaining time that a second attempt has to save.
	hedgeGain = 0.25
)
