// Package broker obtains an upstream for each attempt of a request. It asks the host that owns the service. For services
// that this host owns, it answers the other hosts and probes the upstreams.
package broker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/probing"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
)

const (
	// ownerTimeout is how long a host waits for the owner's answer before it decides without the owner.
	ownerTimeout = 25 * time.Millisecond
	// suspectDuration is how long a host that did not answer is not asked again; the next in the order of owners is asked.
	suspectDuration = 400 * time.Millisecond
	// expireInterval is the time between checks for attempts whose end was not reported in time.
	expireInterval = 500 * time.Millisecond
	// ownerOrderLifetime is how long the order of owners of a service is cached.
	ownerOrderLifetime = 100 * time.Millisecond
	// disputedOrderLifetime replaces it while other hosts may own the service as well, which ends soon.
	disputedOrderLifetime = 20 * time.Millisecond
)

// Decision is the selection for an attempt and the host that made it.
type Decision struct {
	grant.Selection
	ID        grant.AttemptID
	DecidedBy string
}

// Deps are the dependencies of a broker.
type Deps struct {
	Host, DataCentre string
	Node             *mesh.Node
	Pool             *pool.Pool
	Codec            fleet.HeaderCodec
	Log              *slog.Logger
	// View returns the current view, Leaving whether this host is shutting down.
	View    func() *fleet.View
	Leaving func() bool
	// ProbeInterval is the time between probes of one upstream, unless load reports in other responses make some of them
	// unnecessary.
	ProbeInterval time.Duration
	// ProbesPerSecond bounds the probes that this host sends to all upstreams together.
	ProbesPerSecond float64
	// ProbeByDataCentre is set if hosts of the upstreams' data centres probe them for the owner, however few hosts there are.
	ProbeByDataCentre bool
	// Statuses holds the states of orders; nil if this host carries out no rollouts. CanaryShare is the share of the requests
	// of a service that a bad version may get.
	Statuses    StatusStore
	CanaryShare float64
}

// ownerOrder is a cached result of mesh.Node.RankHosts; validUntil is on the broker's clock.
type ownerOrder struct {
	hosts []string
	// disputed is set while another host may take itself for the owner; see mesh.Node.Undisputed.
	disputed bool
	// first holds the first host of each data centre, nil until site needs it.
	first      map[string]string
	validUntil time.Duration
}

// Broker decides which upstreams get attempts, together with the brokers of the other hosts. It is safe for concurrent
// use.
type Broker struct {
	deps   Deps
	start  time.Time
	seq    atomic.Uint64
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// Probes counts the probes sent, WithoutOwner the decisions of this host because the owner did not answer.
	Probes, WithoutOwner atomic.Int64
	// ReportsDropped counts reports of probers that came late or twice, or were old.
	ReportsDropped atomic.Int64
	// RolloutsOwned is the number of rollouts that are not final and that this host decides. RolledBack counts its
	// rollbacks, StatusFailures the reads and writes of states of orders that failed.
	RolloutsOwned, RolledBack, StatusFailures atomic.Int64
	// Explanations counts the explanations given, ExplanationsRejected those beyond maxExplanations.
	Explanations, ExplanationsRejected atomic.Int64

	mu    sync.Mutex
	state *grant.State
	// pending and hedges are keyed by the sequence number of this host's attempt. A channel in pending receives the
	// selections for an undecided attempt, one in hedges the hedges that the owner offers for an attempt in flight.
	pending map[uint64]chan grant.Selection
	hedges  map[uint64]chan<- Decision
	// suspectUntil holds, by host, the time until which a host that did not answer is not asked again.
	suspectUntil map[string]time.Duration
	ownerOrders  map[string]ownerOrder
	probes       map[string]*probeState
	started      probing.Start
	probeTokens  tokens
	reports      probeReports
	work         ownerWork
	explanations explanations
	// rollouts holds the rollouts by service. ordersKnown is set once the orders were read or copied.
	rollouts    map[string]*rollout
	evidenceAt  time.Duration // when the evidence was last logged
	ordersKnown bool
	// storeEra is the latest era of the store in a view, and restoredAt when it followed another one; 0 if it did not.
	storeEra   int64
	restoredAt time.Duration
}

