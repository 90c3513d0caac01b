// Package hosts is the stand-in for the platform's host list, the service that lists all hosts and upstreams.
package hosts

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/common/serve"
)

// Settings configures the host list.
type Settings struct {
	Listen  netip.AddrPort `config:"listen,required"`
	Control netip.AddrPort `config:"control,required"`
	// Lag is the delay after which a change becomes visible to readers.
	Lag     time.Duration `config:"lag" range:"0s..1h"`
	Entries []Entry       `config:"entries"`
}

// Entry is one host or upstream in the host list.
type Entry struct {
	ID          string         `config:"id,required" json:"id"`
	Role        string         `config:"role,required" oneof:"host upstream" json:"role"`
	Service     string         `config:"service" json:"service,omitempty"`
	DataCentre  string         `config:"dataCentre,required" json:"dataCentre"`
	Address     netip.AddrPort `config:"address,required" json:"address"`
	PeerAddress netip.AddrPort `config:"peerAddress" json:"peerAddress,omitzero"`
	State       string         `config:"state" oneof:"live leaving" json:"state"`
}

// SetDefaults implements config.Defaulter.
func (e *Entry) SetDefaults() { e.State = "live" }

// Check implements config.Checker.
func (e *Entry) Check(report func(key, problem string)) {
	if e.Role == "upstream" && e.Service == "" {
		report("service", "is missing for an upstream")
	}
	if e.Role == "host" && !e.PeerAddress.IsValid() {
		report("peerAddress", "is missing for a host")
	}
}

// control is the body of POST /control. Keys that are absent keep their values, except that Set and Add apply once.
type control struct {
	Set []stateChange `config:"set"`
	Add []Entry       `config:"add"`
	Lag time.Duration `config:"lag" range:"0s..1h"`
	// Down rejects every read with status 503.
	Down bool `config:"down"`
	// Slow delays every read.
	Slow time.Duration `config:"slow" range:"0s..10m"`
}

// stateChange sets the state of the entries that match all non-empty fields, or removes these entries if the state is
// "removed".
type stateChange struct {
	ID         string `config:"id"`
	Role       string `config:"role" oneof:"host upstream"`
	Service    string `config:"service"`
	DataCentre string `config:"dataCentre"`
	State      string `config:"state,required" oneof:"live leaving removed"`
}

// pendingChange is a change that readers don't see before visibleAt.
type pendingChange struct {
	visibleAt time.Time
	apply     func([]Entry) []Entry
}

// Stats holds the counters of the host list, the number of changes that are not yet visible, and the visible entries.
type Stats struct {
	Reads int64 `json:"reads"`
	// Refused counts reads rejected while the list is down.
	Refused int64   `json:"refused"`
	Pending int     `json:"pending"`
	Entries []Entry `json:"entries"`
}

// List is a running host list.
type List struct {
	now     func() time.Time
	servers serve.Pair

	mu sync.Mutex
	// entries holds the entries that were visible at the last call of visibleEntries.
	entries []Entry
	// pending is sorted by visibleAt.
	pending []pendingChange
	// current holds the lag and the faults in force; its Set and Add are empty.
	current control
	stats   Stats
}

// New starts a host list that listens on the addresses in cfg.
func New(cfg Settings) (*List, error) { return start(cfg, time.Now) }

// start is New with a clock that tests can replace.
func start(cfg Settings, now func() time.Time) (*List, error) {
	l := &List{now: now, entries: slices.Clone(cfg.Entries), current: control{Lag: cfg.Lag}}
	r := mux.NewRouter()
	r.HandleFunc("/v1/hosts", l.handleRead).Methods(http.MethodGet)
	var err error
	if l.servers, err = serve.ListenPair(cfg.Listen, cfg.Control, r, l.handleControl, func() any { return l.Stats() }); err != nil {
		return nil, err
	}
	return l, nil
}

// Close stops the host list and waits for its handlers.
func (l *List) Close() {
	l.servers.Close()
}

// Stats returns the counters since the start, and the visible entries.
func (l *List) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Entries = l.visibleEntries()
	s.Pending = len(l.pending)
	return s
}

// visibleEntries applies the pending changes that are due and returns a copy of the entries. l.mu must be held.
func (l *List) visibleEntries() []Entry {
	now := l.now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.entries = l.pending[0].apply(l.entries)
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.entries)
}

// handleRead serves GET /v1/hosts.
func (l *List) handleRead(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	faults := l.current
	if faults.Down {
		l.stats.Refused++
	} else {
		l.stats.Reads++
	}
	l.mu.Unlock()
	if faults.Down {
		http.Error(w, "host list is down", http.StatusServiceUnavailable)
		return
	}
	if !pause.For(r.Context(), faults.Slow) {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	entries := l.visibleEntries()
	l.mu.Unlock()
	serve.WriteJSON(w, struct {
		Entries []Entry `json:"entries"`
	}{append([]Entry{}, entries...)})
}

// handleControl serves POST /control. A lag in the same body already applies to the changes of that body.
func (l *List) handleControl(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.ReadControl(w, r)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if !serve.DecodeControl(w, body, &c) {
		return
	}
	visibleAt := l.now().Add(c.Lag)
	for _, e := range c.Add {
		l.pending = append(l.pending, pendingChange{visibleAt, e.upsert})
	}
	for _, s := range c.Set {
		l.pending = append(l.pending, pendingChange{visibleAt, s.apply})
	}
	slices.SortStableFunc(l.pending, func(a, b pendingChange) int { return a.visibleAt.Compare(b.visibleAt) })
	c.Add, c.Set = nil, nil
	l.current = c
	w.WriteHeader(http.StatusNoContent)
}

// upsert returns a copy of entries in which e replaces the entry with the same role and ID, or is added.
func (e Entry) upsert(entries []Entry) []Entry {
	kept := slices.DeleteFunc(slices.Clone(entries), func(o Entry) bool { return o.ID == e.ID && o.Role == e.Role })
	return append(kept, e)
}

// apply returns a copy of entries with the change.
func (c stateChange) apply(entries []Entry) []Entry {
	changed := slices.Clone(entries)
	if c.State == "removed" {
		return slices.DeleteFunc(changed, c.matches)
	}
	for i := range changed {
		if c.matches(changed[i]) {
			changed[i].State = c.State
		}
	}
	return changed
}

// matches reports whether e matches all non-empty fields of c.
func (c stateChange) matches(e Entry) bool {
	return cmp.Or(c.ID, e.ID) == e.ID && cmp.Or(c.Role, e.Role) == e.Role &&
		cmp.Or(c.Service, e.Service) == e.Service && cmp.Or(c.DataCentre, e.DataCentre) == e.DataCentre
}
