package watch

import "fmt"

// StaleError reports a read of a stream that ended at position Got, before the position Have that is already known.
type StaleError struct{ Have, Got int64 }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stream read ends at position %d, before the known position %d", e.Got, e.Have)
}
