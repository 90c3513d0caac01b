package grant

import (
	"maps"
	"slices"
	"time"

	"sardinecross.example/lib/fleet"
)

const (
	// MaxCandidates bounds the upstreams in an explanation. With names of the greatest length, they fit one datagram.
	MaxCandidates = 20
	// minPassedOver is the number of upstreams with a reason that an explanation shows, if there are so many, even if more upstreams
	// than fit may be used.
	minPassedOver = 5
)

// PassReason tells why an upstream would not get a request.
type PassReason uint8

// Reasons why upstreams are passed over. An upstream has the first one that applies, in the order of passReason.
const (
	// MayBeUsed means that the upstream may get the request.
	MayBeUsed PassReason = iota
	// NotListed means that the host that sends the request does not list the upstream, or lists another lifetime of it.
	NotListed
	// PassCold means that the upstream is cold and its cold rate is used up, or that the host decides without the owner.
	PassCold
	// PassFull means that it has no free slot, or that all upstreams together have no room below their knees.
	PassFull
	// PassSilent means that it does not answer probes while another one does.
	PassSilent
	// PassFailing means that it is on trial after failures in a row.
	PassFailing
	// PassPaused means that it wants no request of the host for a time.
	PassPaused
	// PassLeaving means that it is leaving, by the list or by its own responses.
	PassLeaving
	// PassDataCentreOut means that its data centre is out of service.
	PassDataCentreOut
	// PassVersion means that a rollout does not allow its version for this request.
	PassVersion

	// PassReasons is the number of reasons.
	PassReasons = iota
)

// String returns the name of the reason in explanations.
func (r PassReason) String() string {
	return [PassReasons]string{
		"", "notListed", "cold", "full", "silent", "failing", "paused", "leaving", "dataCentreOut", "version",
	}[r]
}

// Candidate is an upstream in an explanation.
type Candidate struct {
	Upstream string `cbor:"1,keyasint"`
	// Reason tells why the upstream is passed over.
	Reason PassReason `cbor:"2,keyasint,omitempty"`
	// ExpectedTime is the estimated response time. InFlight and Slots are its load.
	ExpectedTime time.Duration `cbor:"3,keyasint,omitempty"`
	InFlight     int           `cbor:"4,keyasint,omitempty"`
	Slots        int           `cbor:"5,keyasint,omitempty"`
}

// Explanation tells what Decide would answer to a request, and why.
type Explanation struct {
	// Reason, Upstream and RetryAfter are those of the selection that Decide would return.
	Reason     Reason        `cbor:"1,keyasint,omitempty"`
	Upstream   string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of queued requests of the service, ExpectedWait how long the request would wait if it were queued; 0 if
	// it would be granted an upstream.
	Waiting      int           `cbor:"4,keyasint,omitempty"`
	ExpectedWait time.Duration `cbor:"5,keyasint,omitempty"`
	// Candidates holds at most MaxCandidates upstreams: those that may be used in order of preference, then those passed over.
	Candidates []Candidate `cbor:"6,keyasint,omitempty"`
	// Counts counts all upstreams of the service by PassReason, also those that Candidates leaves out.
	Counts []int `cbor:"7,keyasint,omitempty"`
}

// Listed returns the number of upstreams of the service.
func (e *Explanation) Listed() int {
	n := 0
	for _, c := range e.Counts {
		n += c
	}
	return n
}

// LeftOut returns the number of upstreams that Candidates leaves out.
func (e *Explanation) LeftOut() int { return max(e.Listed()-len(e.Candidates), 0) }

// Explain returns what Decide would answer to a request with the same arguments, and why. It changes nothing: it decides on
// copies of the state of the service.
func (s *State) Explain(now time.Duration, rnd float64, req AttemptRequest) Explanation {
	sel := s.copyFor(req.Service).Decide(now, rnd, req)
	e := Explanation{Reason: sel.Reason, Upstream: sel.Upstream, RetryAfter: sel.RetryAfter, Counts: make([]int, PassReasons)}
	c := s.copyFor(req.Service)
	svc := c.service(req.Service)
	e.Waiting = svc.waiting()
	usable, passed := c.candidates(now, rnd, svc, req)
	if e.Reason == Queued || e.Reason == NoRoom {
		class, w := svc.newQueued(now, req)
		e.ExpectedWait = svc.expectedWait(now, class, &w)
	}
	e.Counts[MayBeUsed] = len(usable)
	for _, p := range passed {
		e.Counts[p.Reason]++
	}
	usable = usable[:min(len(usable), max(MaxCandidates-len(passed), MaxCandidates-minPassedOver))]
	e.Candidates = append(usable, passed[:min(len(passed), MaxCandidates-len(usable))]...)
	return e
}

