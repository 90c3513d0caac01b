package route

import (
	"testing"
	"time"
)

func valid(name, prefix string) Route {
	return Route{Name: name, Host: "a.example", Prefix: prefix, Target: time.Second, Timeout: time.Second, MaxAttempts: 1, Split: []WeightedService{{"s", 1}}}
}

func table(t *testing.T, routes ...Route) *Table {
	t.Helper()
	tab, err := New(1, Limits{}, []Service{{Name: "s"}, {Name: "t"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// Guards against requests that reach a service that their path does not lead to.
func TestMatch(t *testing.T) {
	tab := table(t, valid("short", "/a/"), valid("long", "/a/b/"))
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
			r, ok := tab.Match(c.host, c.path)
			if ok != (c.want != "") || ok && r.Name != c.want {
				t.Fatalf("got %v, want %q", r, c.want)
			}
		})
	}
}

// Guards against configurations that would break at the first request.
func TestInvalidRoutes(t *testing.T) {
	for name, spoil := range map[string]func(*Route){
		"prefix":   func(r *Route) { r.Prefix = "/a" },
		"service":  func(r *Route) { r.Split = []WeightedService{{"unknown", 1}} },
		"parts":    func(r *Route) { r.Split = nil },
		"attempts": func(r *Route) { r.MaxAttempts = 0 },
		"timeout":  func(r *Route) { r.Timeout = 0 },
		"weight":   func(r *Route) { r.Split = []WeightedService{{"s", -1}} },
	} {
		t.Run(name, func(t *testing.T) {
			r := valid("r", "/a/")
			spoil(&r)
			if _, err := New(1, Limits{}, []Service{{Name: "s"}}, []Route{r}); err == nil {
				t.Fatal("accepted")
			}
		})
	}
}

// Guards against shares that do not follow the weights.
func TestPickFollowsWeights(t *testing.T) {
	r := valid("r", "/a/")
	r.Split = []WeightedService{{"s", 90}, {"t", 10}}
	n := map[string]int{}
	for i := range 1000 {
		n[r.PickService(float64(i)/1000)]++
	}
	if n["s"] != 900 || n["t"] != 100 {
		t.Fatalf("got %v", n)
	}
}
