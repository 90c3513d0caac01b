package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sardinecross.example/platform/standin/server"
	"sardinecross.example/platform/standin/users"
)

// start is when the histories of these tests begin.
var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// soundHistory returns a history without a violation. The order o at 10 s and the enquiry e at 30 s, after the last event, are
// served by the upstream u in zone passau. Host h is stopped from 40 s to 47 s.
func soundHistory() *History {
	call := func(id, service string, seconds float64) Call {
		return Call{
			ID: id, Host: "h", Service: service, Order: service == users.OrderService, Limit: 12 * time.Second, Work: 20 * time.Millisecond,
			Begun: at(seconds), Sent: at(seconds), Ended: at(seconds + 0.03), Status: 200, Verified: true,
		}
	}
	run := func(id, service string, seconds float64) server.Run {
		return server.Run{ID: id, Upstream: "u", Service: service, Path: "/" + service + "/item", At: at(seconds + 0.01)}
	}
	runs := []server.Run{run("o", users.OrderService, 10), run("e", "enquiry", 30)}
	return &History{
		Timeout: 4 * time.Second, Grace: 6 * time.Second,
		Calls: []Call{call("o", users.OrderService, 10), call("e", "enquiry", 30)},
		Runs:  runs, Arrivals: slices.Clone(runs), Zones: map[string]string{"u": "passau"},
		Disruptions: []Span{{From: at(40), To: at(47), Host: "h", Planned: true}},
		Calm:        Span{From: at(29), To: at(32)}, Memory: map[string]int64{"h": 20 << 20},
	}
}

// loseDuringStop makes the order o one that its host, which is being stopped, passes on and loses.
func loseDuringStop(h *History) {
	c := &h.Calls[0]
	c.Begun, c.Sent, c.Ended = at(41), at(41), at(41.5)
	c.Status, c.Verified = 0, false
	c.Work = time.Second
	h.Runs[0].At, h.Arrivals[0].At = at(41.01), at(41.01)
}

// rollOut adds the rollout of a version of the service enquiry to a history: the order at 10 s, the canary stage from 11 s on with 50
// requests, and the final state at 20 s. If the version is bad, its responses are, and it gets no more requests.
func rollOut(h *History, bad bool) {
	o := Order{At: at(10), Over: 12 * time.Second, Service: "enquiry", Version: "v2"}
	final := users.State{At: at(20), Service: "enquiry", Version: "v2", State: "complete"}
	if bad {
		o.Bad, final.State = at(10), "rolled_back"
	}
	h.Orders = []Order{o}
	h.States = []users.State{{At: at(11), Service: "enquiry", Version: "v2", State: "active"}, final}
	for i := range 50 {
		reachNew(h, 11+float64(i)/100)
	}
}

// reachNew adds a request that reaches the new version.
func reachNew(h *History, seconds float64) { reach(h, seconds, "v2") }

// reach adds a request that runs at a version from a time on.
func reach(h *History, seconds float64, version string) *Call {
	c := h.Calls[1]
	c.ID = fmt.Sprintf("%s at %g", version, seconds)
	c.Begun, c.Sent, c.Ended = at(seconds), at(seconds), at(seconds+0.03)
	r := server.Run{ID: c.ID, Upstream: "i-" + version, Service: "enquiry", Path: "/enquiry/item", Version: version, At: at(seconds + 0.01)}
	h.Calls, h.Runs, h.Arrivals = append(h.Calls, c), append(h.Runs, r), append(h.Arrivals, r)
	return &h.Calls[len(h.Calls)-1]
}

// repeatState adds a restore of the store after the final state of a rollout, and then a state.
func repeatState(h *History, s users.State) {
	final := h.States[1].At
	h.Restores = []time.Time{final.Add(time.Second)}
	s.At = final.Add(2 * time.Second)
	h.States = append(h.States, s)
}

