package worker

import (
	"maps"
	"time"
)

// Stats counts what one worker did.
type Stats struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	// Bearable is what the worker bears now; it is below Slots while the worker is cold.
	Bearable int `json:"bearable"`
	InFlight int `json:"inFlight"`
	Counts
}

// Counts are the counts of one worker since its start or the last reset.
type Counts struct {
	// GreatestInFlight counts requests from the arrival of their body to the last part of their answer.
	GreatestInFlight int `json:"greatestInFlight"`
	// GreatestInFlightCold is the same at arrivals while cold.
	GreatestInFlightCold int `json:"greatestInFlightCold"`
	// GreatestOver is the greatest excess over what the worker bore at an arrival.
	GreatestOver int `json:"greatestOver"`
	// OverSlots is the greatest excess over the slots at an arrival. A request whose client's disconnect was
	// noticed within settleTime after the arrival does not count, since the client had given it up before.
	OverSlots int `json:"overSlots"`
	// Arrivals is the number of requests, Run of those started, Completed of those finished.
	Arrivals  int64 `json:"arrivals"`
	Run       int64 `json:"run"`
	Completed int64 `json:"completed"`
	Abandoned int64 `json:"abandoned"`
	Shed      int64 `json:"shed"`
	Expired   int64 `json:"expired"`
	Failed    int64 `json:"failed"`
	FellOver  int64 `json:"fellOver"`
	// FirstWork and LastWork are the times of arrivals in Unix milliseconds, zero if there were none.
	FirstWork           int64 `json:"firstWork"`
	LastWork            int64 `json:"lastWork"`
	Connections         int64 `json:"connections"`
	OpenConnections     int   `json:"openConnections"`
	GreatestConnections int   `json:"greatestConnections"`
	RefusedConnections  int64 `json:"refusedConnections"`
	Probes              int64 `json:"probes"`
	// ProbeTime and ConnectionTime are what these cost the worker, in milliseconds.
	ProbeTime      float64 `json:"probeTime"`
	ConnectionTime float64 `json:"connectionTime"`
	Restarts       int64   `json:"restarts"`
}

// Execution counts the runs of one order. A run counts when it starts, whether or not it completes.
type Execution struct {
	Run       int `json:"run"`
	Completed int `json:"completed"`
}

// settleTime is the time in which a worker notices that a client disconnected before the arrival of another request;
// on loopback it takes well below 1 ms unless all cores are busy.
const settleTime = 5 * time.Millisecond

// Stats returns the counts so far.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Stats{
		ID:          w.place.ID,
		Service:     w.place.Service,
		DataCentre:  w.place.DataCentre,
		Address:     w.place.Address.String(),
		Incarnation: w.incarnation,
		State:       w.state(),
		Slots:       w.cfg.Slots,
		Bearable:    w.bearable,
		InFlight:    w.inFlight,
		Counts:      w.counts,
	}
}

// Orders returns the runs of each order.
func (w *Worker) Orders() map[string]Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.orders)
}

// arrived is called with w.mu held when the body of a request was read.
func (w *Worker) arrived(now time.Time) {
	w.inFlight++
	c := &w.counts
	c.Arrivals++
	c.LastWork = now.UnixMilli()
	if c.FirstWork == 0 {
		c.FirstWork = c.LastWork
	}
	c.GreatestInFlight = max(c.GreatestInFlight, w.inFlight)
	if w.bearable < w.cfg.Slots {
		c.GreatestInFlightCold = max(c.GreatestInFlightCold, w.inFlight)
	}
	c.GreatestOver = max(c.GreatestOver, w.inFlight-w.bearable)
	over, before := w.inFlight-w.cfg.Slots, w.disconnects
	if over <= 0 {
		return
	}
	time.AfterFunc(settleTime, func() { w.settle(over, before) })
}

// settle records an excess without the disconnects that were noticed since the arrival.
func (w *Worker) settle(over, before int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.OverSlots = max(w.counts.OverSlots, over-(w.disconnects-before))
}
