package watch

import (
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// upstreamStream returns the stream that holds the list of upstreams.
func (w *Watcher) upstreamStream() stream {
	return stream{
		name:     "upstreams",
		id:       fleet.Upstreams,
		position: func() fleet.Position { _, p := w.Progress(); return p.Position },
		age:      func() time.Duration { _, age := w.Ages(); return age },
		replace:  w.replaceList,
		apply:    w.applyListRecords,
		loaded:   func() bool { return w.View().Listed },
		expire:   w.expire,
	}
}

// applyListRecords applies the records between the positions from and to that this host has read, and sends the changes to
// the other hosts, unless there are none and another host has told them of its own read meanwhile. It does nothing if the
// known position is not between from and to. w.mu must be held.
func (w *Watcher) applyListRecords(asOf time.Duration, from, to fleet.Position, records []fleet.Record) {
	position := w.list.Position
	if to.Era != position.Era || from.After(position) || position.After(to) {
		return
	}
	// The changes are those to the list at its present position, which a span of another host may have moved during the
	// read. The span that is sent must not begin earlier: a host there would miss the changes before the position.
	changes := w.effectiveChanges(asOf, records[position.Offset-from.Offset:])
	toldByOther := asOf-w.list.Reads.Last < minReadAge
	w.applyListChanges(fleet.ReadAt(asOf), position, to, changes)
	if len(changes) > 0 || !toldByOther {
		w.sendListChanges(asOf, position, to, changes)
	}
}

// sendListChanges sends the changes that this host read between the positions from and to to all live hosts. w.mu must be
// held.
func (w *Watcher) sendListChanges(asOf time.Duration, from, to fleet.Position, changes []fleet.Change) {
	if len(changes) > 0 {
		w.deps.Log.Info("changes of upstreams sent", "era", to.Era, "from", from.Offset, "to", to.Offset, "changes", len(changes))
	}
	w.deps.Node.Broadcast(&mesh.Message{ListChanges: w.listSpan(asOf, from, to, changes)})
}

// listSpan returns the changes between the positions from and to as a message. The read that confirmed to was sent at asOf.
// w.mu must be held.
func (w *Watcher) listSpan(asOf time.Duration, from, to fleet.Position, changes []fleet.Change) *mesh.ListChanges {
	return &mesh.ListChanges{
		Span:    mesh.NewSpan(from, to, w.now()-asOf),
		Changes: changes,
		Digest:  w.list.Digest(),
		Reads:   max(asOf-w.list.Reads.First, 0),
	}
}

// handleListChanges applies the changes that another host has read and sent. w.mu must be held.
func (w *Watcher) handleListChanges(host string, l *mesh.ListChanges) {
	position := w.list.Position
	w.countGap(l.Span, position)
	last := w.now() - l.Span.Age
	reads := fleet.ReadsBetween(last-l.Reads, last)
	w.correctReads(host, reads)
	if !w.applyListChanges(reads, l.Span.Start(), l.Span.End(), l.Changes) {
		return
	}
	if len(l.Changes) > 0 {
		w.deps.Log.Info("changes of upstreams received", "host", host, "era", position.Era, "position", position.Offset, "from", l.Span.From, "to", l.Span.To,
			"changes", len(l.Changes), "ageMs", l.Span.Age.Milliseconds())
	}
	if l.Digest != w.list.Digest() {
		w.ListDifferences.Add(1)
		w.deps.Log.Warn("list of upstreams differs from another host's", "host", host, "era", position.Era, "position", position.Offset, "from", l.Span.From,
			"to", l.Span.To, "changes", len(l.Changes))
	}
}

// expire removes lapsed upstreams whose grace period has passed, and uses the entries that were kept from use after the store was
// restored.
func (w *Watcher) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLapsed()
}

// expireLapsed is expire with w.mu held.
func (w *Watcher) expireLapsed() {
	if w.list.Expire(w.now()) {
		w.deps.Log.Info("lapsed upstreams removed", "era", w.list.Position.Era, "offset", w.list.Position.Offset)
		w.publishList()
	}
}

