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
