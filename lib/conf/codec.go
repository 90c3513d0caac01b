package conf

import (
	"fmt"
	"strings"
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/common/ident"
)

// Limits of a record. A checkpoint of MaxItems items with the longest names and MaxDecisions decisions is below 800 KiB.
const (
	// MaxRecordBytes is the size in bytes of the largest record or checkpoint that is decoded.
	MaxRecordBytes = 1 << 20
	// MaxItems is the maximum number of items of a configuration.
	MaxItems = 2048
	// MaxNameBytes bounds the length in bytes of item names, service names and proposal IDs.
	MaxNameBytes = 128
	// MaxDecisions is the number of decisions that a store keeps. A proposal that is retried after its decision was
	// deleted yields Conflict, because its base is older than the item's version, so deleting decisions cannot change
	// the configuration.
	MaxDecisions = 1024
	// maxDeadline and maxRank serve only to reject typing errors.
	maxDeadline = 10 * time.Minute
	maxRank     = 100
)

// wireRecord is one record of the log stream; exactly one field is set.
type wireRecord struct {
	Proposal   *wireProposal   `cbor:"proposal,omitempty"`
	Checkpoint *wireCheckpoint `cbor:"checkpoint,omitempty"`
}

type wireProposal struct {
	ID    string    `cbor:"proposalId"`
	Item  string    `cbor:"item"`
	Base  int64     `cbor:"base"`
	Value wireValue `cbor:"value"`
}

// wireValue holds either Class or Out, depending on the kind of the item.
type wireValue struct {
	Class *wireClass `cbor:"class,omitempty"`
	Out   *bool      `cbor:"out,omitempty"`
}

// wireClass is the encoded form of Class. Target and Deadline are in nanoseconds.
type wireClass struct {
	Service    string `cbor:"service"`
	Target     int64  `cbor:"target"`
	Deadline   int64  `cbor:"deadline"`
	Idempotent bool   `cbor:"idempotent"`
	Rank       int    `cbor:"rank"`
}

type wireCheckpoint struct {
	Version int64          `cbor:"version"`
	Items   []wireItem     `cbor:"items"`
	Decided []wireDecision `cbor:"decided"`
}

type wireItem struct {
	Item    string    `cbor:"item"`
	Version int64     `cbor:"version"`
	Value   wireValue `cbor:"value"`
}

type wireDecision struct {
	ID      string `cbor:"proposalId"`
	Result  int    `cbor:"result"`
	Version int64  `cbor:"version"`
	Current int64  `cbor:"current"`
}

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Elements: MaxItems, Depth: 8})
)

// NewProposal validates a proposal by the same rules that hosts apply when they decode it, and encodes it as a record.
// It fails with *InvalidError.
func NewProposal(p Proposal) ([]byte, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	return encode(wireRecord{Proposal: &wireProposal{
		ID:    string(p.ID),
		Item:  p.Item.String(),
		Base:  p.Base,
		Value: valueToWire(p.Item.Kind, p.Value),
	}})
}

func encode(r wireRecord) ([]byte, error) {
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, &RecordError{Problem: "encoding failed", Err: err}
	}
	return data, nil
}

// decode returns either a proposal or a checkpoint.
func decode(data []byte) (*Proposal, *checkpoint, error) {
	if len(data) > MaxRecordBytes {
		return nil, nil, &RecordError{Problem: fmt.Sprintf("%d bytes, the maximum is %d", len(data), MaxRecordBytes)}
	}
	var r wireRecord
	if err := decMode.Unmarshal(data, &r); err != nil {
		return nil, nil, &RecordError{Problem: "decoding failed", Err: err}
	}
	switch {
	case r.Proposal != nil && r.Checkpoint == nil:
		p, err := r.Proposal.proposal()
		return p, nil, err
	case r.Checkpoint != nil && r.Proposal == nil:
		c, err := r.Checkpoint.checkpoint()
		return nil, c, err
	default:
		return nil, nil, &RecordError{Problem: "neither a proposal nor a checkpoint"}
	}
}

