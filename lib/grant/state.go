package grant

import (
	"math"
	"time"

	"sardinecross.example/lib/fleet"
)

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of attempts at an upstream.
const (
	// Served means that a complete response arrived.
	Served Outcome = iota
	// Shed means that the upstream answered that it did not run the request.
	Shed
	// Failed means an error response, an invalid response or a broken connection.
	Failed
	// Unreached means that no connection to the upstream could be established or that another process answered there.
	Unreached
	// Abandoned means that the host cancelled the attempt before its response was complete.
	Abandoned
	// Unused means that the host did not send the granted attempt.
	Unused
)

// AttemptID identifies an attempt by the host that asked for it and a sequence number of that host.
type AttemptID struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Seq  uint64
}

// ownerHedgeBit marks the sequence number of a hedge that the owner started on its own.
const ownerHedgeBit = 1 << 63

// OwnerHedge returns the ID of the hedge that the owner may offer for the attempt id.
func (id AttemptID) OwnerHedge() AttemptID {
	return AttemptID{Host: id.Host, Seq: id.Seq | ownerHedgeBit}
}

// Original returns the ID of the attempt that an owner's hedge belongs to. ok is false if id is not the ID of such a
// hedge.
func (id AttemptID) Original() (original AttemptID, ok bool) {
	return AttemptID{Host: id.Host, Seq: id.Seq &^ ownerHedgeBit}, id.Seq&ownerHedgeBit != 0
}

// AttemptRequest asks for an upstream to which a host may send an attempt of a caller's request.
type AttemptRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         AttemptID
	Service    string
	DataCentre string
	// Once is set if the caller's request may run at most once, Bulk if its response is large.
	Once, Bulk bool
	// Priority 0 is the most urgent.
	Priority int
	// Target is the latency target of the route, measured from the arrival of the caller's request. TimeLeft is the
	// time until the deadline of that request.
	Target, TimeLeft time.Duration
	// Elapsed is the time since the caller's request arrived.
	Elapsed time.Duration
	// Tried lists the IDs of the upstreams to which the request was already sent, the latest last.
	Tried []string
	// AttemptsLeft is the number of attempts that the route still allows after this one.
	AttemptsLeft int
	// CountsAsRetry is set if the attempt counts against the retry budget, as retries and hedges do.
	CountsAsRetry bool
	// Hedge is set if this is a second attempt that runs in parallel with the one at the last upstream of Tried.
	// HedgedSeq is the sequence number in the ID of that first attempt.
	Hedge     bool
	HedgedSeq uint64
	// WithoutOwner is set if the host decides with its own state because the owner of the service did not answer.
	WithoutOwner bool
}

// Reason tells whether an upstream was granted, and if not, why.
type Reason uint8

// Reasons of selections.
const (
	// Granted means that an upstream was selected.
	Granted Reason = iota
	// NoUpstream means that no upstream of the service may be used for the request.
	NoUpstream
	// NoRoom means that the usable upstreams have no free capacity.
	NoRoom
	// NoBudget means that the retry budget is used up.
	NoBudget
	// NoGain means that a hedge would probably not end early enough before the first attempt.
	NoGain
	// Queued means that the request waits for capacity and a later selection follows.
	Queued
	// RequestEnded means that the caller's request ended before the selection.
	RequestEnded
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"granted", "noUpstream", "noRoom", "noBudget", "noGain", "queued", "requestEnded"}[r]
}

// Selection is the answer to an AttemptRequest.
type Selection struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is the ID of the selected upstream, empty unless Reason is Granted.
	Upstream   string
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedTime is the estimated response time. InFlight, SlowdownPercent and ReportAge are inputs of the estimate:
	// the requests at the upstream, the slowdown of its machine (100 is none) and the age of its last load report.
	ExpectedTime    time.Duration
	InFlight        int
	SlowdownPercent float64
	ReportAge       time.Duration
	// UpstreamCounts tells why the upstreams were not selected; nil if one was, or if the request is queued or a hedge.
	UpstreamCounts *UpstreamCounts
}

// UpstreamCounts counts the upstreams of a service by the reason why each was not selected. An upstream counts in the
// first group that it fits.
type UpstreamCounts struct {
	_ struct{} `cbor:",toarray"`
	// Listed counts all upstreams, Out those that are leaving or whose data centre is out of service.
	Listed, Out int
	// Tried counts those that already got the request, Cold those whose cold rate is used up (or all cold ones, if the
	// host decides without the owner), Dead those that do not answer probes, Full those without a free slot.
	Tried, Cold, Dead, Full int
	// Waiting is the number of queued requests of the service.
	Waiting int
}

