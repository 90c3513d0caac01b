package proofs

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The tests in this file stop a host beside random load on new and kept connections.

// startStopLoad starts callers of each kind. They end when the host refuses a connection.
func (s *gateSite) startStopLoad(h *gateHost, seed uint64, callersEach int) *stopLoad {
	l := &stopLoad{s: s, h: h}
	for i, run := range []func(*rand.Rand){l.callOnNewConnections, l.callOnKeptConnections, l.callInChunks, l.callPipelined, l.upload} {
		for j := range callersEach {
			rng := rand.New(rand.NewPCG(seed, uint64(i*callersEach+j)))
			l.wg.Go(func() { run(rng) })
		}
	}
	return l
}

// newCall returns a request with a random work and time limit.
func (l *stopLoad) newCall(rng *rand.Rand, order bool) *stopCall {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(rng.Int64N(int64(b-a))) }
	var work time.Duration
	switch n := rng.IntN(100); {
	case n < 60:
		work = between(10*time.Millisecond, 300*time.Millisecond)
	case n < 85:
		work = between(300*time.Millisecond, 1400*time.Millisecond)
	case n < 95:
		work = between(1400*time.Millisecond, 4*time.Second)
	default:
		work = 8 * time.Second // more than the grace
	}
	limits := []time.Duration{time.Second, 3 * time.Second, 12 * time.Second}
	if l.consultations {
		order, limits, work = false, []time.Duration{pairLimit}, min(work, pairLimit/2)
	}
	c := &stopCall{order: order, work: work, limit: limits[rng.IntN(len(limits))]}
	if order {
		c.body = orderText
	}
	return l.addCall(c)
}

// callOnNewConnections sends each request on a connection of its own, some of them a while after it was opened.
func (l *stopLoad) callOnNewConnections(rng *rand.Rand) {
	for nc := l.dial(); nc != nil; nc = l.dial() {
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		if c := l.newCall(rng, rng.IntN(2) == 0); c.send(nc) == nil {
			c.receive(nc, bufio.NewReader(nc))
		}
		_ = nc.Close()
	}
}

