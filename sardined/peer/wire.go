package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
)

const (
	// wireVersion increases with every change of the message format that older hosts cannot read. A new field is not
	// such a change.
	wireVersion = 1
	// maxMessageBytes bounds an encoded message. The largest message carries the whole configuration.
	maxMessageBytes = 1 << 20
	// lengthBytes is the size of the big-endian length at the start of each frame.
	lengthBytes = 4
	// maxElements bounds the lists and maps within a message. A list has at most one element for each upstream.
	maxElements = 16384
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// wireHello is the first frame of a message stream; it identifies the format and the incarnation of the sender.
type wireHello struct {
	Version     int               `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// wireMessage has exactly one field set. Its CBOR keys are small integers to save bytes, since heartbeats make up most of
// the traffic between hosts.
type wireMessage struct {
	Heartbeat      *wireHeartbeat      `cbor:"1,keyasint,omitempty"`
	SlotRequest    *wireSlotRequest    `cbor:"2,keyasint,omitempty"`
	SlotGrant      *wireSlotGrant      `cbor:"3,keyasint,omitempty"`
	Handoff        *wireHandoff        `cbor:"4,keyasint,omitempty"`
	ConfRequest    *wireConfRequest    `cbor:"5,keyasint,omitempty"`
	ConfCheckpoint *wireConfCheckpoint `cbor:"6,keyasint,omitempty"`
}

// wireHeartbeat is the encoding of member.Heartbeat.
type wireHeartbeat struct {
	Seq         uint64            `cbor:"1,keyasint"`
	Echo        uint64            `cbor:"2,keyasint"`
	To          ident.Incarnation `cbor:"3,keyasint,omitempty"`
	DataCentre  ident.DataCentre  `cbor:"4,keyasint"`
	Leaving     bool              `cbor:"5,keyasint,omitempty"`
	ConfVersion int64             `cbor:"6,keyasint"`
	ConfAge     time.Duration     `cbor:"7,keyasint"`
	LogAnswers  bool              `cbor:"8,keyasint,omitempty"`
	Pledges     []wirePledge      `cbor:"9,keyasint,omitempty"`
	// ListAge and LeavingUpstreams describe the host list as the sender last read it.
	ListAge          time.Duration      `cbor:"10,keyasint"`
	LeavingUpstreams []ident.UpstreamID `cbor:"11,keyasint,omitempty"`
}

// wirePledge is the encoding of member.Pledge.
type wirePledge struct {
	Upstream ident.UpstreamID  `cbor:"1,keyasint"`
	Previous ident.Incarnation `cbor:"2,keyasint,omitempty"`
	Handoff  uint64            `cbor:"3,keyasint,omitempty"`
	Wait     time.Duration     `cbor:"4,keyasint,omitempty"`
}

// wireSlotRequest is the encoding of lease.SlotRequest.
type wireSlotRequest struct {
	Owner     ident.Incarnation `cbor:"1,keyasint"`
	Seq       uint64            `cbor:"2,keyasint"`
	SentAt    time.Duration     `cbor:"3,keyasint"`
	Upstreams []wireDemand      `cbor:"4,keyasint"`
}

// wireDemand is the encoding of lease.Demand; the last four fields are those of its Report.
type wireDemand struct {
	Upstream  ident.UpstreamID `cbor:"1,keyasint"`
	Epoch     uint64           `cbor:"2,keyasint,omitempty"`
	Want      int              `cbor:"3,keyasint,omitempty"`
	Held      int              `cbor:"4,keyasint,omitempty"`
	Seen      uint64           `cbor:"5,keyasint,omitempty"`
	Conns     int              `cbor:"6,keyasint,omitempty"`
	Completed uint64           `cbor:"7,keyasint,omitempty"`
	NewConns  uint64           `cbor:"8,keyasint,omitempty"`
	Signals   uint64           `cbor:"9,keyasint,omitempty"`
	Draining  bool             `cbor:"10,keyasint,omitempty"`
}

// wireSlotGrant is the encoding of lease.SlotGrant.
type wireSlotGrant struct {
	Holder    ident.Incarnation `cbor:"1,keyasint"`
	Seq       uint64            `cbor:"2,keyasint"`
	Upstreams []wireAllowance   `cbor:"3,keyasint"`
}

// wireAllowance is the encoding of lease.Allowance.
type wireAllowance struct {
	Upstream ident.UpstreamID `cbor:"1,keyasint"`
	Epoch    uint64           `cbor:"2,keyasint,omitempty"`
	SentAt   time.Duration    `cbor:"3,keyasint,omitempty"`
	Total    uint64           `cbor:"4,keyasint,omitempty"`
	Keep     int              `cbor:"5,keyasint,omitempty"`
	Void     bool             `cbor:"6,keyasint,omitempty"`
}

// wireHandoff is the encoding of lease.Handoff.
type wireHandoff struct {
	HeartbeatSeq uint64         `cbor:"1,keyasint"`
	Upstreams    []wireTransfer `cbor:"2,keyasint"`
}

// wireTransfer is the encoding of lease.Transfer.
type wireTransfer struct {
	Upstream    ident.UpstreamID  `cbor:"1,keyasint"`
	Seq         uint64            `cbor:"2,keyasint,omitempty"`
	Limit       int               `cbor:"3,keyasint,omitempty"`
	Budget      time.Duration     `cbor:"4,keyasint,omitempty"`
	Wait        time.Duration     `cbor:"5,keyasint,omitempty"`
	Outstanding []wireOutstanding `cbor:"6,keyasint,omitempty"`
}

// wireOutstanding is the encoding of lease.Outstanding.
type wireOutstanding struct {
	Host        ident.HostID      `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Epoch       uint64            `cbor:"3,keyasint,omitempty"`
	Slots       int               `cbor:"4,keyasint,omitempty"`
	For         time.Duration     `cbor:"5,keyasint,omitempty"`
}

// wireConfRequest is the encoding of core.ConfRequest.
type wireConfRequest struct {
	Version int64 `cbor:"1,keyasint"`
}

// wireConfCheckpoint is the encoding of core.ConfCheckpoint.
type wireConfCheckpoint struct {
	Version    int64  `cbor:"1,keyasint"`
	Checkpoint []byte `cbor:"2,keyasint"`
}

// encodeMessage appends the frame of a message, its length and its encoding, to buf.
func encodeMessage(buf []byte, m core.Message) ([]byte, error) {
	body, err := encMode.Marshal(toWire(m))
	if err != nil {
		return buf, &MessageError{Err: err}
	}
	if len(body) > maxMessageBytes {
		return buf, &SizeError{Size: len(body), Limit: maxMessageBytes}
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	return append(buf, body...), nil
}

// decodeMessage decodes and validates a message.
func decodeMessage(body []byte) (core.Message, error) {
	var w wireMessage
	if err := decMode.Unmarshal(body, &w); err != nil {
		return core.Message{}, &MessageError{Err: err}
	}
	if err := w.validate(); err != nil {
		return core.Message{}, &MessageError{Err: err}
	}
	return fromWire(w), nil
}

// writeFrame encodes a value and writes it with its length. The encoding must not exceed limit bytes.
func writeFrame(w io.Writer, v any, limit int) error {
	body, err := encMode.Marshal(v)
	if err != nil {
		return &MessageError{Err: err}
	}
	if len(body) > limit {
		return &SizeError{Size: len(body), Limit: limit}
	}
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), uint32(len(body)))
	_, err = w.Write(append(buf, body...))
	return err
}

