package worker

import (
	"maps"
	"time"
)

// Stats holds the settings, the state and the counters of one worker.
type Stats struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	// EffectiveSlots is how many requests the worker has in flight without becoming slower; it is below Slots while the
	// worker is cold.
	EffectiveSlots int `json:"bearable"`
	InFlight       int `json:"inFlight"`
	Counts
}

// Counts holds the counters of one worker since its start or the last reset.
type Counts struct {
	// GreatestInFlight is the greatest number of requests in flight, from the end of the request body to the last part
	// of the response.
	GreatestInFlight int `json:"greatestInFlight"`
	// GreatestInFlightCold is the greatest number of requests in flight at an arrival while the worker was cold.
	GreatestInFlightCold int `json:"greatestInFlightCold"`
	// OverEffectiveSlots is the greatest excess of requests in flight over the effective slots at an arrival.
	OverEffectiveSlots int `json:"greatestOver"`
	// OverSlots is the greatest excess of requests in flight over the slots at an arrival. A request whose client is
	// found to have disconnected within disconnectNoticeTime after the arrival does not count, since the client had
	// given it up before.
	OverSlots int `json:"overSlots"`
	// Arrivals counts all requests, Started those that started to run, Completed those that ran to the end, Abandoned
	// those that started and did not complete in time. Shed, Expired and Failed count requests that did not run: shed,
	// past their deadline, or failed by a fault.
	Arrivals  int64 `json:"arrivals"`
	Started   int64 `json:"run"`
	Completed int64 `json:"completed"`
	Abandoned int64 `json:"abandoned"`
	Shed      int64 `json:"shed"`
	Expired   int64 `json:"expired"`
	Failed    int64 `json:"failed"`
	// Collapses counts how often the worker collapsed while cold.
	Collapses int64 `json:"fellOver"`
	// FirstArrival and LastArrival are the times of requests in Unix milliseconds, zero if there was no request.
	FirstArrival        int64 `json:"firstWork"`
	LastArrival         int64 `json:"lastWork"`
	Connections         int64 `json:"connections"`
	OpenConnections     int   `json:"openConnections"`
	GreatestConnections int   `json:"greatestConnections"`
	RefusedConnections  int64 `json:"refusedConnections"`
	Probes              int64 `json:"probes"`
	// ProbeTime and ConnectionTime are how long probes and new connections occupied the worker, in milliseconds.
	ProbeTime      float64 `json:"probeTime"`
	ConnectionTime float64 `json:"connectionTime"`
	Restarts       int64   `json:"restarts"`
}

// OrderRuns counts the runs of one order. Started counts a run whether or not it completes.
type OrderRuns struct {
	Started   int `json:"run"`
	Completed int `json:"completed"`
}

// disconnectNoticeTime is how long after an arrival the worker waits to notice that the client of another request had
// disconnected before. On loopback, noticing takes well below 1 ms unless all cores are busy.
const disconnectNoticeTime = 5 * time.Millisecond

// Stats returns the state and the counters of the worker.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Stats{
		ID:             w.placement.ID,
		Service:        w.placement.Service,
		DataCentre:     w.placement.DataCentre,
		Address:        w.placement.Address.String(),
		Incarnation:    w.incarnation,
		State:          w.state(),
		Slots:          w.service.Slots,
		EffectiveSlots: w.effectiveSlots,
		InFlight:       w.inFlight,
		Counts:         w.counts,
	}
}

// Orders returns the runs of each order, by order number.
func (w *Worker) Orders() map[string]OrderRuns {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.orders)
}

// recordArrival counts a request whose body has been read. w.mu must be held.
func (w *Worker) recordArrival(now time.Time) {
	w.inFlight++
	c := &w.counts
	c.Arrivals++
	c.LastArrival = now.UnixMilli()
	if c.FirstArrival == 0 {
		c.FirstArrival = c.LastArrival
	}
	c.GreatestInFlight = max(c.GreatestInFlight, w.inFlight)
	if w.effectiveSlots < w.service.Slots {
		c.GreatestInFlightCold = max(c.GreatestInFlightCold, w.inFlight)
	}
	c.OverEffectiveSlots = max(c.OverEffectiveSlots, w.inFlight-w.effectiveSlots)
	over, disconnectsAtArrival := w.inFlight-w.service.Slots, w.disconnects
	if over <= 0 {
		return
	}
	time.AfterFunc(disconnectNoticeTime, func() { w.recordOverSlots(over, disconnectsAtArrival) })
}

// recordOverSlots records an excess over the slots at an arrival, less the disconnects noticed since that arrival.
func (w *Worker) recordOverSlots(over, disconnectsAtArrival int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.OverSlots = max(w.counts.OverSlots, over-(w.disconnects-disconnectsAtArrival))
}
