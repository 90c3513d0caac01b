package watch

import (
	"fmt"

	"sardinecross.example/lib/fleet"
)

// StaleError reports a read of a stream that ended at position Got, before the position Have that is already known.
type StaleError struct{ Have, Got fleet.Position }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stream read ends at position %v, before the known position %v", e.Got, e.Have)
}
