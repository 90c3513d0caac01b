package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"sardinecross.example/sardinegate/pool"
)

// startSuccessor starts upstream b at the address at which upstream a is still listed, and returns the address. It refuses requests for
// a and repeats the refusal where the next response on the connection is expected. It runs requests for b and counts them in ran.
func startSuccessor(t *testing.T, ran *atomic.Int64) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serveSuccessor(nc, ran)
		}
	}()
	return ln.Addr().String()
}

func serveSuccessor(nc net.Conn, ran *atomic.Int64) {
	defer nc.Close()
	refusal := ""
	for br := bufio.NewReader(nc); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(nc, refusal)
		if r.Header.Get("Upstream") == "b" {
			ran.Add(1)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		refusal = "HTTP/1.1 421 Misdirected Request\r\nId: " + r.Header.Get("Id") + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		_, _ = io.WriteString(nc, refusal)
	}
}

// redirectedSender sends all requests to one address.
type redirectedSender struct {
	pool    *pool.Pool
	address string
}

func (s redirectedSender) Do(ctx context.Context, r *pool.Request) (*pool.Response, error) {
	r.Address = s.address
	return s.pool.Do(ctx, r)
}

// Guards against "not run" for an order that runs: an upstream is back at its address under a new ID while the old one is listed, and repeats its
// refusal of the first attempt where the answer to the second one is expected.
func TestRepeatedRefusalOfAnOrderThatRuns(t *testing.T) {
	var ran atomic.Int64
	addr := startSuccessor(t, &ran)
	p := pool.New()
	defer p.Close()
	f := newFixture(t, map[string]responder{"a": nil, "b": nil})
	f.deps.Sender = redirectedSender{p, addr}
	if w := f.request("/once/x", ""); w.Code != http.StatusOK || ran.Load() != 1 {
		t.Fatalf("got status %d for an order that ran %d times, want 200 and once", w.Code, ran.Load())
	}
	f.assertAttemptsEnded(t, 2)
}
