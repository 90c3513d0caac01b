package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Event is one input of the reducer.
type Event interface{ event() }

// Tick reports that the time returned by State.Wake has come.
type Tick struct{}

// RequestArrived reports a request whose head was read and checked.
type RequestArrived struct {
	// ID is unique within this incarnation.
	ID     ident.RequestID
	Class  ident.ClassName
	Tenant ident.Tenant
	// Deadline is on the reducer's clock; zero means the deadline of the class.
	Deadline time.Duration
	// Token is an issued request ID; at most one of Token and Key is set.
	Token string
	// Key is the caller's own idempotency key.
	Key string
	// Depth counts the calls above this one in the call tree.
	Depth int
	// Retry reports that the caller marked the request as a repetition.
	Retry bool
	// Relayed reports that another host passed the request on; it is not relayed again.
	Relayed bool
	// Replayable reports that the body is buffered, so that a second attempt can send it.
	Replayable bool
}

// RequestCancelled reports that the caller closed its connection before the answer's end. No terminal effect follows, but
// attempts may go on; see Deliver.
type RequestCancelled struct{ ID ident.RequestID }

// IDWanted reports that a caller asked for a request ID; the reducer answers with IDIssued or Refuse.
type IDWanted struct {
	ID    ident.RequestID
	Class ident.ClassName
}

// AttemptAnswered reports that the whole head of an upstream's answer was read. It is not sent for an answer that was shed or
// belonged to another request.
type AttemptAnswered struct {
	ID      ident.RequestID
	Attempt int
	// FirstByte is the time from the start of the attempt.
	FirstByte time.Duration
	// Incarnation is the upstream's own, empty if it sent none.
	Incarnation string
	Status      int
}

// AttemptEnded reports the end of an attempt; it is sent exactly once for each StartAttempt.
type AttemptEnded struct {
	ID      ident.RequestID
	Attempt int
	Outcome Outcome
	// Took is the time from the start of the attempt.
	Took time.Duration
	// NewConn reports that the attempt opened a connection.
	NewConn bool
	// Refused reports, with OutcomeNotSent, that the upstream refused a connection or did not accept one in time.
	Refused bool
	// Answer is the captured answer, set if StartAttempt asked for it and the answer was small enough.
	Answer *Answer
}

// RelayEnded reports that the exchange with the host of a Relay effect ended.
type RelayEnded struct {
	ID ident.RequestID
	// Delivered reports that the other host's answer was passed to the caller.
	Delivered bool
}

// PeerMessage reports a message from another host.
type PeerMessage struct {
	From        ident.HostID
	Incarnation ident.Incarnation
	Message     Message
}

// HostListRead reports one reading of the platform's host list.
type HostListRead struct{ Entries []HostEntry }

// HostListFailed reports that the host list did not answer.
type HostListFailed struct{}

// LogRead reports records read from a stream in the order of their offsets.
type LogRead struct {
	Stream Stream
	// From is the offset that was asked for.
	From    int64
	Records []Record
	// First is the oldest retained offset, Next the offset of the next append.
	First, Next int64
	// SentAt is the reducer's time at which the read was sent; freshness counts from it.
	SentAt time.Duration
}

// LogReadFailed reports that a read of a stream failed.
type LogReadFailed struct{ Stream Stream }

// AppendEnded reports the end of an append. An unanswered append may have taken effect.
type AppendEnded struct {
	Stream   Stream
	AppendID uint64
	// Answered reports that the log confirmed the append at Offset.
	Answered bool
	Offset   int64
	// NotApplied reports that the append certainly had no effect (refused or never sent).
	NotApplied bool
}

// ProbeEnded reports the end of a probe of an upstream.
type ProbeEnded struct {
	Upstream ident.UpstreamID
	OK       bool
	Report   LoadReport
}

// StopRequested reports that the operator asked the daemon to stop.
type StopRequested struct{}

func (Tick) event()             {}
func (RequestArrived) event()   {}
func (RequestCancelled) event() {}
func (IDWanted) event()         {}
func (AttemptAnswered) event()  {}
func (AttemptEnded) event()     {}
func (RelayEnded) event()       {}
func (PeerMessage) event()      {}
func (HostListRead) event()     {}
func (HostListFailed) event()   {}
func (LogRead) event()          {}
func (LogReadFailed) event()    {}
func (AppendEnded) event()      {}
func (ProbeEnded) event()       {}
func (StopRequested) event()    {}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeComplete means the whole answer was read.
	OutcomeComplete Outcome = iota + 1
	// OutcomeNotSent means that no byte of the request can have reached the upstream.
	OutcomeNotSent
	// OutcomeShed means the upstream answered that it did not run the request.
	OutcomeShed
	// OutcomeReset means the connection failed after a byte may have left and before a whole head arrived.
	OutcomeReset
	// OutcomeTruncated means the body ended before its announced end.
	OutcomeTruncated
	// OutcomeDeadline means the deadline passed after a byte may have left.
	OutcomeDeadline
	// OutcomeCancelled means the host cancelled the attempt.
	OutcomeCancelled
	// OutcomeMismatched means the answer belonged to another request.
	OutcomeMismatched
)

// Answer is a stored answer; it is immutable.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Role tells hosts and upstreams apart in the host list.
type Role int

// Roles in the host list.
const (
	RoleHost Role = iota + 1
	RoleUpstream
)

// HostEntry is one line of the host list.
type HostEntry struct {
	// ID is an ident.HostID or an ident.UpstreamID, as Role says.
	ID         string
	Role       Role
	Service    ident.ServiceName
	DataCentre ident.DataCentre
	// Address takes requests; PeerAddress is set for hosts only. Both are IP and port.
	Address     string
	PeerAddress string
	Leaving     bool
}

// LoadReport is an upstream's own report. It is a hint: it lags and may mislead.
type LoadReport struct {
	Incarnation string
	Slots       int
	InFlight    int
	Cold        bool
	Draining    bool
}

// Stream names a stream of the platform's log.
type Stream string

// Streams that the system uses.
const (
	StreamConfig Stream = "config"
	StreamClaims Stream = "claims"
)

// Record is one record of a stream.
type Record struct {
	Offset int64
	Data   []byte
}
