// Package mesh exchanges datagrams between the hosts of a site and tracks which of them are alive.
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
)

const (
	// heartbeatInterval is the time between two heartbeats to each host.
	heartbeatInterval = 400 * time.Millisecond
	// aliveTimeout is how long a host counts as alive after a message from it.
	aliveTimeout = 1300 * time.Millisecond
	// forgetAfter is how long heartbeats are still sent to a silent host. A network partition may end meanwhile.
	forgetAfter = 60 * time.Second
	// joinTime is how long a new host waits after the first message of another host until the others have answered its first
	// heartbeat as well, and have told it what it cannot read in the store.
	joinTime = 40 * time.Millisecond
	// invalidLogInterval is the shortest time between two log lines on invalid messages.
	invalidLogInterval = time.Second
)

// Self identifies this host and its addresses.
type Self struct {
	Host, DataCentre, CallerAddress string
	// Listen is the address for datagrams. All hosts use the same port.
	Listen netip.AddrPort
	// Boot identifies the lifetime of this process; see Message.Boot.
	Boot int64
	// Capacity is the number of messages and probes a second that this host can handle for all hosts.
	Capacity int
}

// Member is the last known status of another host.
type Member struct {
	Host, DataCentre, CallerAddress string
	Leaving, Ready                  bool
	Capacity                        int
	OperatorsPosition, ListPosition int64
	boot                            int64
	addr                            netip.AddrPort
	lastReceived                    time.Duration
	// lossLogged is set once the loss of the host was logged, until a message from it is received again.
	lossLogged bool
}

// Handler handles the messages of other hosts. It must not block.
type Handler func(m *Message)

// Node sends and receives the messages of this host and holds the other hosts. It is safe for concurrent use.
type Node struct {
	self  Self
	conn  *net.UDPConn
	start time.Time
	log   *slog.Logger
	done  sync.WaitGroup
	stop  chan struct{}

	handler atomic.Pointer[Handler]
	status  atomic.Pointer[func() Heartbeat]
	onAlive atomic.Pointer[func(host string)]

	// firstMessageAt is when the first message of another host was received; 0 before that.
	firstMessageAt atomic.Int64

	// Sent and Received count datagrams. Invalid counts messages that could not be encoded or decoded, have invalid values, or
	// name no other host as the sender. Newer counts those with fields that this program does not know.
	Sent, Received, Invalid, Newer atomic.Int64

	// heartbeatMu is held from reading the status until the heartbeat is sent, so that a later heartbeat never carries an
	// earlier status.
	heartbeatMu sync.Mutex

	mu sync.Mutex
	// members holds the other hosts by name.
	members map[string]*Member
	// unconfirmed holds addresses from which no message was received yet, with the time when each was added.
	unconfirmed map[netip.AddrPort]time.Duration
}

// Listen opens the socket. Messages are received from Start on.
func Listen(self Self, log *slog.Logger) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Listen))
	if err != nil {
		return nil, err
	}
	return &Node{
		self:        self,
		conn:        conn,
		start:       time.Now(),
		log:         log,
		stop:        make(chan struct{}),
		members:     make(map[string]*Member),
		unconfirmed: make(map[netip.AddrPort]time.Duration),
	}, nil
}

// Start starts to receive messages and to send heartbeats. status returns the current status of this host; the node adds
// its addresses.
func (n *Node) Start(status func() Heartbeat, handler Handler) {
	n.handler.Store(&handler)
	n.status.Store(&status)
	n.done.Go(n.receive)
	n.done.Go(func() {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for {
			n.SendHeartbeat()
			select {
			case <-t.C:
			case <-n.stop:
				return
			}
		}
	})
}

// OnAlive sets a function that is called with each host that becomes alive. It must not block.
func (n *Node) OnAlive(f func(host string)) { n.onAlive.Store(&f) }

// Joined reports whether other hosts have had time to answer since the first of them was heard.
func (n *Node) Joined() bool {
	first := time.Duration(n.firstMessageAt.Load())
	return first > 0 && n.now()-first >= joinTime
}

// Close stops the node and waits until its goroutines have ended.
func (n *Node) Close() {
	close(n.stop)
	_ = n.conn.Close() // ends receive
	n.done.Wait()
}

