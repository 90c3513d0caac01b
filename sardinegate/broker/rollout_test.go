package broker

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"sardinecross.example/lib/canary"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
)

var errStore = errors.New("store does not answer")

// memoryStatuses holds the states of one order. It fails as a test wants.
type memoryStatuses struct {
	mu      sync.Mutex
	records []fleet.Status
	// era is the era of the store.
	era int64
	// down lets all calls fail, lost lets writes take effect without an answer.
	down, lost bool
	// beforeWrite is called once before the next write.
	beforeWrite func(m *memoryStatuses)
}

func (m *memoryStatuses) ReadStatus(context.Context, string) (fleet.Status, fleet.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return fleet.Status{}, fleet.Position{}, errStore
	}
	if len(m.records) == 0 {
		return fleet.Status{}, fleet.At(m.era, 0), nil
	}
	return m.records[len(m.records)-1], fleet.At(m.era, int64(len(m.records))), nil
}

func (m *memoryStatuses) WriteStatus(_ context.Context, _ string, at fleet.Position, status fleet.Status) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return errStore
	}
	if f := m.beforeWrite; f != nil {
		m.beforeWrite = nil
		f(m)
	}
	if at.Offset != int64(len(m.records)) {
		return &fleet.ConflictError{At: at}
	}
	m.records = append(m.records, status)
	if at.Era != m.era {
		return &fleet.ConflictError{At: at} // the store checks the offset alone
	}
	if m.lost {
		return errStore
	}
	return nil
}

func (m *memoryStatuses) states() (out []fleet.RolloutState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.records {
		out = append(out, s.State)
	}
	return out
}

// newRollout returns a broker without background tasks that owns the service s, which has an order, and the rollout.
func newRollout(t *testing.T, statuses StatusStore) (*Broker, *rollout) {
	t.Helper()
	node := startHosts(t, "a")["a"].node
	t.Cleanup(node.Close)
	p := pool.New()
	t.Cleanup(p.Close)
	log := slog.New(slog.DiscardHandler)
	b := &Broker{
		deps:  Deps{Host: "a", Node: node, Pool: p, Log: log, Leaving: func() bool { return false }, Statuses: statuses, CanaryShare: 0.1},
		start: time.Now(), state: grant.New(grant.Settings{Hosts: 1, RetryWindow: time.Second}), suspectUntil: make(map[string]time.Duration),
		ownerOrders: make(map[string]ownerOrder), rollouts: make(map[string]*rollout),
	}
	v := (&fleet.View{Orders: map[string]fleet.Order{"s": {Service: "s", Version: "v2", Over: time.Hour}}}).WithUpstreams([]fleet.Upstream{
		{ID: "u1", Service: "s", Slots: 8, Version: "v1"}, {ID: "u2", Service: "s", Slots: 8, Version: "v2"},
	})
	b.state.Update(0, v)
	b.updateRollouts(v)
	r := b.rollouts["s"]
	b.stepRollouts()
	return b, r
}

// rollBack lets the rollout r reach the stage rolledBack by evidence.
func rollBack(b *Broker, r *rollout) {
	r.SetKnown()
	r.Set(b.now(), canary.Canary)
	for range 10 {
		r.Ended("r", true, true, 0)
	}
	b.stepRollouts()
}

func assertStates(t *testing.T, m *memoryStatuses, want ...fleet.RolloutState) {
	t.Helper()
	if got := m.states(); !slices.Equal(got, want) {
		t.Errorf("states %v, want %v", got, want)
	}
}

func assertStage(t *testing.T, r *rollout, want canary.Stage) {
	t.Helper()
	if got, _ := r.Stage(); got != want {
		t.Errorf("stage %s, want %s", got, want)
	}
}

