// Package plan holds the settings of a load and the times at which its requests are due.
package plan

import (
	"net/netip"
	"slices"
	"time"
)

// Settings describe one load.
type Settings struct {
	// Entries are addresses of hosts that callers ask first.
	Entries  []netip.AddrPort `config:"entries" unique:"."`
	Duration time.Duration    `config:"duration" range:"10ms..24h"`
	Seed     int              `config:"seed"`
	// Clients is how many client programs the load comes from; each keeps its own addresses and connections.
	Clients int `config:"clients" range:"1..1024"`
	// ClientBase is the local address of the first client; the others use the ones after it. Empty means any.
	ClientBase string `config:"clientBase"`
	// MaxInFlight bounds the requests in flight; more count as overruns, which make the run fail.
	MaxInFlight int     `config:"maxInFlight" range:"1..1000000"`
	Classes     []Class `config:"classes" range:"1..64" unique:"name"`
	Shifts      []Shift `config:"shifts" range:"0..1000"`
	// Upstreams is the control address of the stand-in's upstreams, whose runs of orders are compared at the end.
	Upstreams netip.AddrPort `config:"upstreams"`
	// Settle is how long after the last outcome the runs are read.
	Settle time.Duration `config:"settle" range:"0s..10m"`
	CSV    string        `config:"csv"`
}

// Class is the load of one class.
type Class struct {
	Name    string        `config:"name,required"`
	Rate    float64       `config:"rate" range:"0..1000000"`
	Method  string        `config:"method" oneof:"GET POST"`
	Path    string        `config:"path"`
	Timeout time.Duration `config:"timeout" range:"1ms..10m"`
	// Orders marks requests that must run at most once.
	Orders bool `config:"orders"`
	// Kinds are the shares of the kinds of orders.
	Kinds       Kinds `config:"kinds"`
	BodyBytes   int   `config:"bodyBytes" range:"0..16777216"`
	AnswerBytes int   `config:"answerBytes" range:"0..1073741824"`
	// Direct are the upstreams of the class for the mode without hosts.
	Direct []netip.AddrPort `config:"direct" unique:"."`
}

// Kinds are shares of any sum.
type Kinds struct {
	Issued  float64 `config:"issued" range:"0..1000"`
	Key     float64 `config:"key" range:"0..1000"`
	Neither float64 `config:"neither" range:"0..1000"`
}

// Shift moves a part of the load from one class to another for a time.
type Shift struct {
	At  time.Duration `config:"at" range:"0s..24h"`
	For time.Duration `config:"for" range:"10ms..24h"`
	// Every repeats the shift; zero means once.
	Every time.Duration `config:"every" range:"0s..24h"`
	From  string        `config:"from,required"`
	To    string        `config:"to,required"`
	Rate  float64       `config:"rate,required" range:"0..1000000"`
}

// SetDefaults implements config.Defaulter.
func (s *Settings) SetDefaults() {
	*s = Settings{Duration: 10 * time.Second, Seed: 1, Clients: 8, MaxInFlight: 20_000, Settle: time.Second}
}

// SetDefaults implements config.Defaulter.
func (c *Class) SetDefaults() {
	*c = Class{Rate: 100, Method: "POST", Path: "work", Timeout: 2 * time.Second, BodyBytes: 200, AnswerBytes: 256}
}

// Check implements config.Checker.
func (s *Settings) Check(report func(key, problem string)) {
	if s.ClientBase != "" {
		if _, err := netip.ParseAddr(s.ClientBase); err != nil {
			report("clientBase", "is not an IP address")
		}
	}
	for _, sh := range s.Shifts {
		if s.class(sh.From) < 0 || s.class(sh.To) < 0 {
			report("shifts", "names a class that is not among classes")
		}
	}
	for _, c := range s.Classes {
		if c.Orders && c.Kinds == (Kinds{}) {
			report("classes", c.Name+" has orders but no kinds")
		}
	}
}

// class returns the index of a class, or -1.
func (s *Settings) class(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}