// checkRules compares the rules of the violations in a history with those expected.
func checkRules(t *testing.T, h *History, want ...Rule) {
	t.Helper()
	var got []Rule
	found := Check(h)
	for _, v := range found {
		if !slices.Contains(got, v.Rule) {
			got = append(got, v.Rule)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("rules violated: %v, want %v; violations: %v", got, want, found)
	}
}

// Guards against a checker that overlooks a violation: each case breaks one rule in a sound history.
func TestCheckReports(t *testing.T) {
	for _, c := range []struct {
		name   string
		rule   Rule
		mutate func(h *History)
	}{
		{"an order that ran twice", Twice, func(h *History) { h.Runs = append(h.Runs, h.Runs[0]) }},
		{"503 for a request that ran", Refused, func(h *History) { h.Calls[0].Status, h.Calls[0].Verified = 503, false }},
		{"408 for a request that ran", Refused, func(h *History) { h.Calls[0].Status, h.Calls[0].Verified = 408, false }},
		{"a success that is not whole", Mixed, func(h *History) { h.Calls[0].Verified = false }},
		{"a success of a request that did not run", Mixed, func(h *History) { h.Runs = h.Runs[1:] }},
		{"a run that no caller asked for", Unasked, func(h *History) { h.Runs = append(h.Runs, server.Run{ID: "x", Upstream: "u"}) }},
		{"a run at another service", WrongRoute, func(h *History) { h.Runs[0].Service = "archive" }},
		{"403 for a proper request", Denied, func(h *History) { h.Calls[0].Status, h.Calls[0].Verified = 403, false }},
		{"a redirection", Denied, func(h *History) { h.Calls[0].Status, h.Calls[0].Verified = 302, false }},
		{"404 on a route confirmed 2.1 s before", Configuration, func(h *History) {
			h.Calls[0].Status, h.Calls[0].Verified, h.Calls[0].Added = 404, false, at(7.9)
		}},
		{"a request 2.1 s after its upstream has left", Leaving, func(h *History) {
			h.Acts = []Act{{At: at(7.9), Upstream: "u"}}
		}},
		{"a request 5.1 s after its zone was out of service", Evacuation, func(h *History) {
			h.Acts = []Act{{At: at(4.9), Back: at(20), Zone: "passau"}}
		}},
		{"a request that is passed on and lost during a stop", Lost, loseDuringStop},
		{"a request that is read and lost during a stop", Lost, func(h *History) {
			loseDuringStop(h)
			h.Runs, h.Arrivals = h.Runs[1:], h.Arrivals[1:]
		}},
		{"an answer of the host in place of the upstream's during a stop", Lost, func(h *History) {
			loseDuringStop(h)
			h.Calls[0].Status = 502
		}},
		{"a request that is lost during a stop and an outage of the store", Lost, func(h *History) {
			loseDuringStop(h)
			h.Disruptions = append(h.Disruptions, Span{From: at(40), To: at(42)})
		}},
		{"a request that is lost without any fault", Lost, func(h *History) {
			loseDuringStop(h)
			h.Disruptions = nil
		}},
		{"a stopped host that many answers of directories name", Directory, func(h *History) {
			h.Disruptions[0].To, h.Downs = at(60), []Span{{From: at(42), To: at(60), Host: "h"}}
			h.Listings = slices.Repeat([]Listing{{At: at(48.1), Host: "g", Named: []string{"g", "h"}}}, maxListed+1)
		}},
		{"a process that ended by itself", Ended, func(h *History) { h.Ends = []End{{Host: "h"}} }},
		{"too few requests served at the end", Recovery, func(h *History) { h.Calls[1].Status, h.Calls[1].Verified = 504, false }},
		{"no requests at the end", Recovery, func(h *History) { h.Calm = Span{From: at(50), To: at(53)} }},
		{"a bad version with too many requests", Share, func(h *History) {
			rollOut(h, true)
			for i := range 20 {
				reachNew(h, 12+float64(i)/100)
			}
		}},
		{"a request of a bad version 5.1 s after its 50th bad response", Rollback, func(h *History) {
			rollOut(h, true)
			reachNew(h, 11.5+5.1)
		}},
		{"a request of a bad version 10.1 s after it while the store is unstable", Rollback, func(h *History) {
			rollOut(h, true)
			h.Disruptions = append(h.Disruptions, Span{From: at(11), To: at(13)})
			reachNew(h, 11.5+10.1)
		}},
		{"a request at work at an old upstream that stops at complete", Cutover, func(h *History) {
			rollOut(h, false)
			c := reach(h, 19.97, "v1")
			c.Work, c.Status, c.Verified = 50*time.Millisecond, 502, false
		}},
		{"a final state after the time of the order", Status, func(h *History) {
			rollOut(h, false)
			h.States[1].At = at(22.1)
		}},
		{"no final state", Status, func(h *History) {
			rollOut(h, true)
			h.States = h.States[:1]
		}},
		{"a good version that is rolled back", Status, func(h *History) {
			rollOut(h, false)
			h.States[1].State = "rolled_back"
		}},
		{"a bad version that is complete although the store is unstable", Status, func(h *History) {
			rollOut(h, true)
			h.States[1].State = "complete"
			h.Disruptions = append(h.Disruptions, Span{From: at(11), To: at(13)})
		}},
		{"a state after a final one", Status, func(h *History) {
			rollOut(h, false)
			h.States = append(h.States, h.States[0])
		}},
		{"another state after a final one and a restore of the store", Status, func(h *History) {
			rollOut(h, false)
			repeatState(h, h.States[0])
		}},
		{"a final state again before the store was restored", Status, func(h *History) {
			rollOut(h, false)
			repeatState(h, h.States[1])
			h.Restores[0] = h.States[2].At.Add(time.Second)
		}},
		{"too much memory", Memory, func(h *History) { h.Memory["h"] = 65 << 20 }},
		{"more retries than the budget allows", RetryBudget, func(h *History) {
			for range users.RetrySlack + 1 {
				h.Arrivals = append(h.Arrivals, h.Arrivals[1])
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := soundHistory()
			c.mutate(h)
			checkRules(t, h, c.rule)
		})
	}
}

// Guards against a checker that reports what the platform allows.
func TestCheckAllows(t *testing.T) {
	for name, mutate := range map[string]func(h *History){
		"a sound history": func(*History) {},
		"a good rollout":  func(h *History) { rollOut(h, false) },
		"a bad rollout":   func(h *History) { rollOut(h, true) },
		"a request of a bad version 4.9 s after its 50th bad response": func(h *History) {
			rollOut(h, true)
			reachNew(h, 11.5+4.9)
		},
		"a final state again after the store was restored": func(h *History) {
			rollOut(h, false)
			repeatState(h, h.States[1])
		},
		"a good version that is rolled back while the store is unstable": func(h *History) {
			rollOut(h, false)
			h.States[1].State = "rolled_back"
			h.Disruptions = append(h.Disruptions, Span{From: at(11), To: at(13)})
		},
		"an enquiry that ran twice": func(h *History) { h.Runs = append(h.Runs, h.Runs[1]) },
		"404 on a route confirmed 1.9 s before": func(h *History) {
			h.Calls[0].Status, h.Calls[0].Verified, h.Calls[0].Added = 404, false, at(8.1)
		},
		"a request 1.9 s after its upstream has left": func(h *History) { h.Acts = []Act{{At: at(8.1), Back: at(20), Upstream: "u"}} },
		"a request to an upstream that left long before from a host killed 4 s before": func(h *History) {
			h.Acts = []Act{{At: at(2), Back: at(20), Upstream: "u"}}
			h.Disruptions = []Span{{From: at(5), To: at(6), Host: "h"}}
		},
		"a request to a zone that is back": func(h *History) { h.Acts = []Act{{At: at(1), Back: at(9), Zone: "passau"}} },
		"a request that is lost in a kill": func(h *History) {
			loseDuringStop(h)
			h.Disruptions = append(h.Disruptions, Span{From: at(41.4), To: at(47), Host: "h"})
		},
		"a request that crosses the close of its connection": func(h *History) {
			loseDuringStop(h)
			h.Runs, h.Arrivals = h.Runs[1:], h.Arrivals[1:]
			h.Calls[0].Ended = at(41.1)
		},
		"a request to an upstream that works longer than the grace": func(h *History) {
			loseDuringStop(h)
			h.Calls[0].Work = 5 * time.Second
		},
		"a stopped host that answers of directories name for 5.9 s": func(h *History) {
			h.Disruptions[0].To, h.Downs = at(60), []Span{{From: at(42), To: at(60), Host: "h"}}
			h.Listings = slices.Repeat([]Listing{{At: at(47.9), Host: "g", Named: []string{"g", "h"}}}, 10)
		},
		"a request behind another that is not passed on": func(h *History) {
			loseDuringStop(h)
			h.Runs, h.Arrivals = h.Runs[1:], h.Arrivals[1:]
			h.Calls[0].Behind = true
		},
		"a request through a link that may lose it": func(h *History) {
			loseDuringStop(h)
			h.Calls[0].Linked = true
		},
		"a request that reaches its time limit": func(h *History) {
			loseDuringStop(h)
			h.Calls[0].Limit = 500 * time.Millisecond
		},
		"a request whose upstream broke off": func(h *History) {
			loseDuringStop(h)
			h.Disruptions = append(h.Disruptions, Span{From: at(41.2), To: at(42), Upstream: "u"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			mutate(h)
			checkRules(t, h)
		})
	}
}

// Guards against plans that differ between runs of a seed, or that lack kinds of events.
func TestPlanIsGivenByItsSeed(t *testing.T) {
	kinds := make(map[Kind]int)
	for seed := range uint64(50) {
		p := NewPlan(seed, 4)
		if again := NewPlan(seed, 4); p.String() != again.String() {
			t.Errorf("seed %d gave two plans:\n%v\n%v", seed, p, again)
		}
		for _, e := range slices.Concat(p.Series...) {
			kinds[e.Kind]++
			if e.At < 0 || e.At >= FaultTime {
				t.Errorf("seed %d: an event begins at %v", seed, e.At)
			}
		}
	}
	for _, k := range []Kind{
		Stop, StopKill, Kill, Pause, Reload, Link, StoreMode, Rebalance, Deafen, Restore, Drain, Crash, Chill, Fault, Routes, Evacuate, Rollout,
	} {
		if kinds[k] == 0 {
			t.Errorf("no plan of 50 seeds has an event of kind %s", k)
		}
	}
}
