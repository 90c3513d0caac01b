package runner

import (
	"log/slog"
	"sync"
	"time"

	"sardinecross.example/lib/core"
)

// carryOut carries out one effect without blocking. r.effectMu must be held.
func (r *Runner) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.StartAttempt:
		r.startAttempt(e)
	case core.CancelAttempt:
		r.cancelAttempt(e)
	case core.Deliver:
		r.deliver(e)
	case core.Replay:
		r.notify(e.ID, e)
	case core.Refuse:
		r.deps.Metrics.CountRefusal(string(e.Reason))
		r.notify(e.ID, e)
	case core.Relay:
		r.notify(e.ID, e)
	case core.DeliverID:
		r.notify(e.ID, e)
	case core.SendPeer:
		r.deps.Links.Send(e.To, e.Message)
	case core.ConnectPeers:
		r.deps.Links.SetPeers(e.Hosts)
	case core.ReadLog:
		r.spawn(func() { r.readLog(e) })
	case core.Append:
		r.spawn(func() { r.appendRecord(e) })
	case core.ReadHostList:
		r.spawn(r.readHostList)
	case core.Probe:
		r.spawn(func() { r.probe(e) })
	case core.Notice:
		r.logNotice(e)
	case core.Stop:
		r.stopOnce.Do(func() { close(r.stopped) })
	}
}

const (
	// noticeInterval and noticeBurst limit the log to noticeBurst notices with the same name in each interval, because a
	// failing upstream can cause a notice for each request.
	noticeInterval = time.Second
	noticeBurst    = 5
)

// logLimiter counts the notices with each name in the current interval.
type logLimiter struct {
	mu sync.Mutex
	// intervalStart is a time on the reducer's clock.
	intervalStart time.Duration
	counts        map[string]int
}

// allow counts a notice and reports whether it may be logged. The first call in an interval also returns, for each name,
// the number of notices that were omitted in the interval before it.
func (n *logLimiter) allow(now time.Duration, name string) (bool, map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var omitted map[string]int
	if n.counts == nil || now-n.intervalStart >= noticeInterval {
		for k, c := range n.counts {
			if c > noticeBurst {
				if omitted == nil {
					omitted = make(map[string]int)
				}
				omitted[k] = c - noticeBurst
			}
		}
		n.intervalStart, n.counts = now, make(map[string]int)
	}
	n.counts[name]++
	return n.counts[name] <= noticeBurst, omitted
}

// logNotice logs a notice unless its name has reached the limit, and reports how many notices were omitted before it.
func (r *Runner) logNotice(e core.Notice) {
	ok, omitted := r.logLimiter.allow(r.Now(), e.Name)
	for name, n := range omitted {
		r.deps.Logger.Info("log lines omitted", "name", name, "count", n)
	}
	if !ok {
		return
	}
	level := slog.LevelInfo
	if e.Warn {
		level = slog.LevelWarn
	}
	if !r.deps.Logger.Enabled(r.ctx, level) {
		return
	}
	attrs := make([]slog.Attr, 0, len(e.Attrs))
	for _, a := range e.Attrs {
		attrs = append(attrs, slog.String(a.Key, a.Value))
	}
	r.deps.Logger.LogAttrs(r.ctx, level, e.Name, attrs...)
}
