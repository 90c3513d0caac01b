package worker

import (
	"cmp"
	"errors"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/common/serve"
)

// Fleet is all workers of one process.
type Fleet struct {
	// mu serialises control requests.
	mu      sync.Mutex
	workers []*Worker
	control *serve.Server
}

type statsAnswer struct {
	Workers []Stats `json:"workers"`
	// Doubled lists the orders that ran more than once on all workers together.
	Doubled []string `json:"doubled"`
}

type ordersAnswer struct {
	Orders map[string]Execution `json:"orders"`
}

// New starts all workers.
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
	r.HandleFunc("/control", f.change).Methods(http.MethodPost)
	r.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, f.stats()) }).Methods(http.MethodGet)
	r.HandleFunc("/orders", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, ordersAnswer{f.Orders()})
	}).Methods(http.MethodGet)
	var err error
	if f.control, err = serve.Listen(cfg.Control, r, nil); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops all workers and waits for their handlers.
func (f *Fleet) Close() {
	if f.control != nil {
		f.control.Close()
	}
	var all sync.WaitGroup
	for _, w := range f.workers {
		all.Go(w.shut)
	}
	all.Wait()
}

// Orders returns the runs of each order on all workers together.
func (f *Fleet) Orders() map[string]Execution {
	all := make(map[string]Execution)
	for _, w := range f.workers {
		for number, e := range w.Orders() {
			sum := all[number]
			sum.Run += e.Run
			sum.Completed += e.Completed
			all[number] = sum
		}
	}
	return all
}

func (f *Fleet) stats() statsAnswer {
	answer := statsAnswer{Doubled: []string{}}
	for _, w := range f.workers {
		answer.Workers = append(answer.Workers, w.Stats())
	}
	for number, e := range f.Orders() {
		if e.Run > 1 {
			answer.Doubled = append(answer.Doubled, number)
		}
	}
	return answer
}

func (f *Fleet) change(rw http.ResponseWriter, r *http.Request) {
	body, err := serve.ReadBody(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
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
		if !selected.matches(w.place) {
			continue
		}
		matched++
		c := control{Faults: w.currentFaults(selected.Clear)}
		if !serve.DecodeControl(rw, body, &c) {
			return
		}
		failures = append(failures, w.change(c))
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

func (c control) matches(p Place) bool {
	return cmp.Or(c.Worker, p.ID) == p.ID && cmp.Or(c.Service, p.Service) == p.Service &&
		cmp.Or(c.DataCentre, p.DataCentre) == p.DataCentre
}

// currentFaults returns the faults that a control request starts from.
func (w *Worker) currentFaults(clear bool) Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	if clear {
		return Faults{}
	}
	return w.faults
}

// change applies a control request to the worker.
func (w *Worker) change(c control) error {
	w.mu.Lock()
	w.faults = c.Faults
	if c.Cold {
		w.cool()
	}
	if c.ResetStats {
		w.counts = Counts{OpenConnections: w.counts.OpenConnections}
	}
	w.mu.Unlock()
	if c.Restart || c.Faults.Down {
		w.shut()
	}
	if c.Faults.Down {
		return nil
	}
	return w.open()
}
