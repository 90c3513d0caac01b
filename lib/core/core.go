// Package core is the reducer of the entry host: every decision of the daemon is one step from an event to effects.
package core
