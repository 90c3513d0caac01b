// Package slope measures how the resource use of a site grows with its size and load. docs/CAPACITY.md shows the results.
package slope

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/proofs/site"
	"sardinecross.example/sardinebench/trial"
)

const (
	// settlingTime is the wait before each window, in which probes, leases and the garbage collector reach a steady state.
	settlingTime = 3 * time.Second
	// window is the duration of one measurement. It is long enough that a clock tick of 10 ms is less than 0.2% of a core
	// on one host; a point is the mean of all hosts.
	window = 6 * time.Second
	// ticksPerSecond is the number of clock ticks per second, the unit of CPU times in /proc/PID/stat.
	ticksPerSecond = 100
)

// Run measures and prints the resource use of a host against the size and load of the site, and the sizes of records that
// grow with the site. It checks no bounds: it fails only if a site cannot be started or read.
func Run(t *trial.T) {
	t.Run("hosts", slopeHosts)
	t.Run("hostsOfTwoDataCentres", slopeHostsOfTwoDataCentres)
	t.Run("upstreams", slopeUpstreams)
	t.Run("classes", slopeClasses)
	t.Run("changes", slopeChanges)
	t.Run("requests", slopeRequests)
	t.Run("requestIDs", slopeRequestIDs)
	t.Run("intervals", slopeHeartbeatIntervals)
	t.Run("sizes", slopeRecordSizes)
}

// slopeHosts varies the number of hosts in one data centre.
func slopeHosts(t *trial.T) {
	s := series{t: t, unit: "hosts"}
	for _, n := range []int{4, 8, 13, 17, 30} {
		s.addSite(fmt.Sprint(n), layoutOfSize(1, n, 32), float64(n))
	}
	s.fit()
}

// slopeHostsOfTwoDataCentres varies the number of hosts, spread over two data centres.
func slopeHostsOfTwoDataCentres(t *trial.T) {
	s := series{t: t, unit: "hosts"}
	for _, n := range []int{4, 8, 16, 30} {
		s.addSite(fmt.Sprint(n), layoutOfSize(2, n/2, 32), float64(n))
	}
	s.fit()
}

// slopeUpstreams varies the number of upstreams.
func slopeUpstreams(t *trial.T) {
	s := series{t: t, unit: "upstreams"}
	for _, n := range []int{32, 120, 300, 600} {
		s.addSite(fmt.Sprint(n), layoutOfSize(2, 4, n), float64(n))
	}
	s.fit()
}

// slopeClasses varies the number of classes on one site.
func slopeClasses(t *trial.T) {
	s := series{t: t, unit: "classes"}
	m := startMeasuredSite(t, layoutOfSize(2, 4, 32))
	p := newPublisher(m.Site)
	for _, n := range []int{2, 10, 30, 58} {
		for i := p.extraClasses + 2; i < n; i++ {
			p.publish(ident.ClassName(fmt.Sprintf("class%d", i)), time.Second)
			p.extraClasses++
		}
		m.Wait("all classes on all hosts", func() bool { return m.allHosts(func(h site.HostStatus) bool { return len(h.Classes) == n }) })
		s.addPoint(float64(n), m.measure(nil))
	}
	s.fit()
}

// slopeChanges varies the rate of configuration changes. It also measures how long a change takes to be in force on all
// hosts.
func slopeChanges(t *trial.T) {
	s := series{t: t, unit: "changes/s"}
	m := startMeasuredSite(t, layoutOfSize(2, 4, 32))
	p := newPublisher(m.Site)
	for _, rate := range []float64{0, 0.5, 2, 8} {
		point := m.measure(func(stop <-chan struct{}) {
			for i := 0; waitInterval(rate, stop); i++ {
				p.publish("changing", time.Second+time.Duration(i%2)*time.Millisecond)
			}
		})
		s.addPoint(rate, point)
	}
	s.fit()
	for range 5 {
		began := time.Now()
		version := p.publish("changing", time.Duration(1+time.Now().UnixNano()%900)*time.Millisecond)
		m.Wait("the change on all hosts", func() bool {
			return m.allHosts(func(h site.HostStatus) bool { return h.Configuration.Version >= version })
		})
		t.Logf("change in force on %d hosts after %v", len(m.Hosts), time.Since(began).Round(time.Millisecond))
	}
}

