package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath      = "/health"
	heartbeatPeriod = 1500 * time.Millisecond
	workerSlots     = 6
)

// worker is a stand-in for a sound worker. It runs a request for the time that its path names in milliseconds,
// as in /orders/2400, and drops it when its connection closes.
type worker struct {
	id, service, zone, addr string
	store                   *store
	rec                     *recorder
	// rejectEarly makes it reject long chunked requests before they are in, and read on.
	rejectEarly atomic.Bool
	born        int64
	listener    net.Listener
	stop        chan struct{}
	done        sync.WaitGroup

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	running int
	slots   chan struct{}
}

func startWorker(id, service, zone, ip string, st *store, rec *recorder) (*worker, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, addr: l.Addr().String(), store: st, rec: rec, born: time.Now().UnixMilli(),
		listener: l, stop: make(chan struct{}), conns: make(map[net.Conn]struct{}), slots: make(chan struct{}, workerSlots),
	}
	w.done.Go(w.accept)
	w.done.Go(w.report)
	return w, nil
}

// report writes the entry of the worker to the store until it is closed.
func (w *worker) report() {
	t := time.NewTicker(heartbeatPeriod)
	defer t.Stop()
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
			"cold-left-s": 0, "seq": seq, "born": w.born,
		})
		w.store.put("keyed.servers", w.id, entry)
		select {
		case <-t.C:
		case <-w.stop:
			return
		}
	}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		w.done.Go(func() {
			w.serve(c)
			_ = c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		})
	}
}

func (w *worker) close() {
	close(w.stop)
	_ = w.listener.Close()
	w.mu.Lock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.done.Wait()
}

// incoming delivers the requests of a connection. A request follows only after bodyRead was signalled for the one before;
// the channel is closed when the connection has ended.
func incoming(c net.Conn, bodyRead <-chan struct{}) <-chan *http.Request {
	requests := make(chan *http.Request)
	go func() {
		defer close(requests)
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			requests <- r
			if _, open := <-bodyRead; !open {
				return
			}
		}
	}()
	return requests
}

// serve serves the requests of a connection one after the other.
func (w *worker) serve(c net.Conn) {
	bodyRead := make(chan struct{}, 1)
	defer close(bodyRead)
	requests := incoming(c, bodyRead)
	var next *http.Request
	for {
		r := next
		if next = nil; r == nil {
			if r = <-requests; r == nil {
				return
			}
		}
		id := r.Header.Get("Request-Id")
		if w.rejectEarly.Load() && r.ContentLength < 0 {
			// The worker sees early that the request is too long for it now, and reads on.
			if _, err := io.CopyN(io.Discard, r.Body, earlyBytes); err != nil {
				return
			}
			w.rec.add("worker %s rejects %s before its body is in: 503, Not-Executed", w.id, id)
			if w.answer(c, http.StatusServiceUnavailable, id, "Not-Executed: 1", "") != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			bodyRead <- struct{}{}
			continue
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		bodyRead <- struct{}{}
		switch expect := r.Header.Get("Expect-Instance"); {
		case r.URL.Path == healthPath:
			err = w.answer(c, http.StatusOK, "", "Instance-Id: "+w.id, "")
		case expect != "" && expect != w.id:
			err = w.answer(c, http.StatusMisdirectedRequest, id, "Instance-Id: "+w.id, "")
		default:
			next, err = w.run(c, requests, r, id, n)
		}
		if err != nil {
			return
		}
	}
}

// run runs a request and answers it. It returns the next request if that came meanwhile, or an error if the connection has
// ended.
func (w *worker) run(c net.Conn, requests <-chan *http.Request, r *http.Request, id string, n int64) (next *http.Request, err error) {
	w.slots <- struct{}{}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		<-w.slots
	}()
	ms, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	limit, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	w.rec.add("worker %s runs %s (%s, %d bytes, Deadline-Ms %d)", w.id, id, r.URL.Path, n, limit)
	end := time.After(time.Duration(ms) * time.Millisecond)
	late := time.After(time.Duration(limit) * time.Millisecond)
	for {
		select {
		case <-end:
			w.rec.add("worker %s answers %s: 200", w.id, id)
			return next, w.answer(c, http.StatusOK, id, "Response-Signature: s-"+id, "done "+id)
		case <-late:
			return next, w.answer(c, http.StatusGatewayTimeout, id, "", "")
		case next = <-requests:
			if next == nil {
				w.rec.add("worker %s is at work on %s when its connection closes", w.id, id)
				return nil, net.ErrClosed
			}
			requests = nil
		}
	}
}

// answer writes an answer with an optional further header line.
func (w *worker) answer(c net.Conn, status int, id, header, body string) error {
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nServer-Load: %d,0,%d,100\r\n", status, http.StatusText(status), running, workerSlots)
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	if header != "" {
		b.WriteString(header + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err
}
