// Package lease holds the messages and state of this protocol part.
package lease

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Request is a holder's complete demand on one owner; it replaces the one before.
type Request struct {
	Seq uint64
	// Upstreams has one line for each upstream of the owner that the holder holds, wants or reports on.
	Upstreams []Demand
}

// Demand is the part of a Request about one upstream.
type Demand struct {
	Upstream ident.UpstreamID
	// Want is the number of queued requests that could use another slot now.
	Want int
	// Held is the number of slots the holder keeps; it is never below the holder's requests in flight.
	Held int
	// Seen is the sequence number of the last grant received for this upstream.
	Seen uint64
	// Report is what the holder observed since its last request.
	Report Report
}

// Report is what a holder observed at one upstream since its last report.
type Report struct {
	Completed int
	NewConns  int
	// Signals counts shed answers, resets, refused connections and changed incarnations.
	Signals  int
	Draining bool
}

// Grant is the owner's answer to a Request.
type Grant struct {
	// Answers is the sequence number of the request answered.
	Answers   uint64
	Upstreams []Allowance
}

// Allowance is the part of a Grant about one upstream.
type Allowance struct {
	Upstream ident.UpstreamID
	// Seq numbers the allowances that add slots; it grows by one with each.
	Seq uint64
	// Add is the number of slots added by this grant.
	Add int
	// Keep is the most the holder may keep; it returns idle slots above it.
	Keep int
}

// Handoff passes ownership of upstreams to the next owner.
type Handoff struct{ Upstreams []Transfer }

// Transfer is the part of a Handoff about one upstream.
type Transfer struct {
	Upstream ident.UpstreamID
	// Limit is the number of slots that the upstream was found to bear.
	Limit int
	// Outstanding is what each holder may still use.
	Outstanding []Outstanding
}

// Outstanding is the slots of one holder under the old owner.
type Outstanding struct {
	Host  ident.HostID
	Slots int
	// For is the time after which the slots are free if the holder reports nothing.
	For time.Duration
}
