// Package front is an HTTP/1.1 server that serves the pipelined requests of a connection concurrently. It writes the
// responses in the order of the requests. The server of net/http starts a request only after the previous response is
// complete, so pipelined requests wait for each other, and the disconnect of a caller can go unnoticed.
package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeaderBytes limits the request line and the header of a request.
	maxHeaderBytes = 64 << 10
	// maxBufferedBody limits, in bytes, the body that is read before its request is served. The handler reads a body of
	// this length or more from the connection.
	maxBufferedBody = 256 << 10
	// maxPipelined limits the requests of one connection that are served at the same time.
	maxPipelined = 32
	// headerTimeout and bodyTimeout limit the time to read the header and the body of a request, idleTimeout the wait
	// for the next request. They are above the limits that operators set for callers.
	headerTimeout = 30 * time.Second
	bodyTimeout   = 60 * time.Second
	idleTimeout   = 90 * time.Second
	// writeTimeout limits one write to a caller that does not read its responses.
	writeTimeout = 30 * time.Second
	// pollInterval is the time between checks for open connections during a shutdown, and the pause after a failed accept.
	pollInterval = 20 * time.Millisecond
	// firstRequestTime is how long after it was accepted a connection stays open during a shutdown to receive its first
	// request. Its caller has connected and may be sending.
	firstRequestTime = 500 * time.Millisecond
	// lastAcceptWait is how long no connection may have come before a shutdown closes a listener, which resets those that wait
	// to be accepted. maxLastAccepts bounds the connections that it accepts before.
	lastAcceptWait = 2 * time.Millisecond
	maxLastAccepts = 1000
)

// BodyChecker tells which requests are served without their body.
type BodyChecker interface {
	// NeedsBody reports whether the body of a request is read before the handler is called. If it is not, the handler gets the
	// request at once, and the connection closes after the response.
	NeedsBody(r *http.Request) bool
}

// Server serves HTTP/1.1 connections with one handler. Its exported fields must not change while it serves.
type Server struct {
	Handler http.Handler
	Log     *slog.Logger
	// BodyChecker may be nil: every body is read then.
	BodyChecker BodyChecker
	Limits      Limits
	// HeaderTimeout returns the time in which a head has to arrive, from its first byte. At most headerTimeout is allowed, also if
	// it is nil or returns 0.
	HeaderTimeout func() time.Duration

	closeCounts        closeCounts
	keepAlivesDisabled atomic.Bool
	wg                 sync.WaitGroup

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	// budget is set with the first listener.
	budget *budget
	// accepting counts the calls of Serve that accept connections.
	accepting int
	// stopping is set by Shutdown: connections that wait are accepted, and then no more. closed is set by Close: none is.
	stopping, closed bool
}

// Serve accepts connections until the server is shut down or closed. It always returns http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		_ = ln.Close() // nothing was accepted
		return http.ErrServerClosed
	}
	defer s.removeListener(ln)
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptLast(ln)
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		default:
			s.Log.Warn("connection not accepted", "error", err)
			time.Sleep(pollInterval) // the process may be out of file descriptors for a moment
		}
	}
}

// acceptLast accepts the connections that wait on a listener, until none has come for lastAcceptWait. An Accept that begins after
// its deadline accepts nothing even if connections wait, so that only an empty queue of the listener ends it.
func (s *Server) acceptLast(ln net.Listener) {
	l := ln.(deadlineListener) // Accept has returned at a deadline
	for range maxLastAccepts {
		if l.SetDeadline(time.Now().Add(lastAcceptWait)) != nil {
			return
		}
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !hasConnection(ln):
			return
		}
	}
}

// deadlineListener is a listener whose Accept can be made to return.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// addListener registers a listener whose connections are accepted. It returns false if the server is shut down or closed.
func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
		s.budget = newBudget(s.Limits.Memory)
	}
	s.listeners = append(s.listeners, ln)
	s.accepting++
	return true
}

// removeListener closes a listener after the last connection was accepted.
func (s *Server) removeListener(ln net.Listener) {
	_ = ln.Close() // the listener may be closed already
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting--
}

func (s *Server) startConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = nc.Close() // nothing was read
		return
	}
	if !s.makeRoom() {
		s.mu.Unlock()
		s.recordClose(c, ConnectionsExceeded)
		_ = nc.Close() // nothing was read
		return
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		defer s.budget.remove(c)
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// DisableKeepAlives makes each connection close after the response to its newest request. It affects responses that
// start after the call.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// CutError reports that requests had no complete response at the end of a shutdown.
type CutError struct{ Requests int }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests without a complete response", e.Requests)
}

// Shutdown accepts the connections that wait for it, and then no more. It serves requests that have begun to arrive and the
// first request of a connection that was just accepted, closes idle connections, and waits until all have closed or ctx ends. It
// returns a CutError if requests are left at the end of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	s.mu.Lock()
	s.stopping = true
	for _, ln := range s.listeners {
		endAccepting(ln)
	}
	s.mu.Unlock()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if s.closeIdleConns() == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			if _, n := s.Open(); n > 0 {
				return &CutError{n}
			}
			return nil
		}
	}
}

// closeIdleConns closes idle connections and returns how many connections and listeners are left.
func (s *Server) closeIdleConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle(time.Now())
	}
	return s.accepting + len(s.conns)
}

// Open returns the number of open connections and of requests without a complete response.
func (s *Server) Open() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		requests += c.requestsLeft()
	}
	return len(s.conns), requests
}

// endAccepting makes Serve accept the connections that wait and return. A listener without deadlines is closed.
func endAccepting(ln net.Listener) {
	l, ok := ln.(deadlineListener)
	if !ok || l.SetDeadline(time.Now()) != nil {
		_ = ln.Close() // the listener may be closed already
	}
}

// Close closes the listeners and all connections, and waits for the handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close() // the listener may be closed already
	}
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
