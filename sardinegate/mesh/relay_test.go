package mesh

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
)

// The tests in this file run many nodes in virtual time: one goroutine delivers the datagrams and calls the heartbeats.

// simDelay is the longest time that a datagram takes.
const simDelay = 3 * time.Millisecond

// simEvent is a delivery or a heartbeat at a virtual time. seq orders events of the same time.
type simEvent struct {
	at  time.Duration
	seq uint64
	do  func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simFleet is a number of nodes in several data centres.
type simFleet struct {
	t      *testing.T
	rng    *rand.Rand
	seed   uint64
	now    time.Duration
	seq    uint64
	events simEvents
	// links holds the random numbers of each link by its two addresses. Nodes send to several hosts in map order, which must not
	// decide which datagrams are lost.
	links  map[[2]netip.Addr]*rand.Rand
	nodes  map[netip.Addr]*simNode
	others map[netip.Addr]func(data []byte) // receivers that are no nodes
	// loss is the share of datagrams that are lost. cut reports whether a link is cut; nil if none is.
	loss float64
	cut  func(from, to netip.Addr) bool
}

// simNode is a node with what it has sent and received; it implements packetConn.
type simNode struct {
	*Node
	fleet   *simFleet
	ip      netip.Addr
	stopped bool
	leaving bool
	changes int // messages with ListChanges received
	reports int // messages received that tell of hosts that are not heard
	// cold is what the node tells in its heartbeats, coldUntil what tables tell it, by upstream.
	cold      []ColdUpstream
	coldUntil map[string]time.Duration
	// acrossBytes and acrossSent count what was sent to other data centres.
	acrossBytes, acrossSent int
}

func (n *simNode) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) { panic("not used") }
func (n *simNode) Close() error                                            { return nil }

func (n *simNode) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	f := n.fleet
	if dataCentreOf(n.ip) != dataCentreOf(to.Addr()) {
		n.acrossBytes += len(b)
		n.acrossSent++
	}
	link := f.link(n.ip, to.Addr())
	lost, delay, seq := link.Float64() < f.loss, 1+time.Duration(link.Int64N(int64(simDelay))), link.Uint64()
	if n.stopped || f.cut != nil && f.cut(n.ip, to.Addr()) || lost {
		return len(b), nil
	}
	data := slices.Clone(b)
	f.push(delay, seq, func() {
		if receiver := f.nodes[to.Addr()]; receiver != nil {
			receiver.receiveDatagram(data, netip.AddrPortFrom(n.ip, simPort))
		} else if receive := f.others[to.Addr()]; receive != nil {
			receive(data)
		}
	})
	return len(b), nil
}

// dataCentreOf returns the data centre of an address: its second byte.
func dataCentreOf(ip netip.Addr) byte { return ip.As4()[1] }

const simPort = 7540

// link returns the random numbers of the link between two addresses.
func (f *simFleet) link(from, to netip.Addr) *rand.Rand {
	key := [2]netip.Addr{from, to}
	if f.links[key] == nil {
		a, b := from.As4(), to.As4()
		f.links[key] = rand.New(rand.NewPCG(f.seed, uint64(binary.BigEndian.Uint32(a[:]))<<32|uint64(binary.BigEndian.Uint32(b[:]))))
	}
	return f.links[key]
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.seq++
	f.push(d, f.seq, do)
}

func (f *simFleet) push(d time.Duration, seq uint64, do func()) {
	heap.Push(&f.events, simEvent{f.now + d, seq, do})
}

// run runs the simulation for a time.
func (f *simFleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// newEmptyFleet returns a fleet without hosts.
func newEmptyFleet(t *testing.T, seed uint64) *simFleet {
	return &simFleet{t: t, rng: rand.New(rand.NewPCG(seed, 0)), seed: seed, now: time.Second, links: make(map[[2]netip.Addr]*rand.Rand),
		nodes: make(map[netip.Addr]*simNode), others: make(map[netip.Addr]func([]byte))}
}

// newFleet starts hostsEach hosts in each data centre within 0.3 s and runs them for two seconds.
func newFleet(t *testing.T, dataCentres, hostsEach int, seed uint64) *simFleet {
	f := newEmptyFleet(t, seed)
	for i := range hostsEach {
		for dc := range dataCentres {
			f.after(time.Duration(f.rng.Int64N(int64(300*time.Millisecond))), func() { f.start(dc, i, 1) })
		}
	}
	f.run(2 * time.Second)
	f.assertAlive("after the start", dataCentres*hostsEach-1)
	return f
}

func address(dc, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(dc + 1), byte(i / 200), byte(i%200 + 1)})
}

