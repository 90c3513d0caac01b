// Package hosts is the stand-in for the platform's host list.
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

// Settings are those of the host list.
type Settings struct {
	Listen  netip.AddrPort `config:"listen,required"`
	Control netip.AddrPort `config:"control,required"`
	// Lag is the time after which a change is visible.
	Lag     time.Duration `config:"lag" range:"0s..1h"`
	Entries []Entry       `config:"entries"`
}

// Entry is one line of the host list.
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

// control is the body of POST /control.
type control struct {
	Set  []change      `config:"set"`
	Add  []Entry       `config:"add"`
	Lag  time.Duration `config:"lag" range:"0s..1h"`
	Down bool          `config:"down"`
	Slow time.Duration `config:"slow" range:"0s..10m"`
}

// change sets the state of the entries that match all of the fields that are not empty.
type change struct {
	ID         string `config:"id"`
	Role       string `config:"role" oneof:"host upstream"`
	Service    string `config:"service"`
	DataCentre string `config:"dataCentre"`
	State      string `config:"state,required" oneof:"live leaving removed"`
}

// pending is a change that is not yet visible.
type pending struct {
	visible time.Time
	apply   func([]Entry) []Entry
}

// Stats counts what the host list did.
type Stats struct {
	Reads   int64   `json:"reads"`
	Refused int64   `json:"refused"`
	Pending int     `json:"pending"`
	Entries []Entry `json:"entries"`
}

// List is a running stand-in.
type List struct {
	now     func() time.Time
	servers serve.Pair

	mu sync.Mutex
	// entries are those visible at the last reading.
	entries []Entry
	// pending is in the order of the times at which the changes become visible.
	pending []pending
	// faults has no changes of entries, only the lag and the faults.
	faults control
	stats  Stats
}

// New starts a host list.
func New(cfg Settings) (*List, error) { return start(cfg, time.Now) }

func start(cfg Settings, now func() time.Time) (*List, error) {
	l := &List{now: now, entries: slices.Clone(cfg.Entries), faults: control{Lag: cfg.Lag}}
	r := mux.NewRouter()
	r.HandleFunc("/v1/hosts", l.read).Methods(http.MethodGet)
	var err error
	if l.servers, err = serve.ListenPair(cfg.Listen, cfg.Control, r, l.change, func() any { return l.Stats() }); err != nil {
		return nil, err
	}
	return l, nil
}

// Close stops the host list and waits for its handlers.
func (l *List) Close() {
	l.servers.Close()
}

// Stats returns the counts so far and the visible entries.
func (l *List) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Entries = l.visible()
	s.Pending = len(l.pending)
	return s
}

// visible is called with l.mu held; it returns a copy of the entries that are visible now.
func (l *List) visible() []Entry {
	now := l.now()
	for len(l.pending) > 0 && !l.pending[0].visible.After(now) {
		l.entries = l.pending[0].apply(l.entries)
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.entries)
}

func (l *List) read(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	faults := l.faults
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
	entries := l.visible()
	l.mu.Unlock()
	serve.WriteJSON(w, struct {
		Entries []Entry `json:"entries"`
	}{append([]Entry{}, entries...)})
}

func (l *List) change(w http.ResponseWriter, r *http.Request) {
	body, err := serve.ReadBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.faults
	if !serve.DecodeControl(w, body, &c) {
		return
	}
	visible := l.now().Add(c.Lag)
	for _, e := range c.Add {
		l.pending = append(l.pending, pending{visible, e.add})
	}
	for _, s := range c.Set {
		l.pending = append(l.pending, pending{visible, s.apply})
	}
	slices.SortStableFunc(l.pending, func(a, b pending) int { return a.visible.Compare(b.visible) })
	c.Add, c.Set = nil, nil
	l.faults = c
	w.WriteHeader(http.StatusNoContent)
}

// add replaces the entry of the same role and ID, or adds one.
func (e Entry) add(entries []Entry) []Entry {
	kept := slices.DeleteFunc(slices.Clone(entries), func(o Entry) bool { return o.ID == e.ID && o.Role == e.Role })
	return append(kept, e)
}

func (c change) apply(entries []Entry) []Entry {
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

func (c change) matches(e Entry) bool {
	return cmp.Or(c.ID, e.ID) == e.ID && cmp.Or(c.Role, e.Role) == e.Role &&
		cmp.Or(c.Service, e.Service) == e.Service && cmp.Or(c.DataCentre, e.DataCentre) == e.DataCentre
}
