package conf

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
)

var testClass = Class{Service: "booking", Target: 50 * time.Millisecond, Deadline: 2 * time.Second, Rank: 1}

func outProposal(id string, item Item, base int64, out bool) Proposal {
	return Proposal{ID: ProposalID(id), Item: item, Base: base, Value: Value{Out: out}}
}

func mustRecord(t testing.TB, p Proposal) []byte {
	t.Helper()
	data, err := NewProposal(p)
	if err != nil {
		t.Fatalf("NewProposal(%+v): %v", p, err)
	}
	return data
}

// fakeLog is an in-memory log stream. Records before first count as deleted by retention.
type fakeLog struct {
	records [][]byte
	first   int64
}

func (l *fakeLog) add(data []byte) int64 {
	l.records = append(l.records, data)
	return int64(len(l.records) - 1)
}

func (l *fakeLog) next() int64 { return int64(len(l.records)) }

// read returns at most limit records, starting at from or at the oldest retained offset.
func (l *fakeLog) read(from int64, limit int, at time.Duration) Batch {
	b := Batch{First: l.first, Next: l.next(), SentAt: at}
	for o := max(from, l.first); o < l.next() && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, Record{Offset: o, Data: l.records[o]})
	}
	return b
}

// catchUp applies reads until the store holds the whole log or needs a checkpoint from another host.
func (l *fakeLog) catchUp(s *Store, at time.Duration) {
	for range 2*len(l.records) + 4 {
		s.Apply(l.read(s.Next(), 3, at))
		if s.Version()+1 == l.next() || s.NeedsPeerCheckpoint() {
			return
		}
	}
}

// stateText returns the parts of a store's state that must be equal in stores of equal versions.
func stateText(s *Store) string {
	v := s.View()
	text := fmt.Sprintf("version %d;", s.Version())
	for _, item := range v.Items() {
		value, version := v.Item(item)
		text += fmt.Sprintf(" %s=%v@%d", item, value, version)
	}
	for _, id := range s.decisionOrder {
		text += fmt.Sprintf(" %s:%v", id, s.decisions[id])
	}
	return text
}

func assertSame(t interface{ Fatalf(string, ...any) }, got, want *Store) {
	if g, w := stateText(got), stateText(want); g != w {
		t.Fatalf("stores differ:\n%s\n%s", g, w)
	}
}

func assertDecision(t *testing.T, s *Store, id string, want Decision) {
	t.Helper()
	if got, ok := s.Decision(ProposalID(id)); !ok || got != want {
		t.Fatalf("decision on %s: got %+v %v, want %+v", id, got, ok, want)
	}
}

func assertClasses(t *testing.T, s *Store, want ...ident.ClassName) {
	t.Helper()
	if got := s.View().Classes(); !reflect.DeepEqual(got, want) {
		t.Fatalf("classes: got %v, want %v", got, want)
	}
}
