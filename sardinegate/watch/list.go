package watch

import (
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// upstreamStream follows the list of upstreams.
func (w *Watcher) upstreamStream() stream {
	return stream{
		name:     "upstreams",
		of:       fleet.Upstreams,
		position: func() int64 { _, p := w.Positions(); return p },
		age:      func() time.Duration { _, age := w.Ages(); return age },
		replace:  w.replaceList,
		apply: func(asOf time.Duration, from, to int64, records []fleet.Record) {
			changes := w.changes(records)
			if w.applyList(asOf, from, to, changes) {
				w.deps.Node.Broadcast(&mesh.Message{List: &mesh.ListChanges{Span: mesh.Span{From: from, To: to, Age: w.now() - asOf}, Changes: changes}})
			}
		},
		has:  func() bool { return w.View().Listed },
		tick: w.expire,
	}
}

func (w *Watcher) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list.Expire(w.now()) {
		w.deps.Log.Info("lapsed upstreams removed")
		w.publishList()
	}
}

// publishList makes the list part of the view. The mutex is held.
func (w *Watcher) publishList() { w.publish(w.view.Load().WithUpstreams(w.list.Entries())) }

// replaceList takes over the newest entries. The mutex is held.
func (w *Watcher) replaceList(asOf time.Duration, to int64, records []fleet.Record) {
	var entries []fleet.Upstream
	for _, r := range records {
		u, err := w.deps.Source.DecodeUpstream(r)
		if err != nil {
			w.deps.Log.Warn("entry not used", "upstream", r.Key, "error", err)
			continue
		}
		entries = append(entries, u)
	}
	w.list.Replace(w.now(), asOf, to, entries, w.afterOutage())
	w.deps.Log.Info("list of upstreams read", "upstreams", len(entries), "offset", to)
	w.publishList()
}

// changes reduces records to the last difference of each upstream. The mutex is held.
func (w *Watcher) changes(records []fleet.Record) []fleet.Change {
	lapsed := w.afterOutage()
	last := make(map[string]fleet.Change)
	var order []string
	for _, r := range records {
		if r.Key == "" {
			w.deps.Log.Warn("entry not used", "reason", "no key")
			continue
		}
		if _, ok := last[r.Key]; !ok {
			order = append(order, r.Key)
		}
		if len(r.Value) == 0 {
			last[r.Key] = fleet.Change{ID: r.Key, Lapsed: lapsed}
			continue
		}
		u, err := w.deps.Source.DecodeUpstream(r)
		if err != nil {
			w.deps.Log.Warn("entry not used", "upstream", r.Key, "error", err)
			last[r.Key] = fleet.Change{ID: r.Key}
			continue
		}
		last[r.Key] = fleet.Change{ID: r.Key, Upstream: &u}
	}
	var changes []fleet.Change
	for _, id := range order {
		c := last[id]
		known, listed := w.list.Get(id)
		if c.Upstream == nil && !listed || c.Upstream != nil && listed && known.EqualForRouting(*c.Upstream) && !w.list.Lapsing(id) {
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// applyList takes over the changes of a span and reports whether the known position lies in it. The mutex is held.
func (w *Watcher) applyList(asOf time.Duration, from, to int64, changes []fleet.Change) bool {
	if !w.list.Apply(w.now(), asOf, from, to, changes) {
		return false
	}
	for _, c := range changes {
		w.logChange(c)
	}
	if len(changes) > 0 {
		w.publishList()
	}
	return true
}

func (w *Watcher) logChange(c fleet.Change) {
	if c.Upstream == nil {
		w.deps.Log.Info("upstream removed", "upstream", c.ID, "lapsed", c.Lapsed, "offset", w.list.Offset)
		return
	}
	u := c.Upstream
	w.deps.Log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "address", u.Address,
		"leaving", u.State == fleet.Leaving, "started", u.Started, "offset", w.list.Offset)
}
