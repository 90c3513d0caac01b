package proofs

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sardinecross.example/platform/standin/server"
	"sardinecross.example/platform/standin/store"
)

const (
	// orderTime is the time of the orders of these tests.
	orderTime = 12 * time.Second
	// statusTopic is the topic of the states of orders.
	statusTopic = "keyed.status"
	// canaryShare, canarySlack, rollbackBound and badResponses are the bounds of the platform for a bad version: its share of the
	// requests, and the time after the given number of bad responses in which it may still get some.
	canaryShare, canarySlack = 0.1, 50
	rollbackBound            = 5 * time.Second
	badResponses             = 50
)

// States of orders that end well or badly.
var (
	completed  = []string{"active", "complete"}
	rolledBack = []string{"active", "rolled_back"}
)

// rolloutSite is a gate site with load for some services, which have further versions.
type rolloutSite struct {
	*gateSite
	load    *gateLoad
	ordered map[string]time.Time // when the order of a service was written
}

func newRolloutSite(t *testing.T, services ...string) *rolloutSite {
	t.Helper()
	s := &rolloutSite{gateSite: newGateSite(t, 2), ordered: make(map[string]time.Time)}
	s.load = s.startLoad(8, services...)
	t.Cleanup(func() {
		if t.Failed() {
			s.logRollouts()
		}
	})
	return s
}

// logRollouts logs what the hosts have written about rollouts and about requests that were not served.
func (s *rolloutSite) logRollouts() {
	for _, h := range s.hosts {
		out, _ := os.ReadFile(h.Output.Name())
		for line := range strings.Lines(string(out)) {
			failed := strings.Contains(line, `"msg":"request"`) && !strings.Contains(line, `"status":200`)
			if failed || strings.Contains(line, `"msg":"rollout s`) {
				s.T.Logf("%s: %s", h.ID, line)
			}
		}
	}
}

// add starts six upstreams of a version, as many as the first version has, with a fault, and returns their IDs.
func (s *rolloutSite) add(service, version string, fault server.Fault) []string {
	s.T.Helper()
	before := s.platformStats().Upstreams
	for range 6 {
		s.sendCommand(map[string]any{"Add": service, "AddVersion": version})
	}
	added := s.platformStats().Upstreams[service+"/passau"]
	added = slices.DeleteFunc(added, func(id string) bool { return slices.Contains(before[service+"/passau"], id) })
	s.sendCommand(map[string]any{"Fault": fault, "FaultOf": added})
	return added
}

// order writes an order for a service, or removes it if version is empty.
func (s *rolloutSite) order(service, version string) {
	s.T.Helper()
	var value []byte
	if version != "" {
		value, _ = json.Marshal(map[string]any{"service": service, "target-version": version, "over-s": orderTime.Seconds()})
	}
	if _, ok := s.ordered[service]; !ok {
		s.ordered[service] = time.Now()
	}
	s.sendCommand(map[string]any{"Operators": map[string]string{"rollout/" + service: string(value)}})
}

// failStates makes the store fail in a mode for calls about the states of orders.
func (s *rolloutSite) failStates(mode store.Mode) {
	s.T.Helper()
	s.sendCommand(map[string]any{"Store": mode, "Topic": statusTopic})
}

// states returns the states that hosts have written for a version of a service, and when the last one was written.
func (s *rolloutSite) states(service, version string) (states []string, last time.Time) {
	s.T.Helper()
	for _, st := range s.platformStats().States {
		if st.Service == service && st.Version == version {
			states, last = append(states, st.State), st.At
		}
	}
	return states, last
}

// waitStates waits until the last state of a version of a service is the last of those wanted, and checks that no others were
// written, also within a second after it. It returns when the last one was written.
func (s *rolloutSite) waitStates(service, version string, want []string) time.Time {
	s.T.Helper()
	return s.waitAnyStates(service, version, want)
}

// waitAnyStates is waitStates with several lists of states that end with the same one, any of which may be written.
func (s *rolloutSite) waitAnyStates(service, version string, wants ...[]string) time.Time {
	s.T.Helper()
	final := wants[0][len(wants[0])-1]
	s.Wait("state "+final+" of "+service, func() bool {
		states, _ := s.states(service, version)
		return slices.Contains(states, final) || slices.Contains(states, "complete") || slices.Contains(states, "rolled_back")
	})
	time.Sleep(time.Second)
	states, last := s.states(service, version)
	if !slices.ContainsFunc(wants, func(want []string) bool { return slices.Equal(states, want) }) {
		s.T.Errorf("states of version %s of %s: %v, want %v", version, service, states, wants)
	}
	return last
}

