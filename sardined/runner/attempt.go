package runner

import (
	"time"

	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/proxy"
)

// attempt is one attempt in progress.
type attempt struct {
	n    int
	call *call
	*proxy.Attempt
	deadline time.Duration
	// deliver holds one token once the reducer chose this attempt's answer.
	deliver chan struct{}
}

// startAttempt requires effectMu.
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
		deliver:  make(chan struct{}, 1),
	}
	r.callsMu.Lock()
	c.users++
	c.attempts = append(c.attempts, a)
	r.callsMu.Unlock()
	c.mu.Lock()
	if c.firstStart == 0 {
		c.firstStart = now
	}
	c.mu.Unlock()
	started := r.spawn(func() {
		defer r.leave(c)
		r.runAttempt(a)
	})
	if !started {
		a.Abort()
		r.leave(c)
	}
}

// reportNotStarted ends an attempt of a request that is no longer in the table. The event must not be applied
// within the step that caused it.
func (r *Runner) reportNotStarted(e core.StartAttempt) {
	r.spawn(func() {
		r.Step(core.AttemptEnded{ID: e.ID, Attempt: e.Attempt, Outcome: core.OutcomeNotSent})
	})
}

func (r *Runner) runAttempt(a *attempt) {
	answer, result := a.Do()
	if answer == nil {
		r.ended(a, result)
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
	case <-a.deliver:
		w := a.call.startAnswer(answer, a.deadline-r.Now())
		result = answer.Copy(w)
		a.call.setSpent(result.Took)
		r.ended(a, result)
		a.call.post(delivered{complete: result.Outcome == core.OutcomeComplete && w.err == nil})
	default:
		r.finishUndelivered(a, answer)
	}
}

// finishUndelivered reads an answer that the reducer has not chosen. If it chooses it while the body is read,
// the captured answer is delivered.
func (r *Runner) finishUndelivered(a *attempt, answer *proxy.Answer) {
	result := answer.Copy(nil)
	r.ended(a, result)
	select {
	case <-a.deliver:
		if result.Answer == nil {
			a.call.post(delivered{})
			return
		}
		a.call.setSpent(result.Took)
		a.call.post(core.Replay{ID: a.call.id, Answer: result.Answer})
	default:
	}
}

func (r *Runner) ended(a *attempt, result proxy.Result) {
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

// find returns an attempt in progress, or nil.
func (r *Runner) find(e core.CancelAttempt) *attempt {
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
	if a := r.find(e); a != nil {
		a.Cancel()
	}
}

func (r *Runner) deliver(e core.Deliver) {
	a := r.find(core.CancelAttempt(e))
	if a == nil {
		return
	}
	select {
	case a.deliver <- struct{}{}:
	default:
	}
}

func (c *call) setSpent(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent = took
}

// bodyWriter writes the body of an answer to the sink of a call as long as the call is served.
type bodyWriter struct {
	call *call
	// flush sends each part at once, for answers without a known length.
	flush bool
	err   error
}

// startAnswer writes the head of an answer.
func (c *call) startAnswer(answer *proxy.Answer, left time.Duration) *bodyWriter {
	w := &bodyWriter{call: c, flush: answer.Length < 0}
	answer.Header["X-Run"] = []string{core.RunYes.String()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sink == nil {
		w.err = &GoneError{}
		return w
	}
	c.sink.Expire(left)
	w.err = c.sink.Head(answer.Status, answer.Header, answer.Length)
	return w
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	w.call.mu.Lock()
	defer w.call.mu.Unlock()
	if w.err == nil && w.call.sink == nil {
		w.err = &GoneError{}
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
