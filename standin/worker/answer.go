package worker

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"strconv"
)

// filler is the repeated content of response bodies. Its length is prime, so that a lost or repeated buffer changes the
// checksum.
var filler = func() []byte {
	p := make([]byte, 32749)
	for i := range p {
		p[i] = byte('a' + i*7%26)
	}
	return p
}()

// responseBody is the body of a response: a line with the request's number, then filler up to size bytes.
type responseBody struct {
	firstLine string
	size      int
}

// newResponseBody returns a body of size bytes, or of the first line alone if that is longer.
func newResponseBody(number string, size int) responseBody {
	line := "number=" + number + "\n"
	return responseBody{firstLine: line, size: max(size, len(line))}
}

// parts calls yield with consecutive parts of the body until it returns false; last is true for the last part.
func (b responseBody) parts(yield func(part []byte, last bool) bool) {
	rest := b.size - len(b.firstLine)
	if !yield([]byte(b.firstLine), rest == 0) {
		return
	}
	for rest > 0 {
		n := min(rest, len(filler))
		rest -= n
		if !yield(filler[:n], rest == 0) {
			return
		}
	}
}

// checksum returns the CRC-32 of the body in hexadecimal.
func (b responseBody) checksum() string {
	sum := uint32(0)
	b.parts(func(part []byte, _ bool) bool {
		sum = crc32.Update(sum, crc32.IEEETable, part)
		return true
	})
	return fmt.Sprintf("%08x", sum)
}

// writeResponse writes the response to q with the correlation id, which belongs to another request if the response is
// crossed. If truncate is set, it closes the connection after half of the body.
func (w *Worker) writeResponse(rw http.ResponseWriter, q *request, id correlation, truncate bool) {
	b := newResponseBody(id.number, q.answerBytes)
	w.setHeaders(rw, id)
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", strconv.Itoa(b.size))
	rw.Header().Set("X-Body-Checksum", b.checksum())
	sent := 0
	b.parts(func(part []byte, last bool) bool {
		if truncate && sent+len(part) > b.size/2 {
			_, _ = rw.Write(part[:max(0, b.size/2-sent)])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if last {
			w.endInFlight(q)
		}
		n, err := rw.Write(part)
		sent += n
		return err == nil
	})
}