// attempt is a granted attempt whose end was not reported yet.
type attempt struct {
	request   AttemptRequest
	hedged    bool // whether the owner offered a hedge for it
	startedAt time.Duration
	// workAtStart is upstream.workDone at the start of the attempt.
	workAtStart float64
	expiresAt   time.Duration // when the attempt is dropped if its end was not reported
}

// upstream is a listed upstream with the load, health and speed that this host knows of it.
type upstream struct {
	fleet.Upstream
	attempts map[AttemptID]*attempt

	report            fleet.Report
	reportedAt        time.Duration // when report was received; negative before the first
	probePendingSince time.Duration // when the oldest unanswered probe was sent; negative if none is unanswered
	unhealthy         bool          // whether the last health response was not 200

	coldUntil  time.Duration
	coldTokens float64       // requests that the cold rate allows at refilledAt
	refilledAt time.Duration // when coldTokens was last refilled

	// slowdown is the result of slowdownPercent at slowdownAt, which is negative after a new report.
	slowdown   float64
	slowdownAt time.Duration

	failureRate   float64 // moving average of failures, in 0 to 1, as of failureRateAt
	failureRateAt time.Duration
	timeRatio     float64 // response time relative to the average of the service, without machine slowdown

	// workDone is the work that one request could have had done at this upstream until workDoneAt, in seconds at normal
	// machine speed: the integral of normalSlowdownPercent/slowdownPercent over time.
	workDone   float64
	workDoneAt time.Duration
}

// service is the state that the upstreams of a service share.
type service struct {
	name            string
	coldPerSecond   float64
	upstreams       []*upstream
	averageTime     time.Duration // average response time without machine slowdown
	ownerBudget     retryBudget   // for decisions as the owner
	ownerlessBudget retryBudget   // for decisions without the owner
	// queue holds the requests that wait for capacity, the most urgent first.
	queue []queuedRequest
}

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	request  AttemptRequest
	refuseAt time.Duration
}

// State selects upstreams. It holds the upstreams of all services as far as this host knows them.
type State struct {
	cfg          Settings
	services     map[string]*service
	byID         map[string]*upstream
	outOfService map[string]struct{} // data centres taken out of service
	searches     int                 // how often the upstreams of a service were searched for the best one
}

// New returns a state without upstreams.
func New(cfg Settings) *State {
	return &State{cfg: cfg, services: make(map[string]*service), byID: make(map[string]*upstream)}
}

// SetHosts sets the number of hosts that share the part of the retry budget for decisions without the owner.
func (s *State) SetHosts(n int) { s.cfg.Hosts = max(n, 1) }

// SetRetryBudget sets the retry budget that all hosts share; see Settings.
func (s *State) SetRetryBudget(ratio, slack float64, window time.Duration) {
	s.cfg.RetryRatio, s.cfg.RetrySlack, s.cfg.RetryWindow = ratio, slack, window
}

// Update replaces the list of upstreams. The load and health of upstreams that stay listed and did not restart are
// kept.
func (s *State) Update(now time.Duration, v *fleet.View) {
	s.outOfService = v.DataCentresOut
	for _, svc := range s.services {
		svc.upstreams = svc.upstreams[:0]
	}
	for id := range s.byID {
		if _, ok := v.Upstreams[id]; !ok {
			delete(s.byID, id)
		}
	}
	for id, entry := range v.Upstreams {
		u := s.byID[id]
		if u == nil || u.Started != entry.Started {
			u = newUpstream(now, entry)
			s.byID[id] = u
		}
		u.Upstream = entry
		svc := s.service(entry.Service)
		svc.upstreams = append(svc.upstreams, u)
	}
	if v.Routes == nil {
		return
	}
	for name, r := range v.Routes.Services {
		s.service(name).coldPerSecond = r.ColdPerSecond
	}
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

func (s *State) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, averageTime: defaultAverageTime}
		s.services[name] = svc
	}
	return svc
}

// RecordReport records an upstream's load report. answersProbe is set if the report came with the answer to a probe,
// and unhealthy if that answer was not 200.
func (s *State) RecordReport(now time.Duration, id string, r fleet.Report, answersProbe, unhealthy bool) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.updateWorkDone(now)
	u.report, u.reportedAt, u.slowdownAt = r, now, -1
	if answersProbe {
		u.probePendingSince, u.unhealthy = -1, unhealthy
		u.setCold(now, r.ColdFor)
	} else if r.ColdFor > 0 {
		u.setCold(now, r.ColdFor)
	}
}

