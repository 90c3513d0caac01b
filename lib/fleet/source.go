package fleet

import (
	"context"
	"fmt"

	"sardinecross.example/lib/route"
)

// Stream names a stream of records in the platform's store.
type Stream uint8

// Streams of the store.
const (
	// Operators holds the configuration and the data centres taken out of service.
	Operators Stream = iota
	// Upstreams holds an entry for each upstream.
	Upstreams
	// Hosts holds an entry for each host that started.
	Hosts
)

// Record is a record of a stream; a record without a value removes its key.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// Order is one decision of the operators.
type Order struct {
	// Routes is a new configuration, nil if the order concerns a data centre.
	Routes *route.Table
	// DataCentre is taken out of service if Out is set, else back in service.
	DataCentre string
	Out        bool
}

// GapError reports that the records after a position were deleted.
type GapError struct{ From int64 }

// Error implements error.
func (e *GapError) Error() string { return fmt.Sprintf("records from %d on were deleted", e.From) }

// Source is the platform's store and the meaning of its records.
type Source interface {
	// Read returns the records from a position on and the position after them, or a GapError.
	Read(ctx context.Context, stream Stream, from int64) ([]Record, int64, error)
	// Newest returns the newest record of each key and the position up to which they are complete.
	Newest(ctx context.Context, stream Stream) ([]Record, int64, error)
	// Write appends a record.
	Write(ctx context.Context, stream Stream, r Record) error
	// DecodeOrder decodes a record of Operators, Upstream one of Upstreams.
	DecodeOrder(r Record) (Order, error)
	DecodeUpstream(r Record) (Upstream, error)
}
