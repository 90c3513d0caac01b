package main

import (
	"fmt"
	"sync/atomic"

	"sardinecross.example/sardinegate/front"
	"sardinecross.example/sardinegate/stats"
)

// newStats returns the metrics of this host.
func (g *gate) newStats() *stats.Collector {
	count := func(n *atomic.Int64) func() float64 { return func() float64 { return float64(n.Load()) } }
	gauges := []stats.Gauge{
		{Name: "store_calls_total", Read: count(&g.watcher.StoreCalls)},
		{Name: "store_calls_failed_total", Read: count(&g.watcher.FailedStoreCalls)},
		{Name: "spans_beyond_gap_total", Read: count(&g.watcher.SpansBeyondGap)},
		{Name: "list_differences_total", Read: count(&g.watcher.ListDifferences)},
		{Name: "store_restores_total", Read: count(&g.watcher.StoreRestores)},
		{Name: "store_era", Read: func() float64 { p, _ := g.watcher.Progress(); return float64(p.Position.Era) }},
		{Name: "configuration_offset", Read: func() float64 { p, _ := g.watcher.Progress(); return float64(p.Position.Offset) }},
		{Name: "upstream_list_offset", Read: func() float64 { _, p := g.watcher.Progress(); return float64(p.Position.Offset) }},
		{Name: "upstream_list_age_seconds", Read: func() float64 { _, age := g.watcher.Ages(); return age.Seconds() }},
		{Name: "configuration_age_seconds", Read: func() float64 { age, _ := g.watcher.Ages(); return age.Seconds() }},
		{Name: "configuration_version", Read: func() float64 {
			if t := g.watcher.View().Routes; t != nil {
				return float64(t.Version)
			}
			return 0
		}},
		{Name: "hosts_alive", Read: func() float64 { return float64(len(g.node.Alive()) + 1) }},
		{Name: "probes_total", Read: count(&g.broker.Probes)},
		{Name: "probe_reports_dropped_total", Read: count(&g.broker.ReportsDropped)},
		{Name: "decisions_alone_total", Read: count(&g.broker.WithoutOwner)},
		{Name: "allowance_granted_total", Read: count(&g.quota.Granted)},
		{Name: "allowance_rejected_total", Read: count(&g.quota.Rejected)},
		{Name: "allowance_as_deputy_total", Read: count(&g.quota.AsDeputy)},
		{Name: "allowance_alone_total", Read: count(&g.quota.Alone)},
		{Name: "rollouts_owned", Read: count(&g.broker.RolloutsOwned)},
		{Name: "rollouts_rolled_back_total", Read: count(&g.broker.RolledBack)},
		{Name: "rollout_state_failures_total", Read: count(&g.broker.StatusFailures)},
		{Name: "explanations_total", Read: count(&g.broker.Explanations)},
		{Name: "explanations_rejected_total", Read: count(&g.broker.ExplanationsRejected)},
		{Name: "upstream_connections_total", Read: count(&g.pool.Dials)},
		{Name: "messages_sent_total", Read: count(&g.node.Sent)},
		{Name: "messages_received_total", Read: count(&g.node.Received)},
		{Name: "messages_invalid_total", Read: count(&g.node.Invalid)},
		{Name: "messages_newer_total", Read: count(&g.node.Newer)},
		{Name: "questions_about_hosts_total", Read: count(&g.node.Asked)},
		{Name: "hosts_heard_by_others_total", Read: count(&g.node.HeardByOthers)},
		{Name: "log_lines_left_out_total", Read: count(&g.logWriter.Dropped)},
		{Name: "listener_connections_closed_total", Read: count(&g.listenerConnsClosed)},
		{Name: "caller_memory_bytes", Read: func() float64 { return float64(g.callerServer.Memory()) }},
		{Name: "caller_connections", Read: func() float64 { n, _ := g.callerServer.Open(); return float64(n) }},
	}
	for _, r := range front.CloseReasons() {
		gauges = append(gauges, stats.Gauge{
			Name: fmt.Sprintf("caller_connections_closed_total{reason=%q}", r.String()),
			Read: func() float64 { return float64(g.callerServer.Closed(r)) },
		})
	}
	return stats.New(gauges...)
}
