// Package route holds the routes of a configuration and matches requests to them.
package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sardinecross.example/lib/orgs"
)

// Kind tells whether the requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// Once is for requests that may run at most once each time a caller sends them.
	Once Kind = iota
	// Repeatable is for requests that may run more than once.
	Repeatable
	// Bulk is for repeatable requests with large responses.
	Bulk
)

// MayRepeat reports whether a request may run again at another upstream.
func (k Kind) MayRepeat() bool { return k != Once }

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Bulk:
		return "bulk"
	}
	return "once"
}

// WeightedService is a service that gets a share of a route's requests in proportion to Weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route sends the requests to one host name and path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Target is the latency target of responses; Timeout is the longest time for which a caller waits for one.
	Target, Timeout time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is the highest number of upstreams to which a request may be sent.
	MaxAttempts int
	// Split lists the services that the requests are split between. It is never empty and no weight is negative.
	Split []WeightedService
	// Public is set if requests need no key although the configuration has organisations.
	Public bool
}

// PickService selects a service by weight; u is a random number uniform in [0,1).
func (r *Route) PickService(u float64) string {
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	u *= total
	for _, p := range r.Split {
		if u -= p.Weight; u < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// PickRandomService selects a service at random by weight.
func (r *Route) PickRandomService() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	return r.PickService(rand.Float64())
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdFor is how long an upstream stays cold after its start. ColdPerSecond is the rate of requests per second that
	// it can serve meanwhile.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Limits bound the size and duration of callers' requests. A limit of zero is not set.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// InvalidError reports an invalid route and why it is invalid.
type InvalidError struct{ Route, Problem string }

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("invalid route %q: %s", e.Route, e.Problem) }

// Table is an immutable configuration: the routes, services and limits of one version.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	// Organisations is nil if the configuration has none. Requests need no key then.
	Organisations *orgs.Table
	byHost        map[string]map[string]*Route // by host name in lower case and path prefix
	size          int                          // number of routes
}

// New returns a table of routes. The error is an InvalidError for the first invalid route.
func New(version int64, limits Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]Service, len(services)),
		byHost:   make(map[string]map[string]*Route),
		size:     len(routes),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.checkRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = make(map[string]*Route)
		}
		t.byHost[host][r.Prefix] = r
	}
	return t, nil
}

// checkRoute returns an InvalidError if r is invalid.
func (t *Table) checkRoute(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &InvalidError{r.Name, "path prefix does not begin and end with a slash"}
	case len(r.Split) == 0:
		return &InvalidError{r.Name, "traffic split names no service"}
	case r.MaxAttempts < 1:
		return &InvalidError{r.Name, "maximum number of attempts is less than 1"}
	case r.Timeout <= 0 || r.Target <= 0:
		return &InvalidError{r.Name, "latency target or timeout is not positive"}
	}
	for _, p := range r.Split {
		if _, ok := t.Services[p.Service]; !ok {
			return &InvalidError{r.Name, "unknown service " + p.Service}
		}
		if p.Weight < 0 {
			return &InvalidError{r.Name, "weight of service " + p.Service + " is negative"}
		}
	}
	return nil
}

// WithOrganisations returns a copy of t with the given organisations.
func (t Table) WithOrganisations(organisations *orgs.Table) *Table {
	t.Organisations = organisations
	return &t
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.size }

// Match returns the route of the host name with the longest prefix that path begins with. A port in host is ignored,
// and so is the case of its letters.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	byPrefix := t.byHost[strings.ToLower(host)]
	if byPrefix == nil {
		return nil, false
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r, ok := byPrefix[path[:i+1]]; ok {
			return r, true
		}
	}
	return nil, false
}
