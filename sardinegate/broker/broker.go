// Package broker finds an upstream for each request: it asks the owner of the service, answers the asks of other
// hosts for services that this host owns, and probes the upstreams of those.
package broker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
)

const (
	// askTimeout is how long a host waits for the owner before it decides alone.
	askTimeout = 25 * time.Millisecond
	// suspectFor is how long an owner that did not answer is passed over.
	suspectFor = 400 * time.Millisecond
	// expireEvery is the time between searches for attempts whose end was not reported.
	expireEvery = 500 * time.Millisecond
	// orderFor is how long the order of owners is kept.
	orderFor = 100 * time.Millisecond
)

// Grant is a verdict and the host that gave it.
type Grant struct {
	grant.Selection
	ID grant.AttemptID
	By string
}

// Deps are what a broker works with.
type Deps struct {
	Host    string
	Node    *mesh.Node
	Pool    *pool.Pool
	Dialect fleet.HeaderCodec
	Log     *slog.Logger
	// View returns the present view, Leaving whether this host is shutting down.
	View    func() *fleet.View
	Leaving func() bool
	// ProbeEvery is the time between probes of one upstream.
	ProbeEvery time.Duration
}

type ownerOrder struct {
	hosts []string
	until time.Duration
}

// Broker is safe for concurrent use.
type Broker struct {
	deps  Deps
	start time.Time
	seq   atomic.Uint64
	stop  context.CancelFunc
	done  sync.WaitGroup

	// Probes counts probes; Alone counts decisions without the owner.
	Probes, Alone atomic.Int64

	mu      sync.Mutex
	state   *grant.State
	pending map[uint64]chan grant.Selection
	// seconds takes the second attempts that owners offer for the asks of this host.
	seconds map[uint64]chan<- Grant
	suspect map[string]time.Duration
	orders  map[string]ownerOrder
	probes  map[string]*probe
}

// New starts a broker.
func New(deps Deps, settings grant.Settings) *Broker {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Broker{
		deps:    deps,
		start:   time.Now(),
		stop:    cancel,
		state:   grant.New(settings),
		pending: make(map[uint64]chan grant.Selection),
		seconds: make(map[uint64]chan<- Grant),
		suspect: make(map[string]time.Duration),
		orders:  make(map[string]ownerOrder),
		probes:  make(map[string]*probe),
	}
	b.done.Go(func() { b.probeLoop(ctx) })
	b.done.Go(func() {
		t := time.NewTicker(expireEvery)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.mu.Lock()
				b.state.Expire(b.now())
				b.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	})
	return b
}

// Close stops probing and waits.
func (b *Broker) Close() {
	b.stop()
	b.done.Wait()
}

func (b *Broker) now() time.Duration { return time.Since(b.start) }

// Update takes over a new view.
func (b *Broker) Update(v *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetHosts(len(b.deps.Node.Alive()) + 1)
	b.state.Update(b.now(), v)
}

// SetRepeats changes the bound of the repeated attempts.
func (b *Broker) SetRepeats(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetRetryBudget(ratio, slack, window)
}

// owner returns the host to ask for a service. The mutex is held.
func (b *Broker) owner(now time.Duration, service string) string {
	o := b.orders[service]
	if now >= o.until {
		before := o.hosts
		o = ownerOrder{b.deps.Node.RankOwners(service, b.deps.Leaving()), now + orderFor}
		b.orders[service] = o
		if len(o.hosts) > 0 && (len(before) == 0 || before[0] != o.hosts[0]) {
			b.deps.Log.Info("owner changed", "service", service, "owner", o.hosts[0], "hosts", len(o.hosts))
		}
	}
	for _, host := range o.hosts {
		if now >= b.suspect[host] {
			return host
		}
	}
	return b.deps.Host
}

// Ask returns a decision on an ask: the owner's, or that of this host if the owner does not answer in time. Until the
// attempt is finished, the owner may offer a second one, which seconds takes; it must not block.
func (b *Broker) Ask(ctx context.Context, a grant.AttemptRequest, seconds chan<- Grant) Grant {
	g := b.ask(ctx, a, seconds)
	if g.Upstream == "" {
		b.forget(g.ID.Seq)
	}
	return g
}

