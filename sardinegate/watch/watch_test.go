package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/mesh"
)

// memorySource is an in-memory store whose values are the decoded types as JSON. Records before firstKept are deleted.
// Reads fail while broken is set.
type memorySource struct {
	mu        sync.Mutex
	records   map[fleet.Stream][]fleet.Record
	firstKept map[fleet.Stream]int64
	broken    bool
	// era is the era of the store, 0 if it tells none.
	era int64
}

func newMemorySource() *memorySource {
	return &memorySource{records: map[fleet.Stream][]fleet.Record{}, firstKept: map[fleet.Stream]int64{}}
}

func (s *memorySource) put(stream fleet.Stream, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.records[stream] = append(s.records[stream], fleet.Record{Key: key, Value: data})
}

// locked runs change with the mutex held.
func (s *memorySource) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *memorySource) Read(_ context.Context, stream fleet.Stream, from fleet.Position) ([]fleet.Record, fleet.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return nil, from, io.ErrUnexpectedEOF
	}
	if s.era != from.Era {
		return nil, from, &fleet.EraError{Have: from.Era, Got: s.era}
	}
	all := s.records[stream]
	if from.Offset < s.firstKept[stream] || from.Offset > int64(len(all)) {
		return nil, from, &fleet.GapError{From: from}
	}
	return all[from.Offset:], fleet.At(s.era, int64(len(all))), nil
}

func (s *memorySource) Newest(_ context.Context, stream fleet.Stream) ([]fleet.Record, fleet.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return nil, fleet.Position{}, io.ErrUnexpectedEOF
	}
	newest := map[string]fleet.Record{}
	for _, r := range s.records[stream] {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	var out []fleet.Record
	for _, r := range newest {
		out = append(out, r)
	}
	return out, fleet.At(s.era, int64(len(s.records[stream]))), nil
}

func (s *memorySource) Write(_ context.Context, stream fleet.Stream, r fleet.Record) error {
	s.put(stream, r.Key, string(r.Value))
	return nil
}

// HideKeys implements fleet.Source. The key of a client is the value secret, and its hash hidden.
func (s *memorySource) HideKeys(r fleet.Record) fleet.Record {
	r.Value = bytes.ReplaceAll(r.Value, []byte("secret"), []byte("hidden"))
	return r
}

func (s *memorySource) DecodeOperatorChange(r fleet.Record) (fleet.OperatorChange, error) {
	if service, ok := strings.CutPrefix(r.Key, "rollout/"); ok {
		o := fleet.Order{Service: service, Over: time.Second}
		var err error
		if len(r.Value) > 0 {
			err = json.Unmarshal(r.Value, &o.Version)
		}
		return fleet.OperatorChange{Order: &o}, err
	}
	if r.Key != "config" {
		return fleet.OperatorChange{DataCentre: r.Key, Out: len(r.Value) > 0}, nil
	}
	var version int64
	if err := json.Unmarshal(r.Value, &version); err != nil {
		return fleet.OperatorChange{}, err
	}
	t, err := route.New(version, route.Limits{}, nil, nil)
	return fleet.OperatorChange{Routes: t}, err
}

func (s *memorySource) DecodeUpstream(r fleet.Record) (fleet.Upstream, error) {
	var u fleet.Upstream
	err := json.Unmarshal(r.Value, &u)
	return u, err
}

// startWatcher starts a watcher of s on a node without other hosts.
func startWatcher(t *testing.T, s *memorySource) *Watcher {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	node, err := mesh.Listen(mesh.Self{Host: "h", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Boot: 1}, log)
	if err != nil {
		t.Fatal(err)
	}
	w := New(Deps{Host: "h", IP: netip.MustParseAddr("127.0.0.1"), Source: s, Node: node, Log: log, OnViewChange: func(*fleet.View) {}})
	node.Start(func() mesh.Heartbeat { return mesh.Heartbeat{} }, w.Handle)
	w.Start()
	t.Cleanup(func() {
		w.Close()
		node.Close()
	})
	return w
}

// eventually waits until holds returns true and fails the test after ten seconds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func upstream(id string) fleet.Upstream { return fleet.Upstream{ID: id, Service: "s", Slots: 1} }

func version(w *Watcher) int64 {
	if t := w.View().Routes; t != nil {
		return t.Version
	}
	return 0
}

// Guards against missed changes and against a fall back to an older configuration. An operator may write a lower
// version. The records after the known position may be deleted, which leaves only the newest record of each key to read.
func TestWatcherFollowsStoreAcrossDeletedRecords(t *testing.T) {
	s := newMemorySource()
	s.put(fleet.Operators, "config", 3)
	s.put(fleet.Upstreams, "a", upstream("a"))
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return version(w) == 3 && len(w.View().Upstreams) == 1 })
	s.put(fleet.Operators, "passau", 1)
	s.put(fleet.Operators, "config", 2)
	s.put(fleet.Upstreams, "b", upstream("b"))
	s.put(fleet.Upstreams, "x", "no upstream")
	eventually(t, "the changes of both streams", func() bool { return len(w.View().DataCentresOut) == 1 && len(w.View().Upstreams) == 2 })
	if v := version(w); v != 3 {
		t.Fatalf("configuration fell back to version %d, want 3", v)
	}
	s.put(fleet.Operators, "config", 9)
	s.put(fleet.Operators, "passau", nil)
	s.put(fleet.Upstreams, "a", nil)
	s.locked(func() {
		for _, stream := range []fleet.Stream{fleet.Operators, fleet.Upstreams} {
			s.firstKept[stream] = int64(len(s.records[stream]))
		}
	})
	eventually(t, "the newest records after a gap", func() bool {
		return version(w) == 9 && len(w.View().DataCentresOut) == 0 && len(w.View().Upstreams) == 1
	})
}