// publishList publishes a view with the current list of upstreams. w.mu must be held.
func (w *Watcher) publishList() { w.publish(w.view.Load().WithUpstreams(w.list.Entries())) }

// replaceList replaces the list by the newest records of all upstreams as of position to. It fails with a StaleError if the
// list is beyond that position. w.mu must be held.
func (w *Watcher) replaceList(asOf time.Duration, to fleet.Position, records []fleet.Record) error {
	if w.list.Position.After(to) {
		return &StaleError{Have: w.list.Position, Got: to}
	}
	var entries []fleet.Upstream
	for _, r := range records {
		u, err := w.deps.Source.DecodeUpstream(r)
		if err != nil {
			w.deps.Log.Warn("entry not used", "upstream", r.Key, "error", err)
			continue
		}
		entries = append(entries, u)
	}
	w.list.Replace(w.now(), fleet.ReadAt(asOf), to, entries)
	w.deps.Log.Info("list of upstreams read", "upstreams", len(entries), "era", to.Era, "offset", to.Offset)
	w.publishList()
	return nil
}

// effectiveChanges returns the last change of each upstream that has a record which differs from the one before. An
// upstream whose last record restores what was recorded is included, because a host between the positions of the records
// holds something else. The records come from a read that was sent at asOf. w.mu must be held.
func (w *Watcher) effectiveChanges(asOf time.Duration, records []fleet.Record) []fleet.Change {
	last := make(map[string]fleet.Change)
	var changed []string
	for _, r := range records {
		if r.Key == "" {
			w.deps.Log.Warn("entry not used", "reason", "no key")
			continue
		}
		c := w.decodeChange(asOf, r)
		if _, ok := last[r.Key]; !ok {
			if w.list.Holds(c) {
				continue
			}
			changed = append(changed, r.Key)
		}
		last[r.Key] = c
	}
	changes := make([]fleet.Change, 0, len(changed))
	for _, id := range changed {
		changes = append(changes, last[id])
	}
	return changes
}

// decodeChange returns the change that a record makes to the list. A record that cannot be used removes its upstream.
// w.mu must be held.
func (w *Watcher) decodeChange(asOf time.Duration, r fleet.Record) fleet.Change {
	if len(r.Value) == 0 {
		return fleet.Change{ID: r.Key, Lapsed: w.list.Lapses(w.now(), asOf)}
	}
	u, err := w.deps.Source.DecodeUpstream(r)
	if err != nil {
		w.deps.Log.Warn("entry not used", "upstream", r.Key, "error", err)
		return fleet.Change{ID: r.Key}
	}
	return fleet.Change{ID: r.Key, Upstream: &u}
}

// applyListChanges applies the changes between the positions from and to, which the last of the given reads found. It returns
// false and changes nothing if the known position is not between them. w.mu must be held.
func (w *Watcher) applyListChanges(reads fleet.Reads, from, to fleet.Position, changes []fleet.Change) bool {
	before := w.list.Reads
	if !w.list.Apply(w.now(), reads, from, to, changes) {
		return false
	}
	w.logOutage(before)
	for _, c := range changes {
		w.logChange(c)
	}
	if len(changes) > 0 {
		w.publishList()
	}
	return true
}

// logChange logs a change of the list of upstreams. w.mu must be held.
func (w *Watcher) logChange(c fleet.Change) {
	if c.Upstream == nil {
		w.deps.Log.Info("upstream removed", "upstream", c.ID, "lapsed", w.list.Lapsing(c.ID),
			"era", w.list.Position.Era, "offset", w.list.Position.Offset)
		return
	}
	u := c.Upstream
	w.deps.Log.Info("upstream listed", "upstream", u.ID, "service", u.Service, "address", u.Address,
		"leaving", u.State == fleet.Leaving, "started", u.Started, "report", u.ReportNumber,
		"era", w.list.Position.Era, "offset", w.list.Position.Offset)
}
