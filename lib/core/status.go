package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// Status is a snapshot of the state for the admin listener; the receiver may keep it.
type Status struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Leaving     bool
	ConfVersion int64
	// ConfAge is the age of the configuration, negative until it is first known to be current.
	ConfAge time.Duration
	// InService reports that this host accepts new work.
	InService bool
	// LogAnswers reports that the last read of the configuration stream succeeded.
	LogAnswers bool
	Classes    []ClassStatus
	Upstreams  []UpstreamStatus
	Members    []MemberStatus
	Counters   Counters
}

// ClassStatus describes one class of the configuration.
type ClassStatus struct {
	Name       ident.ClassName
	Service    ident.ServiceName
	Target     time.Duration
	Deadline   time.Duration
	Idempotent bool
	Rank       int
	Queued     int
	InFlight   int
}

// UpstreamStatus describes one upstream as this host sees it.
type UpstreamStatus struct {
	ID         ident.UpstreamID
	Service    ident.ServiceName
	DataCentre ident.DataCentre
	// Owner is the host from which this host requests slots; empty while none is reachable.
	Owner ident.HostID
	// Limit is the owner's estimate of the upstream's capacity in slots. It is known on the owner only and zero
	// elsewhere.
	Limit    int
	Held     int
	InFlight int
	Out      bool
	Leaving  bool
	Ejected  bool
	// Smoothed is the smoothed response time, the greatest of all classes; zero before the first answer.
	Smoothed time.Duration
}

// MemberStatus describes one host as this host sees it.
type MemberStatus struct {
	ID          ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Reachable   bool
	Leaving     bool
	ConfVersion int64
}

// Counters count events since the start of the process.
type Counters struct {
	Requests, Delivered, Replayed, Relayed uint64
	Attempts, Retries, Hedges              uint64
	Cancelled, Ejections, Probes           uint64
	Refused                                map[Reason]uint64
}

// Address is a host's listener for callers.
type Address struct {
	Address    string
	DataCentre ident.DataCentre
}

func classStatus(c *class) ClassStatus {
	return ClassStatus{
		Name: c.name, Service: c.service.name, Target: c.def.Target, Deadline: c.def.Deadline,
		Idempotent: c.def.Idempotent, Rank: c.def.Rank, Queued: c.policy.Queue.Len(), InFlight: c.inFlight,
	}
}

func (s *State) upstreamStatus(u *upstream) UpstreamStatus {
	st := UpstreamStatus{
		ID: u.id, Service: u.service.name, DataCentre: u.dataCentre, Out: u.takenOut, Leaving: u.leaving,
	}
	if l, ok := s.leases.Status(s.now, u.id); ok {
		st.Owner, st.Held, st.InFlight = l.Owner, l.Held, l.InFlight
		if l.Owner == s.cfg.Host {
			st.Limit = l.Limit
		}
	}
	for _, c := range u.service.classes {
		st.Ejected = st.Ejected || c.policy.Tracker.Ejected(u.id)
		st.Smoothed = max(st.Smoothed, c.policy.Tracker.SmoothedTime(u.id))
	}
	return st
}

func (s *State) memberStatus(h member.Host) MemberStatus {
	version := h.ConfVersion
	if h.ID == s.cfg.Host {
		version = s.conf.Version()
	}
	return MemberStatus{
		ID: h.ID, Incarnation: h.Incarnation, DataCentre: h.DataCentre, Reachable: h.Reachable,
		Leaving: h.Leaving, ConfVersion: version,
	}
}

func (s *State) countersCopy() Counters {
	c := s.counters
	c.Refused = maps.Clone(c.Refused)
	return c
}

// Status returns a snapshot of the state for the admin listener. The runner calls it under the mutex of Step.
func (s *State) Status() Status {
	st := Status{
		Host: s.cfg.Host, Incarnation: s.cfg.Incarnation, DataCentre: s.cfg.DataCentre,
		Leaving: s.shutdown.begun, ConfVersion: s.conf.Version(), ConfAge: s.conf.Age(s.now),
		InService: s.acceptsWork(), LogAnswers: s.polls.logAnswers, Counters: s.countersCopy(),
	}
	for _, svc := range s.topo.sortedServices {
		for _, c := range svc.classes {
			st.Classes = append(st.Classes, classStatus(c))
		}
	}
	slices.SortFunc(st.Classes, func(a, b ClassStatus) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, e := range s.topo.entries {
		if u := s.topo.upstreams[ident.UpstreamID(e.ID)]; e.Role == RoleUpstream && u != nil {
			st.Upstreams = append(st.Upstreams, s.upstreamStatus(u))
		}
	}
	for _, h := range s.members.Hosts() {
		st.Members = append(st.Members, s.memberStatus(h))
	}
	return st
}
