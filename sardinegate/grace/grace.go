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
	answerMargin = 200 * time.Millisecond
	cutMargin    = 100 * time.Millisecond
	// longestMarginShare bounds each margin, as a share of the grace.
	longestMarginShare = 0.5
)

// Period is the time from the signal to stop a host until its process is killed. It is immutable.
type Period struct {
	begin  time.Time
	length time.Duration
}

// margin returns the time at which the last part of the period begins that is d long, or shorter in a short period.
func (p Period) margin(d time.Duration) time.Time {
	longest := time.Duration(longestMarginShare * float64(p.length))
	return p.begin.Add(p.length - min(d, longest))
}

// AcceptUntil returns the time until which the host accepts connections.
func (p Period) AcceptUntil() time.Time { return p.margin(acceptMargin) }

// AnswerBy returns the time by which every request has its answer.
func (p Period) AnswerBy() time.Time { return p.margin(answerMargin) }

// CutAt returns the time at which connections that are still open are cut.
func (p Period) CutAt() time.Time { return p.margin(cutMargin) }

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
