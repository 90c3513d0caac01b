package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/platform/standin/caller"
	"sardinecross.example/platform/standin/users"
)

// statsTimeout bounds the question to the stand-in of the platform for what ran.
const statsTimeout = 5 * time.Second

// callerOptions are the flags of the callers.
type callerOptions struct {
	directories string
	control     netip.AddrPort
	zone        string
	rate        float64
	duration    time.Duration
	seed        uint64
}

// BreachError reports broken promises.
type BreachError struct{ Breaches []caller.Breach }

// Error implements error.
func (e *BreachError) Error() string {
	lines := []string{fmt.Sprintf("%d promises broken", len(e.Breaches))}
	for _, b := range e.Breaches {
		lines = append(lines, fmt.Sprintf("request %s: %s", b.ID, b.Problem))
	}
	return strings.Join(lines, "\n")
}

// runCallers sends a load, prints what the callers saw and fails if a promise was broken.
func runCallers(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cfg, opt, err := parseCallers(args)
	if err == nil {
		err = call(ctx, cfg, opt, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, err) //nolint:errcheck // nowhere to report it
		return exitCode(err)
	}
	return prog.ExitOK
}

func parseCallers(args []string) (caller.Settings, callerOptions, error) {
	fs := flag.NewFlagSet("standin callers", flag.ContinueOnError)
	fs.SetOutput(io.Discard) // the error that is returned says the same
	opt := callerOptions{rate: 100, duration: 10 * time.Second, seed: 1}
	fs.StringVar(&opt.directories, "directories", "", "addresses of the hosts' directories, joined by commas")
	fs.TextVar(&opt.control, "control", netip.AddrPort{}, "control address of the stand-in of the platform")
	fs.StringVar(&opt.zone, "zone", "", "zone of the callers")
	fs.Float64Var(&opt.rate, "rate", opt.rate, "requests per second")
	fs.DurationVar(&opt.duration, "duration", opt.duration, "length of the load")
	fs.Uint64Var(&opt.seed, "seed", opt.seed, "seed of arrivals, addresses and IDs")
	if err := fs.Parse(args); err != nil {
		return caller.Settings{}, opt, &UsageError{Problem: err.Error()}
	}
	cfg := caller.Settings{
		Host: users.RouteHost, Zone: opt.zone, Services: users.Services(), Orders: []string{users.OrderService}, Rate: opt.rate, Duration: opt.duration,
	}
	for _, text := range strings.Split(opt.directories, ",") {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return cfg, opt, &UsageError{Problem: "-directories: " + err.Error()}
		}
		cfg.Directories = append(cfg.Directories, addr)
	}
	if !opt.control.IsValid() || opt.rate <= 0 {
		return cfg, opt, &UsageError{Problem: "-control and a rate above 0 are required"}
	}
	return cfg, opt, nil
}

func call(ctx context.Context, cfg caller.Settings, opt callerOptions, stdout io.Writer) error {
	requests := caller.Run(ctx, cfg, opt.seed)
	if err := caller.Report(stdout, requests); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	runs, err := ran(opt.control)
	if err != nil {
		return fmt.Errorf("ask what ran: %w", err)
	}
	if breaches := caller.Audit(requests, cfg.Orders, runs); len(breaches) > 0 {
		return &BreachError{breaches}
	}
	_, err = fmt.Fprintln(stdout, "no promise broken")
	return err
}

// ran returns how often each request ran.
func ran(control netip.AddrPort) (map[string]int, error) {
	client := &http.Client{Timeout: statsTimeout}
	resp, err := client.Get("http://" + control.String() + "/stats")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	var stats users.Stats
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil {
		return nil, err
	}
	runs := make(map[string]int)
	for _, r := range stats.Runs {
		runs[r.ID]++
	}
	return runs, nil
}
