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

const maxControlBytes = 1 << 20

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Server is one HTTP listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	mu sync.Mutex
	// closed is true once Close was called; no handler joins handlers after that.
	closed   bool
	handlers sync.WaitGroup
}

// Listen serves h on an address until Close. The contexts of its requests end with Close. The hook may be nil.
func Listen(address netip.AddrPort, h http.Handler, hook func(net.Conn, http.ConnState)) (*Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address.String(), Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, cancel: cancel, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:     s.track(h),
		ConnState:   hook,
		BaseContext: func(net.Listener) context.Context { return ctx },
		// Aborted answers are a fault that tests ask for, so net/http's messages about them are no news.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Addr returns the address listened on.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the listener and the connections and waits for the handlers. The connections are closed before the
// contexts end, so that no handler answers because of Close.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.http.Close()
	s.cancel()
	<-s.done
	s.handlers.Wait()
}

func (s *Server) track(h http.Handler) http.Handler {
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

// Pair is the listener of a stand-in's protocol and that of its control.
type Pair struct{ Data, Control *Server }

// ListenPair serves the protocol on one address and POST /control and GET /stats on the other.
func ListenPair(data, control netip.AddrPort, h http.Handler, change http.HandlerFunc, stats func() any) (Pair, error) {
	var p Pair
	var err error
	if p.Data, err = Listen(data, h, nil); err != nil {
		return Pair{}, err
	}
	r := mux.NewRouter()
	r.HandleFunc("/control", change).Methods(http.MethodPost)
	r.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { JSON(w, stats()) }).Methods(http.MethodGet)
	if p.Control, err = Listen(control, r, nil); err != nil {
		p.Data.Close()
		return Pair{}, err
	}
	return p, nil
}

// Close closes both listeners and waits for their handlers.
func (p Pair) Close() {
	p.Control.Close()
	p.Data.Close()
}

// JSON writes v as the answer.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Body reads the body of a control request.
func Body(r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, maxControlBytes))
}

// Control decodes the body of a control request into dst, whose values stay where the body has no key.
// It answers the request and returns false if the body has mistakes.
func Control(w http.ResponseWriter, body []byte, dst any) bool {
	if err := config.Decode("control", body, dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
