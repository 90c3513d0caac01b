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

// takeOutBound is the time after which no host may send new requests to an upstream or data centre that operators took out,
// or to an upstream that the host list shows as leaving.
const takeOutBound = 5 * time.Second

// lastNewWork returns the time at which the matching upstreams last got a new request.
func (s *faultSite) lastNewWork(match func(w site.UpstreamStats) bool) time.Time {
	s.T.Helper()
	var last int64
	for _, w := range s.UpstreamStats() {
		if match(w) {
			last = max(last, w.LastWork)
		}
	}
	return time.UnixMilli(last)
}

// checkNoNewWork checks that the matching upstreams got no new requests later than takeOutBound after since. It lets traffic
// run for 3 s beyond the bound before it checks.
func (s *faultSite) checkNoNewWork(t *testing.T, since time.Time, what string, match func(w site.UpstreamStats) bool) {
	t.Helper()
	site.Sleep(time.Until(since.Add(takeOutBound + 3*time.Second)))
	last := s.lastNewWork(match)
	t.Logf("%s: last new request %v after the change", what, last.Sub(since).Round(time.Millisecond))
	if last.After(since.Add(takeOutBound)) {
		t.Errorf("%s: new request %v after the change, want none after %v", what, last.Sub(since), takeOutBound)
	}
}

// TestDataCentreOutGetsNoNewWork guards against new requests for a data centre that was taken out of service. They come from
// hosts that the change does not reach, because they are cut off or frozen, or were not running at the time.
func TestDataCentreOutGetsNoNewWork(t *testing.T) {
	t.Parallel()
	recordVerdict(t, dataCentreOut, "host cut off from the log and all hosts", "host cut off from the log alone",
		"host frozen and resumed", "host started while the log is down", "data centre brought back")
	s := newSite(t, site.Layout{
		DataCentres: site.HofbauerSmall.DataCentres, HostsPerDataCentre: 2,
		UpstreamsPerService: map[string]int{"enquiry": 2, "booking": 1}, CuttableLinks: true, Warm: true,
	})
	all := s.startTraffic(trafficOptions{consultations: 8, orders: 4, pause: 2 * time.Millisecond})
	// These callers each stay with one host, so that every host gets requests whatever it answers.
	for _, h := range s.Hosts {
		s.startTraffic(trafficOptions{consultations: 2, pause: 2 * time.Millisecond, fixedHosts: []string{h.CallerAddr}})
	}
	inLandshut := func(w site.UpstreamStats) bool { return w.DataCentre == "landshut" }
	s.Wait("requests in the data centre", func() bool { return !s.lastNewWork(inLandshut).Before(all.startedAt) })
	cutOff, withoutLog, frozen, startedLate := s.Hosts[2], s.Hosts[0], s.Hosts[1], s.Hosts[5]
	s.Isolate(cutOff, true)
	withoutLog.LogLink.SetBoth(true)
	frozen.Signal(syscall.SIGSTOP)
	s.Kill(startedLate)
	// The bound counts from before the command, because sardinectl returns only after it has asked every host.
	since := time.Now()
	s.RunCtlWithSettings("out", "dataCentre", "landshut")
	s.PostControl(s.LogControl(), `{"down": true}`)
	s.Start(startedLate)
	site.Sleep(2 * time.Second)
	frozen.Signal(syscall.SIGCONT)
	s.checkNoNewWork(t, since, "data centre out", inLandshut)
	before := all.count("consultations", served)
	s.Wait("other data centres to serve", func() bool { return all.count("consultations", served) > before+100 })
	clearLogFaults(s)
	s.Isolate(cutOff, false)
	withoutLog.LogLink.SetBoth(false)
	broughtBack := time.Now()
	s.RunCtlWithSettings("back", "dataCentre", "landshut").RequireSuccess()
	s.Wait("requests in the data centre that is back in service", func() bool { return s.lastNewWork(inLandshut).After(broughtBack) })
	all.stop()
	all.checkOrders(t)
}

