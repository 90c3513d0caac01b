// Command sardined is the daemon of an entry host: it routes callers' requests to upstreams.
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

	"sardinecross.example/lib/config"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program without the process around it.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("sardined", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings `FILE` (JSON with comments)")
	version := flags.Bool("version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	if *version {
		_, _ = fmt.Fprintln(stdout, versionText())
		return exitDone
	}
	if *file == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "sardined: -settings FILE is required and takes no further arguments")
		flags.Usage()
		return exitUsage
	}
	settings, err := config.LoadDaemon(*file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	d, err := newDaemon(settings, stderr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "sardined:", err)
		return exitCode(err)
	}
	d.serve(stop)
	return exitDone
}

func versionText() string {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version = s.Value
			}
		}
	}
	return "sardined " + version
}
