package watch

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// bus connects watchers without a network. It loses messages with probability loss and delays the others by up to
// maxDelay.
type bus struct {
	loss     float64
	maxDelay time.Duration

	mu       sync.Mutex
	rnd      *rand.Rand
	isolated string // the host that is cut off from all others, if any
	watchers map[string]*Watcher
	sent     []*mesh.Message // since the last call of takeSent
}

// takeSent returns the changes of the list of upstreams that were sent since the last call.
func (b *bus) takeSent() []*mesh.ListChanges {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*mesh.ListChanges
	for _, m := range b.sent {
		if m.ListChanges != nil {
			out = append(out, m.ListChanges)
		}
	}
	b.sent = nil
	return out
}

// hosts returns the watchers by host.
func (b *bus) hosts() map[string]*Watcher {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.watchers)
}

// float returns a random number in [0,1).
func (b *bus) float() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rnd.Float64()
}

// isolate cuts a host off from all others, none if host is empty.
func (b *bus) isolate(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isolated = host
}

// linked reports whether messages between two hosts arrive.
func (b *bus) linked(x, y string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isolated == "" || x != b.isolated && y != b.isolated
}

// busNode is the node of one host on a bus.
type busNode struct {
	*bus
	host string
}

var _ Node = busNode{}

// Alive returns all other hosts. It tells no positions, so that nothing is copied from them.
func (n busNode) Alive() []mesh.Member {
	var out []mesh.Member
	for _, host := range hostNames(len(n.hosts())) {
		if host != n.host && n.linked(n.host, host) {
			out = append(out, mesh.Member{Host: host})
		}
	}
	return out
}

func (n busNode) RankHosts(string, bool) []string { return hostNames(len(n.hosts())) }

func (n busNode) Broadcast(m *mesh.Message) {
	m.From = n.host
	n.mu.Lock()
	n.sent = append(n.sent, m)
	n.mu.Unlock()
	for host, w := range n.hosts() {
		if host == n.host || n.float() < n.loss || !n.linked(n.host, host) {
			continue
		}
		delay := time.Duration(n.float() * float64(n.maxDelay))
		time.AfterFunc(delay, func() { w.Handle(m) })
	}
}

// Send sends a message to one host, which is neither lost nor late.
func (n busNode) Send(host string, m *mesh.Message) bool {
	m.From = n.host
	w := n.hosts()[host]
	if w != nil && n.linked(n.host, host) {
		time.AfterFunc(0, func() { w.Handle(m) })
	}
	return w != nil
}

func (busNode) AddAddress(netip.Addr) {}
func (busNode) SendHeartbeat()        {}
func (busNode) AddressesKnown()       {}

func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("h%02d", i)
	}
	return names
}

// startHosts starts n watchers on the bus that read s.
func startHosts(t *testing.T, b *bus, s fleet.Source, n int) {
	b.watchers = make(map[string]*Watcher)
	for _, host := range hostNames(n) {
		b.restart(s, host)
	}
	t.Cleanup(func() {
		for _, w := range b.hosts() {
			w.Close()
		}
	})
}

// restart starts a watcher for a host, in place of the one that runs.
func (b *bus) restart(s fleet.Source, host string) {
	old := b.hosts()[host]
	w := New(Deps{
		Host: host, IP: netip.MustParseAddr("127.0.0.1"), Source: s, Node: busNode{b, host},
		Log: slog.New(slog.DiscardHandler), OnViewChange: func(*fleet.View) {},
	})
	b.mu.Lock()
	b.watchers[host] = w
	b.mu.Unlock()
	w.Start()
	if old != nil {
		old.Close()
	}
}

// slowSource delays each read of the store on the way there and on the way back.
type slowSource struct {
	*memorySource
	b *bus
}

func (s slowSource) Read(ctx context.Context, stream fleet.Stream, from fleet.Position) ([]fleet.Record, fleet.Position, error) {
	s.wait()
	defer s.wait()
	return s.memorySource.Read(ctx, stream, from)
}

func (s slowSource) Newest(ctx context.Context, stream fleet.Stream) ([]fleet.Record, fleet.Position, error) {
	s.wait()
	defer s.wait()
	return s.memorySource.Newest(ctx, stream)
}

func (s slowSource) wait() { time.Sleep(time.Duration(s.b.float() * float64(30*time.Millisecond))) }

