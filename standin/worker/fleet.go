package worker

import (
	"cmp"
	"errors"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/common/serve"
)

// Fleet holds all workers of one process and the server that controls them.
type Fleet struct {
	// mu serialises control requests.
	mu            sync.Mutex
	workers       []*Worker
	controlServer *serve.Server
}

// statsResponse is the body of the response to GET /stats.
type statsResponse struct {
	Workers []Stats `json:"workers"`
	// Duplicates lists the numbers of the orders that started more than once, counted over all workers.
	Duplicates []string `json:"doubled"`
}

// ordersResponse is the body of the response to GET /orders.
type ordersResponse struct {
	Orders map[string]OrderRuns `json:"orders"`
}

// New starts all workers and the control server.
func New(cfg Settings) (*Fleet, error) {
	f := &Fleet{}
	for i, p := range cfg.Workers {
		w, err := newWorker(p, cfg.Services[p.Service], uint64(cfg.Seed)<<20+uint64(i))
		if err != nil {
			f.Close()
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	r := mux.NewRouter()
	r.HandleFunc("/control", f.handleControl).Methods(http.MethodPost)
	r.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, f.stats()) }).Methods(http.MethodGet)
	r.HandleFunc("/orders", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, ordersResponse{f.Orders()})
	}).Methods(http.MethodGet)
	var err error
	if f.controlServer, err = serve.Listen(cfg.Control, r, nil); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops all workers and waits for their handlers.
func (f *Fleet) Close() {
	if f.controlServer != nil {
		f.controlServer.Close()
	}
	var all sync.WaitGroup
	for _, w := range f.workers {
		all.Go(w.stopIncarnation)
	}
	all.Wait()
}

// Orders returns the runs of each order over all workers, by order number.
func (f *Fleet) Orders() map[string]OrderRuns {
	all := make(map[string]OrderRuns)
	for _, w := range f.workers {
		for number, e := range w.Orders() {
			sum := all[number]
			sum.Started += e.Started
			sum.Completed += e.Completed
			all[number] = sum
		}
	}
	return all
}

// stats returns the statistics of all workers.
func (f *Fleet) stats() statsResponse {
	response := statsResponse{Duplicates: []string{}}
	for _, w := range f.workers {
		response.Workers = append(response.Workers, w.Stats())
	}
	for number, e := range f.Orders() {
		if e.Started > 1 {
			response.Duplicates = append(response.Duplicates, number)
		}
	}
	return response
}

// handleControl serves POST /control. The body is decoded once to select the workers, and then for each selected worker
// on top of its present faults, so that absent faults keep their values.
func (f *Fleet) handleControl(rw http.ResponseWriter, r *http.Request) {
	body, ok := serve.ReadControl(rw, r)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var selected control
	if !serve.DecodeControl(rw, body, &selected) {
		return
	}
	matched := 0
	var failures []error
	for _, w := range f.workers {
		if !selected.matches(w.placement) {
			continue
		}
		matched++
		c := control{Faults: w.baseFaults(selected.Clear)}
		if !serve.DecodeControl(rw, body, &c) {
			return
		}
		failures = append(failures, w.applyControl(c))
	}
	if err := errors.Join(failures...); err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	if matched == 0 {
		http.Error(rw, "no worker matches", http.StatusNotFound)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// matches reports whether the control request applies to the worker at placement.
func (c control) matches(placement Placement) bool {
	return cmp.Or(c.Worker, placement.ID) == placement.ID && cmp.Or(c.Service, placement.Service) == placement.Service &&
		cmp.Or(c.DataCentre, placement.DataCentre) == placement.DataCentre
}

// baseFaults returns the faults that a control request changes: the present ones, or none if clear is set.
func (w *Worker) baseFaults(clear bool) Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	if clear {
		return Faults{}
	}
	return w.faults
}

// applyControl applies a control request to the worker.
func (w *Worker) applyControl(c control) error {
	w.mu.Lock()
	w.faults = c.Faults
	if c.Cold {
		w.becomeCold()
	}
	if c.ResetStats {
		w.counts = Counts{OpenConnections: w.counts.OpenConnections}
	}
	w.mu.Unlock()
	if c.Restart || c.Faults.Down {
		w.stopIncarnation()
	}
	if c.Faults.Down {
		return nil
	}
	return w.startIncarnation()
}
