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

	"sardinecross.example/proofs/site"
)

// outBound is the time within which no host sends new work to what operators took out, or to what the host list calls leaving.
const outBound = 5 * time.Second

// lastWork returns the time of the last new work of the upstreams that match.
func (s *proof) lastWork(match func(w site.WorkerStats) bool) time.Time {
	s.T.Helper()
	var last int64
	for _, w := range s.Workers() {
		if match(w) {
			last = max(last, w.LastWork)
		}
	}
	return time.UnixMilli(last)
}

// checkQuiet checks that the upstreams that match got no new work from the bound on, while traffic goes on long after it.
func (s *proof) checkQuiet(t *testing.T, since time.Time, what string, match func(w site.WorkerStats) bool) {
	t.Helper()
	site.After(time.Until(since.Add(outBound + 3*time.Second)))
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
	s := newSite(t, site.Layout{
		DataCentres: site.Hofbauer.DataCentres, HostsEach: 2, Workers: map[string]int{"enquiry": 2, "booking": 1}, Links: true, Warm: true,
	})
	all := s.traffic(load{consultations: 8, orders: 4, pause: 2 * time.Millisecond})
	// Callers that keep to one host each put work on every host, whatever it answers.
	for _, h := range s.Hosts {
		s.traffic(load{consultations: 2, pause: 2 * time.Millisecond, direct: []string{h.Callers}})
	}
	inLandshut := func(w site.WorkerStats) bool { return w.DataCentre == "landshut" }
	s.Wait("work in the data centre", func() bool { return !s.lastWork(inLandshut).Before(all.begun) })
	cutOff, logless, frozen, late := s.Hosts[2], s.Hosts[0], s.Hosts[1], s.Hosts[5]
	s.Isolate(cutOff, true)
	logless.LogLink.Both(true)
	frozen.Signal(syscall.SIGSTOP)
	s.Kill(late)
	// The bound counts from before the act, since the program returns only when it has asked every host.
	since := time.Now()
	s.Operate("out", "dataCentre", "landshut")
	s.Control(s.LogControl(), `{"down": true}`)
	s.Start(late)
	site.After(2 * time.Second)
	frozen.Signal(syscall.SIGCONT)
	s.checkQuiet(t, since, "data centre out", inLandshut)
	before := all.count("consultations", served)
	s.Wait("other data centres to serve", func() bool { return all.count("consultations", served) > before+100 })
	clearLog(s)
	s.Isolate(cutOff, false)
	logless.LogLink.Both(false)
	back := time.Now()
	s.Operate("back", "dataCentre", "landshut").OK()
	s.Wait("work in the data centre that is back", func() bool { return s.lastWork(inLandshut).After(back) })
	all.stop()
	all.checkOrders(t)
}

// TestUpstreamOut guards against new work for an upstream that leaves, by the host list or by the operators' act.
func TestUpstreamOut(t *testing.T) {
	t.Parallel()
	holds(t, upstreamOut, "listed as leaving", "listed as leaving with a host frozen", "taken out by operators",
		"taken out with the owner killed", "host list down after the change")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsEach: 2, Workers: map[string]int{"enquiry": 3, "booking": 1}, Warm: true,
	})
	for _, h := range s.Hosts {
		s.traffic(load{consultations: 3, pause: 2 * time.Millisecond, direct: []string{h.Callers}})
	}
	is := func(id string) func(w site.WorkerStats) bool {
		return func(w site.WorkerStats) bool { return w.ID == id }
	}
	begun := time.Now()
	s.Wait("work at all upstreams", func() bool {
		for i := 1; i <= 3; i++ {
			if s.lastWork(is(fmt.Sprintf("enquiry-passau-%d", i))).Before(begun) {
				return false
			}
		}
		return true
	})
	frozen := s.Hosts[1]
	frozen.Signal(syscall.SIGSTOP)
	s.Control(s.ListControl(), `{"set": [{"id": "enquiry-passau-1", "state": "leaving"}]}`)
	since := time.Now()
	site.After(time.Second)
	s.Control(s.ListControl(), `{"down": true}`)
	frozen.Signal(syscall.SIGCONT)
	s.checkQuiet(t, since, "leaving by the host list", is("enquiry-passau-1"))
	since = time.Now()
	s.Operate("out", "upstream", "enquiry-passau-2").OK()
	s.Kill(s.Host(s.ownerOf("enquiry-passau-2")))
	s.checkQuiet(t, since, "taken out by operators", is("enquiry-passau-2"))
}

// ownerOf returns the owner of an upstream in the view of the first live host.
func (s *proof) ownerOf(id string) string {
	s.T.Helper()
	st, err := s.Status(s.Live()[0])
	if err != nil {
		s.T.Fatal(err)
	}
	for _, u := range st.Upstreams {
		if u.ID == id {
			return u.Owner
		}
	}
	s.T.Fatalf("no upstream %s", id)
	return ""
}

