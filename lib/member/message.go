// Package member tracks the hosts of the cluster as one host sees them, from the host list and from heartbeats. It does
// no I/O and reads no clock: times are arguments.
package member

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Heartbeat is the message that a host sends to every other host at a fixed interval.
type Heartbeat struct {
	// Seq is the number of the sender's round of heartbeats.
	Seq uint64
	// Echo is the highest sequence number that the sender has received from the receiver's incarnation To, zero if none.
	Echo uint64
	// To is the receiver's incarnation as the sender knows it, zero if unknown. If it is not the receiver's present
	// incarnation, Echo and Pledges must be ignored.
	To ident.Incarnation
	// DataCentre is the sender's data centre.
	DataCentre ident.DataCentre
	// Leaving is true while the sender shuts down.
	Leaving bool
	// ConfVersion is the version of the sender's configuration: the log offset of the last record that it applied.
	ConfVersion int64
	// ConfAge is the time since the sender's configuration is last known to have been current; negative if never.
	ConfAge time.Duration
	// ListAge is the time since the sender last read the host list; negative if never.
	ListAge time.Duration
	// LeavingUpstreams lists the upstreams that the sender knows to be leaving.
	LeavingUpstreams []ident.UpstreamID
	// LogAnswers is true if the sender's last read of the log succeeded.
	LogAnswers bool
	// Pledges holds the sender's pledges that name the receiver as owner.
	Pledges []Pledge
}

// Pledge states that the sender of a heartbeat accepts the receiver as the owner of an upstream.
type Pledge struct {
	Upstream ident.UpstreamID
	// Previous is the incarnation of the earlier owner whose handoff released the sender's pledge; zero if that pledge
	// expired instead.
	Previous ident.Incarnation
	// Handoff is the sequence number of that handoff by Previous; see lease.Transfer.Seq.
	Handoff uint64
	// Wait is how long, from the sending of the heartbeat, work granted by earlier owners may still run.
	Wait time.Duration
}
