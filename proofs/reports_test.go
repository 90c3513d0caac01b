package proofs

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sardinecross.example/lib/common/codec"
	callers "sardinecross.example/platform/standin/caller"
	"sardinecross.example/platform/standin/server"
	"sardinecross.example/platform/standin/users"
)

// The tests in this file play what operators of similar systems have reported; see docs/proofs.md.

// noticeTime is the time in which an upstream's notice must reach all hosts: within it, every host has asked the owner, which
// tells all hosts several times.
const noticeTime = 1500 * time.Millisecond

// setFault makes the upstreams with the given IDs, or all without any, answer with a fault.
func (s *gateSite) setFault(f server.Fault, retryAfter time.Duration, ids ...string) {
	s.T.Helper()
	s.sendCommand(map[string]any{"Fault": f, "FaultOf": ids, "RetryAfterMS": retryAfter.Milliseconds()})
}

// upstreamIDs returns the IDs of all upstreams of a service.
func (s *gateSite) upstreamIDs(service string) []string {
	s.T.Helper()
	var ids []string
	for key, list := range s.platformStats().Upstreams {
		if strings.HasPrefix(key, service+"/") {
			ids = append(ids, list...)
		}
	}
	return ids
}

// logLines logs the lines of all hosts that contain one of the given texts.
func (s *gateSite) logLines(texts ...string) {
	s.T.Helper()
	for _, h := range s.hosts {
		out, _ := os.ReadFile(h.Output.Name())
		for line := range strings.Lines(string(out)) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
				s.T.Logf("%s: %s", h.ID, line)
			}
		}
	}
}

// arrivalsAfter returns the requests, without health checks, that reached one of the upstreams with the given IDs after a time.
func arrivalsAfter(seen users.Stats, since time.Time, ids ...string) []server.Run {
	var after []server.Run
	for _, r := range seen.Arrivals {
		if r.ID != "" && r.At.After(since) && slices.Contains(ids, r.Upstream) {
			after = append(after, r)
		}
	}
	return after
}

// loadForSeconds sends requests from eight callers for three seconds and checks their answers.
func (s *gateSite) loadForSeconds(t *testing.T) ([]callers.Attempt, users.Stats) {
	t.Helper()
	l := s.startLoad(8)
	time.Sleep(3 * time.Second)
	answers, seen := l.stop(), s.platformStats()
	assertInvariants(t, answers, seen)
	return answers, seen
}

// Guards against an answer that reaches another caller than its own: upstreams send a second copy of each answer, late, on a
// connection that is in use again, health checks included.
func TestGateSecondCopies(t *testing.T) {
	s := newGateSite(t, 2)
	s.setFault(server.SecondCopy, 0)
	answers, _ := s.loadForSeconds(t)
	assertServed(t, answers, 0.99)
}

// Guards against "not run" told of a request that an upstream runs, or a second run of it, because the upstream wrote an earlier
// refusal once more on a kept connection.
func TestGateRepeatedRefusals(t *testing.T) {
	s := newGateSite(t, 2)
	s.setFault(server.RepeatRefusal, 0)
	answers, _ := s.loadForSeconds(t)
	assertServed(t, answers, 0.3) // half of all attempts are refused, and a request has two
}

// Guards against an answer with an empty or short body that looks whole, "not run" told of a request that ran, and a second run:
// upstreams run requests and stop in the middle of the head of the answer.
func TestGateCutHeads(t *testing.T) {
	s := newGateSite(t, 2)
	s.setFault(server.CutHead, 0, append(s.upstreamIDs("enquiry")[:3], s.upstreamIDs(users.OrderService)...)...)
	answers, seen := s.loadForSeconds(t)
	for _, a := range answers {
		if a.Status == http.StatusOK && a.Service == users.OrderService {
			t.Errorf("order %s was answered 200, though every upstream cuts its answer", a.ID)
		}
	}
	if len(seen.Runs) == 0 {
		t.Error("no request ran")
	}
}

