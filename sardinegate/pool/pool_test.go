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
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// connHandler serves one connection of an upstream; conn is the number of the connection, from 0.
type connHandler func(t *testing.T, nc net.Conn, br *bufio.Reader, conn int)

// startUpstream starts an upstream that runs s for each connection, and returns its address.
func startUpstream(t *testing.T, s connHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				s(t, nc, bufio.NewReader(nc), n)
			}()
		}
	}()
	return ln.Addr().String()
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	p := New()
	t.Cleanup(func() {
		p.Close()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return p
}

func newRequest(address, id string) *Request {
	return &Request{
		Address: address, Method: http.MethodGet, RequestURI: "/a/b?c=d", Host: "h.example",
		Header:  http.Header{"Id": {id}},
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

// readRequestID reads a request and returns its Id header, or false if no request can be read.
func readRequestID(br *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id"), true
}

func respond(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func assertBody(t *testing.T, p *Pool, r *Request, want string) {
	t.Helper()
	resp, err := p.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	if string(resp.Body) != want {
		t.Fatalf("body %q, want %q", resp.Body, want)
	}
}

func assertExchangeError(t *testing.T, p *Pool, r *Request) *ExchangeError {
	t.Helper()
	resp, err := p.Do(context.Background(), r)
	var exchangeErr *ExchangeError
	if !errors.As(err, &exchangeErr) {
		t.Fatalf("got %v, %v, want an ExchangeError", resp, err)
	}
	return exchangeErr
}

// Guards against opening a connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	p := newPool(t)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			respond(nc, id, "body of "+id)
		}
	})
	for i := range 5 {
		id := fmt.Sprint(i)
		assertBody(t, p, newRequest(addr, id), "body of "+id)
	}
	if n := p.Dials.Load(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

// Guards against delivering a repeated response to an earlier request as the response to the next request.
func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	p := newPool(t)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		last := ""
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			if last != "" {
				respond(nc, last, "again "+last)
			}
			respond(nc, id, "body of "+id)
			last = id
		}
	})
	assertBody(t, p, newRequest(addr, "1"), "body of 1")
	assertBody(t, p, newRequest(addr, "2"), "body of 2")
}

// Guards against reusing a connection on which bytes arrived after a complete response: they belong to no request.
func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	p := newPool(t)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			respond(nc, id, "body of "+id)
			respond(nc, id, "again "+id)
		}
	})
	assertBody(t, p, newRequest(addr, "1"), "body of 1")
	time.Sleep(20 * time.Millisecond) // lets the extra bytes arrive
	assertBody(t, p, newRequest(addr, "2"), "body of 2")
	if n := p.Dials.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

// Guards against delivering a response as complete when the upstream closed or reset the connection too early, or sent
// no valid response or the response to another request.
func TestIncompleteResponses(t *testing.T) {
	reset := func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0) }
	for name, answer := range map[string]func(nc net.Conn, id string){
		"short body": func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nabc")
		},
		"short chunks": func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		},
		"no response": func(net.Conn, string) {},
		"not HTTP":    func(nc net.Conn, _ string) { _, _ = io.WriteString(nc, "\x00\x01garbage\r\n\r\n") },
		"unframed reset": func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nabc")
			time.Sleep(10 * time.Millisecond)
			reset(nc)
		},
		"other request": func(nc net.Conn, _ string) { respond(nc, "other", "abc") },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
				if id, ok := readRequestID(br); ok {
					answer(nc, id)
				}
			})
			assertExchangeError(t, p, newRequest(addr, "1"))
		})
	}
}

// Guards against rejecting responses without a length, which end when their connection closes.
func TestResponseWithoutLengthIsAccepted(t *testing.T) {
	p := newPool(t)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		id, _ := readRequestID(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nwhole")
	})
	assertBody(t, p, newRequest(addr, "1"), "whole")
	assertBody(t, p, newRequest(addr, "2"), "whole")
}

// Guards against sending a request a second time after a reused connection broke: the upstream may have executed it.
func TestRequestIsNotResentAfterConnectionBreaks(t *testing.T) {
	p := newPool(t)
	var seen atomic.Int64
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		if id, ok := readRequestID(br); ok {
			seen.Add(1)
			respond(nc, id, "x")
		}
		if _, ok := readRequestID(br); ok {
			seen.Add(1)
		}
	})
	assertBody(t, p, newRequest(addr, "1"), "x")
	if b := assertExchangeError(t, p, newRequest(addr, "2")); !b.Reused || b.Answered {
		t.Fatalf("got %+v, want a reused connection without an answer", b)
	}
	if n := seen.Load(); n != 2 {
		t.Fatalf("the upstream received %d requests, want 2", n)
	}
}