// start starts a host, which knows the addresses of all that run.
func (f *simFleet) start(dc, i int, boot int64) {
	others := slices.Collect(maps.Keys(f.nodes))
	n := f.create(dc, i, boot)
	for _, other := range others {
		n.AddAddress(other)
	}
	f.beat(n)
}

// create creates a host that is ready, knows no addresses and sends no heartbeats yet.
func (f *simFleet) create(dc, i int, boot int64) *simNode {
	ip := address(dc, i)
	n := &simNode{fleet: f, ip: ip, coldUntil: make(map[string]time.Duration)}
	self := Self{
		Host: fmt.Sprintf("dc%d-%d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc), CallerAddress: ip.String() + ":8080",
		Listen: netip.AddrPortFrom(ip, simPort), Boot: boot, Capacity: 100 + 400*(i%2),
	}
	n.Node = newNode(self, n, func() time.Duration { return f.now }, slog.New(slog.DiscardHandler))
	status := func() Heartbeat { return Heartbeat{Ready: true, Leaving: n.leaving, ColdUpstreams: n.cold} }
	var handler Handler = func(m *Message) {
		if m.ListChanges != nil {
			n.changes++
		}
		if len(m.Unheard) > 0 || m.Table != nil && len(m.Table.Unheard)+len(m.Table.Deaf) > 0 {
			n.reports++
		}
		if m.Table == nil {
			return
		}
		for _, u := range m.Table.ColdUpstreams {
			n.coldUntil[u.Upstream] = max(n.coldUntil[u.Upstream], f.now+u.Left)
		}
	}
	n.status.Store(&status)
	n.handler.Store(&handler)
	f.nodes[ip] = n
	return n
}

// beat sends the heartbeats of a node as Start does.
func (f *simFleet) beat(n *simNode) {
	if n.stopped {
		return
	}
	n.SendHeartbeat()
	f.after(heartbeatInterval, func() { f.beat(n) })
}

// stop ends a host without a message.
func (f *simFleet) stop(dc, i int) {
	f.nodes[address(dc, i)].stopped = true
	delete(f.nodes, address(dc, i))
}

// aliveCount returns the number of other hosts that are alive.
func (n *simNode) aliveCount() int {
	alive := 0
	for _, m := range n.members {
		if n.alive(m) {
			alive++
		}
	}
	return alive
}

// assertAlive checks that each node has the given number of other hosts alive.
func (f *simFleet) assertAlive(what string, want int) {
	f.t.Helper()
	for _, n := range f.nodes {
		if got := n.aliveCount(); got != want {
			f.t.Fatalf("%s: host %s has %d other hosts alive, want %d", what, n.self.Host, got, want)
		}
	}
}

// runWithoutLoss runs for a time and fails the test if any node has fewer other hosts alive than it should have meanwhile.
func (f *simFleet) runWithoutLoss(d time.Duration, want int) {
	f.t.Helper()
	for end := f.now + d; f.now < end; f.run(50 * time.Millisecond) {
		for _, n := range f.nodes {
			if got := n.aliveCount(); got < want {
				f.t.Fatalf("at %v host %s has lost %d of %d hosts without a fault", f.now, n.self.Host, want-got, want)
			}
		}
	}
}

// speakersIn returns the speakers of a data centre by the number in their addresses.
func (f *simFleet) speakersIn(dc int) []int {
	var numbers []int
	for _, n := range f.nodes {
		if int(dataCentreOf(n.ip)) != dc+1 {
			continue
		}
		for _, host := range n.speakersOf(n.self.DataCentre) {
			var i int
			_, _ = fmt.Sscanf(host, n.self.DataCentre+"-%d", &i)
			numbers = append(numbers, i)
		}
		return numbers
	}
	return nil
}

// Guards against messages between data centres that grow with the square of the hosts, and against a host whose messages grow
// with the hosts of other data centres.
func TestMessagesGrowWithTheOwnDataCentre(t *testing.T) {
	for _, c := range []struct{ dataCentres, each int }{{3, 20}, {3, 35}, {5, 30}} {
		t.Run(fmt.Sprintf("%d hosts", c.dataCentres*c.each), func(t *testing.T) {
			f := newFleet(t, c.dataCentres, c.each, 1)
			for _, n := range f.nodes {
				n.Sent.Store(0)
				n.Received.Store(0)
				n.acrossBytes, n.acrossSent = 0, 0
			}
			const seconds = 4
			f.runWithoutLoss(seconds*time.Second, c.dataCentres*c.each-1)
			bytes, across, quiet := 0, 0, 0.0
			var received float64
			for _, n := range f.nodes {
				bytes += n.acrossBytes
				across += n.acrossSent
				received = max(received, float64(n.Received.Load())/seconds)
				if n.acrossSent == 0 {
					quiet = max(quiet, float64(n.Sent.Load())/seconds)
				}
			}
			t.Logf("a host that does not speak sends %.0f messages a second, the busiest receives %.0f; %.1f kB and %d messages a second between data centres",
				quiet, received, float64(bytes)/1000/seconds, across/seconds)
			perSecond := 1 / heartbeatInterval.Seconds()
			if most := 1.05 * float64(c.each-1) * perSecond; quiet > most {
				t.Errorf("a host that does not speak sends %.0f messages a second, want at most %.0f", quiet, most)
			}
			// Each speaker of each data centre sends a table to one of each other.
			if most := 1.1 * float64(speakers*c.dataCentres*(c.dataCentres-1)) * perSecond; float64(across)/seconds > most {
				t.Errorf("%d messages a second between data centres, want at most %.0f", across/seconds, most)
			}
		})
	}
}

// Guards against hosts of other data centres that are lost, kept or not found because only speakers tell of them: while a host
// leaves, stops and returns, and while all speakers of a data centre stop at once.
func TestHostsOfOtherDataCentresAreKnown(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			const all = 75
			f := newFleet(t, 3, all/3, seed)
			leaver := f.nodes[address(0, 3)]
			leaver.leaving = true
			leaver.SendHeartbeat()
			f.run(time.Second)
			for _, n := range f.nodes {
				if n != leaver && len(n.RankHosts("s", false)) != all-1 {
					t.Errorf("host %s ranks the leaving host a second after it told so", n.self.Host)
				}
			}
			f.stop(0, 3)
			f.run(2500 * time.Millisecond)
			f.assertAlive("after a host stopped", all-2)
			for _, i := range f.speakersIn(1) {
				f.stop(1, i)
			}
			f.runWithoutLoss(2500*time.Millisecond, all-4)
			f.assertAlive("after both speakers stopped", all-4)
			f.start(0, 3, 2)
			f.run(time.Second)
			f.assertAlive("after a host returned", all-3)
			f.runWithoutLoss(5*time.Second, all-3)
		})
	}
}

