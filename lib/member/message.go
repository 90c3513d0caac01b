// Package member is one host's view of all hosts: host list, heartbeats, incarnations.
package member

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Heartbeat is sent to every other host at a fixed interval.
type Heartbeat struct {
	Seq uint64
	// Echo is the highest sequence number received from the addressee in the incarnation To, zero if there was none.
	Echo uint64
	// To is the addressee's incarnation as the sender knows it. Echo and Pledges mean nothing to any other incarnation.
	To         ident.Incarnation
	DataCentre ident.DataCentre
	Leaving    bool
	// ConfVersion is the offset of the last record that the sender has decided.
	ConfVersion int64
	// ConfAge is the time since the sender knew its configuration to be current; negative means never.
	ConfAge time.Duration
	// ListAge is the time since the sender's last reading of the host list; negative means never.
	ListAge time.Duration
	// LeavingUpstreams are those that the sender knows to be leaving.
	LeavingUpstreams []ident.UpstreamID
	// LogAnswers reports that the sender's last read of the log succeeded.
	LogAnswers bool
	// Pledges are those of the sender that name the addressee as the owner.
	Pledges []Pledge
}

// Pledge is the acceptance of the addressee as the owner of an upstream.
type Pledge struct {
	Upstream ident.UpstreamID
	// Previous is the incarnation of the owner whose handoff freed the pledge; zero if the pledge moved by expiry.
	Previous ident.Incarnation
	// Handoff is the number of that handoff.
	Handoff uint64
	// Wait is the time, from the sending of the heartbeat, for which work granted by earlier owners may still run.
	Wait time.Duration
}
