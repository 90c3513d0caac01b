// Package runner feeds events to the reducer and carries out its effects.
package runner

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/roster"
	"sardinecross.example/sardined/metric"
	"sardinecross.example/sardined/proxy"
)

// Reducer decides; core.State is one.
type Reducer interface {
	Step(now time.Duration, rnd uint64, ev core.Event) []core.Effect
	Wake() time.Duration
	Status() core.Status
	Addresses(now time.Duration, class ident.ClassName) ([]core.Address, time.Duration)
}

var _ Reducer = (*core.State)(nil)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (applog.Batch, error)
}

// HostList is the platform's host list.
type HostList interface {
	Read(ctx context.Context) ([]roster.Entry, error)
}

// Links are the connections to other hosts.
type Links interface {
	// SetPeers replaces the hosts to keep links with; it does not block.
	SetPeers(peers []core.PeerAddress)
	// Send queues a message; it does not block, and the message may be lost.
	Send(to ident.HostID, m core.Message)
	// Relay has another host run the request and writes its answer to sink. It reports whether the head of the
	// answer reached the sink; if so the answer is incomplete unless the error is nil.
	Relay(ctx context.Context, to ident.HostID, req *Request, sink Sink) (bool, error)
}

// Upstreams carries out attempts.
type Upstreams interface {
	NewAttempt(req proxy.Request) *proxy.Attempt
	Probe(ctx context.Context, address string) (core.LoadReport, error)
}

var _ Upstreams = (*proxy.Client)(nil)

// Deps is what a runner needs.
type Deps struct {
	Reducer   Reducer
	Clock     Clock
	Log       Log
	HostList  HostList
	Links     Links
	Upstreams Upstreams
	Metrics   *metric.Set
	Logger    *slog.Logger
}

// Clock is the reducer's clock: monotonic time since the start of the process.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// NewIncarnation draws the number of this process.
func NewIncarnation() ident.Incarnation {
	for {
		if n := ident.Incarnation(seed()); n != 0 {
			return n
		}
	}
}

func seed() uint64 {
	var b [8]byte
	// Read never fails; it ends the program if the system has no random source.
	_, _ = crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Runner holds the one mutex around the reducer. Effects are carried out in the order of the steps, outside of that mutex.
type Runner struct {
	deps   Deps
	ctx    context.Context
	cancel context.CancelFunc
	ids    atomic.Uint64
	timer  *time.Timer
	// stopped is closed when the reducer has nothing left to serve.
	stopped  chan struct{}
	stopOnce sync.Once
	notices  notices

	// mu guards the reducer and the fields below; it is taken before effectMu.
	mu  sync.Mutex
	rnd *rand.Rand
	// wakeAt is when the timer fires.
	wakeAt time.Duration

	// effectMu is taken before mu is released, so that effects keep the order of their steps.
	effectMu sync.Mutex
	// effects is a copy of the current step's, guarded by effectMu.
	effects []core.Effect

	// callsMu guards the fields below.
	callsMu sync.Mutex
	calls   map[ident.RequestID]*call
	// closed is true once Close was called; no goroutine joins tasks after that.
	closed bool
	tasks  sync.WaitGroup
}

// New returns a running runner.
func New(deps Deps) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		deps:    deps,
		ctx:     ctx,
		cancel:  cancel,
		timer:   time.NewTimer(math.MaxInt64),
		wakeAt:  math.MaxInt64,
		stopped: make(chan struct{}),
		rnd:     rand.New(rand.NewPCG(seed(), seed())),
		calls:   make(map[ident.RequestID]*call),
	}
	r.spawn(func() {
		for {
			select {
			case <-r.timer.C:
				r.tick()
			case <-ctx.Done():
				return
			}
		}
	})
	r.Step(core.Tick{})
	return r
}

// Now returns the time on the reducer's clock.
func (r *Runner) Now() time.Duration { return r.deps.Clock.Now() }

// Step applies an event and carries out its effects; none of them blocks.
func (r *Runner) Step(ev core.Event) {
	r.mu.Lock()
	effects := r.deps.Reducer.Step(r.Now(), r.rnd.Uint64(), ev)
	if wake := r.deps.Reducer.Wake(); wake < r.wakeAt {
		r.setTimer(wake)
	}
	if len(effects) == 0 {
		r.mu.Unlock()
		return
	}
	r.effectMu.Lock()
	r.effects = append(r.effects[:0], effects...)
	r.mu.Unlock()
	for _, e := range r.effects {
		r.carryOut(e)
	}
	clear(r.effects)
	r.effectMu.Unlock()
}

// tick runs when the timer fired; the time to wake may have moved since it was set.
func (r *Runner) tick() {
	r.mu.Lock()
	wake := r.deps.Reducer.Wake()
	due := wake <= r.Now()
	if due {
		// Step sets the timer for the time after the tick.
		r.wakeAt = math.MaxInt64
	} else {
		r.setTimer(wake)
	}
	r.mu.Unlock()
	if due {
		r.Step(core.Tick{})
	}
}

// setTimer requires mu.
func (r *Runner) setTimer(wake time.Duration) {
	r.wakeAt = wake
	r.timer.Reset(max(wake-r.Now(), 0))
}

// Status returns a copy of the reducer's state.
func (r *Runner) Status() core.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.Reducer.Status()
}

// Addresses returns the hosts that a caller of a class may use.
func (r *Runner) Addresses(class ident.ClassName) ([]core.Address, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.Reducer.Addresses(r.Now(), class)
}

// Stopped is closed when the reducer has nothing left to serve.
func (r *Runner) Stopped() <-chan struct{} { return r.stopped }

// Close ends everything in flight and waits for it.
func (r *Runner) Close() {
	r.callsMu.Lock()
	r.closed = true
	for _, c := range r.calls {
		c.abort()
		for _, a := range c.attempts {
			a.Abort()
		}
	}
	r.callsMu.Unlock()
	r.cancel()
	r.timer.Stop()
	r.tasks.Wait()
}

// spawn runs f unless the runner is closed; Close waits for it.
func (r *Runner) spawn(f func()) bool {
	r.callsMu.Lock()
	if r.closed {
		r.callsMu.Unlock()
		return false
	}
	r.tasks.Add(1)
	r.callsMu.Unlock()
	go func() {
		defer r.tasks.Done()
		f()
	}()
	return true
}
