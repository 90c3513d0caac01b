package mesh

import (
	"testing"

	"sardinecross.example/lib/fleet"
)

// earlierMessage holds the fields on positions that hosts of the previous release know.
type earlierMessage struct {
	From      string `cbor:"1,keyasint"`
	Heartbeat struct {
		OperatorsPosition int64 `cbor:"5,keyasint,omitempty"`
		ListPosition      int64 `cbor:"7,keyasint,omitempty"`
	} `cbor:"3,keyasint"`
	ListChanges struct {
		Span struct {
			From int64 `cbor:"1,keyasint"`
			To   int64 `cbor:"2,keyasint"`
		} `cbor:"1,keyasint"`
	} `cbor:"7,keyasint"`
}

// Guards against positions that are lost between hosts of this release, or that hosts of the previous release do not understand while
// the fleet is rolled.
func TestPositionsOfBothReleases(t *testing.T) {
	operators := fleet.Progress{Position: fleet.At(3, 7), Previous: fleet.At(2, 9)}
	list := fleet.Progress{Position: fleet.At(3, 70), Previous: fleet.At(1, 90)}
	hb := Heartbeat{}.WithProgress(operators, list)
	m := &Message{From: "b", Boot: 1, Heartbeat: &hb, ListChanges: &ListChanges{Span: NewSpan(fleet.At(3, 5), fleet.At(3, 7), 0)}}
	t.Run("this release", func(t *testing.T) {
		got, newer, err := Decode(encode(t, m))
		if err != nil || newer {
			t.Fatalf("newer %t, error %v", newer, err)
		}
		assertProgress(t, got.Heartbeat, operators, list)
		if s := got.ListChanges.Span; s.Start() != fleet.At(3, 5) || s.End() != fleet.At(3, 7) {
			t.Errorf("span from %v to %v", s.Start(), s.End())
		}
	})
	t.Run("to the previous release", func(t *testing.T) {
		var earlier earlierMessage
		err := tolerantDecoder.Unmarshal(encode(t, m), &earlier)
		if err != nil || earlier.Heartbeat.OperatorsPosition != 7 || earlier.Heartbeat.ListPosition != 70 || earlier.ListChanges.Span.To != 7 {
			t.Errorf("got %+v, error %v", earlier, err)
		}
	})
	t.Run("from the previous release", func(t *testing.T) {
		earlier := earlierMessage{From: "b"}
		earlier.Heartbeat.ListPosition, earlier.ListChanges.Span.To = 70, 7
		data, err := encoder.Marshal(earlier)
		if err != nil {
			t.Fatal(err)
		}
		got, _, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		assertProgress(t, got.Heartbeat, fleet.Progress{}, fleet.Progress{Position: fleet.At(0, 70)})
	})
	t.Run("era unknown", func(t *testing.T) {
		if hb := (Heartbeat{}).WithProgress(fleet.Progress{}, fleet.Progress{Position: fleet.At(0, 70)}); hb.Eras != nil {
			t.Errorf("eras %+v are sent though none is known", hb.Eras)
		}
	})
}

// assertProgress checks the progress that a heartbeat tells.
func assertProgress(t *testing.T, hb *Heartbeat, operators, list fleet.Progress) {
	t.Helper()
	if gotOperators, gotList := hb.Progress(); gotOperators != operators || gotList != list {
		t.Errorf("progress %+v and %+v, want %+v and %+v", gotOperators, gotList, operators, list)
	}
}
