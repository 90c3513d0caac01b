package peer

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
	"sardinecross.example/sardined/runner"
)

// messages returns one message of each kind with every field set.
func messages() []core.Message {
	return []core.Message{
		{Heartbeat: &member.Heartbeat{
			Seq: 1, Echo: 2, To: 3, DataCentre: "passau", Leaving: true, ConfVersion: 4, ConfAge: -time.Second, LogAnswers: true,
			ListAge: 8, LeavingUpstreams: []ident.UpstreamID{"u2"},
			Pledges: []member.Pledge{{Upstream: "u1", Previous: 5, Handoff: 6, Wait: 7}},
		}},
		{SlotRequest: &lease.SlotRequest{Owner: 1, Seq: 2, SentAt: 3, Upstreams: []lease.Demand{{
			Upstream: "u1", Epoch: 1, Want: 2, Held: 3, Seen: 4, Conns: 5,
			Report: lease.Report{Completed: 6, NewConns: 7, Signals: 8, Draining: true},
		}}}},
		{SlotGrant: &lease.SlotGrant{Holder: 1, Seq: 2, Upstreams: []lease.Allowance{{
			Upstream: "u1", Epoch: 1, SentAt: 2, Total: 3, Keep: 4, Void: true,
		}}}},
		{Handoff: &lease.Handoff{HeartbeatSeq: 1, Upstreams: []lease.Transfer{{
			Upstream: "u1", Seq: 1, Limit: 2, Budget: -3, Wait: 4,
			Outstanding: []lease.Outstanding{{Host: "h1", Incarnation: 1, Epoch: 2, Slots: 3, For: time.Second}},
		}}}},
		{ConfRequest: &core.ConfRequest{Version: 1}},
		{ConfCheckpoint: &core.ConfCheckpoint{Version: 1, Checkpoint: []byte("c")}},
	}
}

// A field that the conversion to or from the wire format omits is lost between hosts without an error.
func TestMessageRoundTrip(t *testing.T) {
	for _, m := range messages() {
		buf, err := encodeMessage(nil, m)
		assertNoError(t, err)
		body, err := readFrame(bytes.NewReader(buf), nil, maxMessageBytes)
		assertNoError(t, err)
		got, err := decodeMessage(body)
		assertNoError(t, err)
		if !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v, want %+v", got, m)
		}
		assertAllFieldsSet(t, reflect.ValueOf(m))
	}
}

// assertAllFieldsSet fails if a field of the message is zero, so that messages must be extended for each new field.
func assertAllFieldsSet(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			assertAllFieldsSet(t, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			assertAllFieldsSet(t, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); f.IsZero() && f.Kind() != reflect.Pointer {
				t.Errorf("%s.%s is not set", v.Type(), v.Type().Field(i).Name)
			}
			assertAllFieldsSet(t, v.Field(i))
		}
	}
}

// A host that has not read the log yet sends conf.NoVersion. If its heartbeats were rejected, it could not become a member
// for as long as the log is down.
func TestHeartbeatWithoutVersion(t *testing.T) {
	buf, err := encodeMessage(nil, core.Message{Heartbeat: &member.Heartbeat{Seq: 1, ConfVersion: conf.NoVersion}})
	assertNoError(t, err)
	if _, err := decodeMessage(buf[lengthBytes:]); err != nil {
		t.Error(err)
	}
}

// Messages that no correct host sends must be rejected before they reach the reducer.
func TestInvalidMessagesAreRejected(t *testing.T) {
	for name, w := range map[string]any{
		"no kind":                     wireMessage{},
		"two kinds":                   wireMessage{ConfRequest: &wireConfRequest{}, ConfCheckpoint: &wireConfCheckpoint{}},
		"unknown kind":                map[int]int{99: 1},
		"negative version":            wireMessage{Heartbeat: &wireHeartbeat{ConfVersion: -2}},
		"negative held":               wireMessage{SlotRequest: &wireSlotRequest{Upstreams: []wireDemand{{Held: -1}}}},
		"negative slots":              wireMessage{SlotGrant: &wireSlotGrant{Upstreams: []wireAllowance{{Keep: -1}}}},
		"negative handoff":            wireMessage{Handoff: &wireHandoff{Upstreams: []wireTransfer{{Outstanding: []wireOutstanding{{For: -1}}}}}},
		"negative checkpoint version": wireMessage{ConfCheckpoint: &wireConfCheckpoint{Version: -2}},
		"another type":                "text",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := encMode.Marshal(w)
			assertNoError(t, err)
			_, err = decodeMessage(body)
			var me *MessageError
			if !errors.As(err, &me) {
				t.Errorf("error %v", err)
			}
		})
	}
	t.Run("truncated message", func(t *testing.T) {
		for _, m := range messages() {
			buf, err := encodeMessage(nil, m)
			assertNoError(t, err)
			for n := lengthBytes; n < len(buf); n++ {
				if _, err := decodeMessage(buf[lengthBytes:n]); err == nil {
					t.Fatalf("%d bytes of %d accepted", n, len(buf))
				}
			}
		}
	})
}

