package lease

import (
	"fmt"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// newOwner returns the state of host a, the only member of its data centre and the owner of n upstreams, at a time when
// its pledges to itself count. Host b of another data centre can request slots from it.
func newOwner(n int) (*State, time.Duration) {
	table := member.New(0, member.Settings{Host: "a", Incarnation: 1, DataCentre: "a"})
	table.SetList(0, []member.Entry{{Host: "a", DataCentre: "a"}, {Host: "b", DataCentre: "b"}})
	s := New(0, Settings{Host: "a", Incarnation: 1, DataCentre: "a"}, table)
	var ups []Upstream
	for i := range n {
		ups = append(ups, Upstream{ID: ident.UpstreamID(fmt.Sprint("u", i)), DataCentre: "a", Slots: 4, Deadline: time.Second})
	}
	s.SetUpstreams(0, ups)
	now := time.Duration(0)
	for ; now < 4*time.Second; now += 50 * ms {
		s.Outbox(now)
	}
	table.Receive(now, "b", 2, &member.Heartbeat{Seq: 1, DataCentre: "b", To: 1})
	return s, now
}

func makeDemands(s *State, n, want int) []Demand {
	var out []Demand
	for i := range n {
		out = append(out, Demand{Upstream: s.upstreamOrder[i].ID, Epoch: 1, Want: want})
	}
	return out
}

// requestSlots passes a request of host b to the owner and returns the owner's grant, nil if there is none.
func requestSlots(s *State, now time.Duration, seq uint64, demands []Demand) *SlotGrant {
	s.HandleRequest(now, "b", 2, &SlotRequest{Owner: 1, Seq: seq, SentAt: now, Upstreams: demands})
	for _, m := range s.Outbox(now) {
		if m.Grant != nil {
			return m.Grant
		}
	}
	return nil
}

// BenchmarkStart measures the start of a request on a slot that the host holds.
func BenchmarkStart(b *testing.B) {
	s, now := newOwner(1)
	s.SetWanted(now, "u0", 1)
	s.Outbox(now)
	if s.FreeSlots(now, "u0") == 0 {
		b.Fatal("the owner granted no slot to itself")
	}
	h := &s.upstreams["u0"].asHolder
	b.ReportAllocs()
	for b.Loop() {
		s.Start(now, "u0", now+time.Second)
		h.inFlight--
	}
}

// BenchmarkRequest measures an owner's handling of one slot request with demands for n upstreams, and its grant.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{30, 120, 480, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now := newOwner(n)
			demands := makeDemands(s, n, 1)
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				now += time.Microsecond
				requestSlots(s, now, seq, demands)
			}
		})
	}
}
