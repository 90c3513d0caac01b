package watch

import (
	"context"
	"errors"
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
	// the era before.
	eraLearnTime = 8 * time.Second
)

// knownEra is the latest era of the store that a host has heard of.
type knownEra struct {
	era int64
	// since is when this host learnt of the era, and told is set if it did so from another host.
	since time.Duration
	told  bool
}

// learnEra takes over the eras of the store that a message of another host tells. w.mu must be held.
func (w *Watcher) learnEra(m *mesh.Message) {
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
	w.noteEra(era, m.From)
}

// noteEra records that the store is in an era, which the given host told, or an answer of the store if it is empty. w.mu must be held.
func (w *Watcher) noteEra(era int64, host string) {
	if era <= w.era.era {
		return
	}
	known := w.era.era
	w.era = knownEra{era: era, since: w.now(), told: host != ""}
	if known == 0 {
		return
	}
	w.StoreRestores.Add(1)
	w.deps.Log.Warn("store restored from a copy", "era", era, "eraBefore", known, "toldBy", host,
		"operatorsEra", w.operators.Position.Era, "operatorsOffset", w.operators.Position.Offset,
		"listEra", w.list.Position.Era, "listOffset", w.list.Position.Offset)
}

// noteAnswer records the era in which the store answered a call that failed or succeeded.
func (w *Watcher) noteAnswer(position fleet.Position, err error) {
	era := position.Era
	var other *fleet.EraError
	if errors.As(err, &other) {
		era = other.Got
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteEra(era, "")
}

// isBehindEra reports whether a position is of an era before the one that the store is in.
func (w *Watcher) isBehindEra(p fleet.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.Era < w.era.era
}

// awaitsCopy reports whether this host still waits for a copy of the first records of an era, so that not all hosts read them from the
// store at once. The host that has found the era in an answer of the store does not wait unless another one is ahead.
func (w *Watcher) awaitsCopy(p fleet.Position) bool {
	w.mu.Lock()
	era, since := w.era, w.now()-w.era.since
	w.mu.Unlock()
	if p.Era == 0 || p.Era >= era.era {
		return false
	}
	wait := eraCopyTime + w.readAge() - minReadAge
	return since < wait && (era.told || len(w.hostsAhead()) > 0)
}

// learnsOfEraBefore reports whether this host still looks for hosts that know more of the era before the present one.
func (w *Watcher) learnsOfEraBefore() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era.era > 0 && w.now()-w.era.since < eraLearnTime
}

// announceInEachEra announces this host after its start, and again in each era of the store, as its address may be missing from the
// copy.
func (w *Watcher) announceInEachEra(ctx context.Context) {
	announced := w.announce(ctx)
	for pause.For(ctx, ageCheckInterval) {
		if !w.isBehindEra(announced) {
			continue
		}
		pause.For(ctx, w.readAge()-minReadAge) // so that not all hosts write at once
		if announced = w.announce(ctx); w.isBehindEra(announced) {
			pause.For(ctx, w.retryDelay(maxDelayFailures)) // the answer is of an earlier era than another host has told
		}
	}
}
