// Package route holds the routes of one configuration and selects the route of a request.
package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind uint8

// Kinds of routes.
const (
	// Once is for requests that run at most once for each attempt of a caller.
	Once Kind = iota
	// Repeatable is for requests that may run more than once.
	Repeatable
	// Bulk is for repeatable requests with large responses.
	Bulk
)

// MayRepeat reports whether a request may run at a second upstream.
func (k Kind) MayRepeat() bool { return k != Once }

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Bulk:
		return "bulk"
	}
	return "once"
}

// WeightedService is one service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one rule of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Target is the time within which a response counts fully; Timeout is the longest time a caller is kept waiting.
	Target, Timeout time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	// Split is never empty; weights are positive.
	Split []WeightedService
}

// PickService returns the service for a request; u is uniform in [0,1).
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

// PickRandomService returns the service for a request by weight.
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
	// ColdFor is how long an upstream stays cold after its start; ColdPerSecond is what it bears meanwhile.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Limits bound what a caller may send; a zero limit is not set.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// InvalidError reports a route that cannot be used.
type InvalidError struct{ Route, Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("route %s: %s", e.Route, e.Reason) }

// Table is an immutable configuration.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	byHost   map[string]map[string]*Route
	size     int
}

// New returns a table of valid routes, and an error for the first invalid one.
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
		if err := t.check(r); err != nil {
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

func (t *Table) check(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &InvalidError{r.Name, "path prefix does not begin and end with a slash"}
	case len(r.Split) == 0:
		return &InvalidError{r.Name, "no service"}
	case r.MaxAttempts < 1:
		return &InvalidError{r.Name, "no attempts"}
	case r.Timeout <= 0 || r.Target <= 0:
		return &InvalidError{r.Name, "target or timeout is not positive"}
	}
	for _, p := range r.Split {
		if _, ok := t.Services[p.Service]; !ok {
			return &InvalidError{r.Name, "unknown service " + p.Service}
		}
		if p.Weight < 0 {
			return &InvalidError{r.Name, "negative weight"}
		}
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.size }

// Match returns the route of the host with the longest prefix of path. A port in host is ignored.
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
