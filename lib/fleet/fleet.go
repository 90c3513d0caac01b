// Package fleet holds a host's copy of the list of upstreams, of the configuration and of the data centres taken out of
// service, and defines the interfaces of the platform that these come from.
package fleet

import (
	"fmt"
	"maps"
	"slices"
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
	Slots      int    `cbor:"6,keyasint"`
	State      State  `cbor:"7,keyasint,omitempty"`
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
	// Lapsed marks a removal that may be due to an outage of the store instead of the upstream. It takes effect after
	// LapseGrace.
	Lapsed bool `cbor:"3,keyasint,omitempty"`
}

// LapseGrace is how long an entry stays usable that was removed around an outage of the store. Live upstreams are
// listed again within about two seconds.
const LapseGrace = 2 * time.Second

// List is the list of upstreams as of one position in the store.
type List struct {
	// Offset is the position in the store up to which the list is complete.
	Offset int64
	// AsOf is when the read that confirmed Offset was sent.
	AsOf time.Duration
	// entries holds the upstreams in use.
	entries  map[string]Upstream
	removeAt map[string]time.Duration // when lapsed entries are removed, by upstream ID
	// recorded holds the last record of each upstream up to Offset, in the order of the store. An entry in use differs
	// from it if it has lapsed or if its record came after one with a later report.
	recorded map[string]Upstream
	// digest is the exclusive or of the digests of all upstreams in recorded.
	digest uint64
}

// NewList returns an empty list at position 0.
func NewList() *List {
	return &List{entries: make(map[string]Upstream), removeAt: make(map[string]time.Duration), recorded: make(map[string]Upstream)}
}

// Digest returns a hash of the last record of each upstream up to Offset. Lists at the same position have the same digest.
func (l *List) Digest() uint64 { return l.digest }

// record updates recorded and digest by a change. u is nil if the upstream was removed.
func (l *List) record(id string, u *Upstream) {
	if old, ok := l.recorded[id]; ok {
		l.digest ^= old.digest()
		delete(l.recorded, id)
	}
	if u != nil {
		l.recorded[id] = *u
		l.digest ^= u.digest()
	}
}

// Apply applies the changes between the positions from and to, read from the store at asOf. It returns false and
// changes nothing if the list is not complete up to from, which would leave a gap, or is already beyond to.
func (l *List) Apply(now, asOf time.Duration, from, to int64, changes []Change) bool {
	if from > l.Offset || to < l.Offset {
		return false
	}
	for _, c := range changes {
		l.record(c.ID, c.Upstream)
		l.applyChange(now, c)
	}
	l.Offset = to
	l.AsOf = max(l.AsOf, asOf)
	return true
}

// Replace replaces the list by the entries as of position to, read from the store at asOf. Entries missing from them
// are removed, after LapseGrace if lapsed is set.
func (l *List) Replace(now, asOf time.Duration, to int64, entries []Upstream, lapsed bool) {
	listed := make(map[string]struct{}, len(entries))
	clear(l.recorded)
	l.digest = 0
	for i := range entries {
		l.record(entries[i].ID, &entries[i])
		listed[entries[i].ID] = struct{}{}
		l.applyChange(now, Change{ID: entries[i].ID, Upstream: &entries[i]})
	}
	for id := range l.entries {
		if _, ok := listed[id]; !ok {
			l.applyChange(now, Change{ID: id, Lapsed: lapsed})
		}
	}
	l.Offset = to
	l.AsOf = max(l.AsOf, asOf)
}

// applyChange applies one change. It ignores an entry that is older than the listed one.
func (l *List) applyChange(now time.Duration, c Change) {
	if c.Upstream != nil {
		if old, ok := l.entries[c.ID]; ok && old.newer(c.Upstream) {
			return
		}
		l.entries[c.ID] = *c.Upstream
		delete(l.removeAt, c.ID)
		return
	}
	if _, ok := l.entries[c.ID]; ok && c.Lapsed {
		if _, lapsing := l.removeAt[c.ID]; !lapsing {
			l.removeAt[c.ID] = now + LapseGrace
		}
		return
	}
	delete(l.entries, c.ID)
	delete(l.removeAt, c.ID)
}

// Expire removes lapsed entries whose LapseGrace has passed and reports whether there were any.
func (l *List) Expire(now time.Duration) bool {
	removed := false
	for id, at := range l.removeAt {
		if now >= at {
			delete(l.entries, id)
			delete(l.removeAt, id)
			removed = true
		}
	}
	return removed
}

// Entries returns the upstreams, sorted by ID.
func (l *List) Entries() []Upstream {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Get returns the entry of an upstream and whether it is listed.
func (l *List) Get(id string) (Upstream, bool) {
	u, ok := l.entries[id]
	return u, ok
}

// Lapsing reports whether an entry has lapsed and is kept only until its LapseGrace has passed.
func (l *List) Lapsing(id string) bool {
	_, ok := l.removeAt[id]
	return ok
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
