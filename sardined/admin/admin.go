// Package admin is the HTTP server for operators: status, metrics, log level and profiles.
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
	// headTimeout is the time in which an operator must send the head of a request.
	headTimeout = 5 * time.Second
	// writeTimeout bounds the time of one answer. It must leave room for a CPU profile, which takes 30 s by default.
	writeTimeout = time.Minute
	// maxLogLevelBytes bounds the body of PUT /log-level.
	maxLogLevelBytes = 16
	// shutdownTimeout is how long Close waits for answers in progress.
	shutdownTimeout = time.Second
)

// StatusSource returns the state of the host. It is implemented by runner.Runner.
type StatusSource interface{ Status() core.Status }

// Deps holds the components that the server uses.
type Deps struct {
	StatusSource StatusSource
	Metrics      *metric.Set
	Logger       *slog.Logger
	// LogLevel is the level of Logger; PUT /log-level changes it.
	LogLevel *slog.LevelVar
}

// Config holds the settings of the server.
type Config struct {
	// Address is the address to listen on; with port 0 the system chooses a free port.
	Address netip.AddrPort
	// Profiling enables the paths below /debug/pprof/.
	Profiling bool
}

// Server is the HTTP server for operators.
type Server struct {
	deps     Deps
	listener net.Listener
	http     http.Server
	tasks    sync.WaitGroup
}

// New opens the listener and starts a server on it.
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

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the listener, waits up to shutdownTimeout for answers in progress and then closes their connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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
	r.HandleFunc("/log-level", s.handleLogLevel).Methods(http.MethodPut)
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
	_ = enc.Encode(toStatus(s.deps.StatusSource.Status()))
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.deps.Metrics.WriteText(w, toCounters(s.deps.StatusSource.Status().Counters).unlabelled())
}

func (s *Server) handleMetricsJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.deps.Metrics.WriteJSON(w)
}

func (s *Server) handlePage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := pageTemplate.Execute(w, toStatus(s.deps.StatusSource.Status())); err != nil {
		s.deps.Logger.Debug("page not written", "error", err)
	}
}

// handleLogLevel sets the log level to the one that the body names.
func (s *Server) handleLogLevel(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxLogLevelBytes))
	var level slog.Level
	if err == nil {
		err = level.UnmarshalText(body)
	}
	if err != nil {
		http.Error(w, "the body must be debug, info, warn or error", http.StatusBadRequest)
		return
	}
	s.deps.LogLevel.Set(level)
	s.deps.Logger.Info("log level set", "level", level.String())
	w.WriteHeader(http.StatusNoContent)
}
