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
	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// listEvery is the age at which the first host reads the list of upstreams; each further host waits listStep more,
	// so that one reads for all while it is alive and reaches the others.
	listEvery = 800 * time.Millisecond
	listStep  = 50 * time.Millisecond
	// listTick is the time between checks of the age.
	listTick = 40 * time.Millisecond
	// waitOperators is how long a read waits for a new record of the operators.
	waitOperators = 30 * time.Second
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 60 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// outageMemory is how long after a failed call removals count as lapsed entries.
	outageMemory = 2500 * time.Millisecond
)

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

	// Calls and Failed count calls to the store; Operators is the position in the operators' records.
	Calls, Failed atomic.Int64
	operators     atomic.Int64

	mu   sync.Mutex
	list *fleet.List
	// records are the operators' newest records, for hosts that cannot read them.
	records map[string]fleet.Record
	// failed is when a call last failed, negative before the first failure.
	failed time.Duration
	// down is set between a failed call and the next that succeeds.
	down bool
	// cancelPoll ends the read of operators' records that waits; it was sent with an outdated position.
	cancelPoll context.CancelFunc
}

// New returns a watcher with an empty view. Start makes it watch.
func New(deps Deps) *Watcher {
	w := &Watcher{
		deps: deps, start: time.Now(), peers: newPeers(),
		list: fleet.NewList(), records: make(map[string]fleet.Record), failed: -outageMemory,
	}
	w.view.Store(&fleet.View{})
	return w
}

// Start begins to watch.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.done.Go(func() { w.watchOperators(ctx) })
	w.done.Go(func() { w.watchList(ctx) })
	w.done.Go(func() { w.announce(ctx) })
	w.done.Go(func() { w.followPeers(ctx) })
}

// Close stops the watcher and waits.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
	w.peers.Close()
}

// View returns the present view.
func (w *Watcher) View() *fleet.View { return w.view.Load() }

// Position returns the position in the operators' records.
func (w *Watcher) Position() int64 { return w.operators.Load() }

// Age returns the time since the read that confirmed the list of upstreams was sent.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now() - w.list.AsOf
}

func (w *Watcher) now() time.Duration { return time.Since(w.start) }

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

// backoff is the pause after n failed calls in a row.
func backoff(n int) time.Duration { return min(retryFirst<<min(n, 4), retryMost) }

// watchOperators reads the operators' records as they come.
func (w *Watcher) watchOperators(ctx context.Context) {
	failures := 0
	for known := false; ctx.Err() == nil; {
		var err error
		if known {
			known, err = w.readOperators(ctx)
		} else {
			err = w.newestOperators(ctx)
			known = err == nil
		}
		if err == nil {
			failures = 0
			continue
		}
		if !pause.For(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

func (w *Watcher) newestOperators(ctx context.Context) error {
	records, end, err := w.deps.Source.Newest(ctx, fleet.Operators)
	w.called(ctx, "newest operators' records", err)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if end < w.operators.Load() {
		return &StaleError{Have: w.operators.Load(), Got: end}
	}
	w.replaceOperators(records, end)
	return nil
}

// replaceOperators takes over the newest records of all keys. The mutex is held.
func (w *Watcher) replaceOperators(records []fleet.Record, end int64) {
	named := make(map[string]struct{}, len(records))
	for _, r := range records {
		named[r.Key] = struct{}{}
	}
	for key := range w.records {
		if _, ok := named[key]; !ok {
			records = append(records, fleet.Record{Key: key})
		}
	}
	w.applyOperators(records, end)
}

// readOperators returns known as false if the records have to be read anew.
func (w *Watcher) readOperators(ctx context.Context) (known bool, err error) {
	from := w.operators.Load()
	poll, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancelPoll = cancel
	w.mu.Unlock()
	records, next, err := w.deps.Source.Read(poll, fleet.Operators, from, waitOperators)
	if err != nil && poll.Err() != nil && ctx.Err() == nil {
		return true, nil // another host told more meanwhile
	}
	if isGap(err) {
		w.called(ctx, "operators' records", nil)
		w.deps.Log.Info("operators' records were deleted", "from", from)
		return false, nil
	}
	w.called(ctx, "operators' records", err)
	if err != nil {
		return true, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if from == w.operators.Load() {
		w.applyOperators(records, next)
	}
	return true, nil
}

// applyOperators takes over records up to a position. The mutex is held.
func (w *Watcher) applyOperators(records []fleet.Record, next int64) {
	v := *w.view.Load()
	out := make(map[string]struct{}, len(v.Out))
	for dc := range v.Out {
		out[dc] = struct{}{}
	}
	changed := false
	for _, r := range records {
		order, err := w.deps.Source.Operator(r)
		if err != nil {
			w.deps.Log.Error("operators' record not used", "key", r.Key, "error", err)
			continue
		}
		w.records[r.Key] = r
		if len(r.Value) == 0 {
			delete(w.records, r.Key)
		}
		changed = w.obey(&v, out, order) || changed
	}
	w.operators.Store(next)
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
	if changed {
		v.Out = out
		w.publish(&v)
	}
}

// obey changes a view that is being built and reports whether it did.
func (w *Watcher) obey(v *fleet.View, out map[string]struct{}, order fleet.Order) bool {
	if t := order.Routes; t != nil {
		if v.Routes != nil && t.Version <= v.Routes.Version {
			return false
		}
		w.deps.Log.Info("configuration in force", "version", t.Version, "routes", t.Len())
		v.Routes = t
		return true
	}
	_, was := out[order.DataCentre]
	if was == order.Out {
		return false
	}
	w.deps.Log.Info("data centre changed", "dataCentre", order.DataCentre, "out", order.Out)
	if order.Out {
		out[order.DataCentre] = struct{}{}
	} else {
		delete(out, order.DataCentre)
	}
	return true
}

// publish makes a view the present one. The mutex is held.
func (w *Watcher) publish(v *fleet.View) {
	w.view.Store(v)
	w.deps.Changed(v)
}
