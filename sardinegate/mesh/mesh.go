// Package mesh carries datagrams between the hosts of a site and knows which of them are alive.
package mesh

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// beatEvery is the time between two beats to each host.
	beatEvery = 400 * time.Millisecond
	// aliveFor is how long a host counts as alive after a message from it.
	aliveFor = 1300 * time.Millisecond
	// forgetAfter is how long a silent host is still sent beats; a cut may heal meanwhile.
	forgetAfter = 60 * time.Second
)

// Self describes this host.
type Self struct {
	Host, DataCentre, Callers string
	// Listen is the address for datagrams; all hosts use its port.
	Listen netip.AddrPort
	Boot   int64
}

// Member is another host, or this one.
type Member struct {
	Host, DataCentre, Callers string
	Leaving, Ready            bool
	Operators, List           int64
	boot                      int64
	addr                      netip.AddrPort
	heard                     time.Duration
	// lost is set once the loss of the host was logged.
	lost bool
}

// Handler takes the messages of other hosts; it must not block.
type Handler func(m *Message)

// Node is this host's end of the mesh; it is safe for concurrent use.
type Node struct {
	self  Self
	conn  *net.UDPConn
	start time.Time
	log   *slog.Logger
	done  sync.WaitGroup
	stop  chan struct{}

	handler atomic.Pointer[Handler]
	status  atomic.Pointer[func() Beat]

	// Sent, Received and Invalid count datagrams.
	Sent, Received, Invalid atomic.Int64

	// beating orders beats: one that is sent later tells a later status.
	beating sync.Mutex

	mu      sync.Mutex
	members map[string]*Member
	// strangers are addresses of hosts that were not heard yet, with the time of their introduction.
	strangers map[netip.AddrPort]time.Duration
}

// Listen opens the socket and starts to receive. Messages are dropped until Start.
func Listen(self Self, log *slog.Logger) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Listen))
	if err != nil {
		return nil, err
	}
	return &Node{
		self:      self,
		conn:      conn,
		start:     time.Now(),
		log:       log,
		stop:      make(chan struct{}),
		members:   make(map[string]*Member),
		strangers: make(map[netip.AddrPort]time.Duration),
	}, nil
}

// Start begins to handle messages and to send beats with the given status.
func (n *Node) Start(status func() Beat, handler Handler) {
	n.handler.Store(&handler)
	n.status.Store(&status)
	n.done.Go(n.receive)
	n.done.Go(func() {
		t := time.NewTicker(beatEvery)
		defer t.Stop()
		for {
			n.Beat()
			select {
			case <-t.C:
			case <-n.stop:
				return
			}
		}
	})
}

// Close stops the node and waits.
func (n *Node) Close() {
	close(n.stop)
	_ = n.conn.Close() // ends receive
	n.done.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// Introduce adds the address of a host that may be alive.
func (n *Node) Introduce(addr netip.Addr) {
	to := netip.AddrPortFrom(addr, n.self.Listen.Port())
	if to == n.self.Listen {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.addr == to {
			return
		}
	}
	if _, ok := n.strangers[to]; !ok {
		n.strangers[to] = n.now()
	}
}

// present returns the beat that tells the present status. The caller holds beating until it is sent.
func (n *Node) present() Beat {
	beat := (*n.status.Load())()
	beat.DataCentre, beat.Callers = n.self.DataCentre, n.self.Callers
	return beat
}

// Beat sends a beat to all hosts at once.
func (n *Node) Beat() {
	n.beating.Lock()
	defer n.beating.Unlock()
	beat := n.present()
	now := n.now()
	n.mu.Lock()
	var to []netip.AddrPort
	for host, m := range n.members {
		if !m.lost && !n.alive(m) {
			m.lost = true
			n.log.Warn("host lost", "host", host, "dataCentre", m.DataCentre, "silentMs", (now - m.heard).Milliseconds())
		}
		if now-m.heard > forgetAfter {
			delete(n.members, host)
			continue
		}
		to = append(to, m.addr)
	}
	for addr, since := range n.strangers {
		if now-since > forgetAfter {
			delete(n.strangers, addr)
			continue
		}
		to = append(to, addr)
	}
	n.mu.Unlock()
	n.send(&Message{Beat: &beat}, to...)
}

func (n *Node) send(m *Message, to ...netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	m.From, m.Boot = n.self.Host, n.self.Boot
	data, err := encoder.Marshal(m)
	if err != nil {
		n.Invalid.Add(1)
		n.log.Error("message not encoded", "error", err)
		return
	}
	if len(data) > maxDatagram {
		n.log.Info("message too long for a datagram", "bytes", len(data))
		return
	}
	for _, addr := range to {
		n.Sent.Add(1)
		// A datagram that cannot be sent is a lost datagram.
		_, _ = n.conn.WriteToUDPAddrPort(data, addr)
	}
}

// Send sends a message to a host and returns false if the host is not known.
func (n *Node) Send(host string, m *Message) bool {
	n.mu.Lock()
	member := n.members[host]
	var addr netip.AddrPort
	if member != nil {
		addr = member.addr
	}
	n.mu.Unlock()
	if member == nil {
		return false
	}
	n.send(m, addr)
	return true
}

// Broadcast sends a message to all hosts that are alive.
func (n *Node) Broadcast(m *Message) {
	var to []netip.AddrPort
	n.mu.Lock()
	for _, member := range n.members {
		if n.alive(member) {
			to = append(to, member.addr)
		}
	}
	n.mu.Unlock()
	n.send(m, to...)
}

func (n *Node) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an error of an earlier datagram, such as a refused one
		}
		n.Received.Add(1)
		var m Message
		if err := decoder.Unmarshal(buf[:size], &m); err != nil || m.From == "" || m.From == n.self.Host {
			n.Invalid.Add(1)
			continue
		}
		if n.hear(&m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
			(*n.handler.Load())(&m)
		}
	}
}