// slopeRequests varies the rate of requests to the first host.
func slopeRequests(t *trial.T) {
	s := series{t: t, unit: "requests/s", firstHost: true}
	m := startMeasuredSite(t, layoutOfSize(2, 4, 32))
	for _, rate := range []float64{0, 100, 300, 600, 1000} {
		served := &atomic.Int64{}
		point := m.measure(func(stop <-chan struct{}) { m.sendConsultations(rate, stop, served) })
		s.addPoint(rate, point)
		t.Logf("%g requests/s wanted, %d sent in settling and window; quantiles of the daemon: %s", rate, served.Load(), m.classQuantiles())
	}
	s.fit()
}

// slopeRequestIDs varies the number of issued request IDs, each with a stored answer, on the first host.
func slopeRequestIDs(t *trial.T) {
	s := series{t: t, unit: "thousand IDs", firstHost: true}
	m := startMeasuredSite(t, layoutOfSize(1, 3, 32))
	stored := 0
	for _, n := range []int{0, 10, 30, 90} {
		m.storeOrders(n*1000 - stored)
		stored = n * 1000
		s.addPoint(float64(n), m.measure(nil))
	}
	s.fit()
}

// layoutOfSize returns a layout with idle, warm workers of two services; upstreams counts those of all data centres.
func layoutOfSize(dataCentres, hostsEach, upstreams int) site.Layout {
	each := upstreams / dataCentres / 2
	return site.Layout{
		DataCentres: []string{"alpha", "beta"}[:dataCentres], HostsPerDataCentre: hostsEach,
		UpstreamsPerService: map[string]int{"booking": each, "enquiry": each}, Warm: true,
	}
}

// point maps each quantity to its mean over all hosts. Quantities "of first" are those of the first host alone; those of
// datagrams and UDP payload are sums over its links.
type point map[string]float64

// quantities lists the quantities of a point in the order in which they are printed.
var quantities = []string{
	"cpu %", "cpu % of first", "rss MB", "anonymous MB", "anonymous MB of first", "messages sent/s", "messages received/s",
	"message B sent/s", "message B received/s", "datagrams sent/s", "datagrams received/s", "UDP payload B sent/s",
	"UDP payload B received/s", "TCP B read/s", "TCP B written/s", "log reads/s", "host list reads/s", "host list B/s", "probes/s",
}

// series holds the points from which one slope is fitted.
type series struct {
	t *trial.T
	// unit is the unit of x.
	unit string
	// firstHost also prints the quantities of the first host; it is set if only that host gets load.
	firstHost bool
	x         []float64
	points    []point
}

// addSite starts a site of its own for one point.
func (s *series) addSite(name string, l site.Layout, x float64) {
	s.t.Run(name, func(t *trial.T) { s.addPoint(x, startMeasuredSite(t, l).measure(nil)) })
}

// addPoint adds a point and prints it with the load average of the machine.
func (s *series) addPoint(x float64, p point) {
	s.x = append(s.x, x)
	s.points = append(s.points, p)
	var line strings.Builder
	for _, q := range quantities {
		fmt.Fprintf(&line, "; %s %.4g", q, p[q])
	}
	load, _ := os.ReadFile("/proc/loadavg")
	s.t.Logf("POINT %g %s%s; load %s", x, s.unit, line.String(), bytes.TrimSpace(load))
}

// fit prints the least squares line of each quantity against x.
func (s *series) fit() {
	for _, q := range quantities {
		if strings.Contains(q, "of first") && !s.firstHost {
			continue
		}
		y := make([]float64, len(s.points))
		for i, p := range s.points {
			y[i] = p[q]
		}
		slope, at0, r2, stderr := leastSquares(s.x, y)
		s.t.Logf("FIT %-26s = %9.4g + %9.4g x %s  (R2 %.3f, standard error of the slope %.2g)", q, at0, slope, s.unit, r2, stderr)
	}
}

