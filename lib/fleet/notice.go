package fleet

import "time"

// Lifetime identifies one run of an upstream, from its start to its end. An upstream that starts again under the same ID
// has a new lifetime.
type Lifetime struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Started is the time in Unix milliseconds when the upstream started; see Upstream.Started.
	Started int64
}

// Lifetime returns the lifetime that the entry u belongs to.
func (u Upstream) Lifetime() Lifetime { return Lifetime{Upstream: u.ID, Started: u.Started} }

// Notice is what an upstream says in a response about further requests. The zero Notice says nothing.
type Notice struct {
	_ struct{} `cbor:",toarray"`
	// Leaving is set if the upstream is going out of service. This holds until the end of its lifetime and for all hosts.
	Leaving bool
	// RetryAfter is how long the upstream wants no request from the host that got the response. It is 0 if the upstream
	// set no such time, and never negative.
	RetryAfter time.Duration
}

// IsZero reports whether the notice says nothing.
func (n Notice) IsZero() bool { return n == Notice{} }
