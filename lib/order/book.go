package order

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// Book holds the orders of one host incarnation. It is not safe for concurrent use.
type Book struct {
	self   ident.Incarnation
	limits Limits
}

// NewBook returns an empty book of the given incarnation.
func NewBook(self ident.Incarnation, limits Limits) *Book { return &Book{self: self, limits: limits} }

// Issue returns a new request ID. The random number must not be predictable by callers. It fails with *FullError when the
// table is full.
func (b *Book) Issue(now time.Duration, rnd uint64, class ident.ClassName) (Token, error) {
	return Token{}, nil
}

// Begin decides a request that arrived. A request without token and key is started and leaves no trace.
func (b *Book) Begin(now time.Duration, r Request) Verdict { return Verdict{} }

// MayStart reports whether an attempt of the request may leave now: it was decided by Start, is not finished, and its deadline
// has not passed. A host that resumes after a freeze is stopped here. A request that the book does not know has no state to protect
// and may start.
func (b *Book) MayStart(now time.Duration, id ident.RequestID) bool { return false }

// Finish ends a request that was decided by Start and returns verdicts for the requests that waited for it. After RunNo the same
// token or key may be started again; after RunYes and RunUnknown never.
func (b *Book) Finish(now time.Duration, id ident.RequestID, run Run, answer *Answer) []Verdict {
	return nil
}

// Cancel drops a request whose caller left. A request that has started is not affected: its answer is stored for a retry.
func (b *Book) Cancel(now time.Duration, id ident.RequestID) {}

// Expire abandons claims and attached requests whose time has passed and removes expired entries.
func (b *Book) Expire(now time.Duration) []Verdict { return nil }

// Wake returns the earliest time at which Expire or Flush has work to do; none means there is nothing to wait for.
func (b *Book) Wake(now time.Duration) (at time.Duration, ok bool) { return 0, false }

// Flush returns the next append of claims and releases if there is one and the append budget allows it; hosts is the number of
// listed hosts that share the budget.
func (b *Book) Flush(now time.Duration, hosts int) (Append, bool) { return Append{}, false }

// Appended reports the end of an append.
func (b *Book) Appended(now time.Duration, id uint64, result AppendResult) {}

// Next returns the offset from which to read the stream of claims; a book starts at the oldest retained record (0).
func (b *Book) Next() int64 { return 0 }

// Waiting returns the number of claims that wait for their read-back; while it is not zero the stream should be read often.
func (b *Book) Waiting() int { return 0 }

// Read applies records of the stream of claims, after Expire, and returns verdicts for the requests that waited for them.
// Records below Next are ignored.
func (b *Book) Read(now time.Duration, batch Batch) []Verdict { return nil }

// Stats returns counters for the status page.
func (b *Book) Stats() Stats { return Stats{} }
