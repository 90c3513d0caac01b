// Package lease divides the slots of each upstream among the hosts. Hosts elect the owners of an upstream by pledges in
// their heartbeats. Owners grant slots, each of which admits one request in flight, to the hosts as holders of leases.
package lease

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// SlotRequest carries a holder's demands to one owner. A demand that has not changed since the last request may be
// left out.
type SlotRequest struct {
	// Owner is the incarnation of the receiving owner; a host of another incarnation drops the request.
	Owner ident.Incarnation
	// Seq grows with each request of the holder's incarnation; an owner drops requests that arrive out of order.
	Seq uint64
	// SentAt is the time of sending on the holder's clock; allowances echo it.
	SentAt    time.Duration
	Upstreams []Demand
}

// Demand is the part of a SlotRequest about one upstream. It replaces the holder's previous demand.
type Demand struct {
	Upstream ident.UpstreamID
	// Epoch increases when the holder changes to another owner or the owner voids its account of the holder. The
	// holder has given up the slots of earlier epochs, except those of requests still in flight, which Held includes.
	Epoch uint64
	// Want is the number of queued requests that could use another slot now.
	Want int
	// Held is the number of slots that the holder has, used or idle. It is never below its requests in flight.
	Held int
	// Seen is the highest Allowance.Total that the holder received from this owner in this epoch.
	Seen uint64
	// Conns is the holder's estimate of its open connections; each slot above it costs a new connection.
	Conns  int
	Report Report
}

// Report holds a holder's observations of one upstream. The counters are totals of the epoch, so that a later request
// makes up for a lost one.
type Report struct {
	Completed uint64
	NewConns  uint64
	// Signals counts the signs that the upstream is cold: shed answers, connection resets, refused connections and
	// changed incarnations.
	Signals uint64
	// Draining reports that the upstream announced that it takes no new work.
	Draining bool
}

// SlotGrant is an owner's message to one holder: it answers slot requests, grants slots and calls slots back.
type SlotGrant struct {
	// Holder is the incarnation of the receiving holder; a host of another incarnation drops the grant.
	Holder ident.Incarnation
	// Seq grows with each grant of the owner's incarnation; a holder drops grants that arrive out of order.
	Seq       uint64
	Upstreams []Allowance
}

// Allowance is the part of a SlotGrant about one upstream.
type Allowance struct {
	Upstream ident.UpstreamID
	// Epoch is the epoch of the answered demand; the holder drops an allowance of another epoch.
	Epoch uint64
	// SentAt is the SlotRequest.SentAt of the last request with a demand for this upstream. The lease starts then.
	SentAt time.Duration
	// Total is the number of slots granted since the start of the epoch. The holder gains the difference to its
	// Demand.Seen, so that a later allowance makes up for a lost one.
	Total uint64
	// Keep is the most slots that the holder may keep. The holder returns idle slots above it at once, and used ones
	// when their requests end.
	Keep int
	// Void reports that the owner no longer has an account of this epoch; the holder starts a new epoch.
	Void bool
}

// Handoff ends the sender's ownership of upstreams. It goes to every member of the data centre.
type Handoff struct {
	// HeartbeatSeq is the sequence number of the sender's last heartbeat before the handoff. Pledges that echo this
	// heartbeat or an earlier one are void, and the hosts that made them may pledge to another owner at once.
	HeartbeatSeq uint64
	Upstreams    []Transfer
}

// Transfer is the part of a Handoff about one upstream.
type Transfer struct {
	Upstream ident.UpstreamID
	// Seq grows with each transfer by the sender's incarnation. A host whose pledge the transfer releases puts Seq
	// into its next pledge.
	Seq uint64
	// Limit is the sender's estimate of the upstream's capacity in slots, zero if the sender has none.
	Limit int
	// Budget is the unspent part of the upstream's time for probes and new connections.
	Budget time.Duration
	// Wait is the time for which slots that earlier owners granted and Outstanding doesn't list may still be in use.
	Wait time.Duration
	// Outstanding lists the slots that each holder may still use.
	Outstanding []Outstanding
}

// Outstanding describes the slots that one holder has from the former owner.
type Outstanding struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Epoch is the holder's epoch; a demand of a later epoch shows that the holder gave up these slots.
	Epoch uint64
	Slots int
	// For is the time after which the slots are free if no demand of the holder arrives.
	For time.Duration
}
