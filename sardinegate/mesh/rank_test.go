package mesh

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
)

// Guards against small hosts that get tasks for all hosts while there are larger ones, and against one slightly larger host
// that gets them all.
func TestTasksAreSpreadOverTheLargestHosts(t *testing.T) {
	first := map[string]int{}
	for task := range 1000 {
		var all []candidate
		for host, capacity := range map[string]int{"large1": 2400, "large2": 2300, "large3": 1200, "small1": 480, "small2": 1000} {
			all = append(all, newCandidate(fmt.Sprint(task), host, capacity))
		}
		order := rank(all)
		if len(order) != 5 {
			t.Fatalf("%d hosts in the order, want all 5", len(order))
		}
		first[order[0]]++
	}
	for _, host := range []string{"large1", "large2", "large3"} {
		if first[host] < 250 {
			t.Errorf("host %s is first for %d of 1000 tasks, want about a third", host, first[host])
		}
	}
	if n := first["small1"] + first["small2"]; n > 0 {
		t.Errorf("small hosts are first for %d tasks, want none", n)
	}
}

// Guards against hosts that disagree about the order because they do not know each other's capacity.
func TestHostsRankEachOtherByCapacity(t *testing.T) {
	p := freePort(t)
	nodes := make([]*Node, 3)
	for i := range nodes {
		self := Self{Host: fmt.Sprint("h", i), Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), p), Boot: 1, Capacity: 100}
		if i == 1 {
			self.Capacity = 1000
		}
		n, err := Listen(self, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		n.Start(readyStatus, ignore)
		defer n.Close()
		nodes[i] = n
		n.AddAddress(netip.MustParseAddr("127.0.0.1"))
		n.AddAddress(netip.MustParseAddr("127.0.0.2"))
		n.SendHeartbeat()
	}
	for _, n := range nodes {
		eventually(t, "all hosts to rank the largest first", func() bool {
			order := n.RankHosts("task", false)
			return len(order) == len(nodes) && order[0] == "h1"
		})
	}
}
