package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// reportInterval is the time between two reports of a worker in the store.
	reportInterval = 1500 * time.Millisecond
	idleTime       = 10 * time.Second
	queueLength    = 8
	// checkTime is how long a worker takes to refuse a request for another one.
	checkTime = 5 * time.Millisecond
)

// worker stands in for a worker: it runs as many requests at once as it has slots, and queues a few more.
type worker struct {
	id, service, addr, zone string
	slots                   int
	work                    time.Duration
	store                   *store
	log                     *record
	born                    int64
	coldUntil               time.Time
	// repeats is the share of the refusals that a faulty worker writes once more, late, where the next response on the connection is
	// expected. repeated and answered count its answers.
	repeats            float64
	repeatsUntil       time.Time
	repeated, answered int // before repeatsUntil

	mu               sync.Mutex
	ln               net.Listener
	conns            map[net.Conn]struct{}
	running, waiting int
	seq              int
	gone             bool
	reports          sync.Mutex // held while a report is written, so that the store has them in their order
	freed            chan struct{}
	stop             chan struct{}
}

func startWorker(s *store, log *record, id, service, addr, zone string, slots int, work, cold time.Duration) (*worker, error) {
	return startWorkerAhead(s, log, id, service, addr, zone, slots, work, cold, 0)
}

// startWorkerAhead starts a worker whose clock is ahead.
func startWorkerAhead(s *store, log *record, id, service, addr, zone string, slots int, work, cold, ahead time.Duration) (*worker, error) {
	w := &worker{coldUntil: time.Now().Add(cold),
		id: id, service: service, addr: addr, zone: zone, slots: slots, work: work, store: s, log: log, born: time.Now().Add(ahead).UnixMilli(),
		conns: make(map[net.Conn]struct{}), freed: make(chan struct{}, slots), stop: make(chan struct{}),
	}
	var err error
	if w.ln, err = net.Listen("tcp4", addr); err != nil {
		return nil, err
	}
	for range slots {
		w.freed <- struct{}{}
	}
	w.report("ready")
	go w.accept()
	go func() {
		t := time.NewTicker(reportInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				w.report("ready")
			case <-w.stop:
				return
			}
		}
	}()
	return w, nil
}

// setRepeats makes the worker a faulty one for a time.
func (w *worker) setRepeats(share float64, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats, w.repeatsUntil = share, time.Now().Add(d)
}

// repeatsNow returns the share of the refusals that the worker repeats now.
func (w *worker) repeatsNow() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().After(w.repeatsUntil) {
		return 0
	}
	return w.repeats
}

// report writes the worker's entry. A worker that has left, or drains, writes nothing more.
func (w *worker) report(state string) {
	w.reports.Lock()
	defer w.reports.Unlock()
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.seq++
	w.gone = state != "ready"
	value, _ := json.Marshal(map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold-left-s": w.coldFor().Seconds(), "seq": w.seq, "born": w.born,
	})
	w.mu.Unlock()
	w.store.put("keyed.servers", w.id, value)
}

// coldFor returns how long the worker stays cold.
func (w *worker) coldFor() time.Duration {
	return max(time.Until(w.coldUntil), 0)
}

// leave removes the worker's entry without a report that it drains, and returns when the store has confirmed it. The worker goes on
// serving until exit.
func (w *worker) leave() time.Time {
	w.reports.Lock()
	defer w.reports.Unlock()
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	close(w.stop)
	return w.store.put("keyed.servers", w.id, nil)
}

// end ends the worker's process without a word.
func (w *worker) end() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	close(w.stop)
	w.exit()
}

// crash ends the worker's process for good. Its entry stays until the store misses its reports.
func (w *worker) crash() {
	w.end()
	time.AfterFunc(3*reportInterval, func() { w.store.put("keyed.servers", w.id, nil) })
}

// exit ends the worker's process: it closes its listener and all connections.
func (w *worker) exit() {
	_ = w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for nc := range w.conns {
		_ = nc.Close()
	}
}

func (w *worker) accept() {
	for {
		nc, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[nc] = struct{}{}
		w.mu.Unlock()
		go w.serve(nc)
	}
}

func (w *worker) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		w.mu.Lock()
		delete(w.conns, nc)
		w.mu.Unlock()
	}()
	br := bufio.NewReader(nc)
	late, lateID := "", ""
	for {
		_ = nc.SetReadDeadline(time.Now().Add(idleTime))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			w.count(&w.repeated)
			w.log.line("%s repeats a refusal to %s on a kept connection", w.id, lateID)
			if _, err := io.WriteString(nc, late); err != nil {
				return
			}
			late = ""
		}
		answer := w.answer(r)
		repeats := w.repeatsNow()
		if repeats > 0 {
			w.count(&w.answered)
		}
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
		if strings.Contains(answer, "Not-Executed") && rand.Float64() < repeats {
			late, lateID = answer, r.Header.Get("Request-Id")
		}
	}
}

func (w *worker) count(n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n++
}

// answer runs a request and returns the response.
func (w *worker) answer(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	w.mu.Lock()
	load := fmt.Sprintf("Server-Load: %d,%d,%d\r\n", w.running, w.waiting, w.slots)
	w.mu.Unlock()
	if r.URL.Path == "/health" {
		if left := w.coldFor(); left > 0 {
			load += fmt.Sprintf("Cold-Ms: %d\r\n", left.Milliseconds())
		}
		return response(200, "Instance-Id: "+w.id+"\r\n"+load, "")
	}
	echo := "Request-Id: " + id + "\r\n"
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		time.Sleep(checkTime)
		return response(421, echo+"Instance-Id: "+w.id+"\r\nNot-Executed: 1\r\n", "")
	}
	if id == "" {
		return response(400, "Not-Executed: 1\r\n", "")
	}
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	w.mu.Lock()
	if w.waiting >= queueLength {
		w.mu.Unlock()
		return response(503, echo+load+"Not-Executed: 1\r\n", "")
	}
	w.waiting++
	w.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-w.freed:
	case <-t.C:
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		return response(503, echo+load+"Not-Executed: 1\r\n", "")
	}
	w.mu.Lock()
	w.waiting--
	w.running++
	w.mu.Unlock()
	w.log.ran(id, w.id, r.Header.Get("Tenant"))
	time.Sleep(w.work)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	w.freed <- struct{}{}
	return response(200, echo+load+"Response-Signature: "+w.id+"."+id+"\r\n", "done "+id)
}

func response(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}