// Guards against the loss of all upstreams after an outage of the store: they cannot renew their entries meanwhile, so
// the first read afterwards finds them removed. They must stay usable until live upstreams are listed again. The outage lasts for
// longer than OutageGap; a shorter one lets no entry lapse.
func TestUpstreamsSurviveLapseDuringOutage(t *testing.T) {
	s := newMemorySource()
	s.put(fleet.Operators, "config", 1)
	s.put(fleet.Upstreams, "a", upstream("a"))
	s.put(fleet.Upstreams, "b", upstream("b"))
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return len(w.View().Upstreams) == 2 })
	s.locked(func() { s.broken = true })
	eventually(t, "a failed call to the store", func() bool { return w.FailedStoreCalls.Load() > 0 })
	eventually(t, "an outage in which entries can lapse", func() bool { _, age := w.Ages(); return age > fleet.OutageGap })
	s.put(fleet.Upstreams, "a", nil)
	s.put(fleet.Upstreams, "b", nil)
	s.locked(func() { s.broken = false })
	_, before := w.Progress()
	eventually(t, "a read after the outage", func() bool { _, now := w.Progress(); return now.Position.After(before.Position) })
	if n := len(w.View().Upstreams); n != 2 {
		t.Fatalf("%d upstreams right after the outage, want 2", n)
	}
	s.put(fleet.Upstreams, "a", upstream("a"))
	eventually(t, "the removal of the other upstream", func() bool { return len(w.View().Upstreams) == 1 })
	if _, ok := w.View().Upstreams["a"]; !ok {
		t.Fatal("upstream a is missing, although it was listed again")
	}
}

// Guards against missed or repeated records when another host sends a span of a stream that begins after the known
// position, or whose records are already applied. Datagrams may be lost or duplicated.
func TestSpanAfterGapOrAppliedBeforeIsIgnored(t *testing.T) {
	s := newMemorySource()
	s.put(fleet.Operators, "config", 1)
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return version(w) == 1 && w.View().Listed })
	span := func(from, to int64, v string) *mesh.Message {
		return &mesh.Message{OperatorRecords: &mesh.OperatorRecords{Span: mesh.Span{From: from, To: to}, Records: []fleet.Record{{Key: "config", Value: []byte(v)}}}}
	}
	w.Handle(span(5, 6, "7"))
	if v := version(w); v != 1 {
		t.Fatalf("version %d in force after a span beyond a gap, want 1", v)
	}
	w.Handle(span(1, 4, "7"))
	if p, _ := w.Progress(); p.Position.Offset != 1 || version(w) != 1 {
		t.Fatalf("at position %v with version %d after a span of 3 positions with 1 record, want 1 and 1", p.Position, version(w))
	}
	w.Handle(span(1, 2, "8"))
	if v := version(w); v != 8 {
		t.Fatalf("version %d, want 8", v)
	}
	w.Handle(span(1, 2, "9"))
	if v := version(w); v != 8 {
		t.Fatalf("version %d in force after a second span for the same positions, want 8", v)
	}
}

// Guards against a list that goes back to an earlier position: while a host reads the newest records, a span of another host
// moves it past the position that these are from.
func TestNewestRecordsFromBeforeThePositionAreRefused(t *testing.T) {
	s := newMemorySource()
	s.put(fleet.Operators, "config", 1)
	s.put(fleet.Upstreams, "a", upstream("a"))
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return version(w) == 1 && w.View().Listed })
	w.Handle(&mesh.Message{From: "x", ListChanges: &mesh.ListChanges{Span: mesh.Span{From: 1, To: 9}, Changes: []fleet.Change{{ID: "a"}}}})
	w.Handle(&mesh.Message{From: "x", OperatorRecords: &mesh.OperatorRecords{
		Span: mesh.Span{From: 1, To: 2}, Records: []fleet.Record{{Key: "passau", Value: []byte("1")}},
	}})
	for _, st := range []stream{w.upstreamStream(), w.operatorStream()} {
		var stale *StaleError
		if err := w.readNewest(t.Context(), st); !errors.As(err, &stale) {
			t.Errorf("got error %v from reading older %s, want a StaleError", err, st.name)
		}
	}
	if v := w.View(); len(v.Upstreams) != 0 || len(v.DataCentresOut) != 1 {
		t.Errorf("after reading older records: %d upstreams, %d data centres out of service, want 0 and 1", len(v.Upstreams), len(v.DataCentresOut))
	}
}
