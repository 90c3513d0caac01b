package mesh

import (
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
)

// maxDatagram is the size of the largest encoded message, in bytes.
const maxDatagram = 32 << 10

var (
	encoder = codec.Encoder()
	decoder = codec.Decoder(codec.Bounds{Elements: 4096, Depth: 8})
)

// Message is the content of one datagram between hosts. A datagram may be lost, duplicated or delayed.
type Message struct {
	// From is the name of the sending host.
	From string `cbor:"1,keyasint"`
	// Boot identifies the lifetime of the sending process. It is normally higher after each restart.
	Boot            int64                 `cbor:"2,keyasint"`
	Heartbeat       *Heartbeat            `cbor:"3,keyasint,omitempty"`
	AttemptRequest  *grant.AttemptRequest `cbor:"4,keyasint,omitempty"`
	SelectionReply  *SelectionReply       `cbor:"5,keyasint,omitempty"`
	AttemptEnd      *grant.AttemptEnd     `cbor:"6,keyasint,omitempty"`
	ListChanges     *ListChanges          `cbor:"7,keyasint,omitempty"`
	OperatorRecords *OperatorRecords      `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is the status that each host sends to the others at a fixed interval.
type Heartbeat struct {
	DataCentre string `cbor:"1,keyasint"`
	// CallerAddress is the address at which the host accepts callers.
	CallerAddress string `cbor:"2,keyasint"`
	Leaving       bool   `cbor:"3,keyasint,omitempty"`
	Ready         bool   `cbor:"4,keyasint,omitempty"`
	// OperatorsPosition and ListPosition are the positions up to which the sender knows the operators' records and the
	// list of upstreams.
	OperatorsPosition int64 `cbor:"5,keyasint,omitempty"`
	ListPosition      int64 `cbor:"7,keyasint,omitempty"`
	// Capacity is the number of messages and probes a second that the sender can handle for all hosts.
	Capacity int `cbor:"8,keyasint,omitempty"`
	// ColdUpstreams lists the upstreams that the sender found cold.
	ColdUpstreams []ColdUpstream `cbor:"6,keyasint,omitempty"`
}

// ColdUpstream is an upstream that was found cold and the time for which it stays cold.
type ColdUpstream struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Left     time.Duration
}

// SelectionReply is the answer of the owner of a service to the attempt request with the sequence number Seq.
type SelectionReply struct {
	Seq       uint64          `cbor:"1,keyasint"`
	Selection grant.Selection `cbor:"2,keyasint"`
}

// Span is the part of a stream between the positions From and To, read from the store.
type Span struct {
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	// Age is the time since the read that confirmed To was sent.
	Age time.Duration `cbor:"3,keyasint"`
}

// ListChanges holds the changes of the list of upstreams within a span.
type ListChanges struct {
	Span    Span           `cbor:"1,keyasint"`
	Changes []fleet.Change `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the sender's list at the end of the span; see fleet.List.Digest.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// OperatorRecords holds the operators' records within a span.
type OperatorRecords struct {
	Span    Span           `cbor:"1,keyasint"`
	Records []fleet.Record `cbor:"2,keyasint,omitempty"`
}
