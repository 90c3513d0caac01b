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
	Boot    int64        `cbor:"2,keyasint"`
	Beat    *Beat        `cbor:"3,keyasint,omitempty"`
	Ask     *grant.Ask   `cbor:"4,keyasint,omitempty"`
	Verdict *Verdict     `cbor:"5,keyasint,omitempty"`
	Done    *grant.Done  `cbor:"6,keyasint,omitempty"`
	List    *ListChanges `cbor:"7,keyasint,omitempty"`
}

// Beat is a host's regular sign of life.
type Beat struct {
	DataCentre string `cbor:"1,keyasint"`
	// Callers is the address for callers.
	Callers string `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	Ready   bool   `cbor:"4,keyasint,omitempty"`
	// Operators is the position up to which the sender knows the operators' records.
	Operators int64 `cbor:"5,keyasint,omitempty"`
	// Cold are upstreams that the sender found cold, with the time that is left.
	Cold map[string]time.Duration `cbor:"6,keyasint,omitempty"`
}

// Verdict answers an ask.
type Verdict struct {
	Seq     uint64        `cbor:"1,keyasint"`
	Verdict grant.Verdict `cbor:"2,keyasint"`
}

// ListChanges are the changes of the list of upstreams between two positions.
type ListChanges struct {
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	// Age is the time since the read that confirmed To was sent.
	Age     time.Duration  `cbor:"3,keyasint"`
	Changes []fleet.Change `cbor:"4,keyasint,omitempty"`
}
