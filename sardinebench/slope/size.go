package slope

import (
	"fmt"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/order"
	"sardinecross.example/sardinebench/trial"
)

// slopeHeartbeatIntervals measures the cost of the heartbeat interval. Hosts count as unreachable after 600 ms without a
// message, so intervals above 250 ms are not measured.
func slopeHeartbeatIntervals(t *trial.T) {
	s := series{t: t, unit: "heartbeats/s"}
	for _, interval := range []time.Duration{100, 133, 167, 250} {
		interval *= time.Millisecond
		t.Run(interval.String(), func(t *trial.T) {
			m := startMeasuredSiteWithTiming(t, layoutOfSize(2, 8, 32), map[string]any{"heartbeat": interval.String()})
			s.addPoint(float64(time.Second)/float64(interval), m.measure(nil))
		})
	}
	s.fit()
}

// slopeRecordSizes measures the records whose size grows with the site.
func slopeRecordSizes(t *trial.T) {
	t.Run("checkpoint", func(t *trial.T) {
		fitSizes(t, "items", []int{60, 120, 300, 1200}, func(n int) int { return len(storeWithUpstreams(t, n).Checkpoint()) })
	})
	t.Run("claims", func(t *trial.T) {
		fitSizes(t, "keys", []int{1, 16, 64, 256}, func(n int) int { return len(claimRecord(t, n)) })
	})
}

// fitSizes prints the size in bytes for each n in sizes and the least squares line through these points.
func fitSizes(t *trial.T, unit string, sizes []int, size func(int) int) {
	var x, y []float64
	for _, n := range sizes {
		bytes := size(n)
		t.Logf("POINT %d %s; %d B", n, unit, bytes)
		x, y = append(x, float64(n)), append(y, float64(bytes))
	}
	slope, at0, r2, stderr := leastSquares(x, y)
	t.Logf("FIT B = %.4g + %.4g x %s  (R2 %.3f, standard error of the slope %.2g)", at0, slope, unit, r2, stderr)
}

// storeWithUpstreams returns a store that has applied one proposal for each of n upstreams.
func storeWithUpstreams(t *trial.T, n int) *conf.Store {
	t.Helper()
	s := conf.NewStore()
	for i := range n {
		data, err := conf.NewProposal(conf.Proposal{
			ID:   conf.ProposalID(fmt.Sprintf("%032d", i)),
			Item: conf.UpstreamItem(ident.UpstreamID(fmt.Sprintf("booking-alpha-%d", i))),
			Base: conf.NoVersion, Value: conf.Value{Out: true},
		})
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(conf.Batch{Records: []conf.Record{{Offset: int64(i), Data: data}}, Next: int64(i + 1)})
	}
	return s
}

// claimRecord returns a log record that claims n idempotency keys of 36 characters, the length of a UUID, for one class
// and tenant.
func claimRecord(t *trial.T, n int) []byte {
	t.Helper()
	b := order.NewDeduplicator(1<<62, order.Limits{KeyLifetime: time.Minute})
	for i := range n {
		b.Begin(0, order.Request{ID: ident.RequestID(i + 1), Key: fmt.Sprintf("orders\x00tenant1\x00%036d", i), Deadline: time.Second})
	}
	a, ok := b.PrepareAppend(time.Second/2, 1)
	if !ok {
		t.Fatal("no claims to append")
	}
	return a.Data
}
