package logger

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"sardinecross.example/lib/common/logbuf"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that hang because the process that reads the log has stopped reading.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	defer close(s.release)
	w := NewWriter(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueSize {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked")
	}
	if w.Dropped.Load() == 0 {
		t.Fatal("no line was dropped, although more were written than fit the queue")
	}
	w.Close()
}

// Guards against a log that grows with the load, and against warnings that are dropped because lines of served requests
// used up the rate limit, or lines on the stop of the process because warnings did.
func TestRateLimitKeepsWarnings(t *testing.T) {
	var out logbuf.Buffer
	w := NewWriter(&out)
	log := NewLogger(w, slog.LevelInfo)
	for range 2 * maxPerSecond {
		log.Info("served")
	}
	log.Warn("refused")
	for range 2 * maxPerSecond {
		log.Warn("refused")
	}
	NewProcessLogger(w, slog.LevelInfo).Info("stopped")
	w.Close()
	text := out.String()
	if n := strings.Count(text, `"served"`); n > 2*maxPerSecond-reservedPerSecond {
		t.Errorf("%d lines of served requests were written, above the rate limit", n)
	}
	if !strings.Contains(text, `"stopped"`) {
		t.Error("the line on the stop of the process is missing")
	}
	if !strings.Contains(text, `"refused"`) || !strings.Contains(text, "log lines left out") {
		t.Error("the warning or the count of dropped lines is missing")
	}
}
