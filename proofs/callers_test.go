package proofs

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// The callers in this file use less common forms of requests and responses than those of stopload_test.go: they read slowly, send
// heads in pieces, wait for 100 (Continue), pipeline six requests at once and get responses without a length.

const (
	// slowReadSize is the most that a slow caller reads at once, in bytes, and slowReadBuffer its receive buffer, so that large
	// responses wait in the host.
	slowReadSize   = 8 << 10
	slowReadBuffer = 16 << 10
	// burstSize is the number of requests that a caller pipelines at once.
	burstSize = 6
)

// slowConn is a connection whose caller pauses before each read.
type slowConn struct {
	net.Conn
	pause time.Duration
}

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), slowReadSize)])
}

// dialSlow connects a caller that reads slowly, or returns nil as dial does.
func (l *stopLoad) dialSlow(rng *rand.Rand) net.Conn {
	nc := l.dial()
	if nc == nil {
		return nil
	}
	_ = nc.(*net.TCPConn).SetReadBuffer(slowReadBuffer) // the caller reads slowly in any case
	return slowConn{nc, time.Duration(rng.IntN(25)) * time.Millisecond}
}

// newDownload returns a request with a response of 20 KB to 3 MB.
func (l *stopLoad) newDownload(rng *rand.Rand) *stopCall {
	c := l.newCall(rng, false)
	c.size = 20_000 << rng.IntN(5)
	if rng.IntN(10) == 0 {
		c.size = 3_000_000 // more than a host buffers
	}
	return c
}

// downloadSlowly gets large responses on kept connections and reads them slowly.
func (l *stopLoad) downloadSlowly(rng *rand.Rand) {
	for nc := l.dialSlow(rng); nc != nil; nc = l.dialSlow(rng) {
		br := bufio.NewReader(nc)
		for kept := true; kept; {
			c := l.newDownload(rng)
			kept = c.send(nc) == nil && c.receive(nc, br)
		}
		_ = nc.Close()
	}
}

// pipelineDownloads pipelines requests with large responses and reads them slowly.
func (l *stopLoad) pipelineDownloads(rng *rand.Rand) {
	dial := func() net.Conn { return l.dialSlow(rng) }
	l.pipeline(rng, 1500*time.Millisecond, dial, func() *stopCall {
		c := l.newDownload(rng)
		c.size = min(c.size, 320_000)
		return c
	})
}

// callWithoutLength gets responses without a length.
func (l *stopLoad) callWithoutLength(rng *rand.Rand) {
	for nc := l.dial(); nc != nil; nc = l.dial() {
		br := bufio.NewReader(nc)
		for kept := true; kept; {
			c := l.newDownload(rng)
			c.noLength = true
			kept = c.send(nc) == nil && c.receive(nc, br)
		}
		_ = nc.Close()
	}
}

// callInPieces sends heads in pieces with pauses. Orders wait for 100 (Continue) before the body.
func (l *stopLoad) callInPieces(rng *rand.Rand) {
	for nc := l.dial(); nc != nil; nc = l.dial() {
		br := bufio.NewReader(nc)
		for kept := true; kept; {
			c := l.newCall(rng, rng.IntN(2) == 0)
			kept = c.sendPieces(nc, br, rng) == nil && c.receive(nc, br)
		}
		_ = nc.Close()
	}
}

// sendPieces writes the head of a request in three pieces, and the body of an order once the host has asked for it.
func (c *stopCall) sendPieces(nc net.Conn, br *bufio.Reader, rng *rand.Rand) error {
	head := c.head()
	if c.order {
		head += fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(c.body))
	}
	head += "\r\n"
	c.begin()
	for range 2 {
		n := rng.IntN(len(head))
		if _, err := io.WriteString(nc, head[:n]); err != nil {
			c.fail(err)
			return err
		}
		head = head[n:]
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	if !c.order {
		return c.write(nc, head)
	}
	if _, err := io.WriteString(nc, head); err != nil {
		c.fail(err)
		return err
	}
	if err := c.awaitContinue(nc, br); err != nil {
		c.fail(err)
		return err
	}
	return c.write(nc, c.body)
}

// notContinuedError reports a final response before the body was sent.
type notContinuedError struct{ status int }

// Error implements error.
func (e *notContinuedError) Error() string {
	return fmt.Sprintf("status %d in place of 100 (Continue)", e.status)
}

// awaitContinue waits until the host asks for the body.
func (c *stopCall) awaitContinue(nc net.Conn, br *bufio.Reader) error {
	_ = nc.SetReadDeadline(c.begun.Add(c.limit + time.Second))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // the connection is not used again after a final response
	if resp.StatusCode != http.StatusContinue {
		return &notContinuedError{resp.StatusCode}
	}
	return nil
}

// callInBursts pipelines some requests at once and waits for all responses before the next ones.
func (l *stopLoad) callInBursts(rng *rand.Rand) {
	for nc := l.dial(); nc != nil; nc = l.dial() {
		br := bufio.NewReader(nc)
		for kept := true; kept; {
			kept = l.sendBurst(nc, br, rng)
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		_ = nc.Close()
	}
}

// sendBurst sends burstSize requests and receives their responses. It returns false if the connection carries no further ones.
func (l *stopLoad) sendBurst(nc net.Conn, br *bufio.Reader, rng *rand.Rand) bool {
	var burst []*stopCall
	for range burstSize {
		c := l.newCall(rng, false)
		c.pipelined = true
		if c.send(nc) != nil {
			break
		}
		burst = append(burst, c)
	}
	for i, c := range burst {
		if !c.receive(nc, br) {
			for _, other := range burst[i+1:] {
				other.fail(errorBehind(c))
			}
			return false
		}
	}
	return len(burst) == burstSize
}
