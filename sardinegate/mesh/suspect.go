package mesh

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// suspectAfter is the silence after which a host that sends this host heartbeats is asked whether it is alive: one heartbeat
	// is missing, and a late one has had half an interval to come.
	suspectAfter = heartbeatInterval * 3 / 2
	// askPeersAfter is the silence after which other hosts are asked about it as well: two heartbeats are missing.
	askPeersAfter = 900 * time.Millisecond
	// relayedAskAfter replaces askPeersAfter for hosts that are heard of in tables: some eight tables in a row are missing.
	relayedAskAfter = 1500 * time.Millisecond
	// askInterval is the time between two questions about the same host, so that several fit before aliveTimeout.
	askInterval = 100 * time.Millisecond
	// askedPeers is the number of hosts that are asked about silent hosts each time, maxAsked that of the silent hosts in one
	// question.
	askedPeers, maxAsked = 2, 64
	// answerTimeout is the age of a question from which on answers to it are ignored.
	answerTimeout = 500 * time.Millisecond
	// maxIndirect is the time for which a host that sends this host heartbeats may be known from other hosts alone. A longer
	// silence means that the link is cut, perhaps in one direction only.
	maxIndirect = relayedTimeout
	// heardLogInterval is the shortest time between two log lines on hosts that only others have heard.
	heardLogInterval = time.Second
)

// Question asks a host whether it is alive, and when it last heard others that the sender no longer hears. Programs of earlier
// versions drop it.
type Question struct {
	// At is when the question was sent, on the clock of the sender.
	At time.Duration `cbor:"1,keyasint"`
	// Hosts holds the hashes of the names of the silent hosts.
	Hosts []uint32 `cbor:"2,keyasint,omitempty"`
}

// Answer is the answer to the Question that was sent at At. It shows that its sender is alive, whatever it has heard.
type Answer struct {
	At    time.Duration `cbor:"1,keyasint"`
	Heard []Heard       `cbor:"2,keyasint,omitempty"`
}

// Heard tells how long before the answer a host was last heard.
type Heard struct {
	_ struct{} `cbor:",toarray"`
	// Host is the hash of the name of the host.
	Host uint32
	Age  time.Duration
}

// suspicion is when this host last looked for silent hosts, and how often it has asked others about them.
type suspicion struct {
	checkedAt time.Duration
	round     int
	// logAt is when the next host that only others have heard is logged.
	logAt time.Duration
}

// askSuspects asks silent hosts whether they are alive, and other hosts whether they have heard them, so that lost datagrams do
// not make a host count as gone. It does so at most once in askInterval.
func (n *Node) askSuspects() {
	n.mu.Lock()
	now := n.now()
	if now-n.suspicion.checkedAt < askInterval {
		n.mu.Unlock()
		return
	}
	n.suspicion.checkedAt = now
	silent, unheard := n.suspects(now)
	var peers []netip.AddrPort
	if len(unheard) > 0 {
		peers = n.nextPeers()
	}
	n.mu.Unlock()
	n.Asked.Add(int64(len(silent) + len(peers)))
	n.send(&Message{Question: &Question{At: now}}, silent...)
	n.send(&Message{Question: &Question{At: now, Hosts: unheard}}, peers...)
}

// suspects returns the addresses of hosts that are to be asked whether they are alive, and the hashes of those that others are to
// be asked about. n.mu must be held.
func (n *Node) suspects(now time.Duration) (silent []netip.AddrPort, unheard []uint32) {
	for _, m := range n.members {
		if m.Leaving || !n.alive(m) {
			continue
		}
		askAfter := askPeersAfter
		if n.isRelayed(m) {
			askAfter = relayedAskAfter // the speakers of its data centre ask the host itself
		} else if now-m.lastDirect > suspectAfter && now-m.lastDirect <= maxIndirect {
			silent = append(silent, m.addr)
		}
		if now-m.lastReceived > askAfter && len(unheard) < maxAsked {
			unheard = append(unheard, hashName(m.Host))
		}
	}
	return silent, unheard
}

// nextPeers returns the addresses of the hosts that are asked about silent hosts now: hosts of the own data centre that were heard
// lately, in turn. Hosts of other data centres may hear what a cut keeps from this one. n.mu must be held.
func (n *Node) nextPeers() []netip.AddrPort {
	var heard []*Member
	for _, m := range n.members {
		if n.isLocal(m) && !m.Leaving && n.now()-m.lastDirect <= suspectAfter {
			heard = append(heard, m)
		}
	}
	slices.SortFunc(heard, func(a, b *Member) int { return strings.Compare(a.Host, b.Host) })
	var peers []netip.AddrPort
	for range min(len(heard), askedPeers) {
		peers = append(peers, heard[n.suspicion.round%len(heard)].addr)
		n.suspicion.round++
	}
	return peers
}

// answer answers a question of another host.
func (n *Node) answer(host string, q *Question) {
	a := &Answer{At: q.At}
	n.mu.Lock()
	now := n.now()
	if len(q.Hosts) > 0 {
		for _, m := range n.members {
			if hash := hashName(m.Host); n.alive(m) && slices.Contains(q.Hosts, hash) {
				a.Heard = append(a.Heard, Heard{Host: hash, Age: now - m.lastReceived})
			}
		}
	}
	n.mu.Unlock()
	n.Send(host, &Message{Answer: a})
}

// applyAnswer updates live members by what another host has heard. A member that counts as gone stays so, as a table may have told
// it. The ages count from when the question was sent, so that no delay makes a host look younger.
func (n *Node) applyAnswer(from string, a *Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if a.At > now || now-a.At > answerTimeout || len(a.Heard) == 0 {
		return
	}
	heardAt := make(map[uint32]time.Duration, len(a.Heard))
	for _, h := range a.Heard {
		heardAt[h.Host] = a.At - h.Age
	}
	for _, m := range n.members {
		at, ok := heardAt[hashName(m.Host)]
		if !ok || at <= m.lastReceived || !n.alive(m) || !n.isRelayed(m) && now-m.lastDirect > maxIndirect {
			continue
		}
		n.HeardByOthers.Add(1)
		if now >= n.suspicion.logAt {
			n.log.Info("silent host heard by another", "host", m.Host, "by", from, "silentMs", (now - m.lastReceived).Milliseconds(),
				"ageMs", (now - at).Milliseconds())
			n.suspicion.logAt = now + heardLogInterval
		}
		m.lastReceived = at
	}
}
