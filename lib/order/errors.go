package order

import "fmt"

// TokenLimitError reports that no token can be issued because Limits.Tokens is reached.
type TokenLimitError struct{ Limit int }

func (e *TokenLimitError) Error() string {
	return fmt.Sprintf("all %d request IDs are in use", e.Limit)
}

// RecordError reports a record of the stream of claims that cannot be decoded.
type RecordError struct {
	Problem string
	// Err is the error of the CBOR decoder; it is nil if the record was rejected for its size or content.
	Err error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("claim record: %s: %v", e.Problem, e.Err)
	}
	return "claim record: " + e.Problem
}

func (e *RecordError) Unwrap() error { return e.Err }
