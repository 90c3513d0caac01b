package watch

import (
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// operatorStream follows the operators' records.
func (w *Watcher) operatorStream() stream {
	return stream{
		name:     "operators' records",
		of:       fleet.Operators,
		position: func() int64 { p, _ := w.Positions(); return p },
		age:      func() time.Duration { age, _ := w.Ages(); return age },
		replace:  w.replaceOperators,
		apply: func(asOf time.Duration, from, to int64, records []fleet.Record) {
			if w.applyOperators(asOf, from, to, records) {
				w.deps.Node.Broadcast(&mesh.Message{Orders: &mesh.Orders{Span: mesh.Span{From: from, To: to, Age: w.now() - asOf}, Records: records}})
			}
		},
		has:  func() bool { return w.View().Routes != nil },
		tick: func() {},
	}
}

// replaceOperators takes over the newest records of all keys. The mutex is held.
func (w *Watcher) replaceOperators(asOf time.Duration, to int64, records []fleet.Record) {
	named := make(map[string]struct{}, len(records))
	for _, r := range records {
		named[r.Key] = struct{}{}
	}
	for key := range w.records {
		if _, ok := named[key]; !ok {
			records = append(records, fleet.Record{Key: key})
		}
	}
	w.obeyAll(records)
	w.operators, w.operatorsAsOf = to, max(w.operatorsAsOf, asOf)
}

// applyOperators takes over the records of a span and reports whether the known position lies in it. The mutex is held.
func (w *Watcher) applyOperators(asOf time.Duration, from, to int64, records []fleet.Record) bool {
	if from > w.operators || to < w.operators {
		return false
	}
	if skip := w.operators - from; skip <= int64(len(records)) {
		w.obeyAll(records[skip:])
	}
	w.operators, w.operatorsAsOf = to, max(w.operatorsAsOf, asOf)
	return true
}

// obeyAll takes over records. The mutex is held.
func (w *Watcher) obeyAll(records []fleet.Record) {
	v := *w.view.Load()
	out := make(map[string]struct{}, len(v.DataCentresOut))
	for dc := range v.DataCentresOut {
		out[dc] = struct{}{}
	}
	changed := false
	for _, r := range records {
		order, err := w.deps.Source.DecodeOrder(r)
		if err != nil {
			w.deps.Log.Error("operators' record not used", "key", r.Key, "error", err)
			continue
		}
		w.records[r.Key] = r
		if len(r.Value) == 0 {
			delete(w.records, r.Key)
		}
		changed = w.obey(&v, out, order) || changed
	}
	if changed {
		v.DataCentresOut = out
		w.publish(&v)
	}
}

// obey changes a view that is being built and reports whether it did.
func (w *Watcher) obey(v *fleet.View, out map[string]struct{}, order fleet.Order) bool {
	if t := order.Routes; t != nil {
		if v.Routes != nil && t.Version <= v.Routes.Version {
			return false
		}
		w.deps.Log.Info("configuration in force", "version", t.Version, "routes", t.Len())
		v.Routes = t
		return true
	}
	_, was := out[order.DataCentre]
	if was == order.Out {
		return false
	}
	w.deps.Log.Info("data centre changed", "dataCentre", order.DataCentre, "out", order.Out)
	if order.Out {
		out[order.DataCentre] = struct{}{}
	} else {
		delete(out, order.DataCentre)
	}
	return true
}
