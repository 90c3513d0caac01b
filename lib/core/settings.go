package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Settings are the reducer's part of the daemon's settings; they are immutable.
type Settings struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Address is this host's listener for callers, used until the host list contains it.
	Address string
	// DataCentres are all data centres of the site. Those other than this host's own are preferred in this order.
	DataCentres []ident.DataCentre
	Services    map[ident.ServiceName]Service
	Timing      Timing
	Limits      Limits
}

// Service describes the upstreams of one service.
type Service struct {
	// Slots is the greatest number of concurrent requests that an upstream can serve, ColdSlots that in a cold start.
	Slots     int
	ColdSlots int
	// ProbeCost and ConnectionCost are the time that an upstream spends on one probe and on one new connection.
	ProbeCost      time.Duration
	ConnectionCost time.Duration
	// MeasuringShare is the share of an upstream's time that probes and new connections may take.
	MeasuringShare float64
}

// Timing holds the intervals and lifetimes of the protocols; a zero field means its default.
type Timing struct {
	// Heartbeat is the time between two rounds of heartbeats, 100 ms by default.
	Heartbeat time.Duration
	// Lease is how long a lease of slots is valid, 500 ms by default.
	Lease time.Duration
	// Pledge is how long a pledge to the owner of an upstream is valid, 1 s by default.
	Pledge time.Duration
	// AddressLifetime is how long callers may use the addresses that a host returned, 2 s by default.
	AddressLifetime time.Duration
	// RequestIDLifetime is how long an issued request ID is valid, 1 minute by default.
	RequestIDLifetime time.Duration
	// Retention is the minimum time for which the platform's log keeps a record, 10 minutes by default.
	Retention time.Duration
}

// Limits bounds the size of tables and stored answers; a zero field means its default.
type Limits struct {
	// RequestIDs is the maximum number of issued request IDs that are remembered at once.
	RequestIDs int
	// StoredAnswerBytes is the size of the largest answer that is stored for a repeated request.
	StoredAnswerBytes int
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Heartbeat, 100*time.Millisecond)
	setDefault(&t.Lease, 500*time.Millisecond)
	setDefault(&t.Pledge, time.Second)
	setDefault(&t.AddressLifetime, 2*time.Second)
	setDefault(&t.RequestIDLifetime, time.Minute)
	setDefault(&t.Retention, 10*time.Minute)
	return t
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.RequestIDs, 100_000)
	setDefault(&l.StoredAnswerBytes, 1<<16)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
