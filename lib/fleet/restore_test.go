package fleet

import (
	"testing"
	"time"
)

// operatorRecord returns a record that takes a data centre out of service, or puts it back if value is empty.
func operatorRecord(key, value string) OperatorRecord {
	return OperatorRecord{Record: Record{Key: key, Value: []byte(value)}, Change: OperatorChange{DataCentre: key, Out: value != ""}}
}

// newRecords returns operators' records at position 10 of era 1.
func newRecords(records ...OperatorRecord) *OperatorRecords {
	o := NewOperatorRecords(func(key string) OperatorRecord { return operatorRecord(key, "") })
	o.Replace(0, At(1, 10), records)
	return o
}

func assertInForce(t *testing.T, o *OperatorRecords, key, want string) {
	t.Helper()
	if got := string(o.inForce[key].Value); got != want {
		t.Errorf("%q in force for %s, want %q", got, key, want)
	}
}

// Guards against a record of the copy that comes into force although an unusable one was written after it.
func TestUnusableRecordAfterARestore(t *testing.T) {
	o := newRecords(operatorRecord("k", "old"))
	o.Apply(time.Second, At(1, 11), []OperatorRecord{operatorRecord("k", "new")})
	o.Replace(2*time.Second, At(2, 10), []OperatorRecord{operatorRecord("k", "old")})
	assertInForce(t, o, "k", "new")
	o.Apply(3*time.Second, At(2, 11), []OperatorRecord{{Record: Record{Key: "k", Value: []byte("?")}, Unusable: true}})
	o.Expire(2*time.Second+RestoreGrace, 2*time.Second+RestoreGrace)
	assertInForce(t, o, "k", "new")
}

// Guards against an upstream that is never used because its removal was forgotten before the end of the grace, and against one that is
// not used because its time of start is not known.
func TestEntriesListedAgainAfterARestoreAreUsed(t *testing.T) {
	restored := removalMemory - 3*time.Second
	for name, c := range map[string]struct {
		started, number int64
		atOnce          bool
	}{
		"numbers begin anew": {started: 5, number: 1},
		"start time unknown": {number: 1, atOnce: true},
		"a later start":      {started: 6, number: 1, atOnce: true},
		"the next report":    {started: 5, number: 51, atOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			back := Upstream{ID: "u", Service: "s", Slots: 1, Started: c.started, ReportNumber: c.number}
			l := NewList()
			l.Replace(0, ReadAt(0), At(1, 10), []Upstream{{ID: "u", Service: "s", Slots: 1, Started: 5, ReportNumber: 50}})
			l.Apply(time.Second, ReadAt(time.Second), At(1, 10), At(1, 11), []Change{{ID: "u"}})
			l.Replace(restored, ReadAt(restored), At(2, 8), nil)
			l.Apply(restored, ReadAt(restored), At(2, 8), At(2, 9), []Change{{ID: "u", Upstream: &back}})
			if _, ok := l.Get("u"); ok != c.atOnce {
				t.Errorf("used at once: %t, want %t", ok, c.atOnce)
			}
			for now := restored; now < restored+2*RestoreGrace; now += time.Second {
				l.Apply(now, ReadAt(now), At(2, 9), At(2, 9), nil)
				l.Expire(now)
			}
			if _, ok := l.Get("u"); !ok {
				t.Error("the upstream is not used")
			}
		})
	}
}

// Guards against a record that is held back for ever, because it was copied between the end of the grace and the next Expire.
func TestRecordCopiedAtTheEndOfTheGrace(t *testing.T) {
	a := newRecords(operatorRecord("k", "old"))
	a.Apply(time.Second, At(1, 11), []OperatorRecord{operatorRecord("k", "new")})
	a.Replace(2*time.Second, At(2, 10), []OperatorRecord{operatorRecord("k", "old")})
	now := 2*time.Second + RestoreGrace
	s := a.Snapshot(now)
	b := newRecords()
	b.Adopt(now, s.Progress, s.GraceLeft, []OperatorRecord{operatorRecord("k", "new")}, []OperatorRecord{operatorRecord("k", "old")})
	for _, o := range []*OperatorRecords{a, b} {
		o.Expire(now, now)
		assertInForce(t, o, "k", "old")
	}
}

// Guards against a copy that comes into force because the store was away for longer than records are remembered.
func TestRestoreAfterALongOutage(t *testing.T) {
	const end = removalMemory + 10*time.Second
	t.Run("operators' records", func(t *testing.T) {
		for name, first := range map[string]bool{"first restore": true, "second restore": false} {
			t.Run(name, func(t *testing.T) {
				o := newRecords(operatorRecord("k", "old"))
				o.Apply(time.Second, At(1, 11), []OperatorRecord{operatorRecord("k", "new")})
				if !first {
					o.Replace(2*time.Second, At(2, 10), []OperatorRecord{operatorRecord("k", "old")})
				}
				for now := 2 * time.Second; now < end; now += time.Second {
					o.Expire(now, 2*time.Second)
				}
				o.Replace(end, At(3, 10), []OperatorRecord{operatorRecord("k", "old")})
				assertInForce(t, o, "k", "new")
			})
		}
	})
	t.Run("upstreams", func(t *testing.T) {
		u := Upstream{ID: "u", Service: "s", Slots: 1, Started: 5, ReportNumber: 50}
		l := removedFromList(u)
		for now := time.Second; now < end; now += time.Second {
			l.Expire(now)
		}
		l.Replace(end, ReadAt(end), At(2, 10), []Upstream{u})
		if _, ok := l.Get("u"); ok {
			t.Error("an upstream that has left is used")
		}
	})
}

// removedFromList returns a list in era 1 from which an upstream was removed.
func removedFromList(u Upstream) *List {
	l := NewList()
	l.Replace(0, ReadAt(0), At(1, 10), []Upstream{u})
	l.Apply(time.Second, ReadAt(time.Second), At(1, 10), At(1, 11), []Change{{ID: u.ID}})
	return l
}

// Guards against a grace that begins anew at a host that was cut off during the restore.
func TestListCopiedAfterTheGrace(t *testing.T) {
	u := Upstream{ID: "u", Service: "s", Slots: 1, Started: 5, ReportNumber: 50}
	l := removedFromList(u)
	previous := At(1, 11)
	l.Restore(20*time.Second, Snapshot{Offset: 12, Era: 2, Previous: &previous, Recorded: []Upstream{u}})
	if _, ok := l.Get("u"); !ok {
		t.Error("the upstream is not used, though the other host's grace has ended")
	}
}
