package applog

import (
	"errors"
	"fmt"
	"net/http"

	"sardinecross.example/lib/common/httpc"
)

// NotAppliedError reports an append that had no effect: it was never sent, or the log rejected it.
type NotAppliedError struct {
	Stream string
	Err    error
}

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("append to stream %s was not applied: %v", e.Stream, e.Err)
}

// Unwrap returns the underlying error.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports an append that may have taken effect: its request may have been sent, and no response told
// whether the record was appended.
type UnknownOutcomeError struct {
	Stream string
	Err    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of append to stream %s is unknown: %v", e.Stream, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ReadError reports that a stream could not be read.
type ReadError struct {
	Stream string
	Err    error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("cannot read stream %s: %v", e.Stream, e.Err) }

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Err }

// DecodeError reports a response of the log that is invalid.
type DecodeError struct {
	// Problem says which response or which part of it is invalid.
	Problem string
	// Err is the error of the JSON decoder, or nil if the JSON was valid but its values were not.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "invalid log response: " + e.Problem
	}
	return fmt.Sprintf("invalid log response: %s: %v", e.Problem, e.Err)
}

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// isRejection reports whether err is an HTTP status by which the log states that it did not apply an append: overload,
// outage or an invalid request. With any other status the append may have taken effect.
func isRejection(err error) bool {
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