// readFrame reads a length of at most limit and then as many bytes. It returns the bytes in buf if buf is large enough,
// or else in a new slice.
func readFrame(r io.Reader, buf []byte, limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > limit {
		return nil, &SizeError{Size: n, Limit: limit}
	}
	if cap(buf) < n {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	_, err := io.ReadFull(r, buf)
	return buf, err
}

// validate returns an error for a message that no correct host sends.
func (w wireMessage) validate() error {
	n := 0
	for _, set := range []bool{
		w.Heartbeat != nil, w.SlotRequest != nil, w.SlotGrant != nil,
		w.Handoff != nil, w.ConfRequest != nil, w.ConfCheckpoint != nil,
	} {
		if set {
			n++
		}
	}
	if n != 1 {
		return &ExclusiveFieldsError{Count: n}
	}
	switch {
	case w.Heartbeat != nil:
		return w.Heartbeat.validate()
	case w.SlotRequest != nil:
		return w.SlotRequest.validate()
	case w.SlotGrant != nil:
		return w.SlotGrant.validate()
	case w.Handoff != nil:
		return w.Handoff.validate()
	case w.ConfRequest != nil:
		return validateVersion(w.ConfRequest.Version)
	}
	return validateVersion(w.ConfCheckpoint.Version)
}

// validateVersion rejects negative versions except conf.NoVersion, which hosts send until they have read the log.
func validateVersion(v int64) error {
	if v < conf.NoVersion {
		return &RangeError{Field: "version", Value: v}
	}
	return nil
}

func (w *wireHeartbeat) validate() error {
	for _, p := range w.Pledges {
		if err := requireNonNegative("wait", p.Wait); err != nil {
			return err
		}
	}
	return validateVersion(w.ConfVersion)
}

func (w *wireSlotRequest) validate() error {
	for _, d := range w.Upstreams {
		if err := requireNonNegative("demand", d.Want, d.Held, d.Conns); err != nil {
			return err
		}
	}
	return nil
}

func (w *wireSlotGrant) validate() error {
	for _, a := range w.Upstreams {
		if err := requireNonNegative("keep", a.Keep); err != nil {
			return err
		}
	}
	return nil
}

func (w *wireHandoff) validate() error {
	for _, t := range w.Upstreams {
		if err := errors.Join(requireNonNegative("limit", t.Limit), requireNonNegative("wait", t.Wait)); err != nil {
			return err
		}
		for _, o := range t.Outstanding {
			if err := errors.Join(requireNonNegative("slots", o.Slots), requireNonNegative("for", o.For)); err != nil {
				return err
			}
		}
	}
	return nil
}

// requireNonNegative returns an error that names field if one of the values is negative.
func requireNonNegative[T int | int64 | time.Duration](field string, values ...T) error {
	for _, v := range values {
		if v < 0 {
			return &RangeError{Field: field, Value: int64(v)}
		}
	}
	return nil
}

func toWire(m core.Message) wireMessage {
	var w wireMessage
	switch {
	case m.Heartbeat != nil:
		w.Heartbeat = toWireHeartbeat(m.Heartbeat)
	case m.SlotRequest != nil:
		w.SlotRequest = &wireSlotRequest{
			Owner:     m.SlotRequest.Owner,
			Seq:       m.SlotRequest.Seq,
			SentAt:    m.SlotRequest.SentAt,
			Upstreams: convertAll(m.SlotRequest.Upstreams, toWireDemand),
		}
	case m.SlotGrant != nil:
		w.SlotGrant = &wireSlotGrant{
			Holder:    m.SlotGrant.Holder,
			Seq:       m.SlotGrant.Seq,
			Upstreams: convertAll(m.SlotGrant.Upstreams, func(a lease.Allowance) wireAllowance { return wireAllowance(a) }),
		}
	case m.Handoff != nil:
		w.Handoff = &wireHandoff{HeartbeatSeq: m.Handoff.HeartbeatSeq, Upstreams: convertAll(m.Handoff.Upstreams, toWireTransfer)}
	case m.ConfRequest != nil:
		w.ConfRequest = &wireConfRequest{Version: m.ConfRequest.Version}
	case m.ConfCheckpoint != nil:
		w.ConfCheckpoint = &wireConfCheckpoint{Version: m.ConfCheckpoint.Version, Checkpoint: m.ConfCheckpoint.Checkpoint}
	}
	return w
}

func fromWire(w wireMessage) core.Message {
	var m core.Message
	switch {
	case w.Heartbeat != nil:
		m.Heartbeat = fromWireHeartbeat(w.Heartbeat)
	case w.SlotRequest != nil:
		m.SlotRequest = &lease.SlotRequest{
			Owner:     w.SlotRequest.Owner,
			Seq:       w.SlotRequest.Seq,
			SentAt:    w.SlotRequest.SentAt,
			Upstreams: convertAll(w.SlotRequest.Upstreams, fromWireDemand),
		}
	case w.SlotGrant != nil:
		m.SlotGrant = &lease.SlotGrant{
			Holder:    w.SlotGrant.Holder,
			Seq:       w.SlotGrant.Seq,
			Upstreams: convertAll(w.SlotGrant.Upstreams, func(a wireAllowance) lease.Allowance { return lease.Allowance(a) }),
		}
	case w.Handoff != nil:
		m.Handoff = &lease.Handoff{HeartbeatSeq: w.Handoff.HeartbeatSeq, Upstreams: convertAll(w.Handoff.Upstreams, fromWireTransfer)}
	case w.ConfRequest != nil:
		m.ConfRequest = &core.ConfRequest{Version: w.ConfRequest.Version}
	case w.ConfCheckpoint != nil:
		m.ConfCheckpoint = &core.ConfCheckpoint{Version: w.ConfCheckpoint.Version, Checkpoint: w.ConfCheckpoint.Checkpoint}
	}
	return m
}

func toWireHeartbeat(h *member.Heartbeat) *wireHeartbeat {
	return &wireHeartbeat{
		Seq:         h.Seq,
		Echo:        h.Echo,
		To:          h.To,
		DataCentre:  h.DataCentre,
		Leaving:     h.Leaving,
		ConfVersion: h.ConfVersion,
		ConfAge:     h.ConfAge,
		LogAnswers:  h.LogAnswers,
		Pledges:     convertAll(h.Pledges, func(p member.Pledge) wirePledge { return wirePledge(p) }),

		ListAge:          h.ListAge,
		LeavingUpstreams: h.LeavingUpstreams,
	}
}

func fromWireHeartbeat(w *wireHeartbeat) *member.Heartbeat {
	return &member.Heartbeat{
		Seq:         w.Seq,
		Echo:        w.Echo,
		To:          w.To,
		DataCentre:  w.DataCentre,
		Leaving:     w.Leaving,
		ConfVersion: w.ConfVersion,
		ConfAge:     w.ConfAge,
		LogAnswers:  w.LogAnswers,
		Pledges:     convertAll(w.Pledges, func(p wirePledge) member.Pledge { return member.Pledge(p) }),

		ListAge:          w.ListAge,
		LeavingUpstreams: convertAll(w.LeavingUpstreams, func(id ident.UpstreamID) ident.UpstreamID { return id }),
	}
}

func toWireDemand(d lease.Demand) wireDemand {
	return wireDemand{
		Upstream:  d.Upstream,
		Epoch:     d.Epoch,
		Want:      d.Want,
		Held:      d.Held,
		Seen:      d.Seen,
		Conns:     d.Conns,
		Completed: d.Report.Completed,
		NewConns:  d.Report.NewConns,
		Signals:   d.Report.Signals,
		Draining:  d.Report.Draining,
	}
}

func fromWireDemand(w wireDemand) lease.Demand {
	return lease.Demand{
		Upstream: w.Upstream,
		Epoch:    w.Epoch,
		Want:     w.Want,
		Held:     w.Held,
		Seen:     w.Seen,
		Conns:    w.Conns,
		Report: lease.Report{
			Completed: w.Completed,
			NewConns:  w.NewConns,
			Signals:   w.Signals,
			Draining:  w.Draining,
		},
	}
}

func toWireTransfer(t lease.Transfer) wireTransfer {
	return wireTransfer{
		Upstream:    t.Upstream,
		Seq:         t.Seq,
		Limit:       t.Limit,
		Budget:      t.Budget,
		Wait:        t.Wait,
		Outstanding: convertAll(t.Outstanding, func(o lease.Outstanding) wireOutstanding { return wireOutstanding(o) }),
	}
}

func fromWireTransfer(w wireTransfer) lease.Transfer {
	return lease.Transfer{
		Upstream:    w.Upstream,
		Seq:         w.Seq,
		Limit:       w.Limit,
		Budget:      w.Budget,
		Wait:        w.Wait,
		Outstanding: convertAll(w.Outstanding, func(o wireOutstanding) lease.Outstanding { return lease.Outstanding(o) }),
	}
}

// convertAll applies f to each element of a list. It returns nil for an empty list, which an encoded message may hold or leave out.
func convertAll[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}

// MessageError reports a message that cannot be encoded or decoded.
type MessageError struct{ Err error }

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("invalid message between hosts: %v", e.Err) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// SizeError reports a message or a body above its size limit, in bytes.
type SizeError struct{ Size, Limit int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// ExclusiveFieldsError reports a message in which the wrong number of mutually exclusive fields is set.
type ExclusiveFieldsError struct{ Count int }

// Error implements error.
func (e *ExclusiveFieldsError) Error() string {
	return fmt.Sprintf("%d mutually exclusive fields are set, want one", e.Count)
}

// RangeError reports a field whose number no correct host sends.
type RangeError struct {
	Field string
	Value int64
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("field %s has the invalid value %d", e.Field, e.Value)
}
