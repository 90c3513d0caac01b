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
	// maxBodyBytes bounds a request body in bytes; the rest of a longer body is not read.
	maxBodyBytes = 16 << 20
	// clockTolerance is the greatest assumed difference between the clocks of hosts and upstreams.
	clockTolerance = 50 * time.Millisecond
	// maxAnswerBytes bounds the size of the response body that a request may ask for, in bytes.
	maxAnswerBytes = 1 << 30
)

// correlation holds the values of a request that its response repeats, so that the client can match the two.
type correlation struct{ nonce, number string }

// request is a request whose body has been read.
type request struct {
	correlation
	// order is the order number, empty if the request is no order.
	order string
	// latestStart is the latest time at which the request may start, from X-Request-Deadline; zero without that header.
	latestStart time.Time
	// ctx ends at the timeout of the request, when the client disconnects, or when the worker stops.
	ctx context.Context
	// clientCtx is ctx without the timeout.
	clientCtx context.Context
	// answerBytes is the size of the response body in bytes.
	answerBytes int
	// inFlightEnded is set by endInFlight.
	inFlightEnded bool
}

// readRequest reads the request with its body; net/http detects that a client disconnects only after the body was read.
// It returns false if the body can't be read.
func (w *Worker) readRequest(r *http.Request) (*request, context.CancelFunc, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, nil, false
	}
	q := &request{clientCtx: r.Context(), answerBytes: w.service.AnswerBytes}
	q.nonce = r.Header.Get("X-Request-Nonce")
	q.order = r.Header.Get("X-Order-Number")
	q.number = requestNumber(r, body)
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 && n <= maxAnswerBytes {
		q.answerBytes = n
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Request-Deadline"), 10, 64); err == nil {
		q.latestStart = time.UnixMilli(ms).Add(clockTolerance)
	}
	timeout := time.Hour
	if ms, err := strconv.ParseInt(r.Header.Get("X-Request-Timeout"), 10, 64); err == nil {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	q.ctx = ctx
	return q, cancel, true
}

// requestNumber returns the number that the client assigned to the request, from the query or else from the first line
// of the body. It is empty if there is none.
func requestNumber(r *http.Request, body []byte) string {
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

// admission is the decision about a request that arrived.
type admission int

const (
	accept admission = iota
	// shed responds with status 503 that the request has not run.
	shed
	// fail responds with status 500 because of Faults.FailFast.
	fail
)

// handleRequest serves all requests that are not for the load report.
func (w *Worker) handleRequest(rw http.ResponseWriter, r *http.Request) {
	q, cancel, ok := w.readRequest(r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer cancel()
	decision := w.admit()
	defer w.endInFlight(q)
	switch decision {
	case shed:
		w.respondNotRun(rw, q, "overloaded")
		return
	case fail:
		w.setHeaders(rw, q.correlation)
		w.endInFlight(q)
		http.Error(rw, "failed", http.StatusInternalServerError)
		return
	case accept:
	}
	if !w.acquireSlot(q.ctx) {
		w.countExpired()
		w.respondNotRun(rw, q, "deadline passed")
		return
	}
	respond, ran := w.run(q)
	w.mu.Lock()
	w.releaseSlot()
	w.mu.Unlock()
	if !ran {
		w.countExpired()
		w.respondNotRun(rw, q, "deadline passed")
		return
	}
	respond(rw)
}

// admit counts an arrived request and decides whether it is accepted.
func (w *Worker) admit() admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.recordArrival(now)
	w.checkOverload(now)
	w.recordLoadSample(now)
	if w.faults.FailFast.Fires(w.rng) {
		w.counts.Failed++
		return fail
	}
	if w.faults.Drain || now.Before(w.collapsedUntil) || w.inFlight > w.service.Slots+w.service.Queue {
		w.counts.Shed++
		return shed
	}
	return accept
}

// endInFlight removes the request from those in flight; further calls have no effect. It is called before the last part
// of the response is written, because the client may send its next request as soon as it has received that part.
func (w *Worker) endInFlight(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.inFlightEnded {
		return
	}
	q.inFlightEnded = true
	w.inFlight--
	if q.clientCtx.Err() != nil {
		w.disconnects++
	}
	w.recordLoadSample(time.Now())
}

// countExpired counts a request whose deadline passed before it started.
func (w *Worker) countExpired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Expired++
}

// run runs the request, which holds a slot, and returns a function that writes the response. It returns false if the
// request did not start.
func (w *Worker) run(q *request) (func(http.ResponseWriter), bool) {
	if !w.waitUntilFree(q.ctx) {
		return nil, false
	}
	d, ok := w.beginRun(q)
	if !ok {
		return nil, false
	}
	if !pause.For(q.ctx, d) || !w.waitUntilFree(q.ctx) {
		return w.abandon(q), true
	}
	return w.complete(q), true
}

// beginRun records that the request starts and returns its service time. It returns false if the deadline has passed or
// the client has disconnected.
func (w *Worker) beginRun(q *request) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := !q.latestStart.IsZero() && time.Now().After(q.latestStart)
	if late || q.ctx.Err() != nil {
		return 0, false
	}
	w.counts.Started++
	if q.order != "" {
		e := w.orders[q.order]
		e.Started++
		w.orders[q.order] = e
	}
	return w.drawServiceTime(), true
}

// abandon counts a request that started and did not complete in time, and returns a function that writes the response.
func (w *Worker) abandon(q *request) func(http.ResponseWriter) {
	w.mu.Lock()
	w.counts.Abandoned++
	w.mu.Unlock()
	return func(rw http.ResponseWriter) {
		w.setHeaders(rw, q.correlation)
		w.endInFlight(q)
		http.Error(rw, "deadline passed", http.StatusGatewayTimeout)
	}
}

// complete records that the request completed, and returns a function that writes the response according to the faults.
func (w *Worker) complete(q *request) func(http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordCompletion(q.order)
	f := &w.faults
	id := q.correlation
	if f.Crossed.Fires(w.rng) {
		id = w.previous
	}
	w.previous = q.correlation
	if f.RunThenClose.Fires(w.rng) {
		return func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	}
	truncate := f.Truncated.Fires(w.rng)
	delay := time.Duration(0)
	if f.Late.Fires(w.rng) {
		delay = f.LateBy
	}
	return func(rw http.ResponseWriter) {
		pause.For(q.clientCtx, delay)
		w.writeResponse(rw, q, id, truncate)
	}
}

// respondNotRun responds that the request has not run and will not run.
func (w *Worker) respondNotRun(rw http.ResponseWriter, q *request, why string) {
	w.setHeaders(rw, q.correlation)
	rw.Header().Set("X-Not-Run", "true")
	w.endInFlight(q)
	http.Error(rw, why, http.StatusServiceUnavailable)
}

// setHeaders sets the headers that every response to a request carries.
func (w *Worker) setHeaders(rw http.ResponseWriter, id correlation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("X-Upstream-Incarnation", w.incarnation)
	rw.Header().Set("X-Request-Nonce", id.nonce)
}
