package pool

import (
	"fmt"
	"time"
)

// ConnectError reports that no connection to an upstream could be established. Nothing was sent.
type ConnectError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ConnectError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// ConnLimitError reports that the limit of connections to an upstream is reached, or that the pool is closed. Nothing
// was sent.
type ConnLimitError struct{ Address string }

// Error implements error.
func (e *ConnLimitError) Error() string { return "connection limit reached at " + e.Address }

// WithheldError reports a request that was not sent because Request.MaySend returned false.
type WithheldError struct{ Address string }

// Error implements error.
func (e *WithheldError) Error() string { return "request withheld from " + e.Address }

// ExchangeError reports an exchange that did not yield a complete response. The upstream may have executed the request.
type ExchangeError struct {
	Address string
	// Reused is set if the connection carried an earlier request, Answered if any byte was read after this request.
	Reused, Answered bool
	// AnsweringFor is the time from that byte to the end of the exchange.
	AnsweringFor time.Duration
	Err          error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s (reused %t, answered %t): %v", e.Address, e.Reused, e.Answered, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// NoMatchingResponseError reports that a connection delivered too many interim responses, or no response to the request
// before the limit of skipped responses or the end of the connection.
type NoMatchingResponseError struct{}

// Error implements error.
func (*NoMatchingResponseError) Error() string { return "no final response that matches the request" }

// UpgradeError reports a response with status 101 (Switching Protocols), which the pool does not support.
type UpgradeError struct{}

// Error implements error.
func (*UpgradeError) Error() string {
	return "unexpected response with status 101 (Switching Protocols)"
}