// New starts a broker with its background tasks.
func New(deps Deps, settings grant.Settings) *Broker {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Broker{
		deps:         deps,
		start:        time.Now(),
		cancel:       cancel,
		state:        grant.New(settings),
		pending:      make(map[uint64]chan grant.Selection),
		hedges:       make(map[uint64]chan<- Decision),
		suspectUntil: make(map[string]time.Duration),
		ownerOrders:  make(map[string]ownerOrder),
		probes:       make(map[string]*probeState),
		reports:      probeReports{answers: make(map[string]mesh.ProbeReport), received: make(map[string]*probing.Sequence)},
		rollouts:     make(map[string]*rollout),
	}
	if deps.Statuses != nil {
		b.wg.Go(func() { b.statusLoop(ctx) })
		b.wg.Go(func() { b.rolloutLoop(ctx) })
	}
	b.wg.Go(func() { b.probeLoop(ctx) })
	b.wg.Go(func() {
		for pause.For(ctx, tellInterval) {
			b.tellLeaving()
		}
	})
	b.wg.Go(func() {
		t := time.NewTicker(expireInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.mu.Lock()
				b.state.Expire(b.now())
				b.state.SetHosts(b.deps.Node.Reach())
				b.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	})
	return b
}

// Close stops the background tasks and waits until they have ended.
func (b *Broker) Close() {
	b.cancel()
	b.wg.Wait()
}

// now returns the time since the broker's start, the clock of grant.State.
func (b *Broker) now() time.Duration { return time.Since(b.start) }

// Update replaces the view.
func (b *Broker) Update(v *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetHosts(b.deps.Node.Reach())
	b.state.Update(b.now(), v)
	if b.deps.Statuses != nil {
		b.updateRollouts(v)
	}
}

// SetRetryBudget changes the retry budget; see grant.Settings.
func (b *Broker) SetRetryBudget(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetRetryBudget(ratio, slack, window)
}

// owner returns the host to ask for a service: the first in the order of owners that did not fail to answer recently, or
// this host if there is none. b.mu must be held.
func (b *Broker) owner(now time.Duration, service string) string {
	o := b.ownerOrders[service]
	if now >= o.validUntil {
		before := o.hosts
		o = b.orderOwners(now, service)
		b.ownerOrders[service] = o
		b.state.SetShared(service, o.disputed)
		if len(o.hosts) > 0 && (len(before) == 0 || before[0] != o.hosts[0]) {
			b.deps.Log.Info("owner changed", "service", service, "owner", o.hosts[0], "hosts", len(o.hosts), "disputed", o.disputed)
		}
	}
	for _, host := range o.hosts {
		if now >= b.suspectUntil[host] {
			return host
		}
	}
	return b.deps.Host
}

// orderOwners returns the present order of owners of a service.
func (b *Broker) orderOwners(now time.Duration, service string) ownerOrder {
	leaving := b.deps.Leaving()
	o := ownerOrder{hosts: b.deps.Node.RankHosts(service, leaving), validUntil: now + ownerOrderLifetime}
	if !b.deps.Node.Undisputed(service, leaving) {
		o.disputed, o.validUntil = true, now+disputedOrderLifetime
	}
	return o
}

// Decide returns the owner's decision on a request for an upstream, or this host's own if the owner does not answer in
// time. Until the attempt has ended, the owner may offer a hedge. The hedge is sent to hedges; if the send would block, or
// hedges is nil, the hedge ends as unused.
func (b *Broker) Decide(ctx context.Context, req grant.AttemptRequest, hedges chan<- Decision) Decision {
	d := b.decide(ctx, req, hedges)
	if d.Upstream == "" {
		b.removeHedges(d.ID.Seq)
	}
	return d
}

func (b *Broker) decide(ctx context.Context, req grant.AttemptRequest, hedges chan<- Decision) Decision {
	req.ID = grant.AttemptID{Host: b.deps.Host, Seq: b.seq.Add(1)}
	now := b.now()
	b.mu.Lock()
	if hedges != nil {
		b.hedges[req.ID.Seq] = hedges
	}
	owner := b.owner(now, req.Service)
	selections := make(chan grant.Selection, 2)
	if owner == b.deps.Host {
		sel := b.state.Decide(now, rand.Float64(), req)
		if sel.Reason != grant.Queued {
			b.mu.Unlock()
			return Decision{sel, req.ID, owner}
		}
		selections <- sel
	}
	b.pending[req.ID.Seq] = selections
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.pending, req.ID.Seq)
		b.mu.Unlock()
	}()
	if owner != b.deps.Host {
		b.deps.Node.Send(owner, &mesh.Message{AttemptRequest: &req, Route: req.Route})
	}
	t := time.NewTimer(ownerTimeout)
	defer t.Stop()
	for waiting := true; waiting; {
		select {
		case sel := <-selections:
			if sel.Reason != grant.Queued {
				return Decision{sel, req.ID, owner}
			}
			t.Reset(req.Target) // the owner answers a queued request before its target has passed
		case <-ctx.Done():
			b.leaveQueue(owner, req.ID)
			return Decision{grant.Selection{Reason: grant.RequestEnded}, req.ID, owner}
		case <-t.C:
			waiting = false
		}
	}
	b.WithoutOwner.Add(1)
	req.WithoutOwner = true
	now = b.now()
	b.mu.Lock()
	b.suspectUntil[owner] = now + suspectDuration
	sel := b.state.Decide(now, rand.Float64(), req)
	b.mu.Unlock()
	b.deps.Log.Warn("owner did not answer", "owner", owner, "service", req.Service, "upstream", sel.Upstream, "reason", sel.Reason.String())
	return Decision{sel, req.ID, b.deps.Host}
}

