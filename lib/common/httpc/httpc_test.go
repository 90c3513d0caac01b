package httpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startEndless starts a server that sends head and then part again and again until the connection closes. It returns its address
// and the number of bytes that it has written.
func startEndless(t *testing.T, head, part string) (addr string, written *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	written = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		_, err = io.WriteString(nc, head)
		for err == nil {
			var n int
			n, err = io.WriteString(nc, part)
			written.Add(int64(n))
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String(), written
}

// Guards against a server that sends a response without end and so takes the memory of its caller, megabytes for each call.
func TestResponsesWithoutEndAreGivenUp(t *testing.T) {
	const limit = 64 << 10
	// The buffers of a loopback connection hold a few megabytes that the client has not read.
	const kernelBuffers = 8 << 20
	const ok = "HTTP/1.1 200 OK\r\n"
	fields := strings.Repeat("A: b\r\n", 10_000)
	for name, c := range map[string]struct{ head, part string }{
		"head":             {ok, fields},
		"interim head":     {"HTTP/1.1 103 Early Hints\r\n", fields},
		"interim response": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1000)},
		"body":             {ok + "\r\n", fields},
		"chunks":           {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;x=y\r\nb\r\n", 1000)},
		"trailer":          {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", fields},
		"error":            {"HTTP/1.1 500 Internal Server Error\r\n\r\n", fields},
	} {
		t.Run(name, func(t *testing.T) {
			addr, written := startEndless(t, c.head, c.part)
			client := New(0)
			defer client.Close()
			ctx, done, err := client.Begin(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			defer done()
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := client.Do(req, limit); err == nil || ctx.Err() != nil {
				t.Errorf("the call ended with error %v, want one before its time limit", err)
			}
			if n := written.Load(); n > kernelBuffers {
				t.Errorf("the client took %d bytes, want at most %d", n, kernelBuffers)
			}
		})
	}
}

// startServer starts a server that reads the head of the request on each connection and then runs answer. It returns its address.
func startServer(t *testing.T, answer func(nc *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer nc.Close()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
					answer(nc.(*net.TCPConn))
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// post sends a request with a body of the given length to addr and returns the body of the response.
func post(t *testing.T, addr string, length int) ([]byte, error) {
	t.Helper()
	client := New(0)
	defer client.Close()
	ctx, done, err := client.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr, bytes.NewReader(make([]byte, length)))
	if err != nil {
		t.Fatal(err)
	}
	return client.Do(req, 1<<20)
}

// Guards against a shorter body than the server's that is taken for whole, because the connection was reset while the request was
// being written.
func TestResetDuringRequestIsNoEndOfTheResponse(t *testing.T) {
	const tries = 100
	for i := range tries {
		addr := startServer(t, func(nc *net.TCPConn) {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(time.Duration(i%10) * time.Millisecond)
			_ = nc.SetLinger(0)
		})
		if body, err := post(t, addr, 32<<20); err == nil {
			t.Errorf("response that was reset is taken for whole, with body %q", body)
		}
	}
}

// Guards against a response whose head or trailer is not valid being used: its body may be another one than the server's, and its status
// may say wrongly that nothing was done.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"blank in a name":               ok + "A B: c\r\nContent-Length: 2\r\n\r\nab",
		"blank after Content-Length":    ok + "Content-Length : 2\r\n\r\nabcdef",
		"blank after Transfer-Encoding": ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"blank in a trailer":            ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA B: c\r\n\r\n",
		"blank in an interim name":      "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nab",
		"blank in a name of a refusal":  "HTTP/1.1 503 Service Unavailable\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
		"status 000":                    "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := post(t, startServer(t, func(nc *net.TCPConn) { _, _ = io.WriteString(nc, text) }), 1)
			var status *StatusError
			if err == nil || errors.As(err, &status) {
				t.Errorf("got body %q, error %v, want an error of the response", body, err)
			}
		})
	}
}
