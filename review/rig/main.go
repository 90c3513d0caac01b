// Command rig runs one case of the review: it starts entry hosts as processes on loopback addresses, with stand-ins for
// the store, the workers and the clients, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run runs a case and returns its exit code.
func run(name, program, recordFile string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close() //nolint:errcheck // nothing is written any more
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	s := &site{dir: dir, rec: &recorder{start: time.Now(), file: f}}
	s.rec.add("case %s, trouble %t", name, trouble)
	broken, err := play(s, program, trouble)
	s.close()
	switch {
	case err != nil:
		s.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken != "":
		s.rec.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	s.rec.add("held")
	fmt.Println("held")
	return exitHeld
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], program, os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// route is one rule of the configuration.
type route struct {
	prefix, kind, service string
	target, timeout       float64
	attempts              int
}

// putConfiguration writes the operators' configuration to the store.
func (s *site) putConfiguration(services []string, routes []route) {
	var rules, clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": "r" + r.prefix, "kind": r.kind, "latency-target-s": r.target, "priority": 1,
			"match":  map[string]any{"path-prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-s": r.timeout, "max-attempts": r.attempts},
		})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{
			"name": name, "health-path": healthPath, "max-conns": 220, "protocol": "h1", "tls": false, "cold-s": 3.0, "cold-per-s": 5.0,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version":   1,
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
		"listeners": []any{map[string]any{"host": routeHost, "policy": rules}},
		"clusters":  clusters,
	})
	s.store.put("keyed.op", "config", value)
}

// startSite starts a store, workers of one service and hosts, and waits until the hosts are ready.
func (s *site) startSite(program string, hosts, workers int, routes []route) error {
	ips, err := freeAddresses(hosts + 1)
	if err != nil {
		return err
	}
	if s.store, err = startStore(ips[hosts]); err != nil {
		return err
	}
	s.putConfiguration([]string{"orders"}, routes)
	for i := range workers {
		w, err := startWorker(fmt.Sprintf("i-%08x", 0x51a0+i), "orders", fmt.Sprintf("z%d", 1+i%2), ips[hosts], s.store, s.rec)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for i := range hosts {
		if _, err := s.startHost(program, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("z%d", 1+i%2), ips[i], ips[:hosts]); err != nil {
			return err
		}
	}
	if err := s.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // beyond stable-window-s: the hosts are in touch
	return nil
}
