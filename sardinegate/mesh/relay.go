package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// relayFrom is the number of live hosts from which on hosts of different data centres send each other no heartbeats:
	// speakers pass on who is alive. tablesFrom is the number from which on speakers do so. It is lower, so that hosts that
	// disagree a little on the number still hear of each other.
	relayFrom, tablesFrom = 48, 32
	// speakers is the number of hosts that speak for a data centre at the same time, so that one may fail.
	speakers = 2
	// speakTimeout is the silence after which a host no longer counts as a speaker of its own data centre. It is shorter than
	// aliveTimeout, so that another one speaks before the others miss the tables.
	speakTimeout = 900 * time.Millisecond
	// relayedTimeout replaces aliveTimeout for hosts that are heard of in tables.
	relayedTimeout = 2500 * time.Millisecond
	// searchWidth is the number of hosts of a data centre that tables are sent to while no table comes from it, and that broadcasts
	// are sent to in turn. Its speakers may have failed, and some of the next with them.
	searchWidth = 8
	// speakTask is the task for which the hosts of a data centre are ranked to speak for it.
	speakTask = "speak for "
)

// Hello tells a host of another data centre that the sender learns from tables and passes messages on, so that it needs no
// heartbeats of that host. Programs of earlier versions drop it.
type Hello struct {
	// Known is set if the sender knows this of the receiver as well.
	Known bool `cbor:"1,keyasint,omitempty"`
}

// Forward is a message of another host that is passed on.
type Forward struct {
	// Data is the encoded message of the host that it comes from.
	Data []byte `cbor:"1,keyasint"`
	// Spread is set if the receiver is to pass it on to the live hosts of its own data centre.
	Spread bool `cbor:"2,keyasint,omitempty"`
}

// isLocal reports whether a member is in the data centre of this host.
func (n *Node) isLocal(m *Member) bool { return m.DataCentre == n.self.DataCentre }

// isRelayed reports whether a member is reached by speakers of its data centre and needs no heartbeats from this host. n.mu must
// be held.
func (n *Node) isRelayed(m *Member) bool { return n.relaying && m.relays && !n.isLocal(m) }

// countAlive counts the live hosts, this one included, and decides whether messages are relayed. n.mu must be held.
func (n *Node) countAlive() {
	alive := 1
	for _, m := range n.members {
		if n.alive(m) {
			alive++
		}
	}
	n.relaying, n.sendsTables = alive >= relayFrom, alive >= tablesFrom
}

// speakersOf returns the hosts that speak for a data centre now, the preferred one first. n.mu must be held.
func (n *Node) speakersOf(dataCentre string) []string {
	ranked := n.rankSpeakers(dataCentre)
	return ranked[:min(len(ranked), speakers)]
}

// rankSpeakers returns the hosts that may speak for a data centre, the preferred one first. n.mu must be held.
func (n *Node) rankSpeakers(dataCentre string) []string {
	var all []candidate
	own := dataCentre == n.self.DataCentre
	if own && !n.leaving {
		all = append(all, newCandidate(speakTask+dataCentre, n.self.Host, n.self.Capacity))
	}
	for _, m := range n.members {
		heard := n.alive(m) && (!own || n.now()-m.lastDirect <= speakTimeout)
		if m.DataCentre == dataCentre && m.relays && !m.Leaving && heard {
			all = append(all, newCandidate(speakTask+dataCentre, m.Host, m.Capacity))
		}
	}
	return rank(all)
}

// remoteSpeakers returns the addresses of the speakers of each other data centre: of those whose tables have come lately, or, if
// none have, of the first hosts that may speak, of which some may have failed. n.mu must be held.
func (n *Node) remoteSpeakers() map[string][]netip.AddrPort {
	speaking := make(map[string][]*Member)
	for _, m := range n.members {
		if m.DataCentre == "" || n.isLocal(m) {
			continue
		}
		heard := speaking[m.DataCentre]
		if m.lastTable > 0 && n.now()-m.lastTable <= speakTimeout {
			heard = append(heard, m)
		}
		speaking[m.DataCentre] = heard
	}
	out := make(map[string][]netip.AddrPort)
	for dataCentre, hosts := range speaking {
		if len(hosts) == 0 {
			hosts = n.search(dataCentre)
		}
		slices.SortFunc(hosts, func(a, b *Member) int { return strings.Compare(a.Host, b.Host) })
		out[dataCentre] = nil
		for _, m := range hosts {
			out[dataCentre] = append(out[dataCentre], m.addr)
		}
	}
	return out
}

// search returns the first hosts that may speak for a data centre from which no table comes. Those that spoke before go last, as
// they may have failed; any other host of the data centre passes messages on as well. n.mu must be held.
func (n *Node) search(dataCentre string) []*Member {
	var first, spoke []*Member
	for _, host := range n.rankSpeakers(dataCentre) {
		if m := n.members[host]; m.lastTable > 0 && n.now()-m.lastTable <= relayedTimeout {
			spoke = append(spoke, m)
		} else {
			first = append(first, m)
		}
	}
	hosts := append(first, spoke...)
	if len(hosts) == 0 {
		// They may hear this host, and have to learn that it does not hear them.
		for _, m := range n.members {
			if m.DataCentre == dataCentre && m.relays && !m.Leaving {
				hosts = append(hosts, m)
			}
		}
		slices.SortFunc(hosts, func(a, b *Member) int {
			return cmp.Or(cmp.Compare(b.lastReceived, a.lastReceived), strings.Compare(a.Host, b.Host))
		})
	}
	return hosts[:min(len(hosts), searchWidth)]
}

