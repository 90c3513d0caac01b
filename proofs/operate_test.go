package proofs

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/conf"
)

// outBound is the time within which no host sends new work to what operators took out, or to what the host list calls leaving.
const outBound = 5 * time.Second

// lastWork returns the time of the last new work of the upstreams that match.
func (s *site) lastWork(match func(w workerStats) bool) time.Time {
	s.t.Helper()
	var last int64
	for _, w := range s.workers() {
		if match(w) {
			last = max(last, w.LastWork)
		}
	}
	return time.UnixMilli(last)
}

// checkQuiet checks that the upstreams that match got no new work from the bound on, while traffic goes on long after it.
func (s *site) checkQuiet(t *testing.T, since time.Time, what string, match func(w workerStats) bool) {
	t.Helper()
	after(time.Until(since.Add(outBound + 3*time.Second)))
	last := s.lastWork(match)
	t.Logf("%s: last new work %v after the act", what, last.Sub(since).Round(time.Millisecond))
	if last.After(since.Add(outBound)) {
		t.Errorf("%s: new work %v after the act, want none after %v", what, last.Sub(since), outBound)
	}
}

// TestDataCentreOut guards against new work for a data centre that was taken out, from hosts that cannot know or were not
// running at the time.
func TestDataCentreOut(t *testing.T) {
	t.Parallel()
	holds(t, centreOut, "host cut off from the log and all hosts", "host cut off from the log alone", "host frozen and resumed",
		"host started while the log is down", "data centre brought back")
	s := newSite(t, layout{
		dataCentres: hofbauer.dataCentres, hostsEach: 2, workers: map[string]int{"enquiry": 2, "booking": 1}, links: true, warm: true,
	})
	all := s.traffic(load{consultations: 8, orders: 4, pause: 2 * time.Millisecond})
	// Callers that keep to one host each put work on every host, whatever it answers.
	for _, h := range s.hosts {
		s.traffic(load{consultations: 2, pause: 2 * time.Millisecond, direct: []string{h.callers}})
	}
	inLandshut := func(w workerStats) bool { return w.DataCentre == "landshut" }
	s.wait("work in the data centre", func() bool { return !s.lastWork(inLandshut).Before(all.begun) })
	cutOff, logless, frozen, late := s.hosts[2], s.hosts[0], s.hosts[1], s.hosts[5]
	s.isolate(cutOff, true)
	logless.logLink.both(true)
	frozen.signal(syscall.SIGSTOP)
	s.kill(late)
	// The bound counts from before the act, since the program returns only when it has asked every host.
	since := time.Now()
	s.operate("out", "dataCentre", "landshut")
	s.control(s.logControl(), `{"down": true}`)
	s.start(late)
	after(2 * time.Second)
	frozen.signal(syscall.SIGCONT)
	s.checkQuiet(t, since, "data centre out", inLandshut)
	before := all.count("consultations", served)
	s.wait("other data centres to serve", func() bool { return all.count("consultations", served) > before+100 })
	clearLog(s)
	s.isolate(cutOff, false)
	logless.logLink.both(false)
	back := time.Now()
	s.operate("back", "dataCentre", "landshut").ok()
	s.wait("work in the data centre that is back", func() bool { return s.lastWork(inLandshut).After(back) })
	all.stop()
	all.checkOrders(t)
}

