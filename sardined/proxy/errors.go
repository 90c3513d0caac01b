package proxy

import "fmt"

// MismatchError reports an answer that belongs to another request.
type MismatchError struct{ Address string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer of %s does not carry the nonce of the request", e.Address)
}

// ShedError reports an answer by which the upstream says that it did not run the request.
type ShedError struct{ Address string }

// Error implements error.
func (e *ShedError) Error() string { return fmt.Sprintf("%s shed the request", e.Address) }

// UnframedError reports an answer that ends with its connection only.
type UnframedError struct{ Address string }

// Error implements error.
func (e *UnframedError) Error() string {
	return fmt.Sprintf("answer of %s has neither a length nor chunks", e.Address)
}

// LengthError reports a body that does not have its announced length.
type LengthError struct{ Announced, Read int64 }

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("answer has %d bytes of %d announced", e.Read, e.Announced)
}

// LoadError reports a load report that does not follow the protocol.
type LoadError struct{ Err error }

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("load report: %v", e.Err) }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }

// StatusError reports a load report with an unexpected status or state.
type StatusError struct{ Value string }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected value %q", e.Value) }
