package proxy

import "fmt"

// MismatchError reports an answer without the nonce of the request, which may belong to another request.
type MismatchError struct{ Address string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer of upstream %s does not carry the nonce of the request", e.Address)
}

// ShedError reports an answer in which the upstream states that it shed the request without running it.
type ShedError struct{ Address string }

// Error implements error.
func (e *ShedError) Error() string { return fmt.Sprintf("upstream %s shed the request", e.Address) }

// UnframedError reports an answer without a declared end: its body ends only with the connection.
type UnframedError struct{ Address string }

// Error implements error.
func (e *UnframedError) Error() string {
	return fmt.Sprintf("answer of upstream %s has neither a length nor a chunked body", e.Address)
}

// LengthError reports an answer whose body does not have its announced length, in bytes.
type LengthError struct{ Announced, Read int64 }

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("answer body ended after %d of %d announced bytes", e.Read, e.Announced)
}

// LoadReportError reports a load report that could not be fetched or is not valid.
type LoadReportError struct{ Err error }

// Error implements error.
func (e *LoadReportError) Error() string { return fmt.Sprintf("load report: %v", e.Err) }

// Unwrap returns the cause.
func (e *LoadReportError) Unwrap() error { return e.Err }

// UnexpectedValueError reports an unexpected status of an answer, or an unexpected value in a load report.
type UnexpectedValueError struct{ Value string }

// Error implements error.
func (e *UnexpectedValueError) Error() string { return fmt.Sprintf("unexpected value %q", e.Value) }
