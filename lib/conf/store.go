package conf

import "time"

// Store decides the configuration of one host. It is not safe for concurrent use.
type Store struct{}

// NewStore returns a store that has decided nothing.
func NewStore() *Store { return &Store{} }

// View returns the configuration in force.
func (s *Store) View() View { return View{} }

// Version returns the offset of the last record that was decided; it never decreases.
func (s *Store) Version() int64 { return NoVersion }

// Next returns the offset from which to read the stream next.
func (s *Store) Next() int64 { return 0 }

// Apply decides the records of a read in offset order and reports whether the view changed. Records below Next are ignored;
// a gap that retention tore is closed only by a checkpoint.
func (s *Store) Apply(now time.Duration, b Batch) bool { return false }

// ApplyCheckpoint takes over another host's checkpoint if it is newer, and reports whether the view changed.
func (s *Store) ApplyCheckpoint(now time.Duration, data []byte) (bool, error) { return false, nil }

// Checkpoint encodes the state of the store for other hosts and for the log.
func (s *Store) Checkpoint() []byte { return nil }

// CheckpointDue reports whether this host should append Checkpoint to the log, given the first and next offset of its last read and
// the log's retention. A random number spreads the hosts, so that usually one of them appends.
func (s *Store) CheckpointDue(now time.Duration, rnd uint64, first, next int64, retention time.Duration) bool {
	return false
}

// Lost reports that the log's retained part neither continues this store nor contains a usable checkpoint, as of the last read.
// Only another host's checkpoint helps.
func (s *Store) Lost() bool { return false }

// Decision returns the decision on a proposal while it is remembered.
func (s *Store) Decision(id ProposalID) (Decision, bool) { return Decision{}, false }

// Age returns the time since this host knew its configuration to be current; negative means never.
func (s *Store) Age(now time.Duration) time.Duration { return -1 }

// Adopt takes over the age that another host's heartbeat reported with its version. EchoSentAt is the time at which this host sent the
// heartbeat that the other one echoed.
func (s *Store) Adopt(version int64, age, echoSentAt time.Duration) {}

// Fresh reports whether the age is at most FreshFor.
func (s *Store) Fresh(now time.Duration) bool { return false }

// MayServe reports whether this host may accept new work: it is fresh, or it reaches a majority of the listed hosts (itself included)
// and none of those has a newer version or a log that answers.
func (s *Store) MayServe(now time.Duration, listed int, reached []Peer) bool { return false }