// TestLeavingUpstreamGetsNoNewWork guards against new requests for an upstream that the host list shows as leaving, or that
// operators took out of service, while a host is frozen, the owner is killed or the host list is down.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	recordVerdict(t, leavingUpstream, "listed as leaving", "listed as leaving with a host frozen", "taken out by operators",
		"taken out with the owner killed", "host list down after the change")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsPerDataCentre: 2,
		UpstreamsPerService: map[string]int{"enquiry": 3, "booking": 1}, Warm: true,
	})
	for _, h := range s.Hosts {
		s.startTraffic(trafficOptions{consultations: 3, pause: 2 * time.Millisecond, fixedHosts: []string{h.CallerAddr}})
	}
	hasID := func(id string) func(w site.UpstreamStats) bool {
		return func(w site.UpstreamStats) bool { return w.ID == id }
	}
	begun := time.Now()
	s.Wait("requests at all upstreams", func() bool {
		for i := 1; i <= 3; i++ {
			if s.lastNewWork(hasID(fmt.Sprintf("enquiry-passau-%d", i))).Before(begun) {
				return false
			}
		}
		return true
	})
	frozen := s.Hosts[1]
	frozen.Signal(syscall.SIGSTOP)
	s.PostControl(s.HostListControl(), `{"set": [{"id": "enquiry-passau-1", "state": "leaving"}]}`)
	since := time.Now()
	site.Sleep(time.Second)
	s.PostControl(s.HostListControl(), `{"down": true}`)
	frozen.Signal(syscall.SIGCONT)
	s.checkNoNewWork(t, since, "leaving by the host list", hasID("enquiry-passau-1"))
	since = time.Now()
	s.RunCtlWithSettings("out", "upstream", "enquiry-passau-2").RequireSuccess()
	s.Kill(s.Host(s.ownerOf("enquiry-passau-2")))
	s.checkNoNewWork(t, since, "taken out by operators", hasID("enquiry-passau-2"))
}

// ownerOf returns the ID of the host that owns an upstream according to the first live host.
func (s *faultSite) ownerOf(id string) string {
	s.T.Helper()
	st, err := s.Status(s.LiveHosts()[0])
	if err != nil {
		s.T.Fatal(err)
	}
	for _, u := range st.Upstreams {
		if u.ID == id {
			return u.Owner
		}
	}
	s.T.Fatalf("the status of host %s lists no upstream %q", s.LiveHosts()[0].ID, id)
	return ""
}

// watchVersions polls the configuration version of every host until stop is called. The test fails if the version ever
// decreases within one incarnation of a host.
func (s *faultSite) watchVersions(t *testing.T) (stop func()) {
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
					t.Errorf("host %s went back from configuration version %d to %d", h.ID, last.Configuration.Version, st.Configuration.Version)
				}
				if err == nil {
					last = st
				}
				site.Sleep(20 * time.Millisecond)
			}
		}()
	}
	return func() {
		done.Store(true)
		wg.Wait()
	}
}

// targetInForce returns the target of a class that is in force on a host, or nothing if the host does not answer or does not
// know the class.
func (s *faultSite) targetInForce(h *site.Host, class string) string {
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

// TestAcceptedConfigurationStaysInForce guards against an accepted change of the configuration that does not reach a host or
// is reverted, and against two racing operators who are both told that their change of the same item is in force.
func TestAcceptedConfigurationStaysInForce(t *testing.T) {
	t.Parallel()
	recordVerdict(t, configuration, "operators race on one item", "operators race on two items", "answer of the log lost",
		"log down", "hosts cut off from the log", "every host replaced", "records past retention", "host started while the log is down")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsPerDataCentre: 2,
		UpstreamsPerService: map[string]int{"booking": 1}, CuttableLinks: true, Warm: true,
		LogRetention: `{"age": "10m", "records": 40}`,
	})
	stop := s.watchVersions(t)
	setTarget := func(class, target string) site.CtlResult {
		return s.RunCtlWithSettings("class", "set", class, "-service", "booking", "-target", target, "-deadline", "2s", "-rank", "1")
	}
	waitInForce := func(class, target string, hosts []*site.Host) {
		t.Helper()
		since := time.Now()
		s.Wait(class+" "+target+" to be in force", func() bool {
			for _, h := range hosts {
				if s.targetInForce(h, class) != target {
					return false
				}
			}
			return true
		})
		t.Logf("%s %s in force after %v", class, target, time.Since(since).Round(time.Millisecond))
	}
	raceOperators := func(classes ...string) (codes []int) {
		var wg sync.WaitGroup
		codes = make([]int, len(classes))
		for i, class := range classes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				codes[i] = setTarget(class, fmt.Sprintf("%dms", 200+i)).ExitCode
			}()
		}
		wg.Wait()
		return codes
	}
	for range 3 {
		codes := raceOperators("orders", "orders", "orders")
		for i, code := range codes {
			if code != 0 && code != 3 {
				t.Errorf("racing operator %d exited with %d, want 0 or 3", i, code)
			}
		}
		winners := map[string]bool{}
		for _, h := range s.Hosts {
			winners[s.targetInForce(h, "orders")] = true
		}
		if len(winners) != 1 {
			t.Errorf("targets in force after operators raced on one item: %v, want one", winners)
		}
	}
	s.checkProposalsOnSameBase(t)
	if codes := raceOperators("orders", "deposits"); codes[0] != 0 || codes[1] != 0 {
		t.Errorf("operators racing on two items exited with %v, want success for both", codes)
	}
	s.PostControl(s.LogControl(), `{"loseAnswers": {"next": 1}}`)
	setTarget("orders", "301ms").RequireSuccess()
	waitInForce("orders", "301ms", s.Hosts)
	s.PostControl(s.LogControl(), `{"down": true}`)
	if r := setTarget("orders", "302ms"); r.ExitCode == 0 {
		t.Errorf("sardinectl reported success while the log was down")
	}
	s.Kill(s.Hosts[1])
	s.Start(s.Hosts[1])
	waitInForce("orders", "301ms", s.Hosts)
	clearLogFaults(s)
	s.Hosts[0].LogLink.SetBoth(true)
	s.Hosts[2].LogLink.SetBoth(true)
	setTarget("orders", "303ms").RequireSuccess()
	waitInForce("orders", "303ms", s.Hosts)
	s.Hosts[0].LogLink.SetBoth(false)
	s.Hosts[2].LogLink.SetBoth(false)
	for i := range 30 {
		setTarget("deposits", fmt.Sprintf("%dms", 400+i)).RequireSuccess()
	}
	for _, h := range s.Hosts {
		s.Kill(h)
		s.Start(h)
		waitInForce("orders", "303ms", []*site.Host{h})
		waitInForce("deposits", "429ms", []*site.Host{h})
	}
	stop()
}

