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

type errorResponse struct {
	Error struct {
		Run        string `json:"run"`
		RetryAfter string `json:"retryAfter"`
	} `json:"error"`
}

// sendAttempt sends the request to one address. For an order of KindIssued, it first obtains a new request ID, unless an
// earlier attempt may have run.
func (c *Client) sendAttempt(ctx context.Context, call Call, address string, state *callState) attemptResult {
	if call.Kind == plan.KindIssued && !state.mayHaveRun && !c.opt.Direct {
		// No earlier attempt can have run, so a new ID from another host is safe. Obtaining an ID runs nothing.
		id, err := c.fetchRequestID(ctx, call.Class.Name, address)
		if err != nil {
			var responseErr *ResponseError
			return attemptResult{outcome: notRun, connectionFailed: !errors.As(err, &responseErr)}
		}
		state.requestID = id
	}
	c.addInFlight(address, 1)
	defer c.addInFlight(address, -1)
	// If there was no connection, no byte of the request can have been sent, so it did not run.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call, address, state)
	if err != nil {
		return attemptResult{outcome: rejected}
	}
	nonce := req.Header.Get("X-Request-Nonce")
	resp, err := c.transport.RoundTrip(req)
	if err != nil && !connected.Load() {
		return attemptResult{outcome: notRun, connectionFailed: true}
	}
	if err != nil {
		return attemptResult{outcome: unknown, connectionFailed: ctx.Err() == nil}
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is discarded
	if resp.Header.Get("X-Request-Nonce") != nonce && c.opt.Direct {
		return attemptResult{outcome: unknown, wrongResponse: true}
	}
	return readResponse(resp, call)
}

// addInFlight adds n to the number of requests in flight to an address.
func (c *Client) addInFlight(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[address] += n
}

func (c *Client) newRequest(ctx context.Context, call Call, address string, state *callState) (*http.Request, error) {
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
		// With a bytes.Reader as body, net/http itself retries a request of which no byte was written, and one with an
		// Idempotency-Key. Both are safe.
		body = bytes.NewReader([]byte(text))
	}
	req, err := http.NewRequestWithContext(ctx, call.Class.Method, u.String(), body)
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("X-Request-Timeout", strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	if state.attempts > 1 {
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
		h.Set("X-Request-Id", state.requestID)
	case plan.KindKey:
		h.Set("Idempotency-Key", call.Number)
	case plan.KindNeither, plan.KindPlain:
	}
	return req, nil
}

// readResponse reads the whole response and derives the outcome of the attempt from it.
func readResponse(resp *http.Response, call Call) attemptResult {
	run := resp.Header.Get("X-Run")
	if resp.Header.Get("X-Not-Run") == "true" && resp.StatusCode == http.StatusServiceUnavailable {
		run = "no"
	}
	if run == "no" || run == "unknown" {
		return readRefusal(resp, run)
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return attemptResult{outcome: unknown}
		}
		if resp.StatusCode == http.StatusGatewayTimeout {
			return attemptResult{outcome: unknown}
		}
		return attemptResult{outcome: failed}
	}
	sum := crc32.NewIEEE()
	firstBytes := &prefixWriter{limit: len(call.Number) + 8}
	n, err := io.Copy(io.MultiWriter(sum, firstBytes), resp.Body)
	if err != nil {
		return attemptResult{outcome: unknown}
	}
	line := "number=" + call.Number + "\n"
	complete := strings.HasPrefix(string(firstBytes.data), line) && n == int64(max(call.Class.AnswerBytes, len(line))) &&
		resp.Header.Get("X-Body-Checksum") == fmt.Sprintf("%08x", sum.Sum32())
	if !complete {
		return attemptResult{outcome: unknown, wrongResponse: true}
	}
	return attemptResult{outcome: served}
}

// readRefusal derives the outcome and the retry delay from a response that reports the request as not run or as
// unknown, and so carries no result of an upstream.
func readRefusal(resp *http.Response, run string) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxJSONResponseBytes))
	a := attemptResult{outcome: unknown}
	if run == "no" {
		a.outcome = notRun
		if resp.StatusCode != http.StatusServiceUnavailable {
			a.outcome = rejected
		}
	}
	var response errorResponse
	if err == nil && json.Unmarshal(body, &response) == nil {
		if d, err := time.ParseDuration(response.Error.RetryAfter); err == nil {
			a.retryAfter = d
		}
	}
	return a
}

// prefixWriter keeps the first bytes written to it, up to limit, and discards the others.
type prefixWriter struct {
	limit int
	data  []byte
}

// Write implements io.Writer.
func (p *prefixWriter) Write(b []byte) (int, error) {
	p.data = append(p.data, b[:min(len(b), p.limit-len(p.data))]...)
	return len(b), nil
}
