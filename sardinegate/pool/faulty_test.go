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
)

// Guards against a response that is delivered although its upstream stopped in the middle of the head or the body, closed the
// connection, and so left out headers that frame the body: each end but the right one must be an error that says that the
// request may have run.
func TestResponseCutAnywhereIsNoResponse(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nX: y\r\n\r\n0123456789",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			var cut atomic.Int64
			addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
				if _, ok := readRequestID(br); ok {
					_, _ = io.WriteString(nc, text[:cut.Load()])
				}
			})
			for n := range len(text) {
				cut.Store(int64(n))
				if e := assertExchangeError(t, p, newRequest(addr, "1")); e.Answered != (n > 0) {
					t.Errorf("cut after %d bytes: answered is %t", n, e.Answered)
				}
			}
			cut.Store(int64(len(text)))
			if _, err := p.Do(context.Background(), newRequest(addr, "1")); err != nil {
				t.Errorf("whole response: %v", err)
			}
		})
	}
}

// Guards against a response without a length that is taken for complete although its upstream stopped in the middle of the
// head: the headers that say more of it are then missing.
func TestHeadCutBeforeTheBodyIsNoResponse(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nId: 1\r\nX: y\r\n\r\n"
	p := newPool(t)
	var cut atomic.Int64
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		if _, ok := readRequestID(br); ok {
			_, _ = io.WriteString(nc, text[:cut.Load()])
		}
	})
	for n := range len(text) {
		cut.Store(int64(n))
		assertExchangeError(t, p, newRequest(addr, "1"))
	}
}

// Guards against the repeated refusal of an earlier request that is taken for the answer to the present one, which the
// upstream runs: written at once, late, without the ID of its request, several times, or cut.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Run: 1\r\nContent-Length: 3\r\n\r\nno\n"
	}
	whole := refusal("Id: 1\r\n")
	for name, c := range map[string]struct {
		again string
		want  string // the body of the next response, empty if the exchange may also fail
	}{
		"once":       {whole, "ran"},
		"four times": {strings.Repeat(whole, 4), "ran"},
		"five times": {strings.Repeat(whole, 5), ""},
		"without ID": {refusal(""), "ran"},
		"cut":        {whole[:20], ""},
	} {
		for _, at := range []string{"at once", "late"} {
			t.Run(name+" "+at, func(t *testing.T) {
				p := newPool(t)
				var ran atomic.Int64
				addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
					refused := false
					for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
						switch {
						case id == "1":
							_, _ = io.WriteString(nc, whole)
							refused = true
							if at == "at once" {
								_, _ = io.WriteString(nc, c.again)
							}
							continue
						case refused && at == "late":
							_, _ = io.WriteString(nc, c.again)
							refused = false
						}
						ran.Add(1)
						respond(nc, id, "ran")
					}
				})
				first, err := p.Do(context.Background(), newRequest(addr, "1"))
				if err != nil || first.Status != http.StatusServiceUnavailable {
					t.Fatalf("got %+v, %v, want the refusal", first, err)
				}
				for i := range 3 {
					id := fmt.Sprint(2 + i)
					resp, err := p.Do(context.Background(), newRequest(addr, id))
					var exchange *ExchangeError
					switch {
					case err == nil && string(resp.Body) != "ran":
						t.Fatalf("request %s got status %d, body %q", id, resp.Status, resp.Body)
					case err != nil && !errors.As(err, &exchange):
						t.Fatalf("request %s: %v, want an ExchangeError", id, err)
					case err != nil && c.want != "" && at == "late":
						t.Fatalf("request %s: %v, want %q", id, err, c.want)
					}
				}
				if ran.Load() == 0 {
					t.Error("no request ran")
				}
			})
		}
	}
}

