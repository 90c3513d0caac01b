package mesh

import (
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
)

// maxDatagram is the largest message in bytes.
const maxDatagram = 32 << 10

var (
	encoder = codec.Encoder()
	decoder = codec.Decoder(codec.Bounds{Elements: 4096, Depth: 8})
)

// Message is one datagram between hosts. Any of them may be lost, doubled or late.
type Message struct {
	From string `cbor:"1,keyasint"`
	// Boot numbers the lifetimes of the sending host.
	Boot    int64                 `cbor:"2,keyasint"`
	Beat    *Beat                 `cbor:"3,keyasint,omitempty"`
	Ask     *grant.AttemptRequest `cbor:"4,keyasint,omitempty"`
	Verdict *Verdict              `cbor:"5,keyasint,omitempty"`
	Done    *grant.AttemptEnd     `cbor:"6,keyasint,omitempty"`
	List    *ListChanges          `cbor:"7,keyasint,omitempty"`
	Orders  *Orders               `cbor:"8,keyasint,omitempty"`
}

// Beat is a host's regular sign of life.
type Beat struct {
	DataCentre string `cbor:"1,keyasint"`
	// Callers is the address for callers.
	Callers string `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	Ready   bool   `cbor:"4,keyasint,omitempty"`
	// Operators and List are the positions up to which the sender knows the operators' records and the list of upstreams.
	Operators int64 `cbor:"5,keyasint,omitempty"`
	List      int64 `cbor:"7,keyasint,omitempty"`
	// Cold are upstreams that the sender found cold, with the time that is left.
	Cold []Cold `cbor:"6,keyasint,omitempty"`
}

// Cold is an upstream that was found cold.
type Cold struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Left     time.Duration
}

// Verdict answers an ask.
type Verdict struct {
	Seq     uint64          `cbor:"1,keyasint"`
	Verdict grant.Selection `cbor:"2,keyasint"`
}

// Span is a part of a stream of the store that a host has read.
type Span struct {
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	// Age is the time since the read that confirmed To was sent.
	Age time.Duration `cbor:"3,keyasint"`
}

// ListChanges are the changes of the list of upstreams within a span.
type ListChanges struct {
	Span    Span           `cbor:"1,keyasint"`
	Changes []fleet.Change `cbor:"2,keyasint,omitempty"`
}

// Orders are the operators' records within a span.
type Orders struct {
	Span    Span           `cbor:"1,keyasint"`
	Records []fleet.Record `cbor:"2,keyasint,omitempty"`
}
