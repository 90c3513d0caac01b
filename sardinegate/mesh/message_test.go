package mesh

import (
	"errors"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
)

func encode(t testing.TB, m any) []byte {
	t.Helper()
	data, err := encoder.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// wholeMessage returns a valid message with every part.
func wholeMessage() *Message {
	return &Message{
		From: "b", Boot: 1,
		Heartbeat:       &Heartbeat{CallerAddress: "x", Capacity: 1, ColdUpstreams: []ColdUpstream{{Upstream: "u", Left: time.Second}}},
		AttemptRequest:  &grant.AttemptRequest{ID: grant.AttemptID{Host: "b", Seq: 1}, Service: "s", Target: time.Second, Tried: []string{"u"}},
		SelectionReply:  &SelectionReply{Seq: 1, Selection: grant.Selection{Upstream: "u", UpstreamCounts: &grant.UpstreamCounts{Listed: 1}}},
		AttemptEnd:      &grant.AttemptEnd{ID: grant.AttemptID{Host: "b", Seq: 1}, Upstream: "u", Report: &fleet.Report{Slots: 1}},
		ListChanges:     &ListChanges{Span: Span{From: 1, To: 2}, Changes: []fleet.Change{{ID: "u", Upstream: &fleet.Upstream{ID: "u", Slots: 1}}}},
		OperatorRecords: &OperatorRecords{Span: Span{From: 1, To: 2}, Records: []fleet.Record{{Key: "config"}}},
		Notices:         []UpstreamNotice{{Lifetime: fleet.Lifetime{Upstream: "u", Started: 1}, Notice: fleet.Notice{Leaving: true}}},

		AllowanceRequest:  &AllowanceRequest{Seq: 1, Organisation: "o", Hosts: 1},
		AllowanceReply:    &AllowanceReply{Seq: 1, RetryAfter: time.Second, Hosts: 1},
		AllowanceReturn:   &AllowanceReturn{Organisation: "o", Count: 1, Seq: 1},
		AllowanceTransfer: &AllowanceTransfer{Levels: []AllowanceLevel{{Organisation: "o", Level: 1}}, Seq: 2, Hosts: 1},
	}
}

// Guards against messages with values that no host sends, which would crash a host or spoil its state for good, for example by
// a load that is not a number, an age in the future or a reason without a name.
func TestInvalidMessagesAreRejected(t *testing.T) {
	if _, newer, err := Decode(encode(t, wholeMessage())); err != nil || newer {
		t.Fatalf("valid message: newer is %t, error %v", newer, err)
	}
	for name, change := range map[string]func(m *Message){
		"no sender":               func(m *Message) { m.From = "" },
		"long sender":             func(m *Message) { m.From = strings.Repeat("x", maxNameBytes+1) },
		"negative capacity":       func(m *Message) { m.Heartbeat.Capacity = -1 },
		"large capacity":          func(m *Message) { m.Heartbeat.Capacity = math.MaxInt },
		"negative position":       func(m *Message) { m.Heartbeat.ListPosition = -1 },
		"negative era":            func(m *Message) { m.Heartbeat.Eras = &StoreEras{List: -1} },
		"negative era before":     func(m *Message) { m.Heartbeat.Eras = &StoreEras{ListPrevious: fleet.At(-1, 0)} },
		"negative era of a span":  func(m *Message) { m.ListChanges.Span.Era = -1 },
		"cold for ever":           func(m *Message) { m.Heartbeat.ColdUpstreams[0].Left = math.MaxInt64 },
		"attempt of another host": func(m *Message) { m.AttemptRequest.ID.Host = "c" },
		"no service":              func(m *Message) { m.AttemptRequest.Service = "" },
		"negative target":         func(m *Message) { m.AttemptRequest.Target = -1 },
		"endless time left":       func(m *Message) { m.AttemptRequest.TimeLeft = math.MaxInt64 },
		"negative elapsed time":   func(m *Message) { m.AttemptRequest.Elapsed = math.MinInt64 },
		"many attempts left":      func(m *Message) { m.AttemptRequest.AttemptsLeft = math.MaxInt },
		"upstream without a name": func(m *Message) { m.AttemptRequest.Tried[0] = "" },
		"unknown reason":          func(m *Message) { m.SelectionReply.Selection.Reason = 200 },
		"granted nothing":         func(m *Message) { m.SelectionReply.Selection.Upstream = "" },
		"refused an upstream":     func(m *Message) { m.SelectionReply.Selection.Reason = grant.NoRoom },
		"slowdown not a number":   func(m *Message) { m.SelectionReply.Selection.SlowdownPercent = math.NaN() },
		"end for another host":    func(m *Message) { m.AttemptEnd.ID.Host = "c" },
		"served by none":          func(m *Message) { m.AttemptEnd.Upstream, m.AttemptEnd.Report = "", nil },
		"unknown outcome":         func(m *Message) { m.AttemptEnd.Outcome = 200 },
		"negative duration":       func(m *Message) { m.AttemptEnd.Took = -1 },
		"negative load":           func(m *Message) { m.AttemptEnd.Report.Running = -1 },
		"many slots":              func(m *Message) { m.AttemptEnd.Report.Slots = math.MaxInt },
		"endless slowdown":        func(m *Message) { m.AttemptEnd.Report.SlowdownPercent = math.Inf(1) },
		"report not a number":     func(m *Message) { m.AttemptEnd.Report.SlowdownPercent = math.NaN() },
		"negative cold time":      func(m *Message) { m.AttemptEnd.Report.ColdFor = -1 },
		"span backwards":          func(m *Message) { m.ListChanges.Span.To = 0 },
		"span of all positions":   func(m *Message) { m.ListChanges.Span.To = math.MaxInt64 },
		"span before the start":   func(m *Message) { m.ListChanges.Span.From = -1 },
		"age in the future":       func(m *Message) { m.ListChanges.Span.Age = -time.Hour },
		"change of another ID":    func(m *Message) { m.ListChanges.Changes[0].ID = "v" },
		"unknown state":           func(m *Message) { m.ListChanges.Changes[0].Upstream.State = 200 },
		"records in the future":   func(m *Message) { m.OperatorRecords.Span.Age = -1 },
		"notice of nobody":        func(m *Message) { m.Notices[0].Lifetime.Upstream = "" },
		"negative time to retry":  func(m *Message) { m.Notices[0].Notice.RetryAfter = -1 },
		"no organisation":         func(m *Message) { m.AllowanceRequest.Organisation = "" },
		"granted with a time":     func(m *Message) { m.AllowanceReply.Granted = true },
		"negative reply time":     func(m *Message) { m.AllowanceReply.RetryAfter = -1 },
		"many hosts":              func(m *Message) { m.AllowanceReply.Hosts = math.MaxInt },
		"return of nothing":       func(m *Message) { m.AllowanceReturn.Count = 0 },
		"return of all":           func(m *Message) { m.AllowanceReturn.Count = math.MaxInt },
		"level not a number":      func(m *Message) { m.AllowanceTransfer.Levels[0].Level = math.NaN() },
		"negative level":          func(m *Message) { m.AllowanceTransfer.Levels[0].Level = -1 },
		"endless level":           func(m *Message) { m.AllowanceTransfer.Levels[0].Level = math.Inf(1) },
		"level of nobody":         func(m *Message) { m.AllowanceTransfer.Levels[0].Organisation = "" },
		"endless time to retry":   func(m *Message) { m.Notices[0].Notice.RetryAfter = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			m := wholeMessage()
			change(m)
			_, _, err := Decode(encode(t, m))
			var invalid *InvalidMessageError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an InvalidMessageError", err)
			}
		})
	}
}

