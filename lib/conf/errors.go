package conf

import "fmt"

// InvalidError reports a proposal that no host would accept whatever its base.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string { return e.Field + ": " + e.Problem }

// RecordError reports a record or checkpoint that cannot be decoded.
type RecordError struct {
	Problem string
	// Err is the decoder's error, nil if the record was well formed.
	Err error
}

func (e *RecordError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("configuration record: %s: %v", e.Problem, e.Err)
	}
	return "configuration record: " + e.Problem
}

func (e *RecordError) Unwrap() error { return e.Err }
