package broker

import (
	"slices"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/notice"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// tellInterval is the time between two messages of the owner of a service to all hosts about its upstreams that are
	// leaving and still listed as ready.
	tellInterval = 400 * time.Millisecond
	// maxTellers is the number of hosts that tell a new host about the leaving upstreams of a service. A message may be lost.
	maxTellers = 3
	// maxNotices is the number of notices in one message, so that it fits a datagram.
	maxNotices = 400
	// maxLoggedText bounds the text of an invalid header in a log line, in bytes.
	maxLoggedText = 80
)

// MaySend reports whether an upstream accepts requests from this host, as far as it has said so itself, and whether the
// stage of a rollout allows its version. It must be asked
// right before a request is sent, since the upstream may have said otherwise after it was granted.
func (b *Broker) MaySend(u fleet.Upstream) bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Notice(now, b.deps.Host, u.Lifetime()).IsZero() && b.state.VersionMaySend(u.ID)
}

// RecordNotice records what a response to this host from the upstream u says about further requests. From then on, MaySend
// obeys it.
func (b *Broker) RecordNotice(u fleet.Upstream, info fleet.ResponseInfo) {
	if info.InvalidRetryAfter != "" {
		text := info.InvalidRetryAfter
		b.deps.Log.Warn("time to retry ignored", "upstream", u.ID, "text", text[:min(len(text), maxLoggedText)])
	}
	if info.Notice.IsZero() || info.Upstream != "" && info.Upstream != u.ID {
		return // the response says nothing, or another upstream has the address now and speaks of itself
	}
	now := b.now()
	b.mu.Lock()
	changed := b.state.ApplyNotice(now, b.deps.Host, u.Lifetime(), info.Notice)
	b.mu.Unlock()
	if changed {
		b.deps.Log.Info("upstream wants no requests", "upstream", u.ID, "service", u.Service, "leaving", info.Notice.Leaving,
			"retryAfterMs", info.Notice.RetryAfter.Milliseconds(), "pauseMs", min(info.Notice.RetryAfter, notice.MaxPause).Milliseconds())
	}
}

// noticesOf returns the notices for a message that say what a listed upstream has said about requests from this host. b.mu
// must be held.
func (b *Broker) noticesOf(now time.Duration, id string) []mesh.UpstreamNotice {
	u, ok := b.deps.View().Upstreams[id]
	if !ok {
		return nil
	}
	n := b.state.Notice(now, b.deps.Host, u.Lifetime())
	if n.IsZero() {
		return nil
	}
	return []mesh.UpstreamNotice{{Lifetime: u.Lifetime(), Notice: n}}
}

// handleNotices records the notices in a message. Those beside the end of an attempt were given to the sender by the upstream;
// all others only repeat which upstreams are leaving.
func (b *Broker) handleNotices(now time.Duration, m *mesh.Message) {
	if len(m.Notices) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range m.Notices {
		changed := false
		if m.AttemptEnd != nil {
			changed = b.state.ApplyNotice(now, m.From, n.Lifetime, n.Notice)
		} else if n.Notice.Leaving {
			changed = b.state.ApplyLeaving(now, n.Lifetime)
		}
		if changed && n.Notice.Leaving {
			b.deps.Log.Info("upstream is leaving", "upstream", n.Lifetime.Upstream, "saidBy", m.From)
		}
	}
}

// tellLeaving tells all hosts which upstreams of the services that this host owns are leaving by their own responses, though
// the list shows them as ready.
func (b *Broker) tellLeaving() {
	now := b.now()
	var notices []mesh.UpstreamNotice
	b.mu.Lock()
	for service, leaving := range b.state.LeavingReady(true) {
		if b.owner(now, service) == b.deps.Host {
			notices = appendLeaving(notices, leaving)
		}
	}
	b.mu.Unlock()
	for part := range slices.Chunk(notices, maxNotices) {
		b.deps.Node.Broadcast(&mesh.Message{Notices: part})
	}
}

// HostAlive tells a host that has just become alive which upstreams are leaving by their own responses. For each service, only the
// first hosts in the order of owners do so.
func (b *Broker) HostAlive(host string) {
	var notices []mesh.UpstreamNotice
	b.mu.Lock()
	leaving := b.state.LeavingReady(false)
	b.mu.Unlock()
	for service, lifetimes := range leaving {
		order := slices.DeleteFunc(b.deps.Node.RankHosts(service, b.deps.Leaving()), func(h string) bool { return h == host })
		if rank := slices.Index(order, b.deps.Host); rank >= 0 && rank < maxTellers {
			notices = appendLeaving(notices, lifetimes)
		}
	}
	for part := range slices.Chunk(notices, maxNotices) {
		b.deps.Node.Send(host, &mesh.Message{Notices: part})
	}
}

// appendLeaving appends a notice for each of the lifetimes.
func appendLeaving(notices []mesh.UpstreamNotice, lifetimes []fleet.Lifetime) []mesh.UpstreamNotice {
	for _, l := range lifetimes {
		notices = append(notices, mesh.UpstreamNotice{Lifetime: l, Notice: fleet.Notice{Leaving: true}})
	}
	return notices
}
