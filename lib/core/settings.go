package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Settings are the values that the reducer takes from the daemon's settings; they are immutable.
type Settings struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Address is the own listener for callers, used until the host list has it.
	Address string
	// DataCentres are all of the site, in the order of preference after the own one.
	DataCentres []ident.DataCentre
	Services    map[ident.ServiceName]Service
	Timing      Timing
	Limits      Limits
}

// Service describes the upstreams of one service.
type Service struct {
	Slots     int
	ColdSlots int
	// ProbeCost and ConnectionCost are an upstream's time for one probe and one new connection.
	ProbeCost      time.Duration
	ConnectionCost time.Duration
	// MeasuringShare is the share of an upstream's time that probes and new connections may take.
	MeasuringShare float64
}

// Timing holds the intervals of the protocols; a zero field means its default.
type Timing struct {
	Heartbeat         time.Duration
	Lease             time.Duration
	Pledge            time.Duration
	AddressLifetime   time.Duration
	RequestIDLifetime time.Duration
	// Retention is the time for which the log keeps a record at least, 10 minutes by default.
	Retention time.Duration
}

// Limits bounds tables; a zero field means its default.
type Limits struct {
	// RequestIDs is the number of issued request IDs and keys that may be remembered at once.
	RequestIDs int
	// StoredAnswerBytes is the size of the largest answer that is stored for a repetition.
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
