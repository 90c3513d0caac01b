// Package lease divides the slots of each upstream among the hosts: pledges elect owners, owners grant leases.
package lease

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Request is a holder's demand on one owner. An upstream without a line is unchanged since the last request.
type Request struct {
	// Owner is the incarnation addressed; any other one drops the request.
	Owner ident.Incarnation
	// Seq grows with each request of the holder's incarnation; an owner drops requests that arrive out of order.
	Seq uint64
	// SentAt is on the holder's clock; allowances return it.
	SentAt    time.Duration
	Upstreams []Demand
}

// Demand is the part of a Request about one upstream; it replaces the one before.
type Demand struct {
	Upstream ident.UpstreamID
	// Epoch counts the owners that the holder has used for this upstream. The slots of former epochs are given up,
	// except for the requests still in flight, which Held includes.
	Epoch uint64
	// Want is the number of queued requests that could use another slot now.
	Want int
	// Held is the number of slots the holder keeps; it is never below the holder's requests in flight.
	Held int
	// Seen is the highest Total received from this owner in this epoch.
	Seen uint64
	// Conns estimates the open connections; a slot beyond them costs a new connection.
	Conns  int
	Report Report
}

// Report is what a holder observed at one upstream, as totals of the epoch, so that a lost request loses nothing.
type Report struct {
	Completed uint64
	NewConns  uint64
	// Signals counts shed answers, resets, refused connections and changed incarnations.
	Signals  uint64
	Draining bool
}

// Grant is an owner's message to one holder: answers to requests, slots granted and slots wanted back.
type Grant struct {
	// Holder is the incarnation addressed; any other one drops the grant.
	Holder ident.Incarnation
	// Seq grows with each grant of the owner's incarnation; a holder drops grants that arrive out of order.
	Seq       uint64
	Upstreams []Allowance
}

// Allowance is the part of a Grant about one upstream.
type Allowance struct {
	Upstream ident.UpstreamID
	// Epoch is that of the demand answered; the holder drops an allowance of any other epoch.
	Epoch uint64
	// SentAt is that of the last request with a line for this upstream; the lease counts from it.
	SentAt time.Duration
	// Total is the number of slots granted since the start of the epoch. What exceeds the holder's Seen is new,
	// so that a later allowance makes up for a lost one.
	Total uint64
	// Keep is the most the holder may keep; it returns idle slots above it.
	Keep int
	// Void reports that the owner knows nothing of the epoch any more: the holder starts a new one.
	Void bool
}

// Handoff ends the sender's ownership of upstreams. It goes to every member of the data centre.
type Handoff struct {
	// After is the sequence number of the sender's last heartbeat before the handoff. Pledges that echo it or an
	// earlier one are void, and those who made them may pledge to another owner at once.
	After     uint64
	Upstreams []Transfer
}

// Transfer is the part of a Handoff about one upstream.
type Transfer struct {
	Upstream ident.UpstreamID
	// Seq grows with each transfer by the sender's incarnation; pledges that it frees name it.
	Seq uint64
	// Limit is the number of slots that the upstream was found to bear, zero if the sender did not know.
	Limit int
	// Budget is the measuring time left at the upstream.
	Budget time.Duration
	// Wait is the time for which slots that earlier owners granted, and that are not in Outstanding, may be in use.
	Wait time.Duration
	// Outstanding is what each holder may still use.
	Outstanding []Outstanding
}

// Outstanding is the slots of one holder under the old owner.
type Outstanding struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Epoch is the holder's; a demand of a later epoch shows that the holder gave up these slots.
	Epoch uint64
	Slots int
	// For is the time after which the slots are free if the holder reports nothing.
	For time.Duration
}
