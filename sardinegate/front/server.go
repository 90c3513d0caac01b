// Package front is an HTTP/1.1 server that serves requests of one connection side by side. Responses keep the order of
// the requests. The standard library's server begins a request only after the response before it, which makes requests
// wait for each other and hides that a caller has left.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeaderBytes bounds the request line and the headers of a request.
	maxHeaderBytes = 64 << 10
	// maxBufferedBody is the longest body, in bytes, that is read before its request is served.
	maxBufferedBody = 256 << 10
	// maxAhead bounds the requests of one connection that are served at a time.
	maxAhead = 32
	// headerTimeout, bodyTimeout and idleTimeout are above the limits that operators set for callers.
	headerTimeout = 30 * time.Second
	bodyTimeout   = 60 * time.Second
	idleTimeout   = 90 * time.Second
	// writeTimeout bounds a single write to a caller that does not read.
	writeTimeout = 30 * time.Second
	// shutdownTick is the time between checks for remaining connections.
	shutdownTick = 20 * time.Millisecond
)

// Server serves connections. Its fields must not change while it serves.
type Server struct {
	Handler http.Handler
	Log     *slog.Logger

	leaving atomic.Bool
	done    sync.WaitGroup

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	closed    bool
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = ln.Close() // never used
		return http.ErrServerClosed
	}
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			s.Log.Warn("connection not accepted", "error", err)
			time.Sleep(shutdownTick) // descriptors may be used up for a moment
			continue
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = nc.Close() // nothing was read
		return
	}
	s.conns[c] = struct{}{}
	s.done.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.done.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Leave makes the responses from now on end their connections.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops to accept connections, closes idle ones and waits for the others until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close() // a second close changes nothing
	}
	s.mu.Unlock()
	t := time.NewTicker(shutdownTick)
	defer t.Stop()
	for {
		s.mu.Lock()
		left := len(s.conns)
		for c := range s.conns {
			c.closeIdle()
		}
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close ends all connections and waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close() // a second close changes nothing
	}
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.done.Wait()
}