// candidates returns the upstreams that a request may be sent to, in the order in which it would be granted them, and the others with
// their reasons. Beyond MaxCandidates, the order of those that may be used is that of their IDs.
func (s *State) candidates(now time.Duration, rnd float64, svc *service, req AttemptRequest) (usable, passed []Candidate) {
	versions := s.chooseVersion(now, svc, &req)
	versions.packed = "" // the other upstreams of the version come next
	allDead, _ := s.alternatives(now, svc, req.ID.Host, versions)
	rest := slices.Clone(svc.upstreams)
	first, exhausted := req, false
	for len(usable) < MaxCandidates {
		best, _, _ := s.selectUpstream(now, rnd, svc, &req)
		if exhausted = best == nil || !versions.allows(best); exhausted {
			break
		}
		usable = append(usable, svc.candidate(now, best, MayBeUsed))
		req.Tried = append(slices.Clone(req.Tried), best.ID)
		rest = slices.DeleteFunc(rest, func(u *upstream) bool { return u == best })
	}
	for _, u := range rest {
		reason := s.passReason(now, svc, u, &first, versions, allDead)
		if reason == MayBeUsed && exhausted {
			reason = PassFull // there is no room below the knees of all together
			if u.trials.active() {
				reason = PassFailing
			}
		}
		if reason == MayBeUsed {
			usable = append(usable, svc.candidate(now, u, MayBeUsed))
		} else {
			passed = append(passed, svc.candidate(now, u, reason))
		}
	}
	return usable, passed
}

func (svc *service) candidate(now time.Duration, u *upstream, reason PassReason) Candidate {
	return Candidate{Upstream: u.ID, Reason: reason, ExpectedTime: svc.responseTime(now, u), InFlight: u.inFlight(now), Slots: u.slots()}
}

// passReason returns why an upstream by itself can't get the request.
func (s *State) passReason(now time.Duration, svc *service, u *upstream, req *AttemptRequest, versions versionChoice, allDead bool) PassReason {
	_, out := s.outOfService[u.DataCentre]
	switch {
	case u.State != fleet.Ready || u.notices.Leaving():
		return PassLeaving
	case out:
		return PassDataCentreOut
	case !versions.allows(u):
		return PassVersion
	case u.notices.Blocks(now, req.ID.Host):
		return PassPaused
	case u.dead(now) && !allDead:
		return PassSilent
	case !s.usable(now, svc, u, req):
		return PassCold
	case u.inFlight(now) >= u.slots():
		return PassFull
	}
	_, sound := s.alternatives(now, svc, req.ID.Host, versions)
	if u.trialUse(now, req, sound) == noUse {
		return PassFailing
	}
	return MayBeUsed
}

// copyFor returns a state of one service whose changes don't change s, as long as no upstream is added to it and no attempt ends.
func (s *State) copyFor(name string) *State {
	c := New(s.cfg)
	c.outOfService = s.outOfService
	svc := s.services[name]
	if svc == nil {
		return c
	}
	copied := *svc
	copied.upstreams = make([]*upstream, len(svc.upstreams))
	for i, u := range svc.upstreams {
		v := *u
		v.attempts, v.connections = maps.Clone(u.attempts), maps.Clone(u.connections)
		copied.upstreams[i], c.byID[u.ID] = &v, &v
	}
	if svc.rollout != nil {
		rollout := *svc.rollout // decisions change no evidence, only the credit
		copied.rollout = &rollout
	}
	stats := make(map[*routeStats]*routeStats) // shared by the classes of requests that are late and that are not
	copied.classes = make([]*class, len(svc.classes))
	for i, cl := range svc.classes {
		if stats[cl.routeStats] == nil {
			r := *cl.routeStats
			stats[cl.routeStats] = &r
		}
		d := *cl
		d.routeStats, d.queue = stats[cl.routeStats], slices.Clone(cl.queue)
		copied.classes[i] = &d
	}
	copied.evicted = slices.Clone(svc.evicted)
	c.services[name] = &copied
	return c
}
