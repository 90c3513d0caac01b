package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Effect is an output of the reducer, carried out by the daemon's runner.
type Effect interface{ effect() }

// StartAttempt sends a request to an upstream.
type StartAttempt struct {
	ID       ident.RequestID
	Attempt  int
	Upstream ident.UpstreamID
	Address  string
	Class    ident.ClassName
	// Deadline ends the attempt. StartBy is the latest time at which the first byte may be sent; an attempt that
	// cannot meet it is not sent and ends with OutcomeNotSent.
	Deadline, StartBy time.Duration
	// Idempotent reports that the class is idempotent, so that a cancellation may be passed on to the upstream.
	Idempotent bool
	// Capture requests a copy of the answer in AttemptEnded.
	Capture bool
}

// CancelAttempt ends an attempt early; AttemptEnded follows.
type CancelAttempt struct {
	ID      ident.RequestID
	Attempt int
}

// Deliver streams the answer of an attempt to the caller. At most one is sent for each request. If the caller has
// closed its connection, the runner reads the answer to its end and discards it.
type Deliver struct {
	ID      ident.RequestID
	Attempt int
}

// Replay sends a stored answer to the caller.
type Replay struct {
	ID     ident.RequestID
	Answer *Answer
}

// Refuse answers the caller with an error from sardinecross itself, not from an upstream.
type Refuse struct {
	ID         ident.RequestID
	Reason     Reason
	Run        Run
	RetryAfter time.Duration
}

// Relay passes a request to another host and that host's answer back to the caller. RelayEnded follows. If the answer
// did not reach the caller, Refuse follows RelayEnded.
type Relay struct {
	ID ident.RequestID
	To ident.HostID
	// Deadline is the deadline of the request in this host's time.
	Deadline time.Duration
}

// DeliverID sends a new request ID to the caller, in answer to IDRequested.
type DeliverID struct {
	ID       ident.RequestID
	Token    string
	ValidFor time.Duration
}

// SendPeer sends a message to another host. The message may be lost.
type SendPeer struct {
	To      ident.HostID
	Message Message
}

// ConnectPeers tells the runner with which hosts to maintain links.
type ConnectPeers struct{ Hosts []PeerAddress }

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

// Append appends a record to a stream; AppendEnded follows.
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

// Notice is a decision or an observation that the runner writes as a line to the daemon's own log output.
type Notice struct {
	Warn  bool
	Name  string
	Attrs []NoticeAttr
}

// NoticeAttr is an attribute of a notice.
type NoticeAttr struct{ Key, Value string }

// Stop reports that the graceful shutdown is complete: no request is left to serve.
type Stop struct{}

func (StartAttempt) effect()  {}
func (CancelAttempt) effect() {}
func (Deliver) effect()       {}
func (Replay) effect()        {}
func (Refuse) effect()        {}
func (Relay) effect()         {}
func (DeliverID) effect()     {}
func (SendPeer) effect()      {}
func (ConnectPeers) effect()  {}
func (ReadLog) effect()       {}
func (Append) effect()        {}
func (ReadHostList) effect()  {}
func (Probe) effect()         {}
func (Notice) effect()        {}
func (Stop) effect()          {}

// Run says whether an upstream ran a refused request.
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

// Reason is the reason for a refusal. It is sent as the code in the body of the answer.
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
