package core

import (
	"fmt"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

// size is the size of a deployment; upstreams and hosts are spread over three data centres.
type size struct{ upstreams, hosts, services int }

var sizes = []size{{30, 13, 3}, {120, 60, 6}, {480, 150, 24}, {1200, 300, 58}}

var benchDataCentres = []ident.DataCentre{"passau", "landshut", "straubing"}

// newSite returns a host of a large site that holds enough slots to start requests at once.
func newSite(b *testing.B, z size) *testHost {
	cfg := testSettings()
	cfg.DataCentres = benchDataCentres
	cfg.Services = map[ident.ServiceName]Service{}
	h := newHostWith(b, cfg, 0)
	for i := range z.services {
		name := ident.ServiceName(fmt.Sprintf("service%d", i))
		cfg.Services[name] = Service{Slots: 4, ColdSlots: 4}
		class := conf.Class{Service: name, Target: 50 * ms, Deadline: time.Second, Rank: 1, Idempotent: true}
		h.publish(conf.ClassItem(benchClass(i)), conf.Value{Class: class})
	}
	h.s = New(cfg)
	h.now = 0
	for i := range z.hosts - 1 {
		h.addPeer(fmt.Sprintf("host%d", i), benchDataCentres[(i+1)%3])
	}
	for i := range z.upstreams {
		e := upstreamEntry(i, benchDataCentres[i/z.services%3])
		e.Service = ident.ServiceName(fmt.Sprintf("service%d", i%z.services))
		h.entries = append(h.entries, e)
	}
	h.run(settle)
	for i := range 4 * z.services {
		id := h.arrive(RequestArrived{Class: benchClass(i % z.services)})
		h.run(20 * ms)
		h.serve(id, 1)
	}
	h.takeEffects()
	return h
}

func benchClass(i int) ident.ClassName { return ident.ClassName(fmt.Sprintf("class%d", i)) }

// BenchmarkRequest measures the three steps of one request that finds a free slot, without advancing the clock.
func BenchmarkRequest(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d/hosts=%d", z.upstreams, z.hosts), func(b *testing.B) {
			h := newSite(b, z)
			s := h.s
			class := benchClass(0)
			id := ident.RequestID(1 << 32)
			request := func() {
				id++
				s.Step(h.now, uint64(id), RequestArrived{ID: id, Class: class, Replayable: true})
				if s.requests[id] == nil || s.requests[id].runningAttempts() != 1 {
					b.Fatal("the request did not start")
				}
				s.Step(h.now, uint64(id), AttemptAnswered{ID: id, Attempt: 1, Status: 200, FirstByte: ms})
				s.Step(h.now, uint64(id), AttemptEnded{ID: id, Attempt: 1, Outcome: OutcomeComplete, Duration: ms})
			}
			for warm := h.arrive(RequestArrived{Class: class}); s.requests[warm].runningAttempts() == 0; {
				h.run(5 * ms)
			}
			h.serve(h.nextID, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				request()
			}
		})
	}
}

// BenchmarkInterval measures one heartbeat interval of one host without requests, including the work of the fake
// peers.
func BenchmarkInterval(b *testing.B) {
	for _, z := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d/hosts=%d", z.upstreams, z.hosts), func(b *testing.B) {
			h := newSite(b, z)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				h.run(100 * ms)
			}
		})
	}
}
