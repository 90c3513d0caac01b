package mesh

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinecross.example/lib/canary"
	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
)

// maxDatagram is the size of the largest encoded message, in bytes.
const maxDatagram = 32 << 10

// bounds limits the arrays of a message.
var bounds = codec.Bounds{Elements: 4096, Depth: 8}

var (
	encoder         = codec.Encoder()
	decoder         = codec.Decoder(bounds)
	tolerantDecoder = codec.TolerantDecoder(bounds)
)

// Decode decodes and checks a message. newer is set if it has fields that this program does not know; they are ignored. The
// error is one of the decoder, or an InvalidMessageError.
func Decode(data []byte) (m *Message, newer bool, err error) {
	m = &Message{}
	err = decoder.Unmarshal(data, m)
	var unknown *cbor.UnknownFieldError
	if newer = errors.As(err, &unknown); newer {
		m = &Message{}
		err = tolerantDecoder.Unmarshal(data, m)
	}
	if err == nil {
		err = m.check()
	}
	if err != nil {
		return nil, newer, err
	}
	return m, newer, nil
}

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
	// Notices holds what upstreams said about further requests. Beside an AttemptEnd, the upstream said it to the sender;
	// else the sender repeats what it was told, and only Leaving counts.
	Notices []UpstreamNotice `cbor:"9,keyasint,omitempty"`
	Hello   *Hello           `cbor:"10,keyasint,omitempty"`
	Table   *Table           `cbor:"11,keyasint,omitempty"`
	Forward *Forward         `cbor:"12,keyasint,omitempty"`
	// Question and Answer confirm that a silent host is alive.
	Question *Question `cbor:"20,keyasint,omitempty"`
	Answer   *Answer   `cbor:"21,keyasint,omitempty"`
	// ProbeReports is sent to the owners of services.
	ProbeReports *ProbeReports `cbor:"22,keyasint,omitempty"`
	// Unheard is sent beside a Heartbeat to hosts that the sender does not hear, and names them. Hosts of earlier versions do not send
	// it.
	Unheard []string `cbor:"25,keyasint,omitempty"`
	// AllowanceRequest to AllowanceTransfer concern the allowances of organisations; see package quota.
	AllowanceRequest  *AllowanceRequest  `cbor:"14,keyasint,omitempty"`
	AllowanceReply    *AllowanceReply    `cbor:"15,keyasint,omitempty"`
	AllowanceReturn   *AllowanceReturn   `cbor:"16,keyasint,omitempty"`
	AllowanceTransfer *AllowanceTransfer `cbor:"17,keyasint,omitempty"`
	// Route is the name of the route of the request that AttemptRequest is for. Hosts of earlier versions do not send it.
	Route string `cbor:"13,keyasint,omitempty"`
	// RolloutState is what the owner of a service tells of its rollout, RolloutAck the answer of a host.
	RolloutState *RolloutState `cbor:"18,keyasint,omitempty"`
	RolloutAck   *RolloutAck   `cbor:"19,keyasint,omitempty"`
	// ExplainRequest and ExplainReply tell where a request would go; see grant.State.Explain.
	ExplainRequest *ExplainRequest `cbor:"23,keyasint,omitempty"`
	ExplainReply   *ExplainReply   `cbor:"24,keyasint,omitempty"`
}

// RolloutState is the stage of the rollout of a service at its owner.
type RolloutState struct {
	Service string       `cbor:"1,keyasint"`
	Version string       `cbor:"2,keyasint"`
	Stage   canary.Stage `cbor:"3,keyasint"`
	// Number numbers the states of the sender.
	Number uint64 `cbor:"4,keyasint"`
	// Elapsed is the time since the order was written, Over the time of the order.
	Elapsed time.Duration `cbor:"5,keyasint"`
	Over    time.Duration `cbor:"6,keyasint"`
}

// RolloutAck acknowledges a RolloutState of which the stage is moved or final.
type RolloutAck struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Number  uint64 `cbor:"3,keyasint"`
}

// UpstreamNotice is what an upstream said in its present lifetime about further requests.
type UpstreamNotice struct {
	_        struct{} `cbor:",toarray"`
	Lifetime fleet.Lifetime
	Notice   fleet.Notice
}

