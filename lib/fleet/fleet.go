// Package fleet holds what a host knows of upstreams, of the configuration and of data centres out of service.
package fleet

import (
	"maps"
	"slices"
	"time"

	"sardinecross.example/lib/route"
)

// State is what an upstream says of itself.
type State uint8

// States of upstreams.
const (
	Ready State = iota
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
	// ColdFor is how long the upstream stayed cold from the moment of the report.
	ColdFor time.Duration `cbor:"8,keyasint,omitempty"`
	// Started is the start of this lifetime in Unix milliseconds.
	Started int64 `cbor:"9,keyasint,omitempty"`
	// ReportNumber counts the reports of one lifetime.
	ReportNumber int64 `cbor:"10,keyasint,omitempty"`
}

// newer reports whether u is of a later lifetime than other, or a later report of the same lifetime.
func (u Upstream) newer(other *Upstream) bool {
	if u.Started != other.Started {
		return u.Started > other.Started && other.Started != 0
	}
	return u.ReportNumber > other.ReportNumber
}

// EqualForRouting reports whether u and other differ in nothing that matters to routing.
func (u Upstream) EqualForRouting(other Upstream) bool {
	u.ReportNumber, u.ColdFor = other.ReportNumber, other.ColdFor
	return u == other
}

// Change is one difference in the list of upstreams.
type Change struct {
	ID string `cbor:"1,keyasint"`
	// Upstream is nil if the entry was removed.
	Upstream *Upstream `cbor:"2,keyasint,omitempty"`
	// Lapsed marks a removal that may only reflect an outage of the store; it takes effect after LapseGrace.
	Lapsed bool `cbor:"3,keyasint,omitempty"`
}

// LapseGrace is how long an entry removed around an outage of the store stays usable: live upstreams are
// listed again within about two seconds.
const LapseGrace = 2 * time.Second

// List is the list of upstreams as of one position in the store.
type List struct {
	// Offset is the position up to which the list is complete.
	Offset int64
	// AsOf is when the read that confirmed Offset was sent.
	AsOf    time.Duration
	entries map[string]Upstream
	lapsing map[string]time.Duration
}

// NewList returns an empty list that is complete up to no position.
func NewList() *List {
	return &List{entries: make(map[string]Upstream), lapsing: make(map[string]time.Duration)}
}

// Apply adds the changes that lead from the position from to the position to, read at asOf. It returns false,
// and changes nothing, if the list does not reach from or is already beyond to.
func (l *List) Apply(now, asOf time.Duration, from, to int64, changes []Change) bool {
	if from > l.Offset || to < l.Offset {
		return false
	}
	for _, c := range changes {
		l.change(now, c)
	}
	l.Offset = to
	l.AsOf = max(l.AsOf, asOf)
	return true
}

// Replace sets the whole list. Entries missing from it count as lapsed if lapsed is set.
func (l *List) Replace(now, asOf time.Duration, to int64, entries []Upstream, lapsed bool) {
	named := make(map[string]struct{}, len(entries))
	for i := range entries {
		named[entries[i].ID] = struct{}{}
		l.change(now, Change{ID: entries[i].ID, Upstream: &entries[i]})
	}
	for id := range l.entries {
		if _, ok := named[id]; !ok {
			l.change(now, Change{ID: id, Lapsed: lapsed})
		}
	}
	l.Offset = to
	l.AsOf = max(l.AsOf, asOf)
}

func (l *List) change(now time.Duration, c Change) {
	if c.Upstream != nil {
		if old, ok := l.entries[c.ID]; ok && old.newer(c.Upstream) {
			return
		}
		l.entries[c.ID] = *c.Upstream
		delete(l.lapsing, c.ID)
		return
	}
	if _, ok := l.entries[c.ID]; ok && c.Lapsed {
		if _, lapsing := l.lapsing[c.ID]; !lapsing {
			l.lapsing[c.ID] = now + LapseGrace
		}
		return
	}
	delete(l.entries, c.ID)
	delete(l.lapsing, c.ID)
}

// Expire removes entries whose grace has passed and reports whether there were any.
func (l *List) Expire(now time.Duration) bool {
	removed := false
	for id, at := range l.lapsing {
		if now >= at {
			delete(l.entries, id)
			delete(l.lapsing, id)
			removed = true
		}
	}
	return removed
}

// Entries returns the upstreams in the order of their IDs.
func (l *List) Entries() []Upstream {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Get returns the entry of an upstream.
func (l *List) Get(id string) (Upstream, bool) {
	u, ok := l.entries[id]
	return u, ok
}

// Lapsing reports whether an entry is about to be removed.
func (l *List) Lapsing(id string) bool {
	_, ok := l.lapsing[id]
	return ok
}

// View is an immutable snapshot of everything that routing depends on.
type View struct {
	// Routes is nil until a configuration is known.
	Routes *route.Table
	// DataCentresOut holds the data centres taken out of service.
	DataCentresOut map[string]struct{}
	// Upstreams holds all listed upstreams; Listed is false until a list was read.
	Upstreams map[string]Upstream
	Listed    bool
}

// Usable reports whether work may be sent to an upstream of a service.
func (v *View) Usable(u Upstream, service string) bool {
	_, out := v.DataCentresOut[u.DataCentre]
	return u.State == Ready && u.Service == service && !out
}

// WithUpstreams returns a copy with another list of upstreams.
func (v View) WithUpstreams(entries []Upstream) *View {
	v.Upstreams = make(map[string]Upstream, len(entries))
	for _, u := range entries {
		v.Upstreams[u.ID] = u
	}
	v.Listed = true
	return &v
}
