package grant

import (
	"math"
	"time"

	"sardinecross.example/lib/fleet"
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served is a complete response.
	Served Outcome = iota
	// Shed is a response that says the request was not run.
	Shed
	// Failed is an error response, an invalid one or a broken connection.
	Failed
	// Unreached is a connection that could not be established.
	Unreached
	// Abandoned is an attempt that the host gave up.
	Abandoned
	// Unused is a grant that no attempt used.
	Unused
)

// AttemptID identifies a request for an upstream: the host and its sequence number.
type AttemptID struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Seq  uint64
}

// second marks the sequence number of a second attempt that the owner offers.
const second = 1 << 63

// OwnerHedge returns the ID of the second attempt that the owner offers for an ask.
func (id AttemptID) OwnerHedge() AttemptID { return AttemptID{Host: id.Host, Seq: id.Seq | second} }

// Original returns the ID of the ask for which a second attempt was offered; ok is false for other IDs.
func (id AttemptID) Original() (first AttemptID, ok bool) {
	return AttemptID{Host: id.Host, Seq: id.Seq &^ second}, id.Seq&second != 0
}

// AttemptRequest is a host's request for an upstream.
type AttemptRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         AttemptID
	Service    string
	DataCentre string
	Once, Bulk bool
	Priority   int
	// Target is the time within which the response counts fully, TimeLeft the time until it is of no use.
	Target, TimeLeft time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Tried are the upstreams to which the request was sent.
	Tried []string
	// AttemptsLeft is the number of further upstreams to which the request may be sent.
	AttemptsLeft int
	// CountsAsRetry says that the attempt counts against the retry budget.
	CountsAsRetry bool
	// Hedge asks for a second attempt beside the one at the last of Tried, begun by the ask Beside.
	Hedge     bool
	HedgedSeq uint64
	// WithoutOwner is set where a host asks its own state because the owner did not answer.
	WithoutOwner bool
}

// Reason is why no upstream was granted.
type Reason uint8

// Reasons of refusals.
const (
	Granted Reason = iota
	NoUpstream
	NoRoom
	NoBudget
	NoGain
	// Queued says that the verdict follows.
	Queued
	// RequestEnded says that the request ended before the verdict.
	RequestEnded
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"granted", "noUpstream", "noRoom", "noBudget", "noGain", "queued", "requestEnded"}[r]
}

// Selection is the decision on an ask.
type Selection struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is empty unless Reason is Granted.
	Upstream   string
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedTime is the estimated response time; Inflight, Factor and Age are the inputs of the estimate.
	ExpectedTime    time.Duration
	InFlight        int
	SlowdownPercent float64
	ReportAge       time.Duration
	// UpstreamCounts holds the inputs of a refusal; nil with a grant.
	UpstreamCounts *UpstreamCounts
}

// UpstreamCounts counts the upstreams of a service as a refusal found them. Each counts once, in the first group that fits.
type UpstreamCounts struct {
	_ struct{} `cbor:",toarray"`
	// Listed are all, Out those that leave or whose data centre is out of service.
	Listed, Out int
	// Tried had the request before, Cold have used up their cold rate, Dead answer no probes, Full have no free slot.
	Tried, Cold, Dead, Full int
	// Waiting is the number of requests that wait for room.
	Waiting int
}

// flight is a granted attempt that has not ended.
type flight struct {
	ask    AttemptRequest
	hedged bool
	start  time.Duration
	// work is the upstream's work integral at the start.
	work    float64
	expires time.Duration
}

type upstream struct {
	fleet.Upstream
	flights map[AttemptID]flight

	report   fleet.Report
	reported time.Duration // when the report was received; negative before the first
	waiting  time.Duration // since when a probe is unanswered; negative if none is
	ill      bool

	cold   time.Duration // until when the upstream is cold
	tokens float64       // grants left under the cold rate
	filled time.Duration // when tokens were last refilled

	failing   float64
	failingAt time.Duration
	speed     float64

	// work integrates usual/actual speed of the machine over time, in seconds of usual work.
	work   float64
	workAt time.Duration
}

type service struct {
	name          string
	coldPerSecond float64
	upstreams     []*upstream
	typical       time.Duration // average response time at the usual machine factor
	budget        budget
	alone         budget
	waiting       []waiter
}

// waiter is an ask that waits for room.
type waiter struct {
	ask   AttemptRequest
	until time.Duration
}

// State holds the upstreams of all services as far as this host knows them.
type State struct {
	cfg      Settings
	services map[string]*service
	byID     map[string]*upstream
	out      map[string]struct{}
}

// New returns a state without upstreams.
func New(cfg Settings) *State {
	return &State{cfg: cfg, services: make(map[string]*service), byID: make(map[string]*upstream)}
}

// SetHosts sets the number of hosts that share what is decided without the owner.
func (s *State) SetHosts(n int) { s.cfg.Hosts = max(n, 1) }

// SetRetryBudget sets the bound of the repeated attempts of all hosts.
func (s *State) SetRetryBudget(ratio, slack float64, window time.Duration) {
	s.cfg.RetryRatio, s.cfg.RetrySlack, s.cfg.RetryWindow = ratio, slack, window
}

// Update takes over the listed upstreams; what is known of those that stay is kept.
func (s *State) Update(now time.Duration, v *fleet.View) {
	s.out = v.DataCentresOut
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
		flights:   make(map[AttemptID]flight),
		reported:  -1,
		waiting:   -1,
		cold:      now + entry.ColdFor,
		tokens:    1,
		filled:    now,
		failingAt: now,
		speed:     1,
		workAt:    now,
	}
}

