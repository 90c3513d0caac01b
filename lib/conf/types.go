// Package conf derives the operators' configuration from a log of proposals. Every host applies the records in log
// order, so hosts at the same version hold the same configuration. A host that lacks records which the log has deleted
// catches up from a checkpoint, which is a copy of the whole state at one version. The package does no I/O and reads no
// clock: times and random numbers are arguments.
package conf

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// NoVersion is the version of an item that does not exist and of a store that has applied no record. Offsets start at 0.
const NoVersion int64 = -1

// MaxFreshAge is the greatest age at which Store.Fresh reports a configuration as fresh.
const MaxFreshAge = 3 * time.Second

// Kind is the kind of thing that an Item configures.
type Kind string

// Kinds of items.
const (
	KindClass      Kind = "class"
	KindDataCentre Kind = "dataCentre"
	KindUpstream   Kind = "upstream"
)

// Item identifies one entry of the configuration; its text form is kind/name.
type Item struct {
	Kind Kind
	Name string
}

// String returns the item as kind/name.
func (i Item) String() string { return string(i.Kind) + "/" + i.Name }

// ClassItem returns the item of a class.
func ClassItem(name ident.ClassName) Item { return Item{Kind: KindClass, Name: string(name)} }

// DataCentreItem returns the item of a data centre.
func DataCentreItem(name ident.DataCentre) Item {
	return Item{Kind: KindDataCentre, Name: string(name)}
}

// UpstreamItem returns the item of an upstream.
func UpstreamItem(id ident.UpstreamID) Item { return Item{Kind: KindUpstream, Name: string(id)} }

// Class holds the settings that operators publish for a class of requests. A published Class is never modified.
type Class struct {
	Service ident.ServiceName
	// Target is the time within which a request should be answered. It is at most Deadline.
	Target time.Duration
	// Deadline is the time limit of a request that carries no deadline of its own.
	Deadline time.Duration
	// Idempotent allows retries and hedging.
	Idempotent bool
	// Rank orders classes under overload: 1 is served first.
	Rank int
}

// Value is the value of one item. Only Class applies to items of KindClass, and only Out to all others.
type Value struct {
	Class Class
	// Out is true if operators took the data centre or upstream out of service.
	Out bool
}

// ProposalID identifies one proposal. The proposer chooses it at random and sends the same ID when it retries the
// proposal, so that a proposal is decided only once.
type ProposalID string

// Proposal requests a new value for an item. It is accepted only if the item is still at version Base.
type Proposal struct {
	ID   ProposalID
	Item Item
	// Base is the version of the item that the proposer read, NoVersion if the item did not exist.
	Base  int64
	Value Value
}

// Result is the outcome of a proposal.
type Result int

// Results of a proposal.
const (
	// Accepted means that the value is in force in every host's configuration from Decision.Version on.
	Accepted Result = iota + 1
	// Conflict means that the item's version differed from Proposal.Base.
	Conflict
	// Full means that the configuration already holds MaxItems items and none can be removed.
	Full
)

// String returns the text that status pages and tools print.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Full:
		return "full"
	default:
		return "undecided"
	}
}

// Decision is the outcome of one proposal and the versions that resulted.
type Decision struct {
	Result Result
	// Version is the offset of the proposal's record. If the proposal was accepted, it is the item's new version.
	Version int64
	// Current is the item's version after the decision.
	Current int64
}

// Record is one record of the configuration's log stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is the result of one read of the configuration's log stream.
type Batch struct {
	// Records are ordered by offset, without gaps.
	Records []Record
	// First is the oldest offset that the log retains; Next is the offset that the next append will get.
	First, Next int64
	// SentAt is the time at which the read request was sent. The age of the configuration counts from it,
	// because the log read the records at an unknown later time.
	SentAt time.Duration
}

// PeerState is the state of another host's configuration, as its last heartbeat reported it.
type PeerState struct {
	Version int64
	// LogAnswers is true if the host's last read of the log succeeded.
	LogAnswers bool
}
