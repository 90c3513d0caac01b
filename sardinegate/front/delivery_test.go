package front

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longAnswer fits the send buffer of the server, and not the receive buffer of a slowCaller as well.
var longAnswer = bytes.Repeat([]byte("x"), 128<<10)

// slowCaller connects a caller with a small receive buffer.
func slowCaller(t *testing.T, s *Server) net.Conn {
	t.Helper()
	s.mu.Lock()
	addr := s.listeners[0].Addr().String()
	s.mu.Unlock()
	nc := dial(t, addr)
	if err := nc.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	return nc
}

func assertLongAnswer(t *testing.T, nc net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, longAnswer) {
		t.Fatalf("got %d bytes (%v), want all %d", len(got), err, len(longAnswer))
	}
}

// Guards against a complete response that a slow caller loses because the server closes the connection while pipelined requests
// wait there unread, which resets it.
func TestCloseDeliversCompleteResponses(t *testing.T) {
	hanging := make(chan struct{}, maxPipelined)
	s, _, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			_, _ = w.Write(longAnswer)
			return
		}
		hanging <- struct{}{}
		<-r.Context().Done()
	})
	nc := slowCaller(t, s)
	writeString(t, nc, getRequest("/1")+strings.Repeat(getRequest("/hang"), 10*maxPipelined))
	for range maxPipelined { // the last one begins once the first response is complete
		<-hanging
	}
	s.Close()
	assertLongAnswer(t, nc)
}

// Guards against a server that waits at its close for a caller that does not read the response that is being written.
func TestCloseEndsAResponseThatIsNotRead(t *testing.T) {
	ended := make(chan struct{})
	s, _, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for range 1000 {
			if _, err := w.Write(longAnswer); err != nil {
				return
			}
		}
		t.Error("the response was written")
	})
	writeString(t, slowCaller(t, s), getRequest("/"))
	time.Sleep(50 * time.Millisecond) // lets the response fill the buffers
	begun := time.Now()
	s.Close()
	<-ended
	if took := time.Since(begun); took > writeTimeout/10 {
		t.Errorf("the close took %v", took)
	}
}

// Guards against a complete response that a slow caller loses because the server has closed the connection when a further request
// arrives, which resets it.
func TestLingerDeliversTheLastResponse(t *testing.T) {
	s, _, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(longAnswer) })
	s.DisableKeepAlives()
	nc := slowCaller(t, s)
	writeString(t, nc, getRequest("/1"))
	time.Sleep(2*lingerTime + 100*time.Millisecond)
	_, _ = io.WriteString(nc, getRequest("/2")) // may fail: the server closes the connection
	time.Sleep(20 * time.Millisecond)
	assertLongAnswer(t, nc)
}

// Guards against a response without a length that looks complete to an HTTP/1.0 caller though it was cut: its end is the end of the
// connection, so that a cut must reset it.
func TestCutResponseWithoutLengthIsReset(t *testing.T) {
	begun := make(chan struct{})
	s, nc, br := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(longAnswer)
		if r.URL.Path == "/close" {
			close(begun)
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	})
	other := dial(t, nc.RemoteAddr().String())
	writeString(t, nc, "GET /abort HTTP/1.0\r\n\r\n")
	if _, err := io.ReadAll(br); err == nil {
		t.Error("a response whose handler panics looks complete")
	}
	writeString(t, other, "GET /close HTTP/1.0\r\n\r\n")
	<-begun
	s.Close()
	if _, err := io.ReadAll(other); err == nil {
		t.Error("a response that is cut when the server closes looks complete")
	}
}
