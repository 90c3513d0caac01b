// Package watch keeps a host's view of the configuration and of the upstreams up to date from the platform's store
// and from other hosts.
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

// outageMemory is how long after a failed call removals count as lapsed entries.
const outageMemory = 2500 * time.Millisecond

// Deps are what a watcher works with.
type Deps struct {
	Host   string
	IP     netip.Addr
	Source fleet.Source
	Node   *mesh.Node
	Log    *slog.Logger
	// Changed is called with each new view, one call at a time.
	Changed func(*fleet.View)
}

// Watcher is safe for concurrent use.
type Watcher struct {
	deps  Deps
	start time.Time
	stop  context.CancelFunc
	done  sync.WaitGroup
	view  atomic.Pointer[fleet.View]
	peers *httpc.Client

	// Calls and Failed count calls to the store.
	Calls, Failed atomic.Int64

	mu   sync.Mutex
	list *fleet.List
	// operators is the position in the operators' records, confirmed by a read that was sent at operatorsAsOf.
	operators     int64
	operatorsAsOf time.Duration
	// records are the operators' newest records, for hosts that cannot read them.
	records map[string]fleet.Record
	// failed is when a call last failed.
	failed time.Duration
	// down is set between a failed call and the next that succeeds.
	down bool
}

// New returns a watcher with an empty view. Start makes it watch.
func New(deps Deps) *Watcher {
	w := &Watcher{
		deps: deps, start: time.Now(), peers: httpc.New(1),
		list: fleet.NewList(), records: make(map[string]fleet.Record), failed: -outageMemory,
	}
	w.view.Store(&fleet.View{})
	return w
}

// Start begins to watch.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done.Go(func() { w.follow(ctx, w.operatorStream()) })
	w.done.Go(func() { w.follow(ctx, w.upstreamStream()) })
	w.done.Go(func() { w.announce(ctx) })
	w.done.Go(func() { w.join(ctx) })
}

// Close stops the watcher and waits.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
	w.peers.Close()
}

// View returns the present view.
func (w *Watcher) View() *fleet.View { return w.view.Load() }

// Positions returns the positions in the operators' records and in the list of upstreams.
func (w *Watcher) Positions() (operators, list int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.operators, w.list.Offset
}

// Ages returns the times since the reads that confirmed the configuration and the list of upstreams were sent.
func (w *Watcher) Ages() (operators, list time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	return now - w.operatorsAsOf, now - w.list.AsOf
}

func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// Handle takes the messages that concern the view.
func (w *Watcher) Handle(m *mesh.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.view.Load()
	if l := m.List; l != nil && v.Listed {
		w.applyList(w.now()-l.Span.Age, l.Span.From, l.Span.To, l.Changes)
	}
	if o := m.Orders; o != nil && v.Routes != nil {
		w.applyOperators(w.now()-o.Span.Age, o.Span.From, o.Span.To, o.Records)
	}
}

// publish makes a view the present one. The mutex is held.
func (w *Watcher) publish(v *fleet.View) {
	w.view.Store(v)
	w.deps.Changed(v)
}

// called counts a call to the store and notes lost and regained service.
func (w *Watcher) called(ctx context.Context, what string, err error) {
	w.Calls.Add(1)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	was := w.down
	w.down = err != nil
	if err != nil {
		w.failed = w.now()
	}
	w.mu.Unlock()
	switch {
	case err != nil:
		w.Failed.Add(1)
		if !was {
			w.deps.Log.Warn("store lost", "call", what, "error", err)
		}
	case was:
		w.deps.Log.Info("store regained", "call", what)
	}
}

// afterOutage reports whether removals may only reflect an outage of the store. The mutex is held.
func (w *Watcher) afterOutage() bool { return w.now()-w.failed < outageMemory }
