package mesh

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/fleet"
)

// Member is the last known status of another host.
type Member struct {
	Host, DataCentre, CallerAddress string
	Leaving, Ready                  bool
	Capacity                        int
	// Operators and List are how far the host knows the operators' records and the list of upstreams.
	Operators, List fleet.Progress
	// Remembers is set if the host knows what was removed lately; see StoreEras.
	Remembers bool
	boot      int64
	// heardSince is when the present lifetime of the host was first heard.
	heardSince time.Duration
	addr       netip.AddrPort
	// lastReceived is when the host was last heard, itself or in a table, lastDirect when it was heard itself.
	lastReceived, lastDirect time.Duration
	// cold holds the upstreams that the host found cold as of coldAt.
	cold   []ColdUpstream
	coldAt time.Duration
	// lastTable is when a table of the host last came, 0 if never.
	lastTable time.Duration
	// relays is set if the host learns from tables and passes messages on; see Hello.
	relays bool
	// deaf is set while the host reports that it does not hear this host.
	deaf bool
	// lossLogged is set once the loss of the host was logged, until a message from it is received again.
	lossLogged bool
}

// updateMember updates the member that sent a message. It returns false if the message must be dropped because it is
// from an earlier lifetime of the host, or is not a heartbeat and the host is not known.
func (n *Node) updateMember(m *Message, from netip.AddrPort) bool {
	n.mu.Lock()
	member := n.members[m.From]
	// The clock may have been set back before a restart, so a lower Boot is accepted once the earlier lifetime no longer
	// counts as alive.
	if member != nil && m.Boot < member.boot && n.alive(member) {
		n.mu.Unlock()
		return false
	}
	newlyAlive := member == nil || m.Boot != member.boot || !n.alive(member)
	if newlyAlive && m.Heartbeat == nil && member == nil {
		n.mu.Unlock()
		return false // the host becomes a member with its next heartbeat
	}
	if member == nil {
		member = &Member{Host: m.From}
		n.members[m.From] = member
	}
	changed := false
	now := n.now()
	if m.Boot != member.boot {
		member.relays = false // the program may be an earlier version
		member.heardSince = now
	}
	member.boot, member.addr, member.lastReceived, member.lastDirect, member.lossLogged = m.Boot, from, now, now, false
	n.firstMessageAt.CompareAndSwap(0, int64(n.now()))
	if hb := m.Heartbeat; hb != nil {
		changed = !newlyAlive && (member.Leaving != hb.Leaving || member.Ready != hb.Ready)
		member.DataCentre, member.CallerAddress = hb.DataCentre, hb.CallerAddress
		member.Leaving, member.Ready, member.Capacity = hb.Leaving, hb.Ready, hb.Capacity
		member.Operators, member.List = hb.Progress()
		member.Remembers = hb.Eras != nil && hb.Eras.Remembers
		member.cold, member.coldAt = hb.ColdUpstreams, now
		if newlyAlive {
			member.deaf = n.isUnheard(m) // until it has heard the answer below
		} else {
			n.setDeaf(member, n.isUnheard(m))
		}
	}
	delete(n.unconfirmed, from)
	n.mu.Unlock()
	if changed {
		n.log.Info("host changed", "host", m.From, "ready", m.Heartbeat.Ready, "leaving", m.Heartbeat.Leaving)
	}
	if newlyAlive {
		n.log.Info("host is alive", "host", m.From, "boot", m.Boot)
		n.heartbeatMu.Lock()
		defer n.heartbeatMu.Unlock()
		hb := n.heartbeat()
		n.send(&Message{Heartbeat: &hb}, from)
		n.send(&Message{Hello: &Hello{}}, from)
		n.callOnAlive(m.From)
	}
	return true
}

// alive reports whether m was heard lately: itself within aliveTimeout, or, if it is heard of in tables, within relayedTimeout.
// n.mu must be held.
func (n *Node) alive(m *Member) bool {
	timeout := aliveTimeout
	if n.isRelayed(m) {
		timeout = relayedTimeout
	}
	return n.now()-m.lastReceived <= timeout
}

// Alive returns the other hosts that are alive, sorted by name.
func (n *Node) Alive() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		if n.alive(m) {
			alive = append(alive, *m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return alive
}

// Reach returns the number of hosts that may be running, and how many of them are alive and hear this host, both with this host. A
// host may be running if it was heard within forgetAfter, unless it was about to stop when it fell silent.
func (n *Node) Reach() (known, alive int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, alive = 1, 1
	for _, m := range n.members {
		switch {
		case n.alive(m):
			known++
			if !m.deaf {
				alive++
			}
		case !m.Leaving:
			known++
		}
	}
	return known, alive
}

// Address returns the address at which the member receives messages and requests of other hosts.
func (m *Member) Address() netip.AddrPort { return m.addr }
