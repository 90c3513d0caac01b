// Package trial runs measurements: named steps with clean-up, that go on after a failed one.
package trial

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"

	"sardinecross.example/proofs/site"
)

// T is one measurement. Its methods are those of testing.T with the same names.
type T struct {
	name string
	out  io.Writer

	mu     sync.Mutex
	failed bool
	undo   []func()
}

var _ site.T = (*T)(nil)

// Run runs a measurement and reports whether it succeeded.
func Run(out io.Writer, name string, f func(t *T)) bool {
	t := &T{name: name, out: out}
	t.Logf("begin")
	start := time.Now()
	done := make(chan struct{})
	go func() { // Fatal ends the goroutine
		defer close(done)
		defer t.cleanUp()
		f(t)
	}()
	<-done
	t.Logf("end after %.0f s", time.Since(start).Seconds())
	return !t.Failed()
}

func (t *T) cleanUp() {
	for len(t.undo) > 0 {
		last := t.undo[len(t.undo)-1]
		t.undo = t.undo[:len(t.undo)-1]
		last()
	}
}

// Run runs a step of t.
func (t *T) Run(name string, f func(t *T)) bool {
	ok := Run(t.out, t.name+"/"+name, f)
	if !ok {
		t.fail()
	}
	return ok
}

// Helper does nothing.
func (t *T) Helper() {}

// Name returns the name with those of the measurements around it.
func (t *T) Name() string { return t.name }

// Cleanup has f called at the end, in reverse order.
func (t *T) Cleanup(f func()) { t.undo = append(t.undo, f) }

// TempDir returns a directory that is removed at the end.
func (t *T) TempDir() string {
	dir, err := os.MkdirTemp("", "sardinebench")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Logf("remove %s: %v", dir, err)
		}
	})
	return dir
}

// Failed reports whether the measurement has failed.
func (t *T) Failed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

func (t *T) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = true
}

// Log writes a line.
func (t *T) Log(args ...any) { t.Logf("%s", fmt.Sprint(args...)) }

// Logf writes a line.
func (t *T) Logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.out, "%s: %s\n", t.name, fmt.Sprintf(format, args...)) // nowhere to report it
}

// Error writes a line and fails the measurement.
func (t *T) Error(args ...any) { t.Errorf("%s", fmt.Sprint(args...)) }

// Errorf writes a line and fails the measurement.
func (t *T) Errorf(format string, args ...any) {
	t.Logf(format, args...)
	t.fail()
}

// Fatal writes a line and ends the measurement as failed.
func (t *T) Fatal(args ...any) { t.Fatalf("%s", fmt.Sprint(args...)) }

// Fatalf writes a line and ends the measurement as failed.
func (t *T) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}
