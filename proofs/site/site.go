// Package site starts the hosts and the stand-ins of a site as separate processes and runs the operators' program, for
// tests and measurements. The network links between the processes can be cut.
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

// WaitTimeout bounds every wait for a condition. It is far longer than an idle machine needs, so it says nothing about
// how fast the condition should come about.
const WaitTimeout = 30 * time.Second

// ReserveAddresses returns a number n and reserves the network 127.n.0.0/16 until t ends, against the other sites of this
// test run and of others on the machine. It does so by listening on one address of the network.
func ReserveAddresses(t T) int {
	t.Helper()
	for n := 20; n < 255; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7000", n))
		if err == nil {
			t.Cleanup(func() { _ = ln.Close() })
			return n
		}
	}
	t.Fatal("no free network in 127.20.0.0/16 to 127.254.0.0/16")
	return 0
}

// Layout describes the hosts, upstreams and links of a site.
type Layout struct {
	DataCentres []string
	// HostsPerDataCentre is the number of hosts in each data centre.
	HostsPerDataCentre int
	// UpstreamsPerService is the number of upstreams of each service in each data centre.
	UpstreamsPerService map[string]int
	// CuttableLinks routes the traffic between each pair of hosts, and between each host and the log, through a link
	// that can be cut.
	CuttableLinks bool
	// Warm starts the upstreams warm; otherwise they start cold.
	Warm bool
	// Slots is the number of slots of each upstream, 4 if it is zero.
	Slots int
	// ServiceSettings, a JSON object, replaces the stand-in's settings of every service. LogRetention, a JSON object too,
	// replaces the retention settings of the log.
	ServiceSettings, LogRetention string
	// HostListLag is the delay until a change of the host list shows in its answers, 200ms if it is empty.
	HostListLag string
}

// HofbauerSmall is a scaled-down layout of the site hofbauer.
var HofbauerSmall = Layout{
	DataCentres:         []string{"passau", "landshut", "straubing"},
	HostsPerDataCentre:  2,
	UpstreamsPerService: map[string]int{"booking": 2, "enquiry": 3},
}

// Host is one entry host of a site. Site.Start replaces its process.
type Host struct {
	*Process
	ID, DataCentre, SettingsPath    string
	CallerAddr, PeerAddr, AdminAddr string
	LogLink                         *TCPLink
}

// Site is one running site with its processes, files and links.
type Site struct {
	T      T
	Layout Layout
	// Dir is the directory of the settings, the keys and the output of the programs.
	Dir string
	// SecondOctet is the second octet of all addresses of the site.
	SecondOctet int
	Hosts       []*Host
	// HostLinks holds the links between hosts by the ID of the dialling host and that of the host it dials.
	HostLinks map[[2]string]*UDPLink
	// ExpectedDown holds the IDs of the hosts that are expected to be unreachable.
	ExpectedDown map[string]bool
}

// IP returns the site's IP address with the given last two octets.
func (s *Site) IP(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.SecondOctet, group, i) }

// LogAddr returns the address of the log.
func (s *Site) LogAddr() string { return s.IP(200, 1) + ":7001" }

// LogControl returns the address at which faults of the log are set.
func (s *Site) LogControl() string { return s.IP(200, 1) + ":7002" }

// HostListAddr returns the address of the host list.
func (s *Site) HostListAddr() string { return s.IP(200, 2) + ":7001" }

// HostListControl returns the address at which faults of the host list are set.
func (s *Site) HostListControl() string { return s.IP(200, 2) + ":7002" }

// UpstreamControl returns the address at which faults of the upstreams are set.
func (s *Site) UpstreamControl() string { return s.IP(200, 3) + ":7002" }

