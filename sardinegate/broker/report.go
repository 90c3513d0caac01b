package broker

import (
	"slices"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/probing"
	"sardinecross.example/sardinegate/mesh"
)

// maxReports bounds the reports in one message, so that it fits a datagram.
const maxReports = 256

// reportLogInterval is the shortest time between two log lines on reports that cease or come again. All of a prober cease at once.
const reportLogInterval = time.Second

// maxProbers bounds the hosts whose messages are told apart. It is above the number of hosts of any site.
const maxProbers = 4096

// probeReports is what a prober has to report, and what owners have received.
type probeReports struct {
	seq uint64
	// unansweredAt is when the owners were last told which upstreams have not answered.
	unansweredAt time.Duration
	// logAt is when the next change of the reports on an upstream is logged.
	logAt time.Duration
	// answers holds the answers that were not reported yet, by upstream; the probe state tells the owner.
	answers map[string]mesh.ProbeReport
	// received holds, by prober, which of its messages have come.
	received map[string]*probing.Sequence
}

// site returns what this host knows of the hosts that may probe the upstreams of a service. b.mu must be held.
func (b *Broker) site(now time.Duration, service string, byDataCentre bool) probing.Site {
	owner := b.owner(now, service)
	o := b.ownerOrders[service]
	if byDataCentre && o.first == nil {
		o.first = b.deps.Node.FirstByDataCentre(o.hosts)
		b.ownerOrders[service] = o
	}
	s := probing.Site{
		Host: b.deps.Host, DataCentre: b.deps.DataCentre, Owns: owner == b.deps.Host, ByDataCentre: byDataCentre, First: o.first,
	}
	if len(o.hosts) > 0 {
		s.Owner = o.hosts[0]
	}
	return s
}

// byDataCentre reports whether probes are left to hosts of the upstreams' data centres.
func (b *Broker) byDataCentre() bool { return b.deps.ProbeByDataCentre || b.deps.Node.Relaying() }

// prober reports whether another host reports on an upstream, so that this host, the owner, need not probe it. It logs when reports
// cease and come again. b.mu must be held.
func (b *Broker) prober(now time.Duration, p *probeState, u fleet.Upstream, host string) bool {
	missing := p.reports.Missing(now)
	if missing != p.missing && p.reports.Any() {
		p.missing = missing
		if now >= b.reports.logAt {
			b.reports.logAt = now + reportLogInterval
			b.deps.Log.Info("reports on an upstream changed", "upstream", u.ID, "service", u.Service, "dataCentre", u.DataCentre,
				"prober", host, "missing", missing)
		}
	}
	return !missing
}

// sendProbeReports sends the owners what the upstreams that this host probes for them have answered since the last time, since a
// report that waits is worth less for the choice of an upstream. Once in the interval between probes it also tells which upstreams
// have not answered.
func (b *Broker) sendProbeReports() {
	byOwner := make(map[string][]mesh.ProbeReport)
	b.mu.Lock()
	now := b.now()
	unansweredDue := now-b.reports.unansweredAt >= b.deps.ProbeInterval
	if unansweredDue {
		b.reports.unansweredAt = now
	}
	for id, p := range b.probes {
		if p.reportTo == "" {
			continue
		}
		if r, ok := b.reports.answers[id]; ok {
			r.Age += now // less the time when the probe was sent; see recordAnswer
			byOwner[p.reportTo] = append(byOwner[p.reportTo], r)
		} else if silent := now - p.unansweredSince; unansweredDue && p.unansweredSince > 0 && silent > b.deps.ProbeInterval {
			byOwner[p.reportTo] = append(byOwner[p.reportTo], mesh.ProbeReport{Upstream: id, Unanswered: silent})
		}
	}
	clear(b.reports.answers)
	var messages []*mesh.Message
	var to []string
	for owner, reports := range byOwner {
		for part := range slices.Chunk(reports, maxReports) {
			b.reports.seq++
			messages = append(messages, &mesh.Message{ProbeReports: &mesh.ProbeReports{Seq: b.reports.seq, Reports: part}})
			to = append(to, owner)
		}
	}
	b.mu.Unlock()
	for i, m := range messages {
		b.deps.Node.Send(to[i], m)
	}
}

// handleProbeReports records what a host of another data centre found by its probes. Reports that come late, twice or with an old
// age count as missing.
func (b *Broker) handleProbeReports(now time.Duration, m *mesh.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	received := b.reports.received[m.From]
	if received == nil {
		if len(b.reports.received) >= maxProbers {
			clear(b.reports.received)
		}
		received = &probing.Sequence{}
		b.reports.received[m.From] = received
	}
	if !received.Next(m.Boot, m.ProbeReports.Seq) {
		b.ReportsDropped.Add(1)
		return
	}
	for i := range m.ProbeReports.Reports {
		r := &m.ProbeReports.Reports[i]
		p := b.probes[r.Upstream]
		if p == nil {
			continue // not an upstream of a service that this host owns
		}
		if r.Report == nil {
			// This host may reach an upstream that the prober doesn't reach.
			if now-p.answeredAt > probing.ReportTimeout && r.Unanswered < now {
				b.state.RecordProbe(now-r.Unanswered, r.Upstream)
			}
			continue
		}
		at, ok := p.reports.Accept(now, r.Age)
		if !ok {
			b.ReportsDropped.Add(1)
			continue
		}
		b.state.RecordRemoteReport(at, r.Upstream, *r.Report, r.Unhealthy)
	}
}
