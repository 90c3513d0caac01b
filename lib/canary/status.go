package canary

import "sardinecross.example/lib/fleet"

// Resolve compares the status record of a service with the state that its owner wants. It returns whether the wanted state
// is to be written, and the final stage that the record already holds for the order, or Waiting. fresh is set if this host
// saw that the order was changed or removed before it was given; a final state in the record is then that of the order
// before.
func Resolve(record fleet.Status, order fleet.Order, want fleet.RolloutState, fresh bool) (write bool, final Stage) {
	if record.Version != order.Version || record.State == fleet.RolloutNone {
		return true, Waiting
	}
	if record.State.Final() && !fresh {
		if record.State == fleet.RolloutComplete {
			return false, Complete
		}
		return false, RolledBack
	}
	return record.State != want, Waiting
}