// proposal validates the decoded proposal and converts it. It fails with *RecordError.
func (w *wireProposal) proposal() (*Proposal, error) {
	item, err := ParseItem(w.Item)
	if err != nil {
		return nil, &RecordError{Problem: "proposal for an invalid item", Err: err}
	}
	value, err := valueFromWire(item.Kind, w.Value)
	if err != nil {
		return nil, err
	}
	p := &Proposal{ID: ProposalID(w.ID), Item: item, Base: w.Base, Value: value}
	if err := p.check(); err != nil {
		return nil, &RecordError{Problem: "invalid proposal", Err: err}
	}
	return p, nil
}

func valueToWire(kind Kind, v Value) wireValue {
	if kind != KindClass {
		return wireValue{Out: &v.Out}
	}
	return wireValue{Class: &wireClass{
		Service:    string(v.Class.Service),
		Target:     int64(v.Class.Target),
		Deadline:   int64(v.Class.Deadline),
		Idempotent: v.Class.Idempotent,
		Rank:       v.Class.Rank,
	}}
}

func valueFromWire(kind Kind, w wireValue) (Value, error) {
	if (kind == KindClass) != (w.Class != nil) || (kind == KindClass) == (w.Out != nil) {
		return Value{}, &RecordError{Problem: fmt.Sprintf("value does not match the kind %q of its item", kind)}
	}
	if w.Out != nil {
		return Value{Out: *w.Out}, nil
	}
	return Value{Class: Class{
		Service:    ident.ServiceName(w.Class.Service),
		Target:     time.Duration(w.Class.Target),
		Deadline:   time.Duration(w.Class.Deadline),
		Idempotent: w.Class.Idempotent,
		Rank:       w.Class.Rank,
	}}, nil
}

// ParseItem parses an item of the form kind/name. It fails with *InvalidError.
func ParseItem(text string) (Item, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok {
		return Item{}, &InvalidError{Field: "item", Problem: "is not of the form kind/name"}
	}
	item := Item{Kind: Kind(kind), Name: name}
	if err := item.check(); err != nil {
		return Item{}, err
	}
	return item, nil
}

func (i Item) check() error {
	switch i.Kind {
	case KindClass, KindDataCentre, KindUpstream:
		return checkName("item", i.Name)
	default:
		return &InvalidError{Field: "item", Problem: "kind is not class, dataCentre or upstream"}
	}
}

func (p Proposal) check() error {
	if err := checkName("proposalId", string(p.ID)); err != nil {
		return err
	}
	if err := p.Item.check(); err != nil {
		return err
	}
	if p.Base < NoVersion {
		return &InvalidError{Field: "base", Problem: "is below -1"}
	}
	if p.Item.Kind == KindClass {
		return p.Value.Class.check()
	}
	return nil
}

func (c Class) check() error {
	if err := checkName("service", string(c.Service)); err != nil {
		return err
	}
	switch {
	case c.Target <= 0:
		return &InvalidError{Field: "target", Problem: "is not above zero"}
	case c.Deadline < c.Target:
		return &InvalidError{Field: "deadline", Problem: "is below the target"}
	case c.Deadline > maxDeadline:
		return &InvalidError{Field: "deadline", Problem: "is above " + maxDeadline.String()}
	case c.Rank < 1 || c.Rank > maxRank:
		return &InvalidError{Field: "rank", Problem: "is not between 1 and 100"}
	}
	return nil
}

// checkName accepts 1 to MaxNameBytes bytes of printable ASCII without spaces.
func checkName(field, name string) error {
	if name == "" {
		return &InvalidError{Field: field, Problem: "is empty"}
	}
	if len(name) > MaxNameBytes {
		return &InvalidError{Field: field, Problem: "is longer than 128 bytes"}
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return &InvalidError{Field: field, Problem: "contains a space or a character that is not printable ASCII"}
		}
	}
	return nil
}
