package watch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinecross.example/lib/common/httpc"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// linkBytesPerSecond is the rate of a host's link, 10 Mbit/s, and storeBytesPerSecond that of all reads of the store.
	linkBytesPerSecond, storeBytesPerSecond = 1.25e6, 8e6
	// linkChunk is how much of a transfer passes until the rate is shared anew, in bytes.
	linkChunk = 16 << 10
	// longestMessage is the size of the largest message that the network carries, in bytes.
	longestMessage = 32 << 10
	// statusInterval is the time between two heartbeats, which tell the positions of a host.
	statusInterval = 400 * time.Millisecond
)

// link is a connection to the network whose rate its transfers share.
type link struct {
	bytesPerSecond float64

	mu        sync.Mutex
	transfers int
}

// send takes the time that n bytes need.
func (l *link) send(ctx context.Context, n int) error {
	l.add(1)
	defer l.add(-1)
	for sent := 0; sent < n; sent += linkChunk {
		seconds := float64(linkChunk*l.add(0)) / l.bytesPerSecond
		select {
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// add adds n to the number of transfers and returns the sum.
func (l *link) add(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers += n
	return l.transfers
}

// outageSource is a store that is reached over links. Reads that begin while it is down hang until their timeout.
type outageSource struct {
	*memorySource
	up      <-chan struct{}
	network *link
}

// callTimeout is the time limit of a call to the store.
const callTimeout = 2 * time.Second

func (s outageSource) Read(ctx context.Context, stream fleet.Stream, from fleet.Position) ([]fleet.Record, fleet.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-s.up:
	default:
		<-ctx.Done()
		return nil, fleet.Position{}, io.ErrUnexpectedEOF
	}
	records, next, err := s.memorySource.Read(ctx, stream, from)
	n := 0
	for _, r := range records {
		n += len(r.Value)
	}
	if sendErr := s.network.send(ctx, n); sendErr != nil {
		return nil, fleet.Position{}, sendErr
	}
	return records, next, err
}

// slowHost is a host with a link of its own.
type slowHost struct {
	*Watcher
	link link

	mu sync.Mutex
	// running is set from the start of the host on.
	running bool
	// operators and list are the progress in the host's last heartbeat.
	operators, list fleet.Progress
	// knowsRemovals is whether the host remembered removals at its last heartbeat.
	knowsRemovals bool
}

// slowSite connects hosts whose links are slow and whose network carries no long messages.
type slowSite struct {
	hosts []*slowHost
}

// siteNode is the node of one host of a slowSite.
type siteNode struct {
	site *slowSite
	self int
}

var _ Node = siteNode{}

func (n siteNode) Alive() []mesh.Member {
	var out []mesh.Member
	for i, h := range n.site.hosts {
		if i == n.self {
			continue
		}
		h.mu.Lock()
		if h.running {
			out = append(out, mesh.Member{Host: hostName(i), Operators: h.operators, List: h.list, Remembers: h.knowsRemovals})
		}
		h.mu.Unlock()
	}
	return out
}

func (n siteNode) RankHosts(string, bool) []string {
	var out []string
	for i := range n.site.hosts {
		out = append(out, hostName(i))
	}
	return out
}

func (n siteNode) Broadcast(m *mesh.Message) {
	m.From = hostName(n.self)
	if o := m.OperatorRecords; o != nil {
		size := 0
		for _, r := range o.Records {
			size += len(r.Value)
		}
		if size > longestMessage {
			return
		}
	}
	for i, h := range n.site.hosts {
		h.mu.Lock()
		running := h.running
		h.mu.Unlock()
		if i != n.self && running {
			time.AfterFunc(time.Millisecond, func() { h.Handle(m) })
		}
	}
}

func (n siteNode) Send(host string, m *mesh.Message) bool {
	m.From = hostName(n.self)
	for i, h := range n.site.hosts {
		if hostName(i) == host {
			time.AfterFunc(time.Millisecond, func() { h.Handle(m) })
			return true
		}
	}
	return false
}

func (siteNode) AddAddress(netip.Addr) {}
func (siteNode) AddressesKnown()       {}

func (n siteNode) SendHeartbeat() {
	h := n.site.hosts[n.self]
	h.tellPositions()
	operators, list := h.Progress()
	hb := mesh.Heartbeat{}.WithProgress(operators, list).WithMemory(h.Remembers())
	n.Broadcast(&mesh.Message{Heartbeat: &hb})
}

func hostName(i int) string { return fmt.Sprintf("h%03d", i) }

// startSlowSite starts n hosts that read s.
func startSlowSite(t *testing.T, s fleet.Source, n int) *slowSite {
	site := newSlowSite(s, n)
	for i := range n {
		site.start(t, i)
	}
	return site
}

// newSlowSite returns n hosts that read s, none of which runs yet.
func newSlowSite(s fleet.Source, n int) *slowSite {
	site := &slowSite{hosts: make([]*slowHost, n)}
	byName := make(map[string]*slowHost)
	for i := range n {
		h := &slowHost{link: link{bytesPerSecond: linkBytesPerSecond}}
		h.Watcher = New(Deps{
			Host: hostName(i), IP: netip.MustParseAddr("127.0.0.1"), Source: s, Node: siteNode{site, i},
			Log: slog.New(slog.DiscardHandler), OnViewChange: func(*fleet.View) {},
		})
		h.fetch = func(ctx context.Context, m mesh.Member) ([]byte, error) { return byName[m.Host].serveCopy(ctx) }
		site.hosts[i], byName[hostName(i)] = h, h
	}
	return site
}

// start starts a host until the test ends.
func (s *slowSite) start(t *testing.T, i int) {
	h := s.hosts[i]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	h.Start()
	wg.Go(func() { h.sendHeartbeats(time.Duration(i)*statusInterval/time.Duration(len(s.hosts)), stop) })
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
		h.Close()
	})
}

