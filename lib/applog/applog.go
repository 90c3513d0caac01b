// Package applog is the client for the platform's append-only log.
package applog

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxRecordBytes is the greatest size of one record.
	MaxRecordBytes = 1 << 20
	// MaxBatch is the greatest number of records in one read.
	MaxBatch = 1000

	maxAppendResponseBytes = 4 << 10
	// maxReadResponseBytes bounds the memory of one read; a read of more data needs a lower limit.
	maxReadResponseBytes = 8 << 20
	dialTimeout          = time.Second
	// maxConnections is enough for one append and one read in flight per stream, with some queued behind a slow log.
	maxConnections = 8
)

// Record is one record of a stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is the result of one read.
type Batch struct {
	// Records are in ascending order of their offsets, all in [First, Next).
	Records []Record
	// First is the oldest retained offset, Next the offset of the next append.
	First, Next int64
}

// Client talks to one log service; it is safe for concurrent use.
type Client struct {
	address   string
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelFunc

	mu sync.Mutex
	// closed is true once Close was called; no call joins calls after that.
	closed bool
	calls  sync.WaitGroup
}

// New returns a client for the log at address (IP and port).
func New(address string) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		address: address,
		ctx:     ctx,
		cancel:  cancel,
		transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:    maxConnections,
			IdleConnTimeout:    time.Minute,
			DisableCompression: true,
		},
	}
}

// Append appends one record and returns its offset. A failure is a *NotAppliedError or an *UnansweredError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > MaxRecordBytes {
		return 0, &NotAppliedError{Stream: stream, Err: &SizeError{Limit: MaxRecordBytes}}
	}
	ctx, done, err := c.begin(ctx)
	if err != nil {
		return 0, &NotAppliedError{Stream: stream, Err: err}
	}
	defer done()
	// Without a connection no byte of the request can have left.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		c.url(stream, nil), bytes.NewReader(data))
	if err != nil {
		return 0, &NotAppliedError{Stream: stream, Err: err}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	body, err := c.do(req, maxAppendResponseBytes)
	if err == nil {
		var offset int64
		if offset, err = decodeAppend(body); err == nil {
			return offset, nil
		}
	}
	if !connected.Load() || refused(err) {
		return 0, &NotAppliedError{Stream: stream, Err: err}
	}
	return 0, &UnansweredError{Stream: stream, Err: err}
}

// Read returns at most limit records of a stream from an offset; a limit outside 1 to MaxBatch means MaxBatch.
// If from is below Batch.First, the records in between are no longer retained.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int) (Batch, error) {
	if limit < 1 || limit > MaxBatch {
		limit = MaxBatch
	}
	ctx, done, err := c.begin(ctx)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	defer done()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	body, err := c.do(req, maxReadResponseBytes)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	b, err := decodeBatch(body, from, limit)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	return b, nil
}

// Close cancels the calls in flight, waits for them and closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
}

// begin registers a call; its context ends with ctx or when the client is closed.
func (c *Client) begin(ctx context.Context) (context.Context, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, &ClosedError{}
	}
	c.calls.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
		c.calls.Done()
	}, nil
}

// do sends a request and returns the body of a 200 response of at most limit bytes.
func (c *Client) do(req *http.Request, limit int64) ([]byte, error) {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is given up
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return body, nil
}

func (c *Client) url(stream string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.address, Path: "/v1/streams/" + stream + "/records", RawQuery: query.Encode()}
	return u.String()
}
