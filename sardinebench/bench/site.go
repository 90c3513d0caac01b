package bench

import (
	"fmt"
	"math"
	"time"

	"sardinecross.example/proofs/site"
	"sardinecross.example/sardinebench/trial"
)

// classSpec describes one class of a site and the workers of its service.
type classSpec struct {
	name, service    string
	workers          int
	target, deadline time.Duration
	rank             int
	// orders is true for a class whose requests are orders, which are not idempotent.
	orders bool
}

// siteSpec describes a site of realistic size.
type siteSpec struct {
	name        string
	dataCentres []string
	// hosts is the number of hosts in all data centres together.
	hosts int
	// slots, connections and probeCost are those of each worker.
	slots       int
	connections int
	probeCost   string
	classes     []classSpec
	// medianServiceTime and p99ServiceTime describe the workers' log-normal service time.
	medianServiceTime, p99ServiceTime time.Duration
}

func hofbauerSpec() siteSpec {
	return siteSpec{
		name: "hofbauer", dataCentres: []string{"passau", "landshut", "straubing"},
		hosts: 13, slots: 4, connections: 260, probeCost: "6ms",
		classes: []classSpec{
			{"consultations", "enquiry", 17, 150 * time.Millisecond, time.Second, 2, false},
			{"orders", "booking", 13, 200 * time.Millisecond, 2 * time.Second, 1, true},
			{"downloads", "archive", 6, 400 * time.Millisecond, 2 * time.Second, 3, false},
		},
	}
}

func associationSpec() siteSpec {
	return siteSpec{
		name: "association", dataCentres: []string{"montreal", "capitale", "estrie", "saguenay"},
		hosts: 17, slots: 6, connections: 220, probeCost: "6ms",
		classes: []classSpec{
			{"consultations", "catalogue", 13, 150 * time.Millisecond, time.Second, 2, false},
			{"orders", "orders", 9, 200 * time.Millisecond, 2 * time.Second, 1, true},
			{"plans", "plans", 8, 400 * time.Millisecond, 2 * time.Second, 3, false},
		},
	}
}

// withConstantServiceTime returns a copy of the spec with one service time for all requests, so that two runs differ only
// by the path that requests take.
func (b siteSpec) withConstantServiceTime(d time.Duration) siteSpec {
	b.medianServiceTime, b.p99ServiceTime = d, d
	return b
}

// withVaryingServiceTime returns a copy of the spec with a log-normal service time.
func (b siteSpec) withVaryingServiceTime(median, p99 time.Duration) siteSpec {
	b.medianServiceTime, b.p99ServiceTime = median, p99
	return b
}

// meanServiceTime returns the mean of the workers' log-normal service time.
func (b siteSpec) meanServiceTime() time.Duration {
	const z99 = 2.3263 // 99th percentile of the standard normal distribution
	sigma := math.Log(float64(b.p99ServiceTime)/float64(b.medianServiceTime)) / z99
	return time.Duration(float64(b.medianServiceTime) * math.Exp(sigma*sigma/2))
}

// capacity returns the rate of a class in requests per second at which all its slots are always in use.
func (b siteSpec) capacity(c classSpec) float64 {
	return float64(c.workers*b.slots) / b.meanServiceTime().Seconds()
}

// workerSpec describes one worker of a site.
type workerSpec struct {
	id, service, dataCentre, address string
}

// benchSite is a running site that was built from a siteSpec.
type benchSite struct {
	*site.Site
	spec    siteSpec
	workers []workerSpec
}

// newBenchSite starts a site with cold workers and waits until it is in service.
func newBenchSite(t *trial.T, spec siteSpec) *benchSite {
	t.Helper()
	s := &site.Site{
		T: t, Dir: t.TempDir(), SecondOctet: site.ReserveAddresses(t), HostLinks: map[[2]string]*site.UDPLink{}, ExpectedDown: map[string]bool{},
		Layout: site.Layout{DataCentres: spec.dataCentres, UpstreamsPerService: map[string]int{}},
	}
	b := &benchSite{Site: s, spec: spec}
	s.RunCtl("keys", "ca").SaveStdout("ca.pem")
	b.createHosts()
	b.placeWorkers()
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
	b.waitUntilInService()
	return b
}