// checkProposalsOnSameBase appends two proposals that are based on the same version of an item. Only the first may come into
// force.
func (s *faultSite) checkProposalsOnSameBase(t *testing.T) {
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
	s.RunCtlWithSettings("class", "set", "after", "-service", "booking", "-target", "90ms", "-deadline", "2s", "-rank", "1").RequireSuccess()
	for _, h := range s.Hosts {
		s.Wait("the second proposal to be decided on "+h.ID, func() bool { return s.targetInForce(h, "after") != "" })
		if got := s.targetInForce(h, "races"); got != "501ms" {
			t.Errorf("host %s has target %q in force after two proposals on one version, want 501ms of the first", h.ID, got)
		}
	}
}

// TestPlannedStopFailsNoRequests guards against requests that fail or are refused because a host is stopped as planned. The
// callers respect the lifetime of the addresses that they get, and every host is replaced in turn. Before and after it is told to
// stop, a host gets a SIGHUP, as operators send it to programs whose files have changed.
func TestPlannedStopFailsNoRequests(t *testing.T) {
	t.Parallel()
	recordVerdict(t, gracefulShutdown, "one host stopped under load", "rolling replacement of every host")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsPerDataCentre: 2,
		UpstreamsPerService: map[string]int{"enquiry": 3, "booking": 3}, Warm: true,
	})
	tr := s.startTraffic(trafficOptions{orders: 4, consultations: 6, pause: 5 * time.Millisecond})
	s.Wait("traffic", func() bool {
		return tr.count("consultations", served) > 300 && tr.count("orders", served) > 100
	})
	tr.mu.Lock()
	tr.counts = map[string]map[outcome]int{"orders": {}, "consultations": {}}
	tr.codes = map[string]int{}
	tr.mu.Unlock()
	for _, h := range s.Hosts {
		h.Signal(syscall.SIGHUP)
		site.Sleep(100 * time.Millisecond)
		s.ExpectedDown[h.ID] = true
		h.Signal(syscall.SIGTERM)
		site.Sleep(200 * time.Millisecond)
		h.Signal(syscall.SIGHUP)
		<-h.Done
		s.Start(h)
		s.Wait(h.ID+" to be back", func() bool {
			st, err := s.Status(h)
			return err == nil && st.InService
		})
		site.Sleep(2 * time.Second)
	}
	tr.stop()
	tr.checkOrders(t)
	for _, class := range []string{"orders", "consultations"} {
		if n := tr.count(class, notRun) + tr.count(class, unknown); n > 0 {
			t.Errorf("%d %s of %d were not served: %v", n, class, n+tr.count(class, served), tr.codes)
		}
	}
}
