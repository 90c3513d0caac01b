package proofs

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	callers "sardinecross.example/platform/standin/caller"
	"sardinecross.example/platform/standin/users"
)

// The tests in this file stop a host beside load. The callers speak raw HTTP, since a client library hides how a connection
// ended, and all use the host that is stopped: they hold an answer of the directory from before.

const (
	// lossSlack is how long after its last byte a request may lose its connection if it was not passed on: it crossed the
	// close of the connection.
	lossSlack = 200 * time.Millisecond
	// limitMargin is how long before its time limit or the timeout of its route the host may answer a request.
	limitMargin = 50 * time.Millisecond
)

// stopCall is one request to the host that is stopped, and what came of it.
type stopCall struct {
	id, host    string
	order       bool
	body        string // of an order
	work, limit time.Duration
	// size and noLength are as in callers.RawCall. A request with a size is a download.
	size     int
	noLength bool
	// pipelined is set if the request was sent without waiting for the responses to earlier ones of its connection.
	pipelined bool
	begun     time.Time
	// lastWrite is when the last part of the request began to be written.
	lastWrite time.Time
	// sent is when the last byte was written; the zero time if the request was not written whole.
	sent time.Time
	// ended is when the response was complete or the connection had ended.
	ended time.Time
	// status is 0 without a complete response. signed is set if the response is the upstream's.
	status int
	signed bool
	// answerBegun is set once the first byte of the response has arrived.
	answerBegun bool
	err         error
}

// stopLoad is the load on one host while it is stopped.
type stopLoad struct {
	s  *gateSite
	h  *gateHost
	wg sync.WaitGroup
	// consultations restricts the load to enquiries with the time limit pairLimit.
	consultations bool

	mu    sync.Mutex
	calls []*stopCall
}

// wait waits until all callers have ended, and returns their requests.
func (l *stopLoad) wait() []*stopCall {
	l.wg.Wait()
	return l.calls
}

// addCall gives a request its ID and its host, and keeps it.
func (l *stopLoad) addCall(c *stopCall) *stopCall {
	c.id, c.host = fmt.Sprintf("s%d", l.s.lastRequestNumber.Add(1)), l.h.ID
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
	return c
}

// head returns the request line and the header of a request without its last line.
func (c *stopCall) head() string {
	return c.raw().Head()
}

func (c *stopCall) raw() callers.RawCall {
	method := http.MethodGet
	if c.order {
		method = http.MethodPost
	}
	return callers.RawCall{
		ID: c.id, Host: users.RouteHost, Method: method, Target: c.target(), Limit: c.limit, Work: c.work,
		Size: c.size, NoLength: c.noLength,
	}
}

func (c *stopCall) target() string {
	switch {
	case c.order:
		return "/" + users.OrderService + "/item"
	case c.size > 0:
		return "/archive/item"
	}
	return "/enquiry/item"
}

// orderText is the body of orders that are no uploads.
const orderText = "one order of three lines"

// send writes the request, an order with the length of its body.
func (c *stopCall) send(nc net.Conn) error {
	text := c.head()
	if c.order {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	} else {
		text += "\r\n"
	}
	return c.write(nc, text)
}

// write writes the rest of the request.
func (c *stopCall) write(nc net.Conn, text string) error {
	c.begin()
	c.lastWrite = time.Now()
	if _, err := io.WriteString(nc, text); err != nil {
		c.fail(err)
		return err
	}
	c.sent = time.Now()
	return nil
}

func (c *stopCall) begin() {
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
}

func (c *stopCall) fail(err error) { c.ended, c.err = time.Now(), err }

// receive reads the response. It returns false if the connection carries no further requests.
func (c *stopCall) receive(nc net.Conn, br *bufio.Reader) bool {
	_ = nc.SetReadDeadline(c.begun.Add(c.limit + time.Second))
	if _, err := br.Peek(1); err != nil {
		c.fail(err)
		return false
	}
	c.answerBegun = true
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		c.fail(err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.fail(err)
		return false
	}
	c.ended, c.status = time.Now(), resp.StatusCode
	c.signed = c.raw().Verified(resp, body, len(c.body))
	return !resp.Close
}

// dial connects to the host, or returns nil if it accepts no connections any more.
func (l *stopLoad) dial() net.Conn {
	nc, err := net.DialTimeout("tcp4", l.h.CallerAddress(), time.Second)
	if err != nil {
		return nil
	}
	return nc
}

