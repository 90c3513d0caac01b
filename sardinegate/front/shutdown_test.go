package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// heldListener accepts connections only once accept is closed, as a listener of a busy host does.
type heldListener struct {
	*net.TCPListener
	accept chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// startShutdown begins a shutdown and waits until the server accepts no new listener. The function that it returns waits until
// the shutdown has ended, with a time limit of 10 s.
func startShutdown(t *testing.T, s *Server) (wait func()) {
	t.Helper()
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	go func() { ended <- s.Shutdown(ctx) }()
	for {
		s.mu.Lock()
		stopping := s.stopping
		s.mu.Unlock()
		if stopping {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return func() {
		defer cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a planned stop that resets the connections that wait to be accepted: their callers are connected and may have
// sent a whole request.
func TestShutdownServesConnectionsThatWait(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &heldListener{tcp.(*net.TCPListener), make(chan struct{})}
	s := &Server{Handler: http.HandlerFunc(echo), Log: slog.New(slog.DiscardHandler)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	var waiting []net.Conn
	for range 5 {
		nc := dial(t, ln.Addr().String())
		writeString(t, nc, getRequest("/1"))
		waiting = append(waiting, nc)
	}
	wait := startShutdown(t, s)
	close(ln.accept)
	for _, nc := range waiting {
		if resp := assertResponse(t, bufio.NewReader(nc), 200, "/1"); !resp.Close {
			t.Error("the response does not announce the close of the connection")
		}
	}
	wait()
	if err := <-served; err != http.ErrServerClosed { //nolint:errorlint // Serve returns this very value
		t.Errorf("Serve returned %v", err)
	}
	if _, err := net.Dial("tcp4", ln.Addr().String()); err == nil {
		t.Error("the listener accepts connections after the shutdown")
	}
}

// stalledListener is a listener whose process gets no processor for a while after the deadline of its last accepts was set.
type stalledListener struct {
	*heldListener
	stalls int
	stall  time.Duration
}

func (l *stalledListener) SetDeadline(t time.Time) error {
	err := l.heldListener.SetDeadline(t)
	if l.stalls > 0 && t.After(time.Now()) {
		l.stalls--
		time.Sleep(time.Until(t) + l.stall)
	}
	return err
}

// Guards against a planned stop that resets the connections that wait to be accepted because the host, which is busy, did not get
// to accept them within lastAcceptWait, by little or by much.
func TestShutdownOfABusyHostServesConnectionsThatWait(t *testing.T) {
	for _, stall := range []time.Duration{lastAcceptWait / 4, 2 * lastAcceptWait} {
		t.Run(stall.String(), func(t *testing.T) {
			tcp, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ln := &stalledListener{&heldListener{tcp.(*net.TCPListener), make(chan struct{})}, 3, stall}
			s := &Server{Handler: http.HandlerFunc(echo), Log: slog.New(slog.DiscardHandler)}
			go func() { _ = s.Serve(ln) }()
			defer s.Close()
			nc := dial(t, ln.Addr().String())
			writeString(t, nc, getRequest("/1"))
			wait := startShutdown(t, s)
			close(ln.accept)
			assertResponse(t, bufio.NewReader(nc), 200, "/1")
			wait()
		})
	}
}

// Guards against a planned stop that closes a connection whose first request is on its way, or has arrived in part.
func TestShutdownServesRequestsOnTheirWay(t *testing.T) {
	for name, sent := range map[string]int{"nothing sent": 0, "head begun": 10, "body begun": len("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na")} {
		t.Run(name, func(t *testing.T) {
			const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
			s, nc, br := startServer(t, echo)
			for s.connections() < 1 {
				time.Sleep(time.Millisecond)
			}
			writeString(t, nc, text[:sent])
			time.Sleep(50 * time.Millisecond) // lets the beginning arrive
			wait := startShutdown(t, s)
			time.Sleep(3 * pollInterval)
			writeString(t, nc, text[sent:])
			assertResponse(t, br, 200, "/abc")
			wait()
		})
	}
}

// connections returns the number of open connections.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Guards against a planned stop that waits for a caller that has connected and sends nothing.
func TestShutdownEndsWithoutAFirstRequest(t *testing.T) {
	s, nc, _ := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("served") })
	for s.connections() < 1 {
		time.Sleep(time.Millisecond)
	}
	startShutdown(t, s)()
	if _, err := io.ReadAll(nc); err != nil {
		t.Errorf("connection ended with %v, want its end", err)
	}
}

// Guards against requests that were passed on and have no answer when the requests in flight end at the end of the grace, and others
// wait behind a full pipeline: the last answer has to close the connection, and nothing may be served behind it.
func TestServedRequestsOfAFullPipelineAreAnsweredAtTheStop(t *testing.T) {
	stopping, begun := make(chan struct{}), make(chan struct{}, 4*maxPipelined)
	s, nc, br := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-stopping
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	writeString(t, nc, strings.Repeat(getRequest("/"), cap(begun)))
	for len(begun) < maxPipelined {
		time.Sleep(time.Millisecond)
	}
	wait := startShutdown(t, s)
	close(stopping)
	answered := 1
	for !assertResponse(t, br, http.StatusServiceUnavailable, "").Close {
		answered++
	}
	assertClosed(t, br)
	_ = nc.Close()
	wait()
	if len(begun) != answered {
		t.Errorf("%d requests served, %d of them answered", len(begun), answered)
	}
}
