package watch

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sardinecross.example/lib/fleet"
)

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
	if err := receiver.copyFromHost(t.Context(), "h", addr); err != nil {
		t.Fatal(err)
	}
	if !receiver.complete() {
		t.Fatal("the copy was not taken")
	}
	if operators, list := receiver.Ages(); operators < delay || list < delay {
		t.Errorf("ages %v and %v of a copy that was %v on the way", operators, list, delay)
	}
}
