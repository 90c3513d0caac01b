package mesh

import (
	"slices"
	"time"
)

const (
	// startTime is how long after its start a host takes into account that others have started with it. They are ready, and have said
	// so, long before.
	startTime = 2 * time.Second
	// settleTime is how long a started host waits, once it has sent a heartbeat to the addresses of all others, until it has heard those
	// that are running.
	settleTime = 100 * time.Millisecond
)

// Phase is what a host can know of the others since its start.
type Phase uint8

const (
	// Joining means that the host may not have heard of all running hosts yet.
	Joining Phase = iota
	// Starting means that other hosts may have started with this one and be ready, and that this host may not have heard so yet.
	Starting
	// Running means that neither is the case.
	Running
)

// AddressesKnown tells the node that it got the addresses of all hosts and has sent them a heartbeat.
func (n *Node) AddressesKnown() { n.addressesAt.CompareAndSwap(0, int64(n.now())) }

// Phase returns the present phase. A host that cannot get the addresses of the others is in phase Running after startTime, as it may
// be the only one.
func (n *Node) Phase() Phase {
	now, addressesAt := n.now(), time.Duration(n.addressesAt.Load())
	switch {
	case now-n.startedAt >= startTime:
		return Running
	case addressesAt == 0 || now-addressesAt < settleTime:
		return Joining
	}
	return Starting
}

// RankRunning returns the hosts that may do a task for all hosts like RankHosts. While this host starts, the list includes hosts that
// have started lately and have not said that they are ready: they may be, and take themselves for the first.
func (n *Node) RankRunning(task string, leaving bool) []string {
	starting := n.Phase() != Running
	return n.rankMembers(task, leaving, func(m *Member) bool { return m.Ready || starting && n.now()-m.heardSince < startTime })
}

// Undisputed reports whether no other host can take itself for the first host of a task at the same time as this one, as far as this
// host can know. It is false for all hosts that start together, but one, until they have heard each other.
func (n *Node) Undisputed(task string, leaving bool) bool {
	switch n.Phase() {
	case Joining:
		return false
	case Starting:
		return slices.Index(n.RankRunning(task, leaving), n.self.Host) == 0
	}
	return true
}
