// Command sardinegate is the entry host on the users' platform: it routes callers' requests to upstreams.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"sardinecross.example/platform"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// gcPercent lets the heap grow more between collections: the live heap is small, and collections cost processor time.
const gcPercent = 200

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program without the process around it.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("sardinegate", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", platform.SettingsPath(), "settings `FILE` of the platform")
	check := flags.Bool("check", false, "check the settings and exit")
	quiet := flags.Bool("quiet", false, "log warnings and errors only")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "sardinegate: -settings FILE is required and takes no further arguments")
		flags.Usage()
		return exitUsage
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "sardinegate:", err)
		return exitUsage
	}
	if *check {
		_, _ = fmt.Fprintf(stdout, "%s: settings of host %s are valid\n", *path, settings.Host)
		return exitDone
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	g, err := newGate(settings, *path, stdout, *quiet)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "sardinegate:", err)
		return exitFailed
	}
	g.serve(signals)
	return exitDone
}
