// Package front serves callers over HTTP.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/metric"
	"sardinecross.example/sardined/runner"
)

const (
	// headTimeout bounds the time in which a caller sends a request's head.
	headTimeout = 5 * time.Second
	// bodyTimeout bounds the time in which a caller sends a request's body.
	bodyTimeout = 10 * time.Second
	// idleTimeout closes connections that a caller keeps but no longer uses.
	idleTimeout = 2 * time.Minute
	// writeTime is given to a slow caller for an answer that no upstream waits for.
	writeTime = 5 * time.Second
)

// Backend runs requests; runner.Runner is one.
type Backend interface {
	Serve(ctx context.Context, req *runner.Request, sink runner.Sink) error
	IssueID(ctx context.Context, class ident.ClassName, sink runner.Sink) (runner.IssuedToken, error)
	Addresses(class ident.ClassName) ([]core.Address, time.Duration)
}

var _ Backend = (*runner.Runner)(nil)

// Config holds the settings of a server.
type Config struct {
	// Address is the listener's; port 0 takes a free one.
	Address netip.AddrPort
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes, BodyBytes int
	// BufferedBytes bounds the bodies of all requests in progress.
	BufferedBytes int64
	// ConnectionsPerCaller bounds the connections from one IP address.
	ConnectionsPerCaller int
}

// Deps is what a server needs.
type Deps struct {
	Backend Backend
	Metrics *metric.Set
	Logger  *slog.Logger
}

// Server is the listener for callers.
type Server struct {
	cfg      Config
	deps     Deps
	listener net.Listener
	http     http.Server
	// leaving makes every answer close its connection.
	leaving atomic.Bool
	// buffered is the size of the bodies in memory.
	buffered atomic.Int64
	tasks    sync.WaitGroup
}

// New returns a server that accepts connections.
func New(cfg Config, deps Deps) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, deps: deps}
	s.listener = newLimiter(l, cfg.ConnectionsPerCaller, deps.Metrics)
	s.http = http.Server{
		Handler:                      s.routes(),
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               2 * cfg.HeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(deps.Logger.Handler(), slog.LevelDebug),
	}
	s.tasks.Go(func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			deps.Logger.Error("listener for callers failed", "error", err)
		}
	})
	return s, nil
}

// Address returns the listener's address.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Leave makes every further answer close its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting connections and waits for the requests in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	return s.http.Shutdown(ctx)
}

// Close ends every connection and waits for the listener; the backend must be closed before.
func (s *Server) Close() {
	_ = s.http.Close()
	s.tasks.Wait()
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/v1/hosts", s.handleHosts).Methods(http.MethodGet)
	r.HandleFunc("/v1/ids", s.handleIDs).Methods(http.MethodPost)
	r.PathPrefix(classPrefix).HandlerFunc(s.handleRequest)
	r.NotFoundHandler = refuseHandler(&badRequestError{http.StatusNotFound, "unknownPath", "no such path"})
	r.MethodNotAllowedHandler = refuseHandler(&badRequestError{http.StatusBadRequest, "badMethod", "the path does not support the method"})
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if s.leaving.Load() {
			w.Header()["Connection"] = []string{"close"}
		}
		r.ServeHTTP(w, req)
	})
}

func refuseHandler(e *badRequestError) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { refuse(newSink(w, req), e) })
}

// hostsAnswer is the body of GET /v1/hosts.
type hostsAnswer struct {
	Hosts    []hostLine `json:"hosts"`
	ValidFor string     `json:"validFor"`
}

type hostLine struct {
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"dataCentre"`
}

func (s *Server) handleHosts(w http.ResponseWriter, req *http.Request) {
	sink := newSink(w, req)
	class, err := queryClass(req)
	if err != nil {
		refuse(sink, err)
		return
	}
	addresses, validFor := s.deps.Backend.Addresses(class)
	answer := hostsAnswer{Hosts: make([]hostLine, 0, len(addresses)), ValidFor: validFor.String()}
	for _, a := range addresses {
		answer.Hosts = append(answer.Hosts, hostLine{Address: a.Address, DataCentre: a.DataCentre})
	}
	writeJSON(sink, answer)
}

// idAnswer is the body of POST /v1/ids.
type idAnswer struct {
	ID       string `json:"id"`
	ValidFor string `json:"validFor"`
}

func (s *Server) handleIDs(w http.ResponseWriter, req *http.Request) {
	sink := newSink(w, req)
	class, bad := queryClass(req)
	if bad != nil {
		refuse(sink, bad)
		return
	}
	issued, err := s.deps.Backend.IssueID(req.Context(), class, sink)
	if err != nil {
		finish(sink, err)
	} else if issued.Token != "" {
		writeJSON(sink, idAnswer{ID: issued.Token, ValidFor: issued.ValidFor.String()})
	}
}

func (s *Server) handleRequest(w http.ResponseWriter, req *http.Request) {
	sink := newSink(w, req)
	arrived := time.Now()
	r, bad := s.parseHead(req)
	if bad != nil {
		refuse(sink, bad)
		return
	}
	body, release, bad := s.readBody(sink, req)
	if bad != nil {
		refuse(sink, bad)
		return
	}
	defer release()
	r.Body = body
	if r.Timeout > 0 {
		// The time for the body counts; a request that has none left is refused by the reducer.
		r.Timeout = max(r.Timeout-time.Since(arrived), 1)
	}
	finish(sink, s.deps.Backend.Serve(req.Context(), r, sink))
}

// finish handles the end of a request whose answer is written or given up.
func finish(sink *sink, err error) {
	var closed *runner.ClosedError
	switch {
	case err == nil:
	case errors.As(err, &closed):
		refuse(sink, &badRequestError{http.StatusServiceUnavailable, string(core.ReasonStopping), "the host is stopping"})
	default:
		// An answer that is not whole must not look like one.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(sink *sink, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{"Content-Type": {"application/json"}, "X-Run": {core.RunNo.String()}}
	if sink.WriteHead(http.StatusOK, header, int64(len(body))) == nil {
		_, _ = sink.Write(body)
	}
}
