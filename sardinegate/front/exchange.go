package front

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxStatus is the greatest status that a status line can hold.
const maxStatus = 999

// exchange is one request and its response. The response is written after the previous response of the connection.
type exchange struct {
	c      *conn
	r      *http.Request
	header http.Header
	// previousDone is closed when the previous response is complete, done when this response is.
	previousDone, done chan struct{}
	// closeAfter is set if the connection closes after this response.
	closeAfter bool
	// longBody is the body of the request if it is not buffered, else nil.
	longBody *longBody
	// cost is the memory in bytes that is counted for the request until the response is complete.
	cost int64

	status        int
	headerWritten bool // the status line and the header were written
	chunked       bool
	bodyRemaining int64 // bytes of the body that are still to be written; negative if the length is unknown
	aborted       bool
}

var _ http.ResponseWriter = (*exchange)(nil)

// newExchange adds an exchange after the newest one, or returns nil if the connection is closing.
func (c *conn) newExchange(r *http.Request) *exchange {
	x := &exchange{c: c, r: r, header: make(http.Header), done: make(chan struct{}), closeAfter: r.Close || !r.ProtoAtLeast(1, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	c.active = time.Now()
	if c.closing {
		return nil
	}
	if c.newest != nil {
		x.previousDone = c.newest.done
	} else {
		x.previousDone = make(chan struct{})
		close(x.previousDone)
	}
	c.newest = x
	c.incomplete++
	return x
}

// setLongBody makes body, which is read from the connection, the body of the request. The connection closes after the response.
func (x *exchange) setLongBody(body io.Reader) {
	x.longBody = &longBody{nc: x.c.nc, rest: body}
	x.closeAfter = true
	x.r.Body = x.longBody
}

// sendContinue sends 100 (Continue) to a caller that awaits it before it sends the body.
func (x *exchange) sendContinue() error {
	if err := x.awaitPrevious(); err != nil {
		return err
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	if _, err := io.WriteString(x.c.bw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.c.bw.Flush()
}

// awaitPrevious returns once the previous response is complete, or with an error if the connection is aborted.
func (x *exchange) awaitPrevious() error {
	select {
	case <-x.previousDone:
		return nil
	case <-x.c.ctx.Done():
		return x.c.ctx.Err()
	}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// invalidStatusError reports a status that no final response has.
type invalidStatusError struct{ status int }

// Error implements error.
func (e invalidStatusError) Error() string {
	return "invalid response status: " + strconv.Itoa(e.status)
}

// WriteHeader implements http.ResponseWriter. It panics, which cuts the connection, if the status is not one of a final response: the
// caller must not get another one in its place.
func (x *exchange) WriteHeader(status int) {
	if status < http.StatusOK || status > maxStatus {
		panic(invalidStatusError{status})
	}
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if err := x.c.beginWrite(len(p)); err != nil {
		return 0, err
	}
	defer x.c.endWrite(len(p))
	if err := x.startResponse(); err != nil {
		return 0, err
	}
	if x.r.Method == http.MethodHead || !allowsBody(x.status) {
		return len(p), nil
	}
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	if !x.chunked {
		x.bodyRemaining -= int64(len(p))
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

// startResponse writes the status line and the header once the previous response is complete.
func (x *exchange) startResponse() error {
	if x.headerWritten {
		return nil
	}
	if err := x.awaitPrevious(); err != nil {
		return err
	}
	x.headerWritten = true
	x.setFraming()
	_ = x.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	return writeStatusAndHeader(x.c.bw, x.status, x.header)
}

// setFraming decides how the end of the body is marked and whether the connection closes after it.
func (x *exchange) setFraming() {
	x.bodyRemaining = -1
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.bodyRemaining = n
	} else if allowsBody(x.status) {
		x.header.Del("Content-Length")
		if x.chunked = x.r.ProtoAtLeast(1, 1); x.chunked {
			x.header.Set("Transfer-Encoding", "chunked")
		} else {
			x.closeAfter = true
		}
	}
	x.c.mu.Lock()
	x.c.endsWithConn = x.bodyRemaining < 0 && !x.chunked && allowsBody(x.status) && x.r.Method != http.MethodHead
	// Only the response to the newest request may announce the close: pipelined requests after it would be lost.
	if x.c.newest == x && (x.closeAfter || x.c.server.keepAlivesDisabled.Load()) {
		x.closeAfter = true
		x.c.closing = true
	}
	x.c.mu.Unlock()
	if x.closeAfter {
		x.header.Set("Connection", "close")
	}
}

func writeStatusAndHeader(w *bufio.Writer, status int, header http.Header) error {
	if _, err := io.WriteString(w, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"); err != nil {
		return err
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// finish completes the response and lets the next response start. It waits for the previous one also on an aborted connection, so
// that only one goroutine writes to it at a time.
func (x *exchange) finish() {
	x.WriteHeader(http.StatusOK)
	if !x.aborted {
		if !x.headerWritten && x.header.Get("Content-Length") == "" && allowsBody(x.status) {
			x.header.Set("Content-Length", "0")
		}
		if err := x.endResponse(); err != nil {
			x.c.abort()
		}
	}
	<-x.previousDone
	x.r, x.header = nil, nil // the connection keeps its newest exchange
	x.c.release(x.cost)
	x.c.mu.Lock()
	x.c.incomplete--
	x.c.active = time.Now()
	end := x.closeAfter
	x.c.mu.Unlock()
	close(x.done)
	<-x.c.pipelined
	if end {
		_ = x.c.endSending() // an error means that the caller has closed the connection
	}
}

// endResponse ends the body and flushes the response. It fails if the handler wrote less than the declared length.
func (x *exchange) endResponse() error {
	if err := x.startResponse(); err != nil {
		return err
	}
	if x.chunked && x.r.Method != http.MethodHead {
		if _, err := io.WriteString(x.c.bw, "0\r\n\r\n"); err != nil {
			return err
		}
	} else if x.bodyRemaining > 0 && x.r.Method != http.MethodHead && allowsBody(x.status) {
		return io.ErrUnexpectedEOF // the caller must not take an incomplete body for a complete one
	}
	err := x.c.bw.Flush()
	if err == nil {
		x.c.mu.Lock()
		x.c.endsWithConn = false
		x.c.mu.Unlock()
	}
	return err
}
