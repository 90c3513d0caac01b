// Package fleet holds a host's copy of the list of upstreams, of the configuration and of the data centres taken out of
// service, and defines the interfaces of the platform that these come from.
package fleet

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinecross.example/lib/route"
)

// State tells whether an upstream accepts requests.
type State uint8

// States of upstreams.
const (
	// Ready means that the upstream accepts requests.
	Ready State = iota
	// Leaving means that the upstream is going out of service and must get no new requests.
	Leaving
)

// Upstream is one entry of the list of upstreams.
type Upstream struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	// Version is the version of the service that the upstream runs, empty if it is unknown. Hosts of the previous release
	// do not know it, so that it is no part of the digest.
	Version string `cbor:"5,keyasint,omitempty"`
	Slots   int    `cbor:"6,keyasint"`
	State   State  `cbor:"7,keyasint,omitempty"`
	// ColdFor is how long the upstream stays cold from the time of the report.
	ColdFor time.Duration `cbor:"8,keyasint,omitempty"`
	// Started is the time in Unix milliseconds when the upstream started; it changes with each restart.
	Started int64 `cbor:"9,keyasint,omitempty"`
	// ReportNumber numbers the upstream's reports since it started.
	ReportNumber int64 `cbor:"10,keyasint,omitempty"`
}

// newer reports whether u is from a later start of the upstream than other, or a later report since the same start. No
// entry is newer than one of another start whose start time is unknown (0).
func (u Upstream) newer(other *Upstream) bool {
	if u.Started != other.Started {
		return u.Started > other.Started && other.Started != 0
	}
	return u.ReportNumber > other.ReportNumber
}

// EqualForRouting reports whether u and other agree in all fields but ReportNumber and ColdFor, which do not affect
// routing.
func (u Upstream) EqualForRouting(other Upstream) bool {
	u.ReportNumber, u.ColdFor = other.ReportNumber, other.ColdFor
	return u == other
}

// digest returns a hash of the fields that EqualForRouting compares.
func (u Upstream) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %d %d %d", u.ID, u.Service, u.Address, u.DataCentre, u.Slots, u.State, u.Started))
}

// Change is one difference in the list of upstreams.
type Change struct {
	ID string `cbor:"1,keyasint"`
	// Upstream is nil if the entry was removed.
	Upstream *Upstream `cbor:"2,keyasint,omitempty"`
	// Lapsed marks a removal that may be due to an outage of the store instead of the upstream, as the sender judges. Only hosts
	// of the previous release go by it; all others judge by the reads that they know of.
	Lapsed bool `cbor:"3,keyasint,omitempty"`
}

// View is an immutable snapshot of everything that routing depends on.
type View struct {
	// Routes is the configuration in force, nil until one is known.
	Routes *route.Table
	// DataCentresOut is the set of data centres taken out of service.
	DataCentresOut map[string]struct{}
	// Upstreams holds the listed upstreams by ID; Listed is false until a list was read.
	Upstreams map[string]Upstream
	Listed    bool
	// Orders holds the operators' orders by service.
	Orders map[string]Order
	// StoreEra is the era of the store in which the operators' records were read, 0 if it is not known.
	StoreEra int64
}

// Usable reports whether requests to a service may be sent to u.
func (v *View) Usable(u Upstream, service string) bool {
	_, out := v.DataCentresOut[u.DataCentre]
	return u.State == Ready && u.Service == service && !out
}

// WithUpstreams returns a copy of v with the given list of upstreams.
func (v View) WithUpstreams(entries []Upstream) *View {
	v.Upstreams = make(map[string]Upstream, len(entries))
	for _, u := range entries {
		v.Upstreams[u.ID] = u
	}
	v.Listed = true
	return &v
}
