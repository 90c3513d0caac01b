package watch

import (
	"maps"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// operatorStream returns the stream that holds the operators' records.
func (w *Watcher) operatorStream() stream {
	return stream{
		name:     "operators' records",
		id:       fleet.Operators,
		position: func() fleet.Position { p, _ := w.Progress(); return p.Position },
		age:      func() time.Duration { age, _ := w.Ages(); return age },
		replace:  w.replaceOperatorRecords,
		apply:    w.applyReadRecords,
		loaded:   func() bool { return w.View().Routes != nil },
		expire:   w.expireOperatorRecords,
	}
}

// applyReadRecords applies the operators' records between the positions from and to that this host has read, and sends those
// to the other hosts that none has sent meanwhile. A host that had no configuration sends nothing: when all hosts start together,
// each reads the first configuration, and hosts without one do not use what they are sent. It does nothing if the known position is
// not between from and to. w.mu must be held.
func (w *Watcher) applyReadRecords(asOf time.Duration, from, to fleet.Position, records []fleet.Record) {
	position, loaded := w.operators.Position, w.view.Load().Routes != nil
	toldByOther := asOf-w.operatorsAsOf < minReadAge
	if !w.applyOperatorSpan(asOf, from, to, records) || !loaded || position == to && toldByOther {
		return
	}
	w.deps.Node.Broadcast(&mesh.Message{OperatorRecords: &mesh.OperatorRecords{
		Span: mesh.NewSpan(position, to, w.now()-asOf), Records: records[position.Offset-from.Offset:],
	}})
}

// replaceOperatorRecords applies the newest records of all keys as of position to. Known keys that are missing from them
// are removed. It fails with a StaleError if the known position is after to. w.mu must be held.
func (w *Watcher) replaceOperatorRecords(asOf time.Duration, to fleet.Position, records []fleet.Record) error {
	if w.operators.Position.After(to) {
		return &StaleError{Have: w.operators.Position, Got: to}
	}
	newest := w.decodeOperatorRecords(records)
	w.confirmOperatorRecords(asOf, w.operators.Replace(w.now(), to, newest))
	return nil
}

// applyOperatorSpan applies the records between the positions from and to, one for each, that are not applied yet. It
// returns false and changes nothing if the known position is not between them, or if records are missing. w.mu must be
// held.
func (w *Watcher) applyOperatorSpan(asOf time.Duration, from, to fleet.Position, records []fleet.Record) bool {
	position := w.operators.Position
	if to.Era != position.Era || from.After(position) || position.After(to) || int64(len(records)) != to.Offset-from.Offset {
		return false
	}
	added := w.decodeOperatorRecords(records[position.Offset-from.Offset:])
	w.confirmOperatorRecords(asOf, w.operators.Apply(w.now(), to, added))
	return true
}

// copyOperatorRecords takes over the operators' records of another host, which a read sent at asOf confirmed. If this host knew more
// before the store was restored, or as much and the other one does not know what was removed, it judges the records of the store itself;
// once the grace of the era has ended, those of the other host hold. w.mu must be held.
func (w *Watcher) copyOperatorRecords(asOf time.Duration, s fleet.OperatorSnapshot) error {
	own := w.operators.Progress
	if own.Position.After(s.Progress.Position) {
		return &StaleError{Have: own.Position, Got: s.Progress.Position}
	}
	known, restored := own.Previous, s.Progress.Position.RestoredSince(own.Position)
	if restored {
		known = own.Position
	}
	graceEnded := restored && s.GraceLeft == 0 && s.Progress.Previous != fleet.Position{}
	knowsMore := known.After(s.Progress.Previous) || known == s.Progress.Previous && !s.Remembers
	if known.Era > 0 && knowsMore && !graceEnded {
		return w.replaceOperatorRecords(asOf, s.Progress.Position, s.Stored())
	}
	inForce, held := w.decodeOperatorRecords(s.InForce), w.decodeOperatorRecords(s.Held)
	w.confirmOperatorRecords(asOf, w.operators.Adopt(w.now(), s.Progress, s.GraceLeft, inForce, held))
	return nil
}

// expireOperatorRecords puts the records in force that were held back after the store was restored and have not been written again.
func (w *Watcher) expireOperatorRecords() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if changed := w.operators.Expire(w.now(), w.operatorsAsOf); len(changed) > 0 {
		w.putInForce(changed)
	}
}