// leastSquares fits y = intercept + slope*x. It also returns the coefficient of determination and the standard error of
// the slope.
func leastSquares(x, y []float64) (slope, intercept, r2, standardError float64) {
	n := float64(len(x))
	var mx, my float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	var xx, xy, yy float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
		yy += (y[i] - my) * (y[i] - my)
	}
	slope = xy / xx
	residual := max(0, yy-slope*xy)
	if yy > 0 {
		r2 = 1 - residual/yy
	}
	return slope, my - slope*mx, r2, math.Sqrt(residual / (n - 2) / xx)
}

// measuredSite is a running site whose first host reaches all other hosts through counting links.
type measuredSite struct {
	*site.Site
	links []*countingLink
}

// startMeasuredSite starts a site that keeps request IDs for an hour.
func startMeasuredSite(t *trial.T, l site.Layout) *measuredSite {
	t.Helper()
	return startMeasuredSiteWithTiming(t, l, map[string]any{"requestIdLifetime": "1h"})
}

// startMeasuredSiteWithTiming starts a site whose hosts have the given timing settings. Each host runs on one processor.
func startMeasuredSiteWithTiming(t *trial.T, l site.Layout, timing map[string]any) *measuredSite {
	t.Helper()
	s := &site.Site{T: t, Layout: l, Dir: t.TempDir(), SecondOctet: site.ReserveAddresses(t), HostLinks: map[[2]string]*site.UDPLink{}, ExpectedDown: map[string]bool{}}
	m := &measuredSite{Site: s}
	s.RunCtl("keys", "ca").SaveStdout("ca.pem")
	s.CreateHosts()
	s.WriteJSONFile("operator.jsonc", map[string]any{
		"platform": map[string]any{"log": s.LogAddr(), "hostList": s.HostListAddr()},
		"admin":    []string{s.Hosts[0].AdminAddr},
	})
	addresses := map[string]string{}
	for _, h := range s.Hosts[1:] {
		link := newCountingLink(t, h.PeerAddr)
		m.links = append(m.links, link)
		addresses[h.ID] = link.addr()
	}
	for i, h := range s.Hosts {
		settings := s.HostSettings(h)
		// At the default of 800%, the heap is mostly garbage, which hides how much memory is in use.
		settings["runtime"] = map[string]any{"processors": 1, "gcPercent": 100}
		settings["timing"] = timing
		if i == 0 {
			settings["peerAddresses"] = addresses
		}
		h.SettingsPath = s.WriteJSONFile(h.ID+".jsonc", settings)
	}
	s.StartPlatform()
	for _, h := range s.Hosts {
		s.Start(h)
	}
	s.PublishClasses()
	return m
}

// allHosts reports whether the status of every host satisfies a condition.
func (m *measuredSite) allHosts(ok func(site.HostStatus) bool) bool {
	return !slices.ContainsFunc(m.Hosts, func(h *site.Host) bool {
		st, err := m.Status(h)
		return err != nil || !ok(st)
	})
}

// measure samples all counters at the start and end of a window and returns the rates in between; memory sizes are those
// at the end. If work is not nil, it runs from before settlingTime until the end of the window.
func (m *measuredSite) measure(work func(stop <-chan struct{})) point {
	stop := make(chan struct{})
	var running sync.WaitGroup
	if work != nil {
		running.Go(func() { work(stop) })
	}
	site.Sleep(settlingTime)
	before := m.sample(false)
	began := time.Now()
	site.Sleep(window)
	elapsed := time.Since(began).Seconds()
	end := m.sample(true)
	close(stop)
	running.Wait()
	p := point{}
	for q, v := range end {
		if strings.Contains(q, "MB") {
			p[q] = v
			continue
		}
		p[q] = (v - before[q]) / elapsed
	}
	return p
}

