// Package worker is the stand-in for upstreams. It runs many workers in one process, each with its own address and
// faults. Unless configured otherwise, a worker starts cold: it becomes slow and then sheds requests under a load that a
// warm worker serves easily. It warms up by completing requests.
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
	// overloadSlowdown multiplies the service time of a request that starts while a cold worker has more requests in
	// flight than effective slots.
	overloadSlowdown = 10
	// collapseAfter is how many arrivals above its effective slots make a cold worker collapse, and collapseDuration
	// how long it then sheds all requests.
	collapseAfter    = 3
	collapseDuration = 500 * time.Millisecond
	// z99 is the 99th percentile of the standard normal distribution, from which drawServiceTime derives
	// the standard deviation of the logarithm.
	z99 = 2.3263
)

// Worker is one running upstream.
type Worker struct {
	placement Placement
	service   Service

	// lifecycleMu serialises the start and the stop of incarnations.
	lifecycleMu sync.Mutex
	// server is nil while the worker is down or closed.
	server *serve.Server

	mu          sync.Mutex
	rng         *rand.Rand
	faults      Faults
	incarnation string
	// effectiveSlots is how many requests the worker has in flight without becoming slower, from service.ColdSlots to
	// service.Slots. The worker is cold while it is below service.Slots.
	effectiveSlots int
	// warmUpCompleted counts the requests completed since effectiveSlots last changed.
	warmUpCompleted int
	// overloads counts the arrivals above effectiveSlots since the worker became cold or last collapsed.
	overloads int
	// collapsedUntil is the time until which the worker sheds all requests after a collapse.
	collapsedUntil time.Time
	// inFlight counts the requests that have arrived and are not answered, running those of them that hold a slot.
	// running is at most service.Slots.
	inFlight, running int
	waiters           []*slotWaiter
	// busyUntil is the time until which new connections and probes occupy the worker.
	busyUntil time.Time
	// disconnects counts the requests whose client disconnected while they were in flight.
	disconnects int
	counts      Counts
	// orders holds the runs of each order, by order number.
	orders map[string]OrderRuns
	// loadSamples holds the loads after each change, oldest first; samples past ReportLag are dropped but for one.
	loadSamples []loadSample
	// previous belongs to the last completed request; a crossed response carries it.
	previous correlation
}

// slotWaiter is a request that waits for a slot; ready is closed when it gets one.
type slotWaiter struct{ ready chan struct{} }

// newWorker starts a worker, cold unless the settings of its service say otherwise.
func newWorker(placement Placement, service Service, seed uint64) (*Worker, error) {
	w := &Worker{
		placement:      placement,
		service:        service,
		rng:            rand.New(rand.NewPCG(seed, 2)),
		effectiveSlots: service.Slots,
		orders:         make(map[string]OrderRuns),
	}
	if !service.Warm {
		w.effectiveSlots = service.ColdSlots
	}
	return w, w.startIncarnation()
}

// startIncarnation starts a new incarnation, unless one is running.
func (w *Worker) startIncarnation() error {
	w.lifecycleMu.Lock()
	defer w.lifecycleMu.Unlock()
	if w.server != nil {
		return nil
	}
	w.mu.Lock()
	// Incarnations must differ between runs with the same seed, so they do not come from w.rng.
	w.incarnation = strconv.FormatUint(rand.Uint64(), 16)
	w.loadSamples = nil
	w.mu.Unlock()
	r := mux.NewRouter()
	r.HandleFunc("/load", w.handleLoad).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(w.handleRequest)
	s, err := serve.Listen(w.placement.Address, r, w.trackConnection)
	if err != nil {
		return err
	}
	w.server = s
	if w.placement.Address.Port() == 0 {
		w.placement.Address = s.Addr()
	}
	return nil
}

// stopIncarnation closes the listener and all connections and waits for the handlers. The worker becomes cold.
func (w *Worker) stopIncarnation() {
	w.lifecycleMu.Lock()
	defer w.lifecycleMu.Unlock()
	if w.server == nil {
		return
	}
	w.server.Close()
	w.server = nil
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Restarts++
	w.becomeCold()
}

