// Package serve runs the HTTP listeners of the stand-ins.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/config"
)

// maxControlBytes bounds the body of a control request, in bytes.
const maxControlBytes = 1 << 20

// ListenError reports an address on which the server cannot listen.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }

// Server is an HTTP server with one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	mu sync.Mutex
	// closed is set by Close; no handler is started after that.
	closed bool
	// handlers counts the running handlers, for which Close waits.
	handlers sync.WaitGroup
}

// Listen serves h on an address until Close, which also cancels the contexts of the requests. connState is the
// ConnState hook of the server; it may be nil.
func Listen(address netip.AddrPort, h http.Handler, connState func(net.Conn, http.ConnState)) (*Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address.String(), Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, cancel: cancel, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:     s.trackHandlers(h),
		ConnState:   connState,
		BaseContext: func(net.Listener) context.Context { return ctx },
		// Tests inject aborted responses as a fault, so net/http's messages about them are expected and discarded.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the listener and the connections and waits for the handlers to return. It closes the connections before
// it cancels the contexts, so that no client receives a response that a handler writes because of the cancellation.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.http.Close()
	s.cancel()
	<-s.done
	s.handlers.Wait()
}

// trackHandlers wraps h so that Close waits for the running handlers and no handler starts after Close.
func (s *Server) trackHandlers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.handlers.Add(1)
		s.mu.Unlock()
		defer s.handlers.Done()
		h.ServeHTTP(w, r)
	})
}

// Pair holds the two servers of a stand-in: Data serves its protocol, Control the requests that change its behaviour and
// read its statistics.
type Pair struct{ Data, Control *Server }

// ListenPair serves the protocol of a stand-in on dataAddr, and POST /control and GET /stats on controlAddr.
func ListenPair(
	dataAddr, controlAddr netip.AddrPort, dataHandler http.Handler, controlHandler http.HandlerFunc, stats func() any,
) (Pair, error) {
	var p Pair
	var err error
	if p.Data, err = Listen(dataAddr, dataHandler, nil); err != nil {
		return Pair{}, err
	}
	r := mux.NewRouter()
	r.HandleFunc("/control", controlHandler).Methods(http.MethodPost)
	r.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, stats()) }).Methods(http.MethodGet)
	if p.Control, err = Listen(controlAddr, r, nil); err != nil {
		p.Data.Close()
		return Pair{}, err
	}
	return p, nil
}

// Close closes both servers and waits for their handlers.
func (p Pair) Close() {
	p.Control.Close()
	p.Data.Close()
}

// WriteJSON writes v as the JSON body of the response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// ReadControl reads the body of a control request. If that fails or the body is longer than 1 MiB, it responds with status 400
// and returns false.
func ReadControl(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// DecodeControl decodes the body of a control request into dst. Fields of dst whose key is absent keep their values.
// If the body is invalid, it responds with status 400 and returns false.
func DecodeControl(w http.ResponseWriter, body []byte, dst any) bool {
	if err := config.Decode("control", body, dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