// watchVersions polls the version on every host and fails if one incarnation ever goes back.
func (s *proof) watchVersions(t *testing.T) (stop func()) {
	var done atomic.Bool
	var wg sync.WaitGroup
	for _, h := range s.Hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var last site.HostStatus
			for !done.Load() {
				st, err := s.Status(h)
				if err == nil && st.Incarnation == last.Incarnation && st.Configuration.Version < last.Configuration.Version {
					t.Errorf("%s went back from version %d to %d", h.ID, last.Configuration.Version, st.Configuration.Version)
				}
				if err == nil {
					last = st
				}
				site.After(20 * time.Millisecond)
			}
		}()
	}
	return func() {
		done.Store(true)
		wg.Wait()
	}
}

// target returns the target of a class that a host has in force.
func (s *proof) target(h *site.Host, class string) string {
	st, err := s.Status(h)
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
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsEach: 2, Workers: map[string]int{"booking": 1}, Links: true, Warm: true,
		Retention: `{"age": "10m", "records": 40}`,
	})
	stop := s.watchVersions(t)
	set := func(class, target string) site.Result {
		return s.Operate("class", "set", class, "-service", "booking", "-target", target, "-deadline", "2s", "-rank", "1")
	}
	inForce := func(class, target string, hosts []*site.Host) {
		t.Helper()
		since := time.Now()
		s.Wait(class+" "+target+" to be in force", func() bool {
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
				codes[i] = set(class, fmt.Sprintf("%dms", 200+i)).Code
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
		for _, h := range s.Hosts {
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
	s.Control(s.LogControl(), `{"loseAnswers": {"next": 1}}`)
	set("orders", "301ms").OK()
	inForce("orders", "301ms", s.Hosts)
	s.Control(s.LogControl(), `{"down": true}`)
	if r := set("orders", "302ms"); r.Code == 0 {
		t.Errorf("the operators' program reported success while the log was down")
	}
	s.Kill(s.Hosts[1])
	s.Start(s.Hosts[1])
	inForce("orders", "301ms", s.Hosts)
	clearLog(s)
	s.Hosts[0].LogLink.Both(true)
	s.Hosts[2].LogLink.Both(true)
	set("orders", "303ms").OK()
	inForce("orders", "303ms", s.Hosts)
	s.Hosts[0].LogLink.Both(false)
	s.Hosts[2].LogLink.Both(false)
	for i := range 30 {
		set("deposits", fmt.Sprintf("%dms", 400+i)).OK()
	}
	for _, h := range s.Hosts {
		s.Kill(h)
		s.Start(h)
		inForce("orders", "303ms", []*site.Host{h})
		inForce("deposits", "429ms", []*site.Host{h})
	}
	stop()
}

// checkSameBase appends two proposals that were made on the same version; only the first may come into force.
func (s *proof) checkSameBase(t *testing.T) {
	t.Helper()
	log := applog.New(s.LogAddr())
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
	s.Operate("class", "set", "after", "-service", "booking", "-target", "90ms", "-deadline", "2s", "-rank", "1").OK()
	for _, h := range s.Hosts {
		s.Wait("the second proposal to be decided on "+h.ID, func() bool { return s.target(h, "after") != "" })
		if got := s.target(h, "races"); got != "501ms" {
			t.Errorf("%s has %q in force after two proposals on one version, want the first", h.ID, got)
		}
	}
}

// TestPlannedStop guards against requests that are cut or needlessly refused by a planned stop, for callers that keep to the
// lifetime of address answers, while every host is replaced in turn.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	holds(t, plannedStop, "one host stopped under load", "rolling replacement of every host")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsEach: 2, Workers: map[string]int{"enquiry": 3, "booking": 3}, Warm: true,
	})
	tr := s.traffic(load{orders: 4, consultations: 6, pause: 5 * time.Millisecond})
	s.Wait("traffic", func() bool {
		return tr.count("consultations", served) > 300 && tr.count("orders", served) > 100
	})
	tr.mu.Lock()
	tr.counts = map[string]map[outcome]int{"orders": {}, "consultations": {}}
	tr.codes = map[string]int{}
	tr.mu.Unlock()
	for _, h := range s.Hosts {
		s.Dead[h.ID] = true
		h.Signal(syscall.SIGTERM)
		<-h.Done
		s.Start(h)
		s.Wait(h.ID+" to be back", func() bool {
			st, err := s.Status(h)
			return err == nil && st.InService
		})
		site.After(2 * time.Second)
	}
	tr.stop()
	tr.checkOrders(t)
	for _, class := range []string{"orders", "consultations"} {
		if n := tr.count(class, notRun) + tr.count(class, unknown); n > 0 {
			t.Errorf("%d %s of %d were not served: %v", n, class, n+tr.count(class, served), tr.codes)
		}
	}
}
