package mesh

import (
	"testing"
	"time"

	"sardinecross.example/lib/canary"
	"sardinecross.example/lib/fleet"
)

// Guards against stages and names that no host sends, which would crash a host when it logs them, and against hosts of the
// previous release that reject messages with the new fields.
func TestRolloutMessages(t *testing.T) {
	valid := func() *Message {
		return &Message{
			From: "b", RolloutState: &RolloutState{Service: "s", Version: "v", Stage: canary.RolledBack, Elapsed: time.Second, Over: time.Second},
			RolloutAck:  &RolloutAck{Service: "s", Version: "v", Number: 1},
			ListChanges: &ListChanges{Changes: []fleet.Change{{ID: "u", Upstream: &fleet.Upstream{ID: "u", Version: "v"}}}},
		}
	}
	if m, newer, err := Decode(encode(t, valid())); err != nil || newer || m.ListChanges.Changes[0].Upstream.Version != "v" {
		t.Fatalf("valid message: %+v, newer is %t, error %v", m, newer, err)
	}
	for name, change := range map[string]func(m *Message){
		"unknown stage":    func(m *Message) { m.RolloutState.Stage = canary.RolledBack + 1 },
		"no service":       func(m *Message) { m.RolloutState.Service = "" },
		"no version":       func(m *Message) { m.RolloutState.Version = "" },
		"negative elapsed": func(m *Message) { m.RolloutState.Elapsed = -1 },
		"negative time":    func(m *Message) { m.RolloutState.Over = -1 },
		"ack of nothing":   func(m *Message) { m.RolloutAck.Service = "" },
		"long version":     func(m *Message) { m.ListChanges.Changes[0].Upstream.Version = string(make([]byte, maxNameBytes+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			m := valid()
			change(m)
			if _, _, err := Decode(encode(t, m)); err == nil {
				t.Error("accepted")
			}
		})
	}
	type previousMessage struct {
		From string `cbor:"1,keyasint"`
	}
	var previous previousMessage
	if err := tolerantDecoder.Unmarshal(encode(t, valid()), &previous); err != nil || previous.From != "b" {
		t.Errorf("previous release decodes %+v, error %v", previous, err)
	}
}

// Guards against lists that count as different between hosts of the two releases: the previous one knows no versions.
func TestVersionIsNoPartOfTheDigest(t *testing.T) {
	digest := func(version string) uint64 {
		l := fleet.NewList()
		l.Replace(0, fleet.ReadAt(0), fleet.At(1, 1), []fleet.Upstream{{ID: "u", Version: version}})
		return l.Digest()
	}
	if digest("") != digest("v2") {
		t.Error("the digest depends on the version")
	}
}
