package broker

import (
	"context"
	"testing"
	"time"

	"sardinecross.example/lib/grant"
)

// Guards against hosts that use the whole retry budget each after they have been cut off from each other, while no change of the
// list of upstreams reaches them either.
func TestHostThatIsCutOffHasItsPartOfTheRetryBudget(t *testing.T) {
	all := startHosts(t, "a", "b", "c", "d", "e")
	h := all["a"]
	for name, other := range all {
		if name != "a" {
			other.node.Close()
		}
	}
	defer h.node.Close()
	for _, alive := h.node.Reach(); alive > 1; _, alive = h.node.Reach() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * expireInterval) // within this time the decisions learn of it
	const slack, window = 200, time.Second
	h.SetRetryBudget(0, slack, window)
	first := newRequest()
	h.EndAttempt(h.Decide(context.Background(), first, nil), grant.AttemptEnd{Outcome: grant.Served})
	retries := 0
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(time.Millisecond) {
		req := newRequest()
		req.CountsAsRetry = true
		d := h.Decide(context.Background(), req, nil)
		if d.Upstream == "" {
			continue
		}
		retries++
		h.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Served})
	}
	if most := slack / len(all); retries == 0 || retries > most {
		t.Errorf("%d retries within a window on one of %d hosts that are cut off, want some, at most %d", retries, len(all), most)
	}
}