// Guards against lengths and counts at the limits: what is within them must be decoded, and what is beyond them rejected.
func TestMessageAtItsLimits(t *testing.T) {
	for name, c := range map[string]struct {
		elements int
		valid    bool
	}{"at": {bounds.Elements, true}, "beyond": {bounds.Elements + 1, false}} {
		t.Run(name, func(t *testing.T) {
			m := &Message{From: "b", Heartbeat: &Heartbeat{ColdUpstreams: make([]ColdUpstream, c.elements)}}
			if _, _, err := Decode(encode(t, m)); (err == nil) != c.valid {
				t.Errorf("%d elements: %v", c.elements, err)
			}
		})
	}
	// An array and a byte string whose lengths say more than follows.
	for _, data := range [][]byte{{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0xa1, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0xbb, 0xff}, {}} {
		if m, _, err := Decode(data); err == nil {
			t.Errorf("%x decoded to %+v", data, m)
		}
	}
}

// Guards against hosts of two versions that take each other for dead: a heartbeat with a field that this version does not know
// must count, without the field.
func TestFieldsOfLaterVersionsAreIgnored(t *testing.T) {
	type laterHeartbeat struct {
		Ready bool   `cbor:"4,keyasint"`
		Added string `cbor:"90,keyasint"`
	}
	type laterMessage struct {
		From      string         `cbor:"1,keyasint"`
		Boot      int64          `cbor:"2,keyasint"`
		Heartbeat laterHeartbeat `cbor:"3,keyasint"`
		Added     []int          `cbor:"91,keyasint"`
	}
	p := freePort(t)
	var got atomic.Int64
	a := startNode(t, "a", "127.0.0.1", p, 1, readyStatus, func(m *Message) {
		if m.Heartbeat != nil && m.Heartbeat.Ready {
			got.Add(1)
		}
	})
	defer a.Close()
	conn, err := net.Dial("udp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p).String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(encode(t, laterMessage{From: "b", Boot: 1, Heartbeat: laterHeartbeat{true, "x"}, Added: []int{1}}))
	eventually(t, "the heartbeat", func() bool { return got.Load() == 1 })
	if a.Newer.Load() != 1 || a.Invalid.Load() != 0 {
		t.Errorf("%d messages count as newer and %d as invalid, want 1 and 0", a.Newer.Load(), a.Invalid.Load())
	}
}

// Guards against panics in the decoder on arbitrary datagrams, and against decoded messages that cannot be encoded again.
func FuzzMessage(f *testing.F) {
	f.Add(encode(f, wholeMessage()))
	f.Add(encode(f, &Message{From: "b", Boot: 1, Heartbeat: &Heartbeat{CallerAddress: "x"}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, _, err := Decode(data)
		if err != nil {
			return
		}
		if _, _, err := Decode(encode(t, m)); err != nil {
			t.Errorf("%+v cannot be decoded again: %v", m, err)
		}
	})
}
