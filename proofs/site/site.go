// Package site runs sites of hosts, stand-ins and operators as separate processes, with links that can be cut, for tests and
// measurements.
package site

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Patience bounds every wait for a condition; it is no measurement and far above what an idle machine needs.
const Patience = 30 * time.Second

// Reserve returns a number n such that no other site, of this run or another one, uses addresses under 127.n.0.0/16.
func Reserve(t T) int {
	t.Helper()
	for n := 20; n < 255; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7000", n))
		if err == nil {
			t.Cleanup(func() { _ = ln.Close() })
			return n
		}
	}
	t.Fatal("no free addresses under 127.0.0.0/8")
	return 0
}

// Layout describes a site.
type Layout struct {
	DataCentres []string
	HostsEach   int
	// Workers is the number of upstreams of each service in each data centre.
	Workers map[string]int
	// Links puts a cuttable link between each pair of hosts and between each host and the log.
	Links bool
	// Warm starts the upstreams Warm; they start cold otherwise.
	Warm bool
	// Slots of each upstream, 4 by default.
	Slots int
	// Service replaces settings of the stand-in's services, Retention that of the log.
	Service, Retention string
	// Lag is the host list's.
	Lag string
}

// Hofbauer is the layout of that site in small.
var Hofbauer = Layout{
	DataCentres: []string{"passau", "landshut", "straubing"},
	HostsEach:   2,
	Workers:     map[string]int{"booking": 2, "enquiry": 3},
}

// Host is one entry host of a site; Start replaces its process.
type Host struct {
	*Process
	ID, DataCentre, Settings string
	Callers, Peers, Admin    string
	LogLink                  *TCPLink
}

// Site is one running site.
type Site struct {
	T      T
	Layout Layout
	// Dir holds settings, keys and output.
	Dir string
	// N is the second byte of all addresses.
	N     int
	Hosts []*Host
	// Pairs holds the links between hosts, keyed by the dialling host's ID and the other's.
	Pairs map[[2]string]*UDPLink
	// Dead holds the hosts that are expected to be unreachable.
	Dead map[string]bool
}

// IP returns an address of the site.
func (s *Site) IP(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.N, group, i) }

// LogAddr is the address of the log.
func (s *Site) LogAddr() string { return s.IP(200, 1) + ":7001" }

// LogControl is where the faults of the log are set.
func (s *Site) LogControl() string { return s.IP(200, 1) + ":7002" }

// ListAddr is the address of the host list.
func (s *Site) ListAddr() string { return s.IP(200, 2) + ":7001" }

// ListControl is where the faults of the host list are set.
func (s *Site) ListControl() string { return s.IP(200, 2) + ":7002" }

// FleetControl is where the faults of the upstreams are set.
func (s *Site) FleetControl() string { return s.IP(200, 3) + ":7002" }

// New starts the stand-ins and all hosts, publishes the classes and waits until they are in force.
func New(t T, l Layout) *Site {
	t.Helper()
	l.Slots = cmp.Or(l.Slots, 4)
	s := &Site{
		T: t, Layout: l, Dir: t.TempDir(), N: Reserve(t),
		Pairs: map[[2]string]*UDPLink{}, Dead: map[string]bool{},
	}
	s.Ctl("keys", "ca").Save("ca.pem")
	s.LayOut()
	s.StartPlatform()
	for _, h := range s.Hosts {
		s.Start(h)
	}
	s.PublishClasses()
	return s
}

// LayOut makes the hosts with their links, keys and settings.
func (s *Site) LayOut() {
	for d, dc := range s.Layout.DataCentres {
		for i := 1; i <= s.Layout.HostsEach; i++ {
			ip := s.IP(d+1, i)
			h := &Host{
				ID: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc,
				Callers: ip + ":8080", Peers: ip + ":9000", Admin: ip + ":8090",
			}
			if s.Layout.Links {
				h.LogLink = NewTCPLink(s.T, s.LogAddr())
			}
			s.Ctl("keys", "host", "-ca", s.Path("ca.pem"), "-id", h.ID, "-address", ip).Save(h.ID + ".pem")
			s.Hosts = append(s.Hosts, h)
		}
	}
	var admins []string
	for _, h := range s.Hosts {
		admins = append(admins, h.Admin)
	}
	s.Write("operator.jsonc", map[string]any{
		"platform": map[string]any{"log": s.LogAddr(), "hostList": s.ListAddr()},
		"admin":    admins,
	})
	for _, a := range s.Hosts {
		for _, b := range s.Hosts {
			if s.Layout.Links && a.ID < b.ID {
				s.Pairs[[2]string{a.ID, b.ID}] = NewUDPLink(s.T, b.Peers)
			}
		}
	}
	for _, h := range s.Hosts {
		h.Settings = s.Write(h.ID+".jsonc", s.HostSettings(h))
	}
}