// Guards against requests to an upstream that says in its answers that it is leaving, from the host that got them or another
// one, while the store does not show it; and against its use after hosts have restarted.
func TestGateLeavingBySayingSo(t *testing.T) {
	s := newGateSite(t, 2)
	l := s.startLoad(16)
	time.Sleep(500 * time.Millisecond)
	upstreams := s.platformStats().Upstreams
	leaving := []string{upstreams["enquiry/passau"][0], upstreams[users.OrderService+"/passau"][0], upstreams["enquiry/landshut"][0]}
	s.setFault(server.SayLeaving, 0, leaving...)
	since := time.Now()
	time.Sleep(noticeTime)
	for _, h := range s.hosts[:3] {
		s.killHost(h)
		s.startHost(h)
		s.waitReady()
		time.Sleep(time.Second)
	}
	answers := l.stop()
	seen := s.platformStats()
	assertInvariants(t, answers, seen)
	for _, r := range arrivalsAfter(seen, since.Add(noticeTime), leaving...) {
		t.Errorf("upstream %s got request %s %v after it had said that it is leaving", r.Upstream, r.ID, r.At.Sub(since))
		s.logLines(`"id":"`+r.ID+`"`, `requests","upstream":"`+r.Upstream, `leaving","upstream":"`+r.Upstream)
	}
	assertServed(t, answers, 0.8) // killed hosts cut requests
}

// Guards against requests and health checks to an upstream that has answered 503 with a time to retry, before that time has
// passed. One host is alive, so that all requests are its own.
func TestGateRetryAfterIsObeyed(t *testing.T) {
	s := newGateSite(t, 1)
	s.killHost(s.hosts[1])
	time.Sleep(2 * time.Second) // until the other host owns all services
	l := s.startLoad(8, "enquiry")
	time.Sleep(500 * time.Millisecond)
	ids := s.platformStats().Upstreams["enquiry/passau"] // in the data centre of the host, which prefers them
	const retryAfter = 2 * time.Second
	s.setFault(server.Refuse, retryAfter, ids[:2]...)
	time.Sleep(3 * retryAfter)
	answers := l.stop()
	seen := s.platformStats()
	assertInvariants(t, answers, seen)
	assertServed(t, answers, 0.9)
	refusals := 0
	for _, refusal := range seen.Arrivals {
		if !refusal.Paused {
			continue
		}
		refusals++
		begin, end := refusal.At.Add(500*time.Millisecond), refusal.At.Add(retryAfter)
		within := 0
		for _, r := range seen.Arrivals {
			if r.Upstream == refusal.Upstream && r.At.After(begin) && r.At.Before(end) {
				within++
			}
		}
		if within > 2 {
			t.Errorf("upstream %s got %d requests and health checks between 0.5 s after the refusal of %s and its time to retry",
				refusal.Upstream, within, refusal.ID)
		}
	}
	if refusals == 0 {
		t.Error("no request was refused with a time to retry")
	}
}

// rawRequest returns a request with the given ID for the service enquiry, and the body of its answer.
func rawRequest(id string) (text, body string) {
	const target = "/enquiry/item"
	call := callers.RawCall{ID: id, Host: users.RouteHost, Method: http.MethodGet, Target: target, Limit: 2 * time.Second}
	return call.Head() + "\r\n", server.Body(id, target, 0)
}

// answerOf reads a response and returns an error unless it is the upstream's answer with the given body.
func answerOf(br *bufio.Reader, body string) error {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(got) != body {
		return fmt.Errorf("status %d, body %q", resp.StatusCode, got)
	}
	return nil
}

// Guards against a planned stop that cuts requests which were just accepted: callers keep connecting to the stopping host until
// shortly before it stops accepting, and send their first request up to 0.3 s later. Requests take 300 ms.
func TestGatePlannedStopAnswersAcceptedRequests(t *testing.T) {
	s := newGateSite(t, 1)
	s.sendCommand(map[string]any{"WorkMS": 300})
	h := s.hosts[0]
	h.Signal(syscall.SIGTERM)
	stopped := time.Now()
	const acceptTime = gateGrace - 2*time.Second // the time after SIGTERM until the host stops accepting
	var mu sync.Mutex
	sent := 0
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			connectAt := acceptTime - 400*time.Millisecond + time.Duration(i)*25*time.Millisecond
			time.Sleep(time.Until(stopped.Add(connectAt)))
			nc, err := net.Dial("tcp4", h.CallerAddress())
			if err != nil {
				t.Errorf("connect %v after SIGTERM: %v", connectAt, err)
				return
			}
			defer nc.Close()
			_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			text, body := rawRequest(fmt.Sprintf("late-%d", i))
			if _, err := io.WriteString(nc, text); err != nil {
				t.Errorf("request on a connection that was accepted %v after SIGTERM: %v", connectAt, err)
				return
			}
			mu.Lock()
			sent++
			mu.Unlock()
			if err := answerOf(bufio.NewReader(nc), body); err != nil {
				t.Errorf("answer on a connection that was accepted %v after SIGTERM: %v", connectAt, err)
			}
		})
	}
	wg.Wait()
	if sent == 0 {
		t.Error("no request was sent")
	}
	select {
	case <-h.Done:
	case <-time.After(time.Until(stopped.Add(gateGrace))):
		t.Errorf("host %s did not stop within its grace of %v", h.ID, gateGrace)
	}
}

