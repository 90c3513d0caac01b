package hosts

import (
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sardinecross.example/lib/roster"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const newUpstream = `{"id":"b","role":"upstream","service":"booking","dataCentre":"passau","address":"127.0.2.1:80"}`

// Guards against changes that are visible too early or never: a change must not be visible before the lag has passed and
// must be visible after it. Invalid changes must be rejected, and reads must fail while the list is down.
func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	var now atomic.Int64
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	host := Entry{
		ID: "a", Role: "host", DataCentre: "passau", State: "live",
		Address: netip.MustParseAddrPort("127.0.1.1:80"), PeerAddress: netip.MustParseAddrPort("127.0.1.1:90"),
	}
	l, err := start(Settings{Listen: any0, Control: any0, Lag: time.Second, Entries: []Entry{host}},
		func() time.Time { return time.Unix(now.Load(), 0) })
	if err != nil {
		t.Fatal(err)
	}
	c := roster.New(l.servers.Data.Addr().String())
	t.Cleanup(func() { c.Close(); l.Close() })
	assertStates := func(want string) {
		t.Helper()
		entries, err := c.Read(t.Context())
		got := []string{}
		for _, e := range entries {
			got = append(got, e.ID+" "+string(e.State))
		}
		if err != nil || strings.Join(got, ", ") != want || c.Skipped() != 0 {
			t.Fatalf("entries %v, %v; want %s", got, err, want)
		}
	}
	control := func(body string, status int) {
		t.Helper()
		resp, err := http.Post("http://"+l.servers.Control.Addr().String()+"/control", "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		if resp.StatusCode != status {
			t.Fatalf("control %s: status %d, want %d", body, resp.StatusCode, status)
		}
	}
	assertStates("a live")
	control(`{"set": [{"id": "a", "state": "leaving"}]}`, 204)
	assertStates("a live")
	now.Add(1)
	assertStates("a leaving")
	control(`{"add": [`+newUpstream+`], "lag": "0s"}`, 204)
	assertStates("a leaving, b live")
	control(`{"set": [{"dataCentre": "passau", "state": "live"}]}`, 204)
	assertStates("a live, b live")
	control(`{"set": [{"service": "booking", "state": "removed"}]}`, 204)
	assertStates("a live")
	control(`{"set": [{"id": "a", "state": "gone"}]}`, 400)
	control(`{"add": [`+strings.Replace(newUpstream, `"service":"booking",`, "", 1)+`]}`, 400)
	control(`{"down": true}`, 204)
	if _, err := c.Read(t.Context()); err == nil {
		t.Error("read succeeded while down")
	}
}