// New starts the stand-ins and all hosts, publishes the classes and waits until every host serves them.
func New(t T, l Layout) *Site {
	t.Helper()
	l.Slots = cmp.Or(l.Slots, 4)
	s := &Site{
		T: t, Layout: l, Dir: t.TempDir(), SecondOctet: ReserveAddresses(t),
		HostLinks: map[[2]string]*UDPLink{}, ExpectedDown: map[string]bool{},
	}
	s.RunCtl("keys", "ca").SaveStdout("ca.pem")
	s.CreateHosts()
	s.StartPlatform()
	for _, h := range s.Hosts {
		s.Start(h)
	}
	s.PublishClasses()
	return s
}

// CreateHosts creates the hosts of the layout with their links, keys and settings files. It starts no host.
func (s *Site) CreateHosts() {
	for d, dc := range s.Layout.DataCentres {
		for i := 1; i <= s.Layout.HostsPerDataCentre; i++ {
			h := s.AddHost(dc, d+1, i)
			if s.Layout.CuttableLinks {
				h.LogLink = NewTCPLink(s.T, s.LogAddr())
			}
		}
	}
	s.WriteOperatorSettings()
	for _, a := range s.Hosts {
		for _, b := range s.Hosts {
			if s.Layout.CuttableLinks && a.ID < b.ID {
				s.HostLinks[[2]string{a.ID, b.ID}] = NewUDPLink(s.T, b.PeerAddr)
			}
		}
	}
	for _, h := range s.Hosts {
		h.SettingsPath = s.WriteJSONFile(h.ID+".jsonc", s.HostSettings(h))
	}
}

// AddHost adds the host n of a data centre, whose address is in the given group, and creates its key. It has no settings file yet.
func (s *Site) AddHost(dataCentre string, group, n int) *Host {
	ip := s.IP(group, n)
	h := &Host{
		ID: fmt.Sprintf("%s-%d", dataCentre, n), DataCentre: dataCentre,
		CallerAddr: ip + ":8080", PeerAddr: ip + ":9000", AdminAddr: ip + ":8090",
	}
	s.RunCtl("keys", "host", "-ca", s.Path("ca.pem"), "-id", h.ID, "-address", ip).SaveStdout(h.ID + ".pem")
	s.Hosts = append(s.Hosts, h)
	return h
}

// WriteOperatorSettings writes the settings file of the operators' program for the platform and all hosts.
func (s *Site) WriteOperatorSettings() {
	var admins []string
	for _, h := range s.Hosts {
		admins = append(admins, h.AdminAddr)
	}
	s.WriteJSONFile("operator.jsonc", map[string]any{
		"platform": map[string]any{"log": s.LogAddr(), "hostList": s.HostListAddr()},
		"admin":    admins,
	})
}

// HostSettings returns the content of a host's settings file.
func (s *Site) HostSettings(h *Host) map[string]any {
	log := s.LogAddr()
	overrides := map[string]string{}
	if h.LogLink != nil {
		log = h.LogLink.Addr()
	}
	for pair, l := range s.HostLinks {
		if pair[0] == h.ID {
			overrides[pair[1]] = l.Addr()
		}
	}
	services := map[string]any{}
	for name := range s.Layout.UpstreamsPerService {
		services[name] = map[string]any{"slots": s.Layout.Slots, "probeCost": "6ms", "connectionCost": "1ms"}
	}
	return map[string]any{
		"host":          map[string]any{"id": h.ID, "site": "proof", "dataCentre": h.DataCentre},
		"listen":        map[string]any{"callers": h.CallerAddr, "peers": h.PeerAddr, "admin": h.AdminAddr},
		"platform":      map[string]any{"log": log, "hostList": s.HostListAddr()},
		"tls":           map[string]any{"ca": s.Path("ca.pem"), "identity": s.Path(h.ID + ".pem")},
		"dataCentres":   s.Layout.DataCentres,
		"services":      services,
		"peerAddresses": overrides,
		"timing":        map[string]any{"addressLifetime": "1s"},
		"runtime":       map[string]any{"processors": 1},
	}
}

