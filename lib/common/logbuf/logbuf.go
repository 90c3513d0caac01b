// Package logbuf holds the output of a log in memory, for tests that read it while the log is written.
package logbuf

import (
	"strings"
	"sync"
)

// Buffer is an io.Writer that keeps what is written. Its zero value is empty. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all that was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Count returns how often substr occurs in what was written.
func (b *Buffer) Count(substr string) int { return strings.Count(b.String(), substr) }
