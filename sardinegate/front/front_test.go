package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// start serves h and returns a connection to it.
func start(t *testing.T, h http.HandlerFunc) (*Server, net.Conn, *bufio.Reader) {
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

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func write(t *testing.T, nc net.Conn, text string) {
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

func assertEnd(t *testing.T, br *bufio.Reader) {
	t.Helper()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("got %v, want the end of the connection", err)
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.URL.Path+string(body))
}

// Guards against requests that wait for the response before them, and against responses out of order.
func TestPipelinedRequestsAreServedSideBySide(t *testing.T) {
	second := make(chan struct{})
	_, nc, br := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second
		case "/2":
			close(second)
		}
		echo(w, r)
	})
	write(t, nc, get("/1")+get("/2")+get("/3"))
	for i := 1; i <= 3; i++ {
		assertResponse(t, br, 200, fmt.Sprintf("/%d", i))
	}
}

// Guards against work for a caller that has left, also behind another request.
func TestCallerLeaves(t *testing.T) {
	began, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	_, nc, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	write(t, nc, get("/1")+get("/2"))
	<-began
	<-began
	_ = nc.Close()
	<-ended
	<-ended
}

// Guards against lost requests behind a response that ends the connection.
func TestLeavingServerAnswersWhatItRead(t *testing.T) {
	release := make(chan struct{})
	var served atomic.Int64
	s, nc, br := start(t, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		<-release
		echo(w, r)
	})
	write(t, nc, get("/1")+get("/2"))
	for s.open() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.Leave()
	close(release)
	if resp := assertResponse(t, br, 200, "/1"); resp.Close {
		t.Fatal("the first response ends the connection")
	}
	if resp := assertResponse(t, br, 200, "/2"); !resp.Close {
		t.Fatal("the last response does not end the connection")
	}
	write(t, nc, get("/3"))
	assertEnd(t, br)
	time.Sleep(2 * lingerTime) // the request behind the end was read by then
	if n := served.Load(); n != 2 {
		t.Fatalf("%d requests served, want 2: the caller sends the one behind the end again", n)
	}
}

// open returns the requests that are served.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += c.open
		c.mu.Unlock()
	}
	return n
}

// Guards against cutting requests at a shutdown, and against waiting for idle connections.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	s, nc, br := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	idle := dial(t, nc.RemoteAddr().String())
	write(t, nc, get("/1"))
	for s.open() < 1 {
		time.Sleep(time.Millisecond)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	assertEnd(t, bufio.NewReader(idle))
	close(release)
	assertResponse(t, br, 200, "/1")
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against bodies that arrive changed, with a length or in chunks, short or long.
func TestBodies(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+1000)
	for name, c := range map[string]struct{ head, body string }{
		"length":      {"Content-Length: 3", "abc"},
		"chunks":      {"Transfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n"},
		"long length": {fmt.Sprintf("Content-Length: %d", len(long)), long},
		"long chunks": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)},
		"continue":    {"Expect: 100-continue\r\nContent-Length: 3", "abc"},
	} {
		t.Run(name, func(t *testing.T) {
			_, nc, br := start(t, echo)
			write(t, nc, "POST /p HTTP/1.1\r\nHost: a\r\n"+c.head+"\r\n\r\n")
			if name == "continue" {
				if line, err := br.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
					t.Fatalf("got %q, %v", line, err)
				}
				_, _ = br.ReadString('\n')
			}
			go func() { _, _ = io.WriteString(nc, c.body+get("/next")) }()
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

// Guards against work for what is no proper request.
func TestMalformedRequests(t *testing.T) {
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
			_, nc, br := start(t, func(http.ResponseWriter, *http.Request) { t.Error("served") })
			go func() { _, _ = io.WriteString(nc, c.text) }()
			assertResponse(t, br, c.status, "")
			assertEnd(t, br)
		})
	}
}

// Guards against responses that look complete although they are not, and against a wrong framing.
func TestResponses(t *testing.T) {
	_, nc, br := start(t, func(w http.ResponseWriter, r *http.Request) {
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
	write(t, nc, get("/chunks")+get("/none")+get("/empty")+get("/short"))
	assertResponse(t, br, 200, "ab")
	assertResponse(t, br, 204, "")
	assertResponse(t, br, 200, "")
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		t.Fatal("an incomplete response looks complete")
	}
}

// Guards against a handler's abort that leaves the connection open or takes other connections along.
func TestAbortedHandler(t *testing.T) {
	_, nc, br := start(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	})
	other := dial(t, nc.RemoteAddr().String())
	write(t, nc, get("/abort"))
	if _, err := br.ReadByte(); err == nil {
		t.Fatal("got a response")
	}
	write(t, other, get("/"))
	assertResponse(t, bufio.NewReader(other), 200, "")
}
