// Package front is the HTTP server for callers: it checks requests, passes them to the runner and writes the answers.
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
	// headTimeout is the time in which a caller must send the head of a request.
	headTimeout = 5 * time.Second
	// bodyTimeout is the time in which a caller must send the body of a request.
	bodyTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request stays open.
	idleTimeout = 2 * time.Minute
	// defaultWriteTimeout bounds the write of an answer for which httpSink.SetWriteTimeout was not called. No upstream
	// waits for such an answer, so a slow caller can be given this time for it.
	defaultWriteTimeout = 5 * time.Second
)

// Backend runs the requests of callers. It is implemented by runner.Runner.
type Backend interface {
	Serve(ctx context.Context, req *runner.Request, sink runner.Sink) error
	IssueID(ctx context.Context, class ident.ClassName, sink runner.Sink) (runner.IssuedToken, error)
	Addresses(class ident.ClassName) ([]core.Address, time.Duration)
}

var _ Backend = (*runner.Runner)(nil)

// Config holds the settings of a server.
type Config struct {
	// Address is the address to listen on; with port 0 the system chooses a free port.
	Address netip.AddrPort
	// HeaderBytes and BodyBytes bound the head and the body of one request.
	HeaderBytes, BodyBytes int
	// BufferedBytes bounds the total size of the bodies of all requests in progress.
	BufferedBytes int64
	// ConnectionsPerCaller bounds the connections from one IP address.
	ConnectionsPerCaller int
}

// Deps holds the components that a server uses.
type Deps struct {
	Backend Backend
	Metrics *metric.Set
	Logger  *slog.Logger
}

// Server is the HTTP server for callers.
type Server struct {
	cfg      Config
	deps     Deps
	listener net.Listener
	http     http.Server
	// leaving makes every answer close its connection, so that callers connect to another host.
	leaving atomic.Bool
	// bufferedBytes is the memory reserved for request bodies, in bytes.
	bufferedBytes atomic.Int64
	tasks         sync.WaitGroup
}

// New opens the listener and starts a server on it.
func New(cfg Config, deps Deps) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, deps: deps}
	s.listener = newConnLimiter(l, cfg.ConnectionsPerCaller, deps.Metrics)
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

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Leave makes every further answer close its connection. The server still accepts connections and requests.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting connections and waits for the requests in progress until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	return s.http.Shutdown(ctx)
}

// Close closes the listener and every connection, and waits until the listener has ended. The backend must be closed
// before.
func (s *Server) Close() {
	_ = s.http.Close()
	s.tasks.Wait()
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/v1/hosts", s.handleHosts).Methods(http.MethodGet)
	r.HandleFunc("/v1/ids", s.handleIDs).Methods(http.MethodPost)
	r.PathPrefix(classPrefix).HandlerFunc(s.handleRequest)
	r.NotFoundHandler = refuseHandler(&refusedRequestError{http.StatusNotFound, "unknownPath", "no such path"})
	r.MethodNotAllowedHandler = refuseHandler(&refusedRequestError{http.StatusBadRequest, "badMethod", "the path does not support the method"})
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if s.leaving.Load() {
			w.Header()["Connection"] = []string{"close"}
		}
		r.ServeHTTP(w, req)
	})
}

// refuseHandler returns a handler that refuses every request with e.
func refuseHandler(e *refusedRequestError) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { refuse(newHTTPSink(w, req), e) })
}

// hostsAnswer is the body of GET /v1/hosts.
type hostsAnswer struct {
	Hosts    []hostAddress `json:"hosts"`
	ValidFor string        `json:"validFor"`
}

// hostAddress is the address at which a host serves callers.
type hostAddress struct {
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"dataCentre"`
}

// handleHosts lists the hosts to which callers of a class may send requests.
func (s *Server) handleHosts(w http.ResponseWriter, req *http.Request) {
	sink := newHTTPSink(w, req)
	class, err := queryClass(req)
	if err != nil {
		refuse(sink, err)
		return
	}
	addresses, validFor := s.deps.Backend.Addresses(class)
	answer := hostsAnswer{Hosts: make([]hostAddress, 0, len(addresses)), ValidFor: validFor.String()}
	for _, a := range addresses {
		answer.Hosts = append(answer.Hosts, hostAddress{Address: a.Address, DataCentre: a.DataCentre})
	}
	writeJSON(sink, answer)
}

// idAnswer is the body of POST /v1/ids.
type idAnswer struct {
	ID       string `json:"id"`
	ValidFor string `json:"validFor"`
}

// handleIDs issues a request ID.
func (s *Server) handleIDs(w http.ResponseWriter, req *http.Request) {
	sink := newHTTPSink(w, req)
	class, reqErr := queryClass(req)
	if reqErr != nil {
		refuse(sink, reqErr)
		return
	}
	issued, err := s.deps.Backend.IssueID(req.Context(), class, sink)
	if err != nil {
		handleServeError(sink, err)
	} else if issued.Token != "" {
		writeJSON(sink, idAnswer{ID: issued.Token, ValidFor: issued.ValidFor.String()})
	}
}

// handleRequest runs a request of a class and writes its answer.
func (s *Server) handleRequest(w http.ResponseWriter, req *http.Request) {
	sink := newHTTPSink(w, req)
	arrived := time.Now()
	r, reqErr := s.parseHead(req)
	if reqErr != nil {
		refuse(sink, reqErr)
		return
	}
	body, release, reqErr := s.readBody(sink, req)
	if reqErr != nil {
		refuse(sink, reqErr)
		return
	}
	defer release()
	r.Body = body
	if r.Timeout > 0 {
		// The time spent reading the body counts towards the timeout. At least 1 ns is left, since zero would mean the
		// deadline of the class; the reducer refuses a request whose deadline has passed.
		r.Timeout = max(r.Timeout-time.Since(arrived), 1)
	}
	handleServeError(sink, s.deps.Backend.Serve(req.Context(), r, sink))
}

// handleServeError handles the error with which the backend ended a request. After a nil error the answer is complete;
// after any error but runner.ClosedError the connection is aborted, since the answer may be partly written.
func handleServeError(sink *httpSink, err error) {
	var closed *runner.ClosedError
	switch {
	case err == nil:
	case errors.As(err, &closed):
		refuse(sink, &refusedRequestError{http.StatusServiceUnavailable, string(core.ReasonStopping), "the host is stopping"})
	default:
		// Aborting the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// writeJSON answers a request of sardinecross's own API.
func writeJSON(sink *httpSink, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{"Content-Type": {"application/json"}, "X-Run": {core.RunNo.String()}}
	if sink.WriteHead(http.StatusOK, header, int64(len(body))) == nil {
		_, _ = sink.Write(body)
	}
}
