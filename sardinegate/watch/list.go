package watch

import (
	"context"
	"net/netip"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// rank is this host's place among the hosts that are alive.
func (w *Watcher) rank() int {
	rank := 0
	for _, m := range w.deps.Node.Alive() {
		if m.Host < w.deps.Host {
			rank++
		}
	}
	return rank
}

// watchList reads the list of upstreams whenever no other host has told a newer one in time.
func (w *Watcher) watchList(ctx context.Context) {
	failures := 0
	for known := false; ctx.Err() == nil; {
		w.expire()
		if known && w.Age() < listEvery+time.Duration(w.rank())*listStep {
			if !pause.For(ctx, listTick) {
				return
			}
			continue
		}
		var err error
		if known {
			known, err = w.readList(ctx)
		} else {
			err = w.newestList(ctx)
			known = err == nil
		}
		if err == nil {
			failures = 0
			continue
		}
		if !known {
			known = w.copyList(ctx)
		}
		if !pause.For(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

// copyList takes over the list from another host and reports whether there is one now.
func (w *Watcher) copyList(ctx context.Context) bool {
	for _, m := range w.deps.Node.Alive() {
		if !m.Ready {
			continue
		}
		if err := w.copyFrom(ctx, m); err != nil {
			w.deps.Log.Warn("knowledge not copied", "host", m.Host, "error", err)
			continue
		}
		return w.View().Listed
	}
	return false
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

// afterOutage reports whether removals may only reflect an outage of the store. The mutex is held.
func (w *Watcher) afterOutage() bool { return w.now()-w.failed < outageMemory }

func (w *Watcher) newestList(ctx context.Context) error {
	asOf := w.now()
	records, end, err := w.deps.Source.Newest(ctx, fleet.Upstreams)
	w.called(ctx, "newest upstreams", err)
	if err != nil {
		return err
	}
	var entries []fleet.Upstream
	for _, r := range records {
		u, err := w.deps.Source.Upstream(r)
		if err != nil {
			w.deps.Log.Warn("entry not used", "upstream", r.Key, "error", err)
			continue
		}
		entries = append(entries, u)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if end < w.list.Offset {
		return &StaleError{Have: w.list.Offset, Got: end}
	}
	w.list.Replace(w.now(), asOf, end, entries, w.afterOutage())
	w.publishList()
	return nil
}

func (w *Watcher) readList(ctx context.Context) (known bool, err error) {
	w.mu.Lock()
	from := w.list.Offset
	w.mu.Unlock()
	asOf := w.now()
	records, next, err := w.deps.Source.Read(ctx, fleet.Upstreams, from, 0)
	if isGap(err) {
		w.called(ctx, "upstreams", nil)
		w.deps.Log.Info("records of upstreams were deleted", "from", from)
		return false, nil
	}
	w.called(ctx, "upstreams", err)
	if err != nil {
		return true, err
	}
	w.mu.Lock()
	changes := w.changes(records)
	applied := w.apply(asOf, from, next, changes)
	w.mu.Unlock()
	if applied {
		w.deps.Node.Broadcast(&mesh.Message{List: &mesh.ListChanges{From: from, To: next, Age: w.now() - asOf, Changes: changes}})
	}
	return true, nil
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
		u, err := w.deps.Source.Upstream(r)
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
		if c.Upstream == nil && !listed || c.Upstream != nil && listed && known.Same(*c.Upstream) && !w.list.Lapsing(id) {
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// apply takes over changes and reports whether the list reached their start. The mutex is held.
func (w *Watcher) apply(asOf time.Duration, from, to int64, changes []fleet.Change) bool {
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

// Handle takes the messages that concern the list.
func (w *Watcher) Handle(m *mesh.Message) {
	if m.List == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.Load().Listed {
		w.apply(w.now()-m.List.Age, m.List.From, m.List.To, m.List.Changes)
	}
}

// announce makes this host and the others known to each other.
func (w *Watcher) announce(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := w.deps.Source.Write(ctx, fleet.Hosts, fleet.Record{Key: w.deps.Host, Value: []byte(w.deps.IP.String())})
		w.called(ctx, "announce host", err)
		var records []fleet.Record
		if err == nil {
			records, _, err = w.deps.Source.Newest(ctx, fleet.Hosts)
			w.called(ctx, "hosts", err)
		}
		if err == nil {
			w.introduce(records)
			return
		}
		if !pause.For(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

func (w *Watcher) introduce(records []fleet.Record) {
	for _, r := range records {
		ip, err := netip.ParseAddr(string(r.Value))
		if err != nil {
			w.deps.Log.Warn("host entry not used", "host", r.Key, "error", err)
			continue
		}
		w.deps.Node.Introduce(ip)
	}
	w.deps.Node.Beat()
}
