package broker

import (
	"context"
	"net/http"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/pool"
)

const (
	// probeTick is the time between searches for upstreams to probe.
	probeTick = 10 * time.Millisecond
	// probeTimeout ends a probe; meanwhile the upstream gets no other.
	probeTimeout = time.Second
)

// probe is the state of the probes of one upstream.
type probe struct {
	due     time.Duration
	running bool
}

func (b *Broker) probeLoop(ctx context.Context) {
	t := time.NewTicker(probeTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.probeDue(ctx)
			b.release()
			b.hedge()
		case <-ctx.Done():
			return
		}
	}
}

// probeDue starts the probes that are due at upstreams of services that this host owns.
func (b *Broker) probeDue(ctx context.Context) {
	v := b.deps.View()
	if v.Routes == nil {
		return
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
		p := b.probes[id]
		if p == nil {
			p = &probe{}
			b.probes[id] = p
		}
		if p.running || now < p.due {
			continue
		}
		p.running, p.due = true, max(p.due+b.deps.ProbeEvery, now+b.deps.ProbeEvery/2)
		b.state.Probed(now, id)
		b.Probes.Add(1)
		b.done.Go(func() { b.probe(ctx, p, u, svc.HealthPath) })
	}
}

func (b *Broker) probe(ctx context.Context, p *probe, u fleet.Upstream, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := b.deps.Pool.Do(ctx, &pool.Request{
		Address: u.Address,
		Method:  http.MethodGet,
		Target:  path,
		Host:    u.Address,
		Accept:  func(*http.Response) bool { return true },
	})
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	p.running = false
	if err != nil {
		return // the probe stays unanswered: the upstream counts as silent
	}
	if resp.Further != nil {
		_ = resp.Further.Close() // no health response is that long
	}
	a := b.deps.Dialect.Answer(resp.Status, resp.Header)
	report, ok := b.deps.Dialect.Load(resp.Header)
	if !ok || a.Upstream != "" && a.Upstream != u.ID {
		return
	}
	b.state.Heard(now, u.ID, report, true, resp.Status != http.StatusOK)
}
