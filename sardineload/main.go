// Command sardineload sends an open-loop load to the hosts of a site and reports what its callers saw.
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

// options are the flags.
type options struct {
	settings, entry, class, kind, csv string
	rate                              float64
	duration                          time.Duration
	seed                              int
	upstreams                         netip.AddrPort
	json, direct, allowOther          bool
}

// UsageError reports flags that make no load.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem + "\n" + usage }

// OutputError reports a result that could not be written.
type OutputError struct{ Err error }

// Error implements error.
func (e *OutputError) Error() string { return fmt.Sprintf("write the result: %v", e.Err) }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Err }

func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	opt, err := parse(args, stderr)
	if err != nil {
		return prog.ExitUsage
	}
	cfg, err := settings(opt)
	if err != nil {
		return report(stderr, err, prog.ExitUsage)
	}
	l := newLoad(cfg, opt)
	err = l.run(ctx)
	summary := l.summary
	if err == nil {
		err = write(l, opt, stdout)
	}
	if err != nil {
		return report(stderr, err, prog.ExitFailed)
	}
	if !summary.OK() {
		return prog.ExitFailed
	}
	return prog.ExitOK
}

func report(stderr io.Writer, err error, code int) int {
	fmt.Fprintln(stderr, err) //nolint:errcheck // nowhere to report it
	return code
}

func parse(args []string, stderr io.Writer) (options, error) {
	fs := flag.NewFlagSet("sardineload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() { fmt.Fprint(stderr, usage) } //nolint:errcheck // nowhere to report it
	var opt options
	fs.StringVar(&opt.settings, "settings", "", "settings file")
	fs.StringVar(&opt.entry, "entry", "", "addresses to ask first")
	fs.StringVar(&opt.class, "class", "", "class of the load")
	fs.StringVar(&opt.kind, "kind", "plain", "plain, issued, key or neither")
	fs.Float64Var(&opt.rate, "rate", 100, "requests per second")
	fs.DurationVar(&opt.duration, "duration", 0, "length of the load")
	fs.IntVar(&opt.seed, "seed", 0, "seed of the arrivals")
	fs.TextVar(&opt.upstreams, "upstreams", netip.AddrPort{}, "control address of the upstreams, to compare orders")
	fs.StringVar(&opt.csv, "csv", "", "file for the time series")
	fs.BoolVar(&opt.json, "json", false, "print a JSON summary")
	fs.BoolVar(&opt.direct, "direct", false, "send straight to upstreams")
	fs.BoolVar(&opt.allowOther, "allow-other", false, "permit addresses outside loopback")
	return opt, fs.Parse(args)
}

// settings returns the settings of the file, or those made from flags.
func settings(opt options) (plan.Settings, error) {
	var cfg plan.Settings
	cfg.SetDefaults()
	if opt.settings != "" {
		if err := config.Load(opt.settings, &cfg); err != nil {
			return cfg, err
		}
	}
	if err := fill(&cfg, opt); err != nil {
		return cfg, err
	}
	return cfg, check(cfg, opt)
}

// fill sets what the flags give.
func fill(cfg *plan.Settings, opt options) error {
	for _, text := range strings.FieldsFunc(opt.entry, func(r rune) bool { return r == ',' }) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return &UsageError{Problem: text + " is not an IP address and port"}
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
	if opt.csv != "" {
		cfg.CSV = opt.csv
	}
	if opt.class == "" {
		return nil
	}
	var c plan.Class
	c.SetDefaults()
	c.Name, c.Rate = opt.class, opt.rate
	kinds, ok := map[string]plan.Kinds{"plain": {}, "issued": {Issued: 1}, "key": {Key: 1}, "neither": {Neither: 1}}[opt.kind]
	if !ok {
		return &UsageError{Problem: "-kind is plain, issued, key or neither"}
	}
	c.Kinds, c.Orders = kinds, kinds != plan.Kinds{}
	if opt.direct {
		c.Direct = cfg.Entries
	}
	cfg.Classes = append(cfg.Classes, c)
	return nil
}

func check(cfg plan.Settings, opt options) error {
	if len(cfg.Classes) == 0 {
		return &UsageError{Problem: "no classes"}
	}
	if cfg.Duration < plan.Step {
		return &UsageError{Problem: "-duration is below 10ms"}
	}
	if !opt.direct && len(cfg.Entries) == 0 {
		return &UsageError{Problem: "no entries"}
	}
	addresses := append([]netip.AddrPort{}, cfg.Entries...)
	for _, c := range cfg.Classes {
		if opt.direct && len(c.Direct) == 0 {
			return &UsageError{Problem: "class " + c.Name + " has no upstreams for -direct"}
		}
		addresses = append(addresses, c.Direct...)
	}
	for _, a := range addresses {
		if !opt.allowOther && !a.Addr().Unmap().IsLoopback() {
			return &UsageError{Problem: a.String() + " is not a loopback address; -allow-other permits it"}
		}
	}
	return nil
}

// write writes the time series and the summary.
func write(l *load, opt options, stdout io.Writer) error {
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
