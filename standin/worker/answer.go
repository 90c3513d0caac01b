package worker

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"strconv"
)

// pattern fills the bodies of answers; its length is a prime, so that a lost or repeated buffer changes the checksum.
var pattern = func() []byte {
	p := make([]byte, 32749)
	for i := range p {
		p[i] = byte('a' + i*7%26)
	}
	return p
}()

// body is an answer's body: a line with the request's number, and filler.
type body struct {
	line string
	size int
}

func newBody(number string, size int) body {
	line := "number=" + number + "\n"
	return body{line: line, size: max(size, len(line))}
}

// parts calls yield with consecutive parts of the body; the last call has last set.
func (b body) parts(yield func(part []byte, last bool) bool) {
	rest := b.size - len(b.line)
	if !yield([]byte(b.line), rest == 0) {
		return
	}
	for rest > 0 {
		n := min(rest, len(pattern))
		rest -= n
		if !yield(pattern[:n], rest == 0) {
			return
		}
	}
}

// checksum returns the CRC-32 of the body in hexadecimal.
func (b body) checksum() string {
	sum := uint32(0)
	b.parts(func(part []byte, _ bool) bool {
		sum = crc32.Update(sum, crc32.IEEETable, part)
		return true
	})
	return fmt.Sprintf("%08x", sum)
}

// answer writes the answer under an identity that may be another request's, and cuts it in the middle if asked to.
func (w *Worker) answer(rw http.ResponseWriter, q *request, id identity, cut bool) {
	b := newBody(id.number, q.bytes)
	w.header(rw, id)
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", strconv.Itoa(b.size))
	rw.Header().Set("X-Body-Checksum", b.checksum())
	sent := 0
	b.parts(func(part []byte, last bool) bool {
		if cut && sent+len(part) > b.size/2 {
			_, _ = rw.Write(part[:max(0, b.size/2-sent)])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if last {
			w.leave(q)
		}
		n, err := rw.Write(part)
		sent += n
		return err == nil
	})
}