// leaveQueue tells the owner that a request whose caller has disconnected waits no longer. A grant that is on its way ends as unused.
func (b *Broker) leaveQueue(owner string, id grant.AttemptID) {
	end := grant.AttemptEnd{ID: id, Outcome: grant.Unused}
	if owner != b.deps.Host {
		b.deps.Node.Send(owner, &mesh.Message{AttemptEnd: &end})
		return
	}
	b.mu.Lock()
	b.state.EndAttempt(b.now(), end)
	b.mu.Unlock()
}

// removeHedges removes the channel for hedges of an attempt that was not granted.
func (b *Broker) removeHedges(seq uint64) {
	b.mu.Lock()
	delete(b.hedges, seq)
	b.mu.Unlock()
}

// EndAttempt reports the end of an attempt to the host that granted it, with what the upstream has said about further requests
// from this host.
func (b *Broker) EndAttempt(d Decision, end grant.AttemptEnd) {
	end.ID, end.Upstream = d.ID, d.Upstream
	now := b.now()
	b.mu.Lock()
	delete(b.hedges, end.ID.Seq)
	b.state.EndAttempt(now, end)
	notices := b.noticesOf(now, d.Upstream)
	b.mu.Unlock()
	if d.DecidedBy != b.deps.Host {
		b.deps.Node.Send(d.DecidedBy, &mesh.Message{AttemptEnd: &end, Notices: notices})
		return
	}
	b.decideQueued()
}

