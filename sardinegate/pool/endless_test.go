package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinecross.example/lib/common/limit"
)

// endless returns a handler that reads one request, writes head with ID in place of $ID, and then writes rest again and
// again until the connection is closed.
func endless(head, rest string) connHandler {
	rest = strings.Repeat(rest, 1+16<<10/len(rest))
	return func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		id, ok := readRequestID(br)
		if !ok {
			return
		}
		_, err := io.WriteString(nc, strings.ReplaceAll(head, "$ID", id))
		for err == nil {
			_, err = io.WriteString(nc, rest)
		}
	}
}

// Guards against an upstream that never stops sending something that is no response: each exchange must end long before
// its time limit, and with an error that says that the request may have run.
func TestEndlessBytesThatAreNoResponseEndTheExchange(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, serve := range map[string]connHandler{
		"status line":              endless("HTTP/1.1 200 ", "O"),
		"garbage":                  endless("", "\x00\x01\x02"),
		"fields of a head":         endless(ok, "A: b\r\n"),
		"one field of a head":      endless(ok+"A: ", "b"),
		"folded field of a head":   endless(ok+"A: b\r\n", " b\r\n"),
		"interim responses":        endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"interim head":             endless("HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"),
		"body of another response": endless(ok+"Id: other\r\n\r\n", "b"),
		"long body of another one": endless(ok+"Id: other\r\nContent-Length: 1099511627776\r\n\r\n", "b"),
		"other responses":          endless("", ok+"Id: other\r\nContent-Length: 0\r\n\r\n"),
		"chunk extension":          endless(ok+"Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
		"empty chunk extensions":   endless(ok+"Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 1000)+"\r\nb\r\n"),
		"trailer":                  endless(ok+"Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			resp, err := p.Do(ctx, newRequest(startUpstream(t, serve), "1"))
			var exchange *ExchangeError
			if !errors.As(err, &exchange) || !exchange.Answered {
				t.Fatalf("got response %v, error %v, want an ExchangeError with Answered set", resp, err)
			}
			if ctx.Err() != nil {
				t.Fatal("the exchange went on until its time limit")
			}
		})
	}
}

// Guards against bodies for which more memory is allocated than was taken from that of the pool, so that many of them exceed its bound.
func TestBufferOfABodyIsNoLargerThanWhatWasTaken(t *testing.T) {
	for _, memory := range []int64{0, bodyStep, 3 * bodyStep, 7 * bodyStep, maxBufferedTotal} {
		p := newPool(t)
		p.memory = limit.NewMemory(memory)
		body, taken, whole, err := p.readBody(&http.Response{ContentLength: -1, Body: io.NopCloser(zeros{})})
		if err != nil || whole {
			t.Fatalf("whole %t, error %v, want the beginning of a body", whole, err)
		}
		if limit := int(taken) + 2*bodyStep; cap(body) > limit {
			t.Errorf("a buffer of %d bytes for %d that were taken, want at most %d", cap(body), taken, limit)
		}
	}
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a host that runs out of memory because many upstreams send bodies without end, and against a body that
// looks complete although it was broken off.
func TestEndlessBodiesTakeBoundedMemory(t *testing.T) {
	const exchanges = 60
	p := newPool(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	addr := startUpstream(t, endless("HTTP/1.1 200 OK\r\nId: $ID\r\n\r\n", "b"))
	var mu sync.Mutex
	var responses []*Response
	var wg sync.WaitGroup
	for range exchanges {
		wg.Go(func() {
			resp, err := p.Do(ctx, newRequest(addr, "1"))
			var connect *ConnectError
			for errors.As(err, &connect) && ctx.Err() == nil { // nothing was sent
				resp, err = p.Do(ctx, newRequest(addr, "1"))
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || resp.BodyRest == nil {
				t.Errorf("got response %v, error %v, want the beginning of a body", resp, err)
				return
			}
			responses = append(responses, resp)
		})
	}
	wg.Wait()
	buffered := 0
	for _, resp := range responses {
		buffered += cap(resp.Body)
	}
	if limit := maxBufferedTotal + exchanges*2*bodyStep; buffered > limit {
		t.Errorf("%d bytes are buffered, want at most %d", buffered, limit)
	}
	cancel()
	for _, resp := range responses {
		if _, err := io.Copy(io.Discard, resp.BodyRest); err == nil {
			t.Error("a body that was broken off by the time limit seems complete")
		}
		_ = resp.BodyRest.Close()
	}
}