// TestUpstreamOut guards against new work for an upstream that leaves, by the host list or by the operators' act.
func TestUpstreamOut(t *testing.T) {
	t.Parallel()
	holds(t, upstreamOut, "listed as leaving", "listed as leaving with a host frozen", "taken out by operators",
		"taken out with the owner killed", "host list down after the change")
	s := newSite(t, layout{
		dataCentres: []string{"passau", "landshut"}, hostsEach: 2, workers: map[string]int{"enquiry": 3, "booking": 1}, warm: true,
	})
	for _, h := range s.hosts {
		s.traffic(load{consultations: 3, pause: 2 * time.Millisecond, direct: []string{h.callers}})
	}
	is := func(id string) func(w workerStats) bool {
		return func(w workerStats) bool { return w.ID == id }
	}
	begun := time.Now()
	s.wait("work at all upstreams", func() bool {
		for i := 1; i <= 3; i++ {
			if s.lastWork(is(fmt.Sprintf("enquiry-passau-%d", i))).Before(begun) {
				return false
			}
		}
		return true
	})
	frozen := s.hosts[1]
	frozen.signal(syscall.SIGSTOP)
	s.control(s.listControl(), `{"set": [{"id": "enquiry-passau-1", "state": "leaving"}]}`)
	since := time.Now()
	after(time.Second)
	s.control(s.listControl(), `{"down": true}`)
	frozen.signal(syscall.SIGCONT)
	s.checkQuiet(t, since, "leaving by the host list", is("enquiry-passau-1"))
	since = time.Now()
	s.operate("out", "upstream", "enquiry-passau-2").ok()
	s.kill(s.host(s.ownerOf("enquiry-passau-2")))
	s.checkQuiet(t, since, "taken out by operators", is("enquiry-passau-2"))
}

// ownerOf returns the owner of an upstream in the view of the first live host.
func (s *site) ownerOf(id string) string {
	s.t.Helper()
	st, err := s.status(s.live()[0])
	if err != nil {
		s.t.Fatal(err)
	}
	for _, u := range st.Upstreams {
		if u.ID == id {
			return u.Owner
		}
	}
	s.t.Fatalf("no upstream %s", id)
	return ""
}

// watchVersions polls the version on every host and fails if one incarnation ever goes back.
func (s *site) watchVersions(t *testing.T) (stop func()) {
	var done atomic.Bool
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var last hostStatus
			for !done.Load() {
				st, err := s.status(h)
				if err == nil && st.Incarnation == last.Incarnation && st.Configuration.Version < last.Configuration.Version {
					t.Errorf("%s went back from version %d to %d", h.id, last.Configuration.Version, st.Configuration.Version)
				}
				if err == nil {
					last = st
				}
				after(20 * time.Millisecond)
			}
		}()
	}
	return func() {
		done.Store(true)
		wg.Wait()
	}
}

// target returns the target of a class that a host has in force.
func (s *site) target(h *host, class string) string {
	st, err := s.status(h)
	if err != nil {
		return ""
	}
	for _, c := range st.Classes {
		if c.Name == class {
			return c.Target
		}
	}
	return ""
}

// TestConfiguration guards against an accepted configuration that does not reach a host, that reverts, or that two racing
// operators both believe to be theirs.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	holds(t, configuration, "operators race on one item", "operators race on two items", "answer of the log lost",
		"log down", "hosts cut off from the log", "every host replaced", "records past retention", "host started while the log is down")
	s := newSite(t, layout{
		dataCentres: []string{"passau", "landshut"}, hostsEach: 2, workers: map[string]int{"booking": 1}, links: true, warm: true,
		retention: `{"age": "10m", "records": 40}`,
	})
	stop := s.watchVersions(t)
	set := func(class, target string) ctlResult {
		return s.operate("class", "set", class, "-service", "booking", "-target", target, "-deadline", "2s", "-rank", "1")
	}
	inForce := func(class, target string, hosts []*host) {
		t.Helper()
		since := time.Now()
		s.wait(class+" "+target+" to be in force", func() bool {
			for _, h := range hosts {
				if s.target(h, class) != target {
					return false
				}
			}
			return true
		})
		t.Logf("%s %s in force after %v", class, target, time.Since(since).Round(time.Millisecond))
	}
	race := func(classes ...string) (codes []int) {
		var wg sync.WaitGroup
		codes = make([]int, len(classes))
		for i, class := range classes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				codes[i] = set(class, fmt.Sprintf("%dms", 200+i)).code
			}()
		}
		wg.Wait()
		return codes
	}
	for range 3 {
		codes := race("orders", "orders", "orders")
		for i, code := range codes {
			if code != 0 && code != 3 {
				t.Errorf("racing operator %d exited with %d, want 0 or 3", i, code)
			}
		}
		winners := map[string]bool{}
		for _, h := range s.hosts {
			winners[s.target(h, "orders")] = true
		}
		if len(winners) != 1 {
			t.Errorf("hosts disagree after a race: %v", winners)
		}
	}
	s.checkSameBase(t)
	if codes := race("orders", "deposits"); codes[0] != 0 || codes[1] != 0 {
		t.Errorf("operators racing on two items exited with %v, want success for both", codes)
	}
	s.control(s.logControl(), `{"loseAnswers": {"next": 1}}`)
	set("orders", "301ms").ok()
	inForce("orders", "301ms", s.hosts)
	s.control(s.logControl(), `{"down": true}`)
	if r := set("orders", "302ms"); r.code == 0 {
		t.Errorf("the operators' program reported success while the log was down")
	}
	s.kill(s.hosts[1])
	s.start(s.hosts[1])
	inForce("orders", "301ms", s.hosts)
	clearLog(s)
	s.hosts[0].logLink.both(true)
	s.hosts[2].logLink.both(true)
	set("orders", "303ms").ok()
	inForce("orders", "303ms", s.hosts)
	s.hosts[0].logLink.both(false)
	s.hosts[2].logLink.both(false)
	for i := range 30 {
		set("deposits", fmt.Sprintf("%dms", 400+i)).ok()
	}
	for _, h := range s.hosts {
		s.kill(h)
		s.start(h)
		inForce("orders", "303ms", []*host{h})
		inForce("deposits", "429ms", []*host{h})
	}
	stop()
}

