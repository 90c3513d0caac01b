// Package explain defines the answer of a host to the question where a request would go now, and why.
package explain

// Answer is the body of the response to GET /explain. Times are in milliseconds. It never contains the key of the request.
type Answer struct {
	// Host is the host that was asked. Stopping is set if it is shutting down.
	Host     string `json:"host"`
	Stopping bool   `json:"stopping,omitempty"`
	// Configuration is nil if the host has none, or doesn't serve callers yet.
	Configuration *Configuration `json:"configuration,omitempty"`
	// List is how far the host has read the list of upstreams; nil like Configuration.
	List  *Position `json:"list,omitempty"`
	Route string    `json:"route,omitempty"`
	// Service is the service that the answer is for: the one with the greatest share of Split.
	Service   string  `json:"service,omitempty"`
	Split     []Share `json:"split,omitempty"`
	KeyNeeded bool    `json:"keyNeeded"`
	// Organisation is the one that the key belongs to, if a key is needed.
	Organisation string `json:"organisation,omitempty"`
	// Class is nil if the request is rejected before it has one.
	Class     *Class     `json:"class,omitempty"`
	Allowance *Allowance `json:"allowance,omitempty"`
	// Selection is nil if the request is rejected before an upstream is asked for.
	Selection *Selection `json:"selection,omitempty"`
	// Upstream is the one that would get the request, empty if it would wait or be rejected.
	Upstream string `json:"upstream,omitempty"`
	// Rejection is what would reject the request, nil if nothing would.
	Rejection *Rejection `json:"rejection,omitempty"`
}

// Configuration is the configuration in force. Hosts of earlier releases tell no position.
type Configuration struct {
	Version  int64     `json:"version"`
	AgeMs    int64     `json:"ageMs"`
	Position *Position `json:"position,omitempty"`
}

// Position is how far a host has read a stream of the store.
type Position struct {
	// Era rises when the store is restored from a copy; 0 if the store does not tell it. Offset counts the records in an era.
	Era    int64 `json:"era"`
	Offset int64 `json:"offset"`
}

// Share is the share of a service in the requests on a route.
type Share struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// Class tells how urgent the request is and what may be done with it.
type Class struct {
	Priority int    `json:"priority"`
	Kind     string `json:"kind"`
	// MaxAttempts is the number of upstreams that it may be sent to, at most. Retry is set if it may be sent again though it may have
	// run, Hedge if it may be sent to two at once.
	MaxAttempts int   `json:"maxAttempts"`
	Retry       bool  `json:"retry"`
	Hedge       bool  `json:"hedge"`
	TargetMs    int64 `json:"targetMs"`
	DeadlineMs  int64 `json:"deadlineMs"`
}

// States of allowances.
const (
	// Granted and Rejected mean that the host decides, or was told lately. Unknown means that only the owner knows.
	Granted  = "granted"
	Rejected = "rejected"
	Unknown  = "unknown"
)

// Allowance is what a host knows of the allowance of an organisation.
type Allowance struct {
	RatePerS float64 `json:"ratePerS"`
	Burst    float64 `json:"burst"`
	Owner    string  `json:"owner,omitempty"`
	State    string  `json:"state"`
	// DecidedAs is the right by which the host decides: owner, deputy, alone, or remembered for the last answer of another host.
	DecidedAs    string `json:"decidedAs,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// Selection tells which upstreams the request may be sent to.
type Selection struct {
	// Owner is the host that decides for the service, AnsweredBy the one whose view this is. OwnView tells why that is not the owner.
	Owner      string `json:"owner,omitempty"`
	AnsweredBy string `json:"answeredBy"`
	OwnView    string `json:"ownView,omitempty"`
	// Result is granted, queued, or the reason of a refusal.
	Result         string `json:"result"`
	Waiting        int    `json:"waiting"`
	ExpectedWaitMs int64  `json:"expectedWaitMs"`
	// Upstreams is the number of upstreams of the service that are listed. Candidates holds some of them, those that may be used first,
	// in order of preference. LeftOut is the number of the others.
	Upstreams  int         `json:"upstreams"`
	Candidates []Candidate `json:"candidates"`
	LeftOut    int         `json:"leftOut"`
	// PassedOver counts all upstreams that are passed over, by the reason.
	PassedOver map[string]int `json:"passedOver,omitempty"`
}

// Candidate is an upstream of the service.
type Candidate struct {
	Upstream       string `json:"upstream"`
	DataCentre     string `json:"dataCentre,omitempty"`
	Version        string `json:"version,omitempty"`
	ExpectedTimeMs int64  `json:"expectedTimeMs"`
	InFlight       int    `json:"inFlight"`
	Slots          int    `json:"slots"`
	// PassedOver is the reason why the upstream is passed over, empty if it may be used.
	PassedOver string `json:"passedOver,omitempty"`
}

// Rejection is a response of the host itself.
type Rejection struct {
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}
