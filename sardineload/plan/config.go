// Package plan holds the settings of a load and derives from them the times at which its requests are due.
package plan

import (
	"net/netip"
	"slices"
	"time"
)

// Settings configures one load.
type Settings struct {
	// Entries are the addresses of the hosts that clients query first for the addresses of a class.
	Entries  []netip.AddrPort `config:"entries" unique:"."`
	Duration time.Duration    `config:"duration" range:"10ms..24h"`
	Seed     int              `config:"seed"`
	// Clients is the number of simulated client programs. Each has its own address cache and connections.
	Clients int `config:"clients" range:"1..1024"`
	// ClientBase is the local address of the first client. The other clients use the addresses that follow it. Empty means
	// that the operating system chooses the addresses.
	ClientBase string `config:"clientBase"`
	// MaxInFlight limits the requests in flight. A request above the limit is not sent but counted as an overrun, which
	// makes the run fail.
	MaxInFlight int     `config:"maxInFlight" range:"1..1000000"`
	Classes     []Class `config:"classes" range:"1..64" unique:"name"`
	Shifts      []Shift `config:"shifts" range:"0..1000"`
	// Upstreams is the control address of the stand-in upstreams. If it is set, their runs of orders are compared with the
	// outcomes at the end.
	Upstreams netip.AddrPort `config:"upstreams"`
	// Settle is how long the tool waits after the last outcome before it reads the runs.
	Settle time.Duration `config:"settle" range:"0s..10m"`
	// CSV is the file for the time series; empty means none.
	CSV string `config:"csv"`
}

// Class configures the requests of one class.
type Class struct {
	Name string `config:"name,required"`
	// Rate is in requests per second.
	Rate    float64       `config:"rate" range:"0..1000000"`
	Method  string        `config:"method" oneof:"GET POST"`
	Path    string        `config:"path"`
	Timeout time.Duration `config:"timeout" range:"1ms..10m"`
	// Orders means that the requests are orders, which must run at most once.
	Orders bool `config:"orders"`
	// Kinds holds the shares of the kinds of orders.
	Kinds Kinds `config:"kinds"`
	// BodyBytes and AnswerBytes are the lengths of the bodies of a request and of its response.
	BodyBytes   int `config:"bodyBytes" range:"0..16777216"`
	AnswerBytes int `config:"answerBytes" range:"0..1073741824"`
	// Direct holds the upstreams of the class for direct mode, which sends requests without hosts.
	Direct []netip.AddrPort `config:"direct" unique:"."`
}

// Kinds holds the relative weight of each kind of order; the weights need not add up to one.
type Kinds struct {
	Issued  float64 `config:"issued" range:"0..1000"`
	Key     float64 `config:"key" range:"0..1000"`
	Neither float64 `config:"neither" range:"0..1000"`
}

// Shift moves part of the load from one class to another for a time.
type Shift struct {
	At  time.Duration `config:"at" range:"0s..24h"`
	For time.Duration `config:"for" range:"10ms..24h"`
	// Every repeats the shift; zero means once.
	Every time.Duration `config:"every" range:"0s..24h"`
	From  string        `config:"from,required"`
	To    string        `config:"to,required"`
	// Rate is the load to move, in requests per second; at most the whole load of From is moved.
	Rate float64 `config:"rate,required" range:"0..1000000"`
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
		if s.classIndex(sh.From) < 0 || s.classIndex(sh.To) < 0 {
			report("shifts", "from "+sh.From+" to "+sh.To+" names a class that is not among classes")
		}
	}
	for _, c := range s.Classes {
		if c.Orders && c.Kinds == (Kinds{}) {
			report("classes", c.Name+" has orders but no kinds")
		}
	}
}

// classIndex returns the index of the class with a name, or -1 if there is none.
func (s *Settings) classIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}