// setCold sets the time for which the upstream stays cold.
func (u *upstream) setCold(now, left time.Duration) {
	if left > 0 && u.coldUntil <= now {
		u.coldTokens, u.refilledAt = 0, now // requests sent just before count against the cold rate as well
	}
	u.coldUntil = now + left
}

// ReportedAt returns when the last load report of an upstream was received, -1 if none was.
func (s *State) ReportedAt(id string) time.Duration {
	if u := s.byID[id]; u != nil {
		return u.reportedAt
	}
	return -1
}

// RecordProbe records that a probe was sent to an upstream.
func (s *State) RecordProbe(now time.Duration, id string) {
	if u := s.byID[id]; u != nil && u.probePendingSince < 0 {
		u.probePendingSince = now
	}
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

// refill adds the tokens that the cold rate has allowed since the last refill and returns how many there are. Each
// request to a cold upstream takes one.
func (u *upstream) refill(now time.Duration, perSecond float64) float64 {
	u.coldTokens = min(coldBurst, u.coldTokens+(now-u.refilledAt).Seconds()*perSecond*ownerColdRateShare)
	u.refilledAt = now
	return u.coldTokens
}

// Expire drops attempts whose end was not reported in time, so that they stop occupying slots.
func (s *State) Expire(now time.Duration) {
	for _, u := range s.byID {
		for id, a := range u.attempts {
			if now >= a.expiresAt {
				delete(u.attempts, id)
			}
		}
	}
}

// AttemptEnd reports how a granted attempt ended.
type AttemptEnd struct {
	_        struct{} `cbor:",toarray"`
	ID       AttemptID
	Upstream string
	Outcome  Outcome
	// Took is the time from sending to the end of the response.
	Took time.Duration
	// Report is the load report in the response, nil if there was none.
	Report *fleet.Report
}

// EndAttempt frees the slot of a granted attempt and updates the load, failure rate and speed of its upstream.
func (s *State) EndAttempt(now time.Duration, d AttemptEnd) {
	u := s.byID[d.Upstream]
	if u == nil {
		return
	}
	u.updateWorkDone(now)
	a, ok := u.attempts[d.ID]
	delete(u.attempts, d.ID)
	if d.Report != nil {
		s.RecordReport(now, d.Upstream, *d.Report, false, false)
	}
	switch d.Outcome {
	case Served:
		u.recordFailure(now, 0)
		if ok {
			s.service(u.Service).updateTimes(u, u.workDone-a.workAtStart)
		}
	case Failed, Unreached:
		u.recordFailure(now, 1)
	case Shed:
		u.recordFailure(now, 0.5)
	case Abandoned, Unused:
	}
}

// recordFailure adds an attempt to the failure rate; failed is 0 for a success and 1 for a failure.
func (u *upstream) recordFailure(now time.Duration, failed float64) {
	u.failureRate = u.currentFailureRate(now)*(1-failureWeight) + failed*failureWeight
	u.failureRateAt = now
}

// updateTimes updates the average response times with a response that took the given work, in seconds at normal machine
// speed.
func (svc *service) updateTimes(u *upstream, work float64) {
	if work <= 0 {
		return
	}
	took := time.Duration(work * float64(time.Second))
	ratio := min(max(float64(took)/float64(svc.averageTime), minTimeRatio), maxTimeRatio)
	u.timeRatio += (ratio - u.timeRatio) * timeRatioWeight
	svc.averageTime += time.Duration(float64(took-svc.averageTime) * averageTimeWeight)
}

// RecordCold records the report of another host that an upstream stays cold for the time left.
func (s *State) RecordCold(now time.Duration, id string, left time.Duration) {
	if u := s.byID[id]; u != nil && now+left > u.coldUntil {
		u.setCold(now, left)
	}
}

// ColdUpstreams returns the IDs of the cold upstreams with the time for which they stay cold.
func (s *State) ColdUpstreams(now time.Duration) map[string]time.Duration {
	var cold map[string]time.Duration
	for id, u := range s.byID {
		if u.isCold(now) {
			if cold == nil {
				cold = make(map[string]time.Duration)
			}
			cold[id] = u.coldUntil - now
		}
	}
	return cold
}