// hear updates the membership and returns false for a message of a former lifetime.
func (n *Node) hear(m *Message, from netip.AddrPort) bool {
	n.mu.Lock()
	member := n.members[m.From]
	// The time of day may have gone back before a restart, so a lower number counts once the former lifetime is silent.
	if member != nil && m.Boot < member.boot && n.alive(member) {
		n.mu.Unlock()
		return false
	}
	fresh := member == nil || m.Boot != member.boot || !n.alive(member)
	if fresh && m.Beat == nil && member == nil {
		n.mu.Unlock()
		return false // its beat follows
	}
	if member == nil {
		member = &Member{Host: m.From}
		n.members[m.From] = member
	}
	changed := false
	member.boot, member.addr, member.heard, member.lost = m.Boot, from, n.now(), false
	if b := m.Beat; b != nil {
		changed = !fresh && (member.Leaving != b.Leaving || member.Ready != b.Ready)
		member.DataCentre, member.Callers = b.DataCentre, b.Callers
		member.Leaving, member.Ready = b.Leaving, b.Ready
		member.Operators, member.List = b.Operators, b.List
	}
	delete(n.strangers, from)
	n.mu.Unlock()
	if changed {
		n.log.Info("host changed", "host", m.From, "ready", m.Beat.Ready, "leaving", m.Beat.Leaving)
	}
	if fresh {
		n.log.Info("host is alive", "host", m.From, "boot", m.Boot)
		n.beating.Lock()
		defer n.beating.Unlock()
		beat := n.present()
		n.send(&Message{Beat: &beat}, from)
	}
	return true
}

func (n *Node) alive(m *Member) bool { return n.now()-m.heard <= aliveFor }

// Alive returns the other hosts that are alive, in the order of their names.
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

// Address returns the address of a host between hosts.
func (m *Member) Address() netip.AddrPort { return m.addr }

// Order returns the hosts that may own a service, best first, this one among them unless it is leaving. Hosts that
// agree on who is alive agree on the order.
func (n *Node) Order(service string, leaving bool) []string {
	type ranked struct {
		host string
		rank uint64
	}
	rank := func(host string) ranked { return ranked{host, xxhash.Sum64String(service + "\x00" + host)} }
	var order []ranked
	if !leaving {
		order = append(order, rank(n.self.Host))
	}
	n.mu.Lock()
	for _, m := range n.members {
		if n.alive(m) && !m.Leaving && m.Ready {
			order = append(order, rank(m.Host))
		}
	}
	n.mu.Unlock()
	slices.SortFunc(order, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	hosts := make([]string, len(order))
	for i, r := range order {
		hosts[i] = r.host
	}
	return hosts
}
