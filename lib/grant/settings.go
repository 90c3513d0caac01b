// Package grant selects the upstream that serves a request. It does no I/O and reads no clock: times and random numbers
// are arguments. Every host keeps a State. For each service one host is the owner, whom all others ask for
// upstreams; so the owner knows all requests in flight, the use of the cold rate and the retry budget of the service.
package grant

import "time"

// Settings are the limits and weights of the selection.
type Settings struct {
	// RetryRatio and RetrySlack are the retry budget: all hosts together start at most RetryRatio*requests + RetrySlack
	// retries and hedges in any RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Hosts is the number of hosts that may decide without the owner or, while they are cut off from each other, as owners.
	// Reached is how many of them this host hears, itself included; 0 means all.
	Hosts, Reached int
	// CrossDataCentreCost is added to the expected response time of an upstream in another data centre, as a share of
	// the average response time of the service.
	CrossDataCentreCost float64
	// BulkCrossDataCentreCost replaces CrossDataCentreCost for requests with large responses.
	BulkCrossDataCentreCost float64
	// PreferIdleConnections is set if new connections to upstreams are charged. Of upstreams with nearly the same expected response
	// time, one to which the asking host has an idle connection is then preferred.
	PreferIdleConnections bool
}

const (
	// ownerRetryShare is the owner's share of the retry budget. The rest is left to hosts that cannot reach the owner.
	ownerRetryShare = 0.65
	// ownerlessRetryShare is the share of the retry budget that all hosts together may use without the owner.
	ownerlessRetryShare = 0.2
	// ownerColdRateShare is the share of the cold rate that an owner grants. It is below 1 because, when the owner of a
	// service changes, the new one may grant as much within the same second.
	ownerColdRateShare = 0.7
	// coldBurst is the highest number of requests that a cold upstream gets at once.
	coldBurst = 2.0
	// coldSlowdown is the factor by which the response time of a cold upstream is assumed to be longer.
	coldSlowdown = 2.0
	// kneeShare is the share of busy slots above which an upstream slows down so much that its throughput falls.
	kneeShare = 0.8
	// kneeSlowdown is the factor by which the response time is assumed to be longer above kneeShare.
	kneeSlowdown = 1.7
	// aboveKneeCost is the factor by which the cost of an upstream above its knee is higher than its response time, as its throughput
	// falls. Without it, the usual errors of the estimates choose a full upstream beside others with room; more than 1.2 sends more requests
	// to upstreams that have become slow.
	aboveKneeCost = 1.2
	// normalSlowdownPercent is the slowdown of a machine without contention, in percent. defaultSlowdownPercent is
	// assumed for a machine without a report.
	normalSlowdownPercent  = 100.0
	defaultSlowdownPercent = 180.0
	// minSlowdownPercent and maxSlowdownPercent bound a reported slowdown, so that a false report cannot spoil the average
	// response time of its service.
	minSlowdownPercent, maxSlowdownPercent = 10.0, 10_000.0
	// slowdownDecay is the time constant with which the estimated slowdown of a machine returns from the last report to
	// defaultSlowdownPercent, as an old report says little about the present.
	slowdownDecay = 400 * time.Millisecond
	// slowdownLifetime is how long an estimate of the slowdown is used. An owner needs that of each upstream for each
	// decision.
	slowdownLifetime = 5 * time.Millisecond
	// maxReportAge is the age up to which the number of requests in a load report is used besides the host's own count.
	maxReportAge = 150 * time.Millisecond
	// silentAfter is the time without an answer to a probe after which an upstream counts as silent.
	silentAfter = 200 * time.Millisecond
	// deadAfter is the time without an answer to a probe after which an upstream gets no requests while another one of
	// the service answers.
	deadAfter = 700 * time.Millisecond
	// silentSlowdown is the factor by which the response time of a silent upstream is assumed to be longer.
	silentSlowdown = 12.0
	// unhealthySlowdown is the same factor for an upstream whose health response is not 200.
	unhealthySlowdown = 1.6
	// failureWeight is the weight of a new attempt in the failure rate of an upstream. A failure rate of 1 adds
	// failureSlowdown times the response time to the estimate.
	failureWeight   = 0.25
	failureSlowdown = 8.0
	// failureHalfLife is the time in which the failure rate halves while no attempts end.
	failureHalfLife = 1500 * time.Millisecond
	// defaultAverageTime is the average response time of a service before the first response.
	defaultAverageTime = 150 * time.Millisecond
	// averageTimeWeight is the weight of a new response in the average response time of a service, timeRatioWeight its
	// weight in the ratio of the upstream's response time to that average.
	averageTimeWeight = 0.05
	timeRatioWeight   = 0.1
	// minTimeRatio and maxTimeRatio bound the ratio of one response time to the average of the service.
	minTimeRatio, maxTimeRatio = 0.5, 4.0
	// maxFailedSearches bounds the searches in vain in one look at the queue of a service, or in one look for hedges, so that
	// the work of an owner does not grow with what waits.
	maxFailedSearches = 8
	// minRemainingShare is the lower bound of the time assumed until a response, as a share of the average response
	// time of the service.
	minRemainingShare = 0.25
	// overdueShare determines how much longer an overdue response is assumed to take: this share of the time by which
	// it is overdue. A stalled request does not end soon only because it began long ago.
	overdueShare = 0.5
	// minHedgeSaving is the share of the first attempt's expected remaining time by which a hedge has to be quicker.
	minHedgeSaving = 0.25
)
