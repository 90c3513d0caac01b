package worker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sardinecross.example/lib/common/pause"
)

const (
	maxBodyBytes = 16 << 20
	// clockTolerance is how far the clocks of hosts and upstreams are assumed to be apart.
	clockTolerance = 50 * time.Millisecond
	maxAnswerBytes = 1 << 30
)

// identity ties an answer to its request.
type identity struct{ nonce, number string }

// request is one request whose body was read.
type request struct {
	identity
	// order is empty if the request is no order.
	order string
	// latest is the last time at which the request may start, zero without X-Request-Deadline.
	latest time.Time
	// ctx ends with the deadline, the client's connection or the worker.
	ctx    context.Context
	client context.Context
	bytes  int
	left   bool
}

// read reads the body, since net/http notices that a client disconnected only after that.
func (w *Worker) read(r *http.Request) (*request, context.CancelFunc, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, nil, false
	}
	q := &request{client: r.Context(), bytes: w.cfg.AnswerBytes}
	q.nonce = r.Header.Get("X-Request-Nonce")
	q.order = r.Header.Get("X-Order-Number")
	q.number = number(r, body)
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 && n <= maxAnswerBytes {
		q.bytes = n
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Request-Deadline"), 10, 64); err == nil {
		q.latest = time.UnixMilli(ms).Add(clockTolerance)
	}
	timeout := time.Hour
	if ms, err := strconv.ParseInt(r.Header.Get("X-Request-Timeout"), 10, 64); err == nil {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	q.ctx = ctx
	return q, cancel, true
}

// number returns the number that the client gave the request in the query, or else in the first line of the body.
func number(r *http.Request, body []byte) string {
	if n := r.URL.Query().Get("number"); n != "" {
		return n
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	n, ok := bytes.CutPrefix(line, []byte("number="))
	if !ok {
		return ""
	}
	return strings.TrimSpace(string(n))
}

// verdict is what a worker does with a request that arrived.
type verdict int

const (
	accept verdict = iota
	shed
	fail
)

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	q, cancel, ok := w.read(r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer cancel()
	v := w.arrive()
	defer w.leave(q)
	switch v {
	case shed:
		w.refuse(rw, q, "overloaded")
		return
	case fail:
		w.header(rw, q.identity)
		w.leave(q)
		http.Error(rw, "failed", http.StatusInternalServerError)
		return
	case accept:
	}
	if !w.acquire(q.ctx) {
		w.expire()
		w.refuse(rw, q, "deadline passed")
		return
	}
	answer, ran := w.run(q)
	w.mu.Lock()
	w.release()
	w.mu.Unlock()
	if !ran {
		w.expire()
		w.refuse(rw, q, "deadline passed")
		return
	}
	answer(rw)
}

// arrive counts the request and decides about it.
func (w *Worker) arrive() verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.arrived(now)
	w.overload(now)
	w.sampled(now)
	if w.faults.FailFast.Fires(w.rng) {
		w.counts.Failed++
		return fail
	}
	if w.faults.Drain || now.Before(w.fallen) || w.inFlight > w.cfg.Slots+w.cfg.Queue {
		w.counts.Shed++
		return shed
	}
	return accept
}

// leave ends the request's time in flight. It is called before the last part of the answer is written, because the
// client may send its next request as soon as it has that part.
func (w *Worker) leave(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.left {
		return
	}
	q.left = true
	w.inFlight--
	if q.client.Err() != nil {
		w.disconnects++
	}
	w.sampled(time.Now())
}

func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Expired++
}

// run runs the request in a slot and returns how to answer it; it returns false if the request did not start.
func (w *Worker) run(q *request) (func(http.ResponseWriter), bool) {
	if !w.pause(q.ctx) {
		return nil, false
	}
	d, ok := w.begin(q)
	if !ok {
		return nil, false
	}
	if !pause.For(q.ctx, d) || !w.pause(q.ctx) {
		return w.abandon(q), true
	}
	return w.complete(q), true
}

// begin records that the request runs, unless its deadline passed or its client has gone.
func (w *Worker) begin(q *request) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := !q.latest.IsZero() && time.Now().After(q.latest)
	if late || q.ctx.Err() != nil {
		return 0, false
	}
	w.counts.Run++
	if q.order != "" {
		e := w.orders[q.order]
		e.Run++
		w.orders[q.order] = e
	}
	return w.serviceTime(), true
}

func (w *Worker) abandon(q *request) func(http.ResponseWriter) {
	w.mu.Lock()
	w.counts.Abandoned++
	w.mu.Unlock()
	return func(rw http.ResponseWriter) {
		w.header(rw, q.identity)
		w.leave(q)
		http.Error(rw, "deadline passed", http.StatusGatewayTimeout)
	}
}

// complete ends the run and chooses the answer that the faults ask for.
func (w *Worker) complete(q *request) func(http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed(q.order)
	f := &w.faults
	id := q.identity
	if f.Crossed.Fires(w.rng) {
		id = w.previous
	}
	w.previous = q.identity
	if f.RunThenClose.Fires(w.rng) {
		return func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	}
	cut := f.Truncated.Fires(w.rng)
	delay := time.Duration(0)
	if f.Late.Fires(w.rng) {
		delay = f.LateBy
	}
	return func(rw http.ResponseWriter) {
		pause.For(q.client, delay)
		w.answer(rw, q, id, cut)
	}
}

// refuse answers that the request did not and will not run.
func (w *Worker) refuse(rw http.ResponseWriter, q *request, why string) {
	w.header(rw, q.identity)
	rw.Header().Set("X-Not-Run", "true")
	w.leave(q)
	http.Error(rw, why, http.StatusServiceUnavailable)
}

func (w *Worker) header(rw http.ResponseWriter, id identity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("X-Upstream-Incarnation", w.incarnation)
	rw.Header().Set("X-Request-Nonce", id.nonce)
}
