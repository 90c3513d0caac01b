package quota

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinecross.example/lib/allow"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/sardinegate/mesh"
)

// largeNode knows many hosts and ranks them as mesh.Node does.
type largeNode struct {
	hosts []mesh.Member // sorted; the first is this host
	// sent counts the levels that were handed over, ranked the orders that were computed.
	sent, ranked int
}

func (n *largeNode) Send(_ string, m *mesh.Message) bool {
	if m.AllowanceTransfer != nil {
		n.sent += len(m.AllowanceTransfer.Levels)
	}
	return true
}

func (n *largeNode) Phase() mesh.Phase { return mesh.Running }

func (n *largeNode) RankRunning(task string, leaving bool) []string {
	n.ranked++
	type candidate struct {
		host string
		hash uint64
	}
	var all []candidate
	for i, m := range n.hosts {
		if !m.Leaving && (i > 0 || !leaving) {
			all = append(all, candidate{m.Host, xxhash.Sum64String(task + "\x00" + m.Host)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	names := make([]string, len(all))
	for i, c := range all {
		names[i] = c.host
	}
	return names
}

func (n *largeNode) Reach() (known, alive int) { return len(n.hosts), len(n.hosts) }
func (n *largeNode) Unheard() int              { return 0 }
func (n *largeNode) Alive() []mesh.Member      { return slices.Clone(n.hosts[1:]) }

// largeSite is a Quota among many hosts and organisations, whose background task does not run.
type largeSite struct {
	*Quota
	node    *largeNode
	now     time.Duration
	leaving bool
}

func newLargeSite(tb testing.TB, hosts, organisations int) *largeSite {
	tb.Helper()
	s := &largeSite{node: &largeNode{}, now: time.Second}
	for i := range hosts {
		s.node.hosts = append(s.node.hosts, mesh.Member{Host: fmt.Sprintf("edge-%03d", i), Ready: true})
	}
	list := make([]orgs.Organisation, organisations)
	for i := range list {
		list[i] = orgs.Organisation{Name: fmt.Sprintf("organisation-%05d", i), Rate: 18, Burst: 18}
	}
	table, err := orgs.New(list)
	if err != nil {
		tb.Fatal(err)
	}
	s.Quota = New(Deps{
		Host: "edge-000", Node: s.node, Log: slog.New(slog.DiscardHandler), Organisations: func() *orgs.Table { return table },
		Leaving: func() bool { return s.leaving }, Now: func() time.Duration { return s.now },
	}, allow.Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	s.Close()
	s.settle()
	return s
}

// update updates the orders once, and returns how many were computed.
func (s *largeSite) update() int {
	before := s.node.ranked
	s.now += tickInterval
	s.Update()
	return s.node.ranked - before
}

// settle updates the orders until all are up to date, and returns the most that one update computed and their sum.
func (s *largeSite) settle() (most, sum int) {
	for n := s.update(); n > 0; n = s.update() {
		most, sum = max(most, n), sum+n
	}
	return most, sum
}

// Guards against owners that differ from those that other hosts compute, against an update that computes all of them in one go, and
// against computing those that a change does not concern.
func TestOwnersFollowTheHosts(t *testing.T) {
	const hosts, organisations = 40, 1500
	s := newLargeSite(t, hosts, organisations)
	all := s.node.hosts
	oneLeaves := slices.Clone(all)
	oneLeaves[7].Leaving = true
	for _, c := range []struct {
		what      string
		hosts     []mesh.Member
		sum, most int // orders that are computed, and those in one update
	}{
		{"a lost host", all[:hosts-1], organisations * maxOrder / hosts * 12 / 10, maxRanked},
		{"a host that returns", all, organisations, maxRanked},
		{"a host that leaves", oneLeaves, organisations * maxOrder / hosts * 12 / 10, maxRanked},
		{"half of the hosts lost", all[:hosts/2], organisations, maxRanked},
	} {
		s.node.hosts = c.hosts
		most, sum := s.settle()
		if sum == 0 || sum > c.sum || most > c.most {
			t.Errorf("%s: %d orders were computed, %d in one update, want at most %d and %d", c.what, sum, most, c.sum, c.most)
		}
		for _, o := range s.table.All() {
			if want := s.node.RankRunning("allowance "+o.Name, false)[:maxOrder]; !slices.Equal(s.orders[o.Name].hosts, want) {
				t.Fatalf("%s: %s has the order %v, want %v", c.what, o.Name, s.orders[o.Name].hosts, want)
			}
		}
	}
}

// Guards against requests that go to the owner before a change while the orders of other organisations are computed, and against
// decisions by such an owner.
func TestOrderIsComputedForARequest(t *testing.T) {
	s := newLargeSite(t, 40, 1500)
	all := s.node.hosts
	s.node.hosts = all[:1]
	s.settle() // this host owns all
	s.node.hosts = all
	s.update()
	o := s.stale[len(s.stale)-1]
	if granted, _ := s.Take(t.Context(), o, false); granted && s.node.RankRunning("allowance "+o.Name, false)[0] != "edge-000" {
		t.Error("a host that is no longer the owner granted a unit")
	}
	if s.orders[o.Name].stale {
		t.Error("the order was not computed for a request of this host")
	}
	for _, o := range s.stale {
		if s.orders[o.Name].stale {
			s.Handle(&mesh.Message{From: "edge-001", Boot: 1, AllowanceRequest: &mesh.AllowanceRequest{Seq: 1, Organisation: o.Name, Hosts: 40}})
			if s.orders[o.Name].stale {
				t.Error("the order was not computed for a request of another host")
			}
			break
		}
	}
}

// Guards against buckets that a stopping host does not hand over because the orders of other organisations are computed first.
func TestLeavingHostHandsOverAll(t *testing.T) {
	s := newLargeSite(t, 3, 3*maxRanked)
	owned := 0
	for _, o := range s.table.All() {
		if s.orders[o.Name].hosts[0] == "edge-000" {
			owned++
		}
	}
	s.node.hosts[1].Capacity = 1 // all orders are queued
	s.leaving = true
	s.update()
	if s.node.sent != owned || owned < 100 {
		t.Errorf("%d buckets of %d were handed over at once", s.node.sent, owned)
	}
}

// Guards against a level that was handed over long ago, to a host that was not the owner, and counts when it becomes the owner.
func TestOldHandoverIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := start(t, 10, 40)
		defer n.close()
		c := n.hosts["c"]
		c.Handle(&mesh.Message{From: "x", Boot: 1, AllowanceTransfer: &mesh.AllowanceTransfer{
			Seq: 1, Hosts: 3, Levels: []mesh.AllowanceLevel{{Organisation: o.Name, Level: 40}},
		}})
		time.Sleep(2 * transferWait)
		n.mu.Lock()
		n.gone["a"], n.gone["b"], n.cut["a"] = true, true, true
		n.mu.Unlock()
		c.Update()
		if got := take(t, c, o, 60); got > 5 {
			t.Errorf("the new owner granted %d units, want at most 5", got)
		}
	})
}

// Measures the longest kind of update: after a host was lost or returned, while orders are yet to be computed.
func BenchmarkHostsChange(b *testing.B) {
	s := newLargeSite(b, 184, 10_000)
	all := s.node.hosts
	for i := 0; b.Loop(); i++ {
		s.node.hosts = all[:len(all)-i%2]
		s.update()
	}
}
