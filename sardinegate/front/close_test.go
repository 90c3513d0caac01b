package front

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a refusal that a caller loses because it is still sending: the connection is closed with unread input, which
// resets it. The caller sends a long body, whole or in chunks, for longer than lingerTime and reads the response after that.
func TestRefusalOfALongBodyArrives(t *testing.T) {
	const pieces, size = 25, 64 << 10
	piece := strings.Repeat("x", size)
	for name, c := range map[string]struct{ framing, before, after, end string }{
		"length":  {"Content-Length: " + strconv.Itoa(pieces*size), "", "", ""},
		"chunked": {"Transfer-Encoding: chunked", strconv.FormatInt(size, 16) + "\r\n", "\r\n", "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, nc, br := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			writeString(t, nc, "POST / HTTP/1.1\r\nHost: a\r\n"+c.framing+"\r\n\r\n")
			for range pieces {
				time.Sleep(lingerTime / 20)
				writeString(t, nc, c.before+piece+c.after)
			}
			writeString(t, nc, c.end)
			resp := assertResponse(t, br, http.StatusServiceUnavailable, "")
			if !resp.Close {
				t.Error("the response does not announce the close of the connection")
			}
		})
	}
}

// hookedConn is a connection whose second read is made by a function.
type hookedConn struct {
	*net.TCPConn
	reads  int
	second func(read func() (int, error)) (int, error)
}

func (c *hookedConn) Read(p []byte) (int, error) {
	read := func() (int, error) { return c.TCPConn.Read(p) }
	if c.reads++; c.reads == 2 {
		return c.second(read)
	}
	return read()
}

// hookedListener accepts connections as hookedConns.
type hookedListener struct {
	*net.TCPListener
	second func(read func() (int, error)) (int, error)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{TCPConn: nc.(*net.TCPConn), second: l.second}, nil
}

// startKeptConnection starts a server and sends it a request on a connection that it keeps, and then another one, which second reads.
func startKeptConnection(t *testing.T, second func(read func() (int, error)) (int, error)) (*Server, *bufio.Reader) {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: http.HandlerFunc(echo), Log: slog.New(slog.DiscardHandler)}
	go func() { _ = s.Serve(&hookedListener{tcp.(*net.TCPListener), second}) }()
	t.Cleanup(s.Close)
	nc := dial(t, tcp.Addr().String())
	br := bufio.NewReader(nc)
	writeString(t, nc, getRequest("/1"))
	assertResponse(t, br, 200, "/1")
	writeString(t, nc, getRequest("/2"))
	return s, br
}

// Guards against a planned stop that takes a kept connection for idle while a whole request waits there to be read, as on a busy
// host, and closes it without an answer.
func TestShutdownServesARequestThatIsNotReadYet(t *testing.T) {
	read := make(chan struct{})
	s, br := startKeptConnection(t, func(readNow func() (int, error)) (int, error) {
		<-read
		return readNow()
	})
	time.Sleep(20 * time.Millisecond) // lets the request arrive
	wait := startShutdown(t, s)
	time.Sleep(3 * pollInterval)
	close(read)
	assertResponse(t, br, 200, "/2")
	wait()
}

// Guards against a planned stop that takes a kept connection for idle while the reading goroutine has a whole request that it has
// just taken from the kernel, and closes the connection without an answer.
func TestShutdownServesARequestThatIsBeingRead(t *testing.T) {
	taken := make(chan struct{})
	s, br := startKeptConnection(t, func(readNow func() (int, error)) (int, error) {
		n, err := readNow()
		close(taken)
		time.Sleep(5 * pollInterval)
		return n, err
	})
	<-taken
	wait := startShutdown(t, s)
	assertResponse(t, br, 200, "/2")
	wait()
}

// Guards against a log line that says that requests were cut when there were none: a caller only keeps its connection open.
func TestShutdownReportsRequestsThatAreLeft(t *testing.T) {
	for name, want := range map[string]int{"/": 0, "/hang": 1} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{})
			s, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hang" {
					close(begun)
					<-r.Context().Done()
				}
			})
			writeString(t, nc, getRequest(name))
			if want == 0 {
				assertResponse(t, br, 200, "")
			} else {
				<-begun
			}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			err := s.Shutdown(ctx)
			var cut *CutError
			if errors.As(err, &cut) != (want > 0) || cut != nil && cut.Requests != want {
				t.Errorf("Shutdown returned %v, want %d requests left", err, want)
			}
		})
	}
}

// Guards against a request that is cancelled because its caller has sent nothing more for idleTimeout while it waits for the
// response.
func TestIdleTimeoutDoesNotEndRequests(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	s, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		select {
		case <-proceed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
	writeString(t, nc, getRequest("/"))
	<-begun
	s.mu.Lock()
	for c := range s.conns {
		_ = c.nc.SetReadDeadline(time.Now()) // the end of idleTimeout
	}
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // lets the reading goroutine notice it
	close(proceed)
	assertResponse(t, br, http.StatusOK, "")
}

// Guards against two responses that are written to one connection at once, which the race detector reports: a caller leaves while the
// first of three pipelined responses is being written. The second one cannot start, and its end must not let the third one start.
func TestOneResponseIsWrittenAtATimeWhenTheCallerLeaves(t *testing.T) {
	writing := make(chan struct{})
	_, nc, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			_, _ = w.Write([]byte("begun"))
			close(writing)
			<-r.Context().Done()
			for range 1000 {
				_, _ = w.Write([]byte("x"))
			}
			return
		}
		<-r.Context().Done()
		for range 1000 {
			_, _ = w.Write([]byte("x"))
		}
	})
	writeString(t, nc, getRequest("/1")+getRequest("/2")+getRequest("/3")+getRequest("/4"))
	<-writing
	_ = nc.Close()
}
