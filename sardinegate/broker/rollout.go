package broker

import (
	"context"
	"errors"
	"sync"
	"time"

	"sardinecross.example/lib/canary"
	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// rolloutInterval is the time between looks at the rollouts. It bounds the delay of a rollback beside that of the
	// evidence.
	rolloutInterval = 25 * time.Millisecond
	// idleRolloutInterval replaces it while there is no order. Hosts learn of an order up to 0.8 s after it was written.
	idleRolloutInterval = 250 * time.Millisecond
	// statusInterval is the pause after a round of calls that write states of orders.
	statusInterval = 100 * time.Millisecond
	// statusTimeout bounds a call about a state. The store may take 2 s for an answer and still be written.
	statusTimeout = 5 * time.Second
	// statusRetry is the time after which a further write of a state starts beside one that has not ended, and maxStatusWrites
	// the most that are in progress for an order. Their conditions keep all but one from taking effect.
	statusRetry     = time.Second
	maxStatusWrites = 5
	// orderDelay is the age that an order is assumed to have when it is read. Hosts read the store every 0.75 s.
	orderDelay = 800 * time.Millisecond
	// statusLifetime is how long a state that is not final counts as known. Another owner, on the other side of a cut, may
	// have written a final one.
	statusLifetime = time.Second
	// unreadableAfter is how long an owner that saw a new order waits for its state in the store, or for word of another
	// owner, before it begins without them.
	unreadableAfter = 600 * time.Millisecond
	// evidenceInterval is the time between two log lines on the evidence of a rollout.
	evidenceInterval = time.Second
	// finalAnswerTime is the time after a restore of the store in which hosts answer an owner that does not know of the final stage. By
	// its end the owners of before have written it again.
	finalAnswerTime = fleet.RestoreGrace
	// finalTells is the number of times that a final state in the store is told. A message may be lost.
	finalTells = 5
)

// unknownPosition is the position of a record that has to be read before it is written. It is before all others.
var unknownPosition = fleet.At(0, -1)

// StatusStore reads and writes the states of orders.
type StatusStore interface {
	// ReadStatus returns the state of the order of a service, and the position up to which the states were read.
	ReadStatus(ctx context.Context, service string) (fleet.Status, fleet.Position, error)
	// WriteStatus appends a state. It fails with a fleet.ConflictError if states were appended after the position at.
	WriteStatus(ctx context.Context, service string, at fleet.Position, status fleet.Status) error
}

// rollout is the rollout of a service on this host. Broker.mu guards it.
type rollout struct {
	*canary.Rollout
	// fresh is set if this host saw that the service had another order or none before, until it hears of the state of this
	// one or has written it. A final state in the store is then that of the order before.
	fresh  bool
	owned  bool
	acked  map[string]struct{} // hosts that acknowledged the state with the number ackOf
	ackOf  uint64
	toldAt time.Duration
	tells  int
	// mayComplete is set once the state complete may be written.
	mayComplete bool
	// record is what this host has last written or read in the store, and position the end of the states then, or unknownPosition.
	record   fleet.Status
	position fleet.Position
	// completing is set from the begin of a write of the state complete until it is known that it did not take effect. The old
	// upstreams may have stopped, so that the version is not rolled back. It was written at completingAt.
	completing   bool
	completingAt fleet.Position
	// stored is the state of the order in record.
	stored fleet.RolloutState
	readAt time.Duration // when stored was last confirmed
	// writes counts the calls of writeStatus in progress, the last of which began at writeAt.
	writes  int
	writeAt time.Duration
	seenAt  time.Duration // when this host learnt of the order
}

// updateRollouts begins the rollouts of new orders and ends those of orders that were removed. b.mu must be held.
func (b *Broker) updateRollouts(v *fleet.View) {
	now := b.now()
	b.updateStoreEra(v.StoreEra)
	for service, r := range b.rollouts {
		if o, ok := v.Orders[service]; !ok || o != r.Order {
			delete(b.rollouts, service)
			b.state.SetRollout(service, nil)
			b.deps.Log.Info("rollout ended", "service", service, "version", r.Order.Version)
		}
	}
	for service, o := range v.Orders {
		if b.rollouts[service] != nil {
			continue
		}
		r := &rollout{Rollout: canary.New(now-orderDelay, o, b.deps.CanaryShare), fresh: b.ordersKnown, acked: make(map[string]struct{}), seenAt: now, position: unknownPosition}
		b.rollouts[service] = r
		b.state.SetRollout(service, r.Rollout)
		b.deps.Log.Info("rollout begun", "service", service, "version", o.Version, "overMs", o.Over.Milliseconds(), "fresh", r.fresh)
	}
	b.ordersKnown = b.ordersKnown || v.Routes != nil
}