// sample reads all counters. It reads those of the processes last at the start of a window and first at its end, so that
// the CPU time in the window leaves out the cost of reading the other counters.
func (m *measuredSite) sample(end bool) point {
	p := point{}
	if end {
		m.sampleProcesses(p)
	}
	for _, h := range m.Hosts {
		c := m.counters(h)
		n := float64(len(m.Hosts))
		p["messages sent/s"] += c["peer_messages_sent"] / n
		p["messages received/s"] += c["peer_messages_received"] / n
		p["message B sent/s"] += c["peer_bytes_sent"] / n
		p["message B received/s"] += c["peer_bytes_received"] / n
		p["log reads/s"] += c["log_reads"] / n
		p["probes/s"] += c["upstream_probes"] / n
	}
	for _, l := range m.links {
		p["datagrams sent/s"] += float64(l.sent.datagrams.Load())
		p["datagrams received/s"] += float64(l.received.datagrams.Load())
		p["UDP payload B sent/s"] += float64(l.sent.bytes.Load())
		p["UDP payload B received/s"] += float64(l.received.bytes.Load())
	}
	var list struct {
		Reads float64 `json:"reads"`
	}
	if err := site.GetJSON("http://"+m.HostListControl()+"/stats", &list); err != nil {
		m.T.Fatal(err)
	}
	p["host list reads/s"] = list.Reads / float64(len(m.Hosts))
	p["host list B/s"] = p["host list reads/s"] * m.hostListBytes()
	if !end {
		m.sampleProcesses(p)
	}
	return p
}

// sampleProcesses adds the CPU time, memory and I/O of each host's process to p.
func (m *measuredSite) sampleProcesses(p point) {
	for i, h := range m.Hosts {
		pid := h.Cmd.Process.Pid
		cpu := 100 * cpuSeconds(m.T, pid)
		anonymous := procField(m.T, pid, "status", "RssAnon:") / 1024
		p.addToMean("cpu %", cpu, len(m.Hosts))
		p.addToMean("rss MB", procField(m.T, pid, "status", "VmRSS:")/1024, len(m.Hosts))
		p.addToMean("anonymous MB", anonymous, len(m.Hosts))
		// These count the bytes of read and write calls, which hosts use for TCP; QUIC uses other system calls.
		p.addToMean("TCP B read/s", procField(m.T, pid, "io", "rchar:"), len(m.Hosts))
		p.addToMean("TCP B written/s", procField(m.T, pid, "io", "wchar:"), len(m.Hosts))
		if i == 0 {
			p["cpu % of first"], p["anonymous MB of first"] = cpu, anonymous
		}
	}
}

// addToMean adds the value of one of n hosts to the mean of a quantity.
func (p point) addToMean(q string, v float64, n int) { p[q] += v / float64(n) }

// cpuSeconds returns the CPU time that a process has used, in user and in system mode.
func cpuSeconds(t site.T, pid int) float64 {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	// The process name, in parentheses, may contain spaces. User and system time are the 12th and 13th fields after it.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// procField returns the number in the line that starts with name in a file of /proc/PID.
func procField(t site.T, pid int, file, name string) float64 {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			v, _ := strconv.ParseFloat(f[1], 64)
			return v
		}
	}
	t.Fatalf("no line %s in /proc/%d/%s", name, pid, file)
	return 0
}

// counters returns the metrics without labels of GET /metrics, keyed by name without the prefix sardined_ and the suffix
// _total.
func (m *measuredSite) counters(h *site.Host) map[string]float64 {
	m.T.Helper()
	values := map[string]float64{}
	for line := range strings.Lines(m.fetch("http://" + h.AdminAddr + "/metrics")) {
		if f := strings.Fields(line); len(f) == 2 && f[0] != "#" {
			v, _ := strconv.ParseFloat(f[1], 64)
			values[strings.TrimSuffix(strings.TrimPrefix(f[0], "sardined_"), "_total")] = v
		}
	}
	return values
}

