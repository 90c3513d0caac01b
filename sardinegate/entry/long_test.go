package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"sardinecross.example/lib/grant"
	"sardinecross.example/sardinegate/pool"
)

// Guards against slots of sound upstreams that stay occupied because a hedge was offered while the caller reads a long response:
// nobody used it or ended it.
func TestHedgeOfferedDuringALongResponseEnds(t *testing.T) {
	f := newFixture(t, map[string]responder{"a": func(ctx context.Context, r *pool.Request) (*pool.Response, error) {
		resp, err := served(ctx, r)
		rest, w := io.Pipe()
		time.AfterFunc(50*time.Millisecond, func() { _ = w.Close() })
		resp.BodyRest, resp.ContentLength = rest, -1
		return resp, err
	}})
	f.selector.offerLate = true
	if w := f.request("/safe/x", ""); w.Code != 200 {
		t.Fatalf("got status %d, want 200", w.Code)
	}
	f.assertAttemptsEnded(t, 2) // the attempt and the hedge
}

// Guards against an upstream that goes on getting requests although it sends long responses that are not for the caller: the
// request was served by another upstream, and the attempt counted as abandoned.
func TestLongResponseThatIsNotForTheCallerCountsAgainstTheUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		respond responder
		length  int64
	}{
		"no receipt":        {respond(200), -1},
		"error":             {respond(500, "Signed"), -1},
		"impossible length": {served, 1e12},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, map[string]responder{"b": served, "a": func(ctx context.Context, r *pool.Request) (*pool.Response, error) {
				resp, err := c.respond(ctx, r)
				resp.BodyRest, resp.ContentLength = &bodyReader{ctx, 0}, c.length
				return resp, err
			}})
			if w := f.request("/safe/x", ""); w.Code != 200 {
				t.Fatalf("got status %d, want 200 from b", w.Code)
			}
			f.assertAttemptsEnded(t, 2)
			if got := f.selector.ended[0].Outcome; got != grant.Failed {
				t.Errorf("the first attempt to end has outcome %d, want %d", got, grant.Failed)
			}
		})
	}
}

// Guards against an upstream that goes on getting orders although it answers none of them, and against one that is avoided
// because a caller sent its request slowly or left.
func TestSilenceUntilTheTimeLimitCountsAgainstTheUpstream(t *testing.T) {
	late, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	left, leave := context.WithCancel(t.Context())
	leave()
	for name, c := range map[string]struct {
		ctx       context.Context
		answering time.Duration
		sent      bool
		want      grant.Outcome
	}{
		"silent":       {late, 0, true, grant.TimedOut},
		"slow request": {late, 0, false, grant.Abandoned},
		"caller left":  {left, 0, true, grant.Abandoned},
		"began":        {late, time.Millisecond, true, grant.Abandoned},
	} {
		t.Run(name, func(t *testing.T) {
			if _, got := classifyError(c.ctx, &pool.ExchangeError{AnsweringFor: c.answering, Err: io.ErrUnexpectedEOF}, c.sent); got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against a sound upstream that counts as failed because its long response begins when the time limit has just passed.
func TestLengthOfALateResponseSaysNothing(t *testing.T) {
	for left, want := range map[time.Duration]bool{time.Second: false, time.Millisecond: true, 0: false, -time.Millisecond: false} {
		if got := cannotArrive(1e9, left); got != want {
			t.Errorf("1 GB with %v left cannot arrive: %t, want %t", left, got, want)
		}
	}
}