// message is a message between hosts by the numbers of its fields; see mesh.Message.
type message map[int]any

// datagrams returns messages that a host must bear: garbage, cut and absurd ones.
func datagrams(rng *rand.Rand) [][]byte {
	encoder := codec.Encoder()
	encode := func(m message) []byte {
		m[1], m[2] = "stranger", 1 // the sender and its lifetime
		data, err := encoder.Marshal(m)
		if err != nil {
			panic(err) // every such message can be encoded
		}
		return data
	}
	id := []any{"stranger", 1}
	request := func(service string, target int64) []any {
		return []any{id, service, "passau", false, false, 0, target, 0, 0, []string{}, 0, false, false, 0, false}
	}
	all := [][]byte{
		encode(message{3: message{8: -1}}),                                                       // a heartbeat with a negative capacity
		encode(message{3: message{6: []any{[]any{"u", math.MaxInt64}}}}),                         // an upstream that stays cold for ever
		encode(message{4: request("enquiry", -1)}),                                               // a request for an upstream with a negative target
		encode(message{4: request(strings.Repeat("x", 10_000), math.MaxInt64)}),                  // one for an unknown service and an endless target
		encode(message{5: message{1: 1, 2: []any{"", 200, 0, 0, 0, 0.0, 0, nil}}}),               // a selection for an unknown reason
		encode(message{6: []any{id, "u", 99, 0, []any{-1, -1, -1, math.NaN(), -1}}}),             // the end of an attempt with an absurd load
		encode(message{7: message{1: message{1: -1, 2: math.MaxInt64, 3: math.MinInt64}, 3: 0}}), // changes of the list from nowhere
		encode(message{8: message{1: message{1: math.MaxInt64, 2: 1, 3: 0}}}),                    // operators' records backwards
		encode(message{9: []any{[]any{[]any{"", 0}, []any{true, -1}}}}),                          // the notice of an upstream without a name
		{}, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n"),
	}
	valid := encode(message{4: request("other", int64(time.Second))})
	for range 200 {
		data := slices.Clone(valid[:1+rng.IntN(len(valid))])
		data[rng.IntN(len(data))] = byte(rng.Uint32())
		all = append(all, data)
	}
	return all
}

// assertRunning checks that the process of every host runs.
func (s *gateSite) assertRunning() {
	s.T.Helper()
	for _, h := range s.hosts {
		select {
		case <-h.Done:
			s.T.Errorf("host %s has ended", h.ID)
		default:
		}
	}
}

// Guards against a host that a single malformed message ends, or leaves unable to serve: from hosts, callers, upstreams and
// other writers of the store.
func TestGateMalformedMessages(t *testing.T) {
	s := newGateSite(t, 2)
	l := s.startLoad(8)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, h := range s.hosts {
		conn, err := net.Dial("udp4", netip.AddrPortFrom(h.IP, 7540).String())
		if err != nil {
			t.Fatal(err)
		}
		for _, data := range datagrams(rng) {
			_, _ = conn.Write(data) // a datagram may be lost
		}
		_ = conn.Close()
		for _, text := range []string{
			"\x16\x03\x01\x02\x00\x01", "GET", "GET / HTTP/9.9\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
			"POST /enquiry/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
			"GET //// HTTP/1.1\r\nHost: :::\r\nRequest-Id: x\r\nDeadline-Ms: 1e999\r\n\r\n",
		} {
			nc, err := net.Dial("tcp4", h.CallerAddress())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(nc, text) // the host may have closed the connection
			_ = nc.Close()
		}
	}
	s.sendCommand(map[string]any{"Put": map[string]string{
		"a": "{", "b": `{"service":5}`, "c": `{"service":"enquiry","addr":"1","zone":"passau","slots":1,"state":"ready","seq":1,"cold-left-s":0}`,
		"d": `{"service":"enquiry","addr":"127.0.0.1:1","zone":"passau","slots":9000000000000000000,"state":"ready","seq":1,"cold-left-s":1e300}`,
		"e": "\xff\xfe", "f": `{"service":"enquiry","addr":"127.0.0.1:1","zone":"passau","slots":1,"state":"resting","seq":1,"cold-left-s":0}`,
	}})
	time.Sleep(time.Second)
	upstreams := s.platformStats().Upstreams
	drained := append(upstreams[users.OrderService+"/passau"][:2], upstreams[users.OrderService+"/landshut"][:2]...)
	for _, id := range drained {
		s.sendCommand(map[string]any{"Drain": id})
	}
	since := time.Now()
	time.Sleep(3 * time.Second)
	answers := l.stop()
	seen := s.platformStats()
	assertInvariants(t, answers, seen)
	assertServed(t, answers, 0.99)
	assertNoRunsAfter(t, seen, since.Add(2*time.Second), func(r server.Run) bool { return slices.Contains(drained, r.Upstream) })
	s.assertRunning()
	s.waitReady()
}

