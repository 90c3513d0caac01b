// Package order keeps a non-idempotent request from running more than once: issued request IDs, claims of callers' keys in
// the log, and stored answers. It is pure: time and random numbers are arguments.
package order

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Request is what the book needs to know about a request.
type Request struct {
	// ID is unique within this incarnation.
	ID    ident.RequestID
	Class ident.ClassName
	// Token is an issued request ID; at most one of Token and Key is set.
	Token string
	// Key is the caller's key. The book treats it as opaque: whoever calls Begin includes the scope (class, tenant) in it.
	Key string
	// Deadline is absolute; a request is never started at or after it.
	Deadline time.Duration
	// Retry reports that the caller marked the request as a repetition. Where the book cannot tell what became of an
	// earlier request with the same key, a repetition is refused with RunUnknown instead of RunNo.
	Retry bool
	// Relayed reports that another host passed the request on; it is not relayed again.
	Relayed bool
}

// Action is what to do with a request.
type Action int

// Actions of a Verdict.
const (
	// Start means: run the request now, then call Finish exactly once. Check MayStart immediately before each attempt.
	Start Action = iota + 1
	// Wait means that a later verdict about this request follows from Read, Finish, Expire or Cancel.
	Wait
	// Replay means: send Answer to the caller.
	Replay
	// Relay means: pass the request on to the incarnation To; if there is none, refuse it with Gone.
	Relay
	// Refuse means: answer with Reason and Run.
	Refuse
)

// Verdict decides one request.
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

// Run says whether a refused or finished request was run by an upstream; the values are those of core.Run.
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

// Reason is why a request was refused; the values are those of core.Reason.
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

// Answer is a stored answer; it is immutable. Its fields are those of core.Answer, so the two convert into each other.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Size returns the number of bytes that count against the limits.
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

// Limits bound the book; a field that is zero takes its default.
type Limits struct {
	// IDs is the largest number of issued IDs kept at one time (default 100,000).
	IDs int
	// IDLifetime is the validity of an issued ID (default 60 s).
	IDLifetime time.Duration
	// Keys is the largest number of claimed keys kept at one time, those of other hosts included (default 200,000).
	Keys int
	// KeyLifetime is how long a claim is remembered after it was read; it is at most half of the log's retention (default 10 min).
	KeyLifetime time.Duration
	// ClaimWait ends the wait for a claim before the request's deadline does (default 1 s).
	ClaimWait time.Duration
	// AnswerBytes is the largest stored answer (default 64 KiB).
	AnswerBytes int
	// StoredBytes bounds all stored answers together (default 64 MiB). An answer above either bound is not stored.
	StoredBytes int
	// Appends is the log's budget in appends per second, shared by all hosts (default 250).
	Appends float64
}

// Record is one record of the stream of claims.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is one read of the stream of claims.
type Batch struct {
	// Records are in the order of their offsets, without gaps.
	Records []Record
	// First is the oldest retained offset, Next the offset of the next append.
	First, Next int64
}

// Append is one append to the stream of claims.
type Append struct {
	// ID numbers the appends of this book.
	ID   uint64
	Data []byte
}

// AppendResult is how an append ended.
type AppendResult int

// Results of an append.
const (
	// Answered means that the log confirmed the append. Only reading the record back decides a claim.
	Answered AppendResult = iota + 1
	// Unanswered means that the append may have taken effect or may still do so.
	Unanswered
	// NotApplied means that the append certainly had no effect and never will.
	NotApplied
)

// Token is an issued request ID.
type Token struct {
	Text     string
	ValidFor time.Duration
}

// Stats counts what the book holds and has met.
type Stats struct {
	IDs, Keys, StoredBytes int
	// Waiting is the number of claims that wait for their read-back.
	Waiting int
	// Abandoned, Released and Lost count claims; BadRecords counts records that could not be decoded.
	Abandoned, Released, Lost, BadRecords uint64
}

// Gone returns the verdict on a request whose incarnation no longer exists: it may have run the request.
func Gone(id ident.RequestID) Verdict {
	return Verdict{Request: id, Action: Refuse, Reason: ReasonHostGone, Run: RunUnknown}
}

func refuse(id ident.RequestID, reason Reason, run Run) Verdict {
	return Verdict{Request: id, Action: Refuse, Reason: reason, Run: run}
}
