// Package mesh exchanges datagrams between the hosts of a site and tracks which of them are alive.
package mesh

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
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

// Handler handles the messages of other hosts. It must not block.
type Handler func(m *Message)

// packetConn is the socket of a node; see net.UDPConn.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, addr netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error)
	Close() error
}

// Node sends and receives the messages of this host and holds the other hosts. It is safe for concurrent use.
type Node struct {
	self Self
	conn packetConn
	// clock returns the time since the node was created.
	clock func() time.Duration
	log   *slog.Logger
	done  sync.WaitGroup
	stop  chan struct{}
	// logInvalidAt is when the next invalid message is logged; only receiveDatagram uses it.
	logInvalidAt time.Duration

	handler atomic.Pointer[Handler]
	status  atomic.Pointer[func() Heartbeat]
	onAlive atomic.Pointer[func(host string)]

	// startedAt is when the node was created. firstMessageAt is when the first message of another host was received, addressesAt
	// when the addresses of all hosts were known; 0 before that.
	startedAt                   time.Duration
	firstMessageAt, addressesAt atomic.Int64

	// Sent and Received count datagrams. Invalid counts messages that could not be encoded or decoded, have invalid values, or
	// name no other host as the sender. Newer counts those with fields that this program does not know.
	Sent, Received, Invalid, Newer atomic.Int64
	// Asked counts questions about silent hosts, HeardByOthers how often another host had heard one.
	Asked, HeardByOthers atomic.Int64

	// heartbeatMu is held from reading the status until the heartbeat is sent, so that a later heartbeat never carries an
	// earlier status.
	heartbeatMu sync.Mutex

	mu sync.Mutex
	// members holds the other hosts by name.
	members map[string]*Member
	// leaving is the last status of this host that was sent. relaying and sendsTables tell whether there are enough live hosts
	// for speakers; see relayFrom.
	leaving, relaying, sendsTables bool
	// searchTurn is the number of addresses that inTurn has returned.
	searchTurn int
	// table is the state of the tables that this host sends as a speaker.
	table     tableState
	suspicion suspicion
	// unheardLogAt is when the next host that does not hear this host is logged.
	unheardLogAt time.Duration
	// unconfirmed holds addresses from which no message was received yet, with the time when each was added.
	unconfirmed map[netip.AddrPort]time.Duration
}

// Listen opens the socket. Messages are received from Start on.
func Listen(self Self, log *slog.Logger) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Listen))
	if err != nil {
		return nil, err
	}
	start := time.Now()
	return newNode(self, conn, func() time.Duration { return time.Since(start) }, log), nil
}

// newNode returns a node that sends with conn.
func newNode(self Self, conn packetConn, clock func() time.Duration, log *slog.Logger) *Node {
	return &Node{
		self:        self,
		conn:        conn,
		clock:       clock,
		startedAt:   clock(),
		log:         log,
		stop:        make(chan struct{}),
		members:     make(map[string]*Member),
		unconfirmed: make(map[netip.AddrPort]time.Duration),
	}
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

// now returns the time on the clock of the node.
func (n *Node) now() time.Duration { return n.clock() }

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

// SendHeartbeat sends a heartbeat to the known addresses now, and a table if this host speaks for its data centre. It also logs
// hosts that are no longer alive and forgets those that have been silent for longer than forgetAfter.
func (n *Node) SendHeartbeat() {
	n.heartbeatMu.Lock()
	defer n.heartbeatMu.Unlock()
	hb := n.heartbeat()
	n.mu.Lock()
	n.leaving = hb.Leaving
	n.countAlive()
	heartbeatTo, silent, helloTo := n.recipients()
	n.mu.Unlock()
	n.send(&Message{Heartbeat: &hb}, heartbeatTo...)
	n.sendReports(&hb, silent)
	n.send(&Message{Hello: &Hello{}}, helloTo...)
	n.sendTable(&hb)
	n.askSuspects()
}

// send encodes a message and sends it to the addresses. It drops a message that is too long for a datagram.
func (n *Node) send(m *Message, to ...netip.AddrPort) {
	if len(to) > 0 {
		n.write(n.encode(m), to...)
	}
}

// encode encodes a message of this host. It returns nil if the message is too long for a datagram.
func (n *Node) encode(m *Message) []byte {
	m.From, m.Boot = n.self.Host, n.self.Boot
	data, err := encoder.Marshal(m)
	if err != nil {
		n.Invalid.Add(1)
		n.log.Error("message not encoded", "error", err)
		return nil
	}
	if len(data) > maxDatagram {
		n.log.Info("message too long for a datagram", "bytes", len(data))
		return nil
	}
	return data
}

// write sends an encoded message to the addresses, unless it is nil.
func (n *Node) write(data []byte, to ...netip.AddrPort) {
	if data == nil {
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

// receive reads datagrams and passes valid messages to the handler until the socket is closed.
func (n *Node) receive() {
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram could not be delivered, for example because its port was closed
		}
		n.receiveDatagram(buf[:size], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// receiveDatagram handles a datagram. Calls must not overlap.
func (n *Node) receiveDatagram(data []byte, from netip.AddrPort) {
	n.Received.Add(1)
	m, newer, err := Decode(data)
	if err == nil && m.From == n.self.Host {
		err = &InvalidMessageError{"sender", "is this host"}
	}
	if err != nil {
		n.Invalid.Add(1)
		if now := n.now(); now >= n.logInvalidAt {
			n.log.Warn("message dropped", "from", from.String(), "bytes", len(data), "error", err)
			n.logInvalidAt = now + invalidLogInterval
		}
		return
	}
	if newer {
		n.Newer.Add(1)
	}
	if n.updateMember(m, from) {
		n.handle(m)
	}
	n.askSuspects() // heartbeats alone come too seldom to ask several times before aliveTimeout
}

// handle handles a message of a known host.
func (n *Node) handle(m *Message) {
	switch {
	case m.Hello != nil:
		n.handleHello(m.From, m.Hello)
	case m.Question != nil:
		n.answer(m.From, m.Question)
	case m.Answer != nil:
		n.applyAnswer(m.From, m.Answer)
	case m.Forward != nil:
		if !n.handleForward(m.Forward) {
			n.Invalid.Add(1)
		}
	default:
		(*n.handler.Load())(m)
	}
}

// reportAlive logs a host that was found alive by a table, and reports it to the function set by OnAlive.
func (n *Node) reportAlive(host string) {
	n.log.Info("host is alive", "host", host, "by", "table")
	n.callOnAlive(host)
}

func (n *Node) callOnAlive(host string) {
	if f := n.onAlive.Load(); f != nil {
		(*f)(host)
	}
}
