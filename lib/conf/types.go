// Package conf decides the operators' configuration from the order of the log: proposals, versions, checkpoints and catch-up.
// It is pure: time is an argument.
package conf

import (
	"time"

	"sardinecross.example/lib/common/ident"
)

// NoVersion is the version of an item that does not exist and of a store that has decided nothing. Offsets start at 0.
const NoVersion int64 = -1

// FreshFor is the greatest age at which a configuration counts as fresh.
const FreshFor = 3 * time.Second

// Kind tells the kinds of items apart.
type Kind string

// Kinds of items.
const (
	KindClass      Kind = "class"
	KindDataCentre Kind = "dataCentre"
	KindUpstream   Kind = "upstream"
)

// Item names one unit of the configuration; its text form is kind/name.
type Item struct {
	Kind Kind
	Name string
}

// String returns the text form.
func (i Item) String() string { return string(i.Kind) + "/" + i.Name }

// ClassItem returns the item of a class.
func ClassItem(name ident.ClassName) Item { return Item{Kind: KindClass, Name: string(name)} }

// DataCentreItem returns the item of a data centre.
func DataCentreItem(name ident.DataCentre) Item {
	return Item{Kind: KindDataCentre, Name: string(name)}
}

// UpstreamItem returns the item of an upstream.
func UpstreamItem(id ident.UpstreamID) Item { return Item{Kind: KindUpstream, Name: string(id)} }

// Class is what operators publish about a class of work; it is immutable.
type Class struct {
	Service ident.ServiceName
	// Target is the time within which a request should be answered; it is at most Deadline.
	Target time.Duration
	// Deadline ends a request that brings none of its own.
	Deadline time.Duration
	// Idempotent allows retries and hedging.
	Idempotent bool
	// Rank orders classes under overload; 1 is served first.
	Rank int
}

// Value is the value of one item; for a class Class is set, otherwise Out.
type Value struct {
	Class Class
	// Out takes a data centre or upstream out of service.
	Out bool
}

// ProposalID names one proposal; it is chosen at random by the proposer and repeated with every repetition of the proposal.
type ProposalID string

// Proposal asks for a new value of an item.
type Proposal struct {
	ID   ProposalID
	Item Item
	// Base is the version of the item that the proposer saw, NoVersion if it saw none.
	Base  int64
	Value Value
}

// Result is how a proposal was decided.
type Result int

// Results of a proposal.
const (
	// Accepted means that the value is in force in every configuration from Version on.
	Accepted Result = iota + 1
	// Conflict means that the item had another version than Base.
	Conflict
	// Full means that the configuration holds as many items as it may.
	Full
)

// String returns the result in the form that status pages and tools print.
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

// Decision is the decision on one proposal.
type Decision struct {
	Result Result
	// Version is the offset of the record that was decided; for Accepted it is the item's new version.
	Version int64
	// Current is the item's version after the decision.
	Current int64
}

// Record is one record of the stream of the configuration.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch is one read of the stream of the configuration.
type Batch struct {
	// Records are in the order of their offsets, without gaps.
	Records []Record
	// First is the oldest retained offset, Next the offset of the next append.
	First, Next int64
	// SentAt is the time at which the read was sent; freshness counts from it.
	SentAt time.Duration
}

// Peer is what a heartbeat said about another host's configuration.
type Peer struct {
	Version    int64
	LogAnswers bool
}
