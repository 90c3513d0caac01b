package broker

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sardinecross.example/lib/common/logbuf"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
)

// leaving is a response in which an upstream says that it is leaving.
var leaving = fleet.ResponseInfo{Notice: fleet.Notice{Leaving: true}}

// ownerAndOthers returns the host that owns the service s, and the others.
func ownerAndOthers(all map[string]*host) (owner *host, others []*host) {
	for _, h := range all {
		name := h.node.RankHosts("s", false)[0]
		owner = all[name]
		break
	}
	for _, h := range all {
		if h != owner {
			others = append(others, h)
		}
	}
	return owner, others
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func closeNodes(all map[string]*host) {
	for _, h := range all {
		h.node.Close()
	}
}

// Guards against hosts that use a leaving upstream because they got none of the responses in which it said so: the owner must
// learn it from the host that got one, and the others from the owner. A host that is told must not tell others in turn.
func TestLeavingReachesOwnerAndOtherHosts(t *testing.T) {
	all := startHosts(t, "a", "b", "c")
	defer closeNodes(all)
	owner, others := ownerAndOthers(all)
	u := owner.view.Upstreams["u"]
	d := others[0].Decide(context.Background(), newRequest(), nil)
	if d.Upstream != "u" {
		t.Fatalf("got %+v, want u", d)
	}
	others[0].RecordNotice(u, leaving)
	if others[0].MaySend(u) {
		t.Error("the host that got the response may send")
	}
	others[0].EndAttempt(d, grant.AttemptEnd{Outcome: grant.Served})
	eventually(t, "the owner to learn it", func() bool { return !owner.MaySend(u) })
	eventually(t, "the third host to learn it", func() bool { return !others[1].MaySend(u) })
	for name, h := range all {
		if d := h.Decide(context.Background(), newRequest(), nil); d.Upstream != "" {
			t.Errorf("host %s was granted upstream %s, which is leaving", name, d.Upstream)
		}
	}
	again := u
	again.Started++
	if !owner.MaySend(again) {
		t.Error("the notice of an earlier lifetime of the upstream holds for the next one")
	}
	others[1].mu.Lock()
	repeated := others[1].state.LeavingReady(true)
	others[1].mu.Unlock()
	if len(repeated) > 0 {
		t.Errorf("a host that was told repeats %v", repeated)
	}
}

// Guards against a host that uses a leaving upstream after a restart, because nobody tells it before the next round: the hosts
// that own services, or would if the owner were gone, must tell a host that has just become alive.
func TestNewHostIsToldOfLeavingUpstreams(t *testing.T) {
	all := startHosts(t, "a", "b")
	defer closeNodes(all)
	owner, others := ownerAndOthers(all)
	u := owner.view.Upstreams["u"]
	for _, from := range []*host{owner, others[0]} {
		from.mu.Lock()
		from.state.ApplyLeaving(from.now(), u.Lifetime())
		from.mu.Unlock()
	}
	newcomer := others[0]
	newcomer.mu.Lock()
	newcomer.state = grant.New(grant.Settings{RetryWindow: time.Second}) // as after a restart
	newcomer.state.Update(0, newcomer.view)
	newcomer.mu.Unlock()
	if !newcomer.MaySend(u) {
		t.Fatal("the new host knows already")
	}
	owner.HostAlive(newcomer.deps.Host)
	eventually(t, "the new host to be told", func() bool { return !newcomer.MaySend(u) })
}

// Guards against an owner that grants an upstream, after a restart or because a message was lost, to a host that knows that it
// may not use it: the host must tell it with the unused attempt.
func TestOwnerLearnsFromAnUnusedAttempt(t *testing.T) {
	all := startHosts(t, "a", "b")
	defer closeNodes(all)
	owner, others := ownerAndOthers(all)
	h := others[0]
	u := h.view.Upstreams["u"]
	h.RecordNotice(u, fleet.ResponseInfo{Notice: fleet.Notice{RetryAfter: time.Minute}})
	d := h.Decide(context.Background(), newRequest(), nil)
	if d.Upstream != "u" {
		t.Fatalf("got %+v, want u", d)
	}
	h.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Unused})
	eventually(t, "the owner to refuse it to this host", func() bool {
		d := h.Decide(context.Background(), newRequest(), nil)
		if d.Upstream != "" {
			h.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Unused})
		}
		return d.Upstream == ""
	})
	if d := owner.Decide(context.Background(), newRequest(), nil); d.Upstream != "u" {
		t.Errorf("the owner got %+v, want u, which has only paused the other host", d)
	}
}

