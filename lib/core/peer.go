package core

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

// sendHeartbeats sends the heartbeats that are due.
func (s *State) sendHeartbeats() {
	due := s.members.DueHeartbeats(s.now)
	if len(due) == 0 {
		return
	}
	leaving := s.leavingUpstreams()
	for _, out := range due {
		hb := out.Heartbeat
		hb.ConfVersion = s.conf.Version()
		hb.ConfAge = s.conf.Age(s.now)
		hb.LogAnswers = s.polls.logAnswers
		hb.ListAge = s.listAge()
		hb.LeavingUpstreams = leaving
		hb.Pledges = s.leases.Pledges(s.now, out.To)
		s.emit(SendPeer{To: out.To, Message: Message{Heartbeat: &hb}})
	}
}

// handlePeerMessage handles a message from another host.
func (s *State) handlePeerMessage(ev PeerMessage) {
	m := ev.Message
	switch {
	case m.Heartbeat != nil:
		s.handleHeartbeat(ev.From, ev.Incarnation, m.Heartbeat)
	case m.SlotRequest != nil:
		s.leases.HandleRequest(s.now, ev.From, ev.Incarnation, m.SlotRequest)
	case m.SlotGrant != nil:
		s.leases.HandleGrant(s.now, ev.From, ev.Incarnation, m.SlotGrant)
	case m.Handoff != nil:
		s.leases.HandleHandoff(s.now, ev.From, ev.Incarnation, m.Handoff)
	case m.ConfRequest != nil:
		s.handleConfRequest(ev.From, m.ConfRequest)
	case m.ConfCheckpoint != nil:
		s.handleConfCheckpoint(m.ConfCheckpoint)
	}
}

func (s *State) handleHeartbeat(from ident.HostID, inc ident.Incarnation, hb *member.Heartbeat) {
	receipt := s.members.Receive(s.now, from, inc, hb)
	if !receipt.Accepted {
		return
	}
	// This precedes the pledges, which may allow this host to grant slots of an upstream that is leaving.
	s.mergeReportedLeaving(hb.ListAge, hb.LeavingUpstreams)
	s.leases.HandleHeartbeat(s.now, from, inc, receipt, hb)
	if receipt.Echoed {
		s.conf.AdoptAge(hb.ConfVersion, hb.ConfAge, receipt.EchoedSentAt)
	}
	s.acceptance.valid = false
	// Every peer's heartbeat may show the newer version, so the requests are limited to one per quarter of confInterval.
	if hb.ConfVersion > s.conf.Version() && s.now-s.confRequestedAt >= confInterval/4 {
		s.confRequestedAt = s.now
		s.emit(SendPeer{To: from, Message: Message{ConfRequest: &ConfRequest{Version: s.conf.Version()}}})
		s.polls.conf.expedite(s.now)
	}
}

func (s *State) handleConfRequest(from ident.HostID, m *ConfRequest) {
	if s.conf.Version() <= m.Version {
		return
	}
	s.emit(SendPeer{To: from, Message: Message{ConfCheckpoint: &ConfCheckpoint{
		Version: s.conf.Version(), Checkpoint: s.conf.Checkpoint(),
	}}})
}

func (s *State) handleConfCheckpoint(m *ConfCheckpoint) {
	changed, err := s.conf.ApplyCheckpoint(m.Checkpoint)
	if err != nil {
		s.notice(true, "badCheckpoint", "error", err.Error())
		return
	}
	if changed {
		s.applyConfiguration()
	}
}

// acceptanceCache caches whether new work is accepted while the configuration is not fresh.
type acceptanceCache struct {
	// valid is cleared when a heartbeat arrives; accepts is used up to the time in until.
	valid   bool
	until   time.Duration
	accepts bool
}

// acceptanceCacheTime bounds how long the cached result is used. It is far below the 600 ms after which a silent host
// is considered unreachable.
const acceptanceCacheTime = 20 * time.Millisecond

// acceptsWork reports whether new work may start. Either the configuration is fresh, or this host reaches a majority
// of the hosts, none of which has a newer configuration or can read the log.
func (s *State) acceptsWork() bool {
	if s.disabled.configFreshness || s.conf.Fresh(s.now) {
		return true
	}
	c := &s.acceptance
	if !c.valid || s.now >= c.until {
		*c = acceptanceCache{valid: true, until: s.now + acceptanceCacheTime, accepts: s.mayServe()}
	}
	return c.accepts
}

