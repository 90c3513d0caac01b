package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"sardinecross.example/lib/grant"
	"sardinecross.example/sardinegate/pool"
)

// maxWriteShare is the share of the time of a body that may pass between two reads if one that does not end is to be put down
// to the upstream, not to a caller that has stopped reading.
const maxWriteShare = 0.5

// streamedBody is the part of a long response that is read while it is sent to the caller. The attempt ends once, when the
// body has been read or closed or when the context of the attempt ends.
type streamedBody struct {
	io.ReadCloser
	ctx context.Context
	// complete is the outcome of the attempt if the body is read to its end.
	complete grant.Outcome
	// unknownLength is set if the upstream did not say how long the body is.
	unknownLength bool
	end           func(grant.Outcome)
	once          sync.Once

	begin time.Time

	mu sync.Mutex
	// readEndedAt is when the last read returned, at first begin; the zero time during a read.
	readEndedAt time.Time
	// longestWrite is the longest time between two reads so far.
	longestWrite time.Duration
}

// streamBody replaces the rest of a response's body by a streamedBody that calls end.
func streamBody(ctx context.Context, resp *pool.Response, complete grant.Outcome, end func(grant.Outcome)) {
	now := time.Now()
	b := &streamedBody{
		ReadCloser: resp.BodyRest, ctx: ctx, complete: complete, unknownLength: resp.ContentLength < 0, end: end,
		begin: now, readEndedAt: now,
	}
	resp.BodyRest = b
	context.AfterFunc(ctx, b.contextEnded)
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.setReadEnd(time.Time{})
	n, err := b.ReadCloser.Read(p)
	b.setReadEnd(time.Now())
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.endOnce(b.complete)
	case b.ctx.Err() != nil:
		b.contextEnded()
	default:
		b.endOnce(grant.Failed)
	}
	return n, err
}

// setReadEnd records that a read has ended at t, or that one begins if t is the zero time.
func (b *streamedBody) setReadEnd(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readEndedAt.IsZero() {
		b.longestWrite = max(b.longestWrite, time.Since(b.readEndedAt))
	}
	b.readEndedAt = t
}

// callerStopped reports whether the caller has stopped reading for a large part of the time.
func (b *streamedBody) callerStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := b.longestWrite
	if !b.readEndedAt.IsZero() {
		longest = max(longest, time.Since(b.readEndedAt))
	}
	return longest.Seconds() > maxWriteShare*time.Since(b.begin).Seconds()
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	b.endOnce(grant.Abandoned)
	return b.ReadCloser.Close()
}

// contextEnded ends the attempt before the end of the body. At the time limit, the upstream has failed if it sends without
// end and the caller has kept reading.
func (b *streamedBody) contextEnded() {
	if b.unknownLength && !b.callerStopped() && errors.Is(b.ctx.Err(), context.DeadlineExceeded) {
		b.endOnce(grant.Failed)
		return
	}
	b.endOnce(grant.Abandoned)
}

func (b *streamedBody) endOnce(o grant.Outcome) { b.once.Do(func() { b.end(o) }) }