// Guards against cold upstreams that hosts of other data centres do not know, since only the host that probes one tells of it, and
// against a time that grows on the way.
func TestColdUpstreamsAreToldToOtherDataCentres(t *testing.T) {
	f := newFleet(t, 3, 25, 1)
	var prober *simNode
	for i := 0; prober == nil || slices.Contains(f.speakersIn(0), i-1); i++ {
		prober = f.nodes[address(0, i)]
	}
	prober.cold = []ColdUpstream{{Upstream: "u", Left: 3 * time.Second}}
	f.run(heartbeatInterval)
	prober.cold = nil
	until := f.now + 3*time.Second
	f.run(3 * heartbeatInterval)
	for _, n := range f.nodes {
		if dataCentreOf(n.ip) == 1 {
			continue // the heartbeats tell it
		}
		if got := n.coldUntil["u"]; got < until-heartbeatInterval || got > until+10*simDelay {
			t.Errorf("host %s takes the upstream for cold until %v, want about %v", n.self.Host, got, until)
		}
	}
}

// Guards against messages to all hosts that do not reach those of other data centres, or cross to them once for each receiver, also
// while no table of a data centre arrives for a second: with seeds 9, 80, 86 and 115, as many tables in a row are lost.
func TestBroadcastReachesAllHosts(t *testing.T) {
	const all = 75
	for _, c := range []struct {
		seed uint64
		loss float64
	}{{1, 0}, {1, 0.2}, {9, 0.2}, {80, 0.2}, {86, 0.2}, {115, 0.2}} {
		f := newFleet(t, 3, all/3, c.seed)
		origin := f.nodes[address(0, 0)]
		f.loss = c.loss
		origin.acrossSent = 0
		const broadcasts = 100
		for range broadcasts {
			origin.Broadcast(&Message{ListChanges: &ListChanges{Span: Span{From: 1, To: 2}}})
			f.run(10 * time.Millisecond)
		}
		f.run(time.Second)
		// Two speakers of each of two data centres for each broadcast, and tables if the origin is a speaker itself.
		if most := broadcasts*2*speakers + 20; origin.acrossSent > most {
			t.Errorf("seed %d, loss %.1f: %d messages to other data centres, want at most %d", c.seed, c.loss, origin.acrossSent, most)
		}
		for _, n := range f.nodes {
			// A remote host misses a message if each of two ways of two hops loses it.
			if least := broadcasts * (1 - 2*c.loss); n != origin && float64(n.changes) < least {
				t.Errorf("seed %d, loss %.1f: host %s received %d of %d broadcasts, want at least %.0f", c.seed, c.loss, n.self.Host, n.changes, broadcasts, least)
			}
		}
	}
}