// mayServe evaluates the rule of acceptsWork for a configuration that is not fresh.
func (s *State) mayServe() bool {
	s.members.Advance(s.now)
	listed := 0
	var reached []conf.PeerState
	for _, h := range s.members.Hosts() {
		if !h.Listed {
			continue
		}
		listed++
		if h.Reachable && h.ID != s.cfg.Host {
			reached = append(reached, conf.PeerState{Version: h.ConfVersion, LogAnswers: h.LogAnswers})
		}
	}
	return listed > 0 && s.members.Self().Listed && s.conf.MayServe(s.now, listed, reached)
}

// updatePeers emits ConnectPeers when the hosts to maintain links with have changed.
func (s *State) updatePeers() {
	if s.peersRevision == s.members.Revision() {
		return
	}
	s.peersRevision = s.members.Revision()
	var peers []PeerAddress
	for _, h := range s.members.Hosts() {
		if h.ID != s.cfg.Host && h.PeerAddress != "" {
			peers = append(peers, PeerAddress{ID: h.ID, Address: h.PeerAddress})
		}
	}
	if slices.Equal(peers, s.peers) {
		return
	}
	s.peers = peers
	s.emit(ConnectPeers{Hosts: slices.Clone(peers)})
}

// sendProbes probes the upstreams that this host owns and whose last completed request or probe is too long ago.
func (s *State) sendProbes() {
	if s.now < s.nextProbeCheck {
		return
	}
	s.nextProbeCheck = s.now + probeCheckInterval
	for _, id := range s.leases.DueProbes(s.now) {
		u := s.topo.upstreams[id]
		if u == nil {
			s.leases.HandleProbeResult(s.now, id, lease.ProbeResult{})
			continue
		}
		s.counters.Probes++
		s.emit(Probe{Upstream: id, Address: u.address})
	}
}

// probeCheckInterval is the minimum time between two checks for due probes. It is short beside the two seconds without
// a completed request or probe after which package lease considers a probe due.
const probeCheckInterval = 100 * time.Millisecond

func (s *State) probeEnded(ev ProbeEnded) {
	result := lease.ProbeResult{OK: ev.OK, Cold: ev.OK && ev.Report.Cold, Draining: ev.OK && ev.Report.Draining}
	if u := s.topo.upstreams[ev.Upstream]; u != nil && ev.OK {
		result.Restarted = s.updateIncarnation(u, ev.Report.Incarnation)
	}
	s.leases.HandleProbeResult(s.now, ev.Upstream, result)
}

// Addresses returns the hosts that a caller of a class may use, nearest first, and how long the caller may use them.
// Hosts that are leaving, unreachable or in a data centre taken out of service are omitted. A host that accepts no
// new work itself cannot tell which hosts are reachable and returns all others. The hosts of one data centre take
// turns at the first place. The runner calls Addresses under the mutex of Step.
func (s *State) Addresses(now time.Duration, _ ident.ClassName) ([]Address, time.Duration) {
	s.now = max(s.now, now)
	s.members.Advance(s.now)
	s.rotation++
	hosts := s.members.Hosts()
	var out []Address
	for _, dc := range s.topo.orderedDataCentres() {
		if !s.topo.view.DataCentreOut(dc) {
			out = append(out, s.addressesIn(hosts, dc)...)
		}
	}
	return out, s.cfg.Timing.AddressLifetime
}

func (s *State) addressesIn(hosts []member.Host, dc ident.DataCentre) []Address {
	accepts := s.acceptsWork()
	var out []Address
	for _, h := range hosts {
		usable := h.Reachable
		if !accepts {
			usable = h.ID != s.cfg.Host
		}
		address := s.addressOf(h.ID)
		if h.DataCentre == dc && usable && !h.Leaving && address != "" {
			out = append(out, Address{Address: address, DataCentre: dc})
		}
	}
	if len(out) == 0 {
		return nil
	}
	first := s.rotation % len(out)
	return append(slices.Clone(out[first:]), out[:first]...)
}

func (s *State) addressOf(id ident.HostID) string {
	if address := s.topo.addresses[id]; address != "" || id != s.cfg.Host {
		return address
	}
	return s.cfg.Address
}
