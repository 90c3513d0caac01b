package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// startServer starts a server with the handler h and returns it with a connection to it and a reader of the connection.
func startServer(t *testing.T, h http.HandlerFunc) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: h, Log: slog.New(slog.DiscardHandler)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		<-served
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	nc := dial(t, ln.Addr().String())
	return s, nc, bufio.NewReader(nc)
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func writeString(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
}

func assertResponse(t *testing.T, br *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || string(got) != body {
		t.Fatalf("got %d %q (%v), want %d %q", resp.StatusCode, got, err, status, body)
	}
	return resp
}

func assertClosed(t *testing.T, br *bufio.Reader) {
	t.Helper()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("got %v, want the end of the connection", err)
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.URL.Path+string(body))
}

// Guards against pipelined requests that wait for the previous response, and against responses in another order than
// their requests. The first handler returns only once the second request is being served.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	_, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second
		case "/2":
			close(second)
		}
		echo(w, r)
	})
	writeString(t, nc, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	for i := 1; i <= 3; i++ {
		assertResponse(t, br, 200, fmt.Sprintf("/%d", i))
	}
}

// Guards against handlers that keep running after their caller has disconnected, including the handler of a pipelined
// request whose response is not yet due.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	began, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, nc, _ := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	writeString(t, nc, getRequest("/1")+getRequest("/2"))
	<-began
	<-began
	_ = nc.Close()
	<-ended
	<-ended
}

// Guards against losing pipelined requests when keep-alives are disabled: only the response to the newest request may
// announce the close. A request sent after that response must not be served, since the caller sends it again.
func TestPipelinedRequestsAreAnsweredBeforeClose(t *testing.T) {
	release := make(chan struct{})
	var served atomic.Int64
	s, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		<-release
		echo(w, r)
	})
	writeString(t, nc, getRequest("/1")+getRequest("/2"))
	for s.incompleteExchanges() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.DisableKeepAlives()
	close(release)
	if resp := assertResponse(t, br, 200, "/1"); resp.Close {
		t.Fatal("the first response announces the close of the connection")
	}
	if resp := assertResponse(t, br, 200, "/2"); !resp.Close {
		t.Fatal("the last response does not announce the close of the connection")
	}
	writeString(t, nc, getRequest("/3"))
	assertClosed(t, br)
	time.Sleep(2 * lingerTime) // by then the server has read the third request
	if n := served.Load(); n != 2 {
		t.Fatalf("%d requests served, want 2: the caller sends a request after the close again", n)
	}
}

// incompleteExchanges returns the number of requests without a complete response on all connections.
func (s *Server) incompleteExchanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += c.incomplete
		c.mu.Unlock()
	}
	return n
}

// Guards against a shutdown that interrupts requests, and against one that waits for idle connections.
func TestShutdownWaitsForRequestsOnly(t *testing.T) {
	release := make(chan struct{})
	s, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	idle := dial(t, nc.RemoteAddr().String())
	writeString(t, nc, getRequest("/1"))
	for s.incompleteExchanges() < 1 {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	assertClosed(t, bufio.NewReader(idle))
	close(release)
	assertResponse(t, br, 200, "/1")
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against request bodies that reach the handler changed: with a length or in chunks, buffered or read from the
// connection, and after 100 (Continue). If the connection stays open, the next request must be found after the body.
func TestRequestBodiesArriveUnchanged(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+1000)
	for name, c := range map[string]struct{ head, body string }{
		"length":      {"Content-Length: 3", "abc"},
		"chunks":      {"Transfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n"},
		"long length": {fmt.Sprintf("Content-Length: %d", len(long)), long},
		"long chunks": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)},
		"continue":    {"Expect: 100-continue\r\nContent-Length: 3", "abc"},
	} {
		t.Run(name, func(t *testing.T) {
			_, nc, br := startServer(t, echo)
			writeString(t, nc, "POST /p HTTP/1.1\r\nHost: a\r\n"+c.head+"\r\n\r\n")
			if name == "continue" {
				if line, err := br.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
					t.Fatalf("got %q, %v, want a status line with 100", line, err)
				}
				_, _ = br.ReadString('\n')
			}
			go func() { _, _ = io.WriteString(nc, c.body+getRequest("/next")) }()
			want := "/pabc"
			if strings.HasPrefix(name, "long") {
				want = "/p" + long
			}
			if resp := assertResponse(t, br, 200, want); !resp.Close {
				assertResponse(t, br, 200, "/next")
			}
		})
	}
}

// Guards against serving malformed requests: they get an error response, and the connection closes.
func TestMalformedRequestsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"garbage":      {"\x00\x01\x02\r\n\r\n", 400},
		"no host":      {"GET / HTTP/1.1\r\n\r\n", 400},
		"large header": {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHeaderBytes+1) + "\r\n\r\n", 431},
		"bad length":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, nc, br := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("served") })
			go func() { _, _ = io.WriteString(nc, c.text) }()
			assertResponse(t, br, c.status, "")
			assertClosed(t, br)
		})
	}
}

// Guards against wrong framing of responses, and against a response that looks complete although its handler wrote less
// than the declared length.
func TestResponseFraming(t *testing.T) {
	_, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/chunks":
			_, _ = io.WriteString(w, "a")
			_, _ = io.WriteString(w, "b")
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/empty":
		case "/short":
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "abc")
		}
	})
	writeString(t, nc, getRequest("/chunks")+getRequest("/none")+getRequest("/empty")+getRequest("/short"))
	assertResponse(t, br, 200, "ab")
	assertResponse(t, br, 204, "")
	assertResponse(t, br, 200, "")
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		t.Fatal("got no error for an incomplete response")
	}
}

// Guards against a handler that panics with http.ErrAbortHandler and leaves its connection open or breaks other
// connections.
func TestAbortedHandlerClosesOnlyItsConnection(t *testing.T) {
	_, nc, br := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	})
	other := dial(t, nc.RemoteAddr().String())
	writeString(t, nc, getRequest("/abort"))
	if _, err := br.ReadByte(); err == nil {
		t.Fatal("got a response from an aborted handler")
	}
	writeString(t, other, getRequest("/"))
	assertResponse(t, bufio.NewReader(other), 200, "")
}

// Guards against a status that is no final one being sent, or turned into 200, which would be a success for the caller.
func TestInvalidStatusIsNotSent(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 199, 1000} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			_, nc, br := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
			writeString(t, nc, getRequest("/"))
			assertClosed(t, br)
		})
	}
}
