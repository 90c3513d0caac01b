package fleet

import (
	"context"
	"fmt"

	"sardinecross.example/lib/route"
)

// Stream names a stream of records in the platform's store.
type Stream uint8

// Streams of records in the store.
const (
	// Operators holds the configuration and the data centres taken out of service.
	Operators Stream = iota
	// Upstreams holds a record for each upstream.
	Upstreams
	// Hosts holds a record for each host that was started.
	Hosts
	// Statuses holds the states of the operators' orders.
	Statuses
)

// Record is a keyed record of a stream. A record without a value removes its key.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// OperatorChange is a change that operators made: a new configuration, an order, or a data centre taken out of service or put
// back.
type OperatorChange struct {
	// Order is the new order for a service, nil if the change concerns none. Its version is empty if the order was removed.
	Order *Order
	// Routes is the new configuration, nil if the change concerns an order or a data centre.
	Routes *route.Table
	// DataCentre is taken out of service if Out is set, else put back in service.
	DataCentre string
	Out        bool
}

// GapError reports that records from position From on were deleted and cannot be read any more.
type GapError struct{ From Position }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("records from position %v on were deleted from the store", e.From)
}

// Source reads and writes the platform's store and decodes its records.
type Source interface {
	// Read returns the records of a stream from a position on and the position after them. The error is an EraError if the store
	// answers in another era than that of the position, else a GapError if records at that position were deleted.
	Read(ctx context.Context, stream Stream, from Position) ([]Record, Position, error)
	// Newest returns the newest record of each key as of one position, and that position.
	Newest(ctx context.Context, stream Stream) ([]Record, Position, error)
	// Write appends a record to a stream.
	Write(ctx context.Context, stream Stream, r Record) error
	// HideKeys returns a record of the stream Operators with clients' keys replaced by their hashes. Read and Newest return
	// such records; hosts of earlier releases send others.
	HideKeys(r Record) Record
	// DecodeOperatorChange decodes a record of the stream Operators.
	DecodeOperatorChange(r Record) (OperatorChange, error)
	// DecodeUpstream decodes a record of the stream Upstreams.
	DecodeUpstream(r Record) (Upstream, error)
}
