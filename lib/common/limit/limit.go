// Package limit bounds what is read from a connection, and the memory that is used for it.
package limit

import (
	"io"
	"sync/atomic"
)

// Unlimited is a number of bytes that no connection reaches.
const Unlimited = 1 << 62

// ExceededError reports that more bytes came than a Reader may read.
type ExceededError struct{}

// Error implements error.
func (*ExceededError) Error() string { return "more bytes than the limit allows" }

// Reader reads at most Remaining bytes from R and then fails with an ExceededError.
type Reader struct {
	R         io.Reader
	Remaining int64
}

// Read implements io.Reader.
func (l *Reader) Read(p []byte) (int, error) {
	if l.Remaining <= 0 {
		return 0, &ExceededError{}
	}
	if int64(len(p)) > l.Remaining {
		p = p[:l.Remaining]
	}
	n, err := l.R.Read(p)
	l.Remaining -= int64(n)
	return n, err
}

// Memory counts bytes in use by several goroutines up to a limit. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a count with the given limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take counts n bytes as used and returns true, or returns false if the limit does not allow them.
func (m *Memory) Take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release gives back n bytes that Take counted.
func (m *Memory) Release(n int64) { m.used.Add(-n) }
