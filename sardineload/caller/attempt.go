package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sardinecross.example/sardineload/plan"
)

type errorAnswer struct {
	Error struct {
		Run        string `json:"run"`
		RetryAfter string `json:"retryAfter"`
	} `json:"error"`
}

// attempt sends the request to one address.
func (c *Client) attempt(ctx context.Context, call Call, address string, p *progress) attempt {
	if call.Kind == plan.KindIssued && !p.unknown && !c.opt.Direct {
		// Nothing ran so far, so another host may issue the ID. Asking for one runs nothing.
		id, err := c.issue(ctx, call.Class.Name, address)
		if err != nil {
			var answered *AnswerError
			return attempt{verdict: notRun, broken: !errors.As(err, &answered)}
		}
		p.id = id
	}
	c.count(address, 1)
	defer c.count(address, -1)
	// Without a connection no byte of the request can have left.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), call, address, p)
	if err != nil {
		return attempt{verdict: rejected}
	}
	nonce := req.Header.Get("X-Request-Nonce")
	resp, err := c.transport.RoundTrip(req)
	if err != nil && !connected.Load() {
		return attempt{verdict: notRun, broken: true}
	}
	if err != nil {
		return attempt{verdict: unknown, broken: ctx.Err() == nil}
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is given up
	if resp.Header.Get("X-Request-Nonce") != nonce && c.opt.Direct {
		return attempt{verdict: unknown, wrong: true}
	}
	return read(resp, call)
}

// count tracks the requests in flight to an address.
func (c *Client) count(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[address] += n
}

func (c *Client) request(ctx context.Context, call Call, address string, p *progress) (*http.Request, error) {
	u := url.URL{
		Scheme:   "http",
		Host:     address,
		Path:     "/v1/classes/" + call.Class.Name + "/" + strings.TrimPrefix(call.Class.Path, "/"),
		RawQuery: url.Values{"number": {call.Number}, "bytes": {strconv.Itoa(call.Class.AnswerBytes)}}.Encode(),
	}
	var body io.Reader
	if call.Class.Method != http.MethodGet {
		text := "number=" + call.Number + "\n"
		text += strings.Repeat("x", max(0, call.Class.BodyBytes-len(text)))
		// The reader lets net/http repeat a request of which no byte was written, and one with an Idempotency-Key.
		// Both are safe.
		body = bytes.NewReader([]byte(text))
	}
	req, err := http.NewRequestWithContext(ctx, call.Class.Method, u.String(), body)
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("X-Request-Timeout", strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	if p.attempts > 1 {
		h.Set("X-Retry", "true")
	}
	if call.Class.Orders {
		h.Set("X-Order-Number", call.Number)
	}
	if c.opt.Direct {
		h.Set("X-Request-Deadline", strconv.FormatInt(call.Deadline.UnixMilli(), 10))
		h.Set("X-Request-Nonce", strconv.FormatUint(rand.Uint64(), 16))
		return req, nil
	}
	switch call.Kind {
	case plan.KindIssued:
		h.Set("X-Request-Id", p.id)
	case plan.KindKey:
		h.Set("Idempotency-Key", call.Number)
	case plan.KindNeither, plan.KindPlain:
	}
	return req, nil
}

// read reads the whole answer and decides what it means.
func read(resp *http.Response, call Call) attempt {
	run := resp.Header.Get("X-Run")
	if resp.Header.Get("X-Not-Run") == "true" && resp.StatusCode == http.StatusServiceUnavailable {
		run = "no"
	}
	if run == "no" || run == "unknown" {
		return refusal(resp, run)
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return attempt{verdict: unknown}
		}
		if resp.StatusCode == http.StatusGatewayTimeout {
			return attempt{verdict: unknown}
		}
		return attempt{verdict: failed}
	}
	sum := crc32.NewIEEE()
	first := &prefix{limit: len(call.Number) + 8}
	n, err := io.Copy(io.MultiWriter(sum, first), resp.Body)
	if err != nil {
		return attempt{verdict: unknown}
	}
	line := "number=" + call.Number + "\n"
	right := strings.HasPrefix(string(first.data), line) && n == int64(max(call.Class.AnswerBytes, len(line))) &&
		resp.Header.Get("X-Body-Checksum") == fmt.Sprintf("%08x", sum.Sum32())
	if !right {
		return attempt{verdict: unknown, wrong: true}
	}
	return attempt{verdict: served}
}

// refusal reads an answer that is not an upstream's.
func refusal(resp *http.Response, run string) attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSmallAnswerBytes))
	a := attempt{verdict: unknown}
	if run == "no" {
		a.verdict = notRun
		if resp.StatusCode != http.StatusServiceUnavailable {
			a.verdict = rejected
		}
	}
	var answer errorAnswer
	if err == nil && json.Unmarshal(body, &answer) == nil {
		if d, err := time.ParseDuration(answer.Error.RetryAfter); err == nil {
			a.retryAfter = d
		}
	}
	return a
}

// prefix keeps the first bytes written to it.
type prefix struct {
	limit int
	data  []byte
}

// Write implements io.Writer.
func (p *prefix) Write(b []byte) (int, error) {
	p.data = append(p.data, b[:min(len(b), p.limit-len(p.data))]...)
	return len(b), nil
}
