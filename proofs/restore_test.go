package proofs

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"sardinecross.example/platform/standin/server"
)

const (
	// copyAge is the age of the copy from which the store is restored, awayTime how long hosts can't reach it meanwhile.
	copyAge  = 10 * time.Second
	awayTime = time.Second
	// changeBound is the time in which hosts obey a change once the store has been stable for stableTime.
	changeBound = 2 * time.Second
	stableTime  = 3 * time.Second
)

// restoreStore takes the store away from the hosts, restores it from a copy, runs written meanwhile, and brings the store back.
func (s *gateSite) restoreStore(rewrite bool, written func()) {
	s.T.Helper()
	s.sendCommand(map[string]any{"Store": "reset"})
	s.sendCommand(map[string]any{"RestoreMS": copyAge.Milliseconds(), "Rewrite": rewrite})
	written()
	time.Sleep(awayTime)
	s.sendCommand(map[string]any{"Store": "up"})
}

// commandEach sends a command of the given name for each of some upstreams.
func (s *gateSite) commandEach(name string, ids []string) {
	s.T.Helper()
	for _, id := range ids {
		s.sendCommand(map[string]any{name: id})
	}
}

// assertRoute checks that all live hosts serve a path.
func (s *gateSite) assertRoute(l *gateLoad, path string) {
	s.T.Helper()
	for _, h := range s.hosts {
		if !h.alive.Load() {
			continue
		}
		if a := l.send(http.DefaultClient, h, "enquiry", path); a.Status != http.StatusOK {
			s.T.Errorf("host %s answers a request to %s with status %d, want 200", h.ID, path, a.Status)
		}
	}
}

// asEnquiries returns the runs with the given paths as ones of the service enquiry.
func asEnquiries(runs []server.Run, paths ...string) {
	for i := range runs {
		for _, path := range paths {
			if strings.HasPrefix(runs[i].Path, path) {
				runs[i].Path = "/enquiry/"
			}
		}
	}
}

// Guards against hosts that miss confirmed changes of the configuration after the store was restored from a copy, because its log is
// shorter than before or has reached its old end again, and against a host that starts meanwhile with the configuration of the copy.
func TestGateConfigurationAfterTheStoreWasRestored(t *testing.T) {
	const storm = 6 // configurations that are lost, of which the newest is written again
	for name, c := range map[string]struct {
		// prefixes are those of a configuration that is written before hosts reach the store, and further the records after it.
		prefixes []string
		further  int
	}{
		"fewer records written again": {prefixes: []string{"/first/"}},
		"old end reached again":       {prefixes: []string{"/first/", "/second/"}, further: storm},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newGateSite(t, 2)
			l := s.startLoad(4)
			time.Sleep(copyAge) // the copy holds the records of the start
			for range storm {
				s.sendCommand(map[string]any{"Prefixes": c.prefixes[:1]})
			}
			time.Sleep(changeBound)
			s.assertRoute(l, "/first/")
			s.restoreStore(true, func() {
				s.sendCommand(map[string]any{"Prefixes": c.prefixes})
				for range c.further {
					s.sendCommand(map[string]any{"Out": "elsewhere"})
				}
			})
			h := s.hosts[0]
			s.killHost(h)
			s.startHost(h)
			time.Sleep(stableTime)
			for _, prefix := range c.prefixes {
				s.assertRoute(l, prefix)
			}
			prefixes := append(c.prefixes, "/later/")
			s.sendCommand(map[string]any{"Prefixes": prefixes})
			time.Sleep(changeBound)
			s.assertRoute(l, "/later/")
			answers := l.stop()
			seen := s.platformStats()
			asEnquiries(seen.Runs, prefixes...)
			assertInvariants(t, answers, seen)
			assertServed(t, answers, 0.8) // the killed host cuts requests
		})
	}
}

// Guards against requests to upstreams that left before the store was restored from a copy in which they are still listed, or after it,
// and against requests that fail because live upstreams are missing from the copy. A host that starts meanwhile knows the copy alone at
// first, and may own a service.
func TestGateUpstreamsLeavingAfterTheStoreWasRestored(t *testing.T) {
	for name, restarted := range map[string]int{"all hosts run on": 0, "a host starts meanwhile": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newGateSite(t, 2)
			l := s.startLoad(4)
			time.Sleep(copyAge)
			upstreams := s.platformStats().Upstreams
			gone, leaving := upstreams["booking/passau"][:2], upstreams["booking/landshut"]
			s.sendCommand(map[string]any{"Add": "enquiry", "AddZone": "landshut"})
			s.commandEach("Drain", gone)
			time.Sleep(time.Second)
			s.commandEach("Leave", gone)
			goneSince := time.Now()
			time.Sleep(changeBound)
			s.restoreStore(true, func() {})
			for _, h := range s.hosts[:restarted] {
				s.killHost(h)
				s.startHost(h)
			}
			time.Sleep(stableTime)
			s.commandEach("Drain", leaving)
			leavingSince := time.Now()
			time.Sleep(2 * changeBound)
			answers := l.stop()
			seen := s.platformStats()
			assertInvariants(t, answers, seen)
			assertServed(t, answers, 1-0.2*float64(restarted)) // a killed host cuts requests
			assertNoRunsAfter(t, seen, goneSince.Add(changeBound), func(r server.Run) bool { return slices.Contains(gone, r.Upstream) })
			assertNoRunsAfter(t, seen, leavingSince.Add(changeBound), func(r server.Run) bool { return slices.Contains(leaving, r.Upstream) })
		})
	}
}