// Guards against giving up a request as one that may have run, though nothing of it was sent: its upstream closes an idle connection
// that the request has just been given.
func TestRequestIsSentAfterAnIdleConnectionCloses(t *testing.T) {
	p := newPool(t)
	closeIdle, closed := make(chan struct{}), make(chan struct{})
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, conn int) {
		if id, ok := readRequestID(br); ok {
			respond(nc, id, "x")
		}
		if conn == 0 {
			<-closeIdle
			_ = nc.Close()
			close(closed)
		}
	})
	assertBody(t, p, newRequest(addr, "1"), "x")
	r := newRequest(addr, "2")
	asked := 0
	r.MaySend = func() bool {
		if asked++; asked == 1 {
			close(closeIdle)
			<-closed
			for p.openConnections(addr) > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		return true
	}
	assertBody(t, p, r, "x")
	if asked != 2 {
		t.Errorf("asked %d times whether to send, want once for each connection", asked)
	}
}

// openConnections returns the number of open connections to an upstream.
func (p *Pool) openConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount[address]
}

// Guards against reusing a connection whose upstream responded before it had read the request body: the next request
// would be written in place of the rest of that body.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	p := newPool(t)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, conn int) {
		if conn == 0 {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			respond(nc, r.Header.Get("Id"), "early")
			time.Sleep(100 * time.Millisecond)
			return
		}
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			respond(nc, id, "x")
		}
	})
	long := newRequest(addr, "1")
	long.Method, long.Body = http.MethodPost, make([]byte, 16<<20)
	assertBody(t, p, long, "early")
	assertBody(t, p, newRequest(addr, "2"), "x")
	if n := p.Dials.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

// Guards against an upstream that keeps working after the caller has cancelled: it learns of this by the close of the
// connection.
func TestCancellationClosesTheConnection(t *testing.T) {
	p := newPool(t)
	closed := make(chan struct{})
	addr := startUpstream(t, func(_ *testing.T, _ net.Conn, br *bufio.Reader, _ int) {
		_, _ = readRequestID(br)
		_, _ = readRequestID(br)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := p.Do(ctx, newRequest(addr, "1")); err == nil {
		t.Fatal("got no error from a cancelled request")
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open 2 s after the cancellation")
	}
}

// Guards against reporting a request as possibly executed (ExchangeError) when it was never sent: the address refuses
// connections, or the connection limit is reached.
func TestErrorsBeforeSending(t *testing.T) {
	p := newPool(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	_, err = p.Do(context.Background(), newRequest(addr, "1"))
	var connectErr *ConnectError
	if !errors.As(err, &connectErr) {
		t.Fatalf("got %v, want a ConnectError", err)
	}
	hold := make(chan struct{})
	addr = startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		id, _ := readRequestID(br)
		<-hold
		respond(nc, id, "x")
	})
	p.SetMaxConnsPerUpstream(1)
	first := make(chan error, 1)
	go func() {
		_, err := p.Do(context.Background(), newRequest(addr, "1"))
		first <- err
	}()
	time.Sleep(50 * time.Millisecond) // lets the first request take the connection
	_, err = p.Do(context.Background(), newRequest(addr, "2"))
	var limitErr *ConnLimitError
	if !errors.As(err, &limitErr) {
		t.Fatalf("got %v, want a ConnLimitError", err)
	}
	close(hold)
	if err := <-first; err != nil {
		t.Fatal(err)
	}
}

// Guards against changes to the request target, the headers or the body on the way to the upstream, for bodies that are
// empty, buffered or only begun in the buffer, with and without a known length.
func TestRequestArrivesUnchanged(t *testing.T) {
	type seen struct {
		target, host, body string
		length             int64
	}
	got := make(chan seen, 1)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			got <- seen{r.RequestURI, r.Host, string(body), r.ContentLength}
			respond(nc, r.Header.Get("Id"), "x")
		}
	})
	for name, c := range map[string]struct {
		buffered, further string
		length            int64
	}{
		"empty":   {"", "", 0},
		"short":   {"abc", "", 3},
		"long":    {strings.Repeat("a", 100_000), "", 100_000},
		"further": {"abc", strings.Repeat("d", 50_000), 50_003},
		"chunked": {"abc", strings.Repeat("d", 50_000), -1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			r := newRequest(addr, "1")
			r.Method, r.Body, r.ContentLength = http.MethodPost, []byte(c.buffered), c.length
			if c.further != "" {
				r.BodyRest = strings.NewReader(c.further)
			}
			assertBody(t, p, r, "x")
			s := <-got
			if s.target != "/a/b?c=d" || s.host != "h.example" || s.body != c.buffered+c.further || s.length != c.length {
				t.Fatalf("got %s %s, %d bytes, length %d", s.target, s.host, len(s.body), s.length)
			}
		})
	}
}

// Guards against a response body that is too long to buffer and is truncated without an error.
func TestLongBodyReportsTruncation(t *testing.T) {
	body := strings.Repeat("x", maxBufferedResponse+100)
	for name, c := range map[string]struct{ declared int }{"whole": {len(body)}, "cut": {len(body) + 1}} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
				id, _ := readRequestID(br)
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, c.declared, body)
			})
			resp, err := p.Do(context.Background(), newRequest(addr, "1"))
			if err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(resp.BodyRest)
			_ = resp.BodyRest.Close()
			if (err == nil) != (c.declared == len(body)) {
				t.Fatalf("read %d bytes: %v", len(resp.Body)+len(rest), err)
			}
		})
	}
}
