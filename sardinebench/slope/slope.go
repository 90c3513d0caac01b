// Package slope measures what a site costs against its size, as docs/CAPACITY.md shows it.
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
	"sardinecross.example/sardinebench/trial"

	"sardinecross.example/proofs/site"
)

const (
	// settling lets probes, leases and the garbage collector reach their steady state before a window.
	settling = 3 * time.Second
	// window makes a clock tick of 10 ms less than 0.2% of a core on one host; a point is the mean of all hosts.
	window = 6 * time.Second
	// ticksPerSecond is the unit of /proc/PID/stat.
	ticksPerSecond = 100
)

// Run prints what one host costs against the size of the site, and what grows with the site. It fails only if a site does
// not start.
func Run(t *trial.T) {
	t.Run("hosts", slopeHosts)
	t.Run("hostsOfTwoDataCentres", slopeHostsOfTwo)
	t.Run("upstreams", slopeUpstreams)
	t.Run("classes", slopeClasses)
	t.Run("changes", slopeChanges)
	t.Run("requests", slopeRequests)
	t.Run("requestIDs", slopeRequestIDs)
	t.Run("intervals", slopeIntervals)
	t.Run("sizes", slopeSizes)
}

func slopeHosts(t *trial.T) {
	s := series{t: t, unit: "hosts"}
	for _, n := range []int{4, 8, 13, 17, 30} {
		s.site(fmt.Sprint(n), sized(1, n, 32), float64(n))
	}
	s.fit()
}

func slopeHostsOfTwo(t *trial.T) {
	s := series{t: t, unit: "hosts"}
	for _, n := range []int{4, 8, 16, 30} {
		s.site(fmt.Sprint(n), sized(2, n/2, 32), float64(n))
	}
	s.fit()
}

func slopeUpstreams(t *trial.T) {
	s := series{t: t, unit: "upstreams"}
	for _, n := range []int{32, 120, 300, 600} {
		s.site(fmt.Sprint(n), sized(2, 4, n), float64(n))
	}
	s.fit()
}

func slopeClasses(t *trial.T) {
	s := series{t: t, unit: "classes"}
	m := measureSite(t, sized(2, 4, 32))
	p := newPublisher(m.Site)
	for _, n := range []int{2, 10, 30, 58} {
		for i := p.classes + 2; i < n; i++ {
			p.publish(ident.ClassName(fmt.Sprintf("class%d", i)), time.Second)
			p.classes++
		}
		m.Wait("all classes on all hosts", func() bool { return m.all(func(h site.HostStatus) bool { return len(h.Classes) == n }) })
		s.add(float64(n), m.measure(nil))
	}
	s.fit()
}

func slopeChanges(t *trial.T) {
	s := series{t: t, unit: "changes/s"}
	m := measureSite(t, sized(2, 4, 32))
	p := newPublisher(m.Site)
	for _, rate := range []float64{0, 0.5, 2, 8} {
		point := m.measure(func(stop <-chan struct{}) {
			for i := 0; every(rate, stop); i++ {
				p.publish("changing", time.Second+time.Duration(i%2)*time.Millisecond)
			}
		})
		s.add(rate, point)
	}
	s.fit()
	for range 5 {
		began := time.Now()
		version := p.publish("changing", time.Duration(1+time.Now().UnixNano()%900)*time.Millisecond)
		m.Wait("the change on all hosts", func() bool {
			return m.all(func(h site.HostStatus) bool { return h.Configuration.Version >= version })
		})
		t.Logf("change in force on %d hosts after %v", len(m.Hosts), time.Since(began).Round(time.Millisecond))
	}
}

func slopeRequests(t *trial.T) {
	s := series{t: t, unit: "requests/s", first: true}
	m := measureSite(t, sized(2, 4, 32))
	for _, rate := range []float64{0, 100, 300, 600, 1000} {
		done := &atomic.Int64{}
		point := m.measure(func(stop <-chan struct{}) { m.send(rate, stop, done) })
		s.add(rate, point)
		t.Logf("%g requests/s wanted, %d sent in settling and window; quantiles of the daemon: %s", rate, done.Load(), m.added())
	}
	s.fit()
}

func slopeRequestIDs(t *trial.T) {
	s := series{t: t, unit: "thousand IDs", first: true}
	m := measureSite(t, sized(1, 3, 32))
	held := 0
	for _, n := range []int{0, 10, 30, 90} {
		m.fill(n*1000 - held)
		held = n * 1000
		s.add(float64(n), m.measure(nil))
	}
	s.fit()
}

