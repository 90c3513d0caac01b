package watch

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/mesh"
)

// source is a store in memory whose values are JSON of the decoded types.
type source struct {
	mu      sync.Mutex
	records map[fleet.Stream][]fleet.Record
	first   map[fleet.Stream]int64
	broken  bool
}

func newSource() *source {
	return &source{records: map[fleet.Stream][]fleet.Record{}, first: map[fleet.Stream]int64{}}
}

func (s *source) put(stream fleet.Stream, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.records[stream] = append(s.records[stream], fleet.Record{Key: key, Value: data})
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *source) Read(_ context.Context, stream fleet.Stream, from int64) ([]fleet.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return nil, from, io.ErrUnexpectedEOF
	}
	if from < s.first[stream] {
		return nil, from, &fleet.GapError{From: from}
	}
	all := s.records[stream]
	return all[from:], int64(len(all)), nil
}

func (s *source) Newest(_ context.Context, stream fleet.Stream) ([]fleet.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return nil, 0, io.ErrUnexpectedEOF
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
	return out, int64(len(s.records[stream])), nil
}

func (s *source) Write(_ context.Context, stream fleet.Stream, r fleet.Record) error {
	s.put(stream, r.Key, string(r.Value))
	return nil
}

func (s *source) DecodeOrder(r fleet.Record) (fleet.Order, error) {
	if r.Key != "config" {
		return fleet.Order{DataCentre: r.Key, Out: len(r.Value) > 0}, nil
	}
	var version int64
	if err := json.Unmarshal(r.Value, &version); err != nil {
		return fleet.Order{}, err
	}
	t, err := route.New(version, route.Limits{}, nil, nil)
	return fleet.Order{Routes: t}, err
}

func (s *source) DecodeUpstream(r fleet.Record) (fleet.Upstream, error) {
	var u fleet.Upstream
	err := json.Unmarshal(r.Value, &u)
	return u, err
}

func startWatcher(t *testing.T, s *source) *Watcher {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	node, err := mesh.Listen(mesh.Self{Host: "h", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Boot: 1}, log)
	if err != nil {
		t.Fatal(err)
	}
	w := New(Deps{Host: "h", IP: netip.MustParseAddr("127.0.0.1"), Source: s, Node: node, Log: log, Changed: func(*fleet.View) {}})
	node.Start(func() mesh.Beat { return mesh.Beat{} }, w.Handle)
	w.Start()
	t.Cleanup(func() {
		w.Close()
		node.Close()
	})
	return w
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s did not happen", what)
}

func upstream(id string) fleet.Upstream { return fleet.Upstream{ID: id, Service: "s", Slots: 1} }

func version(w *Watcher) int64 {
	if t := w.View().Routes; t != nil {
		return t.Version
	}
	return 0
}

// Guards against changes that are missed, also after the history was deleted, and against going back to an older version.
func TestWatcherFollowsTheStore(t *testing.T) {
	s := newSource()
	s.put(fleet.Operators, "config", 3)
	s.put(fleet.Upstreams, "a", upstream("a"))
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return version(w) == 3 && len(w.View().Upstreams) == 1 })
	s.put(fleet.Operators, "passau", 1)
	s.put(fleet.Operators, "config", 2)
	s.put(fleet.Upstreams, "b", upstream("b"))
	s.put(fleet.Upstreams, "x", "no upstream")
	eventually(t, "a change", func() bool { return len(w.View().DataCentresOut) == 1 && len(w.View().Upstreams) == 2 })
	if v := version(w); v != 3 {
		t.Fatalf("went back to version %d", v)
	}
	s.put(fleet.Operators, "config", 9)
	s.put(fleet.Operators, "passau", nil)
	s.put(fleet.Upstreams, "a", nil)
	s.set(func() {
		for _, stream := range []fleet.Stream{fleet.Operators, fleet.Upstreams} {
			s.first[stream] = int64(len(s.records[stream]))
		}
	})
	eventually(t, "a reading after a gap", func() bool {
		return version(w) == 9 && len(w.View().DataCentresOut) == 0 && len(w.View().Upstreams) == 1
	})
}

// Guards against losing all upstreams that lapse while the store is away.
func TestLapseAfterAnOutage(t *testing.T) {
	s := newSource()
	s.put(fleet.Operators, "config", 1)
	s.put(fleet.Upstreams, "a", upstream("a"))
	s.put(fleet.Upstreams, "b", upstream("b"))
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return len(w.View().Upstreams) == 2 })
	s.set(func() { s.broken = true })
	eventually(t, "the loss of the store", func() bool { return w.Failed.Load() > 0 })
	s.put(fleet.Upstreams, "a", nil)
	s.put(fleet.Upstreams, "b", nil)
	s.set(func() { s.broken = false })
	_, before := w.Positions()
	eventually(t, "a reading", func() bool { _, now := w.Positions(); return now > before })
	if n := len(w.View().Upstreams); n != 2 {
		t.Fatalf("%d upstreams left right after the outage", n)
	}
	s.put(fleet.Upstreams, "a", upstream("a"))
	eventually(t, "the end of the grace", func() bool { return len(w.View().Upstreams) == 1 })
	if _, ok := w.View().Upstreams["a"]; !ok {
		t.Fatal("the upstream that came back is missing")
	}
}

// Guards against taking a part of a stream that does not join what is known.
func TestSpansFromOtherHosts(t *testing.T) {
	s := newSource()
	s.put(fleet.Operators, "config", 1)
	w := startWatcher(t, s)
	eventually(t, "the first view", func() bool { return version(w) == 1 && w.View().Listed })
	span := func(from, to int64, v string) *mesh.Message {
		return &mesh.Message{Orders: &mesh.Orders{Span: mesh.Span{From: from, To: to}, Records: []fleet.Record{{Key: "config", Value: []byte(v)}}}}
	}
	w.Handle(span(5, 6, "7"))
	if v := version(w); v != 1 {
		t.Fatalf("version %d taken beyond a gap", v)
	}
	w.Handle(span(1, 2, "8"))
	if v := version(w); v != 8 {
		t.Fatalf("version %d, want 8", v)
	}
	w.Handle(span(1, 2, "9"))
	if v := version(w); v != 8 {
		t.Fatalf("version %d taken twice from one position", v)
	}
}