// assertInTime checks that the final state of the order of a service was written within the time of the order.
func (s *rolloutSite) assertInTime(service string, last time.Time) {
	s.T.Helper()
	if took := last.Sub(s.ordered[service]); took > orderTime {
		s.T.Errorf("the final state of %s was written %v after the order, want at most %v", service, took, orderTime)
	}
}

// logged returns the first live host that has logged a line with all the given parts, or nil.
func (s *rolloutSite) logged(parts ...string) *gateHost {
	for _, h := range s.hosts {
		if !h.alive.Load() {
			continue
		}
		out, _ := os.ReadFile(h.Output.Name())
		for line := range strings.Lines(string(out)) {
			if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
				return h
			}
		}
	}
	return nil
}

// waitLogged waits until a host has logged a line with all the given parts, and returns the host.
func (s *rolloutSite) waitLogged(parts ...string) (h *gateHost) {
	s.T.Helper()
	s.Wait("a log line with "+strings.Join(parts, ", "), func() bool {
		h = s.logged(parts...)
		return h != nil
	})
	return h
}

// finish ends the load and checks its answers, and the bounds on requests of versions that are bad from the beginning.
func (s *rolloutSite) finish(minServed float64, bad ...string) {
	s.T.Helper()
	answers := s.load.stop()
	seen := s.platformStats()
	assertInvariants(s.T.(*testing.T), answers, seen)
	assertServed(s.T.(*testing.T), answers, minServed)
	for _, service := range bad {
		ordered := s.ordered[service]
		var all int
		var sent []time.Time
		for _, r := range seen.Runs {
			if r.Service != service || r.At.Before(ordered) || r.At.After(ordered.Add(orderTime)) {
				continue
			}
			all++
			if r.Version != "v1" {
				sent = append(sent, r.At)
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		if most := canaryShare*float64(all) + canarySlack; float64(len(sent)) > most {
			s.T.Errorf("%d of %d requests of %s reached the bad version, at most %.0f may", len(sent), all, service, most)
		}
		if len(sent) > badResponses && sent[len(sent)-1].Sub(sent[badResponses-1]) > rollbackBound {
			s.T.Errorf("the bad version of %s got requests %v after its bad response %d", service, sent[len(sent)-1].Sub(sent[badResponses-1]), badResponses)
		}
	}
}

// Guards against rollouts that do not end as the version deserves when the pieces run as separate processes: orders, versions,
// grants, evidence, messages and states. The upstreams of the old version stop at once when the state is complete. Two rollouts
// at a time write their states to the same topic.
func TestGateRollouts(t *testing.T) {
	for name, faults := range map[string]map[string]server.Fault{
		"good version":    {"enquiry": server.NoFault},
		"bad version":     {"enquiry": server.CutHead},
		"good beside bad": {"enquiry": server.NoFault, "archive": server.CutHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t, slices.Sorted(maps.Keys(faults))...)
			for service, fault := range faults {
				s.add(service, "v2", fault)
			}
			var bad []string
			for service := range faults {
				s.order(service, "v2")
			}
			for service, fault := range faults {
				want := completed
				if fault != server.NoFault {
					want, bad = rolledBack, append(bad, service)
				}
				s.assertInTime(service, s.waitStates(service, "v2", want))
			}
			s.finish(1, bad...)
		})
	}
}

// Guards against a state that is lost, or written twice or wrongly, when the owner is killed right before its write takes effect
// (the store refuses it) or right after (the answer is lost).
func TestGateRolloutOwnerKilledAtItsWrite(t *testing.T) {
	for name, c := range map[string]struct {
		mode  store.Mode
		fault server.Fault
		stage string // after which the store fails, none for the time before the order
		want  []string
	}{
		"before active":      {store.ReadOnly, server.NoFault, "", completed},
		"after active":       {store.Lost, server.NoFault, "", completed},
		"before complete":    {store.ReadOnly, server.NoFault, "moving", completed},
		"after complete":     {store.Lost, server.NoFault, "moving", completed},
		"before rolled back": {store.ReadOnly, server.CutHead, "canary", rolledBack},
		"after rolled back":  {store.Lost, server.CutHead, "canary", rolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t, "enquiry")
			added := s.add("enquiry", "v2", server.NoFault)
			if c.stage == "" {
				s.failStates(c.mode)
			}
			s.order("enquiry", "v2")
			if c.stage != "" {
				s.waitLogged("rollout stage", `"stage":"`+c.stage+`"`)
				s.waitLogged("rollout state written", `"state":"active"`)
				s.failStates(c.mode)
				s.sendCommand(map[string]any{"Fault": c.fault, "FaultOf": added})
			}
			s.killHost(s.waitLogged("rollout state not stored", `"call":"write"`))
			s.failStates(store.Up)
			s.assertInTime("enquiry", s.waitStates("enquiry", "v2", c.want))
			s.finish(0.95) // the killed host cuts requests
		})
	}
}

