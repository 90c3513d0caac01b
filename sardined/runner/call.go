package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/proxy"
)

// Request is a checked request of a caller or of another host. Its body is complete.
type Request struct {
	Class  ident.ClassName
	Tenant ident.Tenant
	// Timeout is the time left, zero for the deadline of the class.
	Timeout time.Duration
	Token   string
	Key     string
	Depth   int
	Retry   bool
	// Relayed reports that another host passed the request on.
	Relayed bool
	Method  string
	// Path, RawPath and RawQuery are what follows the class, as in url.URL.
	Path, RawPath, RawQuery string
	// Header holds end-to-end fields only; it is not modified.
	Header http.Header
	Body   []byte
}

// Sink takes one answer. It is used by one goroutine at a time, and not after Serve has returned.
type Sink interface {
	// Expire bounds the time that the answer may take; it is called before Head, if at all. A caller that reads
	// slowly must not hold an upstream's slot beyond the deadline of the attempt.
	Expire(left time.Duration)
	// Head starts the answer. A negative length means that the length is not known. The sink may keep the header.
	Head(status int, header http.Header, length int64) error
	Write(p []byte) (int, error)
	// Flush sends what was written.
	Flush() error
}

// AbortError reports that an answer ended early; its sink's connection must be aborted.
type AbortError struct{}

// Error implements error.
func (*AbortError) Error() string { return "answer ended early" }

// GoneError reports that the caller left before the answer.
type GoneError struct{}

// Error implements error.
func (*GoneError) Error() string { return "caller is gone" }

// ClosedError reports a request after the runner was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "runner is closed" }

// delivered is the mail that ends the delivery of an attempt.
type delivered struct{ complete bool }

// mailboxSize is enough for every mail of one request: a relay, then a final answer, and one of shutdown.
const mailboxSize = 4

// call is one request in progress.
type call struct {
	id      ident.RequestID
	req     *Request
	arrived time.Duration
	// mail takes core.Refuse, core.Replay, core.Relay, core.DeliverID and delivered.
	mail chan any
	// done is closed by abort.
	done chan struct{}

	// users counts Serve and the attempts; the call leaves the table at zero. Guarded by the runner's callsMu, as is attempts.
	users int
	// attempts is short: a request has seldom more than two.
	attempts []*attempt

	// mu guards the fields below and every use of sink.
	mu sync.Mutex
	// sink is nil once Serve returned.
	sink Sink
	// firstStart is when the first attempt started; spent is the time of the delivered attempt. Both are for metrics.
	firstStart, spent time.Duration
}

// abort makes Serve return; it requires callsMu.
func (c *call) abort() {
	select {
	case <-c.done:
	default:
		close(c.done)
	}
}

// post puts a mail into the mailbox of a request that is still waited for.
func (r *Runner) post(id ident.RequestID, mail any) {
	r.callsMu.Lock()
	c := r.calls[id]
	r.callsMu.Unlock()
	if c == nil {
		return
	}
	c.post(mail)
}

func (c *call) post(mail any) {
	select {
	case c.mail <- mail:
	default:
		// Only a caller that is gone leaves mails unread.
	}
}

// open registers a request.
func (r *Runner) open(req *Request, sink Sink) (*call, error) {
	c := &call{
		id:      ident.RequestID(r.ids.Add(1)),
		req:     req,
		sink:    sink,
		arrived: r.Now(),
		mail:    make(chan any, mailboxSize),
		done:    make(chan struct{}),
		users:   1,
	}
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	if r.closed {
		return nil, &ClosedError{}
	}
	r.calls[c.id] = c
	return c, nil
}

// leave ends one use of the call.
func (r *Runner) leave(c *call) {
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	if c.users--; c.users == 0 {
		delete(r.calls, c.id)
	}
}

// Serve runs a request and writes its answer to sink. With a *AbortError or *GoneError the sink's connection
// must be aborted. The context ends when the caller leaves.
func (r *Runner) Serve(ctx context.Context, req *Request, sink Sink) error {
	c, err := r.open(req, sink)
	if err != nil {
		return err
	}
	defer r.leave(c)
	defer c.release()
	arrived := core.RequestArrived{
		ID:         c.id,
		Class:      req.Class,
		Tenant:     req.Tenant,
		Token:      req.Token,
		Key:        req.Key,
		Depth:      req.Depth,
		Retry:      req.Retry,
		Relayed:    req.Relayed,
		Replayable: true,
	}
	if req.Timeout > 0 {
		arrived.Deadline = c.arrived + req.Timeout
	}
	r.Step(arrived)
	return r.wait(ctx, c)
}

