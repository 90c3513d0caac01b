package mesh

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// tableTimeout is the silence up to which a speaker lists a host of its data centre as alive. tableAge is the silence that
	// the receivers of a table assume for the hosts that it lists.
	tableTimeout, tableAge = 700 * time.Millisecond, 300 * time.Millisecond
	// goneTime is how long speakers tell that a host is gone.
	goneTime = 4 * time.Second
	// entryRounds is the number of tables in a row that hold the whole entry of a host that is new or has changed, as a table
	// may be lost.
	entryRounds = 3
	// refreshRounds is the number of tables in which every entry is repeated once.
	refreshRounds = 12
	// maxTableEntries bounds the whole entries in one table, so that it fits a datagram.
	maxTableEntries = 200
)

// Table tells hosts of other data centres which hosts of one are alive. The speakers of that data centre send one with each
// heartbeat.
type Table struct {
	DataCentre string `cbor:"1,keyasint"`
	// Entries holds the hosts that are new or have changed, and some of the others in turn.
	Entries []TableEntry `cbor:"2,keyasint,omitempty"`
	// Alive holds the hashes of the names of all hosts that the speaker has heard lately, Gone of those that it has lost.
	Alive []uint32 `cbor:"3,keyasint,omitempty"`
	Gone  []uint32 `cbor:"4,keyasint,omitempty"`
	// ColdUpstreams lists the upstreams that the hosts of the data centre found cold.
	ColdUpstreams []ColdUpstream `cbor:"5,keyasint,omitempty"`
	// Unheard holds the hashes of the names, or of the IP addresses, of hosts of other data centres that the speaker does not hear,
	// and Deaf of the hosts of its own that report that they do not hear it.
	Unheard []uint32 `cbor:"6,keyasint,omitempty"`
	Deaf    []uint32 `cbor:"7,keyasint,omitempty"`
}

// TableEntry is a host in a Table.
type TableEntry struct {
	_              struct{} `cbor:",toarray"`
	Host           string
	Boot           int64
	Address        [4]byte
	CallerAddress  string
	Leaving, Ready bool
	// Relays is set if the host learns from tables itself; see Hello.
	Relays   bool
	Capacity int
}

