package mesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a host that may do a task for all hosts.
type candidate struct {
	host     string
	capacity int
	hash     uint64
}

func newCandidate(task, host string, capacity int) candidate {
	return candidate{host, capacity, xxhash.Sum64String(task + "\x00" + host)}
}

// RankHosts returns the hosts that may do a task for all hosts, such as to own a service, the preferred one first. Hosts with
// at least half of the largest capacity go before the others, each group in the order of rendezvous hashing, so that tasks
// are spread and a small host does none while there is a larger one. The list includes this host unless leaving is set, or it is
// joining and others are ready. Hosts that agree on which hosts are alive, ready and leaving return the same list.
func (n *Node) RankHosts(task string, leaving bool) []string {
	ready := func(m *Member) bool { return m.Ready }
	if n.Phase() == Joining {
		if others := n.rankMembers(task, true, ready); len(others) > 0 {
			return others
		}
	}
	return n.rankMembers(task, leaving, ready)
}

// rankMembers ranks the live members for which mayAct returns true, and this host unless leaving is set. mayAct is called with n.mu
// held.
func (n *Node) rankMembers(task string, leaving bool, mayAct func(m *Member) bool) []string {
	var all []candidate
	if !leaving {
		all = append(all, newCandidate(task, n.self.Host, n.self.Capacity))
	}
	n.mu.Lock()
	for _, m := range n.members {
		if n.alive(m) && !m.Leaving && mayAct(m) {
			all = append(all, newCandidate(task, m.Host, m.Capacity))
		}
	}
	n.mu.Unlock()
	return rank(all)
}

// rank sorts the candidates as RankHosts does and returns their names.
func rank(all []candidate) []string {
	largest := 0
	for _, c := range all {
		largest = max(largest, c.capacity)
	}
	group := func(c candidate) int {
		if 2*c.capacity >= largest {
			return 0
		}
		return 1
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(group(a), group(b)), cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	hosts := make([]string, len(all))
	for i, c := range all {
		hosts[i] = c.host
	}
	return hosts
}