// Guards against messages that go to the failed speakers of a data centre until these count as gone, once their tables are missed.
func TestFailedSpeakersArePassedOver(t *testing.T) {
	f := newFleet(t, 3, 25, 1)
	failed := f.speakersIn(1)
	for _, i := range failed {
		f.stop(1, i)
	}
	// No table of the next speakers arrives either.
	f.cut = func(from, to netip.Addr) bool { return dataCentreOf(from) == 2 && dataCentreOf(to) == 1 }
	f.run(speakTimeout + simDelay)
	to := f.nodes[address(0, 0)].remoteSpeakers()["dc1"]
	for _, i := range failed {
		if len(to) != searchWidth || slices.Contains(to, netip.AddrPortFrom(address(1, i), simPort)) {
			t.Errorf("messages go to %v, want %d hosts without those that failed, %v", to, searchWidth, failed)
		}
	}
}

// Guards against broadcasts that go to all hosts that have spoken for a data centre lately, as lost heartbeats make more hosts speak.
func TestBroadcastGoesToTwoSpeakers(t *testing.T) {
	f := newFleet(t, 3, 25, 1)
	origin := f.nodes[address(0, 0)]
	for i := range 4 {
		origin.heardTable(fmt.Sprintf("dc1-%d", i))
	}
	origin.acrossSent = 0
	origin.Broadcast(&Message{ListChanges: &ListChanges{}})
	if most := 2 * speakers; origin.acrossSent != most {
		t.Errorf("%d messages to two other data centres, want %d", origin.acrossSent, most)
	}
}

// Guards against a simulation of which the result depends on the order in which a node sends to several hosts, so that a failure
// cannot be run again.
func TestSimulationIsDeterministic(t *testing.T) {
	run := func() (received []int64) {
		f := newFleet(t, 3, 16, 1)
		f.loss = 0.2
		f.run(3 * time.Second)
		for i := range 48 {
			received = append(received, f.nodes[address(i%3, i/3)].Received.Load())
		}
		return received
	}
	if first, second := run(), run(); !slices.Equal(first, second) {
		t.Errorf("two runs with one seed differ: hosts received %v and %v messages", first, second)
	}
}

// Guards against hosts of other data centres that are lost while a fifth of all datagrams is lost: more than one in a thousand a
// minute.
func TestFewRemoteHostsAreLostUnderLoss(t *testing.T) {
	const all, minutes = 75, 1
	f := newFleet(t, 3, all/3, 1)
	f.loss = 0.2
	lost := 0
	before := make(map[*simNode]map[string]bool)
	for end := f.now + minutes*time.Minute; f.now < end; f.run(100 * time.Millisecond) {
		for _, n := range f.nodes {
			remote := make(map[string]bool)
			for _, m := range n.Alive() {
				remote[m.Host] = m.DataCentre != n.self.DataCentre
			}
			for host, wasRemote := range before[n] {
				if _, alive := remote[host]; wasRemote && !alive {
					lost++
				}
			}
			before[n] = remote
		}
	}
	pairs := all * all * 2 / 3
	if most := pairs * minutes / 1000; lost > most {
		t.Errorf("hosts of other data centres were lost %d times by %d pairs of hosts in %d min, want at most %d", lost, pairs, minutes, most)
	}
}

// Guards against data centres that are not known to be gone while they are cut off, or do not find each other after a cut, since
// few hosts send heartbeats to hosts that they have lost.
func TestDataCentresFindEachOtherAfterACut(t *testing.T) {
	const all = 90
	for name, cut := range map[string]func(from, to netip.Addr) bool{
		"one cut off":          func(from, to netip.Addr) bool { return (dataCentreOf(from) == 3) != (dataCentreOf(to) == 3) },
		"two reached by third": func(from, to netip.Addr) bool { return dataCentreOf(from)+dataCentreOf(to) == 5 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, all/3, 1)
			f.cut = cut
			f.run(3 * time.Second)
			for _, n := range f.nodes {
				want := all - 1
				for dc := byte(1); dc <= 3; dc++ {
					if cut(netip.AddrFrom4([4]byte{10, dc}), n.ip) {
						want -= all / 3
					}
				}
				if got := n.aliveCount(); got != want {
					t.Fatalf("host %s has %d other hosts alive, want %d", n.self.Host, got, want)
				}
			}
			f.run(10 * time.Second)
			f.cut = nil
			f.run(2 * time.Second)
			f.assertAlive("after the cut", all-1)
			f.runWithoutLoss(5*time.Second, all-1)
		})
	}
}