// Heartbeat is the status that each host sends to the others at a fixed interval.
type Heartbeat struct {
	DataCentre string `cbor:"1,keyasint"`
	// CallerAddress is the address at which the host accepts callers.
	CallerAddress string `cbor:"2,keyasint"`
	Leaving       bool   `cbor:"3,keyasint,omitempty"`
	// Ready is set once the host serves callers and, after its start, has heard the other hosts, so that it may own services.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// OperatorsPosition and ListPosition are the offsets of the positions up to which the sender knows the operators' records and
	// the list of upstreams.
	OperatorsPosition int64 `cbor:"5,keyasint,omitempty"`
	ListPosition      int64 `cbor:"7,keyasint,omitempty"`
	// Eras completes the positions. It is nil if the sender knows no era, and from hosts of earlier versions.
	Eras *StoreEras `cbor:"9,keyasint,omitempty"`
	// Capacity is the number of messages and probes a second that the sender can handle for all hosts.
	Capacity int `cbor:"8,keyasint,omitempty"`
	// ColdUpstreams lists the upstreams that the sender found cold.
	ColdUpstreams []ColdUpstream `cbor:"6,keyasint,omitempty"`
}

// StoreEras holds the eras of the positions of a heartbeat, and the positions before these eras; see fleet.Progress.
type StoreEras struct {
	_                               struct{} `cbor:",toarray"`
	Operators, List                 int64
	OperatorsPrevious, ListPrevious fleet.Position
	// Remembers is set if the sender knows what was removed lately.
	Remembers bool
}

// WithProgress returns the heartbeat with the progress of the sender in the operators' records and in the list of upstreams.
func (hb Heartbeat) WithProgress(operators, list fleet.Progress) Heartbeat {
	hb.OperatorsPosition, hb.ListPosition, hb.Eras = operators.Position.Offset, list.Position.Offset, nil
	if operators.Position.Era > 0 || list.Position.Era > 0 {
		hb.Eras = &StoreEras{
			Operators: operators.Position.Era, List: list.Position.Era, OperatorsPrevious: operators.Previous, ListPrevious: list.Previous,
		}
	}
	return hb
}

// WithMemory returns the heartbeat with whether the sender knows what was removed lately, if it knows an era.
func (hb Heartbeat) WithMemory(remembers bool) Heartbeat {
	if hb.Eras != nil {
		eras := *hb.Eras
		eras.Remembers = remembers
		hb.Eras = &eras
	}
	return hb
}

// Progress returns the progress of the sender in the operators' records and in the list of upstreams.
func (hb *Heartbeat) Progress() (operators, list fleet.Progress) {
	e := StoreEras{}
	if hb.Eras != nil {
		e = *hb.Eras
	}
	operators = fleet.Progress{Position: fleet.At(e.Operators, hb.OperatorsPosition), Previous: e.OperatorsPrevious}
	list = fleet.Progress{Position: fleet.At(e.List, hb.ListPosition), Previous: e.ListPrevious}
	return operators, list
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

// Span is the part of a stream between the offsets From and To of an era, read from the store.
type Span struct {
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	// Age is the time since the read that confirmed To was sent.
	Age time.Duration `cbor:"3,keyasint"`
	// Era is 0 if it is not known, and from hosts of earlier versions.
	Era int64 `cbor:"4,keyasint,omitempty"`
}

// NewSpan returns the span between two positions of an era.
func NewSpan(from, to fleet.Position, age time.Duration) Span {
	return Span{From: from.Offset, To: to.Offset, Age: age, Era: to.Era}
}

// Start returns the position at which the span begins.
func (s Span) Start() fleet.Position { return fleet.At(s.Era, s.From) }

// End returns the position at which the span ends.
func (s Span) End() fleet.Position { return fleet.At(s.Era, s.To) }

// ListChanges holds the changes of the list of upstreams within a span.
type ListChanges struct {
	Span    Span           `cbor:"1,keyasint"`
	Changes []fleet.Change `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the sender's list at the end of the span; see fleet.List.Digest.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Reads is the length of the series of successful reads that the sender knows of and that ends with the one of Span; see
	// fleet.Reads. Hosts of earlier versions do not send it.
	Reads time.Duration `cbor:"4,keyasint,omitempty"`
}

// OperatorRecords holds the operators' records within a span.
type OperatorRecords struct {
	Span    Span           `cbor:"1,keyasint"`
	Records []fleet.Record `cbor:"2,keyasint,omitempty"`
}
