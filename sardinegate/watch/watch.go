// Package watch keeps a host's view of the configuration and of the upstreams up to date. It reads the platform's store
// and exchanges what was read with other hosts.
package watch

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/common/httpc"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// Node exchanges messages with the other hosts; see mesh.Node.
type Node interface {
	// Alive returns the other hosts that are alive, sorted by name.
	Alive() []mesh.Member
	// RankHosts returns the hosts that may do a task for all hosts, the preferred one first.
	RankHosts(task string, leaving bool) []string
	// Broadcast sends a message to all hosts that are alive. It may be lost.
	Broadcast(m *mesh.Message)
	// Send sends a message to a host and reports whether the host is known. It may be lost.
	Send(host string, m *mesh.Message) bool
	// AddAddress adds the address of a host that may be alive, and SendHeartbeat sends a heartbeat to all known addresses.
	// AddressesKnown tells the node that these are the addresses of all hosts.
	AddAddress(addr netip.Addr)
	SendHeartbeat()
	AddressesKnown()
}

// Deps holds the dependencies of a watcher.
type Deps struct {
	// Host and IP are the name and the address of this host.
	Host   string
	IP     netip.Addr
	Source fleet.Source
	Node   Node
	Log    *slog.Logger
	// OnViewChange is called with each new view. Calls do not overlap.
	OnViewChange func(*fleet.View)
}

// Watcher follows the streams of the store and holds the current view. It is safe for concurrent use.
type Watcher struct {
	deps       Deps
	start      time.Time
	stop       context.CancelFunc
	done       sync.WaitGroup
	view       atomic.Pointer[fleet.View]
	hostClient *httpc.Client
	// fetch returns the encoded snapshot of another host.
	fetch func(ctx context.Context, m mesh.Member) ([]byte, error)
	// serving has one element for each snapshot that is being served to another host.
	serving chan struct{}
	// copying is locked while this host copies from others.
	copying sync.Mutex
	// remembers is set once this host knows what was removed lately, from another host or since its start.
	remembers atomic.Bool

	// StoreCalls counts calls to the store, FailedStoreCalls those that failed.
	StoreCalls, FailedStoreCalls atomic.Int64
	// SpansBeyondGap counts the spans from other hosts that begin after this host's position. ListDifferences counts those
	// after which this host's list of upstreams differed from the sender's.
	SpansBeyondGap, ListDifferences atomic.Int64
	// StoreRestores counts how often this host learnt that the store was restored from a copy.
	StoreRestores atomic.Int64

	mu   sync.Mutex
	list *fleet.List
	// operators holds the operators' records. Their position was confirmed by a read that was sent at operatorsAsOf.
	operators     *fleet.OperatorRecords
	operatorsAsOf time.Duration
	era           knownEra
	// storeDown is set from a failed call to the store until the next that succeeds.
	storeDown bool
}

// New returns a watcher with an empty view. It reads nothing until Start is called.
func New(deps Deps) *Watcher {
	w := &Watcher{
		deps: deps, start: time.Now(), hostClient: httpc.New(1),
		list: fleet.NewList(), serving: make(chan struct{}, maxServed),
	}
	w.operators = fleet.NewOperatorRecords(w.removeOperatorRecord)
	w.fetch = func(ctx context.Context, m mesh.Member) ([]byte, error) { return w.requestSnapshot(ctx, m.Address()) }
	w.view.Store(&fleet.View{})
	return w
}

// Start starts to follow the streams of the store and announces this host.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done.Go(func() { w.follow(ctx, w.operatorStream()) })
	w.done.Go(func() { w.follow(ctx, w.upstreamStream()) })
	w.done.Go(func() { w.announceInEachEra(ctx) })
	w.done.Go(func() { w.join(ctx) })
	w.done.Go(func() { w.catchUp(ctx) })
}

// Close stops the watcher and waits until its goroutines have ended.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
	w.hostClient.Close()
}

// View returns the current view.
func (w *Watcher) View() *fleet.View { return w.view.Load() }

// Progress returns how far this host knows the operators' records and the list of upstreams.
func (w *Watcher) Progress() (operators, list fleet.Progress) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.operators.Progress, w.list.Progress
}

// Remembers reports whether this host knows what was removed lately.
func (w *Watcher) Remembers() bool { return w.remembers.Load() }

// Ages returns the times since the reads that confirmed the operators' records and the list of upstreams were sent.
func (w *Watcher) Ages() (operators, list time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	return now - w.operatorsAsOf, now - w.list.Reads.Last
}

// now returns the time since the watcher was created.
func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// Handle applies the spans of the store that another host has read and sent. It ignores all other messages, but for the eras of
// the store that they tell.
func (w *Watcher) Handle(m *mesh.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEras(m)
	v := w.view.Load()
	if l := m.ListChanges; l != nil && v.Listed && l.Span.Era == w.list.Position.Era {
		w.handleListChanges(m.From, l)
	}
	if o := m.OperatorRecords; o != nil && v.Routes != nil && o.Span.Era == w.operators.Position.Era {
		w.countGap(o.Span, w.operators.Position)
		w.applyOperatorSpan(w.now()-o.Span.Age, o.Span.Start(), o.Span.End(), o.Records)
	}
}

// countGap counts a span that begins after the position that this host knows.
func (w *Watcher) countGap(s mesh.Span, position fleet.Position) {
	if s.Start().After(position) {
		w.SpansBeyondGap.Add(1)
	}
}

// publish makes v the current view and calls OnViewChange. w.mu must be held.
func (w *Watcher) publish(v *fleet.View) {
	w.view.Store(v)
	w.deps.OnViewChange(v)
}

// recordStoreCall counts a call to the store and logs when the store is lost or regained. A call that failed because the
// watcher is closing only counts as a call.
func (w *Watcher) recordStoreCall(ctx context.Context, call string, err error) {
	w.StoreCalls.Add(1)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	wasDown := w.storeDown
	w.storeDown = err != nil
	operators, list := w.operators.Position, w.list.Position
	w.mu.Unlock()
	log := w.deps.Log.With("call", call, "era", operators.Era, "operatorsOffset", operators.Offset, "listEra", list.Era, "listOffset", list.Offset)
	switch {
	case err != nil:
		w.FailedStoreCalls.Add(1)
		if !wasDown {
			log.Warn("store lost", "error", err)
		}
	case wasDown:
		log.Info("store regained")
	}
}
