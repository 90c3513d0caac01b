package watch

import "fmt"

// StaleError reports a reading that ends before what is known already.
type StaleError struct{ Have, Got int64 }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("reading ends at %d, before the known position %d", e.Got, e.Have)
}
