package runner

import (
	"log/slog"
	"sync"
	"time"

	"sardinecross.example/lib/core"
)

// carryOut carries out one effect without blocking; it requires effectMu.
func (r *Runner) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.StartAttempt:
		r.startAttempt(e)
	case core.CancelAttempt:
		r.cancelAttempt(e)
	case core.Deliver:
		r.deliver(e)
	case core.Replay:
		r.post(e.ID, e)
	case core.Refuse:
		r.deps.Metrics.CountRefusal(string(e.Reason))
		r.post(e.ID, e)
	case core.Relay:
		r.post(e.ID, e)
	case core.DeliverID:
		r.post(e.ID, e)
	case core.SendPeer:
		r.deps.Links.Send(e.To, e.Message)
	case core.ConnectPeers:
		r.deps.Links.SetPeers(e.Hosts)
	case core.ReadLog:
		r.spawn(func() { r.readLog(e) })
	case core.Append:
		r.spawn(func() { r.append(e) })
	case core.ReadHostList:
		r.spawn(r.readHostList)
	case core.Probe:
		r.spawn(func() { r.probe(e) })
	case core.Notice:
		r.notice(e)
	case core.Stop:
		r.stopOnce.Do(func() { close(r.stopped) })
	}
}

const (
	// noticeInterval and noticeBurst bound the log lines of one name: a failing upstream can cause a notice for each request.
	noticeInterval = time.Second
	noticeBurst    = 5
)

// notices counts the log lines of each name in the current interval.
type notices struct {
	mu     sync.Mutex
	since  time.Duration
	counts map[string]int
}

// admit reports whether one more line may be written, and how many of each name were left out in the interval before.
func (n *notices) admit(now time.Duration, name string) (bool, map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var omitted map[string]int
	if n.counts == nil || now-n.since >= noticeInterval {
		for k, c := range n.counts {
			if c > noticeBurst {
				if omitted == nil {
					omitted = make(map[string]int)
				}
				omitted[k] = c - noticeBurst
			}
		}
		n.since, n.counts = now, make(map[string]int)
	}
	n.counts[name]++
	return n.counts[name] <= noticeBurst, omitted
}

func (r *Runner) notice(e core.Notice) {
	ok, omitted := r.notices.admit(r.Now(), e.Name)
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
