package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"sardinecross.example/lib/core"
)

// bufferBytes is the size of the pooled copy buffers; together with the sockets' buffers it bounds one streamed answer.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}

// Answer is an upstream's answer whose head was read; Copy must follow.
type Answer struct {
	Status int
	// Header holds end-to-end fields only.
	Header http.Header
	// Length is the announced length of the body, negative for chunks.
	Length int64
	// FirstByte is the time from the start of the attempt to the end of the head.
	FirstByte   time.Duration
	Incarnation string

	attempt *Attempt
	resp    *http.Response
}

func (a *Attempt) answer(resp *http.Response) *Answer {
	incarnation := resp.Header.Get("X-Upstream-Incarnation")
	h := resp.Header
	RemoveHopByHop(h)
	for _, k := range internalAnswerFields {
		delete(h, k)
	}
	return &Answer{
		Status:      resp.StatusCode,
		Header:      h,
		Length:      resp.ContentLength,
		FirstByte:   a.client.cfg.Now() - a.started,
		Incarnation: incarnation,
		attempt:     a,
		resp:        resp,
	}
}

// Copy reads the body to its end, writes it to w unless w is nil, and closes the answer. A failed write
// ends the writing, not the reading: whether an answer is complete does not depend on its reader.
func (a *Answer) Copy(w io.Writer) Result {
	defer a.attempt.cancel()
	defer a.resp.Body.Close() //nolint:errcheck // the outcome is known from the reads
	captured := a.capture()
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var read int64
	for {
		n, err := a.resp.Body.Read(*buf)
		read += int64(n)
		if n > 0 {
			captured.add((*buf)[:n])
			if w != nil {
				if _, werr := w.Write((*buf)[:n]); werr != nil {
					w = nil
				}
			}
		}
		if err != nil {
			return a.end(err, read, captured)
		}
	}
}

func (a *Answer) end(err error, read int64, captured *capture) Result {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		outcome := core.OutcomeTruncated
		switch a.attempt.ctx.Err() {
		case context.DeadlineExceeded:
			outcome = core.OutcomeDeadline
		case context.Canceled:
			outcome = core.OutcomeCancelled
		}
		return a.attempt.result(outcome, err)
	}
	if a.Length >= 0 && read != a.Length && a.attempt.req.Method != http.MethodHead {
		return a.attempt.result(core.OutcomeTruncated, &LengthError{Announced: a.Length, Read: read})
	}
	res := a.attempt.result(core.OutcomeComplete, nil)
	res.Answer = captured.answer(a)
	return res
}

// capture collects a body up to a limit; a nil capture collects nothing.
type capture struct {
	body  []byte
	limit int
	// over is true once the body exceeded the limit.
	over bool
}

func (a *Answer) capture() *capture {
	if !a.attempt.req.Capture {
		return nil
	}
	return &capture{limit: a.attempt.client.cfg.CaptureBytes}
}

func (c *capture) add(p []byte) {
	if c == nil || c.over {
		return
	}
	if len(c.body)+len(p) > c.limit {
		c.over, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

func (c *capture) answer(a *Answer) *core.Answer {
	if c == nil || c.over {
		return nil
	}
	return &core.Answer{Status: a.Status, Header: a.Header.Clone(), Body: c.body}
}
