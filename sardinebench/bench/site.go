package bench

import (
	"fmt"
	"math"
	"time"

	"sardinecross.example/proofs/site"
	"sardinecross.example/sardinebench/trial"
)

// benchClass is one class of a measured site and the workers of its service.
type benchClass struct {
	name, service    string
	workers          int
	target, deadline time.Duration
	rank             int
	orders           bool
}

// benchSpec is a site at the size of a real one.
type benchSpec struct {
	name        string
	dataCentres []string
	hosts       int
	slots       int
	connections int
	probeCost   string
	classes     []benchClass
	// median and p99 are the workers' service time.
	median, p99 time.Duration
}

func hofbauerSpec() benchSpec {
	return benchSpec{
		name: "hofbauer", dataCentres: []string{"passau", "landshut", "straubing"},
		hosts: 13, slots: 4, connections: 260, probeCost: "6ms",
		classes: []benchClass{
			{"consultations", "enquiry", 17, 150 * time.Millisecond, time.Second, 2, false},
			{"orders", "booking", 13, 200 * time.Millisecond, 2 * time.Second, 1, true},
			{"downloads", "archive", 6, 400 * time.Millisecond, 2 * time.Second, 3, false},
		},
	}
}

func associationSpec() benchSpec {
	return benchSpec{
		name: "association", dataCentres: []string{"montreal", "capitale", "estrie", "saguenay"},
		hosts: 17, slots: 6, connections: 220, probeCost: "6ms",
		classes: []benchClass{
			{"consultations", "catalogue", 13, 150 * time.Millisecond, time.Second, 2, false},
			{"orders", "orders", 9, 200 * time.Millisecond, 2 * time.Second, 1, true},
			{"plans", "plans", 8, 400 * time.Millisecond, 2 * time.Second, 3, false},
		},
	}
}

// constant gives every request the same service time, so that the difference between two runs is that of the paths.
func (b benchSpec) constant(d time.Duration) benchSpec {
	b.median, b.p99 = d, d
	return b
}

func (b benchSpec) varying(median, p99 time.Duration) benchSpec {
	b.median, b.p99 = median, p99
	return b
}

// mean returns the mean of the workers' log-normal service time.
func (b benchSpec) mean() time.Duration {
	const z99 = 2.3263
	sigma := math.Log(float64(b.p99)/float64(b.median)) / z99
	return time.Duration(float64(b.median) * math.Exp(sigma*sigma/2))
}

// capacity returns the requests per second of a class when all its slots are always in use.
func (b benchSpec) capacity(c benchClass) float64 {
	return float64(c.workers*b.slots) / b.mean().Seconds()
}

// benchPlace is one worker.
type benchPlace struct {
	id, service, dataCentre, address string
}

// benchSite is a running site of a spec.
type benchSite struct {
	*site.Site
	spec   benchSpec
	places []benchPlace
}

// newBenchSite starts a site with cold workers, and returns when it is in service.
func newBenchSite(t *trial.T, spec benchSpec) *benchSite {
	t.Helper()
	s := &site.Site{
		T: t, Dir: t.TempDir(), SecondOctet: site.ReserveAddresses(t), HostLinks: map[[2]string]*site.UDPLink{}, ExpectedDown: map[string]bool{},
		Layout: site.Layout{DataCentres: spec.dataCentres, UpstreamsPerService: map[string]int{}},
	}
	b := &benchSite{Site: s, spec: spec}
	s.RunCtl("keys", "ca").SaveStdout("ca.pem")
	b.layOutHosts()
	b.layOutWorkers()
	b.startStandins()
	for _, h := range s.Hosts {
		s.Start(h)
	}
	for _, c := range spec.classes {
		args := []string{
			"class", "set", c.name, "-service", c.service, "-target", c.target.String(), "-deadline", c.deadline.String(),
			"-rank", fmt.Sprint(c.rank),
		}
		if !c.orders {
			args = append(args, "-idempotent")
		}
		s.RunCtlWithSettings(args...).RequireSuccess()
	}
	b.awaitService()
	return b
}

// awaitService waits until every host knows all classes and reaches every other host.
func (b *benchSite) awaitService() {
	b.T.Helper()
	b.Wait("all classes to be in force on all hosts", func() bool {
		for _, h := range b.LiveHosts() {
			st, err := b.Status(h)
			if err != nil || !st.InService || len(st.Classes) != len(b.spec.classes) {
				return false
			}
			for _, m := range st.Members {
				if !m.Reachable && !b.ExpectedDown[m.ID] {
					return false
				}
			}
		}
		return true
	})
}

