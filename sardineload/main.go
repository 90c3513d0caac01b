// Command sardineload sends an open-loop load to the hosts of a site and reports the outcomes and latencies that its
// callers saw.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/config"
	"sardinecross.example/sardineload/plan"
	"sardinecross.example/sardineload/tally"
)

const usage = `usage: sardineload -settings FILE [flags]
       sardineload -entry IP:PORT[,IP:PORT...] -class NAME [-rate N] [-kind plain|issued|key|neither] [flags]
flags: -duration D  -seed N  -upstreams IP:PORT  -csv FILE  -json  -direct  -allow-other
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// options holds the values of the flags.
type options struct {
	settingsFile, entry, class, kind, csvFile string
	rate                                      float64
	duration                                  time.Duration
	seed                                      int
	upstreams                                 netip.AddrPort
	json, direct, allowNonLoopback            bool
}

// UsageError reports flags and settings from which no valid load can be made.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem + "\n" + usage }

// OutputError reports that the summary or the time series could not be written.
type OutputError struct{ Err error }

// Error implements error.
func (e *OutputError) Error() string { return fmt.Sprintf("cannot write the results: %v", e.Err) }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Err }

// execute runs the tool with the arguments and returns its exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	opt, err := parseFlags(args, stderr)
	if err != nil {
		return prog.ExitUsage
	}
	cfg, err := loadSettings(opt)
	if err != nil {
		return printError(stderr, err, prog.ExitUsage)
	}
	l := newLoad(cfg, opt)
	err = l.run(ctx)
	summary := l.summary
	if err == nil {
		err = writeResults(l, opt, stdout)
	}
	if err != nil {
		return printError(stderr, err, prog.ExitFailed)
	}
	if !summary.OK() {
		return prog.ExitFailed
	}
	return prog.ExitOK
}

// printError prints an error and returns the exit code that it was given.
func printError(stderr io.Writer, err error, code int) int {
	fmt.Fprintln(stderr, err) //nolint:errcheck // nowhere to report it
	return code
}

func parseFlags(args []string, stderr io.Writer) (options, error) {
	fs := flag.NewFlagSet("sardineload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() { fmt.Fprint(stderr, usage) } //nolint:errcheck // nowhere to report it
	var opt options
	fs.StringVar(&opt.settingsFile, "settings", "", "settings file")
	fs.StringVar(&opt.entry, "entry", "", "host addresses that clients query first for the addresses of a class")
	fs.StringVar(&opt.class, "class", "", "class of the requests")
	fs.StringVar(&opt.kind, "kind", "plain", "how orders are protected against a second run: plain, issued, key or neither")
	fs.Float64Var(&opt.rate, "rate", 100, "requests per second")
	fs.DurationVar(&opt.duration, "duration", 0, "duration of the load")
	fs.IntVar(&opt.seed, "seed", 0, "seed of the random arrivals")
	fs.TextVar(&opt.upstreams, "upstreams", netip.AddrPort{}, "control address of the stand-in upstreams, to compare orders with their runs")
	fs.StringVar(&opt.csvFile, "csv", "", "CSV file for the time series")
	fs.BoolVar(&opt.json, "json", false, "print a JSON summary")
	fs.BoolVar(&opt.direct, "direct", false, "send to the upstreams directly, without hosts")
	fs.BoolVar(&opt.allowNonLoopback, "allow-other", false, "allow addresses outside loopback")
	return opt, fs.Parse(args)
}

// loadSettings reads the settings file, if there is one, applies the flags and validates the result.
func loadSettings(opt options) (plan.Settings, error) {
	var cfg plan.Settings
	cfg.SetDefaults()
	if opt.settingsFile != "" {
		if err := config.Load(opt.settingsFile, &cfg); err != nil {
			return cfg, err
		}
	}
	if err := applyFlags(&cfg, opt); err != nil {
		return cfg, err
	}
	return cfg, validate(cfg, opt)
}

// applyFlags changes the settings as the flags ask. A class in the flags is added to those in the file.
func applyFlags(cfg *plan.Settings, opt options) error {
	for _, text := range strings.FieldsFunc(opt.entry, func(r rune) bool { return r == ',' }) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return &UsageError{Problem: "-entry: " + text + " is not an IP address and port"}
		}
		cfg.Entries = append(cfg.Entries, a)
	}
	if opt.duration != 0 {
		cfg.Duration = opt.duration
	}
	if opt.seed != 0 {
		cfg.Seed = opt.seed
	}
	if opt.upstreams.IsValid() {
		cfg.Upstreams = opt.upstreams
	}
	if opt.csvFile != "" {
		cfg.CSV = opt.csvFile
	}
	if opt.class == "" {
		return nil
	}
	var c plan.Class
	c.SetDefaults()
	c.Name, c.Rate = opt.class, opt.rate
	kinds, ok := map[string]plan.Kinds{"plain": {}, "issued": {Issued: 1}, "key": {Key: 1}, "neither": {Neither: 1}}[opt.kind]
	if !ok {
		return &UsageError{Problem: "-kind must be plain, issued, key or neither"}
	}
	c.Kinds, c.Orders = kinds, kinds != plan.Kinds{}
	if opt.direct {
		c.Direct = cfg.Entries
	}
	cfg.Classes = append(cfg.Classes, c)
	return nil
}

// validate checks the settings together with the flags. Unless -allow-other is set, every address must be a loopback
// address.
func validate(cfg plan.Settings, opt options) error {
	if len(cfg.Classes) == 0 {
		return &UsageError{Problem: "no classes: use -settings or -class"}
	}
	if cfg.Duration < plan.Step {
		return &UsageError{Problem: "-duration is below the minimum of 10ms"}
	}
	if !opt.direct && len(cfg.Entries) == 0 {
		return &UsageError{Problem: "no entries: use -settings or -entry"}
	}
	addresses := append([]netip.AddrPort{}, cfg.Entries...)
	for _, c := range cfg.Classes {
		if opt.direct && len(c.Direct) == 0 {
			return &UsageError{Problem: "class " + c.Name + " has no upstreams for -direct"}
		}
		addresses = append(addresses, c.Direct...)
	}
	for _, a := range addresses {
		if !opt.allowNonLoopback && !a.Addr().Unmap().IsLoopback() {
			return &UsageError{Problem: a.String() + " is not a loopback address; use -allow-other to allow it"}
		}
	}
	return nil
}

// writeResults writes the time series to the CSV file, if one is set, and the summary to stdout.
func writeResults(l *load, opt options, stdout io.Writer) error {
	if l.cfg.CSV != "" {
		if err := writeCSV(l.cfg.CSV, l.tally); err != nil {
			return &OutputError{Err: err}
		}
	}
	var err error
	if opt.json {
		e := json.NewEncoder(stdout)
		e.SetIndent("", "  ")
		err = e.Encode(l.summary)
	} else {
		err = l.summary.WriteTable(stdout)
	}
	if err != nil {
		return &OutputError{Err: err}
	}
	return nil
}

func writeCSV(file string, t *tally.Tally) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(t.WriteCSV(f), f.Close())
}