// emptyLists returns messages that hold empty lists, which this program leaves out.
func emptyLists() []wireMessage {
	return []wireMessage{
		{SlotRequest: &wireSlotRequest{Upstreams: []wireDemand{}}},
		{SlotGrant: &wireSlotGrant{Upstreams: []wireAllowance{}}},
		{Handoff: &wireHandoff{Upstreams: []wireTransfer{}}},
	}
}

// emptyHeartbeatLists is the body of a heartbeat whose lists of pledges and of leaving upstreams are present and empty.
var emptyHeartbeatLists = []byte{0xa1, 0x01, 0xa8, 1, 1, 2, 1, 4, 0x61, 'z', 6, 0, 7, 0, 9, 0x80, 10, 0, 11, 0x80}

// Guards against an empty list that counts as another message than one without the list.
func TestEmptyListsSurviveARoundTrip(t *testing.T) {
	bodies := [][]byte{emptyHeartbeatLists}
	for _, w := range emptyLists() {
		body, err := encMode.Marshal(w)
		assertNoError(t, err)
		bodies = append(bodies, body)
	}
	for _, body := range bodies {
		m, err := decodeMessage(body)
		assertNoError(t, err)
		assertSurvivesRoundTrip(t, m)
	}
}

// assertSurvivesRoundTrip checks that a message is the same after it was encoded and decoded.
func assertSurvivesRoundTrip(t *testing.T, m core.Message) {
	t.Helper()
	buf, err := encodeMessage(nil, m)
	assertNoError(t, err)
	again, err := decodeMessage(buf[lengthBytes:])
	if err != nil || !reflect.DeepEqual(toWire(again), toWire(m)) {
		t.Errorf("%+v became %+v, error %v", m, again, err)
	}
}

// decodeMessage must not panic on any input, and an accepted message must survive a second round trip.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(emptyHeartbeatLists)
	for _, m := range messages() {
		buf, err := encodeMessage(nil, m)
		assertNoError(f, err)
		f.Add(buf[lengthBytes:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := decodeMessage(body)
		if err != nil {
			return
		}
		assertSurvivesRoundTrip(t, m)
	})
}

// An accepted request head must respect the limit of the body and have a positive timeout.
func FuzzDecodeRequestHead(f *testing.F) {
	body, err := encMode.Marshal(wireRequest{Class: "orders", Timeout: time.Second, Method: "POST", Path: "/", BodyLength: 3})
	assertNoError(f, err)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		head, err := decodeRequestHead(body, 100)
		if err != nil {
			return
		}
		if req := head.toRequest(); len(req.Body) > 100 || req.Timeout <= 0 || !req.Relayed {
			t.Errorf("accepted %+v", head)
		}
	})
}

// receiveAnswer must report the head as passed on exactly if the sink received one, and accept only final statuses. The
// runner relies on this report to write one answer, not two or none.
func FuzzReceiveAnswer(f *testing.F) {
	var whole bytes.Buffer
	assertNoError(f, writeFrame(&whole, wireAnswer{Status: 200, Length: 1}, maxAnswerHeadBytes))
	whole.Write([]byte{0, 0, 0, 1, 'x', 0, 0, 0, 0})
	f.Add(whole.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		sink := &recorder{}
		headSent, err := receiveAnswer(bytes.NewReader(data), sink)
		if headSent != (sink.status != 0) || err == nil && sink.status < 200 {
			t.Errorf("head sent %v, status %d, error %v", headSent, sink.status, err)
		}
	})
}

var _ runner.Sink = (*recorder)(nil)
