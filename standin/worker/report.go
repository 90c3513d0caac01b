package worker

import (
	"net/http"
	"time"

	"sardinecross.example/lib/common/serve"
)

// loadSample is the load of the worker at one time.
type loadSample struct {
	at       time.Time
	inFlight int
	state    string
}

// loadResponse is the load report, the body of the response to GET /load.
type loadResponse struct {
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"inFlight"`
	State       string `json:"state"`
}

// state returns the state of the worker as the load report names it. w.mu must be held.
func (w *Worker) state() string {
	switch {
	case w.faults.Drain:
		return "draining"
	case w.effectiveSlots < w.service.Slots:
		return "cold"
	}
	return "ready"
}

// recordLoadSample records the load after it changed. w.mu must be held.
func (w *Worker) recordLoadSample(now time.Time) {
	w.loadSamples = append(w.loadSamples, loadSample{at: now, inFlight: w.inFlight, state: w.state()})
	w.reportedLoad(now)
}

// reportedLoad returns the newest sample that is at least ReportLag old and drops older ones. Before there is one, the
// load is 0 and the state ready. w.mu must be held.
func (w *Worker) reportedLoad(now time.Time) loadSample {
	old := now.Add(-w.service.ReportLag)
	for len(w.loadSamples) > 1 && !w.loadSamples[1].at.After(old) {
		w.loadSamples = w.loadSamples[1:]
	}
	if len(w.loadSamples) == 0 || w.loadSamples[0].at.After(old) {
		return loadSample{state: "ready"}
	}
	return w.loadSamples[0]
}

// handleLoad serves GET /load, which hosts use both as load report and as probe. It occupies the worker for ProbeCost.
func (w *Worker) handleLoad(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.counts.Probes++
	w.counts.ProbeTime += millis(w.service.ProbeCost)
	w.occupy(w.service.ProbeCost)
	w.mu.Unlock()
	if !w.waitUntilFree(r.Context()) {
		return
	}
	w.mu.Lock()
	s := w.reportedLoad(time.Now())
	response := loadResponse{
		Incarnation: w.incarnation,
		Slots:       w.service.Slots,
		InFlight:    max(0, s.inFlight+w.service.ReportBias),
		State:       s.state,
	}
	if w.faults.Misreport != "" {
		response.State = w.faults.Misreport
	}
	w.mu.Unlock()
	rw.Header().Set("X-Upstream-Incarnation", response.Incarnation)
	serve.WriteJSON(rw, response)
}
