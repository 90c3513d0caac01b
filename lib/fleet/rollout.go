package fleet

import (
	"fmt"
	"time"
)

// Order is the operators' order to replace the upstreams of a service by those of another version.
type Order struct {
	Service, Version string
	// Over is the time from the order until its state has to be final.
	Over time.Duration
}

// RolloutState is the state of an order in the store.
type RolloutState uint8

// States of orders.
const (
	RolloutNone RolloutState = iota // the store holds no state
	RolloutActive
	RolloutComplete
	RolloutRolledBack
)

// String returns the name of the state in logs.
func (s RolloutState) String() string {
	return [...]string{"none", "active", "complete", "rolledBack"}[s]
}

// Final reports whether the state is never left.
func (s RolloutState) Final() bool { return s >= RolloutComplete }

// Status is the record of the state of an order.
type Status struct {
	State   RolloutState
	Version string
}

// ConflictError reports that a conditional write was refused, because the stream does not end at the position, or the store is in another
// era.
type ConflictError struct{ At Position }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the stream does not end at position %v any more", e.At)
}
