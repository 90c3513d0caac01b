// Package member holds the messages and state of this protocol part.
package member

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Heartbeat is sent to every other host at a fixed interval.
type Heartbeat struct {
	Seq uint64
	// Echo is the highest sequence number received from the addressee in its current incarnation.
	Echo       uint64
	DataCentre ident.DataCentre
	Leaving    bool
	// ConfVersion is the offset of the last record that the sender has decided.
	ConfVersion int64
	// ConfAge is the time since the sender knew its configuration to be current; negative means never.
	ConfAge time.Duration
	// LogAnswers reports that the sender's last read of the log succeeded.
	LogAnswers bool
	// Pledges are those of the sender that name the addressee as the owner.
	Pledges []Pledge
}

// Pledge is the acceptance of the addressee as the owner of an upstream.
type Pledge struct {
	Upstream ident.UpstreamID
	// Previous is the incarnation of the owner pledged to before, zero if there was none.
	Previous ident.Incarnation
}
