// Package applog is the client for the platform's append-only log.
package applog

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"sardinecross.example/lib/common/httpc"
)

const (
	// MaxRecordBytes is the maximum size of one record.
	MaxRecordBytes = 1 << 20
	// MaxBatchRecords is the maximum number of records returned by one read.
	MaxBatchRecords = 1000

	// maxAppendResponseBytes bounds the response to an append, which holds only an offset.
	maxAppendResponseBytes = 4 << 10
	// maxReadResponseBytes bounds the memory of one read. If the records exceed it, the read fails and must be
	// repeated with a lower limit.
	maxReadResponseBytes = 8 << 20
	// maxConnections suffices for one append and one read in flight per stream, plus some calls delayed by a slow log.
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
	// First is the oldest retained offset, Next the offset that the next append will get.
	First, Next int64
}

// Client accesses one log service. It is safe for concurrent use.
type Client struct {
	address string
	http    *httpc.Client
}

// New returns a client for the log at address (IP address and port).
func New(address string) *Client { return &Client{address: address, http: httpc.New(maxConnections)} }

// Close cancels the calls in flight, waits until they have returned and closes the connections.
func (c *Client) Close() { c.http.Close() }

// Append appends one record and returns its offset. Every error is a *NotAppliedError or an *UnknownOutcomeError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > MaxRecordBytes {
		return 0, &NotAppliedError{Stream: stream, Err: &httpc.SizeError{Limit: MaxRecordBytes}}
	}
	ctx, done, err := c.http.Begin(ctx)
	if err != nil {
		return 0, &NotAppliedError{Stream: stream, Err: err}
	}
	defer done()
	// If no connection was obtained, no byte of the request was sent and the append cannot have taken effect.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		c.url(stream, nil), bytes.NewReader(data))
	if err != nil {
		return 0, &NotAppliedError{Stream: stream, Err: err}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	body, err := c.http.Do(req, maxAppendResponseBytes)
	if err == nil {
		var offset int64
		if offset, err = decodeAppend(body); err == nil {
			return offset, nil
		}
	}
	if !connected.Load() || isRejection(err) {
		return 0, &NotAppliedError{Stream: stream, Err: err}
	}
	return 0, &UnknownOutcomeError{Stream: stream, Err: err}
}

// Read returns at most limit records of a stream, starting at offset from. A limit outside the range 1 to
// MaxBatchRecords means MaxBatchRecords. If from is below Batch.First, the records in between are no longer retained.
// Every error is a *ReadError.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int) (Batch, error) {
	if limit < 1 || limit > MaxBatchRecords {
		limit = MaxBatchRecords
	}
	ctx, done, err := c.http.Begin(ctx)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	defer done()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	body, err := c.http.Do(req, maxReadResponseBytes)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	b, err := decodeBatch(body, from, limit)
	if err != nil {
		return Batch{}, &ReadError{Stream: stream, Err: err}
	}
	return b, nil
}

// url returns the URL of the records of a stream.
func (c *Client) url(stream string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.address, Path: "/v1/streams/" + stream + "/records", RawQuery: query.Encode()}
	return u.String()
}
