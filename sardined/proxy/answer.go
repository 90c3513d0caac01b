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

// copyBufferBytes is the size of a pooled copy buffer. Together with the socket buffers it bounds the memory of one
// streamed answer.
const copyBufferBytes = 32 << 10

// maxWriteShare is the share of the time of a copy that one write may take if a body that does not end is to be put down to
// the upstream, not to a reader that has stopped.
const maxWriteShare = 0.5

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// Answer is an upstream's answer of which only the head has been read. Copy must be called to read the body and release
// the connection.
type Answer struct {
	Status int
	// Header holds the end-to-end fields, without those meant for sardinecross.
	Header http.Header
	// Length is the announced length of the body in bytes, negative for a chunked body.
	Length int64
	// FirstByte is the time from the start of the attempt to the end of the head.
	FirstByte   time.Duration
	Incarnation string

	attempt *Attempt
	resp    *http.Response
}

// newAnswer returns the answer of resp; it removes from the header the fields that are not passed to the caller.
func (a *Attempt) newAnswer(resp *http.Response) *Answer {
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

// Copy reads the body to its end, writes it to w unless w is nil, and closes the answer. After a failed write it reads
// on without writing, since whether an answer is complete must not depend on its reader.
func (a *Answer) Copy(w io.Writer) Result {
	defer a.attempt.cancel()
	defer a.resp.Body.Close() //nolint:errcheck // the outcome is known from the reads
	captured := a.newCapture()
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	var read int64
	var longestWrite time.Duration
	begin := time.Now()
	for {
		n, err := a.resp.Body.Read(*buf)
		read += int64(n)
		if n > 0 {
			captured.add((*buf)[:n])
			if w != nil {
				start := time.Now()
				if _, werr := w.Write((*buf)[:n]); werr != nil {
					w = nil
				}
				longestWrite = max(longestWrite, time.Since(start))
			}
		}
		if err != nil {
			readerStopped := longestWrite.Seconds() > maxWriteShare*time.Since(begin).Seconds()
			return a.copyResult(err, read, readerStopped, captured)
		}
	}
}

// copyResult returns the result of the attempt after a read returned err. read is the number of body bytes read, readerStopped
// is set if the reader of the answer has stopped taking them.
func (a *Answer) copyResult(err error, read int64, readerStopped bool, captured *capture) Result {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		outcome := core.OutcomeTruncated
		switch a.attempt.ctx.Err() {
		case context.DeadlineExceeded:
			outcome = core.OutcomeDeadline
			if a.Length < 0 && !readerStopped {
				outcome = core.OutcomeEndless
			}
		case context.Canceled:
			outcome = core.OutcomeCancelled
		}
		return a.attempt.result(outcome, err)
	}
	if a.Length >= 0 && read != a.Length && a.attempt.req.Method != http.MethodHead {
		return a.attempt.result(core.OutcomeTruncated, &LengthError{Announced: a.Length, Read: read})
	}
	res := a.attempt.result(core.OutcomeComplete, nil)
	res.Answer = captured.toAnswer(a)
	return res
}

// capture stores a body of at most limit bytes. A nil capture stores nothing.
type capture struct {
	body  []byte
	limit int
	// overLimit reports that the body exceeded limit; nothing is stored then.
	overLimit bool
}

// newCapture returns a capture, or nil if the request does not ask for one.
func (a *Answer) newCapture() *capture {
	if !a.attempt.req.Capture {
		return nil
	}
	return &capture{limit: a.attempt.client.cfg.CaptureBytes}
}

func (c *capture) add(p []byte) {
	if c == nil || c.overLimit {
		return
	}
	if len(c.body)+len(p) > c.limit {
		c.overLimit, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

// toAnswer returns the captured answer, or nil if the body was not captured whole.
func (c *capture) toAnswer(a *Answer) *core.Answer {
	if c == nil || c.overLimit {
		return nil
	}
	return &core.Answer{Status: a.Status, Header: a.Header.Clone(), Body: c.body}
}
