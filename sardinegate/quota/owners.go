package quota

import (
	"slices"
	"time"

	"sardinecross.example/lib/orgs"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// maxRanked is the number of organisations whose owners are computed in one update: 30 to 40 us each with 184 hosts, in
	// one go 0.4 s for 10,000, in which no request would be decided. Requests of an organisation do not wait for its turn.
	maxRanked = 500
	// maxOrder is the number of hosts that are kept of an order: the owner, its deputies, and more in place of suspect ones.
	maxOrder = 8
)

// ownerOrder holds the first hosts in the order of owners of an organisation. It is stale if other hosts may be among them now.
type ownerOrder struct {
	hosts []string
	stale bool
}

// queueChanges marks the orders that may have changed since the last members, and queues their organisations. A host that was lost
// concerns only the orders that it is in; one that was added may be in any. q.mu must be held.
func (q *Quota) queueChanges(members []memberKey, leaving bool, all bool) {
	lost := make(map[string]bool)
	largest := func(members []memberKey) (most int) {
		for _, m := range members {
			most = max(most, m.capacity)
		}
		return most
	}
	all = all || q.members == nil || q.leaving && !leaving || largest(members) != largest(q.members)
	before := make(map[memberKey]bool, len(q.members))
	for _, m := range q.members {
		before[m] = true
	}
	for _, m := range members {
		if before[m] {
			delete(before, m)
		} else if q.mayOwn(m) {
			all = true
		}
	}
	for m := range before {
		lost[m.host] = true
	}
	if leaving && !q.leaving {
		lost[q.deps.Host] = true
	}
	if q.table == nil {
		return
	}
	for _, o := range q.table.All() {
		order := q.orders[o.Name]
		if o.Rate <= 0 || order.stale || !all && !slices.ContainsFunc(order.hosts, func(h string) bool { return lost[h] }) {
			continue
		}
		order.stale = true
		q.orders[o.Name] = order
		q.stale = append(q.stale, o)
	}
}

// mayOwn reports whether a host may own organisations, also if it has not said yet that it is ready while this host starts.
func (q *Quota) mayOwn(m memberKey) bool { return (m.ready || q.phase != mesh.Running) && !m.leaving }

// rankStale computes the orders of up to maxRanked organisations that are queued, and of all that this host owns if it is leaving.
// It adds the levels to hand over. q.mu must be held.
func (q *Quota) rankStale(now time.Duration, transfers map[string][]mesh.AllowanceLevel) {
	n := min(maxRanked, len(q.stale))
	for _, o := range q.stale[:n] {
		q.refresh(now, o, transfers)
	}
	q.stale = q.stale[n:]
	if !q.leaving {
		return
	}
	for _, o := range q.stale {
		if order := q.orders[o.Name]; len(order.hosts) > 0 && order.hosts[0] == q.deps.Host {
			q.refresh(now, o, transfers)
		}
	}
}

// refresh computes the order of an organisation if it is stale. It adds the level to hand over. q.mu must be held.
func (q *Quota) refresh(now time.Duration, o *orgs.Organisation, transfers map[string][]mesh.AllowanceLevel) {
	if q.orders[o.Name].stale {
		q.rank(now, o, transfers)
	}
}

// position returns the position of this host in an order of owners, negative if it may grant nothing as one of them: it is leaving,
// or does not know all hosts yet.
func (q *Quota) position(order []string) int {
	if q.phase == mesh.Joining {
		return -1
	}
	return slices.Index(order, q.deps.Host)
}

// rank computes the order of an organisation, takes over its level if one was handed over, and adds the one to hand over. q.mu must
// be held.
func (q *Quota) rank(now time.Duration, o *orgs.Organisation, transfers map[string][]mesh.AllowanceLevel) {
	order := q.deps.Node.RankRunning("allowance "+o.Name, q.leaving)
	order = slices.Clone(order[:min(maxOrder, len(order))])
	q.orders[o.Name] = ownerOrder{hosts: order}
	level, handOver := q.state.SetPosition(now, o.Name, limitOf(o), q.position(order))
	if handOver && len(order) > 0 {
		transfers[order[0]] = append(transfers[order[0]], mesh.AllowanceLevel{Organisation: o.Name, Level: level})
	}
	if h, ok := q.handovers[o.Name]; ok && (now-h.at > transferWait || q.state.Receive(now, o.Name, h.level)) {
		delete(q.handovers, o.Name)
	}
}
