package lease

import (
	"fmt"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// ownerOf returns the state of a lone host that owns n upstreams, after its first pledges count.
func ownerOf(n int) (*State, time.Duration) {
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

func demands(s *State, n, want int) []Demand {
	var out []Demand
	for i := range n {
		out = append(out, Demand{Upstream: s.order[i].ID, Epoch: 1, Want: want})
	}
	return out
}

// serve handles one request of host b and returns the grant.
func serve(s *State, now time.Duration, seq uint64, lines []Demand) *Grant {
	s.Request(now, "b", 2, &Request{Owner: 1, Seq: seq, SentAt: now, Upstreams: lines})
	for _, m := range s.Outbox(now) {
		if m.Grant != nil {
			return m.Grant
		}
	}
	return nil
}

func BenchmarkStart(b *testing.B) {
	s, now := ownerOf(1)
	s.Want(now, "u0", 1)
	s.Outbox(now)
	if s.Free(now, "u0") == 0 {
		b.Fatal("no slot")
	}
	c := &s.units["u0"].claim
	b.ReportAllocs()
	for b.Loop() {
		s.Start(now, "u0", now+time.Second)
		c.inFlight--
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{30, 120, 480, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now := ownerOf(n)
			lines := demands(s, n, 1)
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				now += time.Microsecond
				serve(s, now, seq, lines)
			}
		})
	}
}
