package conf

import "fmt"

// InvalidError reports an invalid field of a proposal. Every host rejects such a proposal, whatever the item's version.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string { return e.Field + ": " + e.Problem }

// RecordError reports a record or checkpoint that cannot be decoded.
type RecordError struct {
	Problem string
	// Err is the underlying error, nil if there is none.
	Err error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("configuration record: %s: %v", e.Problem, e.Err)
	}
	return "configuration record: " + e.Problem
}

func (e *RecordError) Unwrap() error { return e.Err }