// repeat writes the last record of an upstream again, or the nth last one.
func (s *memorySource) repeat(id string, nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.records[fleet.Upstreams]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Key != id {
			continue
		}
		if nth--; nth == 0 && len(all[i].Value) > 0 {
			s.records[fleet.Upstreams] = append(all, all[i])
			return
		}
	}
}

// appendRecordedStates extends states, which holds for each position of the stream of upstreams the last record of each
// upstream before it, by the records that were written since.
func appendRecordedStates(s *memorySource, states []map[string]fleet.Upstream) []map[string]fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records[fleet.Upstreams][len(states)-1:] {
		next := maps.Clone(states[len(states)-1])
		if u, err := s.DecodeUpstream(r); err == nil {
			next[r.Key] = u
		} else {
			delete(next, r.Key)
		}
		states = append(states, next)
	}
	return states
}

// assertListAsRecorded fails the test if a host's list differs in a field that matters for routing from what the store
// held at the host's position. Where the store holds an older report than one before it, the host may use the later one.
func assertListAsRecorded(t *testing.T, host string, w *Watcher, states []map[string]fleet.Upstream) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.view.Load().Listed {
		return
	}
	want := states[w.list.Position.Offset]
	for id, u := range want {
		if got, ok := w.list.Get(id); !ok || !got.EqualForRouting(u) && got.ReportNumber <= u.ReportNumber {
			t.Fatalf("host %s at position %d lists %+v (listed: %t), the store held %+v there", host, w.list.Position.Offset, got, ok, u)
		}
	}
	for _, u := range w.list.Entries() {
		if _, ok := want[u.ID]; !ok {
			t.Fatalf("host %s at position %d lists upstream %s, which the store had removed", host, w.list.Position.Offset, u.ID)
		}
	}
}

// Guards against hosts that move past changes of the list of upstreams which they never applied, and so send requests to
// upstreams that have left. Messages between hosts are lost, late and out of order; reads overlap.
func TestHostsListWhatTheStoreHeldAtTheirPosition(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					hosts     = 12
					upstreams = 30
					steps     = 200
					// maxAge is drain-s of the sites with the strictest bound.
					maxAge = 2 * time.Second
				)
				rnd := rand.New(rand.NewPCG(seed, 18))
				b := &bus{loss: 0.4, maxDelay: 80 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, 19))}
				s := newMemorySource()
				s.put(fleet.Operators, "config", 1)
				started := make([]int64, upstreams)
				start := time.Now()
				ends := map[time.Duration]int64{}
				states := []map[string]fleet.Upstream{{}}
				source := slowSource{s, b}
				startHosts(t, b, source, hosts)
				restarted := time.Now()
				for step := range int64(steps) {
					for i := range started {
						id := fmt.Sprintf("u%02d", i)
						switch p := rnd.Float64(); {
						case started[i] == 0 && p < 0.1:
							started[i] = step + 1
							s.put(fleet.Upstreams, id, fleet.Upstream{ID: id, Service: "s", Slots: 1, Started: started[i], ReportNumber: step})
						case started[i] == 0:
						case p < 0.02:
							s.put(fleet.Upstreams, id, fleet.Upstream{ID: id, Service: "s", Slots: 1, State: fleet.Leaving, Started: started[i], ReportNumber: step})
						case p < 0.03:
							s.put(fleet.Upstreams, id, nil)
							started[i] = 0
						case p < 0.1: // a renewal that changes nothing
							s.repeat(id, 1)
						case p < 0.11: // a write that takes effect late, after one with a later report
							s.repeat(id, 2)
						}
					}
					if step%20 == 10 {
						b.restart(source, hostNames(hosts)[rnd.IntN(hosts)])
						restarted = time.Now()
					}
					s.locked(func() { ends[time.Since(start)] = int64(len(s.records[fleet.Upstreams])) })
					time.Sleep(50 * time.Millisecond)
					states = appendRecordedStates(s, states)
					for host, w := range b.hosts() {
						assertListAsRecorded(t, host, w, states)
						if _, list := w.Progress(); time.Since(restarted) > maxAge/4 && time.Since(start) > maxAge && list.Position.Offset < ends[time.Since(start)-maxAge] {
							t.Fatalf("host %s is at position %d, which is more than %v old", host, list.Position.Offset, maxAge)
						}
					}
				}
			})
		})
	}
}