// waitUntilInService waits until every live host is in service, knows all classes and reaches every other live host.
func (b *benchSite) waitUntilInService() {
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

// createHosts spreads the hosts over the data centres and writes their keys and settings.
func (b *benchSite) createHosts() {
	for i := range b.spec.hosts {
		d := i % len(b.spec.dataCentres)
		h := b.AddHost(b.spec.dataCentres[d], d+1, i/len(b.spec.dataCentres)+1)
		h.SettingsPath = b.WriteJSONFile(h.ID+".jsonc", b.benchHostSettings(h))
	}
	b.WriteOperatorSettings()
}

// benchHostSettings returns the settings of a host with the limits of the spec and the default timing.
func (b *benchSite) benchHostSettings(h *site.Host) map[string]any {
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

// placeWorkers spreads the workers of each class over the data centres.
func (b *benchSite) placeWorkers() {
	for k, c := range b.spec.classes {
		for i := range c.workers {
			d := (i + k) % len(b.spec.dataCentres)
			b.workers = append(b.workers, workerSpec{
				id: fmt.Sprintf("%s-%d", c.service, i+1), service: c.service, dataCentre: b.spec.dataCentres[d],
				address: b.IP(100+10*d+k, i+1) + ":7100",
			})
		}
	}
}

// startStandins starts the stand-ins for the log, the host list and the upstreams.
func (b *benchSite) startStandins() {
	var entries, workers []any
	for _, h := range b.Hosts {
		entries = append(entries, map[string]any{
			"id": h.ID, "role": "host", "dataCentre": h.DataCentre, "address": h.CallerAddr, "peerAddress": h.PeerAddr,
		})
	}
	for _, p := range b.workers {
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
			"serviceTime": map[string]any{"median": b.spec.medianServiceTime.String(), "p99": b.spec.p99ServiceTime.String()},
		}
	}
	b.StartStandin("log", map[string]any{"listen": b.LogAddr(), "control": b.LogControl(), "retention": map[string]any{"age": "10m"}})
	b.StartStandin("hosts", map[string]any{"listen": b.HostListAddr(), "control": b.HostListControl(), "lag": "200ms", "entries": entries})
	b.StartStandin("upstreams", map[string]any{"control": b.UpstreamControl(), "services": services, "workers": workers})
}

// workerStats holds the counters of one worker that the report uses, as the stand-in for the upstreams returns them.
// ProbeTime and ConnectionTime are in milliseconds.
type workerStats struct {
	ID                   string  `json:"id"`
	Service              string  `json:"service"`
	State                string  `json:"state"`
	Slots                int     `json:"slots"`
	GreatestInFlight     int     `json:"greatestInFlight"`
	GreatestInFlightCold int     `json:"greatestInFlightCold"`
	OverEffectiveSlots   int     `json:"greatestOver"`
	OverSlots            int     `json:"overSlots"`
	Arrivals             int64   `json:"arrivals"`
	Shed                 int64   `json:"shed"`
	Collapses            int64   `json:"fellOver"`
	Connections          int64   `json:"connections"`
	Probes               int64   `json:"probes"`
	ProbeTime            float64 `json:"probeTime"`
	ConnectionTime       float64 `json:"connectionTime"`
}

func (b *benchSite) fetchWorkerStats() []workerStats {
	b.T.Helper()
	var answer struct {
		Workers []workerStats `json:"workers"`
	}
	if err := site.GetJSON("http://"+b.UpstreamControl()+"/stats", &answer); err != nil {
		b.T.Fatal(err)
	}
	return answer.Workers
}

// everyNthWorker returns the IDs of the workers of a service whose index in b.workers is a multiple of nth; an empty
// service means all services.
func (b *benchSite) everyNthWorker(service string, nth int) []string {
	var ids []string
	for i, p := range b.workers {
		if (service == "" || p.service == service) && i%nth == 0 {
			ids = append(ids, p.id)
		}
	}
	return ids
}