// checkSameBase appends two proposals that were made on the same version; only the first may come into force.
func (s *site) checkSameBase(t *testing.T) {
	t.Helper()
	log := applog.New(s.logAddr())
	defer log.Close()
	item := conf.ClassItem("races")
	for _, target := range []time.Duration{501 * time.Millisecond, 502 * time.Millisecond} {
		data, err := conf.NewProposal(conf.Proposal{
			ID: conf.ProposalID(target.String()), Item: item, Base: conf.NoVersion,
			Value: conf.Value{Class: conf.Class{Service: "booking", Target: target, Deadline: 2 * time.Second, Rank: 1}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), "config", data); err != nil {
			t.Fatal(err)
		}
	}
	s.operate("class", "set", "after", "-service", "booking", "-target", "90ms", "-deadline", "2s", "-rank", "1").ok()
	for _, h := range s.hosts {
		s.wait("the second proposal to be decided on "+h.id, func() bool { return s.target(h, "after") != "" })
		if got := s.target(h, "races"); got != "501ms" {
			t.Errorf("%s has %q in force after two proposals on one version, want the first", h.id, got)
		}
	}
}

// TestPlannedStop guards against requests that are cut or needlessly refused by a planned stop, for callers that keep to the
// lifetime of address answers, while every host is replaced in turn.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	holds(t, plannedStop, "one host stopped under load", "rolling replacement of every host")
	s := newSite(t, layout{
		dataCentres: []string{"passau", "landshut"}, hostsEach: 2, workers: map[string]int{"enquiry": 3, "booking": 3}, warm: true,
	})
	tr := s.traffic(load{orders: 4, consultations: 6, pause: 5 * time.Millisecond})
	s.wait("traffic", func() bool {
		return tr.count("consultations", served) > 300 && tr.count("orders", served) > 100
	})
	tr.mu.Lock()
	tr.counts = map[string]map[outcome]int{"orders": {}, "consultations": {}}
	tr.codes = map[string]int{}
	tr.mu.Unlock()
	for _, h := range s.hosts {
		s.dead[h.id] = true
		h.signal(syscall.SIGTERM)
		<-h.done
		s.start(h)
		s.wait(h.id+" to be back", func() bool {
			st, err := s.status(h)
			return err == nil && st.InService
		})
		after(2 * time.Second)
	}
	tr.stop()
	tr.checkOrders(t)
	for _, class := range []string{"orders", "consultations"} {
		if n := tr.count(class, notRun) + tr.count(class, unknown); n > 0 {
			t.Errorf("%d %s of %d were not served: %v", n, class, n+tr.count(class, served), tr.codes)
		}
	}
}
