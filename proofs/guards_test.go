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

// gateColdBound is the most requests that a cold upstream may get within a second: the users' sites allow
// the rate that the configuration states times 1.5, and 5 more.
const gateColdBound = users.ColdPerSecond*1.5 + 5

// arrivals returns when requests of a service reached each upstream, in order.
func arrivals(seen users.Stats, service string) map[string][]time.Time {
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

// mostWithin returns the most times of an ordered list within a window.
func mostWithin(list []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range list {
		for list[i].Sub(list[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against repeats that multiply the load of a service whose upstreams all fail, also while owners change.
func TestGateRetryBudget(t *testing.T) {
	s := newGateSite(t, 2)
	for _, zone := range []string{"passau", "landshut"} {
		for _, id := range s.seen().Upstreams["enquiry/"+zone] {
			s.command(map[string]any{"Drop": id})
		}
	}
	l := s.load(8, "enquiry")
	for _, h := range s.gates[:2] {
		time.Sleep(2 * time.Second)
		s.killGate(h)
		s.startGate(h)
	}
	time.Sleep(2 * time.Second) // all within one window of 10 s
	answers := l.stop()
	runs := 0
	for _, list := range arrivals(s.seen(), "enquiry") {
		runs += len(list)
	}
	first := map[string]bool{}
	for _, r := range s.seen().Runs {
		first[r.ID] = true
	}
	repeats, bound := runs-len(first), users.RetryRatio*float64(len(answers))+users.RetrySlack
	if repeats == 0 {
		t.Error("nothing was repeated")
	}
	if float64(repeats) > bound {
		t.Errorf("%d repeats of %d requests, the bound is %.0f", repeats, len(answers), bound)
	}
}

// Guards against cold upstreams that get the full load because nothing else is left, also while owners change.
func TestGateColdRate(t *testing.T) {
	s := newGateSite(t, 2)
	for _, id := range s.seen().Upstreams["enquiry/passau"] {
		s.command(map[string]any{"Chill": id, "ColdMS": 8000})
	}
	time.Sleep(500 * time.Millisecond) // probes tell that they are cold
	s.command(map[string]any{"Out": "landshut"})
	time.Sleep(time.Second)
	l := s.load(8, "enquiry")
	for _, h := range s.gates {
		time.Sleep(time.Second)
		s.killGate(h)
		s.startGate(h)
	}
	time.Sleep(time.Second)
	assertPromises(t, l.stop(), s.seen())
	at := arrivals(s.seen(), "enquiry")
	if len(at) == 0 {
		t.Error("cold upstreams got nothing")
	}
	for id, list := range at {
		if n := mostWithin(list, time.Second); float64(n) > gateColdBound {
			t.Errorf("cold upstream %s got %d requests within a second, the bound is %.1f", id, n, gateColdBound)
		}
	}
}

// Guards against queries that fail or come late with an upstream that stalls without a sign.
func TestGateStalledUpstream(t *testing.T) {
	s := newGateSite(t, 2)
	l := s.load(8, "enquiry")
	time.Sleep(500 * time.Millisecond)
	s.command(map[string]any{"WorkMS": 10_000, "Of": s.seen().Upstreams["enquiry/passau"][0]})
	time.Sleep(3 * time.Second)
	answers := l.stop()
	assertPromises(t, answers, s.seen())
	assertServed(t, answers, 1)
}

// Guards against a host that stops serving because nobody reads its log.
func TestGateLogReaderStopped(t *testing.T) {
	s := newGateSite(t, 1)
	h := s.gates[rand.IntN(len(s.gates))]
	s.killGate(h)
	// The output of the next process is a pipe that is open and never read.
	path := s.Path(h.ID + ".out")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	s.startGate(h)
	if err := os.Remove(path); err != nil { // a failure would read it
		t.Fatal(err)
	}
	s.waitReady()
	l := s.load(8)
	time.Sleep(12 * time.Second) // at 150 lines a second, queue and pipe are full before that
	answers := l.stop()
	assertPromises(t, answers, s.seen())
	assertServed(t, answers, 1)
	if ready, err := callers.Ready(t.Context(), http.DefaultClient, h.ReadyAddress()); err != nil || !ready {
		t.Errorf("ready %v, %v", ready, err)
	}
	h.Signal(syscall.SIGTERM)
	select {
	case <-h.Done:
	case <-time.After(gateGrace):
		t.Error("the host did not end within its grace")
	}
}
