package proofs

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait for a condition; it is no measurement and far above what an idle machine needs.
const patience = 30 * time.Second

// reserve returns a number n such that no other site, of this run or another one, uses addresses under 127.n.0.0/16.
func reserve(t *testing.T) int {
	t.Helper()
	for n := 20; n < 255; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7000", n))
		if err == nil {
			t.Cleanup(func() { ln.Close() })
			return n
		}
	}
	t.Fatal("no free addresses under 127.0.0.0/8")
	return 0
}

// layout describes a site.
type layout struct {
	dataCentres []string
	hostsEach   int
	// workers is the number of upstreams of each service in each data centre.
	workers map[string]int
	// links puts a cuttable link between each pair of hosts and between each host and the log.
	links bool
	// warm starts the upstreams warm; they start cold otherwise.
	warm bool
	// slots of each upstream, 4 by default.
	slots int
	// service replaces settings of the stand-in's services, retention that of the log.
	service, retention string
	// lag is the host list's.
	lag string
}

var hofbauer = layout{
	dataCentres: []string{"passau", "landshut", "straubing"},
	hostsEach:   2,
	workers:     map[string]int{"booking": 2, "enquiry": 3},
}

// process is one running program.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	out  *os.File
	done chan struct{}
}

func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	out, err := os.Create(filepath.Join(dir, name+".out"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, cmd: exec.Command("../bin/"+args[0], args[1:]...), out: out, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// Ends the process with a test run that is killed and cannot clean up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		out.Close()
		if t.Failed() {
			p.dump()
		}
	})
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) dump() {
	data, _ := os.ReadFile(p.out.Name())
	if lines := bytes.Split(data, []byte("\n")); len(lines) > 40 {
		data = bytes.Join(lines[len(lines)-40:], []byte("\n"))
	}
	p.t.Logf("last output of %s:\n%s", p.name, data)
}

// host is one entry host of a site; restart replaces its process.
type host struct {
	*process
	id, dataCentre, settings string
	callers, peers, admin    string
	logLink                  *tcpLink
}

// site is one running site.
type site struct {
	t      *testing.T
	layout layout
	dir    string
	n      int
	hosts  []*host
	// pairs holds the links between hosts, keyed by the dialling host's ID and the other's.
	pairs map[[2]string]*udpLink
	// dead holds the hosts that are expected to be unreachable.
	dead map[string]bool
}

func (s *site) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.n, group, i) }

func (s *site) logAddr() string      { return s.ip(200, 1) + ":7001" }
func (s *site) logControl() string   { return s.ip(200, 1) + ":7002" }
func (s *site) listAddr() string     { return s.ip(200, 2) + ":7001" }
func (s *site) listControl() string  { return s.ip(200, 2) + ":7002" }
func (s *site) fleetControl() string { return s.ip(200, 3) + ":7002" }

// newSite starts the stand-ins and all hosts, publishes the classes and waits until they are in force.
func newSite(t *testing.T, l layout) *site {
	t.Helper()
	l.slots = cmp.Or(l.slots, 4)
	s := &site{
		t: t, layout: l, dir: t.TempDir(), n: reserve(t),
		pairs: map[[2]string]*udpLink{}, dead: map[string]bool{},
	}
	s.ctl("keys", "ca").save("ca.pem")
	s.layOut()
	s.startPlatform()
	for _, h := range s.hosts {
		s.start(h)
	}
	s.publishClasses()
	return s
}

// layOut makes the hosts with their links, keys and settings.
func (s *site) layOut() {
	for d, dc := range s.layout.dataCentres {
		for i := 1; i <= s.layout.hostsEach; i++ {
			ip := s.ip(d+1, i)
			h := &host{
				id: fmt.Sprintf("%s-%d", dc, i), dataCentre: dc,
				callers: ip + ":8080", peers: ip + ":9000", admin: ip + ":8090",
			}
			if s.layout.links {
				h.logLink = newTCPLink(s.t, s.logAddr())
			}
			s.ctl("keys", "host", "-ca", s.path("ca.pem"), "-id", h.id, "-address", ip).save(h.id + ".pem")
			s.hosts = append(s.hosts, h)
		}
	}
	var admins []string
	for _, h := range s.hosts {
		admins = append(admins, h.admin)
	}
	s.write("operator.jsonc", map[string]any{
		"platform": map[string]any{"log": s.logAddr(), "hostList": s.listAddr()},
		"admin":    admins,
	})
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if s.layout.links && a.id < b.id {
				s.pairs[[2]string{a.id, b.id}] = newUDPLink(s.t, b.peers)
			}
		}
	}
	for _, h := range s.hosts {
		h.settings = s.write(h.id+".jsonc", s.hostSettings(h))
	}
}

