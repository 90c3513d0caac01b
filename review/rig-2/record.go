package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
	calls map[string]*call
}

// call is one request of a client.
type call struct {
	id, tenant, host string
	sent             time.Time
	status           int // 0: no answer
	answered         time.Time
	runs             []run
}

type run struct {
	worker string
	at     time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: bufio.NewWriter(f), file: f, calls: make(map[string]*call)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), format, args...)
}

func (r *record) write(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.4f  "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

func (r *record) sent(id, tenant, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.calls[id] = &call{id: id, tenant: tenant, host: host, sent: now}
	r.write(now, "sent %s to %s %s", id, host, tenant)
}

func (r *record) ended(id string, status int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.calls[id]
	c.status, c.answered = status, time.Now()
	r.write(c.answered, "answer %s %d %s", id, status, note)
}

func (r *record) ran(id, worker, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if c := r.calls[id]; c != nil {
		c.runs = append(c.runs, run{worker, now})
	}
	r.write(now, "runs %s at %s %s", id, worker, tenant)
}

// hasRun reports whether a worker has run a request.
func (r *record) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls[id].runs) > 0
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
