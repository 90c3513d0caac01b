package entry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"sardinecross.example/sardinegate/pool"
)

// Guards against a request that is passed on though the host may be killed before its answer: its time limit ends later than
// the grace. It must be refused as not run, and one that ends in time served.
func TestStoppingHostAcceptsWhatItCanFinish(t *testing.T) {
	for name, c := range map[string]struct {
		grace  time.Duration
		status int
		sent   int
	}{
		"ends in time": {time.Minute, http.StatusOK, 1},
		"may not end":  {0, http.StatusServiceUnavailable, 0}, // the timeout of the route is 100 ms
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, map[string]responder{"a": respond(http.StatusOK, "Signed")})
			f.stop.Begin(time.Now().Add(-time.Millisecond), c.grace)
			w := f.request("/once/x", "")
			if w.Code != c.status || len(f.sender.sent) != c.sent {
				t.Errorf("status %d after %d attempts, want %d after %d", w.Code, len(f.sender.sent), c.status, c.sent)
			}
			if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("the refusal says no time to retry")
			}
			f.assertAttemptsEnded(t, c.sent)
		})
	}
}

// Guards against a retry that may be cut: the first attempt came before the signal to stop.
func TestStoppingHostDoesNotRetryWhatItCannotFinish(t *testing.T) {
	f := newFixture(t, nil)
	refuse := respond(http.StatusServiceUnavailable, "Not-Run")
	f.sender.responses = map[string]responder{
		"a": func(ctx context.Context, r *pool.Request) (*pool.Response, error) {
			f.stop.Begin(time.Now(), time.Millisecond)
			return refuse(ctx, r)
		},
		"b": respond(http.StatusOK, "Signed"),
	}
	if w := f.request("/once/x", ""); w.Code != http.StatusServiceUnavailable || len(f.sender.sent) != 1 {
		t.Errorf("status %d after %d attempts, want a refusal after 1", w.Code, len(f.sender.sent))
	}
	f.assertAttemptsEnded(t, 1)
}

// Guards against a caller whose connection is cut without an answer, since its request from before the signal is still at work when
// the host stops, and against "not run" told of it.
func TestRequestInFlightIsAnsweredAtTheEndOfTheGrace(t *testing.T) {
	f := newFixture(t, nil)
	ended := make(chan error, 1)
	f.sender.responses = map[string]responder{"a": func(ctx context.Context, r *pool.Request) (*pool.Response, error) {
		f.stop.Begin(time.Now(), time.Millisecond)
		resp, err := hang(ctx, r)
		ended <- ctx.Err()
		return resp, err
	}}
	w := f.request("/once/x", "")
	if w.Code != http.StatusGatewayTimeout || w.Body.String() != "host has stopped\n" {
		t.Errorf("status %d, %q, want an answer that the host has stopped", w.Code, w.Body)
	}
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the attempt ended with %v, want it to be cancelled before the timeout of the route", err)
	}
	f.assertAttemptsEnded(t, 1)
}
