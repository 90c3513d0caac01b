package fleet

import (
	"net/http"
	"time"
)

// Report is an upstream's report of its load.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Running and Waiting count the requests at the upstream, Slots is how many may run at once.
	Running, Waiting, Slots int
	// SlowdownPercent is the time that work takes on the upstream's machine at present, in percent of the time without
	// contention; 0 if not reported.
	SlowdownPercent float64
	// ColdFor is how long the upstream stays cold from the time of the report.
	ColdFor time.Duration
}

// ResponseInfo holds what the headers of an upstream's response say about the request.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the upstream's signature, which is its receipt for a request that it ran.
	Signed bool
	// NotRun is set if the upstream did not run the request.
	NotRun bool
	// Upstream is the ID of the upstream that responded, empty if it did not name itself.
	Upstream string
	// Notice is what the upstream says about further requests.
	Notice Notice
	// InvalidRetryAfter is the text of a time to retry that could not be parsed, empty if there was none. Notice has no
	// RetryAfter then.
	InvalidRetryAfter string
}

// HeaderCodec reads and writes the platform's headers in requests and responses between callers, hosts and upstreams.
type HeaderCodec interface {
	// ParseCall returns the ID of a caller's request and the time that the caller will wait, 0 if it did not say. ok is
	// false if the ID is missing or the time is invalid.
	ParseCall(h http.Header) (id string, left time.Duration, ok bool)
	// ClientKey returns the key of the client that sent a request. ok is false if there is none, an empty one, or several.
	ClientKey(h http.Header) (key string, ok bool)
	// SetOrganisation removes the client's key and any organisation from the headers of an attempt, and sets the name of the
	// organisation unless it is empty.
	SetOrganisation(h http.Header, name string)
	// SetAttemptHeaders sets the headers of an attempt: the time left until its deadline and the upstream it is meant
	// for.
	SetAttemptHeaders(h http.Header, left time.Duration, upstream string)
	// ParseResponse reads the headers of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ParseLoad reads the load report in the headers of an upstream's response and returns whether there is a valid
	// one.
	ParseLoad(h http.Header) (Report, bool)
}
