package quota

import (
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sardinecross.example/lib/allow"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/sardinegate/mesh"
)

// network passes messages between the hosts of a test. Those to hosts in cut are lost; with twice, each message comes twice.
type network struct {
	mu    sync.Mutex
	hosts map[string]*Quota
	names []string
	cut   map[string]bool
	gone  map[string]bool
	twice bool
	// joining is set while the hosts do not know of each other, and each ranks only itself.
	joining bool
	delay   time.Duration
	counts  int
}

type netNode struct {
	*network
	host string
}

func (n netNode) Send(host string, m *mesh.Message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts++
	copies := 1
	if n.twice {
		copies = 2
	}
	m.From, m.Boot = n.host, 1
	if q := n.hosts[host]; q != nil && !n.cut[host] && !n.cut[n.host] {
		for i := range copies {
			time.AfterFunc(n.delay+time.Duration(i)*time.Millisecond, func() { q.Handle(m) })
		}
	}
	return true
}

// Phase returns Joining until the network's joining hosts have settled.
func (n netNode) Phase() mesh.Phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.joining {
		return mesh.Joining
	}
	return mesh.Running
}

func (n netNode) RankRunning(_ string, leaving bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.joining {
		return []string{n.host}
	}
	return slices.DeleteFunc(slices.Clone(n.names), func(h string) bool { return n.gone[h] || leaving && h == n.host })
}

func (n netNode) Reach() (known, alive int) { return len(n.names), len(n.names) }

func (n netNode) Unheard() int { return 0 }

func (n netNode) Alive() []mesh.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []mesh.Member
	for _, h := range n.names {
		if h != n.host {
			all = append(all, mesh.Member{Host: h, Ready: true, Leaving: n.gone[h]})
		}
	}
	return all
}

// start starts hosts a, b and c in the bubble of a test, with the limit of one organisation, and waits until its bucket is full.
func start(t *testing.T, rate, burst float64) (*network, *orgs.Organisation) {
	t.Helper()
	n, o := startJoining(t, rate, burst)
	n.mu.Lock()
	n.joining = false
	n.mu.Unlock()
	time.Sleep(10 * time.Second)
	return n, o
}

// startJoining starts the hosts, which do not know of each other yet.
func startJoining(t *testing.T, rate, burst float64) (*network, *orgs.Organisation) {
	t.Helper()
	table, err := orgs.New([]orgs.Organisation{{Name: "hofbauer", Rate: rate, Burst: burst}})
	if err != nil {
		t.Fatal(err)
	}
	o, _ := table.Get("hofbauer")
	n := &network{hosts: make(map[string]*Quota), names: []string{"a", "b", "c"}, cut: make(map[string]bool), gone: make(map[string]bool), delay: time.Millisecond, joining: true}
	begin := time.Now()
	for _, host := range n.names {
		q := New(Deps{
			Host: host, Node: netNode{n, host}, Log: slog.New(slog.DiscardHandler),
			Organisations: func() *orgs.Table { return table },
			Leaving:       func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.gone[host] },
			Now:           func() time.Duration { return time.Since(begin) + time.Second },
		}, allow.Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
		n.mu.Lock()
		n.hosts[host] = q
		n.mu.Unlock()
	}
	return n, o
}

func (n *network) close() {
	for _, q := range n.hosts {
		q.Close()
	}
	time.Sleep(time.Second) // delayed messages
}

// take sends n requests to a host and returns how many were granted.
func take(t *testing.T, q *Quota, o *orgs.Organisation, n int) (granted int) {
	t.Helper()
	for range n {
		if ok, _ := q.Take(t.Context(), o, false); ok {
			granted++
		}
	}
	return granted
}

// Guards against requests of another host that get more, or less, than the burst of the owner's bucket, and against duplicates of
// answers that return units in use.
func TestOwnerGrantsTheBurst(t *testing.T) {
	for _, twice := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n, o := start(t, 1, 10)
			defer n.close()
			n.twice = twice
			if got := take(t, n.hosts["c"], o, 20); got != 10 {
				t.Errorf("%d of 20 requests were granted, want 10 (messages twice: %t)", got, twice)
			}
		})
	}
}

