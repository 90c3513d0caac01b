package member

import (
	"slices"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
)

const ms = time.Millisecond

func newTable() *Table {
	t := New(0, Settings{Host: "b", Incarnation: 2, DataCentre: "x"})
	t.SetList(0, []Entry{{Host: "a", DataCentre: "x"}, {Host: "b", DataCentre: "x"}, {Host: "c", DataCentre: "y"}})
	return t
}

func testHeartbeat(seq uint64) *Heartbeat { return &Heartbeat{Seq: seq, DataCentre: "x", To: 2} }

func assertReachable(t *testing.T, table *Table, now time.Duration, id ident.HostID, want bool) {
	t.Helper()
	table.Advance(now)
	if h, ok := table.Get(id); !ok || h.Reachable != want {
		t.Fatalf("%s at %v: %+v, want reachable %v", id, now, h, want)
	}
}

// Guards against a host that counts as reachable after it has sent no heartbeat for Settings.ReachableTimeout.
func TestSilentHostBecomesUnreachable(t *testing.T) {
	table := newTable()
	assertReachable(t, table, 0, "a", false)
	table.Receive(100*ms, "a", 1, testHeartbeat(1))
	assertReachable(t, table, 699*ms, "a", true)
	assertReachable(t, table, 700*ms, "a", false)
}

// Guards against accepting late heartbeats of a former incarnation, and against comparing sequence numbers across a
// restart. A former incarnation is accepted again once the latest one is silent.
func TestFormerIncarnationIsRefused(t *testing.T) {
	table := newTable()
	table.Receive(0, "a", 1, testHeartbeat(9))
	if r := table.Receive(ms, "a", 3, testHeartbeat(1)); !r.Accepted || !r.Restarted {
		t.Fatalf("restart: %+v", r)
	}
	if r := table.Receive(2*ms, "a", 1, testHeartbeat(10)); r.Accepted {
		t.Fatal("former incarnation accepted")
	}
	if r := table.Receive(3*ms, "a", 3, testHeartbeat(1)); r.Accepted {
		t.Fatal("repeated heartbeat accepted")
	}
	if r := table.Receive(time.Second, "a", 1, testHeartbeat(11)); !r.Accepted {
		t.Fatal("former incarnation rejected although the latest one is silent")
	}
}

// Guards against a pledge whose validity counts from a time after the echoed heartbeat was sent, and against using an
// echo that was meant for another incarnation.
func TestEchoYieldsSendTime(t *testing.T) {
	table := newTable()
	table.DueHeartbeats(0)
	table.DueHeartbeats(100 * ms)
	hb := testHeartbeat(1)
	hb.Echo = 1
	if r := table.Receive(150*ms, "a", 1, hb); !r.Echoed || r.EchoedSentAt != 0 {
		t.Fatalf("echo: %+v", r)
	}
	hb = testHeartbeat(2)
	hb.Echo, hb.To = 2, 7
	if r := table.Receive(160*ms, "a", 1, hb); r.Echoed || r.IncarnationMatches {
		t.Fatalf("echo to another incarnation: %+v", r)
	}
	out := table.DueHeartbeats(200 * ms)
	if len(out) != 2 || out[0].Heartbeat.Echo != 2 || out[0].Heartbeat.To != 1 {
		t.Fatalf("due: %+v", out)
	}
}

// Guards against removing a host that is listed, or whose last heartbeat or listing is younger than
// Settings.RemoveAfter.
func TestUnlistedHostIsRemovedAfterTimeout(t *testing.T) {
	table := newTable()
	table.Receive(time.Second, "d", 4, testHeartbeat(1))
	table.SetList(2*time.Second, []Entry{{Host: "b", DataCentre: "x"}})
	for _, c := range []struct {
		at   time.Duration
		want []ident.HostID
	}{
		{9 * time.Second, []ident.HostID{"a", "b", "d"}},
		{10 * time.Second, []ident.HostID{"b", "d"}},
		{11 * time.Second, []ident.HostID{"b"}},
	} {
		table.Advance(c.at)
		if got := table.Members("x"); !slices.Equal(got, c.want) {
			t.Fatalf("at %v: %v, want %v", c.at, got, c.want)
		}
	}
}

// Guards against an isolated host that counts itself as the majority.
func TestMajorityCountsReachableHosts(t *testing.T) {
	table := newTable()
	if table.Majority() {
		t.Fatal("one of three is no majority")
	}
	table.Receive(0, "c", 3, testHeartbeat(1))
	if !table.Majority() {
		t.Fatal("two of three are a majority")
	}
}
