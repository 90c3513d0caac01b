// Package lines writes log lines without ever blocking: their rate is bounded, and what does not fit is counted.
package lines

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queued is the number of lines that wait for the writer.
	queued = 1024
	// perSecond bounds the lines of one second; reserved of them are kept for warnings and errors.
	perSecond = 300
	reserved  = 150
	// flushAfter bounds how long Close waits for a reader that has stopped.
	flushAfter = 200 * time.Millisecond
)

// Writer hands lines to one goroutine that writes them.
type Writer struct {
	lines chan []byte
	stop  chan struct{}
	ended chan struct{}
	// dropped counts lines left out since the last report of them, Dropped all of them.
	dropped, Dropped atomic.Int64

	mu     sync.Mutex
	second int64
	used   int
}

// New starts a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queued), stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for {
			select {
			case line := <-w.lines:
				_, _ = out.Write(line) // there is nowhere to report it
			case <-w.stop:
				w.drain(out)
				return
			}
		}
	}()
	return w
}

func (w *Writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to report it
		default:
			return
		}
	}
}

// Close writes the lines that wait, unless their reader has stopped.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(flushAfter):
	}
}

// Write implements io.Writer; it takes one line and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.Dropped.Add(1)
}

// take reports whether a line of a level may be written in this second.
func (w *Writer) take(now time.Time, level slog.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		w.second, w.used = s, 0
	}
	limit := perSecond
	if level < slog.LevelWarn {
		limit -= reserved
	}
	if w.used >= limit {
		return false
	}
	w.used++
	return true
}

// handler is a slog.Handler within the bounds of a Writer.
type handler struct {
	next slog.Handler
	w    *Writer
}

var _ slog.Handler = (*handler)(nil)

// Logger returns a logger that writes lines of JSON to w.
func Logger(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), w})
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.w.take(r.Time, r.Level) {
		h.w.drop()
		return nil
	}
	if n := h.w.dropped.Swap(0); n > 0 {
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
