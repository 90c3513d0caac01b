package worker

import (
	"net/http"
	"time"

	"sardinecross.example/lib/common/serve"
)

// sample is the load at one time.
type sample struct {
	at       time.Time
	inFlight int
	state    string
}

type loadAnswer struct {
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"inFlight"`
	State       string `json:"state"`
}

// state is called with w.mu held.
func (w *Worker) state() string {
	switch {
	case w.faults.Drain:
		return "draining"
	case w.bearable < w.cfg.Slots:
		return "cold"
	}
	return "ready"
}

// sampled is called with w.mu held after the load changed.
func (w *Worker) sampled(now time.Time) {
	w.reports = append(w.reports, sample{at: now, inFlight: w.inFlight, state: w.state()})
	w.reported(now)
}

// reported is called with w.mu held; it returns the newest sample of the report's age and drops the older ones.
func (w *Worker) reported(now time.Time) sample {
	old := now.Add(-w.cfg.ReportLag)
	for len(w.reports) > 1 && !w.reports[1].at.After(old) {
		w.reports = w.reports[1:]
	}
	if len(w.reports) == 0 || w.reports[0].at.After(old) {
		return sample{state: "ready"}
	}
	return w.reports[0]
}

// load is the report and the probe; it costs the worker time.
func (w *Worker) load(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.counts.Probes++
	w.counts.ProbeTime += millis(w.cfg.ProbeCost)
	w.stall(w.cfg.ProbeCost)
	w.mu.Unlock()
	if !w.pause(r.Context()) {
		return
	}
	w.mu.Lock()
	s := w.reported(time.Now())
	answer := loadAnswer{
		Incarnation: w.incarnation,
		Slots:       w.cfg.Slots,
		InFlight:    max(0, s.inFlight+w.cfg.ReportBias),
		State:       s.state,
	}
	if w.faults.Misreport != "" {
		answer.State = w.faults.Misreport
	}
	w.mu.Unlock()
	rw.Header().Set("X-Upstream-Incarnation", answer.Incarnation)
	serve.WriteJSON(rw, answer)
}
