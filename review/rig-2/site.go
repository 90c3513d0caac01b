package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all addresses of a site. Each site has address blocks of its own.
const (
	frontPort, readyPort, directoryPort, storePort, workerPort = "8548", "8542", "8546", "8541", "8185"
	internalPort                                               = "7540"
)

// maxPaths is the number of hosts up to which each pair has a path that can be cut. More hosts see each other directly.
const maxPaths = 15

// leadTime is the time from the start of the machines to that of traffic.
const leadTime = 8 * time.Second

// site is a small deployment: hosts as processes, the store, workers, and the network between them.
type site struct {
	block [2]int // second and third byte of the addresses
	dir   string
	log   *record
	store *store
	hosts []*host
	// services are those that clients send orders for.
	services []string
	net      *network
	runCtx   context.Context
	nextID   int
	idMu     sync.Mutex
}

// host is one process of the program.
type host struct {
	name, zone, ip string
	storePath      *proxy // between the host and the store
	cmd            *exec.Cmd
	exited         chan struct{}
	client         *http.Client
}

// newSite opens the store and the paths to it for hosts in the given zones, one for each element, and a number of services.
func newSite(log *record, zones []string, services int, contracts, bounds string) (*site, error) {
	s := &site{log: log, store: newStore(), services: serviceNames(services)}
	var err error
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if err := s.findBlock(); err != nil {
		return nil, err
	}
	var ips []string
	var seen [][]string
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: s.ip(0, 10+i), exited: make(chan struct{})}
		h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
		if _, err := serveHTTP(net.JoinHostPort(s.ip(2, 10+i), storePort), s.store.handler(h.name)); err != nil {
			return nil, err
		}
		if h.storePath, err = newProxy(net.JoinHostPort(s.ip(3, 10+i), storePort), net.JoinHostPort(s.ip(2, 10+i), storePort)); err != nil {
			return nil, err
		}
		s.hosts, ips = append(s.hosts, h), append(ips, h.ip)
		if len(zones) <= maxPaths {
			row := make([]string, len(zones))
			for j := range zones {
				row[j] = s.ip(1, 10+i*len(zones)+j)
			}
			seen = append(seen, row)
		}
	}
	if seen == nil {
		return s, s.writeSettings(contracts, bounds)
	}
	if s.net, err = newNetwork(ips, seen, internalPort); err != nil {
		return nil, err
	}
	s.store.view = func(reader, name, value string) string {
		x, y := s.index(reader), s.index(name)
		if x < 0 || y < 0 || x == y {
			return value
		}
		return seen[x][y]
	}
	return s, s.writeSettings(contracts, bounds)
}