// Guards against hosts that lose each other while most of them vanish at once, so that the others send each other heartbeats
// again, or while all come back.
func TestMostHostsVanishAndReturn(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			const all = 90
			f := newFleet(t, 3, all/3, seed)
			for dc := range 3 {
				for i := range 20 {
					f.stop(dc, i)
				}
			}
			f.runWithoutLoss(4*time.Second, all/3-1)
			f.assertAlive("after most hosts have vanished", all/3-1)
			for dc := range 3 {
				for i := range 20 {
					f.start(dc, i, 2)
				}
			}
			f.run(2 * time.Second)
			f.assertAlive("after all have returned", all-1)
			f.runWithoutLoss(5*time.Second, all-1)
		})
	}
}

// Guards against hosts of an earlier version, which know no tables, that lose hosts of this version or are lost by them: they must
// go on getting heartbeats, and no tables or messages that are passed on.
func TestHostsOfAnEarlierVersionGetHeartbeats(t *testing.T) {
	const all = 75
	f := newFleet(t, 3, all/3, 1)
	heard := f.startEarlierVersion(address(1, 150))
	f.run(4 * time.Second)
	f.assertAlive("with a host of an earlier version", all)
	for end := f.now + 4*time.Second; f.now < end; f.run(50 * time.Millisecond) {
		if len(heard) != all {
			t.Fatalf("the host of the earlier version hears %d hosts, want %d", len(heard), all)
		}
		for host, at := range heard {
			if silence := f.now - at; silence > aliveTimeout {
				t.Fatalf("the host of the earlier version has not heard %s for %v", host, silence)
			}
		}
	}
}

// startEarlierVersion adds a host that sends heartbeats to all hosts, as programs of an earlier version do, and drops messages
// with fields that those do not know. It returns when the host last heard each other one, by name.
func (f *simFleet) startEarlierVersion(ip netip.Addr) map[string]time.Duration {
	heard := make(map[string]time.Duration)
	f.others[ip] = func(data []byte) {
		var m Message
		if err := decoder.Unmarshal(data, &m); err == nil && m.Heartbeat != nil && m.Hello == nil && m.Table == nil && m.Forward == nil {
			heard[m.From] = f.now
		}
	}
	heartbeat := encode(f.t, &Message{From: "old", Boot: 1, Heartbeat: &Heartbeat{DataCentre: "dc1", CallerAddress: "a:1", Ready: true}})
	var beat func()
	beat = func() {
		for _, n := range f.nodes {
			n.receiveDatagram(heartbeat, netip.AddrPortFrom(ip, simPort))
		}
		f.after(heartbeatInterval, beat)
	}
	beat()
	return heard
}

// Guards against tables and messages passed on that are malformed, contain what may not be passed on, or speak of the own host.
func TestForwardedMessagesAreChecked(t *testing.T) {
	p := freePort(t)
	n := startNode(t, "a", "127.0.0.1", p, 1, readyStatus, func(m *Message) { t.Errorf("handled %+v", m) })
	defer n.Close()
	for name, data := range map[string][]byte{
		"garbage":         []byte("x"),
		"empty":           nil,
		"heartbeat":       encode(t, &Message{From: "b", Heartbeat: &Heartbeat{}}),
		"forward":         encode(t, &Message{From: "b", Forward: &Forward{}}),
		"invalid table":   encode(t, &Message{From: "b", Table: &Table{}}),
		"invalid entry":   encode(t, &Message{From: "b", Table: &Table{DataCentre: "d", Entries: []TableEntry{{}}}}),
		"negative cold":   encode(t, &Message{From: "b", Table: &Table{DataCentre: "d", ColdUpstreams: []ColdUpstream{{Left: -1}}}}),
		"a notice's list": encode(t, &Message{From: "b", Notices: []UpstreamNotice{{Notice: fleet.Notice{RetryAfter: -1}}}}),
	} {
		if n.handleForward(&Forward{Data: data}) {
			t.Errorf("%s: passed on", name)
		}
	}
	n.applyTable(&Table{DataCentre: "d", Entries: []TableEntry{{Host: "a", Boot: 5, Address: [4]byte{127, 0, 0, 9}}}, Gone: []uint32{hashName("a")}})
	if len(n.Alive()) != 0 {
		t.Error("the own host became a member")
	}
}