// Guards against a rollout that waits for the store, and against states that are lost or repeated, when the store fails for the
// states of orders: it is down, takes 2 s for an answer, or loses the answers to writes. It fails from before the order, or
// from a stage on.
func TestGateRolloutStoreFails(t *testing.T) {
	for name, c := range map[string]struct {
		mode  store.Mode
		stage string
		until string // part of the log line at which the store recovers, none if it does not
	}{
		"down from the beginning":           {store.Busy, "", `"stage":"moved"`},
		"silent from the beginning":         {store.Silent, "", `"stage":"moved"`},
		"slow from the beginning":           {store.VerySlow, "", ""},
		"answers lost from the beginning":   {store.Lost, "", ""},
		"down while it moves":               {store.Busy, "moving", `"wanted":"complete"`},
		"slow while it moves":               {store.VerySlow, "moving", ""},
		"answers lost while it moves":       {store.Lost, "moving", ""},
		"late in effect from the beginning": {store.Late, "", ""},
		"silent while it moves":             {store.Silent, "moving", `"stage":"moved"`},
		"down in the canary stage":          {store.Busy, "canary", `"stage":"moving"`},
		"slow in the canary stage":          {store.VerySlow, "canary", ""},
		"answers lost in the canary stage":  {store.Lost, "canary", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t, "enquiry")
			s.add("enquiry", "v2", server.NoFault)
			if c.stage == "" {
				s.failStates(c.mode)
			}
			s.order("enquiry", "v2")
			if c.stage != "" {
				s.waitLogged("rollout stage", `"stage":"`+c.stage+`"`)
				s.failStates(c.mode)
			}
			if c.until != "" {
				s.waitLogged(`"msg":"rollout st`, c.until)
				s.failStates(store.Up)
			}
			wants := [][]string{completed}
			if c.stage == "" && c.until != "" {
				// The state active may be left out: the store is back just before the order is complete.
				wants = append(wants, completed[1:])
			}
			s.assertInTime("enquiry", s.waitAnyStates("enquiry", "v2", wants...))
			s.finish(1)
		})
	}
}

// Guards against orders that do not end in time, or badly, when the upstreams of their version start late or never, or when they
// name an unknown version or the one that runs; and against an order that begins anew when it comes twice.
func TestGateRolloutOddOrders(t *testing.T) {
	for name, c := range map[string]struct {
		version string
		after   time.Duration // until the upstreams start, 0 if they don't
		twice   bool
		want    []string
	}{
		"late upstreams":  {"v2", orderTime / 3, false, completed},
		"never":           {"v2", 0, false, rolledBack},
		"current version": {"v1", 0, false, completed},
		"comes twice":     {"v2", time.Millisecond, true, completed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t, "enquiry")
			s.order("enquiry", c.version)
			if c.after > 0 {
				time.Sleep(c.after)
				s.add("enquiry", c.version, server.NoFault)
			}
			if c.twice {
				time.Sleep(orderTime / 3)
				s.order("enquiry", c.version)
			}
			s.assertInTime("enquiry", s.waitStates("enquiry", c.version, c.want))
			if c.twice {
				s.order("enquiry", c.version)
				time.Sleep(2 * time.Second)
				s.waitStates("enquiry", c.version, c.want)
			}
			s.finish(1)
		})
	}
}

// Guards against an order that goes on after it was removed, and against states of the order before when it changes.
func TestGateRolloutOrderChanges(t *testing.T) {
	for name, next := range map[string]string{"removed": "", "other version": "v3"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t, "enquiry")
			s.add("enquiry", "v2", server.NoFault)
			s.order("enquiry", "v2")
			s.waitLogged("rollout stage", `"stage":"canary"`)
			s.waitStates("enquiry", "v2", completed[:1])
			if next != "" {
				s.add("enquiry", next, server.NoFault)
			}
			delete(s.ordered, "enquiry")
			s.order("enquiry", next)
			if next != "" {
				s.assertInTime("enquiry", s.waitStates("enquiry", next, completed))
			} else {
				time.Sleep(orderTime)
			}
			s.waitStates("enquiry", "v2", completed[:1])
			s.finish(1)
		})
	}
}