// Guards against states that are lost or written twice when the store fails, and against a rollback that waits for the store.
func TestStatusFollowsTheStage(t *testing.T) {
	ctx := context.Background()
	t.Run("answers are lost", func(t *testing.T) {
		m := &memoryStatuses{lost: true}
		b, r := newRollout(t, m)
		b.writeStatus(ctx, r)
		b.writeStatus(ctx, r)
		rollBack(b, r)
		b.writeStatus(ctx, r)
		b.writeStatus(ctx, r)
		assertStates(t, m, fleet.RolloutActive, fleet.RolloutRolledBack)
	})
	t.Run("store is down", func(t *testing.T) {
		m := &memoryStatuses{down: true}
		b, r := newRollout(t, m)
		rollBack(b, r)
		b.writeStatus(ctx, r)
		assertStage(t, r, canary.RolledBack)
		m.down = false
		b.writeStatus(ctx, r)
		assertStates(t, m, fleet.RolloutRolledBack)
	})
	t.Run("evidence while the answer to complete is lost", func(t *testing.T) {
		m := &memoryStatuses{}
		b, r := newRollout(t, m)
		b.writeStatus(ctx, r)
		r.Set(b.now(), canary.Moved)
		r.mayComplete, m.lost = true, true
		b.writeStatus(ctx, r)
		rollBack(b, r) // the old upstreams have stopped by now
		assertStage(t, r, canary.Moved)
		b.writeStatus(ctx, r)
		assertStage(t, r, canary.Complete)
		assertStates(t, m, fleet.RolloutActive, fleet.RolloutComplete)
	})
	t.Run("evidence after complete was refused", func(t *testing.T) {
		m := &memoryStatuses{}
		b, r := newRollout(t, m)
		b.writeStatus(ctx, r)
		r.Set(b.now(), canary.Moved)
		r.mayComplete = true
		m.beforeWrite = func(m *memoryStatuses) { m.records = append(m.records, m.records[0]) }
		b.writeStatus(ctx, r)
		b.writeStatus(ctx, r)
		rollBack(b, r)
		b.writeStatus(ctx, r)
		assertStates(t, m, fleet.RolloutActive, fleet.RolloutActive, fleet.RolloutRolledBack)
	})
	t.Run("another owner writes in between", func(t *testing.T) {
		m := &memoryStatuses{}
		b, r := newRollout(t, m)
		b.writeStatus(ctx, r)
		r.Set(b.now(), canary.Moved)
		r.mayComplete = true
		m.beforeWrite = func(m *memoryStatuses) {
			m.records = append(m.records, fleet.Status{State: fleet.RolloutRolledBack, Version: "v2"})
		}
		b.writeStatus(ctx, r)
		b.writeStatus(ctx, r)
		assertStates(t, m, fleet.RolloutActive, fleet.RolloutRolledBack)
		assertStage(t, r, canary.RolledBack)
	})
}

// Guards against an owner that begins although the store holds a final state of the order, or that takes the final state of an
// earlier order for that of a new one.
func TestFinalStateOfTheOrderIsKept(t *testing.T) {
	ctx := context.Background()
	final := fleet.Status{State: fleet.RolloutRolledBack, Version: "v2"}
	t.Run("owner that has just started", func(t *testing.T) {
		m := &memoryStatuses{records: []fleet.Status{final}}
		b, r := newRollout(t, m)
		b.writeStatus(ctx, r)
		assertStates(t, m, fleet.RolloutRolledBack)
		assertStage(t, r, canary.RolledBack)
	})
	t.Run("order given again", func(t *testing.T) {
		m := &memoryStatuses{records: []fleet.Status{final}}
		b, _ := newRollout(t, m)
		v := fleet.View{Orders: map[string]fleet.Order{}}
		b.ordersKnown = true
		b.updateRollouts(&v)
		v.Orders["s"] = fleet.Order{Service: "s", Version: "v2", Over: time.Hour}
		b.updateRollouts(&v)
		b.stepRollouts()
		b.writeStatus(ctx, b.rollouts["s"])
		assertStates(t, m, fleet.RolloutRolledBack, fleet.RolloutActive)
	})
}

// Guards against hosts that go on sending to a version after the owner has told them that it was rolled back, and against
// stages of another order.
func TestToldStageIsObeyed(t *testing.T) {
	b, r := newRollout(t, &memoryStatuses{})
	told := mesh.RolloutState{Service: "s", Version: "v3", Stage: canary.RolledBack, Over: time.Hour}
	b.handleRollout(b.now(), &mesh.Message{From: "b", RolloutState: &told})
	assertStage(t, r, canary.Waiting)
	told.Version = "v2"
	b.handleRollout(b.now(), &mesh.Message{From: "b", RolloutState: &told})
	assertStage(t, r, canary.RolledBack)
	if b.MaySend(fleet.Upstream{ID: "u2", Service: "s"}) || !b.MaySend(fleet.Upstream{ID: "u1", Service: "s"}) {
		t.Error("the stage is not obeyed right before a request is sent")
	}
}

// Guards against a move that counts as known everywhere before each live host has acknowledged it.
func TestMoveWaitsForAcknowledgements(t *testing.T) {
	b, r := newRollout(t, &memoryStatuses{})
	r.SetKnown()
	r.Set(b.now(), canary.Moved)
	_, number := r.Stage()
	alive := []mesh.Member{{Host: "b"}, {Host: "c"}}
	r.message(b.now(), true)
	for _, host := range []string{"b", "c"} {
		if r.allAcked(alive) {
			t.Fatalf("all have acknowledged before %s", host)
		}
		ack := &mesh.RolloutAck{Service: "s", Version: "v2", Number: number}
		b.handleRollout(b.now(), &mesh.Message{From: host, RolloutAck: ack})
	}
	if !r.allAcked(alive) {
		t.Error("acknowledgements do not count")
	}
}

// restore replaces the store by a copy that holds only the first n states.
func (m *memoryStatuses) restore(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.records = m.records[:n:n]
}

// learnEra tells a broker the era of the store in a view with the same orders.
func learnEra(b *Broker, r *rollout, era int64) {
	b.updateRollouts(&fleet.View{Orders: map[string]fleet.Order{"s": r.Order}, StoreEra: era})
}

