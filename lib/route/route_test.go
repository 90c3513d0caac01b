package route

import (
	"testing"
	"time"
)

func newRoute(name, prefix string) Route {
	return Route{Name: name, Host: "a.example", Prefix: prefix, Target: time.Second, Timeout: time.Second, MaxAttempts: 1, Split: []WeightedService{{"s", 1}}}
}

func newTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	table, err := New(1, Limits{}, []Service{{Name: "s"}, {Name: "t"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against requests that are routed by another host name or path prefix than their own.
func TestMatchSelectsLongestPrefix(t *testing.T) {
	table := newTable(t, newRoute("short", "/a/"), newRoute("long", "/a/b/"))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/a/x", "short"},
		{"A.example:8080", "/a/b/x", "long"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/a", ""},
		{"a.example", "/ab/x", ""},
		{"b.example", "/a/x", ""},
		{"a.example", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			r, ok := table.Match(c.host, c.path)
			if ok != (c.want != "") || ok && r.Name != c.want {
				t.Fatalf("matched route %v, want %q", r, c.want)
			}
		})
	}
}

// Guards against configurations that are accepted although requests would fail or panic with them.
func TestNewRejectsInvalidRoutes(t *testing.T) {
	for name, invalidate := range map[string]func(*Route){
		"prefix":   func(r *Route) { r.Prefix = "/a" },
		"service":  func(r *Route) { r.Split = []WeightedService{{"unknown", 1}} },
		"parts":    func(r *Route) { r.Split = nil },
		"attempts": func(r *Route) { r.MaxAttempts = 0 },
		"timeout":  func(r *Route) { r.Timeout = 0 },
		"weight":   func(r *Route) { r.Split = []WeightedService{{"s", -1}} },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoute("r", "/a/")
			invalidate(&r)
			if _, err := New(1, Limits{}, []Service{{Name: "s"}}, []Route{r}); err == nil {
				t.Fatal("invalid route accepted")
			}
		})
	}
}

// Guards against a traffic split that does not follow the weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := newRoute("r", "/a/")
	r.Split = []WeightedService{{"s", 90}, {"t", 10}}
	n := map[string]int{}
	for i := range 1000 {
		n[r.PickService(float64(i)/1000)]++
	}
	if n["s"] != 900 || n["t"] != 100 {
		t.Fatalf("requests per service %v, want 900 for s and 100 for t", n)
	}
}
