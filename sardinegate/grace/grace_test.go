package grace

import (
	"testing"
	"time"
)

const length = 6 * time.Second

// Guards against a host that is not being stopped and refuses requests.
func TestRequestsAreAcceptedBeforeTheStop(t *testing.T) {
	s := New()
	defer s.Close()
	if s.Begun() || !s.MayFinish(time.Now().Add(time.Hour)) || s.Context().Err() != nil {
		t.Error("a host that is not being stopped refuses or ends requests")
	}
}

// Guards against a request that is accepted though its upstream may be at work when the process is killed, and against one that is
// refused though it ends before.
func TestRequestsAreAcceptedIfTheyEndInTime(t *testing.T) {
	s := New()
	defer s.Close()
	now := time.Now()
	p := s.Begin(now, length)
	for _, c := range []struct {
		end  time.Duration
		want bool
	}{{0, true}, {length - answerMargin, true}, {length - answerMargin + 1, false}, {length, false}, {time.Hour, false}} {
		if got := s.MayFinish(now.Add(c.end)); got != c.want {
			t.Errorf("a request that ends %v after the signal is accepted: %t, want %t", c.end, got, c.want)
		}
	}
	if !s.Begun() || !p.AcceptUntil().Before(p.AnswerBy()) || !p.AnswerBy().Before(p.CutAt()) || !p.CutAt().Before(now.Add(length)) {
		t.Errorf("accepts until %v, answers by %v, cuts at %v, want this order within %v", p.AcceptUntil(), p.AnswerBy(), p.CutAt(), length)
	}
}

// Guards against an end of the grace that moves when a further signal comes, with a shorter or a longer grace.
func TestLaterSignalsDoNotMoveTheEnd(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, time.Hour} {
		s := New()
		now := time.Now()
		first := s.Begin(now, length)
		if second := s.Begin(now.Add(time.Second), grace); second != first {
			t.Errorf("a second signal with a grace of %v moves the end from %v to %v", grace, first.CutAt(), second.CutAt())
		}
		s.Close()
	}
}

// Guards against a short grace that has no time for requests, or parts in another order.
func TestShortGrace(t *testing.T) {
	for _, length := range []time.Duration{0, 100 * time.Millisecond, time.Second, 3 * time.Second} {
		now := time.Now()
		p := Period{now, length}
		if p.AcceptUntil().Before(now.Add(length/2)) || p.AnswerBy().Before(p.AcceptUntil()) || p.CutAt().Before(p.AnswerBy()) || p.CutAt().After(now.Add(length)) {
			t.Errorf("grace %v: accepts until %v, answers by %v, cuts at %v after the signal", length, p.AcceptUntil().Sub(now), p.AnswerBy().Sub(now), p.CutAt().Sub(now))
		}
	}
}

// Guards against a short grace in which requests that came before the signal are ended before its last sixth, up to which the platform
// wants requests to be finished.
func TestRequestsMayTakeFiveSixthsOfTheGrace(t *testing.T) {
	for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 1200 * time.Millisecond, 3 * time.Second, length} {
		now := time.Now()
		if end := (Period{now, length}).AnswerBy().Sub(now); end < length*5/6 {
			t.Errorf("grace %v: requests are ended %v after the signal, want %v or later", length, end, length*5/6)
		}
	}
}

// Guards against requests in flight that are not ended before the process is killed.
func TestContextEndsBeforeTheGrace(t *testing.T) {
	s := New()
	defer s.Close()
	s.Begin(time.Now().Add(-length), length)
	select {
	case <-s.Context().Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the context is not done though the grace has ended")
	}
}