// Guards against a message for each request of an organisation beyond its limit.
func TestRejectionIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := start(t, 1, 1)
		defer n.close()
		take(t, n.hosts["c"], o, 2)
		before := n.counts
		last := time.Duration(0)
		for range 4 {
			_, after := n.hosts["c"].Take(t.Context(), o, false)
			if after == last {
				t.Errorf("two requests in a row were told to come back after %v", after)
			}
			last = after
		}
		if n.counts != before {
			t.Errorf("%d messages were sent for requests that the host could reject alone", n.counts-before)
		}
	})
}

// Guards against units that are lost when they are returned, and against a duplicate of a return that counts twice.
func TestReturnedUnitIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := start(t, 1, 10)
		defer n.close()
		if got := take(t, n.hosts["c"], o, 10); got != 10 {
			t.Fatalf("%d of 10 requests were granted", got)
		}
		n.twice = true
		n.hosts["c"].Return(o.Name)
		time.Sleep(100 * time.Millisecond)
		if got := take(t, n.hosts["c"], o, 5); got != 1 {
			t.Errorf("after the return of one unit, %d were granted, want 1", got)
		}
	})
}

// Guards against a bucket that is lost, or doubled, when its owner leaves.
func TestLevelIsHandedOver(t *testing.T) {
	for _, twice := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n, o := start(t, 10, 40)
			defer n.close()
			n.twice = twice
			if got := take(t, n.hosts["b"], o, 20); got != 20 {
				t.Fatalf("%d of 20 requests were granted", got)
			}
			n.mu.Lock()
			n.gone["a"] = true
			n.mu.Unlock()
			n.hosts["a"].Update()
			time.Sleep(20 * time.Millisecond)
			// The level of about 20, a start credit of about 4, and the fill of a few milliseconds.
			if got := take(t, n.hosts["c"], o, 60); got < 18 || got > 27 {
				t.Errorf("the new owner granted %d, want about 24 (messages twice: %t)", got, twice)
			}
		})
	}
}

// Guards against requests that wait for an owner that is cut off, and that nobody decides.
func TestDeputyDecidesForOwnerThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := start(t, 100, 100)
		defer n.close()
		n.mu.Lock()
		n.cut["a"] = true
		n.mu.Unlock()
		begin := time.Now()
		if got := take(t, n.hosts["c"], o, 40); got == 0 || got > 10 {
			t.Errorf("the deputy granted %d, want some, at most its share of 10", got)
		}
		if took := time.Since(begin); took > 2*answerTimeout {
			t.Errorf("40 requests took %v in virtual time, want one wait for the owner", took)
		}
		if b, c := n.hosts["b"].AsDeputy.Load(), n.hosts["c"].Alone.Load(); b == 0 || c != 0 {
			t.Errorf("b decided %d times as a deputy and c %d times alone, want some and 0", b, c)
		}
	})
}

// Guards against units that are lost because the owner's answer comes too late.
func TestLateUnitIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := start(t, 1, 10)
		defer n.close()
		n.mu.Lock()
		n.delay = 20 * time.Millisecond
		n.mu.Unlock()
		take(t, n.hosts["c"], o, 1)
		time.Sleep(100 * time.Millisecond)
		if got := take(t, n.hosts["a"], o, 20); got != 10 {
			t.Errorf("the owner granted %d, want all 10", got)
		}
	})
}

// Guards against the whole limit at each of the hosts that start together, as each takes itself for the owner until it has heard the others.
func TestHostsThatStartTogetherGrantOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, burst = 40, 20
		n, o := startJoining(t, rate, burst)
		defer n.close()
		granted := 0
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			for _, host := range n.names {
				granted += take(t, n.hosts[host], o, 20)
			}
		}
		// Nothing as owners, and together the share of hosts that decide alone.
		if most := (0.1*(5*rate+burst) + 20) / 4; float64(granted) > most {
			t.Errorf("%d requests granted within a second, want at most %g", granted, most)
		}
	})
}
