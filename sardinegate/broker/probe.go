package broker

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/probing"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
)

const (
	// probeTick is the time between checks for probes that are due, and for queued requests and hedges. idleProbeTick
	// replaces it on a host that owns no service.
	probeTick     = 10 * time.Millisecond
	idleProbeTick = 100 * time.Millisecond
	// maxProbeInterval is the longest time between probes of an upstream whose other responses carry load reports. It is
	// probed nevertheless, as only responses to probes tell whether it is cold.
	maxProbeInterval = 150 * time.Millisecond
	// probeTimeout bounds a probe. No other probe is sent to the upstream before the last one has ended.
	probeTimeout = time.Second
)

// probeState holds the schedule of the probes of one upstream and the result of the last one.
type probeState struct {
	nextDue  time.Duration
	lastSent time.Duration
	running  bool
	// lost is set if the last probe got no usable response. unhealthy (a status other than 200) and cold are from the
	// last usable response.
	lost, unhealthy, cold bool
	// reportTo is the owner that this host probes the upstream for, empty if it does so for itself or not at all.
	reportTo string
	// unansweredSince is when the first probe was sent that has not been answered, 0 if all were; answeredAt is when the last
	// usable response came.
	unansweredSince, answeredAt time.Duration
	reports                     probing.Reports
	// missing is set while no reports come though they did before.
	missing bool
}

// probeLoop starts probes, decides queued requests and offers hedges until ctx ends.
func (b *Broker) probeLoop(ctx context.Context) {
	for tick := idleProbeTick; pause.For(ctx, tick); {
		tick = idleProbeTick
		if b.startDueProbes(ctx) {
			tick = probeTick
		}
		b.sendProbeReports()
		b.decideQueued()
		b.offerHedges()
		b.logWork()
	}
}

// startDueProbes starts the due probes of upstreams that this host probes for itself or for the owner, as far as its rate of probes allows,
// and reports whether there are such upstreams. Those that were not probed for longest go first.
func (b *Broker) startDueProbes(ctx context.Context) (owns bool) {
	v := b.deps.View()
	if v.Routes == nil {
		return false
	}
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	defer func() { b.work.probing += b.now() - now }()
	for id := range b.probes {
		if _, ok := v.Upstreams[id]; !ok {
			delete(b.probes, id)
		}
	}
	due, owns := b.dueProbes(now, v)
	n := b.probeTokens.take(now, len(due), b.deps.ProbesPerSecond)
	if n < len(due) {
		slices.SortFunc(due, func(x, y dueProbe) int { return cmp.Compare(x.state.lastSent, y.state.lastSent) })
	}
	for _, d := range due[:n] {
		p := d.state
		p.running, p.lastSent, p.nextDue = true, now, max(p.nextDue+d.interval, now+d.interval/2)
		if d.role == probing.Delegating {
			p.nextDue = now + d.interval // the prober may probe as well, so no probe makes up for a late one
		}
		if p.unansweredSince == 0 {
			p.unansweredSince = now
		}
		b.state.RecordProbe(now, d.upstream.ID)
		b.Probes.Add(1)
		b.work.probes++
		b.wg.Go(func() { b.probe(ctx, p, d.upstream, d.path) })
	}
	return owns
}

// dueProbe is a probe that is due at an upstream.
type dueProbe struct {
	state    *probeState
	upstream fleet.Upstream
	path     string
	interval time.Duration
	role     probing.Role
}

// dueProbes returns the probes that are due, and whether this host has upstreams to probe. b.mu must be held.
func (b *Broker) dueProbes(now time.Duration, v *fleet.View) (due []dueProbe, owns bool) {
	sites := b.probedSites(now, v)
	for id, u := range v.Upstreams {
		site, ok := sites[u.Service]
		role := site.Role(u.DataCentre)
		owns = owns || ok && role != probing.None
		if !ok || !b.started.Probes(now, b.deps.Host, u.Service, u.DataCentre, role, id) || !v.Usable(u, u.Service) {
			if p := b.probes[id]; p != nil {
				p.reportTo = ""
			}
			continue
		}
		if !b.state.Notice(now, b.deps.Host, u.Lifetime()).IsZero() {
			continue // the upstream wants no requests, and a probe is one
		}
		p := b.probes[id]
		if p == nil {
			p = &probeState{}
			b.probes[id] = p
		}
		p.reportTo = ""
		if role == probing.Prober {
			p.reportTo = site.Owner
		}
		if p.running || now < p.nextDue || role == probing.Delegating && b.prober(now, p, u, site.First[u.DataCentre]) {
			continue
		}
		if now < b.state.ReportedAt(id)+b.deps.ProbeInterval && now < p.lastSent+maxProbeInterval {
			continue
		}
		due = append(due, dueProbe{p, u, site.healthPath, role.Interval(b.deps.ProbeInterval), role})
	}
	return due, owns
}

