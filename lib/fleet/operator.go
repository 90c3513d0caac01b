package fleet

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// OperatorRecord is an operators' record and the change that it makes.
type OperatorRecord struct {
	Record
	Change OperatorChange
	// Unusable is set if the record could not be decoded. The record in force before it stays.
	Unusable bool
}

// supersedes reports whether r may replace old as the record in force. A configuration gives way neither to an earlier
// version nor to its removal.
func (r OperatorRecord) supersedes(old OperatorRecord) bool {
	if old.Change.Routes == nil {
		return true
	}
	return r.Change.Routes != nil && r.Change.Routes.Version >= old.Change.Routes.Version
}

// removed reports whether the record removes its key.
func (r OperatorRecord) removed() bool { return len(r.Value) == 0 }

// equal reports whether both records are the same.
func (r Record) equal(other Record) bool {
	return r.Key == other.Key && bytes.Equal(r.Value, other.Value)
}

// OperatorRecords holds the operators' records in force. After the store was restored from a copy, the records that were in force
// before prevail over those of the copy until their keys are written again or RestoreGrace has passed. A record counts as one of the
// copy if it was in force within removalMemory; any other was written since.
type OperatorRecords struct {
	// Progress holds the position in the store up to which the records are known.
	Progress
	// inForce holds the records in force by key, without removals.
	inForce map[string]OperatorRecord
	// held holds by key the records of the store that are not in force, among them removals. It is empty outside of the grace.
	held map[string]OperatorRecord
	// graceUntil is the end of the grace after the store was restored; 0 if it has ended.
	graceUntil time.Duration
	// past holds the records, among them removals, that ceased to be in force within removalMemory, by key. It holds none of
	// configurations, whose versions tell their order.
	past map[string][]pastRecord
	// remove returns a record that removes a key.
	remove func(key string) OperatorRecord
}

// pastRecord is a record that was in force until the time end.
type pastRecord struct {
	record Record
	end    time.Duration
}

// NewOperatorRecords returns records at position 0. remove returns a record that removes a key.
func NewOperatorRecords(remove func(key string) OperatorRecord) *OperatorRecords {
	return &OperatorRecords{
		inForce: make(map[string]OperatorRecord), held: make(map[string]OperatorRecord), past: make(map[string][]pastRecord),
		remove: remove,
	}
}

// Apply applies records that were written after the known position, up to the position to of the same era. It returns those that
// have come into force, in their order.
func (o *OperatorRecords) Apply(now time.Duration, to Position, records []OperatorRecord) []OperatorRecord {
	var changed []OperatorRecord
	for _, r := range records {
		delete(o.held, r.Key)
		changed = o.set(now, r, changed)
	}
	o.Position = to
	return changed
}

// Replace replaces the records by the newest ones of all keys as of position to. It returns those that have come into force, with
// a removal for each key that is gone.
func (o *OperatorRecords) Replace(now time.Duration, to Position, newest []OperatorRecord) []OperatorRecord {
	if to.RestoredSince(o.Position) {
		o.Previous = o.Position
		o.graceUntil = now + RestoreGrace
		o.hold(newest)
	}
	var changed []OperatorRecord
	for _, r := range o.withRemovals(newest) {
		if held, ok := o.held[r.Key]; ok && held.equal(r.Record) {
			continue // not written again since the store was restored
		}
		delete(o.held, r.Key)
		changed = o.set(now, r, changed)
	}
	o.Position = to
	return changed
}

// hold sets held to the records of a copy from which the store was restored that were in force before those that are now.
func (o *OperatorRecords) hold(newest []OperatorRecord) {
	clear(o.held)
	for _, r := range o.withRemovals(newest) {
		known, ok := o.inForce[r.Key]
		switch {
		case r.Unusable, ok && known.equal(r.Record):
		case ok && !r.supersedes(known), o.wasInForce(r.Record):
			o.held[r.Key] = r
		}
	}
}

// wasInForce reports whether a record was in force lately.
func (o *OperatorRecords) wasInForce(r Record) bool {
	return slices.ContainsFunc(o.past[r.Key], func(p pastRecord) bool { return p.record.equal(r) })
}

// withRemovals returns the newest records, and a removal for each key in force that is missing from them.
func (o *OperatorRecords) withRemovals(newest []OperatorRecord) []OperatorRecord {
	listed := make(map[string]struct{}, len(newest))
	for _, r := range newest {
		listed[r.Key] = struct{}{}
	}
	all := slices.Clone(newest)
	for _, key := range slices.Sorted(maps.Keys(o.inForce)) {
		if _, ok := listed[key]; !ok {
			all = append(all, o.remove(key))
		}
	}
	return all
}