// becomeCold resets the warm-up. w.mu must be held.
func (w *Worker) becomeCold() {
	w.effectiveSlots = w.service.ColdSlots
	w.warmUpCompleted, w.overloads = 0, 0
	w.collapsedUntil = time.Time{}
}

// trackConnection is the server's ConnState hook. It closes new connections above the limit; the others occupy the
// worker for ConnectionCost.
func (w *Worker) trackConnection(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.counts.OpenConnections++
		w.counts.GreatestConnections = max(w.counts.GreatestConnections, w.counts.OpenConnections)
		if w.counts.OpenConnections > w.service.Connections {
			w.counts.RefusedConnections++
			_ = c.Close()
			return
		}
		w.counts.Connections++
		w.counts.ConnectionTime += millis(w.service.ConnectionCost)
		w.occupy(w.service.ConnectionCost)
	case http.StateClosed, http.StateHijacked:
		w.counts.OpenConnections--
	}
}

// occupy makes the worker busy for d after the time for which it is busy already. w.mu must be held.
func (w *Worker) occupy(d time.Duration) time.Time {
	now := time.Now()
	if w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(d)
	return w.busyUntil
}

// waitUntilFree waits until neither new connections nor probes occupy the worker. It returns false if ctx ends first.
func (w *Worker) waitUntilFree(ctx context.Context) bool {
	for {
		w.mu.Lock()
		rest := time.Until(w.busyUntil)
		w.mu.Unlock()
		if rest <= 0 {
			return true
		}
		if !pause.For(ctx, rest) {
			return false
		}
	}
}

// acquireSlot waits for a slot, in order of arrival. It returns false if ctx ends first.
func (w *Worker) acquireSlot(ctx context.Context) bool {
	w.mu.Lock()
	if w.running < w.service.Slots {
		w.running++
		w.mu.Unlock()
		return true
	}
	t := &slotWaiter{ready: make(chan struct{})}
	w.waiters = append(w.waiters, t)
	w.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.waiters {
		if o == t {
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			return false
		}
	}
	// The slot was assigned to this waiter while ctx ended, so it is passed on.
	w.releaseSlot()
	return false
}

// releaseSlot passes the slot to the next waiter, if there is one. w.mu must be held.
func (w *Worker) releaseSlot() {
	if len(w.waiters) == 0 {
		w.running--
		return
	}
	close(w.waiters[0].ready)
	w.waiters = w.waiters[1:]
}

// drawServiceTime returns a random service time for a request that starts now. w.mu must be held.
func (w *Worker) drawServiceTime() time.Duration {
	st := w.service.ServiceTime
	d := float64(st.Median)
	if st.Median > 0 && st.P99 > st.Median {
		sigma := math.Log(float64(st.P99)/float64(st.Median)) / z99
		d *= math.Exp(sigma * w.rng.NormFloat64())
	}
	if w.faults.ServiceTimeFactor > 0 {
		d *= w.faults.ServiceTimeFactor
	}
	if w.effectiveSlots < w.service.Slots && w.inFlight > w.effectiveSlots {
		d *= overloadSlowdown
	}
	return time.Duration(d)
}

// checkOverload is called at each arrival. A cold worker that has exceeded its effective slots collapseAfter times
// collapses. w.mu must be held.
func (w *Worker) checkOverload(now time.Time) {
	if w.effectiveSlots == w.service.Slots || w.inFlight <= w.effectiveSlots {
		return
	}
	w.overloads++
	if w.overloads < collapseAfter {
		return
	}
	w.becomeCold()
	w.counts.Collapses++
	w.collapsedUntil = now.Add(collapseDuration)
}

// recordCompletion counts a completed request, which warms a cold worker up; number is empty if the request is no order.
// w.mu must be held.
func (w *Worker) recordCompletion(number string) {
	w.counts.Completed++
	if number != "" {
		e := w.orders[number]
		e.Completed++
		w.orders[number] = e
	}
	if w.effectiveSlots == w.service.Slots {
		return
	}
	w.warmUpCompleted++
	if w.warmUpCompleted >= w.service.WarmUp*w.effectiveSlots {
		w.warmUpCompleted = 0
		w.effectiveSlots = min(w.service.Slots, 2*w.effectiveSlots)
	}
}

// millis returns d in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