// inTurn returns as many of the addresses as a data centre has speakers, others with each call. More hosts may speak for a while, and
// when the tables of a data centre are lost, its speakers are not known. n.mu must be held.
func (n *Node) inTurn(addrs []netip.AddrPort) []netip.AddrPort {
	if len(addrs) <= speakers {
		return addrs
	}
	var some []netip.AddrPort
	for range speakers {
		some = append(some, addrs[n.searchTurn%len(addrs)])
		n.searchTurn++
	}
	return some
}

// heardTable records that a host of another data centre speaks.
func (n *Node) heardTable(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[host]; m != nil {
		m.lastTable = n.now()
	}
}

// Broadcast sends a message to all hosts that are alive. To those of another data centre that pass messages on, it is sent once
// for each speaker.
func (n *Node) Broadcast(m *Message) {
	var direct, relays []netip.AddrPort
	n.mu.Lock()
	spoken := n.remoteSpeakers()
	for _, member := range n.members {
		if n.alive(member) && (!n.isRelayed(member) || len(spoken[member.DataCentre]) == 0) {
			direct = append(direct, member.addr)
		}
	}
	if n.relaying {
		for _, addrs := range spoken {
			relays = append(relays, n.inTurn(addrs)...)
		}
	}
	n.mu.Unlock()
	data := n.encode(m)
	n.write(data, direct...)
	n.forward(data, true, relays...)
}

// forward sends an encoded message on to the addresses.
func (n *Node) forward(data []byte, spread bool, to ...netip.AddrPort) {
	if len(data) > 0 && len(to) > 0 {
		n.send(&Message{Forward: &Forward{Data: data, Spread: spread}}, to...)
	}
}

// handleForward handles a message that is passed on, and passes it on in turn if asked to. It reports whether the message is
// one that may be passed on.
func (n *Node) handleForward(f *Forward) bool {
	m, _, err := Decode(f.Data)
	if err != nil || m.Heartbeat != nil || m.Hello != nil || m.Forward != nil || m.AttemptRequest != nil || m.AttemptEnd != nil || m.SelectionReply != nil ||
		m.Question != nil || m.Answer != nil || m.ProbeReports != nil || m.ExplainRequest != nil || m.ExplainReply != nil {
		return false
	}
	if f.Spread {
		n.forward(f.Data, false, n.localAddresses(m.From, m.Table != nil)...)
	}
	if m.From == n.self.Host {
		return true
	}
	if m.Table != nil {
		n.applyTable(m.Table)
		n.heardTable(m.From)
	}
	(*n.handler.Load())(m)
	return true
}

// localAddresses returns the addresses of the live hosts of the own data centre but one. With silent, it adds those of hosts that are
// not heard: they may hear this host, and have to learn from tables who does not hear them.
func (n *Node) localAddresses(except string, silent bool) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var to []netip.AddrPort
	for _, m := range n.members {
		if n.isLocal(m) && m.Host != except && (n.alive(m) || silent && !m.Leaving) {
			to = append(to, m.addr)
		}
	}
	return to
}

// handleHello records that a host passes messages on, and answers it if it does not know this of the own host.
func (n *Node) handleHello(host string, h *Hello) {
	n.mu.Lock()
	m := n.members[host]
	if m == nil {
		n.mu.Unlock()
		return
	}
	m.relays = true
	addr := m.addr
	n.mu.Unlock()
	if !h.Known {
		n.send(&Message{Hello: &Hello{Known: true}}, addr)
	}
}

// recipients returns the addresses of the live hosts that a heartbeat is sent to now, the silent hosts that one is sent to, and the
// addresses that a Hello is sent to. It logs hosts that are no longer alive and forgets those that have been silent for longer than
// forgetAfter. n.mu must be held.
func (n *Node) recipients() (heartbeat []netip.AddrPort, silent []silentHost, hello []netip.AddrPort) {
	now := n.now()
	speaks := slices.Contains(n.speakersOf(n.self.DataCentre), n.self.Host)
	for host, m := range n.members {
		alive := n.alive(m)
		if !m.lossLogged && !alive {
			m.lossLogged = true
			n.log.Warn("host lost", "host", host, "dataCentre", m.DataCentre, "silentMs", (now - m.lastReceived).Milliseconds())
		}
		if now-m.lastReceived > forgetAfter {
			delete(n.members, host)
			continue
		}
		// A data centre that was cut off is found again by the heartbeats of speakers to its silent hosts.
		if !n.isRelayed(m) || !alive && speaks {
			if alive {
				heartbeat = append(heartbeat, m.addr)
			} else {
				silent = append(silent, silentHost{host, m.addr})
			}
			if n.relaying && !n.isLocal(m) {
				hello = append(hello, m.addr)
			}
		}
	}
	for addr, since := range n.unconfirmed {
		if now-since > forgetAfter {
			delete(n.unconfirmed, addr)
			continue
		}
		silent = append(silent, silentHost{addr.Addr().String(), addr})
	}
	return heartbeat, silent, hello
}