// errBehindClose is the error of a request behind a response that closes the connection, which counts as not read.
var errBehindClose = errors.New("sent behind a response that closes the connection")

// lostCalls returns what is wrong with the outcomes of requests to a host that was told to stop at the given time: requests
// that were passed on and have no whole answer, or one of the host in place of the upstream's, and requests that were read whole
// and lost their connection. A request from before the stop may be lost if its upstream was still at work in the last sixth of
// the grace.
func lostCalls(calls []*stopCall, seen users.Stats, stopped time.Time, routeTimeout time.Duration) []string {
	passedOn := make(map[string]bool)
	for _, r := range seen.Arrivals {
		passedOn[r.ID] = true
	}
	workEnds := make(map[string]time.Time)
	runs := make(map[string]time.Time)
	for _, r := range seen.Runs {
		runs[r.ID] = r.At
	}
	var lost []string
	for _, c := range calls {
		if at, ok := runs[c.id]; ok {
			workEnds[c.id] = at.Add(min(c.work, c.limit, routeTimeout)) // an upstream ends its work at the time limit
		}
		took := c.ended.Sub(c.limitBegins())
		lastSixth := stopped.Add(gateGrace * 5 / 6)
		switch bound := min(c.limit, routeTimeout) - limitMargin; {
		case c.sent.IsZero(), c.signed, c.status == http.StatusServiceUnavailable, errors.Is(c.err, os.ErrDeadlineExceeded):
		case took >= bound:
		case c.sent.Before(stopped) && workEnds[c.id].After(lastSixth) && c.ended.After(lastSixth):
		case c.status == 0 && !passedOn[c.id] && c.ended.Sub(c.sent) < lossSlack:
		case errors.Is(c.err, errBehindClose) && !passedOn[c.id]:
		default:
			lost = append(lost, fmt.Sprintf("request %s to %s (order %t, work %v, limit %v, download of %d bytes, no length %t, pipelined %t, passed on %t), sent %v after SIGTERM, ended %v after it: status %d, %v",
				c.id, c.host, c.order, c.work, c.limit, c.size, c.noLength, c.pipelined, passedOn[c.id], c.sent.Sub(stopped), c.ended.Sub(stopped), c.status, c.err))
		}
	}
	return lost
}

// limitBegins returns when the time limit of the request begins at the host: once it has the whole request, or the part of an
// upload that it buffers.
func (c *stopCall) limitBegins() time.Time {
	if len(c.body) > len(orderText) {
		return c.begun
	}
	return c.lastWrite
}

// assertNoneLost checks the outcomes of requests to a host that was told to stop at the given time.
func assertNoneLost(t *testing.T, calls []*stopCall, seen users.Stats, stopped time.Time, routeTimeout time.Duration) {
	t.Helper()
	for _, l := range lostCalls(calls, seen, stopped, routeTimeout) {
		t.Error(l)
	}
	ran := make(map[string]int)
	for _, r := range seen.Runs {
		ran[r.ID]++
	}
	for _, c := range calls {
		if c.order && ran[c.id] > 1 {
			t.Errorf("order %s ran %d times", c.id, ran[c.id])
		}
		if c.status == http.StatusServiceUnavailable && ran[c.id] > 0 {
			t.Errorf("request %s was refused and ran", c.id)
		}
		if c.status == http.StatusOK && !c.signed {
			t.Errorf("request %s has a success that is not the upstream's", c.id)
		}
	}
}

// changeSettings changes the settings file of a host: another budget for retries.
func (s *gateSite) changeSettings(h *gateHost) {
	s.T.Helper()
	text := strings.Replace(h.SettingsText(), "retry-slack=50", "retry-slack=51", 1)
	if err := os.WriteFile(s.Path(h.ID+".conf"), []byte(text), 0o600); err != nil {
		s.T.Fatal(err)
	}
}