// callOnKeptConnections sends requests one after the other on one connection while the host keeps it open.
func (l *stopLoad) callOnKeptConnections(rng *rand.Rand) {
	for nc := l.dial(); nc != nil; nc = l.dial() {
		br := bufio.NewReader(nc)
		for kept := true; kept; {
			c := l.newCall(rng, rng.IntN(2) == 0)
			kept = c.send(nc) == nil && c.receive(nc, br)
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		_ = nc.Close()
	}
}

// callInChunks sends orders whose bodies come in chunks, with pauses between them.
func (l *stopLoad) callInChunks(rng *rand.Rand) {
	for nc := l.dial(); nc != nil; nc = l.dial() {
		br := bufio.NewReader(nc)
		for kept := true; kept; {
			c := l.newCall(rng, true)
			kept = c.sendChunks(nc, rng, 10) == nil && c.receive(nc, br)
		}
		_ = nc.Close()
	}
}

// upload sends orders in chunks that are too long to be buffered, each on a connection of its own.
func (l *stopLoad) upload(rng *rand.Rand) {
	text := strings.Repeat(orderText, 400<<10/len(orderText))
	for nc := l.dial(); nc != nil; nc = l.dial() {
		c := l.newCall(rng, true)
		c.body = text
		// A host that has refused the upload may close the connection before its end, so the response is read in any case.
		_ = c.sendChunks(nc, rng, 100<<10)
		c.receive(nc, bufio.NewReader(nc))
		_ = nc.Close()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// sendChunks writes an order with its body in chunks of up to size bytes.
func (c *stopCall) sendChunks(nc net.Conn, rng *rand.Rand, size int) error {
	c.begin()
	if _, err := io.WriteString(nc, c.head()+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		c.fail(err)
		return err
	}
	for rest := c.body; rest != ""; {
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
		n := min(len(rest), size)
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			c.fail(err)
			return err
		}
		rest = rest[n:]
	}
	return c.write(nc, "0\r\n\r\n")
}

// callPipelined sends enquiries on one connection without waiting for the responses, while the host keeps it open.
func (l *stopLoad) callPipelined(rng *rand.Rand) {
	l.pipeline(rng, 150*time.Millisecond, l.dial, func() *stopCall { return l.newCall(rng, false) })
}

// pipeline sends requests with pauses of up to maxPause on one connection after the other without waiting for the responses.
func (l *stopLoad) pipeline(rng *rand.Rand, maxPause time.Duration, dial func() net.Conn, newCall func() *stopCall) {
	for nc := dial(); nc != nil; nc = dial() {
		sent, closing := make(chan *stopCall, 8), make(chan struct{})
		var reader sync.WaitGroup
		reader.Go(func() { receivePipelined(nc, sent, closing) })
		sendPipelined(nc, sent, closing, newCall, func() time.Duration { return time.Duration(rng.Int64N(int64(maxPause))) })
		close(sent)
		reader.Wait()
		_ = nc.Close()
	}
}

// sendPipelined sends requests until the connection is closing.
func sendPipelined(nc net.Conn, sent chan<- *stopCall, closing <-chan struct{}, newCall func() *stopCall, pause func() time.Duration) {
	for {
		c := newCall()
		c.pipelined = true
		if c.send(nc) != nil {
			return
		}
		sent <- c // receivePipelined takes all requests, also when no response can come any more
		select {
		case <-closing:
			return
		case <-time.After(pause()):
		}
	}
}

// receivePipelined receives the responses to the requests of a connection. It closes closing when no further one can come.
func receivePipelined(nc net.Conn, sent <-chan *stopCall, closing chan<- struct{}) {
	br := bufio.NewReader(nc)
	var behind error // the error of further requests
	for c := range sent {
		switch {
		case behind != nil:
			c.fail(behind)
		case !c.receive(nc, br):
			behind = errorBehind(c)
			close(closing)
		}
	}
}

// errorBehind returns the error of requests that were pipelined behind the last one that was received.
func errorBehind(last *stopCall) error {
	if errors.Is(last.err, os.ErrDeadlineExceeded) {
		return last.err // the caller gives up the connection
	}
	return errBehindClose
}

// stopBesideLoad stops a host beside load, with further signals that are sent to it at 0.5 s intervals, and returns the requests.
func stopBesideLoad(t *testing.T, s *gateSite, h *gateHost, l *stopLoad, further ...syscall.Signal) (calls []*stopCall, stopped time.Time) {
	t.Helper()
	time.Sleep(time.Second)
	stopped = time.Now()
	h.Signal(syscall.SIGTERM)
	for _, sig := range further {
		time.Sleep(500 * time.Millisecond)
		if sig == syscall.SIGHUP {
			s.changeSettings(h)
		}
		h.Signal(sig)
	}
	select {
	case <-h.Done:
	case <-time.After(time.Until(stopped.Add(gateGrace))):
		t.Errorf("host %s did not stop within its grace of %v", h.ID, gateGrace)
		h.Kill()
	}
	h.alive.Store(false)
	return l.wait(), stopped
}

// assertSomeServed checks that the host has served requests that came after SIGTERM.
func assertSomeServed(t *testing.T, calls []*stopCall, stopped time.Time) {
	t.Helper()
	counts := make(map[int]int)
	served := 0
	for _, c := range calls {
		if c.sent.After(stopped) {
			counts[c.status]++
			if c.signed {
				served++
			}
		}
	}
	t.Logf("%d requests, after SIGTERM by status: %v", len(calls), counts)
	if served == 0 {
		t.Error("no request that came after SIGTERM was served")
	}
}

// stopSeeds is the number of seeds that TestGateStopLosesNoRequest plays.
var stopSeeds = flag.Uint64("stopSeeds", 1, "number of seeds of the load beside a stop")

// Guards against requests that lose their answer because their host is stopped: callers go on sending on new and kept
// connections, pipelined and with bodies in chunks, to upstreams some of which take longer than the grace. Signals follow.
func TestGateStopLosesNoRequest(t *testing.T) {
	for seed := range *stopSeeds {
		for _, timeout := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("seed %d, timeout %v", seed, timeout), func(t *testing.T) {
				t.Parallel()
				s := newGateSite(t, 2)
				s.sendCommand(map[string]any{"TimeoutMS": timeout.Milliseconds()})
				time.Sleep(2 * time.Second) // until the timeout is in force
				h := s.hosts[seed%uint64(len(s.hosts))]
				further := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}
				calls, stopped := stopBesideLoad(t, s, h, s.startStopLoad(h, seed, 6), further...)
				assertNoneLost(t, calls, s.platformStats(), stopped, timeout)
				assertSomeServed(t, calls, stopped)
			})
		}
	}
}
