package watch

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// Guards against a host whose link is shared by so many copies of what it knows that none arrives in time.
func TestFurtherCopiesAreRefusedWhileOneIsServed(t *testing.T) {
	w := startWatcher(t, newMemorySource())
	done, ok := w.beginServing()
	if !ok {
		t.Fatal("the first copy is refused")
	}
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		recorder := httptest.NewRecorder()
		w.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, snapshotPath, nil))
		if recorder.Code != want {
			t.Errorf("a copy gets status %d, want %d", recorder.Code, want)
		}
		if want == http.StatusServiceUnavailable {
			done()
		}
	}
}

// Guards against a host that takes a copy for newer than it is, because the copy was long on the way or its sender was frozen:
// it would not read the store in time and use upstreams that have left.
func TestAgeOfACopyCountsFromItsRequest(t *testing.T) {
	const delay = 200 * time.Millisecond
	source := newMemorySource()
	source.put(fleet.Operators, "config", 1)
	source.put(fleet.Upstreams, "u", fleet.Upstream{ID: "u"})
	sender := startWatcher(t, source)
	for !sender.complete() {
		time.Sleep(time.Millisecond)
	}
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		sender.ServeHTTP(recorder, r)
		time.Sleep(delay)
		_, _ = rw.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	broken := newMemorySource()
	broken.broken = true
	receiver := startWatcher(t, broken)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	receiver.fetch = func(ctx context.Context, _ mesh.Member) ([]byte, error) { return receiver.requestSnapshot(ctx, addr) }
	if err := receiver.copyFromHost(t.Context(), mesh.Member{Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if !receiver.complete() {
		t.Fatal("the copy was not taken")
	}
	if operators, list := receiver.Ages(); operators < delay || list < delay {
		t.Errorf("ages %v and %v of a copy that was %v on the way", operators, list, delay)
	}
}

// Guards against a host that passes clients' keys on, because it got a record with them from a host of an earlier release.
func TestKeysInRecordsOfOtherHostsAreHidden(t *testing.T) {
	w := New(Deps{Source: newMemorySource(), Log: slog.New(slog.DiscardHandler), OnViewChange: func(*fleet.View) {}})
	w.mu.Lock()
	w.applyOperatorSpan(0, fleet.At(0, 0), fleet.At(0, 1), []fleet.Record{{Key: "record", Value: []byte("secret")}})
	w.mu.Unlock()
	data, err := w.encodeSnapshot(true)
	if err != nil || bytes.Contains(data, []byte("secret")) || !bytes.Contains(data, []byte("hidden")) {
		t.Errorf("the host passes on %q (%v), want hidden in place of secret", data, err)
	}
}

// Guards against a snapshot that hosts of the previous release cannot decode, as they know no eras and refuse unknown fields.
func TestSnapshotForThePreviousRelease(t *testing.T) {
	type earlierSnapshot struct {
		OperatorsPosition int64          `cbor:"1,keyasint"`
		OperatorRecords   []fleet.Record `cbor:"2,keyasint,omitempty"`
		OperatorsAge      time.Duration  `cbor:"3,keyasint"`
		List              struct {
			Offset   int64             `cbor:"1,keyasint"`
			Age      time.Duration     `cbor:"2,keyasint"`
			Recorded []fleet.Upstream  `cbor:"3,keyasint,omitempty"`
			Kept     []fleet.KeptEntry `cbor:"4,keyasint,omitempty"`
		} `cbor:"4,keyasint"`
		Listed bool `cbor:"5,keyasint,omitempty"`
	}
	s := newEraSource()
	w := startWatcher(t, s.memorySource)
	eventually(t, "the first view", w.complete)
	s.put(fleet.Operators, "passau", true)
	s.put(fleet.Upstreams, "a", nil)
	eventually(t, "the changes", func() bool { return isOut("passau")(w.View()) && usesOnly("b")(w.View()) })
	s.restore(fleet.Operators, 1)
	s.restore(fleet.Upstreams, 1)
	eventually(t, "the next era", func() bool { _, list := w.Progress(); return list.Position.Era == 3 })
	get := func(target string) []byte {
		rec := httptest.NewRecorder()
		w.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, target, nil))
		return rec.Body.Bytes()
	}
	var earlier earlierSnapshot
	if err := snapshotDecoder.Unmarshal(get(snapshotPath), &earlier); err != nil || earlier.OperatorsPosition != 1 || len(earlier.OperatorRecords) != 2 {
		t.Errorf("the previous release decodes %+v, error %v, want position 1 and both records", earlier, err)
	}
	var snapshot storeSnapshot
	if err := snapshotDecoder.Unmarshal(get(snapshotPath+"?"+snapshotQuery), &snapshot); err != nil || snapshot.List.Era != 3 || len(snapshot.List.Removed) != 1 {
		t.Errorf("this release decodes %+v, error %v, want era 3 and the removed upstream", snapshot, err)
	}
}
