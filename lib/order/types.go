// Package order keeps a non-idempotent request from running more than once. An order is all requests that carry the
// same token or key. A token is a request ID that a host issued; only that host runs its order. A key is chosen by the
// caller; a host runs its order only after its claim of the key is the first one in a log that all hosts share. The
// answer of an order is stored and replayed to retries. The package does no I/O and reads no clock: times and random
// numbers are arguments.
package order

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Request holds the properties of a request that decide whether it may run.
type Request struct {
	// ID is unique within this incarnation.
	ID    ident.RequestID
	Class ident.ClassName
	// Token is the text of an issued request ID; at most one of Token and Key is set.
	Token string
	// Key is the caller's key. It is compared as a whole: the code that calls Begin must include the scope (class,
	// tenant) in it.
	Key string
	// Deadline is a time on the clock of this host; the request is never started at or after it.
	Deadline time.Duration
	// Retry reports that the caller marked the request as a retry. Where the outcome of an earlier request with the same
	// key is not known, a retry is refused with RunUnknown instead of RunNo.
	Retry bool
	// Relayed reports that another host relayed the request to this one; it is not relayed again.
	Relayed bool
}

// Action says what to do with a request.
type Action int

// Actions of a Verdict.
const (
	// Start means: run the request now, then call Finish exactly once. For a request with a token or key, call MayStart
	// immediately before each attempt.
	Start Action = iota + 1
	// Wait means: keep the request. Apply, Finish or Expire returns a later verdict on it, unless it is cancelled first.
	Wait
	// Replay means: send the stored Answer to the caller.
	Replay
	// Relay means: send the request to the host incarnation To; if that no longer exists, apply RefuseHostGone instead.
	Relay
	// Refuse means: answer the caller with Reason and Run.
	Refuse
)

// Verdict says what to do with one request.
type Verdict struct {
	Request ident.RequestID
	Action  Action
	// Answer is set for Replay.
	Answer *Answer
	// To is set for Relay.
	To ident.Incarnation
	// Reason and Run are set for Refuse.
	Reason Reason
	Run    Run
}

// Run says whether an upstream ran a refused or finished request. The values equal those of core.Run.
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

// Reason is why a request was refused. The values equal those of core.Reason.
type Reason string

// Reasons of a refusal.
const (
	ReasonUnknownToken   Reason = "unknownRequestId"
	ReasonExpiredToken   Reason = "expiredRequestId"
	ReasonHostGone       Reason = "hostGone"
	ReasonTableFull      Reason = "tableFull"
	ReasonClaimFailed    Reason = "claimFailed"
	ReasonDeadline       Reason = "deadlinePassed"
	ReasonUpstreamFailed Reason = "upstreamFailed"
	ReasonAnswerTooLarge Reason = "answerNotStored"
)

// Answer is a stored answer of an upstream; it must not be modified. Its fields equal those of core.Answer, so that the
// two types convert into each other.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Size returns the number of bytes that count against MaxAnswerBytes and MaxStoredBytes.
func (a *Answer) Size() int {
	n := len(a.Body)
	for k, values := range a.Header {
		n += len(k)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Limits bound the memory and the log traffic of a Deduplicator; a field that is zero takes its default.
type Limits struct {
	// Tokens is the largest number of tokens kept at one time (default 100,000).
	Tokens int
	// TokenLifetime is how long a token is valid after it was issued (default 60 s).
	TokenLifetime time.Duration
	// Keys is the number of kept keys at which this host stops claiming new ones (default 200,000). Keys that other
	// hosts claimed are included. Claims read from the log are kept up to twice this number.
	Keys int
	// KeyLifetime is how long a claim is kept after it was read from the log; it must be at most half of the log's
	// retention (default 10 min).
	KeyLifetime time.Duration
	// ClaimTimeout bounds the time that a request waits for its claim to be read back; an earlier deadline of the
	// request ends the wait as well (default 1 s).
	ClaimTimeout time.Duration
	// MaxAnswerBytes is the largest size of one stored answer (default 64 KiB).
	MaxAnswerBytes int
	// MaxStoredBytes is the largest total size of all stored answers (default 64 MiB). An answer above either bound is
	// not stored.
	MaxStoredBytes int
	// AppendsPerSecond is the rate of appends to the log that all hosts share evenly (default 250).
	AppendsPerSecond float64
}

// Record is one record of the stream of claims.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is the result of one read of the stream of claims.
type Batch struct {
	// Records are in the order of their offsets, without gaps.
	Records []Record
	// First is the offset of the oldest record that the log retains, Next the offset that the next append will get.
	First, Next int64
}

// Append is one append to the stream of claims, to be sent to the log.
type Append struct {
	// ID identifies the append within one Deduplicator; FinishAppend takes it.
	ID   uint64
	Data []byte
}

// AppendResult is the outcome of an append.
type AppendResult int

// Results of an append.
const (
	// AppendConfirmed means that the log confirmed the append. Which host wins a key is known only once the record is
	// read back.
	AppendConfirmed AppendResult = iota + 1
	// AppendUnknown means that the record may be in the log or may still get there.
	AppendUnknown
	// AppendNotApplied means that the record is not in the log and never will be.
	AppendNotApplied
)

// Token is an issued request ID.
type Token struct {
	Text     string
	ValidFor time.Duration
}

// Stats holds the sizes of the tables of a Deduplicator and its counters since the start.
type Stats struct {
	Tokens, Keys, StoredBytes int
	// PendingClaims is the number of this host's claims that have not been read back.
	PendingClaims int
	// Abandoned counts claims given up before they were read back, Released those whose release was queued, and
	// Conflicts those whose key was held by another claim. BadRecords counts records that could not be decoded.
	Abandoned, Released, Conflicts, BadRecords uint64
}

// RefuseHostGone returns the verdict on a request that must be relayed to an incarnation that no longer exists. That
// incarnation may have run the request.
func RefuseHostGone(id ident.RequestID) Verdict {
	return Verdict{Request: id, Action: Refuse, Reason: ReasonHostGone, Run: RunUnknown}
}

func refuse(id ident.RequestID, reason Reason, run Run) Verdict {
	return Verdict{Request: id, Action: Refuse, Reason: reason, Run: run}
}
