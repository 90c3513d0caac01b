package main

import (
	"encoding/json"
	"net/http"
	"time"

	"sardinecross.example/lib/explain"
	"sardinecross.example/platform"
	"sardinecross.example/sardinegate/entry"
)

// explainHandler returns the handler of queries where a request would go now. It is for the operators' listener only.
func (g *gate) explainHandler(h *entry.Handler) http.Handler {
	x := &entry.Explainer{
		Host: g.settings.Host, Handler: h, Upstreams: g.broker, Allowances: g.quota,
		ConfigurationAge: func() time.Duration { age, _ := g.watcher.Ages(); return age }, Stopping: g.stop.Begun,
		Progress: g.watcher.Progress,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "only GET is answered", http.StatusMethodNotAllowed)
			return
		}
		req, err := platform.ExplainedRequest(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !g.broker.MayExplain() {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many explanations in the last second", http.StatusTooManyRequests)
			return
		}
		a := x.Explain(r.Context(), req)
		g.log.Info("request explained", "route", a.Route, "service", a.Service, "upstream", a.Upstream)
		writeAnswer(w, a)
	})
}

// writeAnswer writes an answer as JSON.
func writeAnswer(w http.ResponseWriter, a *explain.Answer) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(a) // an error means that the operator has disconnected
}