func (s *site) hostSettings(h *host) map[string]any {
	log := s.logAddr()
	overrides := map[string]string{}
	if h.logLink != nil {
		log = h.logLink.addr()
	}
	for pair, l := range s.pairs {
		if pair[0] == h.id {
			overrides[pair[1]] = l.addr()
		}
	}
	services := map[string]any{}
	for name := range s.layout.workers {
		services[name] = map[string]any{"slots": s.layout.slots, "probeCost": "6ms", "connectionCost": "1ms"}
	}
	return map[string]any{
		"host":          map[string]any{"id": h.id, "site": "proof", "dataCentre": h.dataCentre},
		"listen":        map[string]any{"callers": h.callers, "peers": h.peers, "admin": h.admin},
		"platform":      map[string]any{"log": log, "hostList": s.listAddr()},
		"tls":           map[string]any{"ca": s.path("ca.pem"), "identity": s.path(h.id + ".pem")},
		"dataCentres":   s.layout.dataCentres,
		"services":      services,
		"peerAddresses": overrides,
		"timing":        map[string]any{"addressLifetime": "1s"},
		"runtime":       map[string]any{"processors": 1},
	}
}

func (s *site) startPlatform() {
	retention := s.layout.retention
	if retention == "" {
		retention = `{"age": "10m"}`
	}
	log := map[string]any{"listen": s.logAddr(), "control": s.logControl(), "retention": json.RawMessage(retention)}
	var entries, places []any
	for _, h := range s.hosts {
		entries = append(entries, map[string]any{
			"id": h.id, "role": "host", "dataCentre": h.dataCentre, "address": h.callers, "peerAddress": h.peers,
		})
	}
	services := map[string]any{}
	for name, n := range s.layout.workers {
		service := json.RawMessage(fmt.Sprintf(`{"warm": %v, "slots": %d}`, s.layout.warm, s.layout.slots))
		if s.layout.service != "" {
			service = json.RawMessage(s.layout.service)
		}
		services[name] = service
		for d, dc := range s.layout.dataCentres {
			for i := 1; i <= n; i++ {
				place := map[string]any{
					"id": fmt.Sprintf("%s-%s-%d", name, dc, i), "service": name, "dataCentre": dc,
					"address": s.ip(100+10*d+len(services), i) + ":7100",
				}
				places = append(places, place)
				entry := map[string]any{"role": "upstream"}
				for k, v := range place {
					entry[k] = v
				}
				entries = append(entries, entry)
			}
		}
	}
	lag := s.layout.lag
	if lag == "" {
		lag = "200ms"
	}
	s.standin("log", log)
	s.standin("hosts", map[string]any{"listen": s.listAddr(), "control": s.listControl(), "lag": lag, "entries": entries})
	s.standin("upstreams", map[string]any{"control": s.fleetControl(), "services": services, "workers": places})
}

func (s *site) standin(name string, settings map[string]any) {
	p := startProcess(s.t, s.dir, name, "standin", name, "-settings", s.write("standin-"+name+".jsonc", settings))
	s.wait("stand-in "+name+" to start", func() bool {
		data, _ := os.ReadFile(p.out.Name())
		return bytes.HasPrefix(data, []byte("ready\n"))
	})
}

func (s *site) path(name string) string { return filepath.Join(s.dir, name) }

func (s *site) write(name string, v any) string {
	s.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(s.path(name), data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return s.path(name)
}

// start starts or restarts the process of a host.
func (s *site) start(h *host) {
	s.t.Helper()
	h.process = startProcess(s.t, s.dir, h.id, "sardined", "-settings", h.settings)
	delete(s.dead, h.id)
}

// kill ends a host's process without warning.
func (s *site) kill(h *host) {
	s.dead[h.id] = true
	h.kill()
}

// live returns the hosts that are expected to be reachable.
func (s *site) live() []*host {
	var live []*host
	for _, h := range s.hosts {
		if !s.dead[h.id] {
			live = append(live, h)
		}
	}
	return live
}

func (s *site) host(id string) *host {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	s.t.Fatalf("no host %s", id)
	return nil
}

// isolate cuts or mends all links of a host to other hosts and to the log.
func (s *site) isolate(h *host, on bool) {
	h.logLink.both(on)
	for pair, l := range s.pairs {
		if pair[0] == h.id || pair[1] == h.id {
			l.both(on)
		}
	}
}

// ctlResult is the result of one run of the operators' program.
type ctlResult struct {
	s    *site
	out  []byte
	errs string
	code int
}

// ctl runs the operators' program.
func (s *site) ctl(args ...string) ctlResult {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../bin/sardinectl", args...)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Fatal(err)
	}
	return ctlResult{s: s, out: out, errs: errs.String(), code: cmd.ProcessState.ExitCode()}
}

func (r ctlResult) ok() ctlResult {
	r.s.t.Helper()
	if r.code != 0 {
		r.s.t.Fatalf("sardinectl exited with %d: %s%s", r.code, r.out, r.errs)
	}
	return r
}

