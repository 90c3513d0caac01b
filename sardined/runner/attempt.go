package runner

import (
	"time"

	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/proxy"
)

// attempt is one attempt of a call to run its request at an upstream.
type attempt struct {
	// n is the number of the attempt within its request, as in core.StartAttempt.
	n    int
	call *call
	*proxy.Attempt
	// deadline is a time on the reducer's clock.
	deadline time.Duration
	// chosen receives one value when the reducer chooses the answer of this attempt for the caller (core.Deliver).
	chosen chan struct{}
}

// startAttempt runs an attempt in a new goroutine. r.effectMu must be held.
func (r *Runner) startAttempt(e core.StartAttempt) {
	r.callsMu.Lock()
	c := r.calls[e.ID]
	r.callsMu.Unlock()
	if c == nil {
		r.reportNotStarted(e)
		return
	}
	now := r.Now()
	a := &attempt{
		n:        e.Attempt,
		call:     c,
		Attempt:  r.deps.Upstreams.NewAttempt(c.upstreamRequest(e)),
		deadline: e.Deadline,
		chosen:   make(chan struct{}, 1),
	}
	r.callsMu.Lock()
	c.refs++
	c.attempts = append(c.attempts, a)
	r.callsMu.Unlock()
	c.mu.Lock()
	if c.firstAttemptAt == 0 {
		c.firstAttemptAt = now
	}
	c.mu.Unlock()
	spawned := r.spawn(func() {
		defer r.unref(c)
		r.runAttempt(a)
	})
	if !spawned {
		a.Abort()
		r.unref(c)
	}
}

// reportNotStarted reports an attempt as not sent because its request is no longer in Runner.calls. It applies the event
// in a new goroutine, since Step must not be called while the effects of a step are carried out.
func (r *Runner) reportNotStarted(e core.StartAttempt) {
	r.spawn(func() {
		r.Step(core.AttemptEnded{ID: e.ID, Attempt: e.Attempt, Outcome: core.OutcomeNotSent})
	})
}

// runAttempt sends the request, reports the head of the answer to the reducer, and reads the body. It writes the answer
// to the sink if the reducer has chosen it in response to its head.
func (r *Runner) runAttempt(a *attempt) {
	answer, result := a.Do()
	if answer == nil {
		r.reportEnded(a, result)
		return
	}
	r.Step(core.AttemptAnswered{
		ID:          a.call.id,
		Attempt:     a.n,
		FirstByte:   answer.FirstByte,
		Incarnation: answer.Incarnation,
		Status:      answer.Status,
	})
	select {
	case <-a.chosen:
		w := a.call.startAnswer(answer, a.deadline-r.Now())
		result = answer.Copy(w)
		a.call.setAttemptTime(result.Took)
		r.reportEnded(a, result)
		a.call.notify(deliveryEnded{complete: result.Outcome == core.OutcomeComplete && w.err == nil})
	default:
		r.finishUndelivered(a, answer)
	}
}

// finishUndelivered reads the body of an answer that the reducer has not chosen. If the reducer chooses the answer while
// the body is read, or when it handles the end of the attempt, the captured copy is delivered.
func (r *Runner) finishUndelivered(a *attempt, answer *proxy.Answer) {
	result := answer.Copy(nil)
	r.reportEnded(a, result)
	select {
	case <-a.chosen:
		if result.Answer == nil {
			a.call.notify(deliveryEnded{})
			return
		}
		a.call.setAttemptTime(result.Took)
		a.call.notify(core.Replay{ID: a.call.id, Answer: result.Answer})
	default:
	}
}

// reportEnded records the end of an attempt in the metrics and reports it to the reducer.
func (r *Runner) reportEnded(a *attempt, result proxy.Result) {
	r.deps.Metrics.CountAttempt(result.Outcome, result.NewConn)
	r.Step(core.AttemptEnded{
		ID:          a.call.id,
		Attempt:     a.n,
		Outcome:     result.Outcome,
		Duration:    result.Took,
		NewConn:     result.NewConn,
		ConnRefused: result.Refused,
		Answer:      result.Answer,
	})
}

// findAttempt returns an attempt of a call in progress, or nil.
func (r *Runner) findAttempt(e core.CancelAttempt) *attempt {
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	c := r.calls[e.ID]
	if c == nil {
		return nil
	}
	for _, a := range c.attempts {
		if a.n == e.Attempt {
			return a
		}
	}
	return nil
}

func (r *Runner) cancelAttempt(e core.CancelAttempt) {
	if a := r.findAttempt(e); a != nil {
		a.Cancel()
	}
}

// deliver tells the goroutine of an attempt that the reducer has chosen its answer.
func (r *Runner) deliver(e core.Deliver) {
	a := r.findAttempt(core.CancelAttempt(e))
	if a == nil {
		return
	}
	select {
	case a.chosen <- struct{}{}:
	default:
	}
}

// setAttemptTime stores the duration of the attempt whose answer is delivered.
func (c *call) setAttemptTime(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptTime = took
}

// bodyWriter writes the body of an answer to the sink of a call. Writes fail once Serve has returned.
type bodyWriter struct {
	call *call
	// flush makes each write flush the sink, for answers without a known length.
	flush bool
	// err is the first error; every later write returns it.
	err error
}

// startAnswer writes the head of an answer to the sink and returns a writer for the body. remaining is the time left until
// the deadline of the attempt.
func (c *call) startAnswer(answer *proxy.Answer, remaining time.Duration) *bodyWriter {
	w := &bodyWriter{call: c, flush: answer.Length < 0}
	answer.Header["X-Run"] = []string{core.RunYes.String()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sink == nil {
		w.err = &CallerGoneError{}
		return w
	}
	c.sink.SetWriteTimeout(remaining)
	w.err = c.sink.WriteHead(answer.Status, answer.Header, answer.Length)
	return w
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	w.call.mu.Lock()
	defer w.call.mu.Unlock()
	if w.err == nil && w.call.sink == nil {
		w.err = &CallerGoneError{}
	}
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.call.sink.Write(p)
	if err == nil && w.flush {
		err = w.call.sink.Flush()
	}
	w.err = err
	return n, err
}
