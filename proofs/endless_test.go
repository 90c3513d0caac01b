package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	callers "sardinecross.example/platform/standin/caller"
	"sardinecross.example/platform/standin/server"
	"sardinecross.example/platform/standin/users"
)

// The tests in this file run hosts beside upstreams whose responses have no end. The callers speak raw HTTP and read on until
// the host ends the response.

const (
	// endlessRouteTimeout is the timeout of the routes, after which a request to such an upstream ends.
	endlessRouteTimeout = 1500 * time.Millisecond
	// upstreamSlots is the number of requests that hosts send to one upstream of the stand-in at a time.
	upstreamSlots = 4
	// maxHostMemory bounds the memory of a host in these tests, in bytes. It is that of the users' smallest entry hosts.
	maxHostMemory = 184 << 20
)

// endlessLoad counts the outcomes of requests by the second in which they began.
type endlessLoad struct {
	s       *gateSite
	service string
	begun   time.Time
	stop    chan struct{}
	wg      sync.WaitGroup

	mu                      sync.Mutex
	served, refused, broken []int
}

// startEndlessLoad starts callers of a service, each with a connection of its own and a pause between its requests.
func (s *gateSite) startEndlessLoad(service string, n int, pause time.Duration) *endlessLoad {
	l := &endlessLoad{s: s, service: service, begun: time.Now(), stop: make(chan struct{})}
	for i := range n {
		l.wg.Go(func() {
			for {
				l.call(s.hosts[i%len(s.hosts)])
				select {
				case <-l.stop:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return l
}

// call sends one request on a new connection and counts its outcome.
func (l *endlessLoad) call(h *gateHost) {
	begun := time.Now()
	outcome := &l.broken
	switch status, verified := l.exchange(h); {
	case verified:
		outcome = &l.served
	case status == http.StatusServiceUnavailable:
		outcome = &l.refused
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for second := int(begun.Sub(l.begun) / time.Second); len(l.broken) <= second; {
		l.served, l.refused, l.broken = append(l.served, 0), append(l.refused, 0), append(l.broken, 0)
	}
	(*outcome)[int(begun.Sub(l.begun)/time.Second)]++
}

// exchange sends one request and returns the status of the response and whether it is the upstream's and complete.
func (l *endlessLoad) exchange(h *gateHost) (status int, verified bool) {
	nc, err := net.DialTimeout("tcp4", h.CallerAddress(), time.Second)
	if err != nil {
		return 0, false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	id := fmt.Sprintf("r%d", l.s.lastRequestNumber.Add(1))
	target := "/" + l.service + "/item?of=" + id
	call := callers.RawCall{ID: id, Method: http.MethodGet, Target: target, Host: users.RouteHost, Limit: 2 * time.Second}
	order := ""
	if l.service == users.OrderService {
		call.Method, order = http.MethodPost, orderText
	}
	if _, err := fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n%s", call.Head(), len(order), order); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp.StatusCode, err == nil && callers.Verified(resp, body, id, target, len(order))
}

// end ends the load and logs the outcomes by second.
func (l *endlessLoad) end() (served, refused, broken int) {
	close(l.stop)
	l.wg.Wait()
	sum := func(list []int) (n int) {
		for _, m := range list {
			n += m
		}
		return n
	}
	l.s.T.Logf("broken by second %v, refused %v, served %v", l.broken, l.refused, l.served)
	return sum(l.served), sum(l.refused), sum(l.broken)
}

// firstUpstreams returns the first of the upstreams of a service in each data centre.
func (s *gateSite) firstUpstreams(service string) []string {
	s.T.Helper()
	upstreams := s.platformStats().Upstreams
	return []string{upstreams[service+"/passau"][0], upstreams[service+"/landshut"][0]}
}

// assertBoundedMemory checks the largest memory that each host has used so far.
func (s *gateSite) assertBoundedMemory() {
	s.T.Helper()
	for _, h := range s.hosts {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Cmd.Process.Pid))
		if err != nil {
			s.T.Fatal(err)
		}
		_, text, _ := strings.Cut(string(data), "VmHWM:")
		kb, err := strconv.Atoi(strings.Fields(text)[0])
		if err != nil {
			s.T.Fatal(err)
		}
		s.T.Logf("host %s used at most %d MB", h.ID, kb>>10)
		if kb<<10 > maxHostMemory {
			s.T.Errorf("host %s used %d MB, want at most %d", h.ID, kb>>10, maxHostMemory>>20)
		}
	}
}

// brokenSince returns the number of broken requests that began in the given second of the load or later.
func (l *endlessLoad) brokenSince(second int) (n int) {
	for _, m := range l.broken[min(second, len(l.broken)):] {
		n += m
	}
	return n
}

// Guards against waves of broken requests while two of four upstreams send bodies without end: each time that one of these is
// forgiven, many requests go there at once and break at their time limit. Once an upstream has failed, it may get one request
// at a time until it has answered one, so that one may break there in each timeout.
func TestGateUpstreamsThatFailGetOneRequestAtATime(t *testing.T) {
	const (
		faulty  = 2
		lasting = 12 * time.Second // of the fault, which begins in second 1
		// failedBy is the second by which the first requests to the faulty upstreams have failed.
		failedBy = 3
	)
	for _, fault := range []server.Fault{
		server.EndlessBody, server.EndlessChunks, server.EndlessLength, server.EndlessHead, server.EndlessUnsigned,
		server.Silent,
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			service := "enquiry"
			if fault == server.Silent {
				service = users.OrderService // a safe request is saved by a hedge
			}
			s := newGateSiteWith(t, 1, 2)
			l := s.startEndlessLoad(service, 16, 100*time.Millisecond)
			time.Sleep(time.Second)
			s.setFault(fault, 0, s.firstUpstreams(service)...)
			time.Sleep(lasting)
			served, refused, broken := l.end()
			bound := faulty * (1 + int((1+lasting/time.Second-failedBy)*time.Second/endlessRouteTimeout))
			later := l.brokenSince(failedBy)
			t.Logf("%d of %d requests broken, %d refused; from second %d on %d broken, bound %d",
				broken, served+refused+broken, refused, failedBy, later, bound)
			if later > bound {
				t.Errorf("%d requests broken after the first failures, want at most %d", later, bound)
			}
			// As many as its slots, and two that are granted while the first three failures arrive.
			if first := faulty * (upstreamSlots + 2); broken-later > first {
				t.Errorf("%d requests broken until the first failures, want at most %d", broken-later, first)
			}
			if served == 0 || refused > served/10 {
				t.Errorf("%d requests served and %d refused while two upstreams are sound, want most served", served, refused)
			}
			s.assertBoundedMemory()
		})
	}
}

// Guards against a host that runs out of memory beside upstreams that send responses, also to health checks, without end: the
// requests of all callers on it would end with its process.
func TestGateMemoryIsBoundedBesideEndlessResponses(t *testing.T) {
	for _, fault := range []server.Fault{
		server.EndlessBody, server.EndlessChunks, server.EndlessLength, server.EndlessHead, server.EndlessHealth,
	} {
		t.Run(string(fault), func(t *testing.T) {
			s := newGateSiteWith(t, 1, 2)
			ids := s.upstreamIDs("enquiry")
			s.setFault(fault, 0, ids[1:]...)
			l := s.startEndlessLoad("enquiry", 240, 20*time.Millisecond)
			time.Sleep(4 * time.Second)
			served, refused, broken := l.end()
			t.Logf("%d served, %d refused, %d broken", served, refused, broken)
			if served == 0 {
				t.Error("no request was served beside one sound upstream")
			}
			for _, h := range s.hosts {
				select {
				case <-h.Done:
					t.Errorf("host %s has ended", h.ID)
				default:
				}
			}
			s.assertBoundedMemory()
		})
	}
}