// sized returns a layout with idle warm workers of two services.
func sized(dataCentres, hostsEach, upstreams int) site.Layout {
	each := upstreams / dataCentres / 2
	return site.Layout{
		DataCentres: []string{"alpha", "beta"}[:dataCentres], HostsPerDataCentre: hostsEach,
		UpstreamsPerService: map[string]int{"booking": each, "enquiry": each}, Warm: true,
	}
}

// point is the mean of all hosts by quantity, but for the quantities that only the first host has.
type point map[string]float64

// quantities are in the order in which they are printed.
var quantities = []string{
	"cpu %", "cpu % of first", "rss MB", "anonymous MB", "anonymous MB of first", "messages sent/s", "messages received/s",
	"message B sent/s", "message B received/s", "datagrams sent/s", "datagrams received/s", "UDP payload B sent/s",
	"UDP payload B received/s", "TCP B read/s", "TCP B written/s", "log reads/s", "host list reads/s", "host list B/s", "probes/s",
}

// series is the points of one slope.
type series struct {
	t    *trial.T
	unit string
	// first prints the quantities of the first host, which has the load.
	first  bool
	x      []float64
	points []point
}

func (s *series) site(name string, l site.Layout, x float64) {
	s.t.Run(name, func(t *trial.T) { s.add(x, measureSite(t, l).measure(nil)) })
}

func (s *series) add(x float64, p point) {
	s.x = append(s.x, x)
	s.points = append(s.points, p)
	var line strings.Builder
	for _, q := range quantities {
		fmt.Fprintf(&line, "; %s %.4g", q, p[q])
	}
	load, _ := os.ReadFile("/proc/loadavg")
	s.t.Logf("POINT %g %s%s; load %s", x, s.unit, line.String(), bytes.TrimSpace(load))
}

