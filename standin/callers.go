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

// statsTimeout bounds the request for the statistics of the platform's stand-in.
const statsTimeout = 5 * time.Second

// callerOptions holds the values of the flags of "standin callers".
type callerOptions struct {
	directories string
	control     netip.AddrPort
	zone        string
	rate        float64
	duration    time.Duration
	seed        uint64
}

// ViolationError reports the requests for which the hosts violated a guarantee, such as that an order runs at most once.
type ViolationError struct{ Violations []caller.Violation }

// Error implements error.
func (e *ViolationError) Error() string {
	lines := []string{fmt.Sprintf("%d guarantees violated", len(e.Violations))}
	for _, v := range e.Violations {
		lines = append(lines, fmt.Sprintf("request %s: %s", v.ID, v.Problem))
	}
	return strings.Join(lines, "\n")
}

// runCallers sends a load, prints a summary of the responses and returns ExitFailed if a guarantee was violated.
func runCallers(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cfg, opt, err := parseCallerFlags(args)
	if err == nil {
		err = runLoad(ctx, cfg, opt, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, err) //nolint:errcheck // nowhere to report it
		return exitCode(err)
	}
	return prog.ExitOK
}

// parseCallerFlags parses the flags into the settings of the load and the options that only this program uses.
func parseCallerFlags(args []string) (caller.Settings, callerOptions, error) {
	fs := flag.NewFlagSet("standin callers", flag.ContinueOnError)
	fs.SetOutput(io.Discard) // runCallers prints the returned error, which has the same text
	opt := callerOptions{rate: 100, duration: 10 * time.Second, seed: 1}
	fs.StringVar(&opt.directories, "directories", "", "addresses of the hosts' directories, joined by commas")
	fs.TextVar(&opt.control, "control", netip.AddrPort{}, "control address of the stand-in of the platform")
	fs.StringVar(&opt.zone, "zone", "", "zone of the callers")
	fs.Float64Var(&opt.rate, "rate", opt.rate, "requests per second")
	fs.DurationVar(&opt.duration, "duration", opt.duration, "duration of the load")
	fs.Uint64Var(&opt.seed, "seed", opt.seed, "random seed of arrival times, addresses and IDs")
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

// runLoad sends the load, writes the summary to stdout and compares the responses with what the upstreams ran.
func runLoad(ctx context.Context, cfg caller.Settings, opt callerOptions, stdout io.Writer) error {
	requests := caller.Run(ctx, cfg, opt.seed)
	if err := caller.Report(stdout, requests); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	runs, err := fetchRunCounts(opt.control)
	if err != nil {
		return fmt.Errorf("read the run counts of the platform's stand-in: %w", err)
	}
	if violations := caller.Audit(requests, cfg.Orders, runs); len(violations) > 0 {
		return &ViolationError{violations}
	}
	_, err = fmt.Fprintln(stdout, "no guarantee violated")
	return err
}

// fetchRunCounts reads from the platform's stand-in how many times each request ran, by request ID.
func fetchRunCounts(control netip.AddrPort) (map[string]int, error) {
	client := &http.Client{Timeout: statsTimeout}
	resp, err := client.Get("http://" + control.String() + "/stats")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // a body that was only read
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