func (s *State) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, typical: typicalWork}
		s.services[name] = svc
	}
	return svc
}

// RecordReport takes over an upstream's report of its load; probe is set if it answers a probe.
func (s *State) RecordReport(now time.Duration, id string, r fleet.Report, probe, ill bool) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.advance(now)
	u.report, u.reported = r, now
	if probe {
		u.waiting, u.ill = -1, ill
		u.setCold(now, r.ColdFor)
	} else if r.ColdFor > 0 {
		u.setCold(now, r.ColdFor)
	}
}

func (u *upstream) setCold(now, left time.Duration) {
	if left > 0 && u.cold <= now {
		u.tokens, u.filled = 0, now // what was sent just before counts as well
	}
	u.cold = now + left
}

// ReportedAt returns when an upstream last told its load, -1 if it has not.
func (s *State) ReportedAt(id string) time.Duration {
	if u := s.byID[id]; u != nil {
		return u.reported
	}
	return -1
}

// RecordProbe notes that a probe was sent.
func (s *State) RecordProbe(now time.Duration, id string) {
	if u := s.byID[id]; u != nil && u.waiting < 0 {
		u.waiting = now
	}
}

// advance integrates the speed of the machine up to now.
func (u *upstream) advance(now time.Duration) {
	if now > u.workAt {
		u.work += (now - u.workAt).Seconds() * usualFactor / u.factor(now)
		u.workAt = now
	}
}

// factor estimates the present machine factor from the last report.
func (u *upstream) factor(now time.Duration) float64 {
	if u.reported < 0 {
		return meanFactor
	}
	f := u.report.SlowdownPercent
	if f <= 0 {
		f = usualFactor
	}
	keep := math.Exp(-float64(now-u.reported) / float64(factorMemory))
	return meanFactor + (f-meanFactor)*keep
}

func (u *upstream) slots() int {
	if u.report.Slots > 0 {
		return u.report.Slots
	}
	return max(u.Slots, 1)
}

// inflight is the larger of the own count and a fresh report.
func (u *upstream) inflight(now time.Duration) int {
	n := len(u.flights)
	if u.reported >= 0 && now-u.reported < reportFresh {
		n = max(n, u.report.Running+u.report.Waiting)
	}
	return n
}

func (u *upstream) failure(now time.Duration) float64 {
	return u.failing * math.Exp2(-float64(now-u.failingAt)/float64(failureMemory))
}

func (u *upstream) isCold(now time.Duration) bool { return now < u.cold }

// refill returns the grants that the cold rate allows.
func (u *upstream) refill(now time.Duration, perSecond float64) float64 {
	u.tokens = min(coldBurst, u.tokens+(now-u.filled).Seconds()*perSecond*coldShare)
	u.filled = now
	return u.tokens
}

// Expire forgets attempts whose end was not reported.
func (s *State) Expire(now time.Duration) {
	for _, u := range s.byID {
		for id, f := range u.flights {
			if now >= f.expires {
				delete(u.flights, id)
			}
		}
	}
}

// AttemptEnd is the end of a granted attempt.
type AttemptEnd struct {
	_        struct{} `cbor:",toarray"`
	ID       AttemptID
	Upstream string
	Outcome  Outcome
	// Took is the time from sending to the end of the response.
	Took time.Duration
	// Report is nil if the response carried none.
	Report *fleet.Report
}

// EndAttempt ends a granted attempt.
func (s *State) EndAttempt(now time.Duration, d AttemptEnd) {
	u := s.byID[d.Upstream]
	if u == nil {
		return
	}
	u.advance(now)
	f, ok := u.flights[d.ID]
	delete(u.flights, d.ID)
	if d.Report != nil {
		s.RecordReport(now, d.Upstream, *d.Report, false, false)
	}
	switch d.Outcome {
	case Served:
		u.note(now, 0)
		if ok {
			s.service(u.Service).learn(u, u.work-f.work)
		}
	case Failed, Unreached:
		u.note(now, 1)
	case Shed:
		u.note(now, 0.5)
	case Abandoned, Unused:
	}
}

func (u *upstream) note(now time.Duration, failed float64) {
	u.failing = u.failure(now)*(1-failureWeight) + failed*failureWeight
	u.failingAt = now
}

// learn takes over the usual work, in seconds, that a response took.
func (svc *service) learn(u *upstream, work float64) {
	if work <= 0 {
		return
	}
	took := time.Duration(work * float64(time.Second))
	ratio := min(max(float64(took)/float64(svc.typical), minSpeed), maxSpeed)
	u.speed += (ratio - u.speed) * speedWeight
	svc.typical += time.Duration(float64(took-svc.typical) * workWeight)
}

// RecordCold takes over from another host that an upstream is cold.
func (s *State) RecordCold(now time.Duration, id string, left time.Duration) {
	if u := s.byID[id]; u != nil && now+left > u.cold {
		u.setCold(now, left)
	}
}

// ColdUpstreams returns the upstreams known to be cold, with the time that is left.
func (s *State) ColdUpstreams(now time.Duration) map[string]time.Duration {
	var cold map[string]time.Duration
	for id, u := range s.byID {
		if u.isCold(now) {
			if cold == nil {
				cold = make(map[string]time.Duration)
			}
			cold[id] = u.cold - now
		}
	}
	return cold
}
