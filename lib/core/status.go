package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Status is a copy of the state for the admin listener; the receiver may keep it.
type Status struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Leaving     bool
	ConfVersion int64
	// ConfAge is negative while the configuration was never known to be current.
	ConfAge time.Duration
	// InService reports that new work is accepted.
	InService  bool
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
	// Owner is the host that this host asks for slots; empty while none is reachable.
	Owner ident.HostID
	// Limit is known on the owner only and zero elsewhere.
	Limit    int
	Held     int
	InFlight int
	Out      bool
	Leaving  bool
	Ejected  bool
	// Smoothed is the smoothed time of an answer, zero before the first.
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

// Counters count since the start of the process.
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
