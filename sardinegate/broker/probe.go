package broker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/pool"
)

const (
	// probeTick is the time between searches for upstreams to probe, idleTick the same on a host that owns no service.
	probeTick = 10 * time.Millisecond
	idleTick  = 100 * time.Millisecond
	// probeAtLeast is the longest time between probes of an upstream whose responses tell its load: only responses to
	// probes tell that it is cold.
	probeAtLeast = 150 * time.Millisecond
	// probeTimeout ends a probe; meanwhile the upstream gets no other.
	probeTimeout = time.Second
)

// probe is the state of the probes of one upstream.
type probe struct {
	due     time.Duration
	sent    time.Duration
	running bool
	// lost, ill and cold are what the last probe found.
	lost, ill, cold bool
}

func (b *Broker) probeLoop(ctx context.Context) {
	for tick := idleTick; pause.For(ctx, tick); {
		tick = idleTick
		if b.probeDue(ctx) {
			tick = probeTick
		}
		b.release()
		b.hedge()
	}
}

// probeDue starts the probes that are due at upstreams of services that this host owns, and reports whether it owns any.
func (b *Broker) probeDue(ctx context.Context) (owns bool) {
	v := b.deps.View()
	if v.Routes == nil {
		return false
	}
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.probes {
		if _, ok := v.Upstreams[id]; !ok {
			delete(b.probes, id)
		}
	}
	for id, u := range v.Upstreams {
		svc, ok := v.Routes.Services[u.Service]
		if !ok || svc.HealthPath == "" || !v.Usable(u, u.Service) || b.owner(now, u.Service) != b.deps.Host {
			continue
		}
		owns = true
		p := b.probes[id]
		if p == nil {
			p = &probe{}
			b.probes[id] = p
		}
		if p.running || now < p.due || now < b.state.ReportedAt(id)+b.deps.ProbeEvery && now < p.sent+probeAtLeast {
			continue
		}
		p.running, p.sent, p.due = true, now, max(p.due+b.deps.ProbeEvery, now+b.deps.ProbeEvery/2)
		b.state.RecordProbe(now, id)
		b.Probes.Add(1)
		b.done.Go(func() { b.probe(ctx, p, u, svc.HealthPath) })
	}
	return owns
}

func (b *Broker) probe(ctx context.Context, p *probe, u fleet.Upstream, path string) {
	probing, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := b.deps.Pool.Do(probing, &pool.Request{
		Address:    u.Address,
		Method:     http.MethodGet,
		RequestURI: path,
		Host:       u.Address,
		Matches:    func(*http.Response) bool { return true },
	})
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	p.running = false
	if err != nil {
		if probing.Err() != nil {
			err = fmt.Errorf("no response within %v: %w", probeTimeout, probing.Err())
		}
		b.lose(ctx, p, u, err.Error())
		return
	}
	if resp.BodyRest != nil {
		_ = resp.BodyRest.Close() // no health response is that long
	}
	a := b.deps.Dialect.ParseResponse(resp.Status, resp.Header)
	report, ok := b.deps.Dialect.ParseLoad(resp.Header)
	if !ok || a.Upstream != "" && a.Upstream != u.ID {
		b.lose(ctx, p, u, fmt.Sprintf("health response %d of %q without a load report or of another upstream", resp.Status, a.Upstream))
		return
	}
	ill, cold := resp.Status != http.StatusOK, report.ColdFor > 0
	if p.lost || ill != p.ill || cold != p.cold {
		b.deps.Log.Info("upstream changed", "upstream", u.ID, "service", u.Service, "dataCentre", u.DataCentre,
			"regained", p.lost, "healthStatus", resp.Status, "coldMs", report.ColdFor.Milliseconds())
	}
	p.lost, p.ill, p.cold = false, ill, cold
	b.state.RecordReport(now, u.ID, report, true, ill)
}

// lose notes a probe without a usable response; the upstream counts as silent until one arrives.
func (b *Broker) lose(ctx context.Context, p *probe, u fleet.Upstream, reason string) {
	if !p.lost && ctx.Err() == nil {
		b.deps.Log.Warn("upstream lost", "upstream", u.ID, "service", u.Service, "dataCentre", u.DataCentre, "reason", reason)
	}
	p.lost = true
}