// now returns the time since the node was created.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// AddAddress adds the address of a host that may be alive. Heartbeats are sent to it until forgetAfter has passed
// without a message from it. The address of this host or of a known member is ignored.
func (n *Node) AddAddress(addr netip.Addr) {
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
	if _, ok := n.unconfirmed[to]; !ok {
		n.unconfirmed[to] = n.now()
	}
}

// heartbeat returns a heartbeat with the current status. heartbeatMu must be held until it is sent.
func (n *Node) heartbeat() Heartbeat {
	hb := (*n.status.Load())()
	hb.DataCentre, hb.CallerAddress, hb.Capacity = n.self.DataCentre, n.self.CallerAddress, n.self.Capacity
	return hb
}

// SendHeartbeat sends a heartbeat to all known addresses now. It also logs hosts that are no longer alive and forgets
// those that have been silent for longer than forgetAfter.
func (n *Node) SendHeartbeat() {
	n.heartbeatMu.Lock()
	defer n.heartbeatMu.Unlock()
	hb := n.heartbeat()
	now := n.now()
	n.mu.Lock()
	var to []netip.AddrPort
	for host, m := range n.members {
		if !m.lossLogged && !n.alive(m) {
			m.lossLogged = true
			n.log.Warn("host lost", "host", host, "dataCentre", m.DataCentre, "silentMs", (now - m.lastReceived).Milliseconds())
		}
		if now-m.lastReceived > forgetAfter {
			delete(n.members, host)
			continue
		}
		to = append(to, m.addr)
	}
	for addr, since := range n.unconfirmed {
		if now-since > forgetAfter {
			delete(n.unconfirmed, addr)
			continue
		}
		to = append(to, addr)
	}
	n.mu.Unlock()
	n.send(&Message{Heartbeat: &hb}, to...)
}

// send encodes a message and sends it to the addresses. It drops a message that is too long for a datagram.
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
		// A datagram that cannot be sent counts as lost, which every receiver must tolerate.
		_, _ = n.conn.WriteToUDPAddrPort(data, addr)
	}
}

// Send sends a message to a host and reports whether the host is known.
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

// receive reads datagrams and passes valid messages to the handler until the socket is closed.
func (n *Node) receive() {
	buf := make([]byte, maxDatagram)
	logInvalidAt := time.Duration(0)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram could not be delivered, for example because its port was closed
		}
		n.Received.Add(1)
		m, newer, err := Decode(buf[:size])
		if err == nil && m.From == n.self.Host {
			err = &InvalidMessageError{"sender", "is this host"}
		}
		if err != nil {
			n.Invalid.Add(1)
			if now := n.now(); now >= logInvalidAt {
				n.log.Warn("message dropped", "from", from.String(), "bytes", size, "error", err)
				logInvalidAt = now + invalidLogInterval
			}
			continue
		}
		if newer {
			n.Newer.Add(1)
		}
		if n.updateMember(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
			(*n.handler.Load())(m)
		}
	}
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
	member.boot, member.addr, member.lastReceived, member.lossLogged = m.Boot, from, n.now(), false
	n.firstMessageAt.CompareAndSwap(0, int64(n.now()))
	if hb := m.Heartbeat; hb != nil {
		changed = !newlyAlive && (member.Leaving != hb.Leaving || member.Ready != hb.Ready)
		member.DataCentre, member.CallerAddress = hb.DataCentre, hb.CallerAddress
		member.Leaving, member.Ready, member.Capacity = hb.Leaving, hb.Ready, hb.Capacity
		member.OperatorsPosition, member.ListPosition = hb.OperatorsPosition, hb.ListPosition
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
		if f := n.onAlive.Load(); f != nil {
			(*f)(m.From)
		}
	}
	return true
}

// alive reports whether a message of m was received within aliveTimeout. n.mu must be held.
func (n *Node) alive(m *Member) bool { return n.now()-m.lastReceived <= aliveTimeout }

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

// Address returns the address at which the member receives messages and requests of other hosts.
func (m *Member) Address() netip.AddrPort { return m.addr }