// startHookedHost starts one host that lists upstream a, at position 1, and reads a store whose reads can be hooked.
func startHookedHost(t *testing.T) (*bus, *hookedSource, *Watcher) {
	t.Helper()
	s := newMemorySource()
	s.put(fleet.Operators, "config", 1)
	s.put(fleet.Upstreams, "a", upstream("a"))
	b := &bus{rnd: rand.New(rand.NewPCG(1, 1))}
	source := &hookedSource{memorySource: s}
	startHosts(t, b, source, 1)
	w := b.hosts()["h00"]
	eventually(t, "the first view", func() bool { return version(w) == 1 && w.View().Listed })
	return b, source, w
}

// removalOfA is the message in which another host tells of the removal of upstream a at position 1.
var removalOfA = &mesh.Message{From: "h01", ListChanges: &mesh.ListChanges{Span: mesh.Span{From: 1, To: 2}, Changes: []fleet.Change{{ID: "a"}}}}

// Guards against a span that covers changes without telling them: a second host reads the same positions, applies the
// span of the first one before its own read ends, and must not send these positions without the changes.
func TestSpanSentTellsAllChangesOfItsPositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, source, w := startHookedHost(t)
		source.afterRead(func() { w.Handle(removalOfA) })
		source.put(fleet.Upstreams, "a", nil)
		source.put(fleet.Upstreams, "b", upstream("b"))
		eventually(t, "the change that only this host has read", func() bool { _, ok := w.View().Upstreams["b"]; return ok })
		synctest.Wait()
		for _, l := range b.takeSent() {
			if l.Span.From < 2 && l.Span.To >= 2 && (len(l.Changes) == 0 || l.Changes[0].ID != "a") {
				t.Fatalf("the span from %d to %d was sent with the changes %+v, without the removal of upstream a at position 1", l.Span.From, l.Span.To, l.Changes)
			}
		}
	})
}

// hookedSource calls a function once between the next read of the stream of upstreams that returns records and its return.
type hookedSource struct {
	*memorySource
	mu   sync.Mutex
	hook func()
}

func (s *hookedSource) afterRead(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = hook
}

func (s *hookedSource) Read(ctx context.Context, stream fleet.Stream, from fleet.Position) ([]fleet.Record, fleet.Position, error) {
	records, next, err := s.memorySource.Read(ctx, stream, from)
	if stream != fleet.Upstreams || len(records) == 0 {
		return records, next, err
	}
	s.mu.Lock()
	hook := s.hook
	s.hook = nil
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
	return records, next, err
}

// Guards against every host that reads the store at the same time sending the same records to all others, which takes
// their links for what they know already.
func TestWhatAnotherHostHasSentIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, source, w := startHookedHost(t)
		synctest.Wait()
		b.takeSent()
		source.afterRead(func() { w.Handle(removalOfA) })
		source.put(fleet.Upstreams, "a", nil)
		eventually(t, "the change", func() bool { return len(w.View().Upstreams) == 0 })
		time.Sleep(minReadAge / 2)
		for _, l := range b.takeSent() {
			t.Errorf("sent %+v, which another host had sent before", l)
		}
		time.Sleep(minReadAge)
		synctest.Wait()
		if len(b.takeSent()) == 0 {
			t.Error("nothing was sent although no other host has read for longer than minReadAge")
		}
	})
}

// Guards against hosts that have started together and each send the first configuration to all others, which have no use for it:
// the bytes grow with the square of the hosts.
func TestFirstConfigurationIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemorySource()
		b := &bus{rnd: rand.New(rand.NewPCG(1, 1))}
		startHosts(t, b, s, 8)
		synctest.Wait() // the hosts have read that there is no configuration
		for v := range int64(2) {
			s.put(fleet.Operators, "config", v+1)
			eventually(t, "the configuration at all hosts", func() bool {
				return !slices.ContainsFunc(slices.Collect(maps.Values(b.hosts())), func(w *Watcher) bool { return version(w) != v+1 })
			})
			b.mu.Lock()
			sent := slices.ContainsFunc(b.sent, func(m *mesh.Message) bool { return m.OperatorRecords != nil && len(m.OperatorRecords.Records) > 0 })
			b.mu.Unlock()
			if sent != (v > 0) {
				t.Errorf("configuration %d: sent is %v", v+1, sent)
			}
		}
	})
}
