package lines

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a reader that has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for the reader of the log.
func TestWritingNeverBlocks(t *testing.T) {
	s := stuck{make(chan struct{})}
	defer close(s.release)
	w := New(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queued {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing blocks")
	}
	if w.Dropped.Load() == 0 {
		t.Fatal("no line was left out")
	}
	w.Close()
}

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against a log that grows with the load, and against losing warnings to lines of served requests.
func TestRateIsBoundedAndWarningsAreKept(t *testing.T) {
	var out safeBuffer
	w := New(&out)
	log := Logger(w, slog.LevelInfo)
	for range 2 * perSecond {
		log.Info("served")
	}
	log.Warn("refused")
	w.Close()
	text := out.String()
	if n := strings.Count(text, `"served"`); n > 2*perSecond-reserved {
		t.Errorf("%d lines of served requests", n)
	}
	if !strings.Contains(text, `"refused"`) || !strings.Contains(text, "log lines left out") {
		t.Error("the warning or the count of lines left out is missing")
	}
}