// Guards against states, also final ones, that are missing for ever because the store was restored from a copy without them.
func TestStatesLostWithTheCopyAreWrittenAgain(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		reach func(b *Broker, r *rollout)
		want  fleet.RolloutState
	}{
		"rolled back": {rollBack, fleet.RolloutRolledBack},
		"complete":    {func(b *Broker, r *rollout) { r.Set(b.now(), canary.Moved); r.mayComplete = true }, fleet.RolloutComplete},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memoryStatuses{era: 1}
			b, r := newRollout(t, m)
			learnEra(b, r, 1)
			b.writeStatus(ctx, r)
			c.reach(b, r)
			b.writeStatus(ctx, r)
			assertStates(t, m, fleet.RolloutActive, c.want)
			if r.statusDue(b.now()) {
				t.Error("a final state is due though it is stored")
			}
			m.restore(1)
			learnEra(b, r, 2)
			for range 2 { // complete is not written in the call that finds another record
				if r.statusDue(b.now()) {
					b.writeStatus(ctx, r)
				}
			}
			assertStates(t, m, fleet.RolloutActive, c.want)
		})
	}
	t.Run("written while the store is restored", func(t *testing.T) {
		m := &memoryStatuses{era: 1}
		b, r := newRollout(t, m)
		learnEra(b, r, 1)
		b.writeStatus(ctx, r)
		rollBack(b, r)
		answered := make(chan struct{})
		b.deps.Statuses = delayedAnswer{m, func() { m.restore(1); learnEra(b, r, 2); close(answered) }}
		b.writeStatus(ctx, r)
		<-answered
		b.deps.Statuses = m
		if !r.statusDue(b.now()) {
			t.Error("the lost state counts as stored")
		}
		b.writeStatus(ctx, r)
		assertStates(t, m, fleet.RolloutActive, fleet.RolloutRolledBack)
	})
}

// Guards against a rollback after complete took effect: its answer was lost, and then its record with the copy.
func TestCompleteLostWithTheCopyIsNotRolledBack(t *testing.T) {
	ctx := context.Background()
	active := fleet.Status{State: fleet.RolloutActive, Version: "v2"}
	for name, c := range map[string]struct {
		// beforeWrite is called before the first write after the restore.
		beforeWrite func(m *memoryStatuses)
		want        []fleet.RolloutState
	}{
		"written again": {want: []fleet.RolloutState{fleet.RolloutActive, fleet.RolloutComplete}},
		"the write fails": {
			func(m *memoryStatuses) { m.records = append(m.records, active) },
			[]fleet.RolloutState{fleet.RolloutActive, fleet.RolloutActive, fleet.RolloutComplete},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memoryStatuses{era: 1}
			b, r := newRollout(t, m)
			learnEra(b, r, 1)
			b.writeStatus(ctx, r)
			r.Set(b.now(), canary.Moved)
			r.mayComplete, m.lost = true, true
			b.writeStatus(ctx, r)
			assertStates(t, m, fleet.RolloutActive, fleet.RolloutComplete)
			m.lost = false
			m.restore(1)
			learnEra(b, r, 2)
			m.beforeWrite = c.beforeWrite
			b.writeStatus(ctx, r)
			b.writeStatus(ctx, r)
			rollBack(b, r) // the old upstreams may have stopped
			b.writeStatus(ctx, r)
			assertStates(t, m, c.want...)
		})
	}
}

// Guards against a state that is written after the final one of another owner, because the store has given out the offset again while
// calls failed.
func TestStateIsReadAgainAfterAFailedRead(t *testing.T) {
	ctx := context.Background()
	m := &memoryStatuses{era: 1}
	b, r := newRollout(t, m)
	learnEra(b, r, 1)
	b.writeStatus(ctx, r)
	m.down = true
	b.writeStatus(ctx, r)
	m.down = false
	m.restore(0)
	m.records = append(m.records, fleet.Status{State: fleet.RolloutRolledBack, Version: "v2"})
	rollBack(b, r)
	b.writeStatus(ctx, r)
	assertStates(t, m, fleet.RolloutRolledBack)
}

// Guards against an owner that starts after the store was restored and begins an order again that other hosts know to have ended.
func TestHostsAnswerAnOwnerThatDoesNotKnowTheFinalStage(t *testing.T) {
	for name, c := range map[string]struct {
		restored bool
		want     bool
	}{"after a restore": {true, true}, "without one": {false, false}} {
		t.Run(name, func(t *testing.T) {
			b, r := newRollout(t, &memoryStatuses{era: 1})
			learnEra(b, r, 1)
			r.Set(b.now(), canary.Complete)
			if c.restored {
				learnEra(b, r, 2)
			}
			s := &mesh.RolloutState{Service: "s", Version: "v2", Stage: canary.Canary, Over: r.Order.Over}
			if got := b.answersFinal(b.now(), r, s); got != c.want {
				t.Errorf("answers: %t, want %t", got, c.want)
			}
			s.Stage = canary.RolledBack
			if b.answersFinal(b.now(), r, s) {
				t.Error("answers a final stage")
			}
		})
	}
}

// delayedAnswer calls a function between the write of a state and its answer.
type delayedAnswer struct {
	*memoryStatuses
	between func()
}

func (d delayedAnswer) WriteStatus(ctx context.Context, service string, at fleet.Position, status fleet.Status) error {
	err := d.memoryStatuses.WriteStatus(ctx, service, at, status)
	d.between()
	return err
}