// StartPlatform starts the stand-ins of the log, the host list and the upstreams.
func (s *Site) StartPlatform() {
	retention := s.Layout.LogRetention
	if retention == "" {
		retention = `{"age": "10m"}`
	}
	log := map[string]any{"listen": s.LogAddr(), "control": s.LogControl(), "retention": json.RawMessage(retention)}
	var entries, upstreams []any
	for _, h := range s.Hosts {
		entries = append(entries, map[string]any{
			"id": h.ID, "role": "host", "dataCentre": h.DataCentre, "address": h.CallerAddr, "peerAddress": h.PeerAddr,
		})
	}
	services := map[string]any{}
	for name, n := range s.Layout.UpstreamsPerService {
		service := json.RawMessage(fmt.Sprintf(`{"warm": %v, "slots": %d}`, s.Layout.Warm, s.Layout.Slots))
		if s.Layout.ServiceSettings != "" {
			service = json.RawMessage(s.Layout.ServiceSettings)
		}
		services[name] = service
		for d, dc := range s.Layout.DataCentres {
			for i := 1; i <= n; i++ {
				upstream := map[string]any{
					"id": fmt.Sprintf("%s-%s-%d", name, dc, i), "service": name, "dataCentre": dc,
					"address": s.IP(100+10*d+len(services), i) + ":7100",
				}
				upstreams = append(upstreams, upstream)
				entry := map[string]any{"role": "upstream"}
				for k, v := range upstream {
					entry[k] = v
				}
				entries = append(entries, entry)
			}
		}
	}
	lag := s.Layout.HostListLag
	if lag == "" {
		lag = "200ms"
	}
	s.StartStandin("log", log)
	s.StartStandin("hosts", map[string]any{"listen": s.HostListAddr(), "control": s.HostListControl(), "lag": lag, "entries": entries})
	s.StartStandin("upstreams", map[string]any{"control": s.UpstreamControl(), "services": services, "workers": upstreams})
}

// StartStandin starts a stand-in and waits until it reports that it is ready.
func (s *Site) StartStandin(name string, settings map[string]any) {
	p := StartProcess(s.T, s.Dir, name, "standin", name, "-settings", s.WriteJSONFile("standin-"+name+".jsonc", settings))
	s.Wait("stand-in "+name+" to start", func() bool {
		data, _ := os.ReadFile(p.Output.Name())
		return bytes.HasPrefix(data, []byte("ready\n"))
	})
}

// Path returns the path of a file in the site's directory.
func (s *Site) Path(name string) string { return filepath.Join(s.Dir, name) }

// WriteJSONFile encodes v as JSON into a file in the site's directory and returns the path of the file.
func (s *Site) WriteJSONFile(name string, v any) string {
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

// Start starts the process of a host, or starts it again after it has ended.
func (s *Site) Start(h *Host) {
	s.T.Helper()
	h.Process = StartProcess(s.T, s.Dir, h.ID, "sardined", "-settings", h.SettingsPath)
	delete(s.ExpectedDown, h.ID)
}

// Kill kills a host's process with SIGKILL and waits for its end.
func (s *Site) Kill(h *Host) {
	s.ExpectedDown[h.ID] = true
	h.Kill()
}

// LiveHosts returns the hosts that are expected to be reachable.
func (s *Site) LiveHosts() []*Host {
	var live []*Host
	for _, h := range s.Hosts {
		if !s.ExpectedDown[h.ID] {
			live = append(live, h)
		}
	}
	return live
}

// Host returns the host with the given ID.
func (s *Site) Host(id string) *Host {
	for _, h := range s.Hosts {
		if h.ID == id {
			return h
		}
	}
	s.T.Fatalf("the site has no host %q", id)
	return nil
}

// Isolate cuts all links of a host to other hosts and to the log if cut is set, and restores them otherwise.
func (s *Site) Isolate(h *Host, cut bool) {
	h.LogLink.SetBoth(cut)
	for pair, l := range s.HostLinks {
		if pair[0] == h.ID || pair[1] == h.ID {
			l.SetBoth(cut)
		}
	}
}