// updateStoreEra records the era of the store. The states that were written before the store was restored may be lost, also final
// ones, so that they are read and written again. b.mu must be held.
func (b *Broker) updateStoreEra(era int64) {
	if restored := b.storeEra > 0 && era > b.storeEra; restored {
		b.restoredAt = b.now()
		for _, r := range b.rollouts {
			r.position, r.stored = unknownPosition, fleet.RolloutNone
		}
	}
	b.storeEra = max(b.storeEra, era)
}

// outdated reports whether a position is of an era before the one that the store is in. b.mu must be held.
func (b *Broker) outdated(p fleet.Position) bool { return p.Era > 0 && p.Era < b.storeEra }

// rolloutLoop moves the rollouts on until ctx ends.
func (b *Broker) rolloutLoop(ctx context.Context) {
	for interval := idleRolloutInterval; pause.For(ctx, interval); {
		interval = idleRolloutInterval
		if b.hasRollouts() {
			interval = rolloutInterval
			b.stepRollouts()
		}
	}
}

// hasRollouts reports whether this host knows of an order.
func (b *Broker) hasRollouts() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rollouts) > 0
}

// stepRollouts moves the rollouts of the services that this host owns on, and tells the other hosts of them.
func (b *Broker) stepRollouts() {
	now := b.now()
	var messages []*mesh.Message
	alive := b.deps.Node.Alive()
	b.mu.Lock()
	logEvidence := now-b.evidenceAt >= evidenceInterval
	if logEvidence {
		b.evidenceAt = now
	}
	owned := int64(0)
	for service, r := range b.rollouts {
		r.owned = b.owner(now, service) == b.deps.Host && !b.deps.Leaving()
		r.SetOwner(r.owned)
		if !r.owned {
			continue
		}
		if r.fresh && now-r.seenAt >= unreadableAfter {
			r.SetKnown()
		}
		site := b.state.RolloutSite(now, service)
		site.Acked = r.allAcked(alive)
		changed := !r.completing && r.Advance(now, site)
		stage, _ := r.Stage()
		if changed {
			b.logStage(now, r, site)
			if stage == canary.RolledBack {
				b.RolledBack.Add(1)
			}
		}
		if !stage.Final() {
			owned++
			if logEvidence {
				b.logEvidence(r)
			}
		}
		r.mayComplete = r.mayComplete || r.MayComplete(now, site)
		if m := r.message(now, changed); m != nil {
			messages = append(messages, m)
		}
	}
	b.RolloutsOwned.Store(owned)
	b.mu.Unlock()
	for _, m := range messages {
		b.deps.Node.Broadcast(m)
	}
}

// allAcked reports whether all hosts that are alive have acknowledged the present state.
func (r *rollout) allAcked(alive []mesh.Member) bool {
	if _, number := r.Stage(); r.ackOf != number {
		return false
	}
	for _, m := range alive {
		if _, ok := r.acked[m.Host]; !ok {
			return false
		}
	}
	return true
}

// message returns the message that tells the state, or nil if it is not due. changed is set if the stage has just changed.
func (r *rollout) message(now time.Duration, changed bool) *mesh.Message {
	if changed {
		r.tells = 0
	}
	if !changed && now-r.toldAt < tellInterval || !r.Known() || r.stored.Final() && r.tells >= finalTells {
		return nil
	}
	r.toldAt = now
	if r.stored.Final() {
		r.tells++
	}
	if _, number := r.Stage(); r.ackOf != number {
		r.ackOf = number
		clear(r.acked)
	}
	return &mesh.Message{RolloutState: r.state(now)}
}