// classQuantiles returns the lines of the first host's GET /metrics with the quantiles of the added and the total time of
// consultations.
func (m *measuredSite) classQuantiles() string {
	var lines []string
	for line := range strings.Lines(m.fetch("http://" + m.Hosts[0].AdminAddr + "/metrics")) {
		if strings.Contains(line, "class_") && strings.Contains(line, "consultations") && !strings.Contains(line, "queue") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return strings.Join(lines, "; ")
}

// fetch returns the body of the response to a GET request.
func (m *measuredSite) fetch(url string) string {
	m.T.Helper()
	resp, err := site.HTTPClient.Get(url)
	if err != nil {
		m.T.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

// hostListBytes returns the size of the body of one response with the host list.
func (m *measuredSite) hostListBytes() float64 {
	return float64(len(m.fetch("http://" + m.HostListAddr() + "/v1/hosts")))
}

// publisher appends proposals of classes to the log.
type publisher struct {
	t   site.T
	log *applog.Client
	// baseVersions holds the newest version of each item, the base of its next proposal.
	baseVersions map[conf.Item]int64
	// extraClasses counts the published classes without the two that the site starts with.
	extraClasses int
	// proposals counts the proposals, for their IDs.
	proposals int
}

func newPublisher(s *site.Site) *publisher {
	p := &publisher{t: s.T, log: applog.New(s.LogAddr()), baseVersions: map[conf.Item]int64{}}
	s.T.Cleanup(p.log.Close)
	return p
}

// publish proposes a class and returns the version that it has if it is accepted.
func (p *publisher) publish(name ident.ClassName, deadline time.Duration) int64 {
	p.t.Helper()
	item := conf.ClassItem(name)
	base, ok := p.baseVersions[item]
	if !ok {
		base = conf.NoVersion
	}
	p.proposals++
	data, err := conf.NewProposal(conf.Proposal{
		ID: conf.ProposalID(fmt.Sprintf("slope%d", p.proposals)), Item: item, Base: base,
		Value: conf.Value{Class: conf.Class{Service: "booking", Target: time.Millisecond, Deadline: deadline, Rank: 2}},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	version, err := p.log.Append(context.Background(), "config", data)
	if err != nil {
		p.t.Fatal(err)
	}
	p.baseVersions[item] = version
	return version
}

// waitInterval waits for one interval at a rate per second and reports whether it passed before stop was closed. At a
// rate of zero, it waits for stop.
func waitInterval(rate float64, stop <-chan struct{}) bool {
	if rate == 0 {
		<-stop
		return false
	}
	select {
	case <-stop:
		return false
	case <-time.After(time.Duration(float64(time.Second) / rate)):
		return true
	}
}

// sendConsultations sends consultations to the first host at a rate per second, from a fixed number of senders. It counts
// those answered with status 200 in served.
func (m *measuredSite) sendConsultations(rate float64, stop <-chan struct{}, served *atomic.Int64) {
	const senders = 20
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}, Timeout: site.WaitTimeout}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	for i := range senders {
		running.Go(func() {
			next := time.Now().Add(time.Duration(float64(i) / max(rate, 1) * float64(time.Second)))
			for rate > 0 {
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(time.Duration(senders / rate * float64(time.Second)))
				if m.sendRequest(client, http.MethodGet, "/v1/classes/consultations/x", "") == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	running.Wait()
}

// sendRequest sends a request to the first host, with an X-Request-Id if id is not empty. It returns the HTTP status, or
// zero if there was no response.
func (m *measuredSite) sendRequest(client *http.Client, method, path, id string) int {
	req, err := http.NewRequest(method, "http://"+m.Hosts[0].CallerAddr+path, nil)
	if err != nil {
		m.T.Errorf("%v", err)
		return 0
	}
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// storeOrders runs n orders with issued IDs on the first host, which then stores these IDs and the answers. It retries
// orders that fail.
func (m *measuredSite) storeOrders(n int) {
	const senders = 24
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}, Timeout: site.WaitTimeout}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(n))
	for range senders {
		running.Go(func() {
			for remaining.Add(-1) >= 0 {
				for !m.runOrder(client) && !m.T.Failed() {
					site.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	running.Wait()
}

// runOrder requests an ID, sends one order with it and reports whether both succeeded.
func (m *measuredSite) runOrder(client *http.Client) bool {
	resp, err := client.Post("http://"+m.Hosts[0].CallerAddr+"/v1/ids?class=orders", "", nil)
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was only read
	_, rest, _ := strings.Cut(string(body), `"id":"`)
	id, _, ok := strings.Cut(rest, `"`)
	return ok && resp.StatusCode == http.StatusOK && m.sendRequest(client, http.MethodPost, "/v1/classes/orders/x", id) == http.StatusOK
}