// fit prints the least squares line of each quantity.
func (s *series) fit() {
	for _, q := range quantities {
		if strings.Contains(q, "of first") && !s.first {
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

func leastSquares(x, y []float64) (slope, at0, r2, stderr float64) {
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
	rest := max(0, yy-slope*xy)
	if yy > 0 {
		r2 = 1 - rest/yy
	}
	return slope, my - slope*mx, r2, math.Sqrt(rest / (n - 2) / xx)
}

// measured is a site whose first host reaches all others through counting links.
type measured struct {
	*site.Site
	links []*countingLink
}

func measureSite(t *trial.T, l site.Layout) *measured {
	t.Helper()
	return measureSiteWith(t, l, map[string]any{"requestIdLifetime": "1h"})
}

// measureSiteWith starts a site whose hosts have the given timing.
func measureSiteWith(t *trial.T, l site.Layout, timing map[string]any) *measured {
	t.Helper()
	s := &site.Site{T: t, Layout: l, Dir: t.TempDir(), SecondOctet: site.ReserveAddresses(t), HostLinks: map[[2]string]*site.UDPLink{}, ExpectedDown: map[string]bool{}}
	m := &measured{Site: s}
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
		// The default of 800% lets garbage hide the memory that is in use.
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

func (m *measured) all(ok func(site.HostStatus) bool) bool {
	return !slices.ContainsFunc(m.Hosts, func(h *site.Host) bool {
		st, err := m.Status(h)
		return err != nil || !ok(st)
	})
}

// measure takes the difference of two samples while work, if any, runs.
func (m *measured) measure(work func(stop <-chan struct{})) point {
	stop := make(chan struct{})
	var running sync.WaitGroup
	if work != nil {
		running.Go(func() { work(stop) })
	}
	site.Sleep(settling)
	before := m.sample(false)
	began := time.Now()
	site.Sleep(window)
	taken := time.Since(began).Seconds()
	end := m.sample(true)
	close(stop)
	running.Wait()
	p := point{}
	for q, v := range end {
		if strings.Contains(q, "MB") {
			p[q] = v
			continue
		}
		p[q] = (v - before[q]) / taken
	}
	return p
}

// sample reads all counters; the processor's come last at the start of a window and first at its end, so that
// the window leaves out the cost of reading the others.
func (m *measured) sample(end bool) point {
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
	p["host list B/s"] = p["host list reads/s"] * m.listBytes()
	if !end {
		m.sampleProcesses(p)
	}
	return p
}

func (m *measured) sampleProcesses(p point) {
	for i, h := range m.Hosts {
		pid := h.Cmd.Process.Pid
		cpu := 100 * cpuSeconds(m.T, pid)
		anonymous := procField(m.T, pid, "status", "RssAnon:") / 1024
		p.mean("cpu %", cpu, len(m.Hosts))
		p.mean("rss MB", procField(m.T, pid, "status", "VmRSS:")/1024, len(m.Hosts))
		p.mean("anonymous MB", anonymous, len(m.Hosts))
		// Reads and writes are those of TCP; QUIC uses other system calls.
		p.mean("TCP B read/s", procField(m.T, pid, "io", "rchar:"), len(m.Hosts))
		p.mean("TCP B written/s", procField(m.T, pid, "io", "wchar:"), len(m.Hosts))
		if i == 0 {
			p["cpu % of first"], p["anonymous MB of first"] = cpu, anonymous
		}
	}
}

func (p point) mean(q string, v float64, n int) { p[q] += v / float64(n) }

func cpuSeconds(t site.T, pid int) float64 {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	// The name in parentheses may hold spaces; the user's and the system's time are the 12th and 13th fields after it.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// procField returns the number of one line of a file of /proc/PID.
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
	t.Fatalf("no %s in %s", name, file)
	return 0
}

// counters returns the counters of GET /metrics without their common prefix and suffix.
func (m *measured) counters(h *site.Host) map[string]float64 {
	m.T.Helper()
	values := map[string]float64{}
	for line := range strings.Lines(m.text("http://" + h.AdminAddr + "/metrics")) {
		if f := strings.Fields(line); len(f) == 2 && f[0] != "#" {
			v, _ := strconv.ParseFloat(f[1], 64)
			values[strings.TrimSuffix(strings.TrimPrefix(f[0], "sardined_"), "_total")] = v
		}
	}
	return values
}

// added returns the first host's quantiles of the added and the total time.
func (m *measured) added() string {
	var lines []string
	for line := range strings.Lines(m.text("http://" + m.Hosts[0].AdminAddr + "/metrics")) {
		if strings.Contains(line, "class_") && strings.Contains(line, "consultations") && !strings.Contains(line, "queue") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return strings.Join(lines, "; ")
}

func (m *measured) text(url string) string {
	m.T.Helper()
	resp, err := site.HTTPClient.Get(url)
	if err != nil {
		m.T.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

// listBytes returns the size of a reading of the host list, without the header.
func (m *measured) listBytes() float64 {
	return float64(len(m.text("http://" + m.HostListAddr() + "/v1/hosts")))
}

// publisher appends proposals to the log.
type publisher struct {
	t   site.T
	log *applog.Client
	// bases are the versions of the items.
	bases map[conf.Item]int64
	// classes counts those published beside the two of the site.
	classes int
	n       int
}

func newPublisher(s *site.Site) *publisher {
	p := &publisher{t: s.T, log: applog.New(s.LogAddr()), bases: map[conf.Item]int64{}}
	s.T.Cleanup(p.log.Close)
	return p
}

// publish proposes a class and returns the version that it has if it is accepted.
func (p *publisher) publish(name ident.ClassName, deadline time.Duration) int64 {
	p.t.Helper()
	item := conf.ClassItem(name)
	base, ok := p.bases[item]
	if !ok {
		base = conf.NoVersion
	}
	p.n++
	data, err := conf.NewProposal(conf.Proposal{
		ID: conf.ProposalID(fmt.Sprintf("slope%d", p.n)), Item: item, Base: base,
		Value: conf.Value{Class: conf.Class{Service: "booking", Target: time.Millisecond, Deadline: deadline, Rank: 2}},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	version, err := p.log.Append(context.Background(), "config", data)
	if err != nil {
		p.t.Fatal(err)
	}
	p.bases[item] = version
	return version
}

// every waits for the next turn at a rate and reports whether there is one.
func every(rate float64, stop <-chan struct{}) bool {
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

// send sends consultations to the first host at a rate, from a fixed number of senders.
func (m *measured) send(rate float64, stop <-chan struct{}, done *atomic.Int64) {
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
				if m.call(client, http.MethodGet, "/v1/classes/consultations/x", "") == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	running.Wait()
}

// call returns the status of one request to the first host.
func (m *measured) call(client *http.Client, method, path, id string) int {
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

// fill has the first host hold n further issued IDs, each with the stored answer of an order.
func (m *measured) fill(n int) {
	const senders = 24
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}, Timeout: site.WaitTimeout}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(n))
	for range senders {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				for !m.order(client) && !m.T.Failed() {
					site.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	running.Wait()
}

// order runs one order with an issued ID.
func (m *measured) order(client *http.Client) bool {
	resp, err := client.Post("http://"+m.Hosts[0].CallerAddr+"/v1/ids?class=orders", "", nil)
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was only read
	_, rest, _ := strings.Cut(string(body), `"id":"`)
	id, _, ok := strings.Cut(rest, `"`)
	return ok && resp.StatusCode == http.StatusOK && m.call(client, http.MethodPost, "/v1/classes/orders/x", id) == http.StatusOK
}