// set puts a record in force unless the one in force is a later version, and appends it to changed if that makes a difference.
func (o *OperatorRecords) set(now time.Duration, r OperatorRecord, changed []OperatorRecord) []OperatorRecord {
	if r.Unusable {
		return changed
	}
	old, known := o.inForce[r.Key]
	if !known {
		old = o.remove(r.Key)
	}
	if known && !r.supersedes(old) || old.equal(r.Record) {
		return changed
	}
	if r.Change.Routes == nil {
		o.past[r.Key] = append(o.past[r.Key], pastRecord{old.Record, now})
	}
	if r.removed() {
		delete(o.inForce, r.Key)
	} else {
		o.inForce[r.Key] = r
	}
	return append(changed, r)
}

// Expire puts the records that are held in force once the grace has ended, and returns those that have come into force. The grace
// starts again while the store is not read: lastRead is when the last read was sent.
func (o *OperatorRecords) Expire(now, lastRead time.Duration) []OperatorRecord {
	o.forgetPast(min(now, lastRead))
	if o.graceUntil > 0 && now-lastRead > OutageGap {
		o.graceUntil = now + RestoreGrace
	}
	if o.graceUntil == 0 || now < o.graceUntil {
		return nil
	}
	o.graceUntil = 0
	var changed []OperatorRecord
	for _, key := range slices.Sorted(maps.Keys(o.held)) {
		changed = o.set(now, o.held[key], changed)
	}
	clear(o.held)
	return changed
}

// forgetPast forgets the records that had ceased to be in force for removalMemory when the store was last read.
func (o *OperatorRecords) forgetPast(lastRead time.Duration) {
	for key, records := range o.past {
		recent := slices.DeleteFunc(records, func(p pastRecord) bool { return lastRead-p.end > removalMemory })
		if o.past[key] = recent; len(recent) == 0 {
			delete(o.past, key)
		}
	}
}

// OperatorSnapshot is a copy of the operators' records for another host.
type OperatorSnapshot struct {
	Progress Progress `cbor:"1,keyasint"`
	// InForce holds the records in force, Held those of the store that are not, among them removals without a value.
	InForce []Record `cbor:"2,keyasint,omitempty"`
	Held    []Record `cbor:"3,keyasint,omitempty"`
	// GraceLeft is the time for which Held stays out of force.
	GraceLeft time.Duration `cbor:"4,keyasint,omitempty"`
	// Past holds the records that ceased to be in force lately.
	Past []PastRecord `cbor:"5,keyasint,omitempty"`
	// Remembers is set if the host knows what was removed lately.
	Remembers bool `cbor:"6,keyasint,omitempty"`
}

// PastRecord is a record that was in force until a time Age ago.
type PastRecord struct {
	Record Record        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// Stored returns the newest records of the store as of the position of the snapshot.
func (s OperatorSnapshot) Stored() []Record {
	newest := make(map[string]Record, len(s.InForce))
	for _, r := range slices.Concat(s.InForce, s.Held) {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	return slices.Collect(maps.Values(newest))
}

// Snapshot returns a copy of the records.
func (o *OperatorRecords) Snapshot(now time.Duration) OperatorSnapshot {
	s := OperatorSnapshot{
		Progress: o.Progress, InForce: plainRecords(o.inForce), Held: plainRecords(o.held), GraceLeft: max(o.graceUntil-now, 0),
	}
	for _, key := range slices.Sorted(maps.Keys(o.past)) {
		for _, p := range o.past[key] {
			s.Past = append(s.Past, PastRecord{p.record, now - p.end})
		}
	}
	return s
}

// MergePast adds the records that another host knows to have ceased to be in force.
func (o *OperatorRecords) MergePast(now time.Duration, past []PastRecord) {
	for _, p := range past {
		if p.Age >= 0 && !o.wasInForce(p.Record) {
			o.past[p.Record.Key] = append(o.past[p.Record.Key], pastRecord{p.Record, now - p.Age})
		}
	}
}

// plainRecords returns records by key, sorted by key.
func plainRecords(records map[string]OperatorRecord) []Record {
	out := make([]Record, 0, len(records))
	for _, key := range slices.Sorted(maps.Keys(records)) {
		out = append(out, records[key].Record)
	}
	return out
}

// Adopt replaces the records by those of a host that knew at least as much of the era before the restore. It returns those that
// have come into force.
func (o *OperatorRecords) Adopt(now time.Duration, progress Progress, graceLeft time.Duration, inForce, held []OperatorRecord) []OperatorRecord {
	var changed []OperatorRecord
	for _, r := range o.withRemovals(inForce) {
		changed = o.set(now, r, changed)
	}
	clear(o.held)
	for _, r := range held {
		if !r.Unusable {
			o.held[r.Key] = r
		}
	}
	o.graceUntil = 0
	if graceLeft > 0 || len(o.held) > 0 {
		o.graceUntil = now + min(graceLeft, RestoreGrace)
	}
	o.Progress = progress
	return changed
}
