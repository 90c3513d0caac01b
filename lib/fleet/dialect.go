package fleet

import (
	"net/http"
	"time"
)

// Report is what an upstream said of its load.
type Report struct {
	_                       struct{} `cbor:",toarray"`
	Running, Waiting, Slots int
	// Factor is the time that work takes on its machine at the moment, in percent of the usual; 0 if not told.
	Factor float64
	// ColdFor is how long the upstream stays cold.
	ColdFor time.Duration
}

// Answer is what the headers of an upstream's response say.
type Answer struct {
	// ID is the request that the response belongs to.
	ID string
	// Signed is set if the response carries the upstream's receipt.
	Signed bool
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Upstream is the responding upstream, where it names itself.
	Upstream string
}

// Dialect reads and writes the headers that callers, hosts and upstreams exchange.
type Dialect interface {
	// Call returns a caller's request ID and the time it will wait, 0 if not told; ok is false without a valid ID or time.
	Call(h http.Header) (id string, left time.Duration, ok bool)
	// Stamp sets the headers for an attempt at an upstream.
	Stamp(h http.Header, left time.Duration, upstream string)
	// Answer reads the headers of a response.
	Answer(status int, h http.Header) Answer
	// Load reads the upstream's report of its load.
	Load(h http.Header) (Report, bool)
}