// Handle handles messages of other hosts that concern attempts, and what they say about upstreams.
func (b *Broker) Handle(m *mesh.Message) {
	now := b.now()
	b.handleNotices(now, m)
	switch {
	case m.RolloutState != nil || m.RolloutAck != nil:
		b.handleRollout(now, m)
	case m.AttemptRequest != nil:
		req := *m.AttemptRequest
		req.Route = m.Route
		b.mu.Lock()
		b.owner(now, req.Service) // it may be disputed
		sel := b.state.Decide(now, rand.Float64(), req)
		b.work.decisions++
		b.work.deciding += b.now() - now
		b.mu.Unlock()
		b.sendSelection(m.AttemptRequest.ID, sel)
	case m.SelectionReply != nil:
		b.deliverSelection(m.From, m.SelectionReply.Seq, m.SelectionReply.Selection)
	case m.AttemptEnd != nil:
		b.mu.Lock()
		b.state.EndAttempt(now, *m.AttemptEnd)
		b.mu.Unlock()
		b.decideQueued()
	case m.ProbeReports != nil:
		b.handleProbeReports(now, m)
	case m.ExplainRequest != nil || m.ExplainReply != nil:
		b.handleExplain(now, m)
	case m.Heartbeat != nil:
		b.recordCold(now, m.Heartbeat.ColdUpstreams)
	case m.Table != nil:
		b.recordCold(now, m.Table.ColdUpstreams)
	}
}

// recordCold records the upstreams that other hosts found cold.
func (b *Broker) recordCold(now time.Duration, cold []mesh.ColdUpstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range cold {
		b.state.RecordCold(now, c.Upstream, c.Left)
	}
}

// sendSelection delivers a selection to the host that asked for it.
func (b *Broker) sendSelection(id grant.AttemptID, sel grant.Selection) {
	if id.Host == b.deps.Host {
		b.deliverSelection(id.Host, id.Seq, sel)
		return
	}
	b.deps.Node.Send(id.Host, &mesh.Message{SelectionReply: &mesh.SelectionReply{Seq: id.Seq, Selection: sel}})
}

// deliverSelection passes a selection to the attempt that waits for it. If none waits any more and an upstream was
// granted, it ends the attempt as unused, so that its slot is freed.
func (b *Broker) deliverSelection(from string, seq uint64, sel grant.Selection) {
	d := Decision{sel, grant.AttemptID{Host: b.deps.Host, Seq: seq}, from}
	b.mu.Lock()
	if original, ok := d.ID.Original(); ok {
		hedges := b.hedges[original.Seq]
		b.mu.Unlock()
		b.offerHedge(hedges, d)
		return
	}
	selections := b.pending[seq]
	if sel.Reason != grant.Queued {
		delete(b.pending, seq)
	}
	delete(b.suspectUntil, from)
	b.mu.Unlock()
	if selections != nil {
		select {
		case selections <- sel:
			return
		default: // a duplicate datagram
		}
	}
	if sel.Upstream != "" {
		b.EndAttempt(d, grant.AttemptEnd{Outcome: grant.Unused})
	}
}

// offerHedge passes a hedge to its request. If the request doesn't accept it, it ends the hedge as unused.
func (b *Broker) offerHedge(hedges chan<- Decision, hedge Decision) {
	select {
	case hedges <- hedge: // the channel is nil, and never ready, if the attempt has ended
	default:
		b.EndAttempt(hedge, grant.AttemptEnd{Outcome: grant.Unused})
	}
}

// decideQueued sends the selections for queued requests that can be decided now.
func (b *Broker) decideQueued() {
	b.mu.Lock()
	now := b.now()
	selections := b.state.DecideQueued(now, rand.Float64())
	b.work.queue += b.now() - now
	b.mu.Unlock()
	b.sendSelections(selections)
}

// offerHedges offers hedges for attempts that will probably miss their latency target.
func (b *Broker) offerHedges() {
	b.mu.Lock()
	now := b.now()
	hedges := b.state.OfferHedges(now, rand.Float64())
	b.work.hedges += b.now() - now
	b.mu.Unlock()
	b.sendSelections(hedges)
}

// sendSelections delivers selections to the hosts that asked for them.
func (b *Broker) sendSelections(selections []grant.AttemptSelection) {
	for _, s := range selections {
		b.sendSelection(s.ID, s.Selection)
	}
}

// Cold returns the upstreams that this host knows to be cold, with the time for which they stay cold.
func (b *Broker) Cold() []mesh.ColdUpstream {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var cold []mesh.ColdUpstream
	for id, left := range b.state.ColdUpstreams(now) {
		cold = append(cold, mesh.ColdUpstream{Upstream: id, Left: left})
	}
	return cold
}
