package front

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// longBody is a request body that is read from the connection while the request is served. What the handler started, such as
// the sending of the body to an upstream, may still read when the handler has returned; end stops that, so that only one
// goroutine reads from the connection at a time.
type longBody struct {
	nc    net.Conn
	ended atomic.Bool

	mu   sync.Mutex // held during a read
	rest io.Reader
}

var _ io.ReadCloser = (*longBody)(nil)

// Read implements io.Reader. It fails once the handler has returned.
func (b *longBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.rest.Read(p)
}

// Close implements io.Closer.
func (b *longBody) Close() error { return nil }

// end makes further reads fail, interrupts one that waits for input, and returns when none is going on.
func (b *longBody) end() {
	b.ended.Store(true)
	_ = b.nc.SetReadDeadline(time.Now()) // fails only on a closed connection
	b.mu.Lock()
	defer b.mu.Unlock()
}