// tellPositions sends a heartbeat.
func (h *slowHost) tellPositions() {
	operators, list := h.Progress()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running, h.operators, h.list, h.knowsRemovals = true, operators, list, h.Remembers()
}

// sendHeartbeats sends heartbeats until the test ends.
func (h *slowHost) sendHeartbeats(first time.Duration, stop <-chan struct{}) {
	time.Sleep(first)
	for {
		h.tellPositions()
		select {
		case <-time.After(statusInterval):
		case <-stop:
			return
		}
	}
}

// serveCopy returns the host's snapshot over its link.
func (h *slowHost) serveCopy(ctx context.Context) ([]byte, error) {
	done, ok := h.beginServing()
	if !ok {
		return nil, &httpc.StatusError{Status: http.StatusServiceUnavailable}
	}
	defer done()
	data, err := h.encodeSnapshot(true)
	if err != nil {
		return nil, err
	}
	return data, h.link.send(ctx, len(data))
}

// inForce returns how many hosts have a data centre out of service.
func (s *slowSite) inForce(dataCentre string) int {
	n := 0
	for _, h := range s.hosts {
		if _, out := h.View().DataCentresOut[dataCentre]; out {
			n++
		}
	}
	return n
}

// Guards against operators' records that fit no message and come late, because all hosts copy them from the same host or
// read the store at once after an outage.
func TestLongRecordsReachAllHostsAfterAnOutage(t *testing.T) {
	const (
		hosts = 100
		// recordBytes become 267 KiB as JSON, about the size of 1,800 routes.
		recordBytes = 200 << 10
		// bound is the time in which a change is in force everywhere.
		bound = 2500 * time.Millisecond
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := make(chan struct{})
				s := outageSource{newMemorySource(), up, &link{bytesPerSecond: storeBytesPerSecond}}
				s.put(fleet.Operators, "config", 1)
				s.put(fleet.Upstreams, "u", upstream("u"))
				site := startSlowSite(t, s, hosts)
				time.Sleep(4 * time.Second)
				rnd := rand.New(rand.NewPCG(seed, 34))
				value := make([]byte, recordBytes)
				for i := range value {
					value[i] = byte(rnd.Uint32())
				}
				s.put(fleet.Operators, "dark", value)
				time.Sleep(time.Duration(rnd.Int64N(int64(callTimeout))))
				close(up)
				time.Sleep(bound)
				if n := site.inForce("dark"); n != hosts {
					t.Errorf("the record is in force on %d of %d hosts %v after the store came back", n, hosts, bound)
				}
			})
		})
	}
}

// refusingSource is a store that refuses calls while down is set. It counts the calls.
type refusingSource struct {
	*memorySource
	down  atomic.Bool
	calls atomic.Int64
}

func (s *refusingSource) Read(ctx context.Context, stream fleet.Stream, from fleet.Position) ([]fleet.Record, fleet.Position, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return nil, fleet.Position{}, io.ErrUnexpectedEOF
	}
	return s.memorySource.Read(ctx, stream, from)
}

// Guards against calls to a store that is down which grow with the hosts, and against hosts that learn of its return late because
// they call it seldom.
func TestCallsToAStoreThatIsDownAreBounded(t *testing.T) {
	const (
		hosts  = 100
		outage = 10 * time.Second
		// callsPerSecond bounds the calls of all hosts together: some tens a second.
		callsPerSecond = 100
		// inForceAfter is the time in which a change is in force everywhere after the outage.
		inForceAfter = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		s := &refusingSource{memorySource: newMemorySource()}
		s.put(fleet.Operators, "config", 1)
		s.put(fleet.Upstreams, "u", upstream("u"))
		site := startSlowSite(t, s, hosts)
		time.Sleep(4 * time.Second)
		s.down.Store(true)
		s.calls.Store(0)
		time.Sleep(outage)
		if n := s.calls.Load(); n > callsPerSecond*int64(outage/time.Second) {
			t.Errorf("%d calls in %v, want at most %d a second", n, outage, callsPerSecond)
		}
		s.put(fleet.Operators, "dark", true)
		s.down.Store(false)
		time.Sleep(inForceAfter)
		if n := site.inForce("dark"); n != hosts {
			t.Errorf("the change is in force at %d of %d hosts %v after the outage", n, hosts, inForceAfter)
		}
	})
}