func (b *Broker) ask(ctx context.Context, a grant.AttemptRequest, seconds chan<- Grant) Grant {
	a.ID = grant.AttemptID{Host: b.deps.Host, Seq: b.seq.Add(1)}
	now := b.now()
	b.mu.Lock()
	if seconds != nil {
		b.seconds[a.ID.Seq] = seconds
	}
	owner := b.owner(now, a.Service)
	answer := make(chan grant.Selection, 2)
	if owner == b.deps.Host {
		v := b.state.Decide(now, rand.Float64(), a)
		if v.Reason != grant.Queued {
			b.mu.Unlock()
			return Grant{v, a.ID, owner}
		}
		answer <- v
	}
	b.pending[a.ID.Seq] = answer
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.pending, a.ID.Seq)
		b.mu.Unlock()
	}()
	if owner != b.deps.Host {
		b.deps.Node.Send(owner, &mesh.Message{AttemptRequest: &a})
	}
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	for waiting := true; waiting; {
		select {
		case v := <-answer:
			if v.Reason != grant.Queued {
				return Grant{v, a.ID, owner}
			}
			t.Reset(a.Target) // the owner refuses before that
		case <-ctx.Done():
			return Grant{grant.Selection{Reason: grant.RequestEnded}, a.ID, owner}
		case <-t.C:
			waiting = false
		}
	}
	b.Alone.Add(1)
	a.WithoutOwner = true
	now = b.now()
	b.mu.Lock()
	b.suspect[owner] = now + suspectFor
	v := b.state.Decide(now, rand.Float64(), a)
	b.mu.Unlock()
	b.deps.Log.Warn("owner did not answer", "owner", owner, "service", a.Service, "upstream", v.Upstream, "reason", v.Reason.String())
	return Grant{v, a.ID, b.deps.Host}
}

// forget drops the channel of a refused ask.
func (b *Broker) forget(seq uint64) {
	b.mu.Lock()
	delete(b.seconds, seq)
	b.mu.Unlock()
}

// Finish reports the end of an attempt to the host that granted it.
func (b *Broker) Finish(g Grant, d grant.AttemptEnd) {
	d.ID, d.Upstream = g.ID, g.Upstream
	b.mu.Lock()
	delete(b.seconds, d.ID.Seq)
	b.state.EndAttempt(b.now(), d)
	b.mu.Unlock()
	if g.By != b.deps.Host {
		b.deps.Node.Send(g.By, &mesh.Message{AttemptEnd: &d})
		return
	}
	b.release()
}

// Handle takes the messages that concern grants.
func (b *Broker) Handle(m *mesh.Message) {
	now := b.now()
	switch {
	case m.AttemptRequest != nil:
		b.mu.Lock()
		v := b.state.Decide(now, rand.Float64(), *m.AttemptRequest)
		b.mu.Unlock()
		b.tell(m.AttemptRequest.ID, v)
	case m.SelectionReply != nil:
		b.resolve(m.From, m.SelectionReply.Seq, m.SelectionReply.Selection)
	case m.AttemptEnd != nil:
		b.mu.Lock()
		b.state.EndAttempt(now, *m.AttemptEnd)
		b.mu.Unlock()
		b.release()
	case m.Heartbeat != nil:
		b.mu.Lock()
		for _, c := range m.Heartbeat.ColdUpstreams {
			b.state.RecordCold(now, c.Upstream, c.Left)
		}
		b.mu.Unlock()
	}
}

// tell sends a verdict to the host that asked.
func (b *Broker) tell(id grant.AttemptID, v grant.Selection) {
	if id.Host == b.deps.Host {
		b.resolve(id.Host, id.Seq, v)
		return
	}
	b.deps.Node.Send(id.Host, &mesh.Message{SelectionReply: &mesh.SelectionReply{Seq: id.Seq, Selection: v}})
}

// resolve hands a verdict to the request that waits for it; a grant that nobody waits for is returned.
func (b *Broker) resolve(from string, seq uint64, v grant.Selection) {
	g := Grant{v, grant.AttemptID{Host: b.deps.Host, Seq: seq}, from}
	b.mu.Lock()
	if first, ok := g.ID.Original(); ok {
		seconds := b.seconds[first.Seq]
		b.mu.Unlock()
		b.offer(seconds, g)
		return
	}
	answer := b.pending[seq]
	if v.Reason != grant.Queued {
		delete(b.pending, seq)
	}
	delete(b.suspect, from)
	b.mu.Unlock()
	if answer != nil {
		select {
		case answer <- v:
			return
		default: // a doubled datagram
		}
	}
	if v.Upstream != "" {
		b.Finish(g, grant.AttemptEnd{Outcome: grant.Unused})
	}
}

// offer hands a second attempt to its request; one that is not taken is returned.
func (b *Broker) offer(seconds chan<- Grant, g Grant) {
	select {
	case seconds <- g: // never ready if the request has ended
	default:
		b.Finish(g, grant.AttemptEnd{Outcome: grant.Unused})
	}
}

// release decides on the asks that wait for room.
func (b *Broker) release() {
	b.mu.Lock()
	released := b.state.DecideQueued(b.now(), rand.Float64())
	b.mu.Unlock()
	b.tellAll(released)
}

// hedge offers second attempts to requests in flight.
func (b *Broker) hedge() {
	b.mu.Lock()
	offered := b.state.OfferHedges(b.now(), rand.Float64())
	b.mu.Unlock()
	b.tellAll(offered)
}

func (b *Broker) tellAll(released []grant.AttemptSelection) {
	for _, r := range released {
		b.tell(r.ID, r.Selection)
	}
}

// Cold returns the upstreams that this host knows to be cold.
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
