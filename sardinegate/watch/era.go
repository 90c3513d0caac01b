package watch

import (
	"context"
	"errors"
	"slices"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// eraCopyTime is the time that a host waits for a copy of another host's knowledge of a new era before it reads the store
	// itself, beside its place in the order of readers.
	eraCopyTime = 300 * time.Millisecond
	// eraLearnTime is the time after its start, and after the start of an era, in which a host copies from hosts that know more of
	// an earlier era.
	eraLearnTime = fleet.RestoreGrace
	// announceStep is how much later each further host in the order of readers announces itself in a new era. The store takes few writes.
	announceStep = 20 * time.Millisecond
)

// knownEra is the latest era of the store that a host knows of.
type knownEra struct {
	number int64
	// since is when this host got to know of the era.
	since time.Duration
	// fromHost is set if another host reported the era first, answered once the store itself has answered in it.
	fromHost, answered bool
}

// recordEras records the eras of the store in a message of another host. w.mu must be held.
func (w *Watcher) recordEras(m *mesh.Message) {
	var era int64
	if m.Heartbeat != nil {
		operators, list := m.Heartbeat.Progress()
		era = max(operators.Position.Era, list.Position.Era)
	}
	if m.ListChanges != nil {
		era = max(era, m.ListChanges.Span.Era)
	}
	if m.OperatorRecords != nil {
		era = max(era, m.OperatorRecords.Span.Era)
	}
	w.recordEra(era, m.From)
}

// recordEra records that the store is in an era, as a host has reported, or an answer of the store if host is empty. w.mu must be held.
func (w *Watcher) recordEra(era int64, host string) {
	if era == w.era.number && host == "" {
		w.era.answered = true
	}
	if era <= w.era.number {
		return
	}
	known := w.era.number
	w.era = knownEra{number: era, since: w.now(), fromHost: host != "", answered: host == ""}
	if known == 0 {
		return
	}
	w.StoreRestores.Add(1)
	w.deps.Log.Warn("store restored from a copy", "era", era, "eraBefore", known, "reportedBy", host,
		"operatorsEra", w.operators.Position.Era, "operatorsOffset", w.operators.Position.Offset,
		"listEra", w.list.Position.Era, "listOffset", w.list.Position.Offset)
}

// recordAnswer records the era in which the store answered a call that failed or succeeded.
func (w *Watcher) recordAnswer(position fleet.Position, err error) {
	era := position.Era
	var other *fleet.EraError
	if errors.As(err, &other) {
		era = other.Got
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEra(era, "")
}

// isBehindEra reports whether a position is of an era before the one that the store is in.
func (w *Watcher) isBehindEra(p fleet.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.Era < w.era.number
}

// awaitsCopy reports whether this host still waits for a copy of the first records of an era, so that not all hosts read them from the
// store at once. The host that has found the era in an answer of the store does not wait, unless another one is ahead or this host
// started lately, and does not know what was removed before.
func (w *Watcher) awaitsCopy(p fleet.Position) bool {
	w.mu.Lock()
	era, since := w.era, w.now()-w.era.since
	w.mu.Unlock()
	if p.Era == 0 || p.Era >= era.number {
		return false
	}
	if wait := eraCopyTime + w.readAge() - minReadAge; since >= wait {
		return false
	}
	return era.fromHost || len(w.hostsAhead()) > 0 || !w.remembers.Load() && len(w.deps.Node.Alive()) > 0
}

// copiesEarlierEra reports whether this host still copies from hosts that know more of an earlier era.
func (w *Watcher) copiesEarlierEra() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era.number > 0 && w.now()-w.era.since < eraLearnTime
}

// awaitsAnswer reports whether the store has not yet answered this host in the era that other hosts have reported.
func (w *Watcher) awaitsAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.era.answered
}

// copyMemory copies what was removed lately from a live host that knows it, once after the start of this host. It tries one host in each
// call. After eraLearnTime this host remembers enough itself.
func (w *Watcher) copyMemory(ctx context.Context, attempt int) {
	w.mu.Lock()
	era, since := w.era.number, w.now()-w.era.since
	w.mu.Unlock()
	if era == 0 || w.remembers.Load() || !w.copying.TryLock() {
		return
	}
	defer w.copying.Unlock()
	if since > eraLearnTime {
		w.remembers.Store(true)
		return
	}
	knowing := w.inOwnOrder(slices.DeleteFunc(w.deps.Node.Alive(), func(m mesh.Member) bool { return !m.Remembers }))
	if len(knowing) == 0 {
		return
	}
	m := knowing[attempt%len(knowing)]
	if err := w.copyFromHost(ctx, m); err != nil {
		w.deps.Log.Info("removals not copied", "host", m.Host, "error", err)
	}
}

// announceInEachEra announces this host after its start, and again in each era of the store, as its address may be missing from the
// copy.
func (w *Watcher) announceInEachEra(ctx context.Context) {
	announced := w.announce(ctx)
	for pause.For(ctx, ageCheckInterval) {
		if !w.isBehindEra(announced) {
			continue
		}
		pause.For(ctx, time.Duration(w.rank())*announceStep)
		if w.awaitsAnswer() {
			// Others read the store for this host, which must not write before the store answers in the era.
			_, end, err := w.deps.Source.Read(ctx, fleet.Hosts, announced)
			w.recordAnswer(end, err)
		}
		if !w.awaitsAnswer() {
			announced = w.announce(ctx)
		}
		if w.isBehindEra(announced) {
			pause.For(ctx, w.retryDelay(maxDelayFailures)) // the answer is out of date
		}
	}
}