// confirmOperatorRecords records that a read that was sent at asOf confirmed the position, and publishes the view with the records
// that have come into force. w.mu must be held.
func (w *Watcher) confirmOperatorRecords(asOf time.Duration, changed []fleet.OperatorRecord) {
	w.operatorsAsOf = max(w.operatorsAsOf, asOf)
	w.putInForce(changed)
}

// decodeOperatorRecords decodes operators' records and marks those that cannot be used. w.mu must be held.
func (w *Watcher) decodeOperatorRecords(records []fleet.Record) []fleet.OperatorRecord {
	out := make([]fleet.OperatorRecord, 0, len(records))
	for _, r := range records {
		change, err := w.deps.Source.DecodeOperatorChange(r)
		if err != nil {
			w.deps.Log.Error("operators' record not used", "key", r.Key, "error", err)
		}
		out = append(out, fleet.OperatorRecord{Record: w.deps.Source.HideKeys(r), Change: change, Unusable: err != nil})
	}
	return out
}

// removeOperatorRecord returns the record that removes a key. A configuration cannot be removed; its record makes no change and is not
// used.
func (w *Watcher) removeOperatorRecord(key string) fleet.OperatorRecord {
	r := fleet.Record{Key: key}
	change, _ := w.deps.Source.DecodeOperatorChange(r)
	return fleet.OperatorRecord{Record: r, Change: change}
}

// putInForce applies the changes of records that have come into force and publishes the view if it changed. w.mu must be held.
func (w *Watcher) putInForce(records []fleet.OperatorRecord) {
	v := *w.view.Load()
	out := make(map[string]struct{}, len(v.DataCentresOut))
	for dc := range v.DataCentresOut {
		out[dc] = struct{}{}
	}
	v.Orders = maps.Clone(v.Orders)
	changed := v.StoreEra != w.operators.Position.Era
	v.StoreEra = w.operators.Position.Era
	for _, r := range records {
		changed = w.applyOperatorChange(&v, out, r.Change) || changed
	}
	if changed {
		v.DataCentresOut = out
		w.publish(&v)
	}
}

// applyOperatorChange applies a change to a view under construction and to its set of data centres out of service. It
// reports whether the change altered anything. A configuration that is not newer than the one in force is ignored.
func (w *Watcher) applyOperatorChange(v *fleet.View, out map[string]struct{}, change fleet.OperatorChange) bool {
	if t := change.Routes; t != nil {
		if v.Routes != nil && t.Version <= v.Routes.Version {
			return false
		}
		w.deps.Log.Info("configuration in force", "version", t.Version, "routes", t.Len(),
			"era", w.operators.Position.Era, "offset", w.operators.Position.Offset)
		v.Routes = t
		return true
	}
	if o := change.Order; o != nil {
		return w.applyOrder(v, *o)
	}
	_, wasOut := out[change.DataCentre]
	if wasOut == change.Out {
		return false
	}
	w.deps.Log.Info("data centre changed", "dataCentre", change.DataCentre, "out", change.Out,
		"era", w.operators.Position.Era, "offset", w.operators.Position.Offset)
	if change.Out {
		out[change.DataCentre] = struct{}{}
	} else {
		delete(out, change.DataCentre)
	}
	return true
}

// applyOrder applies an order to a view under construction and reports whether it changed anything. An order that comes
// twice changes nothing.
func (w *Watcher) applyOrder(v *fleet.View, o fleet.Order) bool {
	old, known := v.Orders[o.Service]
	if known == (o.Version != "") && old == o || !known && o.Version == "" {
		return false
	}
	w.deps.Log.Info("order changed", "service", o.Service, "version", o.Version, "overMs", o.Over.Milliseconds(),
		"era", w.operators.Position.Era, "offset", w.operators.Position.Offset)
	if o.Version == "" {
		delete(v.Orders, o.Service)
		return true
	}
	if v.Orders == nil {
		v.Orders = make(map[string]fleet.Order)
	}
	v.Orders[o.Service] = o
	return true
}
