package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Effect is one output of the reducer, carried out by the daemon's runner.
type Effect interface{ effect() }

// StartAttempt sends a request to an upstream.
type StartAttempt struct {
	ID       ident.RequestID
	Attempt  int
	Upstream ident.UpstreamID
	Address  string
	Class    ident.ClassName
	// Deadline ends the attempt; StartBy is the last time at which the first byte may leave. An attempt that is
	// late is not sent and ends with OutcomeNotSent.
	Deadline, StartBy time.Duration
	// Idempotent allows cancellation to be passed on to the upstream.
	Idempotent bool
	// Capture asks for the answer in AttemptEnded.
	Capture bool
}

// CancelAttempt ends an attempt early; AttemptEnded follows.
type CancelAttempt struct {
	ID      ident.RequestID
	Attempt int
}

// Deliver streams the answer of an attempt to the caller. At most one is sent for each request. If the caller has left, the
// runner reads the answer to its end and drops it.
type Deliver struct {
	ID      ident.RequestID
	Attempt int
}

// Replay sends a stored answer to the caller.
type Replay struct {
	ID     ident.RequestID
	Answer *Answer
}

// Refuse answers the caller with an error of sardinecross itself.
type Refuse struct {
	ID         ident.RequestID
	Reason     Reason
	Run        Run
	RetryAfter time.Duration
}

// Relay passes the request on to another host and its answer back. RelayEnded follows; Refuse follows it if the other
// host's answer did not reach the caller.
type Relay struct {
	ID ident.RequestID
	To ident.HostID
	// Deadline is the request's, on this host's clock.
	Deadline time.Duration
}

// IDIssued answers IDWanted.
type IDIssued struct {
	ID       ident.RequestID
	Token    string
	ValidFor time.Duration
}

// SendPeer sends a message to another host; it may be lost.
type SendPeer struct {
	To      ident.HostID
	Message Message
}

// Peers gives the runner the hosts to keep links with.
type Peers struct{ Hosts []PeerAddress }

// PeerAddress is a host's listener for other hosts.
type PeerAddress struct {
	ID      ident.HostID
	Address string
}

// ReadLog reads a stream from an offset; LogRead or LogReadFailed follows.
type ReadLog struct {
	Stream Stream
	From   int64
}

// Append appends to a stream; AppendEnded follows.
type Append struct {
	Stream   Stream
	AppendID uint64
	Data     []byte
}

// ReadHostList reads the host list; HostListRead or HostListFailed follows.
type ReadHostList struct{}

// Probe asks an upstream for its load report; ProbeEnded follows.
type Probe struct {
	Upstream ident.UpstreamID
	Address  string
}

// Notice is a decision worth a log line.
type Notice struct {
	Warn  bool
	Name  string
	Attrs []NoticeAttr
}

// NoticeAttr is one key and value of a notice.
type NoticeAttr struct{ Key, Value string }

// Stop tells the runner that nothing is left to serve.
type Stop struct{}

func (StartAttempt) effect()  {}
func (CancelAttempt) effect() {}
func (Deliver) effect()       {}
func (Replay) effect()        {}
func (Refuse) effect()        {}
func (Relay) effect()         {}
func (IDIssued) effect()      {}
func (SendPeer) effect()      {}
func (Peers) effect()         {}
func (ReadLog) effect()       {}
func (Append) effect()        {}
func (ReadHostList) effect()  {}
func (Probe) effect()         {}
func (Notice) effect()        {}
func (Stop) effect()          {}

// Run says whether a refused request was run by an upstream.
type Run int

// Values of Run.
const (
	// RunNo means that no upstream ran or will run the request.
	RunNo Run = iota + 1
	// RunUnknown means that an upstream may have run the request or may still run it.
	RunUnknown
	// RunYes means that an upstream ran the request.
	RunYes
)

// String returns the value of the X-Run header.
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Reason is why a request was refused; its text is the code in the answer's body.
type Reason string

// Reasons of a refusal by the reducer. The reasons for malformed requests are the front's own.
const (
	ReasonUnknownClass   Reason = "unknownClass"
	ReasonConfigStale    Reason = "configStale"
	ReasonQueueFull      Reason = "queueFull"
	ReasonNoCapacity     Reason = "noCapacity"
	ReasonDeadline       Reason = "deadlinePassed"
	ReasonStopping       Reason = "stopping"
	ReasonUpstreamFailed Reason = "upstreamFailed"
	ReasonUnknownToken   Reason = "unknownRequestId"
	ReasonExpiredToken   Reason = "expiredRequestId"
	ReasonHostGone       Reason = "hostGone"
	ReasonTableFull      Reason = "tableFull"
	ReasonClaimFailed    Reason = "claimFailed"
	ReasonInProgress     Reason = "inProgress"
	ReasonAnswerTooLarge Reason = "answerNotStored"
)
