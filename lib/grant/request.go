package grant

import (
	"time"

	"sardinecross.example/lib/fleet"
)

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of attempts at an upstream.
const (
	// Served means that a complete response arrived.
	Served Outcome = iota
	// Shed means that the upstream answered that it did not run the request.
	Shed
	// Failed means an error response, an invalid response or a broken connection.
	Failed
	// Unreached means that no connection to the upstream could be established or that another process answered there.
	Unreached
	// Abandoned means that the host cancelled the attempt before its response was complete.
	Abandoned
	// Unused means that the host did not send the granted attempt.
	Unused
	// TimedOut means that no byte of a response had arrived at the time limit. Owners of earlier versions reject the message, and the
	// attempt there expires a second later.
	TimedOut
)

// AttemptID identifies an attempt by the host that asked for it and a sequence number of that host.
type AttemptID struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Seq  uint64
}

// ownerHedgeBit marks the sequence number of a hedge that the owner started on its own.
const ownerHedgeBit = 1 << 63

// OwnerHedge returns the ID of the hedge that the owner may offer for the attempt id.
func (id AttemptID) OwnerHedge() AttemptID {
	return AttemptID{Host: id.Host, Seq: id.Seq | ownerHedgeBit}
}

// Original returns the ID of the attempt that an owner's hedge belongs to. ok is false if id is not the ID of such a
// hedge.
func (id AttemptID) Original() (original AttemptID, ok bool) {
	return AttemptID{Host: id.Host, Seq: id.Seq &^ ownerHedgeBit}, id.Seq&ownerHedgeBit != 0
}

// AttemptRequest asks for an upstream to which a host may send an attempt of a caller's request.
type AttemptRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         AttemptID
	Service    string
	DataCentre string
	// Once is set if the caller's request may run at most once, Bulk if its response is large.
	Once, Bulk bool
	// Priority 0 is the most urgent.
	Priority int
	// Target is the latency target of the route, measured from the arrival of the caller's request. TimeLeft is the
	// time until the deadline of that request.
	Target, TimeLeft time.Duration
	// Elapsed is the time since the caller's request arrived.
	Elapsed time.Duration
	// Tried lists the IDs of the upstreams that the request may not be sent to, the latest last: it was sent to them, or
	// they were granted and could not be used.
	Tried []string
	// AttemptsLeft is the number of attempts that the route still allows after this one.
	AttemptsLeft int
	// CountsAsRetry is set if the attempt counts against the retry budget, as retries and hedges do.
	CountsAsRetry bool
	// Hedge is set if this is a second attempt that runs in parallel with the one at the last upstream of Tried.
	// HedgedSeq is the sequence number in the ID of that first attempt.
	Hedge     bool
	HedgedSeq uint64
	// WithoutOwner is set if the host decides with its own state because the owner of the service did not answer.
	WithoutOwner bool
	// Route is the name of the route of the caller's request, empty if it is unknown. It is left out of the encoding, which
	// hosts of the previous release decode as an array of fixed length; between hosts it is mesh.Message.Route.
	Route string `cbor:"-"`
}

// Reason tells whether an upstream was granted, and if not, why.
type Reason uint8

// Reasons of selections.
const (
	// Granted means that an upstream was selected.
	Granted Reason = iota
	// NoUpstream means that no upstream of the service may be used for the request.
	NoUpstream
	// NoRoom means that the usable upstreams have no free capacity.
	NoRoom
	// NoBudget means that the retry budget is used up.
	NoBudget
	// NoGain means that a hedge would probably not end early enough before the first attempt.
	NoGain
	// Queued means that the request waits for capacity and a later selection follows.
	Queued
	// RequestEnded means that the caller's request ended before the selection.
	RequestEnded
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"granted", "noUpstream", "noRoom", "noBudget", "noGain", "queued", "requestEnded"}[r]
}

// Selection is the answer to an AttemptRequest.
type Selection struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is the ID of the selected upstream, empty unless Reason is Granted.
	Upstream   string
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedTime is the estimated response time. InFlight, SlowdownPercent and ReportAge are inputs of the estimate:
	// the requests at the upstream, the slowdown of its machine (100 is none) and the age of its last load report.
	ExpectedTime    time.Duration
	InFlight        int
	SlowdownPercent float64
	ReportAge       time.Duration
	// UpstreamCounts tells why the upstreams were not selected; nil if one was, or if the request is queued or a hedge.
	UpstreamCounts *UpstreamCounts
}

// UpstreamCounts counts the upstreams of a service by the reason why each was not selected. An upstream counts in the
// first group that it fits.
type UpstreamCounts struct {
	_ struct{} `cbor:",toarray"`
	// Listed counts all upstreams, Out those that are leaving, by the list or by their own responses, or whose data centre is out
	// of service.
	Listed, Out int
	// Tried counts those that already got the request, Cold those whose cold rate is used up (or all cold ones, if the
	// host decides without the owner), Dead those that do not answer probes, Full those without a free slot, that want no
	// request of the asking host for a time, or that are on trial.
	Tried, Cold, Dead, Full int
	// Waiting is the number of queued requests of the service.
	Waiting int
}

// AttemptEnd reports how a granted attempt ended, or that a request has left the queue because its caller has disconnected. In the
// latter case Upstream is empty; owners of earlier versions reject the message and let the request wait.
type AttemptEnd struct {
	_        struct{} `cbor:",toarray"`
	ID       AttemptID
	Upstream string
	Outcome  Outcome
	// Took is the time from sending to the end of the response.
	Took time.Duration
	// Report is the load report in the response, nil if there was none.
	Report *fleet.Report
}
