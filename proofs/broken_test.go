package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	callers "sardinecross.example/platform/standin/caller"
	"sardinecross.example/platform/standin/server"
	"sardinecross.example/platform/standin/users"
)

// The tests in this file run hosts beside upstreams that send broken responses. The callers speak raw HTTP.

// brokenCall is a request to an upstream that sends a broken response, and what its caller got.
type brokenCall struct {
	callers.RawCall
	// bodyLength is the length of its body, which comes in chunks if chunked is set.
	bodyLength int
	chunked    bool

	// status is 0 if no head of a response came. complete is set if the response ended in order.
	status   int
	complete bool
}

// order reports whether the request may run at most once.
func (c *brokenCall) order() bool { return strings.HasPrefix(c.Target, "/"+users.OrderService+"/") }

// newBrokenCall returns an order, or a safe request if safe is set.
func (s *gateSite) newBrokenCall(safe bool) *brokenCall {
	c := &brokenCall{RawCall: callers.RawCall{
		ID: fmt.Sprintf("b%d", s.lastRequestNumber.Add(1)), Host: users.RouteHost, Method: http.MethodPost,
		Target: "/" + users.OrderService + "/item", Limit: 2 * time.Second,
	}}
	if safe {
		c.Target = "/enquiry/item"
	}
	return c
}

// send sends the request to a host on a connection of its own and reads the response while the body is being written.
func (c *brokenCall) send(t *testing.T, h *gateHost) {
	t.Helper()
	nc, err := net.DialTimeout("tcp4", h.CallerAddress(), time.Second)
	if err != nil {
		t.Errorf("connect to host %s: %v", h.ID, err)
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	var writer sync.WaitGroup
	writer.Go(func() { c.write(nc) }) // fails if the host closes the connection before the end of the body
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err == nil {
		c.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	c.complete = err == nil
	_ = nc.Close()
	writer.Wait()
}

// write writes the request.
func (c *brokenCall) write(nc net.Conn) {
	body := strings.Repeat("x", c.bodyLength)
	text := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if c.chunked {
		text = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	_, _ = io.WriteString(nc, c.Head()+text)
}

// assertNotAnswered checks that no caller got a complete success, or was told that an order which ran did not, and that no order ran
// twice.
func (s *gateSite) assertNotAnswered(t *testing.T, calls []*brokenCall) {
	t.Helper()
	runs := map[string]int{}
	for _, r := range s.platformStats().Runs {
		runs[r.ID]++
	}
	notRun := []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}
	ran, statuses := 0, map[int]int{}
	for _, c := range calls {
		ran += runs[c.ID]
		statuses[c.status]++
		if c.complete && c.status < http.StatusMultipleChoices {
			t.Errorf("request %s: a broken response reached the caller as complete, with status %d", c.ID, c.status)
		}
		if !c.order() {
			continue
		}
		if c.complete && runs[c.ID] > 0 && slices.Contains(notRun, c.status) {
			t.Errorf("order %s ran, and its caller was told with status %d that it did not", c.ID, c.status)
		}
		if runs[c.ID] > 1 {
			t.Errorf("order %s ran %d times", c.ID, runs[c.ID])
		}
	}
	t.Logf("%d requests, %d runs, answers by status %v", len(calls), ran, statuses)
	if ran == 0 {
		t.Error("no request ran")
	}
}

// waitLogged waits until a host has logged a cause for one of the requests.
func (s *gateSite) waitLogged(h *gateHost, calls []*brokenCall, cause string) {
	s.T.Helper()
	s.Wait(fmt.Sprintf("host %s to log a request with the cause %q", h.ID, cause), func() bool {
		out, err := os.ReadFile(h.Output.Name())
		if err != nil {
			s.T.Fatal(err)
		}
		for line := range strings.Lines(string(out)) {
			if strings.Contains(line, cause) && slices.ContainsFunc(calls, func(c *brokenCall) bool {
				return strings.Contains(line, `"id":"`+c.ID+`"`)
			}) {
				return true
			}
		}
		return false
	})
}

// waitServed waits until requests are served, now that no upstream sends broken responses any more.
func (s *gateSite) waitServed(h *gateHost) {
	s.T.Helper()
	l := &gateLoad{s: s}
	s.Wait("requests to be served", func() bool {
		return l.send(http.DefaultClient, h, users.OrderService, "").Status == http.StatusOK
	})
}

// Guards against a part of a response that reaches the caller as complete: the upstream answers an upload at once, without a length,
// and resets the connection while the upload is still being written.
func TestGateResetDuringUploadCutsTheResponse(t *testing.T) {
	const (
		uploads    = 24 // of each form
		concurrent = 4
		bodyLength = 8 << 20
	)
	s := newGateSiteWith(t, 1, 2)
	h := s.hosts[0]
	s.sendCommand(map[string]any{"MaxBodyBytes": 2 * bodyLength})
	s.Wait("uploads to be allowed", func() bool {
		c := s.newBrokenCall(false)
		c.bodyLength = bodyLength
		c.send(t, h)
		return c.status == http.StatusOK
	})
	s.setFault(server.ResetUpload, 0, s.upstreamIDs(users.OrderService)...)
	var calls []*brokenCall
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{0, 200 << 10, 3 << 20} {
			for range uploads {
				c := s.newBrokenCall(false)
				c.bodyLength, c.chunked, c.Size = bodyLength, chunked, size
				calls = append(calls, c)
			}
		}
	}
	var wg sync.WaitGroup
	for i := range concurrent {
		wg.Go(func() {
			for j := i; j < len(calls); j += concurrent {
				calls[j].send(t, h)
			}
		})
	}
	wg.Wait()
	s.assertNotAnswered(t, calls)
	s.waitLogged(h, calls, "reset by peer")
	s.setFault(server.NoFault, 0)
	s.waitServed(h)
}

// Guards against a response with an invalid head that reaches the caller, whole or as one of another length, and against an order that
// is sent again, or said not to have run, on the word of such a head.
func TestGateBrokenHeadIsNoAnswer(t *testing.T) {
	const (
		requests   = 16 // of each kind
		bodyLength = 20
	)
	for fault, cause := range map[server.Fault]string{
		server.BlankInName: "invalid field name", server.BlankInLength: "invalid field name", server.BlankInChunked: "invalid field name",
		server.ControlInName: "malformed MIME header", server.ZeroStatus: "invalid response status 000",
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			s := newGateSiteWith(t, 1, 2)
			h := s.hosts[0]
			s.setFault(fault, 0)
			var calls []*brokenCall
			for i := range 2 * requests {
				c := s.newBrokenCall(i%2 == 0)
				c.bodyLength = bodyLength
				c.send(t, h)
				calls = append(calls, c)
			}
			s.assertNotAnswered(t, calls)
			s.waitLogged(h, calls, cause)
			s.setFault(server.NoFault, 0)
			s.waitServed(h)
		})
	}
}
