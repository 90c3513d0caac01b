package fleet

import (
	"net/http"
	"time"
)

// Report is what an upstream said of its load.
type Report struct {
	_                       struct{} `cbor:",toarray"`
	Running, Waiting, Slots int
	// SlowdownPercent is the time that work takes on its machine at the moment, in percent of the usual; 0 if not told.
	SlowdownPercent float64
	// ColdFor is how long the upstream stays cold.
	ColdFor time.Duration
}

// ResponseInfo is what the headers of an upstream's response say.
type ResponseInfo struct {
	// RequestID is the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the upstream's receipt.
	Signed bool
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Upstream is the responding upstream, where it names itself.
	Upstream string
}

// HeaderCodec reads and writes the headers that callers, hosts and upstreams exchange.
type HeaderCodec interface {
	// ParseCall returns a caller's request ID and the time it will wait, 0 if not told; ok is false without a valid ID or time.
	ParseCall(h http.Header) (id string, left time.Duration, ok bool)
	// SetAttemptHeaders sets the headers for an attempt at an upstream.
	SetAttemptHeaders(h http.Header, left time.Duration, upstream string)
	// ParseResponse reads the headers of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ParseLoad reads the upstream's report of its load.
	ParseLoad(h http.Header) (Report, bool)
}