// Guards against one host that sends to an upstream while another goroutine of it has just read that the upstream wants
// nothing: the two race, and every request that begins after the record must be withheld.
func TestNoticeHoldsForConcurrentAttempts(t *testing.T) {
	all := startHosts(t, "a")
	defer closeNodes(all)
	h := all["a"]
	u := h.view.Upstreams["u"]
	var recorded atomic.Bool
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				knew := recorded.Load()
				if may := h.MaySend(u); may && knew {
					t.Error("a request may be sent after the notice was recorded")
					return
				}
			}
		})
	}
	wg.Go(func() {
		h.RecordNotice(u, leaving)
		recorded.Store(true)
	})
	wg.Wait()
}

// Guards against times to retry that are absurd: they must neither be obeyed for ever nor pass without a log line, and other
// upstreams that answer from the same address speak for themselves.
func TestAbsurdNotices(t *testing.T) {
	all := startHosts(t, "a")
	defer closeNodes(all)
	h := all["a"]
	var out logbuf.Buffer
	h.deps.Log = slog.New(slog.NewTextHandler(&out, nil))
	u := h.view.Upstreams["u"]
	h.RecordNotice(u, fleet.ResponseInfo{InvalidRetryAfter: strings.Repeat("x", 10_000)})
	h.RecordNotice(u, fleet.ResponseInfo{Upstream: "other", Notice: fleet.Notice{Leaving: true}})
	if !h.MaySend(u) {
		t.Error("an invalid time, or the notice of another upstream, was obeyed")
	}
	h.RecordNotice(u, fleet.ResponseInfo{Upstream: "u", Notice: fleet.Notice{RetryAfter: 1_000_000_000 * time.Second}})
	if h.MaySend(u) {
		t.Error("a long time was not obeyed")
	}
	h.mu.Lock()
	pause := h.state.Notice(h.now(), "a", u.Lifetime()).RetryAfter
	h.mu.Unlock()
	if pause > 2*time.Minute {
		t.Errorf("the upstream gets no requests for %v, want at most 2 min", pause)
	}
	text := out.String()
	for _, want := range []string{`msg="time to retry ignored" upstream=u`, `msg="upstream wants no requests" upstream=u`, "pauseMs=120000"} {
		if strings.Count(text, want) != 1 {
			t.Errorf("want one line with %s in %.600s", want, text)
		}
	}
	if len(text) > 1000 {
		t.Errorf("%d bytes logged, want at most 1000", len(text))
	}
}

// headerCodec reads the request ID, the leaving and the load of a response from plain headers.
type headerCodec struct{ fakeCodec }

func (headerCodec) ParseResponse(_ int, h http.Header) fleet.ResponseInfo {
	return fleet.ResponseInfo{RequestID: h.Get("Id"), Notice: fleet.Notice{Leaving: h.Get("Leaving") != ""}}
}

// startFaultyUpstream answers each request with copies of earlier responses and then with a healthy health response, and
// returns its address. It counts the requests in received.
func startFaultyUpstream(t *testing.T, before, headers string, received *atomic.Int64) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					received.Add(1)
					_, _ = io.WriteString(nc, before+"HTTP/1.1 200 OK\r\n"+headers+"Content-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a probe that takes the late copy of a response to an earlier request on its connection for the health
// response: a refusal would make a healthy upstream unhealthy, and a cold one lose its cold state.
func TestProbeSkipsCopiesOfResponses(t *testing.T) {
	all := startHosts(t, "a")
	defer closeNodes(all)
	h := all["a"]
	h.deps.Codec = headerCodec{}
	u := h.view.Upstreams["u"]
	var received atomic.Int64
	u.Address = startFaultyUpstream(t, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", "", &received)
	p := &probeState{}
	h.probe(t.Context(), p, u, "/health")
	if p.lost || p.unhealthy {
		t.Errorf("the upstream counts as lost (%t) or unhealthy (%t) by a copy of a refusal", p.lost, p.unhealthy)
	}
	if !h.MaySend(u) {
		t.Error("the upstream counts as leaving by a copy of a refusal")
	}
}

// Guards against health responses whose notice is missed, and against probes of an upstream that wants no requests: also of one
// that was due before the notice.
func TestProbesObeyNotices(t *testing.T) {
	all := startHosts(t, "a")
	defer closeNodes(all)
	h := all["a"]
	h.deps.Codec = headerCodec{}
	u := h.view.Upstreams["u"]
	var received atomic.Int64
	u.Address = startFaultyUpstream(t, "", "Leaving: 1\r\n", &received)
	h.probe(t.Context(), &probeState{}, u, "/health")
	if h.MaySend(u) {
		t.Fatal("the notice in a health response was missed")
	}
	before := received.Load()
	p := &probeState{}
	h.probe(t.Context(), p, u, "/health")
	if received.Load() != before || p.lost {
		t.Errorf("%d further probes sent, upstream lost: %t; want none, and the upstream not lost", received.Load()-before, p.lost)
	}
}
