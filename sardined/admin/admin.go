// Package admin serves operators over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/metric"
)

const (
	// headTimeout and writeTimeout bound the time of one request; a profile takes 30 s by default.
	headTimeout  = 5 * time.Second
	writeTimeout = time.Minute
	// maxLevelBytes bounds the body of PUT /log-level.
	maxLevelBytes = 16
	// shutdownTime is given to answers in progress.
	shutdownTime = time.Second
)

// StatusSource tells the state of the host; runner.Runner is one.
type StatusSource interface{ Status() core.Status }

// Deps is what the server needs.
type Deps struct {
	Source  StatusSource
	Metrics *metric.Set
	Logger  *slog.Logger
	// Level is the level of the log.
	Level *slog.LevelVar
}

// Config holds the settings of the server.
type Config struct {
	// Address is the listener's; port 0 takes a free one.
	Address netip.AddrPort
	// Profiling serves /debug/pprof.
	Profiling bool
}

// Server is the listener for operators.
type Server struct {
	deps     Deps
	listener net.Listener
	http     http.Server
	tasks    sync.WaitGroup
}

// New returns a server that accepts connections.
func New(cfg Config, deps Deps) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{deps: deps, listener: l}
	s.http = http.Server{
		Handler:           s.routes(cfg.Profiling),
		ReadHeaderTimeout: headTimeout,
		WriteTimeout:      writeTimeout,
		ErrorLog:          slog.NewLogLogger(deps.Logger.Handler(), slog.LevelDebug),
	}
	s.tasks.Go(func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			deps.Logger.Error("admin listener failed", "error", err)
		}
	})
	return s, nil
}

// Address returns the listener's address.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the listener and waits for it.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	s.tasks.Wait()
}

func (s *Server) routes(profiling bool) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/", s.handlePage).Methods(http.MethodGet)
	r.HandleFunc("/status", s.handleStatus).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.handleMetrics).Methods(http.MethodGet)
	r.HandleFunc("/metrics.json", s.handleMetricsJSON).Methods(http.MethodGet)
	r.HandleFunc("/log-level", s.handleLevel).Methods(http.MethodPut)
	if profiling {
		r.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		r.HandleFunc("/debug/pprof/trace", pprof.Trace)
		r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	}
	return r
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(toStatus(s.deps.Source.Status()))
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.deps.Metrics.WriteText(w, toCounters(s.deps.Source.Status().Counters).byName())
}

func (s *Server) handleMetricsJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.deps.Metrics.WriteJSON(w)
}

func (s *Server) handlePage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := page.Execute(w, toStatus(s.deps.Source.Status())); err != nil {
		s.deps.Logger.Debug("page not written", "error", err)
	}
}

// handleLevel sets the level of the log; the body is its name.
func (s *Server) handleLevel(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxLevelBytes))
	var level slog.Level
	if err == nil {
		err = level.UnmarshalText(body)
	}
	if err != nil {
		http.Error(w, "the body must be debug, info, warn or error", http.StatusBadRequest)
		return
	}
	s.deps.Level.Set(level)
	s.deps.Logger.Info("log level set", "level", level.String())
	w.WriteHeader(http.StatusNoContent)
}
