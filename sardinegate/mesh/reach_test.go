package mesh

import (
	"log/slog"
	"testing"
	"time"
)

// Guards against hosts that are cut off and are forgotten at once, so that each of them takes the whole retry budget for itself, and
// against hosts that have stopped and hold a part of it.
func TestReachCountsHostsThatMayBeRunning(t *testing.T) {
	now := time.Minute
	n := newNode(Self{Host: "a"}, nil, func() time.Duration { return now }, slog.New(slog.DiscardHandler))
	for host, m := range map[string]Member{
		"b": {lastReceived: now},
		"c": {lastReceived: now, Leaving: true},
		"d": {lastReceived: now - aliveTimeout - time.Second},
		"e": {lastReceived: now - aliveTimeout - time.Second, Leaving: true},
	} {
		m.Host = host
		n.members[host] = &m
	}
	if known, alive := n.Reach(); known != 4 || alive != 3 {
		t.Errorf("%d hosts may be running and %d are alive, want 4 (a, b, c, d) and 3", known, alive)
	}
	now += forgetAfter
	if known, alive := n.Reach(); known != 3 || alive != 1 {
		t.Errorf("after %v of silence %d hosts may be running and %d are alive, want 3 (a, b, d) until they are forgotten and 1", forgetAfter, known, alive)
	}
}
