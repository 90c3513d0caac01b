package core

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

// sendHeartbeats sends the round of heartbeats that is due.
func (s *State) sendHeartbeats() {
	due := s.table.DueHeartbeats(s.now)
	if len(due) == 0 {
		return
	}
	leaving := s.leavingUpstreams()
	for _, out := range due {
		hb := out.Heartbeat
		hb.ConfVersion = s.conf.Version()
		hb.ConfAge = s.conf.Age(s.now)
		hb.LogAnswers = s.streams.logAnswers
		hb.ListAge = s.listAge()
		hb.LeavingUpstreams = leaving
		hb.Pledges = s.slots.Pledges(s.now, out.To)
		s.emit(SendPeer{To: out.To, Message: Message{Heartbeat: &hb}})
	}
}

// receive takes in a message from another host.
func (s *State) receive(ev PeerMessage) {
	m := ev.Message
	switch {
	case m.Heartbeat != nil:
		s.heartbeat(ev.From, ev.Incarnation, m.Heartbeat)
	case m.SlotRequest != nil:
		s.slots.HandleRequest(s.now, ev.From, ev.Incarnation, m.SlotRequest)
	case m.SlotGrant != nil:
		s.slots.HandleGrant(s.now, ev.From, ev.Incarnation, m.SlotGrant)
	case m.Handoff != nil:
		s.slots.HandleHandoff(s.now, ev.From, ev.Incarnation, m.Handoff)
	case m.ConfRequest != nil:
		s.confRequested(ev.From, m.ConfRequest)
	case m.ConfRecords != nil:
		s.confReceived(m.ConfRecords)
	}
}

func (s *State) heartbeat(from ident.HostID, inc ident.Incarnation, hb *member.Heartbeat) {
	receipt := s.table.Receive(s.now, from, inc, hb)
	if !receipt.Accepted {
		return
	}
	// Comes before the pledges: they may let this host grant slots of an upstream that is leaving.
	s.listReported(hb.ListAge, hb.LeavingUpstreams)
	s.slots.HandleHeartbeat(s.now, from, inc, receipt, hb)
	if receipt.Echoed {
		s.conf.AdoptAge(hb.ConfVersion, hb.ConfAge, receipt.EchoedSentAt)
	}
	s.service.known = false
	if hb.ConfVersion > s.conf.Version() && s.now-s.asked >= confInterval/4 {
		s.asked = s.now
		s.emit(SendPeer{To: from, Message: Message{ConfRequest: &ConfRequest{From: s.conf.Version()}}})
		s.streams.conf.hurry(s.now)
	}
}

func (s *State) confRequested(from ident.HostID, m *ConfRequest) {
	if s.conf.Version() <= m.From {
		return
	}
	s.emit(SendPeer{To: from, Message: Message{ConfRecords: &ConfRecords{
		Version: s.conf.Version(), Checkpoint: s.conf.Checkpoint(),
	}}})
}

func (s *State) confReceived(m *ConfRecords) {
	changed, err := s.conf.ApplyCheckpoint(m.Checkpoint)
	if err != nil {
		s.notice(true, "badCheckpoint", "error", err.Error())
		return
	}
	if changed {
		s.configure()
	}
}

// serviceState caches the rule on whether new work is accepted without a fresh configuration.
type serviceState struct {
	// known is cleared when a heartbeat arrives; the result is used until until.
	known bool
	until time.Duration
	serve bool
}

// serviceCache bounds how long the result for an old configuration is used; it is far below the 600 ms
// after which a silent host is taken to be unreachable.
const serviceCache = 20 * time.Millisecond

// inService reports whether new work may start: the configuration is fresh, or a majority of hosts is in the same state.
func (s *State) inService() bool {
	if s.guards.noFreshRule || s.conf.Fresh(s.now) {
		return true
	}
	c := &s.service
	if !c.known || s.now >= c.until {
		*c = serviceState{known: true, until: s.now + serviceCache, serve: s.mayServe()}
	}
	return c.serve
}

func (s *State) mayServe() bool {
	s.table.Advance(s.now)
	listed := 0
	var reached []conf.PeerState
	for _, h := range s.table.Hosts() {
		if !h.Listed {
			continue
		}
		listed++
		if h.Reachable && h.ID != s.cfg.Host {
			reached = append(reached, conf.PeerState{Version: h.ConfVersion, LogAnswers: h.LogAnswers})
		}
	}
	return listed > 0 && s.table.Self().Listed && s.conf.MayServe(s.now, listed, reached)
}

// announcePeers tells the runner which hosts to keep links with, when they changed.
func (s *State) announcePeers() {
	if s.peersAt == s.table.Revision() {
		return
	}
	s.peersAt = s.table.Revision()
	var peers []PeerAddress
	for _, h := range s.table.Hosts() {
		if h.ID != s.cfg.Host && h.PeerAddress != "" {
			peers = append(peers, PeerAddress{ID: h.ID, Address: h.PeerAddress})
		}
	}
	if slices.Equal(peers, s.peers) {
		return
	}
	s.peers = peers
	s.emit(Peers{Hosts: slices.Clone(peers)})
}

// sendProbes probes the upstreams that this host owns and that nothing was heard of.
func (s *State) sendProbes() {
	if s.now < s.probeAt {
		return
	}
	s.probeAt = s.now + probeInterval
	for _, id := range s.slots.DueProbes(s.now) {
		u := s.topo.upstreams[id]
		if u == nil {
			s.slots.HandleProbeResult(s.now, id, lease.ProbeResult{})
			continue
		}
		s.counters.Probes++
		s.emit(Probe{Upstream: id, Address: u.address})
	}
}

// probeInterval is how often the upstreams are looked through for one to probe; a probe follows two seconds of silence.
const probeInterval = 100 * time.Millisecond

func (s *State) probeEnded(ev ProbeEnded) {
	result := lease.ProbeResult{OK: ev.OK, Cold: ev.OK && ev.Report.Cold, Draining: ev.OK && ev.Report.Draining}
	if u := s.topo.upstreams[ev.Upstream]; u != nil && ev.OK {
		result.Restarted = s.sawIncarnation(u, ev.Report.Incarnation)
	}
	s.slots.HandleProbeResult(s.now, ev.Upstream, result)
}

// Addresses returns the hosts that a caller of a class may use, nearest first, and how long it may keep them. Hosts that
// leave, are not reachable or are in a data centre taken out of service are not among them. A host that accepts no new work
// itself cannot tell who is reachable and names all others. Hosts of one data centre take turns at the first place. The
// runner calls it under the mutex of Step.
func (s *State) Addresses(now time.Duration, _ ident.ClassName) ([]Address, time.Duration) {
	s.now = max(s.now, now)
	s.table.Advance(s.now)
	s.rotation++
	hosts := s.table.Hosts()
	var out []Address
	for _, dc := range s.topo.preference() {
		if !s.topo.view.DataCentreOut(dc) {
			out = append(out, s.addressesIn(hosts, dc)...)
		}
	}
	return out, s.cfg.Timing.AddressLifetime
}

func (s *State) addressesIn(hosts []member.Host, dc ident.DataCentre) []Address {
	inService := s.inService()
	var out []Address
	for _, h := range hosts {
		usable := h.Reachable
		if !inService {
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