// probedSite is a service whose upstreams may be probed by this host.
type probedSite struct {
	probing.Site
	healthPath string
}

// probedSites returns the services whose upstreams have a health path, with the hosts that may probe them. b.mu must be held.
func (b *Broker) probedSites(now time.Duration, v *fleet.View) map[string]probedSite {
	sites := make(map[string]probedSite)
	byDataCentre := b.byDataCentre()
	for name, svc := range v.Routes.Services {
		if svc.HealthPath != "" {
			sites[name] = probedSite{b.site(now, name, byDataCentre), svc.HealthPath}
		}
	}
	return sites
}

// tokens limits a rate. It allows at most what the rate yields in maxTokenTime at once.
type tokens struct {
	count float64
	at    time.Duration // when count was last updated
}

// maxTokenTime is the time for which unused tokens are kept.
const maxTokenTime = 50 * time.Millisecond

// take takes at most n tokens and returns how many it took; perSecond are added each second.
func (t *tokens) take(now time.Duration, n int, perSecond float64) int {
	limit := max(perSecond*maxTokenTime.Seconds(), 1)
	t.count = min(t.count+perSecond*(now-t.at).Seconds(), limit)
	t.at = now
	n = min(n, int(t.count))
	t.count -= float64(n)
	return n
}

// probe sends one probe, records the load report in the response and logs changes of the upstream's state.
func (b *Broker) probe(ctx context.Context, p *probeState, u fleet.Upstream, path string) {
	probing, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := b.deps.Pool.Do(probing, &pool.Request{
		Address:    u.Address,
		Method:     http.MethodGet,
		RequestURI: path,
		Host:       u.Address,
		// A response with a request ID is a late copy of one to an earlier request on the connection.
		Matches: func(resp *http.Response) bool {
			return b.deps.Codec.ParseResponse(resp.StatusCode, resp.Header).RequestID == ""
		},
		MaySend: func() bool { return b.MaySend(u) },
		OnHeader: func(status int, h http.Header) {
			b.RecordNotice(u, b.deps.Codec.ParseResponse(status, h))
		},
	})
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	p.running = false
	var withheld *pool.WithheldError
	if errors.As(err, &withheld) {
		b.state.CancelProbe(u.ID)
		p.unansweredSince = 0
		return
	}
	if err != nil {
		if probing.Err() != nil {
			err = fmt.Errorf("no response within %v: %w", probeTimeout, probing.Err())
		}
		b.recordLost(ctx, p, u, err.Error())
		return
	}
	if resp.BodyRest != nil {
		_ = resp.BodyRest.Close() // the connection is not used again
		b.recordLost(ctx, p, u, "health response does not end")
		return
	}
	a := b.deps.Codec.ParseResponse(resp.Status, resp.Header)
	report, ok := b.deps.Codec.ParseLoad(resp.Header)
	if !ok || a.Upstream != "" && a.Upstream != u.ID {
		b.recordLost(ctx, p, u, fmt.Sprintf("health response with status %d from upstream %q has no load report or is from another upstream", resp.Status, a.Upstream))
		return
	}
	unhealthy, cold := resp.Status != http.StatusOK, report.ColdFor > 0
	if p.lost || unhealthy != p.unhealthy || cold != p.cold {
		b.deps.Log.Info("upstream changed", "upstream", u.ID, "service", u.Service, "dataCentre", u.DataCentre,
			"regained", p.lost, "healthStatus", resp.Status, "coldMs", report.ColdFor.Milliseconds())
	}
	p.lost, p.unhealthy, p.cold, p.unansweredSince, p.answeredAt = false, unhealthy, cold, 0, now
	b.state.RecordReport(now, u.ID, report, true, unhealthy)
	if p.reportTo != "" {
		// The probe was sent at lastSent: the response may have waited while this process was frozen.
		b.reports.answers[u.ID] = mesh.ProbeReport{Upstream: u.ID, Report: &report, Unhealthy: unhealthy, Age: -p.lastSent}
	}
}

// recordLost records a probe without a usable response and logs the first in a row. In the selection, the upstream counts
// as silent until a usable response arrives.
func (b *Broker) recordLost(ctx context.Context, p *probeState, u fleet.Upstream, reason string) {
	if !p.lost && ctx.Err() == nil {
		b.deps.Log.Warn("upstream lost", "upstream", u.ID, "service", u.Service, "dataCentre", u.DataCentre, "reason", reason)
	}
	p.lost = true
}
