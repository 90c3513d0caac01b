package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(s *site, program string, trouble bool) (broken string, err error){
	"early-answer":  earlyAnswer,
	"late-order":    lateOrder,
	"second-signal": secondSignal,
}

const (
	orderLimit = 12 * time.Second
	// uploadBytes is the length of the uploads, earlyBytes what a worker reads of one before it rejects it.
	uploadBytes, earlyBytes = 400 << 10, 400 << 10
)

func orderRoutes() []route {
	return []route{{"/orders/", "unsafe", "orders", 2.0, 6.0, 3}}
}

// Requests of the case early-answer.
const (
	keptConnections  = 8
	quickOrders      = 15 // on each kept connection before the disruption
	maxUploads       = 6
	maxLost          = 3 // connections that the rule allows to close without an answer
	earlyWorkerShare = 2 // one in so many workers rejects long requests early, those of the other zone
)

// earlyAnswer checks LOST: orders from kept connections are answered while workers reject long uploads before they are in.
func earlyAnswer(s *site, program string, trouble bool) (string, error) {
	if err := s.startSite(program, 3, 4, orderRoutes()); err != nil {
		return "", err
	}
	h := s.hosts[0]
	var clients []*client
	for i := range keptConnections {
		c, err := connect(fmt.Sprintf("client %d", i+1), h.front, s.rec)
		if err != nil {
			return "", err
		}
		defer c.close()
		clients = append(clients, c)
		for range quickOrders {
			if r := c.post("/orders/20", orderLimit); r.status != 200 {
				return "", fmt.Errorf("quick order: status %d, %v", r.status, r.err)
			}
		}
	}
	for i, w := range s.workers {
		w.rejectEarly.Store(trouble && i%earlyWorkerShare == 1)
	}
	results := make([]result, len(clients))
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() { results[i] = c.post("/orders/3000", orderLimit) })
	}
	time.Sleep(300 * time.Millisecond)
	for range maxUploads {
		if r := s.uploadOnce(h); r.status != 200 {
			break
		}
	}
	wg.Wait()
	lost := 0
	for _, r := range results {
		if r.cut() {
			lost++
		}
	}
	time.Sleep(200 * time.Millisecond)
	if !h.running() {
		s.rec.add("last output of %s:\n%s", h.name, lastOutput(h.output))
	}
	if lost > maxLost {
		return fmt.Sprintf("LOST: %d orders from kept connections were passed on to sound workers, and their connections closed without an answer", lost), nil
	}
	return "", nil
}

// uploadOnce sends an upload on a connection of its own.
func (s *site) uploadOnce(h *host) result {
	c, err := connect("uploader", h.front, s.rec)
	if err != nil {
		return result{err: err}
	}
	defer c.close()
	return c.upload("/orders/20")
}

// upload sends an order in chunks. The end of the body follows the last data after a short pause, as from a program that
// writes its data and then closes the body.
func (c *client) upload(path string) result {
	id := newID()
	c.rec.add("%s sends %s: POST %s, %d bytes in chunks, to %s", c.name, id, path, uploadBytes, c.conn.RemoteAddr())
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(orderLimit))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		path, routeHost, id, orderLimit.Milliseconds())
	chunk := strings.Repeat("x", 8<<10)
	for sent := 0; sent < uploadBytes && err == nil; sent += len(chunk) {
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if err != nil {
		return c.report(result{id: id, err: err, took: time.Since(start)})
	}
	time.Sleep(150 * time.Millisecond)
	c.rec.add("%s ends the body of %s", c.name, id)
	if _, err := io.WriteString(c.conn, "0\r\n\r\n"); err != nil {
		return c.report(result{id: id, err: err, took: time.Since(start)})
	}
	return c.receive(id, start)
}

// heldAnswer is how long after its first use some clients keep an answer of the directory, in multiples of its ttl-s.
const heldAnswer = 3

// lateOrder checks LOST around a SIGTERM: orders that a host reads in its last seconds are answered. The clients hold an
// answer of the directory from before the SIGTERM.
func lateOrder(s *site, program string, trouble bool) (string, error) {
	if err := s.startSite(program, 3, 4, orderRoutes()); err != nil {
		return "", err
	}
	h := s.hosts[0]
	addrs, ttl, err := resolve(s.hosts[1].directory, h.zone)
	if err != nil {
		return "", err
	}
	s.rec.add("the directory of %s names %v for %v s", s.hosts[1].name, addrs, ttl)
	resolved := time.Now()
	if !slices.Contains(addrs, h.front) {
		return "", fmt.Errorf("the directory does not name %s", h.name)
	}
	if trouble {
		s.signal(h, syscall.SIGTERM)
	}
	time.Sleep(3500 * time.Millisecond)
	if held := time.Since(resolved); held.Seconds() > heldAnswer*ttl {
		return "", fmt.Errorf("the answer of the directory is %v old", held)
	}
	return s.orders(h, 6, "/orders/2500")
}

// orders sends orders at once to a host on connections of their own and counts those that are cut.
func (s *site) orders(h *host, n int, path string) (string, error) {
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c, err := connect(fmt.Sprintf("client %d", i+1), h.front, s.rec)
			if err != nil {
				s.rec.add("client %d cannot connect to %s: %v", i+1, h.name, err)
				return
			}
			defer c.close()
			results[i] = c.post(path, orderLimit)
		})
	}
	wg.Wait()
	lost := 0
	for _, r := range results {
		if r.id != "" && r.cut() {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d orders were read and passed on, and their connections ended without an answer", lost, n), nil
	}
	return "", nil
}

// secondSignal checks LOST around a SIGTERM: a SIGHUP during the grace does not cut orders in flight.
func secondSignal(s *site, program string, trouble bool) (string, error) {
	if err := s.startSite(program, 3, 4, orderRoutes()); err != nil {
		return "", err
	}
	h := s.hosts[0]
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.signal(h, syscall.SIGTERM)
		if trouble {
			time.Sleep(500 * time.Millisecond)
			s.changeSettings(h)
			s.signal(h, syscall.SIGHUP)
		}
	}()
	return s.orders(h, 6, "/orders/3000")
}
