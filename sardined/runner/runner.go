// Package runner passes events to the reducer and carries out the effects that it returns.
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

// Reducer turns events into effects; core.State implements it.
type Reducer interface {
	Step(now time.Duration, rnd uint64, ev core.Event) []core.Effect
	Wake() time.Duration
	Status() core.Status
	Addresses(now time.Duration, class ident.ClassName) ([]core.Address, time.Duration)
}

var _ Reducer = (*core.State)(nil)

// Log reads and appends to streams of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (applog.Batch, error)
}

// HostList reads the platform's list of hosts and upstreams.
type HostList interface {
	Read(ctx context.Context) ([]roster.Entry, error)
}

// Links maintains the connections to other hosts.
type Links interface {
	// SetPeers replaces the set of hosts to maintain links with; it does not block.
	SetPeers(peers []core.PeerAddress)
	// Send queues a message; it does not block, and the message may be lost.
	Send(to ident.HostID, m core.Message)
	// Relay sends the request to another host, which runs it, and writes that host's answer to sink. It reports
	// whether the head of the answer was passed to sink. If it was, a non-nil error means that the answer is incomplete.
	Relay(ctx context.Context, to ident.HostID, req *Request, sink Sink) (bool, error)
}

// Upstreams sends attempts and probes to upstreams.
type Upstreams interface {
	NewAttempt(req proxy.Request) *proxy.Attempt
	Probe(ctx context.Context, address string) (core.LoadReport, error)
}

var _ Upstreams = (*proxy.Client)(nil)

// Deps holds the services that a runner uses.
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

// NewClock returns a clock that starts at zero.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since NewClock was called.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// NewIncarnation returns a random incarnation, which identifies this process among all runs of the host. It is never zero.
func NewIncarnation() ident.Incarnation {
	for {
		if n := ident.Incarnation(randomUint64()); n != 0 {
			return n
		}
	}
}

func randomUint64() uint64 {
	var b [8]byte
	// Read never returns an error: it crashes the program if the system's random source fails.
	_, _ = crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Runner serialises all access to the reducer with one mutex. It carries out effects in the order of the steps that
// returned them, without holding that mutex.
type Runner struct {
	deps          Deps
	ctx           context.Context
	cancel        context.CancelFunc
	lastRequestID atomic.Uint64
	timer         *time.Timer
	// stopped is closed by the effect core.Stop: the reducer has no request left to serve.
	stopped    chan struct{}
	stopOnce   sync.Once
	logLimiter logLimiter

	// mu guards the reducer, rnd and wakeAt. It is locked before effectMu.
	mu  sync.Mutex
	rnd *rand.Rand
	// wakeAt is the time at which the timer fires, math.MaxInt64 if it is not set.
	wakeAt time.Duration

	// effectMu is locked while mu is still held, so that effects are carried out in the order of their steps.
	effectMu sync.Mutex
	// effects is a copy of the effects of the current step. It is guarded by effectMu.
	effects []core.Effect

	// callsMu guards calls, closed, and the fields of a call that say so.
	callsMu sync.Mutex
	calls   map[ident.RequestID]*call
	// closed is set by Close; no goroutine is added to tasks after that.
	closed bool
	// tasks counts the goroutines that Close waits for.
	tasks sync.WaitGroup
}

// New starts a runner and applies the first Tick.
func New(deps Deps) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		deps:    deps,
		ctx:     ctx,
		cancel:  cancel,
		timer:   time.NewTimer(math.MaxInt64),
		wakeAt:  math.MaxInt64,
		stopped: make(chan struct{}),
		rnd:     rand.New(rand.NewPCG(randomUint64(), randomUint64())),
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

// Step applies an event to the reducer and carries out the returned effects, none of which blocks.
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

// tick applies a Tick when the timer has fired. If the reducer's wake time has moved to a later time since the timer was
// set, tick sets the timer again instead.
func (r *Runner) tick() {
	r.mu.Lock()
	wake := r.deps.Reducer.Wake()
	due := wake <= r.Now()
	if due {
		// The Step below sets the timer again.
		r.wakeAt = math.MaxInt64
	} else {
		r.setTimer(wake)
	}
	r.mu.Unlock()
	if due {
		r.Step(core.Tick{})
	}
}

// setTimer makes the timer fire at wake. r.mu must be held.
func (r *Runner) setTimer(wake time.Duration) {
	r.wakeAt = wake
	r.timer.Reset(max(wake-r.Now(), 0))
}

// Status returns a snapshot of the reducer's state.
func (r *Runner) Status() core.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.Reducer.Status()
}

// Addresses returns the addresses of the hosts that callers of a class may use, and how long they may use them.
func (r *Runner) Addresses(class ident.ClassName) ([]core.Address, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.Reducer.Addresses(r.Now(), class)
}

// Stopped returns a channel that is closed when the graceful shutdown is complete: the reducer has no request left to
// serve.
func (r *Runner) Stopped() <-chan struct{} { return r.stopped }

// Close aborts all requests and attempts in progress and waits for all goroutines of the runner.
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

// spawn runs f in a goroutine that Close waits for. It returns false, without running f, if the runner is closed.
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
