package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// startingFleet is a fleet whose hosts start together. Each gets the addresses of all and becomes ready a while after its start.
type startingFleet struct {
	*simFleet
	ready map[*simNode]bool
}

// startTogether starts hosts within a time, after all hosts of a site have ended.
func startTogether(t *testing.T, dataCentres, each int, within time.Duration, seed uint64) *startingFleet {
	f := &startingFleet{newEmptyFleet(t, seed), make(map[*simNode]bool)}
	rnd := rand.New(rand.NewPCG(seed, 8))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rnd.Int64N(int64(most-least)))
	}
	for dc := range dataCentres {
		for i := range each {
			start, addresses, ready := between(0, within), between(5*time.Millisecond, 200*time.Millisecond), between(45*time.Millisecond, 150*time.Millisecond)
			f.after(start, func() { f.startHost(dataCentres, each, dc, i, addresses, ready) })
		}
	}
	return f
}

// startHost starts a host that knows the first host of each data centre, gets the addresses of all after a while and becomes ready.
func (f *startingFleet) startHost(dataCentres, each, dc, i int, addressesAfter, readyAfter time.Duration) {
	n := f.create(dc, i, 1)
	status := func() Heartbeat { return Heartbeat{Ready: f.ready[n] && n.Phase() != Joining} }
	n.status.Store(&status)
	for seed := range dataCentres {
		n.AddAddress(address(seed, 0))
	}
	f.beat(n)
	f.after(addressesAfter, func() {
		for dc := range dataCentres {
			for i := range each {
				n.AddAddress(address(dc, i))
			}
		}
		n.SendHeartbeat()
		n.AddressesKnown()
	})
	f.after(readyAfter, func() { f.ready[n] = true })
	f.after(max(readyAfter, addressesAfter+settleTime), func() { n.SendHeartbeat() })
}

// owners returns the hosts that are ready and act as the only owner of a task.
func (f *startingFleet) owners(task string) (hosts []string) {
	for _, n := range f.nodes {
		if f.ready[n] && n.Undisputed(task, false) && n.RankHosts(task, false)[0] == n.self.Host {
			hosts = append(hosts, n.self.Host)
		}
	}
	return hosts
}

// Guards against hosts that all decide as owners after they have started together, until heartbeats tell them that others are ready: each
// would grant the whole cold rate, the whole limit of an organisation and the whole retry budget. Two may for as long as a message takes.
func TestHostsThatStartTogetherHaveOneOwner(t *testing.T) {
	for _, c := range []struct {
		dataCentres, each int
		within, step      time.Duration
		seeds             uint64
	}{
		{3, 4, 5 * time.Millisecond, time.Millisecond, 5},
		{3, 4, 300 * time.Millisecond, time.Millisecond, 5},
		{3, 20, 300 * time.Millisecond, 20 * time.Millisecond, 1},
		{1, 1, time.Millisecond, time.Millisecond, 1},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d hosts within %v, seed %d", c.dataCentres*c.each, c.within, seed), func(t *testing.T) {
				f := startTogether(t, c.dataCentres, c.each, c.within, seed)
				tasks := []string{"booking", "enquiry", "files", "export"}
				severalSince := make(map[string]time.Duration)
				for end := f.now + startTime + time.Second; f.now < end; f.run(c.step) {
					for _, task := range tasks {
						owners := f.owners(task)
						if len(owners) <= 1 {
							severalSince[task] = f.now
						}
						if len(owners) > 2 || f.now-severalSince[task] > 2*simDelay+c.step {
							t.Fatalf("at %v since %v: owners of %s are %v", f.now, severalSince[task], task, owners)
						}
					}
				}
				for _, task := range tasks {
					if owners := f.owners(task); len(owners) != 1 {
						t.Errorf("owners of %s in the end: %v, want one", task, owners)
					}
				}
			})
		}
	}
}

// Guards against a host that waits for others in vain: one that is alone, or cannot get the addresses of others, acts as the owner soon.
func TestHostAloneIsUndisputedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		after time.Duration
	}{
		"with addresses":    {true, settleTime},
		"without addresses": {false, startTime},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEmptyFleet(t, 1)
			n := f.create(0, 0, 1)
			if c.known {
				n.AddressesKnown()
			}
			f.run(c.after - time.Millisecond)
			if n.Undisputed("booking", false) {
				t.Fatalf("undisputed less than %v after the start", c.after)
			}
			f.run(time.Millisecond)
			if !n.Undisputed("booking", false) {
				t.Fatalf("disputed %v after the start", c.after)
			}
		})
	}
}

// Guards against requests for owners that cannot decide yet: a host that starts beside others is no owner until it has settled, neither at
// itself nor at the others.
func TestHostThatStartsBesideOthersIsNoOwnerWhileItJoins(t *testing.T) {
	f := newFleet(t, 1, 4, 1)
	f.run(startTime)
	n := f.create(0, 5, 1) // one of the largest
	status := func() Heartbeat { return Heartbeat{Ready: n.Phase() != Joining} }
	n.status.Store(&status)
	for i := range 4 {
		n.AddAddress(address(0, i))
	}
	f.beat(n)
	n.AddressesKnown()
	assertOwns := func(want bool) {
		t.Helper()
		owns := false
		for task := range 100 {
			for _, other := range f.nodes {
				owns = owns || other.RankHosts(fmt.Sprint(task), false)[0] == n.self.Host
			}
		}
		if owns != want {
			t.Fatalf("%v after its start, the host owns tasks: %t, want %t", f.now-n.startedAt, owns, want)
		}
	}
	f.run(settleTime - time.Millisecond)
	assertOwns(false)
	f.run(time.Millisecond)
	n.SendHeartbeat()
	f.run(simDelay)
	assertOwns(true)
}
