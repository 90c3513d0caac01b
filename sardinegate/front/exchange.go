package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// exchange is one request and its response. Its response waits for the one before it.
type exchange struct {
	c      *conn
	r      *http.Request
	header http.Header
	// turn is closed when the response before this one is complete; done when this one is.
	turn, done chan struct{}
	// closeAfter ends the connection after the response.
	closeAfter bool

	status  int
	began   bool // the head was written
	chunked bool
	left    int64 // bytes of the body that are due, -1 if unknown
	aborted bool
}

var _ http.ResponseWriter = (*exchange)(nil)

// exchange appends an exchange to the connection, or returns nil if the connection ends before it.
func (c *conn) exchange(r *http.Request) *exchange {
	x := &exchange{c: c, r: r, header: make(http.Header), done: make(chan struct{}), closeAfter: r.Close || !r.ProtoAtLeast(1, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	if c.last != nil {
		x.turn = c.last.done
	} else {
		x.turn = make(chan struct{})
		close(x.turn)
	}
	c.last = x
	c.open++
	return x
}

// proceed tells a caller that waits for it to send the body.
func (x *exchange) proceed() error {
	if err := x.wait(); err != nil {
		return err
	}
	if _, err := io.WriteString(x.c.bw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.c.bw.Flush()
}

// wait returns when the responses before this one are complete.
func (x *exchange) wait() error {
	select {
	case <-x.turn:
		return nil
	case <-x.c.ctx.Done():
		return x.c.ctx.Err()
	}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if err := x.begin(); err != nil {
		return 0, err
	}
	if x.r.Method == http.MethodHead || !allowsBody(x.status) {
		return len(p), nil
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	if !x.chunked {
		x.left -= int64(len(p))
		return x.c.bw.Write(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := io.WriteString(x.c.bw, strconv.FormatInt(int64(len(p)), 16)+"\r\n"); err != nil {
		return 0, err
	}
	n, err := x.c.bw.Write(p)
	if err == nil {
		_, err = io.WriteString(x.c.bw, "\r\n")
	}
	return n, err
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// begin writes the head, in turn.
func (x *exchange) begin() error {
	if x.began {
		return nil
	}
	if err := x.wait(); err != nil {
		return err
	}
	x.began = true
	x.frame()
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	return writeHead(x.c.bw, x.status, x.header)
}

// frame decides how the body ends and whether the connection ends with it.
func (x *exchange) frame() {
	x.left = -1
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.left = n
	} else if allowsBody(x.status) {
		x.header.Del("Content-Length")
		if x.chunked = x.r.ProtoAtLeast(1, 1); x.chunked {
			x.header.Set("Transfer-Encoding", "chunked")
		} else {
			x.closeAfter = true
		}
	}
	x.c.mu.Lock()
	// A connection ends only after its newest request: the ones behind a response that ends it would be lost.
	if x.c.last == x && (x.closeAfter || x.c.server.leaving.Load()) {
		x.closeAfter = true
		x.c.ending = true
	}
	x.c.mu.Unlock()
	if x.closeAfter {
		x.header.Set("Connection", "close")
	}
}

func writeHead(w *bufio.Writer, status int, header http.Header) error {
	if _, err := io.WriteString(w, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"); err != nil {
		return err
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// finish completes the response and lets the next one begin.
func (x *exchange) finish() {
	x.WriteHeader(http.StatusOK)
	if !x.aborted {
		if !x.began && x.header.Get("Content-Length") == "" && allowsBody(x.status) {
			x.header.Set("Content-Length", "0")
		}
		if err := x.complete(); err != nil {
			x.c.abort()
		}
	}
	x.c.mu.Lock()
	x.c.open--
	end := x.closeAfter
	x.c.mu.Unlock()
	close(x.done)
	<-x.c.ahead
	if end {
		if tcp, ok := x.c.nc.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails only on a closed connection
		}
		x.c.awaitRequest()
	}
}

func (x *exchange) complete() error {
	if err := x.begin(); err != nil {
		return err
	}
	if x.chunked && x.r.Method != http.MethodHead {
		if _, err := io.WriteString(x.c.bw, "0\r\n\r\n"); err != nil {
			return err
		}
	} else if x.left > 0 && x.r.Method != http.MethodHead && allowsBody(x.status) {
		return io.ErrUnexpectedEOF // an incomplete body must not look complete
	}
	return x.c.bw.Flush()
}
