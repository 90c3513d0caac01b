// Command standin runs stand-ins for services that tests and demonstrations need: the platform's log, its host list and
// its upstreams, the users' platform, and the callers of that platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/config"
	"sardinecross.example/platform/standin/users"
	"sardinecross.example/standin/hosts"
	"sardinecross.example/standin/record"
	"sardinecross.example/standin/worker"
)

const usage = `usage: standin log|hosts|upstreams -settings FILE
       standin log -listen IP:PORT -control IP:PORT [-rate N]
       standin hosts -listen IP:PORT -control IP:PORT
       standin upstreams -listen IP:PORT -control IP:PORT [-workers N] [-service NAME] [-slots N]
       standin platform -listen IP:PORT [-also IP:PORT] -control IP:PORT -upstreams IP:PORT [-workers N]
       standin callers -directories IP:PORT[,IP:PORT...] -control IP:PORT -zone NAME [-rate N] [-duration D] [-seed N]
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// standin is a running stand-in. Close stops it and waits for its handlers.
type standin interface{ Close() }

var (
	_ standin = (*record.Log)(nil)
	_ standin = (*hosts.List)(nil)
	_ standin = (*worker.Fleet)(nil)
	_ standin = (*users.Site)(nil)
)

// options holds the values of the command-line flags of all stand-ins but the callers.
type options struct {
	settings, service string
	listen, control   netip.AddrPort
	upstreams, also   netip.AddrPort
	rate              float64
	workers, slots    int
}

// run starts a stand-in, prints "ready" and serves until ctx is cancelled. It returns the exit code of the program.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage) //nolint:errcheck // nowhere to report it
		return prog.ExitUsage
	}
	if args[0] == "callers" {
		return runCallers(ctx, args[1:], stdout, stderr)
	}
	opt, err := parseFlags(args[0], args[1:], stderr)
	if err != nil {
		return prog.ExitUsage
	}
	s, err := start(args[0], opt)
	if err != nil {
		fmt.Fprintln(stderr, err) //nolint:errcheck // nowhere to report it
		return exitCode(err)
	}
	fmt.Fprintln(stdout, "ready") //nolint:errcheck // the reader may have gone
	<-ctx.Done()
	s.Close()
	return prog.ExitOK
}

// parseFlags parses the flags of the stand-in called name. The FlagSet prints any error to stderr.
func parseFlags(name string, args []string, stderr io.Writer) (options, error) {
	fs := flag.NewFlagSet("standin "+name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() { fmt.Fprint(stderr, usage) } //nolint:errcheck // nowhere to report it
	opt := options{rate: 300, workers: 1, slots: 4}
	fs.StringVar(&opt.settings, "settings", "", "settings file; replaces all other flags")
	fs.TextVar(&opt.listen, "listen", netip.AddrPort{}, "address; upstreams use consecutive ports from here")
	fs.TextVar(&opt.control, "control", netip.AddrPort{}, "address of POST /control and GET /stats")
	fs.TextVar(&opt.upstreams, "upstreams", netip.AddrPort{}, "first address of the platform's upstreams")
	fs.TextVar(&opt.also, "also", netip.AddrPort{}, "additional address of the platform's store")
	fs.Float64Var(&opt.rate, "rate", opt.rate, "appends per second")
	fs.IntVar(&opt.workers, "workers", opt.workers, "number of upstreams")
	fs.StringVar(&opt.service, "service", "booking", "service of the upstreams")
	fs.IntVar(&opt.slots, "slots", opt.slots, "slots per upstream")
	return opt, fs.Parse(args)
}

// UsageError reports an unknown stand-in, or flags that are missing, invalid or not supported.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem + "\n" + usage }

// exitCode returns ExitUsage for wrong flags or settings, and ExitFailed for all other errors.
func exitCode(err error) int {
	var usageErr *UsageError
	var validationErr *config.ValidationError
	var fileErr *config.FileError
	if errors.As(err, &usageErr) || errors.As(err, &validationErr) || errors.As(err, &fileErr) {
		return prog.ExitUsage
	}
	return prog.ExitFailed
}

// start starts the stand-in called name.
func start(name string, opt options) (standin, error) {
	if opt.settings == "" && (!opt.listen.IsValid() || !opt.control.IsValid()) {
		return nil, &UsageError{Problem: "-settings, or -listen and -control are required"}
	}
	switch name {
	case "log":
		return startLog(opt)
	case "hosts":
		return startHosts(opt)
	case "upstreams":
		return startUpstreams(opt)
	case "platform":
		if opt.settings != "" || !opt.upstreams.IsValid() {
			return nil, &UsageError{Problem: "-upstreams is required, and -settings is not supported"}
		}
		cfg := users.Settings{Store: opt.listen, Control: opt.control, FirstUpstream: opt.upstreams, UpstreamsPerZone: opt.workers}
		if opt.also.IsValid() {
			cfg.StoreAliases = []netip.AddrPort{opt.also}
		}
		return users.New(cfg)
	}
	return nil, &UsageError{Problem: "unknown stand-in " + name}
}

func startLog(opt options) (standin, error) {
	var cfg record.Settings
	cfg.SetDefaults()
	if opt.settings == "" {
		cfg.Listen, cfg.Control, cfg.AppendsPerSecond = opt.listen, opt.control, opt.rate
	} else if err := config.Load(opt.settings, &cfg); err != nil {
		return nil, err
	}
	return record.New(cfg)
}

func startHosts(opt options) (standin, error) {
	cfg := hosts.Settings{Listen: opt.listen, Control: opt.control}
	if opt.settings != "" {
		if err := config.Load(opt.settings, &cfg); err != nil {
			return nil, err
		}
	}
	return hosts.New(cfg)
}

func startUpstreams(opt options) (standin, error) {
	var cfg worker.Settings
	cfg.SetDefaults()
	if opt.settings == "" {
		applyUpstreamFlags(&cfg, opt)
	} else if err := config.Load(opt.settings, &cfg); err != nil {
		return nil, err
	}
	return worker.New(cfg)
}

// applyUpstreamFlags sets cfg to one service with opt.workers workers, which listen on consecutive ports.
func applyUpstreamFlags(cfg *worker.Settings, opt options) {
	var service worker.Service
	service.SetDefaults()
	service.Slots = opt.slots
	cfg.Control = opt.control
	cfg.Services = map[string]worker.Service{opt.service: service}
	for i := range opt.workers {
		cfg.Workers = append(cfg.Workers, worker.Placement{
			ID:         opt.service + "-" + strconv.Itoa(i+1),
			Service:    opt.service,
			DataCentre: "local",
			Address:    netip.AddrPortFrom(opt.listen.Addr(), opt.listen.Port()+uint16(i)),
		})
	}
}
