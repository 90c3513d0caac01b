// Package logger writes log lines without blocking the caller. It limits their rate and counts the lines that it drops.
package logger

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the number of lines that may wait to be written.
	queueSize = 1024
	// maxPerSecond limits the log records per second. reservedPerSecond of them are reserved for warnings and errors.
	maxPerSecond      = 300
	reservedPerSecond = 150
	// closeTimeout bounds how long Close waits for an output that blocks.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for one goroutine that writes them to the output. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}
	// Dropped counts all dropped lines, unreported those that were not yet reported in the log.
	unreported, Dropped atomic.Int64

	mu sync.Mutex
	// written counts the records let through within second, a Unix time.
	second  int64
	written int
}

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueSize), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.lines:
				_, _ = out.Write(line) // a failure to write the log cannot be logged
			case <-w.stop:
				w.drain(out)
				return
			}
		}
	}()
	return w
}

// drain writes the queued lines to out.
func (w *Writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // a failure to write the log cannot be logged
		default:
			return
		}
	}
}

// Close writes the queued lines and stops the writer. It gives up after closeTimeout if the output blocks.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// Write implements io.Writer. It queues one line and drops it if the queue is full; it never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// drop counts a dropped line.
func (w *Writer) drop() {
	w.unreported.Add(1)
	w.Dropped.Add(1)
}

// allowRecord reports whether the rate limit lets through a record of the given level at the time now. It counts the
// records let through.
func (w *Writer) allowRecord(now time.Time, level slog.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		w.second, w.written = s, 0
	}
	limit := maxPerSecond
	if level < slog.LevelWarn {
		limit -= reservedPerSecond
	}
	if w.written >= limit {
		return false
	}
	w.written++
	return true
}

// handler is a slog.Handler that applies the rate limit of a Writer and reports how many lines were dropped.
type handler struct {
	next slog.Handler
	w    *Writer
}

var _ slog.Handler = (*handler)(nil)

// NewLogger returns a logger that writes records of at least the given level to w as lines of JSON.
func NewLogger(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), w})
}

// NewProcessLogger returns a logger like that of NewLogger without the rate limit. It is for the few lines on the start and the
// stop of the process, which explain all others.
func NewProcessLogger(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.w.allowRecord(r.Time, r.Level) {
		h.w.drop()
		return nil
	}
	if n := h.w.unreported.Swap(0); n > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.Int64("lines", n))
		if err := h.next.Handle(ctx, note); err != nil {
			return err
		}
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.next.WithAttrs(attrs), h.w}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler { return &handler{h.next.WithGroup(name), h.w} }
