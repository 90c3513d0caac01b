//go:build bench

package proofs

import (
	"fmt"
	"math"
	"testing"
	"time"
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
	*site
	spec   benchSpec
	places []benchPlace
}

// newBenchSite starts a site with cold workers, and returns when it is in service.
func newBenchSite(t *testing.T, spec benchSpec) *benchSite {
	t.Helper()
	s := &site{
		t: t, dir: t.TempDir(), n: reserve(t), pairs: map[[2]string]*udpLink{}, dead: map[string]bool{},
		layout: layout{dataCentres: spec.dataCentres, workers: map[string]int{}},
	}
	b := &benchSite{site: s, spec: spec}
	s.ctl("keys", "ca").save("ca.pem")
	b.layOutHosts()
	b.layOutWorkers()
	b.startStandins()
	for _, h := range s.hosts {
		s.start(h)
	}
	for _, c := range spec.classes {
		args := []string{
			"class", "set", c.name, "-service", c.service, "-target", c.target.String(), "-deadline", c.deadline.String(),
			"-rank", fmt.Sprint(c.rank),
		}
		if !c.orders {
			args = append(args, "-idempotent")
		}
		s.operate(args...).ok()
	}
	b.awaitService()
	return b
}

// awaitService waits until every host knows all classes and reaches every other host.
func (b *benchSite) awaitService() {
	b.t.Helper()
	b.wait("all classes to be in force on all hosts", func() bool {
		for _, h := range b.live() {
			st, err := b.status(h)
			if err != nil || !st.InService || len(st.Classes) != len(b.spec.classes) {
				return false
			}
			for _, m := range st.Members {
				if !m.Reachable && !b.dead[m.ID] {
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
		ip := b.ip(d+1, n)
		h := &host{
			id: fmt.Sprintf("%s-%d", b.spec.dataCentres[d], n), dataCentre: b.spec.dataCentres[d],
			callers: ip + ":8080", peers: ip + ":9000", admin: ip + ":8090",
		}
		b.ctl("keys", "host", "-ca", b.path("ca.pem"), "-id", h.id, "-address", ip).save(h.id + ".pem")
		h.settings = b.write(h.id+".jsonc", b.benchSettings(h))
		b.hosts = append(b.hosts, h)
	}
	var admins []string
	for _, h := range b.hosts {
		admins = append(admins, h.admin)
	}
	b.write("operator.jsonc", map[string]any{
		"platform": map[string]any{"log": b.logAddr(), "hostList": b.listAddr()},
		"admin":    admins,
	})
}

func (b *benchSite) benchSettings(h *host) map[string]any {
	services := map[string]any{}
	for _, c := range b.spec.classes {
		services[c.service] = map[string]any{
			"slots": b.spec.slots, "connections": b.spec.connections, "probeCost": b.spec.probeCost, "connectionCost": "1ms",
		}
	}
	settings := b.hostSettings(h)
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
				address: b.ip(100+10*d+k, i+1) + ":7100",
			})
		}
	}
}

func (b *benchSite) startStandins() {
	var entries, workers []any
	for _, h := range b.hosts {
		entries = append(entries, map[string]any{
			"id": h.id, "role": "host", "dataCentre": h.dataCentre, "address": h.callers, "peerAddress": h.peers,
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
	b.standin("log", map[string]any{"listen": b.logAddr(), "control": b.logControl(), "retention": map[string]any{"age": "10m"}})
	b.standin("hosts", map[string]any{"listen": b.listAddr(), "control": b.listControl(), "lag": "200ms", "entries": entries})
	b.standin("upstreams", map[string]any{"control": b.fleetControl(), "services": services, "workers": workers})
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
	b.t.Helper()
	var answer struct {
		Workers []benchWorker `json:"workers"`
	}
	if err := getJSON("http://"+b.fleetControl()+"/stats", &answer); err != nil {
		b.t.Fatal(err)
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
