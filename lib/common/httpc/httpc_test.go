package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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
