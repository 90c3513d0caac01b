// Package worker is the stand-in for upstreams: many workers in one process, each with its own address and faults.
package worker

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/common/serve"
)

const (
	// slowFactor multiplies the service time of work above what a cold worker bears.
	slowFactor = 10
	// fallAfter is how many requests above the bearable ones make a cold worker fall over, fallTime how long it then sheds.
	fallAfter = 3
	fallTime  = 500 * time.Millisecond
	// z99 is the 99th percentile of the standard normal distribution.
	z99 = 2.3263
)

// Worker is one running upstream.
type Worker struct {
	place Place
	cfg   Service

	// life is held while the listener is opened or closed.
	life sync.Mutex
	// server is nil while the worker is down or closed.
	server *serve.Server

	mu          sync.Mutex
	rng         *rand.Rand
	faults      Faults
	incarnation string
	// bearable is from cfg.ColdSlots to cfg.Slots; below cfg.Slots the worker is cold.
	bearable int
	// warmed counts completed requests since bearable last changed.
	warmed int
	// overloads counts requests above bearable since the worker became cold or last fell over.
	overloads int
	fallen    time.Time
	// inFlight counts arrived requests, running those that hold a slot; running is at most cfg.Slots.
	inFlight, running int
	waiting           []*ticket
	// stalled is the time until which connections and probes occupy the worker.
	stalled     time.Time
	disconnects int
	counts      Counts
	orders      map[string]Execution
	reports     []sample
	// previous is the last request that was answered; a crossed answer takes its identity.
	previous identity
}

// ticket is one request that waits for a slot; ready is closed when it holds one.
type ticket struct{ ready chan struct{} }

// newWorker starts a worker.
func newWorker(place Place, cfg Service, seed uint64) (*Worker, error) {
	w := &Worker{
		place:    place,
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		bearable: cfg.Slots,
		orders:   make(map[string]Execution),
	}
	if !cfg.Warm {
		w.bearable = cfg.ColdSlots
	}
	return w, w.open()
}

// open starts an incarnation if there is none.
func (w *Worker) open() error {
	w.life.Lock()
	defer w.life.Unlock()
	if w.server != nil {
		return nil
	}
	w.mu.Lock()
	// Incarnations must differ between runs with the same seed, so they do not come from w.rng.
	w.incarnation = strconv.FormatUint(rand.Uint64(), 16)
	w.reports = nil
	w.mu.Unlock()
	r := mux.NewRouter()
	r.HandleFunc("/load", w.load).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(w.serve)
	s, err := serve.Listen(w.place.Address, r, w.connection)
	if err != nil {
		return err
	}
	w.server = s
	if w.place.Address.Port() == 0 {
		w.place.Address = s.Addr()
	}
	return nil
}

// shut ends the incarnation and waits for its handlers.
func (w *Worker) shut() {
	w.life.Lock()
	defer w.life.Unlock()
	if w.server == nil {
		return
	}
	w.server.Close()
	w.server = nil
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Restarts++
	w.cool()
}

// cool is called with w.mu held.
func (w *Worker) cool() {
	w.bearable = w.cfg.ColdSlots
	w.warmed, w.overloads = 0, 0
	w.fallen = time.Time{}
}

// connection charges new connections and refuses those above the limit.
func (w *Worker) connection(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.counts.OpenConnections++
		w.counts.GreatestConnections = max(w.counts.GreatestConnections, w.counts.OpenConnections)
		if w.counts.OpenConnections > w.cfg.Connections {
			w.counts.RefusedConnections++
			_ = c.Close()
			return
		}
		w.counts.Connections++
		w.counts.ConnectionTime += millis(w.cfg.ConnectionCost)
		w.stall(w.cfg.ConnectionCost)
	case http.StateClosed, http.StateHijacked:
		w.counts.OpenConnections--
	}
}

// stall is called with w.mu held; it occupies the worker for d after what occupies it already.
func (w *Worker) stall(d time.Duration) time.Time {
	now := time.Now()
	if w.stalled.Before(now) {
		w.stalled = now
	}
	w.stalled = w.stalled.Add(d)
	return w.stalled
}

// pause waits until neither connections nor probes occupy the worker.
func (w *Worker) pause(ctx context.Context) bool {
	for {
		w.mu.Lock()
		rest := time.Until(w.stalled)
		w.mu.Unlock()
		if rest <= 0 {
			return true
		}
		if !pause.For(ctx, rest) {
			return false
		}
	}
}

// acquire waits for a slot; it returns false if ctx ended first.
func (w *Worker) acquire(ctx context.Context) bool {
	w.mu.Lock()
	if w.running < w.cfg.Slots {
		w.running++
		w.mu.Unlock()
		return true
	}
	t := &ticket{ready: make(chan struct{})}
	w.waiting = append(w.waiting, t)
	w.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.waiting {
		if o == t {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return false
		}
	}
	// The slot was handed over at the same moment.
	w.release()
	return false
}

// release is called with w.mu held; it hands the slot to the next request that waits.
func (w *Worker) release() {
	if len(w.waiting) == 0 {
		w.running--
		return
	}
	close(w.waiting[0].ready)
	w.waiting = w.waiting[1:]
}

// serviceTime is called with w.mu held; it draws the time of a request that starts now.
func (w *Worker) serviceTime() time.Duration {
	st := w.cfg.ServiceTime
	d := float64(st.Median)
	if st.Median > 0 && st.P99 > st.Median {
		sigma := math.Log(float64(st.P99)/float64(st.Median)) / z99
		d *= math.Exp(sigma * w.rng.NormFloat64())
	}
	if w.faults.Straggle > 0 {
		d *= w.faults.Straggle
	}
	if w.bearable < w.cfg.Slots && w.inFlight > w.bearable {
		d *= slowFactor
	}
	return time.Duration(d)
}

// overload is called with w.mu held at each arrival; a cold worker with too much work falls over.
func (w *Worker) overload(now time.Time) {
	if w.bearable == w.cfg.Slots || w.inFlight <= w.bearable {
		return
	}
	w.overloads++
	if w.overloads < fallAfter {
		return
	}
	w.cool()
	w.counts.FellOver++
	w.fallen = now.Add(fallTime)
}

// completed is called with w.mu held; completed work warms a cold worker up.
func (w *Worker) completed(number string) {
	w.counts.Completed++
	if number != "" {
		e := w.orders[number]
		e.Completed++
		w.orders[number] = e
	}
	if w.bearable == w.cfg.Slots {
		return
	}
	w.warmed++
	if w.warmed >= w.cfg.WarmUp*w.bearable {
		w.warmed = 0
		w.bearable = min(w.cfg.Slots, 2*w.bearable)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
