package order

import "fmt"

// FullError reports that the table of issued IDs has no free entry.
type FullError struct{ Limit int }

func (e *FullError) Error() string { return fmt.Sprintf("all %d request IDs are in use", e.Limit) }

// RecordError reports a record of the stream of claims that cannot be decoded.
type RecordError struct {
	Problem string
	// Err is the decoder's error, nil if the record was well formed.
	Err error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("claim record: %s: %v", e.Problem, e.Err)
	}
	return "claim record: " + e.Problem
}

func (e *RecordError) Unwrap() error { return e.Err }
