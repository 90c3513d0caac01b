package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// uploadBytes is the length of a request body that no socket buffers hold, so that it is still being written when the response comes.
	uploadBytes = 32 << 20
	// uploadBuffered is the length of its beginning that is in Request.Body.
	uploadBuffered = 64 << 10
)

// newUpload returns a request with a long body, whose length the upstream is told if known is set.
func newUpload(address string, known bool) *Request {
	r := newRequest(address, "1")
	r.Method, r.Body, r.ContentLength = http.MethodPost, make([]byte, uploadBuffered), -1
	r.BodyRest = io.LimitReader(zeros{}, uploadBytes-uploadBuffered)
	if known {
		r.ContentLength = uploadBytes
	}
	return r
}

// answerUpload returns a handler that reads the head of a request and answers at once without a length, with size bytes of body. It
// then leaves the connection to end.
func answerUpload(size int, end func(nc *net.TCPConn)) connHandler {
	text := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("b", size)
	return func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, text)
		end(nc.(*net.TCPConn))
	}
}

// readWhole sends a request and reads the response to its end. It returns the length of the body.
func readWhole(ctx context.Context, p *Pool, r *Request) (int64, error) {
	resp, err := p.Do(ctx, r)
	if err != nil {
		return 0, err
	}
	n := int64(len(resp.Body))
	if resp.BodyRest == nil {
		return n, nil
	}
	defer resp.BodyRest.Close()
	rest, err := io.Copy(io.Discard, resp.BodyRest)
	return n + rest, err
}

// forEachUpload runs a subtest for each way to send a long upload and each length of the response to it, of which the longest are not
// buffered whole.
func forEachUpload(t *testing.T, test func(t *testing.T, known bool, size int)) {
	for _, known := range []bool{true, false} {
		for _, size := range []int{10, 100 << 10, 900 << 10, 3 << 20} {
			t.Run(fmt.Sprintf("known length %t, %d bytes", known, size), func(t *testing.T) { test(t, known, size) })
		}
	}
}

// Guards against a response without a length that is taken for complete although its connection was reset: the kernel reports the
// reset to the write of the request, and the end of the stream to the read of the response.
func TestResetDuringUploadIsNoEndOfTheResponse(t *testing.T) {
	const (
		exchanges  = 40
		concurrent = 8
		// longestDelay is the longest time from the response to the reset.
		longestDelay = 15 * time.Millisecond
	)
	forEachUpload(t, func(t *testing.T, known bool, size int) {
		p := newPool(t)
		var wg sync.WaitGroup
		slots := make(chan struct{}, concurrent)
		for i := range exchanges {
			addr := startUpstream(t, answerUpload(size, func(nc *net.TCPConn) {
				time.Sleep(longestDelay * time.Duration(i) / exchanges)
				_ = nc.SetLinger(0)
			}))
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				if n, err := readWhole(context.Background(), p, newUpload(addr, known)); err == nil {
					t.Errorf("response that was reset is taken for complete, with %d bytes of body", n)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against an early response that is taken for cut although its upstream has ended it in order: what the upstream does with the
// rest of the request says nothing about the response.
func TestOrderlyEndDuringUploadIsTheEndOfTheResponse(t *testing.T) {
	for name, end := range map[string]func(nc *net.TCPConn, received <-chan struct{}){
		"then closes": func(nc *net.TCPConn, _ <-chan struct{}) {
			_ = nc.CloseWrite()
			awaitDelivery(nc) // closing earlier would discard what is not delivered
		},
		"then reads on": func(nc *net.TCPConn, _ <-chan struct{}) {
			_ = nc.CloseWrite()
			_, _ = io.Copy(io.Discard, nc)
		},
		"then reads nothing": func(nc *net.TCPConn, received <-chan struct{}) {
			_ = nc.CloseWrite()
			<-received // the upload stays blocked until then
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachUpload(t, func(t *testing.T, known bool, size int) {
				p := newPool(t)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				received := make(chan struct{})
				defer close(received)
				addr := startUpstream(t, answerUpload(size, func(nc *net.TCPConn) { end(nc, received) }))
				n, err := readWhole(ctx, p, newUpload(addr, known))
				if err != nil || n != int64(size) {
					t.Errorf("got %d bytes of body, error %v, want %d", n, err, size)
				}
				if ctx.Err() != nil {
					t.Error("the response was complete only at its time limit")
				}
			})
		})
	}
}

// awaitDelivery waits until the peer has received all that was written to a connection, and its end.
func awaitDelivery(nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	for pending := 1; err == nil && pending > 0; time.Sleep(time.Millisecond) {
		err = raw.Control(func(fd uintptr) { pending, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	}
}

// Guards against a response that waits for a caller who sends the rest of its request later than the upstream answers.
func TestEarlyResponseDoesNotWaitForTheCaller(t *testing.T) {
	p := newPool(t)
	r := newUpload(startUpstream(t, answerUpload(10, func(nc *net.TCPConn) { _ = nc.CloseWrite() })), true)
	rest, send := io.Pipe()
	defer send.Close()
	r.BodyRest = rest
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if n, err := readWhole(ctx, p, r); err != nil || n != 10 || ctx.Err() != nil {
		t.Errorf("got %d bytes of body, error %v, time limit %v, want 10 before it", n, err, ctx.Err())
	}
}

// Guards against an error that does not tell an operator why a response is not complete.
func TestResetIsNamedAsTheCause(t *testing.T) {
	p := newPool(t)
	r := newUpload(startUpstream(t, answerUpload(10, func(nc *net.TCPConn) { _ = nc.SetLinger(0) })), true)
	_, err := readWhole(context.Background(), p, r)
	var exchange *ExchangeError
	if !errors.As(err, &exchange) || !strings.Contains(err.Error(), "reset") {
		t.Errorf("got error %v, want an ExchangeError that names the reset", err)
	}
}
