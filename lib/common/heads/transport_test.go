package heads

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// startServer starts a server that answers each request with text. It returns its address and the number of its connections.
func startServer(t *testing.T, text string) (addr string, connections *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections = new(atomic.Int64)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			wg.Go(func() { serve(nc, text) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l.Addr().String(), connections
}

// serve answers the requests of a connection until it ends.
func serve(nc net.Conn, text string) {
	defer nc.Close()
	for br := bufio.NewReader(nc); ; {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, text)
	}
}

// Guards against a connection that is used again after a broken response, whose rest would be taken for the next response.
func TestConnectionClosesAfterABrokenHead(t *testing.T) {
	const requests = 3
	addr, connections := startServer(t, "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n")
	transport := Transport{&http.Transport{}}
	defer transport.CloseIdleConnections()
	for range requests {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		var invalid *FieldNameError
		if !errors.As(err, &invalid) {
			t.Errorf("got response %v, error %v, want a FieldNameError", resp, err)
		}
	}
	if n := connections.Load(); n != requests {
		t.Errorf("%d connections for %d broken responses, want one each", n, requests)
	}
}
