package applog

import (
	"errors"
	"fmt"
	"net/http"

	"sardinecross.example/lib/common/httpc"
)

// NotAppliedError reports an append that certainly had no effect: it was never sent, or the log refused it.
type NotAppliedError struct {
	Stream string
	Err    error
}

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("append to stream %s not applied: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// UnansweredError reports an append that may have taken effect, because its request left and no valid response came back.
type UnansweredError struct {
	Stream string
	Err    error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("append to stream %s unanswered: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }

// ReadError reports a read that failed.
type ReadError struct {
	Stream string
	Err    error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read of stream %s: %v", e.Stream, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// DecodeError reports a response that does not follow the protocol.
type DecodeError struct {
	Reason string
	// Err is nil if the JSON was valid but its values were not.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "invalid response: " + e.Reason
	}
	return fmt.Sprintf("invalid response: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// refused reports whether err is a response by which the log says that it did not apply an append: overload,
// outage or a request that it rejects. Any other status leaves the outcome open.
func refused(err error) bool {
	var status *httpc.StatusError
	if !errors.As(err, &status) {
		return false
	}
	switch status.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}
