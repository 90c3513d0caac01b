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

// script answers the n-th request, from 0, of the n-th connection.
type script func(t *testing.T, nc net.Conn, br *bufio.Reader, conn int)

// serve runs a script for each connection and returns the address.
func serve(t *testing.T, s script) string {
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

func request(address, id string) *Request {
	return &Request{
		Address: address, Method: http.MethodGet, Target: "/a/b?c=d", Host: "h.example",
		Header: http.Header{"Id": {id}},
		Accept: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

// next reads a request and returns its ID, or false at the end of the connection.
func next(br *bufio.Reader) (string, bool) {
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

func assertBroken(t *testing.T, p *Pool, r *Request) *BrokenError {
	t.Helper()
	resp, err := p.Do(context.Background(), r)
	var broken *BrokenError
	if !errors.As(err, &broken) {
		t.Fatalf("got %v, %v, want a broken exchange", resp, err)
	}
	return broken
}

// Guards against a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	p := newPool(t)
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for id, ok := next(br); ok; id, ok = next(br) {
			respond(nc, id, "body of "+id)
		}
	})
	for i := range 5 {
		id := fmt.Sprint(i)
		assertBody(t, p, request(addr, id), "body of "+id)
	}
	if n := p.Dials.Load(); n != 1 {
		t.Fatalf("%d connections", n)
	}
}

// Guards against delivering a second response to an earlier request as the response to the next one.
func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	p := newPool(t)
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		last := ""
		for id, ok := next(br); ok; id, ok = next(br) {
			if last != "" {
				respond(nc, last, "again "+last)
			}
			respond(nc, id, "body of "+id)
			last = id
		}
	})
	assertBody(t, p, request(addr, "1"), "body of 1")
	assertBody(t, p, request(addr, "2"), "body of 2")
}

// Guards against bytes after a complete response: they belong to no request.
func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	p := newPool(t)
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for id, ok := next(br); ok; id, ok = next(br) {
			respond(nc, id, "body of "+id)
			respond(nc, id, "again "+id)
		}
	})
	assertBody(t, p, request(addr, "1"), "body of 1")
	time.Sleep(20 * time.Millisecond) // lets the extra bytes arrive
	assertBody(t, p, request(addr, "2"), "body of 2")
	if n := p.Dials.Load(); n != 2 {
		t.Fatalf("%d connections, want a second one", n)
	}
}

// Guards against delivering what an upstream broke off as a complete response.
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
			addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
				if id, ok := next(br); ok {
					answer(nc, id)
				}
			})
			assertBroken(t, p, request(addr, "1"))
		})
	}
}

// Guards against refusing responses that have no length and end with their connection.
func TestUnframedResponse(t *testing.T) {
	p := newPool(t)
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		id, _ := next(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nwhole")
	})
	assertBody(t, p, request(addr, "1"), "whole")
	assertBody(t, p, request(addr, "2"), "whole")
}

// Guards against sending a request a second time after a kept connection broke: it may have run.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	p := newPool(t)
	var seen atomic.Int64
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		if id, ok := next(br); ok {
			seen.Add(1)
			respond(nc, id, "x")
		}
		if _, ok := next(br); ok {
			seen.Add(1)
		}
	})
	assertBody(t, p, request(addr, "1"), "x")
	if b := assertBroken(t, p, request(addr, "2")); !b.Reused || b.Answered {
		t.Fatalf("got %+v", b)
	}
	if n := seen.Load(); n != 2 {
		t.Fatalf("upstream saw %d requests", n)
	}
}

// Guards against other bytes where the rest of a body is due, after an answer that came before the body was read.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	p := newPool(t)
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, conn int) {
		if conn == 0 {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			respond(nc, r.Header.Get("Id"), "early")
			time.Sleep(100 * time.Millisecond)
			return
		}
		for id, ok := next(br); ok; id, ok = next(br) {
			respond(nc, id, "x")
		}
	})
	long := request(addr, "1")
	long.Method, long.Body = http.MethodPost, make([]byte, 16<<20)
	assertBody(t, p, long, "early")
	assertBody(t, p, request(addr, "2"), "x")
	if n := p.Dials.Load(); n != 2 {
		t.Fatalf("%d connections, want a second one", n)
	}
}

// Guards against work that goes on at an upstream after its caller has left.
func TestCancellationClosesTheConnection(t *testing.T) {
	p := newPool(t)
	closed := make(chan struct{})
	addr := serve(t, func(_ *testing.T, _ net.Conn, br *bufio.Reader, _ int) {
		_, _ = next(br)
		_, _ = next(br)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := p.Do(ctx, request(addr, "1")); err == nil {
		t.Fatal("no error")
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("connection still open")
	}
}

// Guards against "may have run" for a request that was never sent.
func TestUnreachedAndBusy(t *testing.T) {
	p := newPool(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	_, err = p.Do(context.Background(), request(addr, "1"))
	var unreached *UnreachedError
	if !errors.As(err, &unreached) {
		t.Fatalf("got %v", err)
	}
	hold := make(chan struct{})
	addr = serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		id, _ := next(br)
		<-hold
		respond(nc, id, "x")
	})
	p.SetLimit(1)
	first := make(chan error, 1)
	go func() {
		_, err := p.Do(context.Background(), request(addr, "1"))
		first <- err
	}()
	time.Sleep(50 * time.Millisecond) // lets the first request take the connection
	_, err = p.Do(context.Background(), request(addr, "2"))
	var busy *BusyError
	if !errors.As(err, &busy) {
		t.Fatalf("got %v", err)
	}
	close(hold)
	if err := <-first; err != nil {
		t.Fatal(err)
	}
}

// Guards against changes to requests on their way: target, headers and bodies of any length.
func TestRequestArrivesUnchanged(t *testing.T) {
	type seen struct {
		target, host, body string
		length             int64
	}
	got := make(chan seen, 1)
	addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
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
			r := request(addr, "1")
			r.Method, r.Body, r.Length = http.MethodPost, []byte(c.buffered), c.length
			if c.further != "" {
				r.Further = strings.NewReader(c.further)
			}
			assertBody(t, p, r, "x")
			s := <-got
			if s.target != "/a/b?c=d" || s.host != "h.example" || s.body != c.buffered+c.further || s.length != c.length {
				t.Fatalf("got %s %s, %d bytes, length %d", s.target, s.host, len(s.body), s.length)
			}
		})
	}
}

// Guards against a long body that is cut short without a sign.
func TestLongBodyIsStreamed(t *testing.T) {
	body := strings.Repeat("x", bufferedBody+100)
	for name, c := range map[string]struct{ declared int }{"whole": {len(body)}, "cut": {len(body) + 1}} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			addr := serve(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
				id, _ := next(br)
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, c.declared, body)
			})
			resp, err := p.Do(context.Background(), request(addr, "1"))
			if err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(resp.Further)
			_ = resp.Further.Close()
			if (err == nil) != (c.declared == len(body)) {
				t.Fatalf("read %d bytes: %v", len(resp.Body)+len(rest), err)
			}
		})
	}
}