// Guards against a signal that ends the grace of a host which is being stopped, and with it the requests in flight: a SIGHUP
// since its settings have changed, or SIGTERM once more.
func TestGateSignalsDuringStopCutNothing(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			s := newGateSite(t, 1)
			const timeout = 4 * time.Second
			s.sendCommand(map[string]any{"TimeoutMS": timeout.Milliseconds()})
			time.Sleep(2 * time.Second) // until the timeout is in force
			l := &stopLoad{s: s, h: s.hosts[0]}
			for i := range 4 {
				l.wg.Go(func() { l.sendOrder(3*time.Second, time.Duration(i)*50*time.Millisecond) })
			}
			time.Sleep(300 * time.Millisecond)
			stopped := time.Now()
			l.h.Signal(syscall.SIGTERM)
			time.Sleep(500 * time.Millisecond)
			s.changeSettings(l.h)
			l.h.Signal(sig)
			calls := l.wait()
			assertNoneLost(t, calls, s.platformStats(), stopped, timeout)
			for _, c := range calls {
				if !c.signed {
					t.Errorf("order %s in flight at the stop has status %d, want the answer of its upstream", c.id, c.status)
				}
			}
		})
	}
}

// sendOrder sends an order with the given work on a connection of its own, after a pause.
func (l *stopLoad) sendOrder(work, pause time.Duration) {
	time.Sleep(pause)
	nc := l.dial()
	if nc == nil {
		l.s.T.Errorf("host %s accepts no connection", l.h.ID)
		return
	}
	defer nc.Close()
	c := l.addCall(&stopCall{order: true, body: orderText, work: work, limit: 12 * time.Second})
	if c.send(nc) == nil {
		c.receive(nc, bufio.NewReader(nc))
	}
}

// startStopConnection starts a site whose routes have the given timeout, and connects to its first host.
func startStopConnection(t *testing.T, timeout time.Duration) (*stopLoad, net.Conn) {
	t.Helper()
	s := newGateSite(t, 1)
	s.sendCommand(map[string]any{"TimeoutMS": timeout.Milliseconds()})
	time.Sleep(2 * time.Second) // until the timeout is in force
	l := &stopLoad{s: s, h: s.hosts[0]}
	nc := l.dial()
	if nc == nil {
		t.Fatal("the host accepts no connection")
	}
	t.Cleanup(func() { _ = nc.Close() })
	return l, nc
}

// Guards against a host that closes a connection while its last responses are still on their way to a caller that reads slowly: a
// request that the caller pipelines then resets the connection, and the rest of the responses is lost.
func TestGateStopKeepsResponsesForSlowCaller(t *testing.T) {
	const timeout = 4 * time.Second
	l, nc := startStopConnection(t, timeout)
	_ = nc.(*net.TCPConn).SetReadBuffer(slowReadBuffer) // the caller reads slowly in any case
	sent, closing := make(chan *stopCall, 3), make(chan struct{})
	var reader sync.WaitGroup
	// The first response takes the caller 3 s to read.
	reader.Go(func() { receivePipelined(slowConn{nc, 40 * time.Millisecond}, sent, closing) })
	send := func(size int) {
		c := l.addCall(&stopCall{work: 300 * time.Millisecond, limit: 12 * time.Second, size: size, pipelined: true})
		_ = c.send(nc) // an error is kept with the request
		sent <- c
	}
	send(600_000)
	send(20_000)
	stopped := time.Now()
	l.h.Signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	select {
	case <-closing:
		t.Error("a response has ended early")
	default:
		send(20_000) // the caller has not read yet that the second response closes the connection
	}
	close(sent)
	reader.Wait()
	assertNoneLost(t, l.calls, l.s.platformStats(), stopped, timeout)
}

// Guards against a host that gets no processor time when its last responses are due, and then cuts the connections without them: a
// request at work longer than the grace, and answered ones that were pipelined behind it.
func TestGateStopAnswersAfterPause(t *testing.T) {
	const timeout = 9 * time.Second // more than the grace
	l, nc := startStopConnection(t, timeout)
	const requests = 6
	sent, closing := make(chan *stopCall, requests), make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { receivePipelined(nc, sent, closing) })
	for i := range requests {
		c := l.addCall(&stopCall{work: 50 * time.Millisecond, limit: 12 * time.Second, pipelined: true})
		if i == 0 {
			c.work = 8 * time.Second
		}
		_ = c.send(nc) // an error is kept with the request
		sent <- c
	}
	close(sent)
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	l.h.Signal(syscall.SIGTERM)
	// The host has no processor time from before the last responses are due until after their connections are to be cut.
	time.Sleep(time.Until(stopped.Add(gateGrace - 600*time.Millisecond)))
	l.h.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(stopped.Add(gateGrace - 80*time.Millisecond)))
	l.h.Signal(syscall.SIGCONT)
	reader.Wait()
	assertNoneLost(t, l.calls, l.s.platformStats(), stopped, timeout)
}