// state returns the stage for other hosts.
func (r *rollout) state(now time.Duration) *mesh.RolloutState {
	stage, number := r.Stage()
	return &mesh.RolloutState{
		Service: r.Order.Service, Version: r.Order.Version, Stage: stage, Number: number, Elapsed: r.Elapsed(now), Over: r.Order.Over,
	}
}

// logStage logs a change of the stage with the evidence. b.mu must be held.
func (b *Broker) logStage(now time.Duration, r *rollout, site canary.Site) {
	old, oldBad, target, targetBad := r.Counts()
	stage, number := r.Stage()
	b.deps.Log.Info("rollout stage", "service", r.Order.Service, "version", r.Order.Version, "stage", stage.String(), "number", number,
		"reason", r.Reason, "elapsedMs", r.Elapsed(now).Milliseconds(), "oldResponses", old, "oldBad", oldBad, "responses", target, "bad", targetBad,
		"ready", site.Ready, "old", site.Old, "decidedBy", b.deps.Host)
}

// logEvidence logs the evidence of the route with most evidence against the version. b.mu must be held.
func (b *Broker) logEvidence(r *rollout) {
	e := r.Evidence()
	b.deps.Log.Info("rollout evidence", "service", r.Order.Service, "version", r.Order.Version, "route", e.Route, "oldResponses", e.Old,
		"oldBad", e.OldBad, "responses", e.Target, "bad", e.TargetBad, "against", e.Against)
}

// handleRollout applies what another host tells of a rollout, and acknowledges it if requests may not go to one of the
// versions any more.
func (b *Broker) handleRollout(now time.Duration, m *mesh.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := m.RolloutAck; a != nil {
		if r := b.rollouts[a.Service]; r != nil && r.Order.Version == a.Version && r.ackOf == a.Number {
			r.acked[m.From] = struct{}{}
		}
	}
	s := m.RolloutState
	if s == nil {
		return
	}
	r := b.rollouts[s.Service]
	if r == nil || r.Order.Version != s.Version || r.Order.Over != s.Over {
		return
	}
	r.fresh = false
	if b.answersFinal(now, r, s) {
		b.deps.Node.Send(m.From, &mesh.Message{RolloutState: r.state(now)})
	}
	if r.Tell(now, s.Stage, s.Elapsed) {
		b.deps.Log.Info("rollout stage told", "service", s.Service, "version", s.Version, "stage", s.Stage.String(), "decidedBy", m.From)
	}
	if stage, _ := r.Stage(); s.Stage >= canary.Moved && stage == s.Stage {
		b.deps.Node.Send(m.From, &mesh.Message{RolloutAck: &mesh.RolloutAck{Service: s.Service, Version: s.Version, Number: s.Number}})
	}
}

// answersFinal reports whether this host answers the stage that an owner has sent with a final one. An owner that started after the store
// was restored reads the state of the copy and does not know that the order has ended.
func (b *Broker) answersFinal(now time.Duration, r *rollout, s *mesh.RolloutState) bool {
	stage, _ := r.Stage()
	return stage.Final() && !s.Stage.Final() && b.restoredAt > 0 && now-b.restoredAt < finalAnswerTime
}

// statusLoop writes the states of the orders of services that this host owns until ctx ends. The selection of upstreams does
// not wait for it, and neither do the states of other services.
func (b *Broker) statusLoop(ctx context.Context) {
	var writes sync.WaitGroup
	defer writes.Wait()
	for interval := idleRolloutInterval; pause.For(ctx, interval); {
		interval = idleRolloutInterval
		if b.hasRollouts() {
			interval = statusInterval
		}
		b.mu.Lock()
		now := b.now()
		for _, r := range b.rollouts {
			if !r.statusDue(now) {
				continue
			}
			r.writes++
			r.writeAt = now
			writes.Go(func() {
				b.writeStatus(ctx, r)
				b.mu.Lock()
				defer b.mu.Unlock()
				r.writes--
			})
		}
		b.mu.Unlock()
	}
}

