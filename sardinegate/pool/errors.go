package pool

import "fmt"

// UnreachedError reports that no connection was established: nothing was sent.
type UnreachedError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *UnreachedError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *UnreachedError) Unwrap() error { return e.Err }

// BusyError reports that the limit of connections to an upstream is reached: nothing was sent.
type BusyError struct{ Address string }

// Error implements error.
func (e *BusyError) Error() string { return "connection limit reached at " + e.Address }

// BrokenError reports an exchange that did not end with a complete response; the request may have run.
type BrokenError struct {
	Address string
	// Reused is set if the connection had served a request before, Answered if any byte of a response was read.
	Reused, Answered bool
	Err              error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with %s (reused %t, answered %t): %v", e.Address, e.Reused, e.Answered, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// UnsolicitedError reports bytes on a connection with no request waiting.
type UnsolicitedError struct{}

// Error implements error.
func (*UnsolicitedError) Error() string { return "bytes without a request" }

// UpgradeError reports a response that switches protocols.
type UpgradeError struct{}

// Error implements error.
func (*UpgradeError) Error() string { return "unexpected switch of protocols" }