// Guards against a request that is written although its upstream has said meanwhile that it wants none: while the connection
// was opened, or on a connection that was idle.
func TestRequestIsWithheldRightBeforeItIsWritten(t *testing.T) {
	p := newPool(t)
	var received atomic.Int64
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			received.Add(1)
			respond(nc, id, "x")
		}
	})
	for _, connection := range []string{"new", "idle"} {
		t.Run(connection, func(t *testing.T) {
			before := received.Load()
			r := newRequest(addr, "1")
			r.MaySend = func() bool { return false }
			_, err := p.Do(context.Background(), r)
			var withheld *WithheldError
			if !errors.As(err, &withheld) {
				t.Errorf("got %v, want a WithheldError", err)
			}
			time.Sleep(20 * time.Millisecond) // lets a request that was written arrive
			if n := received.Load(); n != before {
				t.Errorf("the upstream received %d requests, want none", n-before)
			}
			assertBody(t, p, newRequest(addr, "2"), "x")
		})
	}
}

// Guards against a header that is known only once a long body has been read: the next request would be sent meanwhile.
func TestHeaderIsReportedBeforeTheBody(t *testing.T) {
	p := newPool(t)
	reported := make(chan string, 1)
	addr := startUpstream(t, func(t *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		if _, ok := readRequestID(br); !ok {
			return
		}
		respond(nc, "other", "a copy of an earlier response")
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\n")
		select {
		case id := <-reported:
			if id != "1" {
				t.Errorf("header of the response to request %s reported, want 1", id)
			}
		case <-time.After(5 * time.Second):
			t.Error("the header was not reported within 5 s, and the body is still to come")
		}
		_, _ = io.WriteString(nc, "x")
	})
	r := newRequest(addr, "1")
	r.OnHeader = func(_ int, h http.Header) { reported <- h.Get("Id") }
	assertBody(t, p, r, "x")
}

// startRepeatingUpstream starts an upstream that refuses the first request on its first connection, and writes the refusal once more before it
// answers the next request there. It runs all other requests and counts them in ran.
func startRepeatingUpstream(t *testing.T, ran *atomic.Int64) (address string) {
	t.Helper()
	return startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, n int) {
		refusal := ""
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			if n == 0 && refusal == "" {
				refusal = "HTTP/1.1 421 Misdirected Request\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
				_, _ = io.WriteString(nc, refusal)
				continue
			}
			if n == 0 {
				_, _ = io.WriteString(nc, refusal)
			}
			ran.Add(1)
			respond(nc, id, "ran")
		}
	})
}

// Guards against the repeated refusal of the first attempt of a request that is taken for the answer to its second attempt, which the
// upstream runs. Both have the same ID. The limit of connections must not keep the second one from being sent.
func TestRepeatedRefusalOfAnEarlierAttemptIsNoAnswer(t *testing.T) {
	for name, maxConns := range map[string]int{"no limit": 0, "one connection": 1} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			p.SetMaxConnsPerUpstream(maxConns)
			var ran atomic.Int64
			addr := startRepeatingUpstream(t, &ran)
			var used Used
			first := newRequest(addr, "1")
			first.Used = &used
			if resp, err := p.Do(context.Background(), first); err != nil || resp.Status != http.StatusMisdirectedRequest {
				t.Fatalf("got %+v, %v, want the refusal", resp, err)
			}
			second := newRequest(addr, "1")
			second.Used = &used
			assertBody(t, p, second, "ran")
			if n := ran.Load(); n != 1 {
				t.Fatalf("the upstream ran the request %d times, want 1", n)
			}
		})
	}
}

// Guards against a pool that opens connections without need: each further attempt of a request opens one at most, and other requests use
// those that the attempts have used.
func TestFurtherAttemptsOpenOneConnectionEach(t *testing.T) {
	p := newPool(t)
	addr := startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		for id, ok := readRequestID(br); ok; id, ok = readRequestID(br) {
			respond(nc, id, "ran")
		}
	})
	var used Used
	for range 3 {
		r := newRequest(addr, "1")
		r.Used = &used
		assertBody(t, p, r, "ran")
		assertBody(t, p, newRequest(addr, "2"), "ran")
	}
	if n := p.Dials.Load(); n != 3 {
		t.Fatalf("%d connections opened for three attempts of a request and three other requests, want 3", n)
	}
}
