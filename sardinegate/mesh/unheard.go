package mesh

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxUnheard is the number of names that Message.Unheard holds, maxTableUnheard that of hashes in Table.Unheard. A longer list
	// says that the sender hears no host.
	maxUnheard, maxTableUnheard = 32, 1024
	// reportedTogether is the number of hosts that get the same report. With 32, the names doubled the bytes between data centres when 184
	// hosts start together, which do not hear each other yet; with one, each heartbeat is encoded for each host.
	reportedTogether = 4
	// unheardLogInterval is the shortest time between two log lines on hosts that do not hear this host.
	unheardLogInterval = time.Second
)

// silentHost is a host that this host does not hear. A host that was never heard is named by its IP address.
type silentHost struct {
	name string
	addr netip.AddrPort
}

// sendReports sends heartbeats to hosts that this host does not hear, which tell them so. Others have no use for these names.
func (n *Node) sendReports(hb *Heartbeat, hosts []silentHost) {
	for part := range slices.Chunk(hosts, reportedTogether) {
		m := &Message{Heartbeat: hb}
		var to []netip.AddrPort
		for _, h := range part {
			m.Unheard = append(m.Unheard, h.name)
			to = append(to, h.addr)
		}
		n.send(m, to...)
	}
}

// isUnheard reports whether the sender of a message does not hear this host.
func (n *Node) isUnheard(m *Message) bool {
	return len(m.Unheard) > maxUnheard || slices.Contains(m.Unheard, n.self.Host) || slices.Contains(m.Unheard, n.self.Listen.Addr().String())
}

// addReports adds to a table the hosts of other data centres that this speaker does not hear, and the hosts of its own that do not
// hear it. The others of its own hear of other data centres what it hears. n.mu must be held.
func (n *Node) addReports(t *Table) {
	now := n.now()
	for _, m := range n.members {
		switch alive := n.alive(m); {
		case n.isLocal(m) && alive && m.deaf:
			t.Deaf = append(t.Deaf, hashName(m.Host))
		case !n.isLocal(m) && !alive && !m.Leaving:
			t.Unheard = append(t.Unheard, hashName(m.Host))
		}
	}
	for addr, since := range n.unconfirmed {
		if now-since > aliveTimeout { // before, lost datagrams may be the reason
			t.Unheard = append(t.Unheard, hashName(addr.Addr().String()))
		}
	}
	t.Unheard = t.Unheard[:min(len(t.Unheard), maxTableUnheard+1)]
}

// applyReports records which of the hosts of a data centre hear this host, by a table of it. Those that send heartbeats to this host
// tell it themselves. n.mu must be held.
func (n *Node) applyReports(t *Table, byHash map[uint32]*Member) {
	unheard := len(t.Unheard) > maxTableUnheard || slices.Contains(t.Unheard, hashName(n.self.Host)) ||
		slices.Contains(t.Unheard, hashName(n.self.Listen.Addr().String()))
	for hash, m := range byHash {
		if n.isRelayed(m) {
			n.setDeaf(m, unheard || slices.Contains(t.Deaf, hash))
		}
	}
}

// setDeaf records whether a live host does not hear this host. n.mu must be held.
func (n *Node) setDeaf(m *Member, deaf bool) {
	if deaf && !m.deaf && n.now() >= n.unheardLogAt {
		n.log.Warn("not heard by host", "host", m.Host, "dataCentre", m.DataCentre)
		n.unheardLogAt = n.now() + unheardLogInterval
	}
	m.deaf = deaf
}