// HostSettings returns the settings of a host.
func (s *Site) HostSettings(h *Host) map[string]any {
	log := s.LogAddr()
	overrides := map[string]string{}
	if h.LogLink != nil {
		log = h.LogLink.Addr()
	}
	for pair, l := range s.Pairs {
		if pair[0] == h.ID {
			overrides[pair[1]] = l.Addr()
		}
	}
	services := map[string]any{}
	for name := range s.Layout.Workers {
		services[name] = map[string]any{"slots": s.Layout.Slots, "probeCost": "6ms", "connectionCost": "1ms"}
	}
	return map[string]any{
		"host":          map[string]any{"id": h.ID, "site": "proof", "dataCentre": h.DataCentre},
		"listen":        map[string]any{"callers": h.Callers, "peers": h.Peers, "admin": h.Admin},
		"platform":      map[string]any{"log": log, "hostList": s.ListAddr()},
		"tls":           map[string]any{"ca": s.Path("ca.pem"), "identity": s.Path(h.ID + ".pem")},
		"dataCentres":   s.Layout.DataCentres,
		"services":      services,
		"peerAddresses": overrides,
		"timing":        map[string]any{"addressLifetime": "1s"},
		"runtime":       map[string]any{"processors": 1},
	}
}

// StartPlatform starts the stand-ins.
func (s *Site) StartPlatform() {
	retention := s.Layout.Retention
	if retention == "" {
		retention = `{"age": "10m"}`
	}
	log := map[string]any{"listen": s.LogAddr(), "control": s.LogControl(), "retention": json.RawMessage(retention)}
	var entries, places []any
	for _, h := range s.Hosts {
		entries = append(entries, map[string]any{
			"id": h.ID, "role": "host", "dataCentre": h.DataCentre, "address": h.Callers, "peerAddress": h.Peers,
		})
	}
	services := map[string]any{}
	for name, n := range s.Layout.Workers {
		service := json.RawMessage(fmt.Sprintf(`{"warm": %v, "slots": %d}`, s.Layout.Warm, s.Layout.Slots))
		if s.Layout.Service != "" {
			service = json.RawMessage(s.Layout.Service)
		}
		services[name] = service
		for d, dc := range s.Layout.DataCentres {
			for i := 1; i <= n; i++ {
				place := map[string]any{
					"id": fmt.Sprintf("%s-%s-%d", name, dc, i), "service": name, "dataCentre": dc,
					"address": s.IP(100+10*d+len(services), i) + ":7100",
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
	lag := s.Layout.Lag
	if lag == "" {
		lag = "200ms"
	}
	s.Standin("log", log)
	s.Standin("hosts", map[string]any{"listen": s.ListAddr(), "control": s.ListControl(), "lag": lag, "entries": entries})
	s.Standin("upstreams", map[string]any{"control": s.FleetControl(), "services": services, "workers": places})
}

// Standin starts a stand-in and waits until it is ready.
func (s *Site) Standin(name string, settings map[string]any) {
	p := StartProcess(s.T, s.Dir, name, "standin", name, "-settings", s.Write("standin-"+name+".jsonc", settings))
	s.Wait("stand-in "+name+" to start", func() bool {
		data, _ := os.ReadFile(p.Out.Name())
		return bytes.HasPrefix(data, []byte("ready\n"))
	})
}

// Path returns the path of a file of the site.
func (s *Site) Path(name string) string { return filepath.Join(s.Dir, name) }

func (s *Site) Write(name string, v any) string {
	s.T.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		s.T.Fatal(err)
	}
	if err := os.WriteFile(s.Path(name), data, 0o600); err != nil {
		s.T.Fatal(err)
	}
	return s.Path(name)
}

// Start starts or restarts the process of a host.
func (s *Site) Start(h *Host) {
	s.T.Helper()
	h.Process = StartProcess(s.T, s.Dir, h.ID, "sardined", "-settings", h.Settings)
	delete(s.Dead, h.ID)
}

// Kill ends a host's process without warning.
func (s *Site) Kill(h *Host) {
	s.Dead[h.ID] = true
	h.Kill()
}

// Live returns the hosts that are expected to be reachable.
func (s *Site) Live() []*Host {
	var live []*Host
	for _, h := range s.Hosts {
		if !s.Dead[h.ID] {
			live = append(live, h)
		}
	}
	return live
}

// Host returns the host with an ID.
func (s *Site) Host(id string) *Host {
	for _, h := range s.Hosts {
		if h.ID == id {
			return h
		}
	}
	s.T.Fatalf("no host %s", id)
	return nil
}

// Isolate cuts or mends all links of a host to other hosts and to the log.
func (s *Site) Isolate(h *Host, on bool) {
	h.LogLink.Both(on)
	for pair, l := range s.Pairs {
		if pair[0] == h.ID || pair[1] == h.ID {
			l.Both(on)
		}
	}
}