// writeSettings writes the settings files of the hosts.
func (s *site) writeSettings(contracts, bounds string) error {
	for i, h := range s.hosts {
		settings := fmt.Sprintf(`node=%s
role=entry
machine-class=edge
serves=edge,registry
ip=%s
zone=%s
region=region
listen.front=%s
listen.ready=%s
listen.directory=%s
internal-port-range=7540,7555
bootstrap=true
limits.cpu-share=0.32
limits.cpus=1
limits.ram-mb=284
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=registry
heartbeat-s=1.5
contracts=%s
bounds=%s
platform.addr=%s
platform.form=log
`, h.name, h.ip, h.zone, h.address(frontPort), h.address(readyPort), h.address(directoryPort), contracts, bounds,
			net.JoinHostPort(s.ip(3, 10+i), storePort))
		if err := os.WriteFile(filepath.Join(s.dir, h.name+".conf"), []byte(settings), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// findBlock picks address blocks in which the ports are free.
func (s *site) findBlock() error {
	for range 50 {
		s.block = [2]int{64 + rand.IntN(150), 4 * rand.IntN(60)}
		free := true
		for _, a := range []string{s.ip(0, 10) + ":9464", s.ip(2, 10) + ":" + storePort, s.ip(1, 11) + ":" + internalPort, s.ip(0, 100) + ":" + workerPort} {
			ln, err := net.Listen("tcp4", a)
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free addresses")
}

func (s *site) ip(part, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.block[0], s.block[1]+part, n)
}

func (h *host) address(port string) string { return net.JoinHostPort(h.ip, port) }

func (s *site) index(name string) int {
	for i, h := range s.hosts {
		if h.name == name {
			return i
		}
	}
	return -1
}

// start starts the hosts and waits until each is ready, and then for as long as traffic waits after the start of the machines.
func (s *site) start() error {
	if err := s.launch(s.hosts); err != nil {
		return err
	}
	begin := time.Now()
	for _, h := range s.hosts {
		for !s.ready(h) {
			if time.Since(begin) > leadTime {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(begin.Add(leadTime)))
	return nil
}

// kill ends the processes of all hosts at once.
func (s *site) kill() {
	for _, h := range s.hosts {
		_ = h.cmd.Process.Kill()
	}
	for _, h := range s.hosts {
		<-h.exited
		h.client.CloseIdleConnections()
	}
}

// launch starts the processes of some hosts.
func (s *site) launch(hosts []*host) error {
	for _, h := range hosts {
		out, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		h.exited = make(chan struct{})
		h.cmd = exec.Command("target/sardinegate") // the command of the deploy file
		h.cmd.Env = append(os.Environ(), "SARDINECROSS_NODE_FILE="+filepath.Join(s.dir, h.name+".conf"))
		h.cmd.Stdout, h.cmd.Stderr = out, out
		h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := h.cmd.Start(); err != nil {
			return err
		}
		_ = out.Close()
		go func(cmd *exec.Cmd, exited chan struct{}) {
			_ = cmd.Wait()
			close(exited)
		}(h.cmd, h.exited)
	}
	return nil
}

func (s *site) ready(h *host) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the processes that start has started, and removes the folder of the site unless REVIEW_KEEP is set.
func (s *site) stop() {
	for _, h := range s.hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.Rename(s.dir, keep)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// configure writes a configuration.
func (s *site) configure(config map[string]any) {
	value, _ := json.Marshal(config)
	s.store.put("keyed.op", "config", value)
}

// resolve asks the directory of a host for the addresses of a zone, as clients do.
func resolve(h *host, name, zone string) []string {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.address(directoryPort) + "/resolve?name=" + name + "&region=region&zone=" + zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addrs []string `json:"addrs"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addrs
}

// addresses holds what the directory told the clients of a zone last.
type addresses struct {
	mu    sync.Mutex
	addrs []string
}

func (a *addresses) pick() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.addrs) == 0 {
		return ""
	}
	return a.addrs[rand.IntN(len(a.addrs))]
}

// clients sends requests of one kind from a zone at a rate until ctx ends, and waits for their answers.
func (s *site) clients(ctx context.Context, zone, tenant, key string, rate float64, limit time.Duration) {
	var known addresses
	var wg sync.WaitGroup
	refresh := func() {
		for _, local := range []bool{true, false} {
			for _, h := range s.hosts {
				if (h.zone == zone) != local {
					continue
				}
				if addrs := resolve(h, "site.example", zone); len(addrs) > 0 {
					known.mu.Lock()
					known.addrs = addrs
					known.mu.Unlock()
					return
				}
			}
		}
	}
	refresh()
	wg.Go(func() {
		t := time.NewTicker(2 * time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				refresh()
			case <-ctx.Done():
				return
			}
		}
	})
	for next := time.Now(); ctx.Err() == nil; next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate)) {
		time.Sleep(time.Until(next))
		if addr := known.pick(); addr != "" {
			wg.Go(func() { s.send(addr, tenant, key, limit) })
		}
	}
	wg.Wait()
}

// newID returns the ID of a new request.
func (s *site) newID() string {
	s.idMu.Lock()
	defer s.idMu.Unlock()
	s.nextID++
	return fmt.Sprintf("%016x", s.nextID)
}

// once hides that a body can be read again, so that the client sends each request once.
type once struct{ io.Reader }

// send sends one order and records its answer.
func (s *site) send(addr, tenant, key string, limit time.Duration) {
	id := s.newID()
	ip, _, _ := net.SplitHostPort(addr)
	var h *host
	for _, other := range s.hosts {
		if other.ip == ip {
			h = other
		}
	}
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	service := s.services[rand.IntN(len(s.services))]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+service+"/2f", once{strings.NewReader("order")})
	if err != nil {
		return
	}
	r.ContentLength = 5
	r.Host = "site.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if key != "" {
		r.Header.Set("Key", key)
	}
	s.log.sent(id, tenant, h.name)
	resp, err := h.client.Do(r)
	if err != nil {
		s.log.ended(id, 0, "no answer")
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		s.log.ended(id, 0, "answer incomplete")
		return
	}
	note := ""
	if resp.StatusCode >= 300 {
		note = strings.TrimSpace(string(body))
	}
	s.log.ended(id, resp.StatusCode, note)
}