func (b *benchSite) layOutHosts() {
	for i := range b.spec.hosts {
		d := i % len(b.spec.dataCentres)
		n := i/len(b.spec.dataCentres) + 1
		ip := b.IP(d+1, n)
		h := &site.Host{
			ID: fmt.Sprintf("%s-%d", b.spec.dataCentres[d], n), DataCentre: b.spec.dataCentres[d],
			CallerAddr: ip + ":8080", PeerAddr: ip + ":9000", AdminAddr: ip + ":8090",
		}
		b.RunCtl("keys", "host", "-ca", b.Path("ca.pem"), "-id", h.ID, "-address", ip).SaveStdout(h.ID + ".pem")
		h.SettingsPath = b.WriteJSONFile(h.ID+".jsonc", b.benchSettings(h))
		b.Hosts = append(b.Hosts, h)
	}
	var admins []string
	for _, h := range b.Hosts {
		admins = append(admins, h.AdminAddr)
	}
	b.WriteJSONFile("operator.jsonc", map[string]any{
		"platform": map[string]any{"log": b.LogAddr(), "hostList": b.HostListAddr()},
		"admin":    admins,
	})
}

func (b *benchSite) benchSettings(h *site.Host) map[string]any {
	services := map[string]any{}
	for _, c := range b.spec.classes {
		services[c.service] = map[string]any{
			"slots": b.spec.slots, "connections": b.spec.connections, "probeCost": b.spec.probeCost, "connectionCost": "1ms",
		}
	}
	settings := b.HostSettings(h)
	settings["services"] = services
	delete(settings, "timing")
	return settings
}

func (b *benchSite) layOutWorkers() {
	for k, c := range b.spec.classes {
		for i := range c.workers {
			d := (i + k) % len(b.spec.dataCentres)
			b.places = append(b.places, benchPlace{
				id: fmt.Sprintf("%s-%d", c.service, i+1), service: c.service, dataCentre: b.spec.dataCentres[d],
				address: b.IP(100+10*d+k, i+1) + ":7100",
			})
		}
	}
}

func (b *benchSite) startStandins() {
	var entries, workers []any
	for _, h := range b.Hosts {
		entries = append(entries, map[string]any{
			"id": h.ID, "role": "host", "dataCentre": h.DataCentre, "address": h.CallerAddr, "peerAddress": h.PeerAddr,
		})
	}
	for _, p := range b.places {
		place := map[string]any{"id": p.id, "service": p.service, "dataCentre": p.dataCentre, "address": p.address}
		workers = append(workers, place)
		entries = append(entries, map[string]any{
			"id": p.id, "service": p.service, "dataCentre": p.dataCentre, "address": p.address, "role": "upstream",
		})
	}
	services := map[string]any{}
	for _, c := range b.spec.classes {
		services[c.service] = map[string]any{
			"slots": b.spec.slots, "connections": b.spec.connections, "probeCost": b.spec.probeCost, "connectionCost": "1ms",
			"serviceTime": map[string]any{"median": b.spec.median.String(), "p99": b.spec.p99.String()},
		}
	}
	b.StartStandin("log", map[string]any{"listen": b.LogAddr(), "control": b.LogControl(), "retention": map[string]any{"age": "10m"}})
	b.StartStandin("hosts", map[string]any{"listen": b.HostListAddr(), "control": b.HostListControl(), "lag": "200ms", "entries": entries})
	b.StartStandin("upstreams", map[string]any{"control": b.UpstreamControl(), "services": services, "workers": workers})
}

// benchWorker is the part of the upstreams' counts that the report uses.
type benchWorker struct {
	ID                   string  `json:"id"`
	Service              string  `json:"service"`
	State                string  `json:"state"`
	Slots                int     `json:"slots"`
	GreatestInFlight     int     `json:"greatestInFlight"`
	GreatestInFlightCold int     `json:"greatestInFlightCold"`
	GreatestOver         int     `json:"greatestOver"`
	OverSlots            int     `json:"overSlots"`
	Arrivals             int64   `json:"arrivals"`
	Shed                 int64   `json:"shed"`
	FellOver             int64   `json:"fellOver"`
	Connections          int64   `json:"connections"`
	Probes               int64   `json:"probes"`
	ProbeTime            float64 `json:"probeTime"`
	ConnectionTime       float64 `json:"connectionTime"`
}

func (b *benchSite) benchWorkers() []benchWorker {
	b.T.Helper()
	var answer struct {
		Workers []benchWorker `json:"workers"`
	}
	if err := site.GetJSON("http://"+b.UpstreamControl()+"/stats", &answer); err != nil {
		b.T.Fatal(err)
	}
	return answer.Workers
}

// workersOf returns the IDs of every nth worker of a service, at least one; an empty service means all.
func (b *benchSite) workersOf(service string, nth int) []string {
	var ids []string
	for i, p := range b.places {
		if (service == "" || p.service == service) && i%nth == 0 {
			ids = append(ids, p.id)
		}
	}
	return ids
}
