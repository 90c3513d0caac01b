package stream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// endedConn is a connection at the end of its stream whose writes fail with writeErr, or block until their deadline if it is nil.
type endedConn struct {
	net.Conn
	writeErr error
	writing  chan struct{} // closed when a write has begun
	deadline chan struct{} // closed when a deadline is set
	once     sync.Once
}

func newEndedConn(writeErr error) *endedConn {
	return &endedConn{writeErr: writeErr, writing: make(chan struct{}), deadline: make(chan struct{})}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	<-c.deadline
	return 0, os.ErrDeadlineExceeded
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

// Guards against a reset that is read as the end of the stream because a write received its report, and against an end that is not
// recognised because the peer resets the connection after it.
func TestEndOfStreamAfterWrite(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr error
		reset    bool
	}{
		"reset":                          {syscall.ECONNRESET, true},
		"timeout of the connection":      {syscall.ETIMEDOUT, true},
		"reset after the end":            {syscall.EPIPE, false},
		"write that is still blocked":    {nil, false},
		"write on a closed connection":   {net.ErrClosed, false},
		"write after its own time limit": {os.ErrDeadlineExceeded, false},
	} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			nc := newEndedConn(c.writeErr)
			conn := NewConn(nc)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("x"))
				written <- err
			}()
			<-nc.writing
			if c.writeErr != nil {
				<-written
			}
			_, err := conn.Read(make([]byte, 1))
			assertEnd(t, err, c.reset)
			if c.writeErr == nil {
				<-written
			}
		})
	}
}

// assertEnd checks that a read has returned a ResetError, or else the end of the stream.
func assertEnd(t *testing.T, err error, reset bool) {
	t.Helper()
	var resetErr *ResetError
	if errors.As(err, &resetErr) != reset || errors.Is(err, io.EOF) == reset {
		t.Errorf("read returned %v, want a ResetError: %t", err, reset)
	}
}

// Guards against a kernel that reports resets in another way than Conn expects: a reset before the end of the stream must never be
// read as its end, one after it always.
func TestResetOfASocket(t *testing.T) {
	const tries = 200
	for name, end := range map[string]func(nc *net.TCPConn){
		"before the end": func(nc *net.TCPConn) { _ = nc.SetLinger(0) },
		"after the end":  func(nc *net.TCPConn) { _ = nc.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			for i := range tries {
				conn := dialPeer(t, func(nc *net.TCPConn) {
					_, _ = io.ReadFull(nc, make([]byte, 1<<10))
					_, _ = nc.Write([]byte("x"))
					end(nc)
					time.Sleep(time.Duration(i%4) * time.Millisecond)
				})
				go func() { _, _ = io.Copy(conn, endless{}) }()
				_, err := io.ReadAll(conn)
				var failed net.Error
				if reset := name == "before the end"; reset != (err != nil) || reset && !errors.As(err, &failed) {
					t.Fatalf("read ended with error %v", err)
				}
				_ = conn.Close()
			}
		})
	}
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// dialPeer connects to a peer that runs serve and closes the connection.
func dialPeer(t *testing.T, serve func(nc *net.TCPConn)) *Conn {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			serve(nc.(*net.TCPConn))
		}()
	}()
	nc, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	<-accepted
	return NewConn(nc)
}
