package runner

import (
	"context"
	"errors"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/roster"
)

const (
	// readTimeout bounds a read of the log or the host list. It is below the 3 s after which a configuration is
	// stale, so that a second read can still succeed in time.
	readTimeout = time.Second
	// appendTimeout bounds an append. It is longer than readTimeout, because after a timeout it is not known whether the
	// log applied the append.
	appendTimeout = 3 * time.Second
)

func (r *Runner) readLog(e core.ReadLog) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	sentAt := r.Now()
	r.deps.Metrics.LogReads.Inc(1)
	batch, err := r.deps.Log.Read(ctx, string(e.Stream), e.From, 0)
	if err != nil {
		r.deps.Metrics.LogReadErrors.Inc(1)
		r.Step(core.LogReadFailed{Stream: e.Stream})
		return
	}
	records := make([]core.Record, len(batch.Records))
	for i, rec := range batch.Records {
		records[i] = core.Record{Offset: rec.Offset, Data: rec.Data}
	}
	r.Step(core.LogRead{
		Stream:  e.Stream,
		From:    e.From,
		Records: records,
		First:   batch.First,
		Next:    batch.Next,
		SentAt:  sentAt,
	})
}

func (r *Runner) appendRecord(e core.Append) {
	ctx, cancel := context.WithTimeout(r.ctx, appendTimeout)
	defer cancel()
	r.deps.Metrics.LogAppends.Inc(1)
	offset, err := r.deps.Log.Append(ctx, string(e.Stream), e.Data)
	event := core.AppendEnded{Stream: e.Stream, AppendID: e.AppendID, Answered: err == nil, Offset: offset}
	var notApplied *applog.NotAppliedError
	if errors.As(err, &notApplied) {
		event.NotApplied = true
	}
	r.Step(event)
}

func (r *Runner) readHostList() {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	list, err := r.deps.HostList.Read(ctx)
	if err != nil {
		r.deps.Metrics.HostListErrors.Inc(1)
		r.Step(core.HostListFailed{})
		return
	}
	entries := make([]core.HostEntry, len(list))
	for i, e := range list {
		entries[i] = toHostEntry(e)
	}
	r.Step(core.HostListRead{Entries: entries})
}

func toHostEntry(e roster.Entry) core.HostEntry {
	role := core.RoleUpstream
	if e.Role == roster.RoleHost {
		role = core.RoleHost
	}
	return core.HostEntry{
		ID:          e.ID,
		Role:        role,
		Service:     e.Service,
		DataCentre:  e.DataCentre,
		Address:     e.Address,
		PeerAddress: e.PeerAddress,
		Leaving:     e.Leaving(),
	}
}

func (r *Runner) probe(e core.Probe) {
	r.deps.Metrics.UpstreamProbes.Inc(1)
	report, err := r.deps.Upstreams.Probe(r.ctx, e.Address)
	r.Step(core.ProbeEnded{Upstream: e.Upstream, OK: err == nil, Report: report})
}

// PeerMessage passes a message from the given incarnation of another host to the reducer.
func (r *Runner) PeerMessage(from ident.HostID, incarnation ident.Incarnation, m core.Message) {
	r.Step(core.PeerMessage{From: from, Incarnation: incarnation, Message: m})
}