// statusDue reports whether the state is to be read or written now.
func (r *rollout) statusDue(now time.Duration) bool {
	if !r.owned || r.writes >= maxStatusWrites || r.writes > 0 && now-r.writeAt < statusRetry {
		return false
	}
	return !r.Known() || r.stored != r.wanted() || !r.stored.Final() && now-r.readAt >= statusLifetime
}

// wanted returns the state that the store should hold.
func (r *rollout) wanted() fleet.RolloutState {
	stage, _ := r.Stage()
	switch {
	case stage == canary.RolledBack:
		return fleet.RolloutRolledBack
	case stage == canary.Complete || r.mayComplete:
		return fleet.RolloutComplete
	}
	return fleet.RolloutActive
}

// writeStatus writes the wanted state of an order if the store allows. It reads the record before, unless its position is known
// and the wanted state is another one: a slow store needs half of the time then. After an error, which may hide that a write
// took effect or that the store was restored, the next call reads again.
func (b *Broker) writeStatus(ctx context.Context, r *rollout) {
	service := r.Order.Service
	b.mu.Lock()
	known, wanted := r.position, r.wanted()
	record, at := r.record, known
	read := known == unknownPosition || r.stored == wanted
	b.mu.Unlock()
	if read {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		var err error
		if record, at, err = b.deps.Statuses.ReadStatus(ctx, service); err != nil {
			b.forgetPosition(r, known)
			b.logStatusError(r, "read", wanted, err)
			return
		}
	}
	b.mu.Lock()
	if b.rollouts[service] != r || !r.owned || r.position.After(at) || b.outdated(at) {
		b.mu.Unlock()
		return // the order has ended, or a later state is known
	}
	want := r.wanted()
	write, final := canary.Resolve(record, r.Order, want, r.fresh)
	r.SetKnown()
	r.record, r.position = record, at
	// The evidence since the write of complete is weighed before the next.
	refused := read && r.completing && record.State != fleet.RolloutComplete && r.writes <= 1 && !at.RestoredSince(r.completingAt)
	wasCompleting := r.completing
	r.completing = r.completing && !refused || write && !refused && want == fleet.RolloutComplete
	if write && !refused && want == fleet.RolloutComplete && !wasCompleting {
		r.completingAt = at
	}
	if !write {
		b.adopt(r, record.State, final)
	}
	b.mu.Unlock()
	if !write || refused {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := fleet.Status{State: want, Version: r.Order.Version}
	err := b.deps.Statuses.WriteStatus(ctx, service, at, status)
	if err != nil {
		b.forgetPosition(r, at)
		b.logStatusError(r, "write", want, err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deps.Log.Info("rollout state written", "service", service, "version", r.Order.Version, "state", want.String(),
		"era", at.Era, "offset", at.Offset, "decidedBy", b.deps.Host)
	if r.position.After(at) || b.outdated(at) {
		return // a later state is known, or the store was restored since
	}
	r.record, r.position = status, at.WithOffset(at.Offset+1)
	stage := canary.Waiting
	if want == fleet.RolloutComplete {
		stage = canary.Complete
	}
	b.adopt(r, want, stage)
}

// forgetPosition makes the next call read the record first if the position is still the given one, which a call that failed rests on: the
// store may have been restored meanwhile, and have given out the offset again.
func (b *Broker) forgetPosition(r *rollout, at fleet.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.position == at {
		r.position = unknownPosition
	}
}

// adopt records the state in the store, and takes over the stage final if it is one. b.mu must be held.
func (b *Broker) adopt(r *rollout, stored fleet.RolloutState, final canary.Stage) {
	r.stored, r.readAt, r.fresh = stored, b.now(), false
	if final.Final() && r.Set(b.now(), final) {
		r.toldAt = -tellInterval // the other hosts are told at once
		b.logStage(b.now(), r, b.state.RolloutSite(b.now(), r.Order.Service))
	}
}

// logStatusError logs that a state could not be read or written. A conflict means that another owner has written.
func (b *Broker) logStatusError(r *rollout, call string, wanted fleet.RolloutState, err error) {
	var conflict *fleet.ConflictError
	b.StatusFailures.Add(1)
	b.deps.Log.Warn("rollout state not stored", "service", r.Order.Service, "call", call, "wanted", wanted.String(),
		"conflict", errors.As(err, &conflict), "error", err)
}
