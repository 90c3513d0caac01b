// Package trial runs measurements outside "go test": named steps with clean-up, where a failed step does not stop the
// following ones.
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

// T is one running measurement or step. Its methods do what the methods of testing.T with the same names do.
type T struct {
	name string
	out  io.Writer

	mu     sync.Mutex
	failed bool
	// cleanups holds the functions of Cleanup in the order of registration.
	cleanups []func()
}

var _ site.T = (*T)(nil)

// Run runs f as a measurement, prints its lines to out and reports whether it succeeded.
func Run(out io.Writer, name string, f func(t *T)) bool {
	t := &T{name: name, out: out}
	t.Logf("begin")
	start := time.Now()
	done := make(chan struct{})
	go func() { // Fatal ends only this goroutine
		defer close(done)
		defer t.runCleanups()
		f(t)
	}()
	<-done
	t.Logf("end after %.0f s", time.Since(start).Seconds())
	return !t.Failed()
}

func (t *T) runCleanups() {
	for len(t.cleanups) > 0 {
		last := t.cleanups[len(t.cleanups)-1]
		t.cleanups = t.cleanups[:len(t.cleanups)-1]
		last()
	}
}

// Run runs f as a step of t and reports whether it succeeded. If the step fails, t fails too.
func (t *T) Run(name string, f func(t *T)) bool {
	ok := Run(t.out, t.name+"/"+name, f)
	if !ok {
		t.fail()
	}
	return ok
}

// Helper does nothing; site.T requires it.
func (t *T) Helper() {}

// Name returns the name of the step, preceded by those of the enclosing steps and separated by slashes.
func (t *T) Name() string { return t.name }

// Cleanup registers f to be called when t ends. The function registered last is called first.
func (t *T) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

// TempDir creates a directory that is removed when t ends.
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

// Failed reports whether t has failed.
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

// Log prints a line.
func (t *T) Log(args ...any) { t.Logf("%s", fmt.Sprint(args...)) }

// Logf prints a formatted line.
func (t *T) Logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.out, "%s: %s\n", t.name, fmt.Sprintf(format, args...)) // a failed write cannot be reported
}

// Error prints a line and marks t as failed.
func (t *T) Error(args ...any) { t.Errorf("%s", fmt.Sprint(args...)) }

// Errorf prints a formatted line and marks t as failed.
func (t *T) Errorf(format string, args ...any) {
	t.Logf(format, args...)
	t.fail()
}

// Fatal prints a line and ends t as failed.
func (t *T) Fatal(args ...any) { t.Fatalf("%s", fmt.Sprint(args...)) }

// Fatalf prints a formatted line and ends t as failed.
func (t *T) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}
