package proofs

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	callers "sardinecross.example/platform/standin/caller"
	"sardinecross.example/platform/standin/users"
)

// maxColdRequestsPerSecond is the most requests that a cold upstream may get within any second. The users' sites allow 1.5
// times the rate in the configuration, and 5 requests more.
const maxColdRequestsPerSecond = users.ColdPerSecond*1.5 + 5

// arrivalTimes returns, by upstream ID, the sorted times at which requests of a service reached the upstream.
func arrivalTimes(seen users.Stats, service string) map[string][]time.Time {
	at := map[string][]time.Time{}
	for _, r := range seen.Runs {
		if r.Service == service {
			at[r.Upstream] = append(at[r.Upstream], r.At)
		}
	}
	for _, list := range at {
		slices.SortFunc(list, time.Time.Compare)
	}
	return at
}

// maxWithinWindow returns the greatest number of times in a sorted list that lie within one window of the given length.
func maxWithinWindow(list []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range list {
		for list[i].Sub(list[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against retries that multiply the load of a service whose upstreams all fail, also while hosts restart and the
// ownership of upstreams moves.
func TestGateRetryBudget(t *testing.T) {
	s := newGateSite(t, 2)
	for _, zone := range []string{"passau", "landshut"} {
		for _, id := range s.platformStats().Upstreams["enquiry/"+zone] {
			s.sendCommand(map[string]any{"Drop": id})
		}
	}
	l := s.startLoad(8, "enquiry")
	for _, h := range s.hosts[:2] {
		time.Sleep(2 * time.Second)
		s.killHost(h)
		s.startHost(h)
	}
	time.Sleep(2 * time.Second) // the whole load stays within one retry window of 10 s
	answers := l.stop()
	runs := 0
	for _, list := range arrivalTimes(s.platformStats(), "enquiry") {
		runs += len(list)
	}
	requestIDs := map[string]bool{}
	for _, r := range s.platformStats().Runs {
		requestIDs[r.ID] = true
	}
	retries, bound := runs-len(requestIDs), users.RetryRatio*float64(len(answers))+users.RetrySlack
	if retries == 0 {
		t.Error("no request was retried")
	}
	if float64(retries) > bound {
		t.Errorf("%d retries of %d requests, want at most %.0f", retries, len(answers), bound)
	}
}

// Guards against cold upstreams that get the full load because the only warm ones are out of service, also while hosts
// restart and the ownership of upstreams moves.
func TestGateColdRate(t *testing.T) {
	s := newGateSite(t, 2)
	for _, id := range s.platformStats().Upstreams["enquiry/passau"] {
		s.sendCommand(map[string]any{"Chill": id, "ColdMS": 8000})
	}
	time.Sleep(500 * time.Millisecond) // until probes have shown that they are cold
	s.sendCommand(map[string]any{"Out": "landshut"})
	time.Sleep(time.Second)
	l := s.startLoad(8, "enquiry")
	for _, h := range s.hosts {
		time.Sleep(time.Second)
		s.killHost(h)
		s.startHost(h)
	}
	time.Sleep(time.Second)
	assertInvariants(t, l.stop(), s.platformStats())
	s.assertColdRate(t, "enquiry")
}

// Guards against cold upstreams that get the whole cold rate from each host when all hosts start together: until they have heard
// that others are ready, each may take itself for the owner of the service.
func TestGateColdRateWhenAllHostsStart(t *testing.T) {
	s := newGateSite(t, 6)
	for _, id := range s.platformStats().Upstreams["enquiry/passau"] {
		s.sendCommand(map[string]any{"Chill": id, "ColdMS": 15_000})
	}
	s.sendCommand(map[string]any{"Out": "landshut"})
	time.Sleep(time.Second)
	l := s.startLoad(24, "enquiry")
	for range 3 {
		for _, h := range s.hosts {
			s.killHost(h)
		}
		for _, h := range s.hosts {
			s.startHost(h)
		}
		time.Sleep(3 * time.Second)
	}
	assertInvariants(t, l.stop(), s.platformStats())
	s.assertColdRate(t, "enquiry")
}

// assertColdRate checks that the upstreams of a service got requests, and each no more than a cold one may get within a second.
func (s *gateSite) assertColdRate(t *testing.T, service string) {
	t.Helper()
	at := arrivalTimes(s.platformStats(), service)
	if len(at) == 0 {
		t.Error("cold upstreams got no requests")
	}
	for id, list := range at {
		if n := maxWithinWindow(list, time.Second); float64(n) > maxColdRequestsPerSecond {
			t.Errorf("cold upstream %s got %d requests within a second, want at most %.1f", id, n, maxColdRequestsPerSecond)
		}
	}
}

// Guards against queries that fail or are answered late because an upstream stalls without reporting an error.
func TestGateStalledUpstream(t *testing.T) {
	s := newGateSite(t, 2)
	l := s.startLoad(8, "enquiry")
	time.Sleep(500 * time.Millisecond)
	s.sendCommand(map[string]any{"WorkMS": 10_000, "Of": s.platformStats().Upstreams["enquiry/passau"][0]})
	time.Sleep(3 * time.Second)
	answers := l.stop()
	assertInvariants(t, answers, s.platformStats())
	assertServed(t, answers, 1)
}

// Guards against a host that stops serving because its log output blocks: its output is a pipe that is full and not read.
func TestGateLogReaderStopped(t *testing.T) {
	s := newGateSite(t, 1)
	h := s.hosts[rand.IntN(len(s.hosts))]
	s.killHost(h)
	// StartProcess opens this pipe as the output of the next process. It stays open and is never read.
	path := s.Path(h.ID + ".out")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	s.startHost(h)
	if err := os.Remove(path); err != nil { // after a failure the test would read the output by this path and block
		t.Fatal(err)
	}
	s.waitReady()
	l := s.startLoad(8)
	time.Sleep(12 * time.Second) // at 150 lines a second, the log queue and the pipe are full before that
	answers := l.stop()
	assertInvariants(t, answers, s.platformStats())
	assertServed(t, answers, 1)
	if ready, err := callers.Ready(t.Context(), http.DefaultClient, h.ReadyAddress()); err != nil || !ready {
		t.Errorf("host %s: ready is %v, error %v, want true", h.ID, ready, err)
	}
	h.Signal(syscall.SIGTERM)
	select {
	case <-h.Done:
	case <-time.After(gateGrace):
		t.Errorf("host %s did not stop within its grace of %v", h.ID, gateGrace)
	}
}
