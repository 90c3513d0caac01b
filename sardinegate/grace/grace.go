// Package grace decides what a host that is being stopped can still finish before its process is killed.
package grace

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// acceptMargin, answerMargin and cutMargin are the lengths of the last parts of the grace in which the host accepts no
	// new connections, has no requests in flight any more, and has cut the connections that were still open. A short grace
	// has shorter ones; see margin.
	acceptMargin = 2 * time.Second
	answerMargin = 300 * time.Millisecond
	cutMargin    = 200 * time.Millisecond
	// longestAcceptShare, longestAnswerShare and longestCutShare bound the margins, as shares of the grace. The platform wants
	// requests that came before the signal to be finished unless they last into the last sixth.
	longestAcceptShare = 1.0 / 2
	longestAnswerShare = 1.0 / 8
	longestCutShare    = 1.0 / 16
)

// Period is the time from the signal to stop a host until its process is killed. It is immutable.
type Period struct {
	begin  time.Time
	length time.Duration
}

// margin returns the time at which the last part of the period begins that is d long, at most a share of the period.
func (p Period) margin(d time.Duration, share float64) time.Time {
	longest := time.Duration(share * float64(p.length))
	return p.begin.Add(p.length - min(d, longest))
}

// AcceptUntil returns the time until which the host accepts connections.
func (p Period) AcceptUntil() time.Time { return p.margin(acceptMargin, longestAcceptShare) }

// AnswerBy returns the time by which every request has its answer.
func (p Period) AnswerBy() time.Time { return p.margin(answerMargin, longestAnswerShare) }

// CutAt returns the time at which connections that are still open are cut.
func (p Period) CutAt() time.Time { return p.margin(cutMargin, longestCutShare) }

// Stop tells whether a host is being stopped, and what it can still finish. It is safe for concurrent use.
type Stop struct {
	period atomic.Pointer[Period] // nil until the host is being stopped
	ctx    context.Context        // done once every request has to end
	cancel context.CancelFunc
}

// New returns a Stop of a host that is not being stopped.
func New() *Stop {
	s := &Stop{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Begin records that the host is being stopped and that its process is killed after the grace. Further calls change nothing
// and return the same period.
func (s *Stop) Begin(now time.Time, grace time.Duration) Period {
	p := &Period{now, grace}
	if s.period.CompareAndSwap(nil, p) {
		time.AfterFunc(time.Until(p.AnswerBy()), s.cancel)
	}
	return *s.period.Load()
}

// Begun reports whether the host is being stopped.
func (s *Stop) Begun() bool { return s.period.Load() != nil }

// MayFinish reports whether the host can finish a request that ends by a deadline, whatever its upstream does.
func (s *Stop) MayFinish(deadline time.Time) bool {
	p := s.period.Load()
	return p == nil || !deadline.After(p.AnswerBy())
}

// Context returns a context that is done once every request has to end.
func (s *Stop) Context() context.Context { return s.ctx }

// Close ends the context.
func (s *Stop) Close() { s.cancel() }