func (r ctlResult) save(name string) {
	r.s.t.Helper()
	r.ok()
	if err := os.WriteFile(r.s.path(name), r.out, 0o600); err != nil {
		r.s.t.Fatal(err)
	}
}

// operate runs the operators' program with the settings of the site.
func (s *site) operate(args ...string) ctlResult {
	s.t.Helper()
	return s.ctl(append([]string{"-settings", s.path("operator.jsonc")}, args...)...)
}

func (s *site) publishClasses() {
	s.t.Helper()
	s.operate("class", "set", "orders", "-service", "booking", "-target", "100ms", "-deadline", "2s", "-rank", "1").ok()
	if s.layout.workers["enquiry"] > 0 {
		s.operate("class", "set", "consultations", "-service", "enquiry", "-target", "50ms", "-deadline", "1s", "-idempotent", "-rank", "2").ok()
	}
	missing := ""
	defer func() {
		if s.t.Failed() {
			s.t.Log("missing: " + missing)
		}
	}()
	s.wait("all classes to be in force on all hosts", func() bool {
		missing = s.missing()
		return missing == ""
	})
}

// missing says what keeps a host from serving all classes; it is empty if nothing does.
func (s *site) missing() string {
	for _, h := range s.live() {
		st, err := s.status(h)
		switch {
		case err != nil:
			return err.Error()
		case !st.InService || len(st.Classes) != len(s.layout.workers):
			return fmt.Sprintf("%s has in service %v and %d classes", h.id, st.InService, len(st.Classes))
		}
		for _, m := range st.Members {
			if !m.Reachable && !s.dead[m.ID] {
				return h.id + " does not reach " + m.ID
			}
		}
	}
	return ""
}

// hostStatus is the part of GET /status that the tests read.
type hostStatus struct {
	Incarnation   string `json:"incarnation"`
	InService     bool   `json:"inService"`
	Leaving       bool   `json:"leaving"`
	Configuration struct {
		Version int64 `json:"version"`
	} `json:"configuration"`
	Classes []struct {
		Name   string `json:"name"`
		Target string `json:"target"`
	} `json:"classes"`
	Members []struct {
		ID        string `json:"id"`
		Reachable bool   `json:"reachable"`
	} `json:"members"`
	Upstreams []struct {
		ID    string `json:"id"`
		Owner string `json:"owner"`
		Limit int    `json:"limit"`
		Held  int    `json:"held"`
		Out   bool   `json:"out"`
	} `json:"upstreams"`
}

func (s *site) status(h *host) (hostStatus, error) {
	var st hostStatus
	err := getJSON("http://"+h.admin+"/status", &st)
	return st, err
}

// workerStats is the part of the upstreams' GET /stats that the tests read.
type workerStats struct {
	ID                   string  `json:"id"`
	Service              string  `json:"service"`
	DataCentre           string  `json:"dataCentre"`
	Slots                int     `json:"slots"`
	GreatestInFlight     int     `json:"greatestInFlight"`
	GreatestInFlightCold int     `json:"greatestInFlightCold"`
	GreatestOver         int     `json:"greatestOver"`
	FellOver             int64   `json:"fellOver"`
	Run                  int64   `json:"run"`
	LastWork             int64   `json:"lastWork"`
	ProbeTime            float64 `json:"probeTime"`
	ConnectionTime       float64 `json:"connectionTime"`
	Connections          int64   `json:"connections"`
	Probes               int64   `json:"probes"`
}

func (s *site) workers() []workerStats {
	s.t.Helper()
	var answer struct {
		Workers []workerStats `json:"workers"`
	}
	if err := getJSON("http://"+s.fleetControl()+"/stats", &answer); err != nil {
		s.t.Fatal(err)
	}
	return answer.Workers
}

// runs returns how often each order ran on all upstreams together.
func (s *site) runs() map[string]int {
	s.t.Helper()
	var answer struct {
		Orders map[string]struct {
			Run int `json:"run"`
		} `json:"orders"`
	}
	if err := getJSON("http://"+s.fleetControl()+"/orders", &answer); err != nil {
		s.t.Fatal(err)
	}
	runs := map[string]int{}
	for number, e := range answer.Orders {
		runs[number] = e.Run
	}
	return runs
}

// control switches a fault of a stand-in.
func (s *site) control(addr, body string) {
	s.t.Helper()
	resp, err := shortClient.Post("http://"+addr+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode >= 300 {
		s.t.Fatalf("control %s: %s: %s", body, resp.Status, text)
	}
}

var shortClient = &http.Client{Timeout: 2 * time.Second}

func getJSON(url string, v any) error {
	resp, err := shortClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// wait waits for a condition.
func (s *site) wait(what string, ok func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// after lets traffic run for a while; nothing is concluded from the passing of this time alone.
func after(d time.Duration) { time.Sleep(d) }
