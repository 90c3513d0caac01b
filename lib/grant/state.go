package grant

import (
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/canary"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/notice"
)

// service is the state that the upstreams of a service share.
type service struct {
	name            string
	coldPerSecond   float64
	upstreams       []*upstream
	averageTime     time.Duration // average response time without machine slowdown
	ownerBudget     retryBudget   // for decisions as the owner
	ownerlessBudget retryBudget   // for decisions without the owner
	// shared is set while other hosts may decide as owners of the service as well; see State.SetShared.
	shared bool
	// rollout is the rollout of the service, nil if there is none; see version.go.
	rollout *canary.Rollout
	// classes holds the requests that wait for capacity; evicted, those that have left the queue and get no upstream.
	classes []*class
	evicted []queuedRequest
	// occupancy is the average time from a grant to its end.
	occupancy  time.Duration
	kneeSlots  int     // of the upstreams that may be used, as of the last search
	freeShare  float64 // of kneeSlots, as of the last search
	ends       endRate
	nextReturn time.Duration // when the next rejected caller is asked to return
	lastReturn time.Duration // when all rejected callers should have returned
	grants     int           // to queued requests
}

// State selects upstreams. It holds the upstreams of all services as far as this host knows them.
type State struct {
	cfg          Settings
	services     map[string]*service
	byID         map[string]*upstream
	outOfService map[string]struct{} // data centres taken out of service
	notices      *notice.Registry    // what upstreams said about further requests, also of those that are not listed
	searches     int                 // how often the upstreams of a service were searched for the best one
}

// New returns a state without upstreams.
func New(cfg Settings) *State {
	return &State{cfg: cfg, services: make(map[string]*service), byID: make(map[string]*upstream), notices: notice.New()}
}

// SetHosts sets how many hosts share the retry budget, and how many of them this host hears; see Settings.
func (s *State) SetHosts(hosts, reached int) {
	s.cfg.Hosts = max(hosts, reached, 1)
	s.cfg.Reached = max(reached, 1)
}

// reachedShare returns the share of the hosts that this host hears. The shares of groups of hosts that are cut off from each
// other, each with an owner of its own, add up to 1.
func (s *State) reachedShare() float64 {
	if s.cfg.Reached <= 0 {
		return 1
	}
	return float64(s.cfg.Reached) / float64(max(s.cfg.Hosts, s.cfg.Reached))
}

// SetShared sets whether other hosts may decide as owners of a service at the same time as this one. While they may, requests are
// decided like those without an owner as regards what all hosts together may grant: the cold rate and the retry budget.
func (s *State) SetShared(service string, shared bool) { s.service(service).shared = shared }

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
			u.notices = s.notices.Get(entry.Lifetime())
			s.byID[id] = u
		}
		u.Upstream = entry
		svc := s.service(entry.Service)
		svc.upstreams = append(svc.upstreams, u)
	}
	for _, svc := range s.services { // in an order that does not change from one list to the next
		slices.SortFunc(svc.upstreams, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	if v.Routes == nil {
		return
	}
	for name, r := range v.Routes.Services {
		s.service(name).coldPerSecond = r.ColdPerSecond
	}
}

func (s *State) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, averageTime: defaultAverageTime}
		svc.occupancy = time.Duration(float64(defaultAverageTime) * defaultSlowdownPercent / normalSlowdownPercent)
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
	}
	if answersProbe || r.ColdFor > 0 {
		u.setCold(now, r.ColdFor)
		u.coldReported = true
	}
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

// CancelProbe records that a probe was not sent after all.
func (s *State) CancelProbe(id string) {
	if u := s.byID[id]; u != nil {
		u.probePendingSince = -1
	}
}

// Expire drops attempts whose end was not reported in time, so that they stop occupying slots, and notices that no longer
// matter.
func (s *State) Expire(now time.Duration) {
	s.notices.Expire(now, s.listed)
	for _, u := range s.byID {
		u.expireConnections(now)
		for id, a := range u.attempts {
			if now >= a.expiresAt {
				delete(u.attempts, id)
			}
		}
	}
}

// EndAttempt frees the slot of a granted attempt and updates the load, failure rate and speed of its upstream.
// An end without an upstream is that of a request that left the queue.
func (s *State) EndAttempt(now time.Duration, d AttemptEnd) {
	if d.Upstream == "" {
		s.leaveQueue(d.ID)
		return
	}
	u := s.byID[d.Upstream]
	if u == nil {
		return
	}
	u.updateWorkDone(now)
	a, ok := u.attempts[d.ID]
	if ok {
		s.service(u.Service).recordVersionEnd(now, u, a, d)
	}
	delete(u.attempts, d.ID)
	u.trials.record(now, s.trialOutcome(u, a, d.Outcome), a)
	if d.Report != nil {
		s.RecordReport(now, d.Upstream, *d.Report, false, false)
	}
	if ok && s.cfg.PreferIdleConnections && (d.Outcome == Served || d.Outcome == Shed || d.Outcome == Unused && a.reuses) {
		u.addConnection(now, d.ID.Host)
	}
	if ok && d.Outcome != Unused {
		svc := s.service(u.Service)
		svc.ends.advance(now, svc.waiting() > 0)
		if svc.waiting() > 0 {
			svc.ends.ends++
		}
		if d.Outcome == Served || d.Outcome == TimedOut {
			svc.recordTime(now, a)
		}
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
	case Abandoned, Unused, TimedOut:
	}
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
		u.coldReported = false
	}
}

// ColdUpstreams returns the IDs of the upstreams that are cold by their own reports to this host, with the time for which they
// stay cold. It leaves out those of which other hosts told: the time would grow by the delay of the message at each host that
// repeats it.
func (s *State) ColdUpstreams(now time.Duration) map[string]time.Duration {
	var cold map[string]time.Duration
	for id, u := range s.byID {
		if u.coldReported && u.isCold(now) {
			if cold == nil {
				cold = make(map[string]time.Duration)
			}
			cold[id] = u.coldUntil - now
		}
	}
	return cold
}
