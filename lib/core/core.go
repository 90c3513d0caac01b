// Package core is the reducer of the entry host: every decision of the daemon is one step from an event to effects.
package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// State is all state of one host incarnation. It is not safe for concurrent use.
type State struct {
	cfg     Settings
	now     time.Duration
	effects []Effect
}

// New returns the state of a host that has just started; the runner delivers Tick first.
func New(cfg Settings) *State {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Limits = cfg.Limits.withDefaults()
	return &State{cfg: cfg}
}

// Step applies one event at a time and returns its effects in the order in which they take effect.
// The times of successive steps never decrease. The slice is valid until the next Step.
func (s *State) Step(now time.Duration, _ uint64, ev Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	if ev, ok := ev.(RequestArrived); ok {
		s.effects = append(s.effects, Refuse{ID: ev.ID, Reason: ReasonUnknownClass, Run: RunNo})
	}
	return s.effects
}

// Wake returns the next time at which Tick must be delivered.
func (s *State) Wake() time.Duration { return s.now + s.cfg.Timing.Heartbeat }

// Status returns a copy of the state for the admin listener.
func (s *State) Status() Status {
	return Status{Host: s.cfg.Host, Incarnation: s.cfg.Incarnation, DataCentre: s.cfg.DataCentre}
}

// Addresses returns the hosts that a caller of a class may use, nearest first, and how long it may keep them.
func (s *State) Addresses(time.Duration, ident.ClassName) ([]Address, time.Duration) {
	return nil, s.cfg.Timing.AddressLifetime
}