// wait handles the mails of a call until its answer has ended.
func (r *Runner) wait(ctx context.Context, c *call) error {
	for {
		select {
		case mail := <-c.mail:
			if again, err := r.handle(ctx, c, mail); !again {
				return err
			}
		case <-ctx.Done():
			r.Step(core.RequestCancelled{ID: c.id})
			return &GoneError{}
		case <-c.done:
			return &AbortError{}
		}
	}
}

// handle handles one mail; it reports whether another one follows.
func (r *Runner) handle(ctx context.Context, c *call, mail any) (bool, error) {
	switch m := mail.(type) {
	case delivered:
		if !m.complete {
			return false, &AbortError{}
		}
		r.observe(c)
		return false, nil
	case core.Refuse:
		return false, WriteRefusal(c.sink, Refusal{
			Status:     refusalStatus(m),
			Code:       string(m.Reason),
			Run:        m.Run,
			Message:    refusalText(m.Reason),
			RetryAfter: m.RetryAfter,
		})
	case core.Replay:
		return false, writeAnswer(c.sink, m.Answer)
	case core.Relay:
		return r.relay(ctx, c, m)
	}
	return false, &AbortError{}
}

// relay passes the request on. Unless an answer arrived, the reducer refuses the request afterwards.
func (r *Runner) relay(ctx context.Context, c *call, e core.Relay) (bool, error) {
	left := e.Deadline - r.Now()
	relayCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	c.sink.Expire(left)
	req := *c.req
	req.Timeout, req.Relayed = max(left, time.Millisecond), true
	passed, err := r.deps.Links.Relay(relayCtx, e.To, &req, c.sink)
	gone := ctx.Err() != nil
	if gone {
		r.Step(core.RequestCancelled{ID: c.id})
	}
	r.Step(core.RelayEnded{ID: c.id, Delivered: passed})
	if gone {
		return false, &GoneError{}
	}
	if !passed {
		return true, nil
	}
	if err != nil {
		return false, &AbortError{}
	}
	return false, nil
}

// release takes the sink away from the attempts; it waits for a write in progress.
func (c *call) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink = nil
}

func (r *Runner) observe(c *call) {
	c.mu.Lock()
	first, spent := c.firstStart, c.spent
	c.mu.Unlock()
	r.deps.Metrics.ObserveRequest(string(c.req.Class), string(c.req.Tenant), r.Now()-c.arrived, spent, first-c.arrived)
}

// Issued is an issued request ID.
type Issued struct {
	Token    string
	ValidFor time.Duration
}

// IssueID asks for a request ID; a refusal is written to sink and leaves the token empty.
func (r *Runner) IssueID(ctx context.Context, class ident.ClassName, sink Sink) (Issued, error) {
	c, err := r.open(&Request{Class: class}, sink)
	if err != nil {
		return Issued{}, err
	}
	defer r.leave(c)
	r.Step(core.IDRequested{ID: c.id, Class: class})
	select {
	case mail := <-c.mail:
		if m, ok := mail.(core.DeliverID); ok {
			return Issued{Token: m.Token, ValidFor: m.ValidFor}, nil
		}
		_, err := r.handle(ctx, c, mail)
		return Issued{}, err
	case <-ctx.Done():
		return Issued{}, &GoneError{}
	case <-c.done:
		return Issued{}, &AbortError{}
	}
}

// upstreamRequest returns the request of an attempt.
func (c *call) upstreamRequest(e core.StartAttempt) proxy.Request {
	return proxy.Request{
		Address:    e.Address,
		Method:     c.req.Method,
		Path:       c.req.Path,
		RawPath:    c.req.RawPath,
		RawQuery:   c.req.RawQuery,
		Header:     c.req.Header,
		Body:       c.req.Body,
		Deadline:   e.Deadline,
		StartBy:    e.StartBy,
		Idempotent: e.Idempotent,
		Capture:    e.Capture,
	}
}
