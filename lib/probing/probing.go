// Package probing decides which host probes an upstream: the owner of its service, or a host of the upstream's data centre that
// reports to the owner.
package probing

import "time"

const (
	// ReportTimeout is the time without a new report from which on the owner probes an upstream itself, and the age from which
	// on a report counts as old. Two intervals of a prober and one of the reports fit.
	ReportTimeout = 250 * time.Millisecond
	// spareIntervals is the number of probe intervals between two probes by an owner that misses the reports on an upstream. The
	// prober may probe it at the same time, and only its reports be lost.
	spareIntervals = 2
)

// Role is what a host does for an upstream.
type Role uint8

const (
	// None means that the host doesn't probe the upstream.
	None Role = iota
	// Owner means that it probes the upstream for itself.
	Owner
	// Delegating means that it owns the service and probes the upstream only if no reports come.
	Delegating
	// Prober means that it probes the upstream and reports to the owner.
	Prober
)

// Site is what a host knows of the hosts that may probe the upstreams of a service.
type Site struct {
	Host, DataCentre string
	// Owns is set if the host decides for the service.
	Owns bool
	// ByDataCentre is set if probes are left to hosts of the upstream's data centre.
	ByDataCentre bool
	// Owner is the first host in the order of owners, First the first one of each data centre in that order.
	Owner string
	First map[string]string
}

// Role returns the role of the host for an upstream of a data centre.
func (s Site) Role(dataCentre string) Role {
	prober := s.First[dataCentre]
	switch {
	case s.Owns && (!s.ByDataCentre || dataCentre == "" || dataCentre == s.DataCentre || prober == "" || prober == s.Host):
		return Owner
	case s.Owns:
		return Delegating
	case s.ByDataCentre && dataCentre != "" && dataCentre == s.DataCentre && prober == s.Host && s.Owner != s.Host:
		return Prober
	default:
		return None
	}
}

// Interval returns the time between probes of an upstream by a host with the role, if one host alone uses the given interval.
func (r Role) Interval(alone time.Duration) time.Duration {
	if r == Delegating {
		return spareIntervals * alone
	}
	return alone
}

// Reports is what the owner knows of the reports on one upstream. The zero value has none.
type Reports struct {
	// newest is when the newest report was true at the latest, arrived when it arrived; 0 before the first.
	newest, arrived time.Duration
}

// Accept reports whether a report that has just arrived with an age is newer than the others and not old. If so, the report
// describes the upstream as of the time returned.
func (r *Reports) Accept(now, age time.Duration) (at time.Duration, ok bool) {
	at = now - age
	if age > ReportTimeout || at <= r.newest {
		return 0, false
	}
	r.newest, r.arrived = at, now
	return at, true
}

// Any reports whether a report has come.
func (r *Reports) Any() bool { return r.newest > 0 }

// Missing reports whether no report came for ReportTimeout, so that the owner has to probe the upstream itself.
func (r *Reports) Missing(now time.Duration) bool {
	return r.newest == 0 || now-r.arrived > ReportTimeout
}

// Sequence tells late and duplicated datagrams of one host from new ones. The zero value has seen none.
type Sequence struct {
	boot int64
	seq  uint64
}

// Next reports whether a datagram was sent after all others that were seen. seq counts from 1 in each lifetime of the sender.
func (s *Sequence) Next(boot int64, seq uint64) bool {
	if boot == s.boot && seq <= s.seq {
		return false
	}
	s.boot, s.seq = boot, seq
	return true
}