// Guards against hosts that end, stop following the list of upstreams or fill their logs because another writer has left odd entries
// there: nested deeply, with a number too large, or with a port out of range.
func TestGateOddEntries(t *testing.T) {
	s := newGateSite(t, 2)
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	digits := strings.Repeat("9", 200_000)
	const entry = `{"service":"enquiry","addr":"127.0.0.1:1","zone":"passau","slots":1,"state":"ready","seq":1,"cold-left-s":0}`
	odd := make(map[string]string)
	for name, change := range map[string][2]string{
		"nested": {`"slots":1`, `"slots":` + deep}, "nestedExtra": {`"seq":1`, `"seq":1,"x":` + deep}, "digits": {`"slots":1`, `"slots":` + digits},
		"seq": {`"seq":1`, `"seq":9223372036854775808`}, "time": {`"cold-left-s":0`, `"cold-left-s":1e999`},
		"port": {"127.0.0.1:1", "127.0.0.1:99999"}, "portDigits": {"127.0.0.1:1", "127.0.0.1:" + digits}, "zone": {`"passau"`, `"` + digits + `"`},
	} {
		odd[name] = strings.Replace(entry, change[0], change[1], 1)
	}
	l := s.startLoad(8)
	for range 3 {
		s.sendCommand(map[string]any{"Put": odd})
		time.Sleep(500 * time.Millisecond)
	}
	s.killHost(s.hosts[0])
	s.startHost(s.hosts[0]) // it reads the newest record of each key
	s.waitReady()
	drained := s.platformStats().Upstreams[users.OrderService+"/passau"][0]
	s.sendCommand(map[string]any{"Drain": drained})
	since := time.Now()
	time.Sleep(3 * time.Second)
	answers := l.stop()
	seen := s.platformStats()
	assertInvariants(t, answers, seen)
	assertServed(t, answers, 0.9) // the killed host cuts requests
	assertNoRunsAfter(t, seen, since.Add(2*time.Second), func(r server.Run) bool { return r.Upstream == drained })
	s.assertRunning()
	for _, h := range s.hosts {
		out, _ := os.ReadFile(h.Output.Name())
		for line := range strings.Lines(string(out)) {
			if len(line) > maxLogLine {
				t.Errorf("host %s has written a line of %d bytes: %.200s", h.ID, len(line), line)
			}
		}
	}
}

// maxLogLine is the length in bytes that no log line exceeds, whatever others write.
const maxLogLine = 16 << 10

// Guards against orders that run twice, or are refused as not run and run, around hand-overs between hosts: the owners of the
// services change because hosts die and freeze while orders are sent and some answers are lost, and two owners act for a moment.
func TestGateOwnersChange(t *testing.T) {
	s := newGateSite(t, 2)
	s.sendCommand(map[string]any{"Drop": s.upstreamIDs(users.OrderService)[0]})
	l := s.startLoad(8, users.OrderService)
	for round := range 2 {
		for i, h := range s.hosts {
			if (i+round)%2 == 0 {
				h.Signal(syscall.SIGSTOP) // long enough for another host to become the owner
				time.Sleep(1700 * time.Millisecond)
				h.Signal(syscall.SIGCONT)
			} else {
				s.killHost(h)
				s.startHost(h)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	s.waitReady()
	answers := l.stop()
	assertInvariants(t, answers, s.platformStats())
	assertServed(t, answers, 0.5) // callers of frozen and killed hosts wait and fail
}
