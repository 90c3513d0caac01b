package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// routeHost is the host name of all routes.
const routeHost = "shop.example"

var nextID atomic.Int64

func newID() string { return fmt.Sprintf("q%015d", nextID.Add(1)) }

// client is a sound client with one connection.
type client struct {
	name string
	rec  *recorder
	conn net.Conn
	br   *bufio.Reader
}

// connect opens a connection and allows it one second.
func connect(name, addr string, rec *recorder) (*client, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{name: name, rec: rec, conn: c, br: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// result is what a client saw of one request.
type result struct {
	id      string
	status  int // 0 without a complete answer
	signed  bool
	err     error
	took    time.Duration
	closing bool // the answer said that the connection closes
}

// post sends an order and waits for its answer, at most for the time limit.
func (c *client) post(path string, limit time.Duration) result {
	id := newID()
	c.rec.add("%s sends %s: POST %s, Deadline-Ms %d, to %s", c.name, id, path, limit.Milliseconds(), c.conn.RemoteAddr())
	body := "order " + id
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(limit))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, routeHost, id, limit.Milliseconds(), len(body), body)
	if err != nil {
		return c.report(result{id: id, err: err, took: time.Since(start)})
	}
	return c.receive(id, start)
}

// receive reads the answer to a request.
func (c *client) receive(id string, start time.Time) result {
	res := result{id: id}
	resp, err := http.ReadResponse(c.br, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	res.took, res.err = time.Since(start), err
	if err == nil {
		res.status, res.signed, res.closing = resp.StatusCode, resp.Header.Get("Response-Signature") == "s-"+id, resp.Close
	}
	return c.report(res)
}

func (c *client) report(r result) result {
	if r.err != nil {
		c.rec.add("%s gets no answer to %s: %v after %v", c.name, r.id, r.err, r.took.Round(time.Millisecond))
	} else {
		c.rec.add("%s gets %d to %s after %v (signed %t, closing %t)", c.name, r.status, r.id, r.took.Round(time.Millisecond), r.signed, r.closing)
	}
	return r
}

// cut reports whether the connection ended without a complete answer before the client's time limit.
func (r result) cut() bool {
	var timeout net.Error
	if r.err == nil {
		return false
	}
	if ne, ok := r.err.(net.Error); ok {
		timeout = ne
	}
	return timeout == nil || !timeout.Timeout()
}

// resolve asks a host's directory for addresses.
func resolve(directory, zone string) (addrs []string, ttl float64, err error) {
	query := url.Values{"name": {routeHost}, "region": {"r1"}, "zone": {zone}}
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + directory + "/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // the answer was read
	var answer struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl-s"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addrs, answer.TTL, err
}