// hashName returns the hash by which tables name a host.
func hashName(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

// tableState is what a speaker remembers of its tables.
type tableState struct {
	round int
	// rounds is the number of further tables that hold the entry of a host, by host, and last the entry in the last one.
	rounds map[string]int
	last   map[string]TableEntry
}

// sendTable sends a table to a speaker of each other data centre if this host is a speaker of its own.
func (n *Node) sendTable(hb *Heartbeat) {
	n.mu.Lock()
	own := slices.Index(n.speakersOf(n.self.DataCentre), n.self.Host)
	if !n.sendsTables || own < 0 {
		n.table = tableState{}
		n.mu.Unlock()
		return
	}
	t := n.buildTable(hb)
	var to []netip.AddrPort
	for _, addrs := range n.remoteSpeakers() {
		if len(addrs) == speakers {
			addrs = addrs[own:][:1] // each of the two speakers there gets the table of one speaker here
		}
		to = append(to, addrs...)
	}
	n.mu.Unlock()
	n.forward(n.encode(&Message{Table: t}), true, to...)
}

// buildTable returns the table of the own data centre. n.mu must be held.
func (n *Node) buildTable(hb *Heartbeat) *Table {
	now := n.now()
	t := &Table{DataCentre: n.self.DataCentre}
	self := TableEntry{
		Host: n.self.Host, Boot: n.self.Boot, Address: n.self.Listen.Addr().As4(), CallerAddress: n.self.CallerAddress,
		Leaving: hb.Leaving, Ready: hb.Ready, Relays: true, Capacity: n.self.Capacity,
	}
	entries := []TableEntry{self}
	t.ColdUpstreams = slices.Clone(hb.ColdUpstreams)
	for _, m := range n.members {
		switch silence := now - m.lastReceived; {
		case !n.isLocal(m):
		case silence <= tableTimeout:
			entries = append(entries, TableEntry{
				Host: m.Host, Boot: m.boot, Address: m.addr.Addr().As4(), CallerAddress: m.CallerAddress,
				Leaving: m.Leaving, Ready: m.Ready, Relays: m.relays, Capacity: m.Capacity,
			})
			t.ColdUpstreams = append(t.ColdUpstreams, m.coldSince(now)...)
		case silence > aliveTimeout && silence <= goneTime:
			t.Gone = append(t.Gone, hashName(m.Host))
		}
	}
	for _, e := range entries {
		t.Alive = append(t.Alive, hashName(e.Host))
		if len(t.Entries) < maxTableEntries && n.table.holds(e) {
			t.Entries = append(t.Entries, e)
		}
	}
	n.addReports(t)
	n.table.round++
	return t
}

// coldSince returns the upstreams that the host found cold and that are still cold.
func (m *Member) coldSince(now time.Duration) []ColdUpstream {
	var cold []ColdUpstream
	for _, u := range m.cold {
		if left := u.Left - (now - m.coldAt); left > 0 {
			cold = append(cold, ColdUpstream{Upstream: u.Upstream, Left: left})
		}
	}
	return cold
}

// holds reports whether the next table holds the whole entry of a host: if the entry is new or has changed in one of the last
// tables, or if it is its turn.
func (s *tableState) holds(e TableEntry) bool {
	if s.rounds == nil {
		s.rounds, s.last = make(map[string]int), make(map[string]TableEntry)
	}
	if s.last[e.Host] != e {
		s.last[e.Host], s.rounds[e.Host] = e, entryRounds
	}
	if s.rounds[e.Host] > 0 {
		s.rounds[e.Host]--
		return true
	}
	return (int(hashName(e.Host)%refreshRounds)+s.round)%refreshRounds == 0
}

// applyTable updates the members of another data centre by its table.
func (n *Node) applyTable(t *Table) {
	if t.DataCentre == n.self.DataCentre {
		return
	}
	var alive []string
	n.mu.Lock()
	now := n.now()
	for i := range t.Entries {
		if n.applyEntry(now, t.DataCentre, &t.Entries[i]) {
			alive = append(alive, t.Entries[i].Host)
		}
	}
	byHash := make(map[uint32]*Member)
	for _, m := range n.members {
		if m.DataCentre == t.DataCentre {
			byHash[hashName(m.Host)] = m
		}
	}
	for _, hash := range t.Alive {
		m := byHash[hash]
		if m == nil {
			continue // its entry follows in a later table
		}
		if !n.alive(m) {
			alive = append(alive, m.Host)
		}
		m.lastReceived, m.lossLogged = max(m.lastReceived, now-tableAge), false
	}
	for _, hash := range t.Gone {
		if m := byHash[hash]; m != nil && now-m.lastReceived > tableTimeout {
			m.lastReceived = min(m.lastReceived, now-relayedTimeout-1)
		}
	}
	n.applyReports(t, byHash)
	n.mu.Unlock()
	for _, host := range alive {
		n.reportAlive(host)
	}
}

// applyEntry updates a member of another data centre by its entry in a table and reports whether it has become alive. n.mu must
// be held.
func (n *Node) applyEntry(now time.Duration, dataCentre string, e *TableEntry) bool {
	m := n.members[e.Host]
	if e.Host == n.self.Host || m != nil && e.Boot < m.boot && n.alive(m) {
		return false
	}
	becomesAlive := m == nil || e.Boot != m.boot || !n.alive(m)
	if m == nil {
		m = &Member{Host: e.Host, lastReceived: now - tableAge}
		n.members[e.Host] = m
	}
	if e.Boot != m.boot {
		m.heardSince = now
	}
	if !becomesAlive && (m.Leaving != e.Leaving || m.Ready != e.Ready) {
		n.log.Info("host changed", "host", e.Host, "ready", e.Ready, "leaving", e.Leaving)
	}
	m.DataCentre, m.CallerAddress, m.Leaving, m.Ready, m.Capacity = dataCentre, e.CallerAddress, e.Leaving, e.Ready, e.Capacity
	m.boot, m.addr, m.relays = e.Boot, netip.AddrPortFrom(netip.AddrFrom4(e.Address), n.self.Listen.Port()), e.Relays
	m.lastReceived, m.lossLogged = max(m.lastReceived, now-tableAge), false
	delete(n.unconfirmed, m.addr)
	return becomesAlive
}
