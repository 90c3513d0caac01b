// Command sardined is the daemon of an entry host. It routes the requests of callers to upstreams.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/config"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the program with the given arguments and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("sardined", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings `FILE` (JSON with comments)")
	version := flags.Bool("version", false, "print the version and exit")
	if code, ended := prog.Parse(flags, args); ended {
		return code
	}
	if *version {
		_, _ = fmt.Fprintln(stdout, prog.Version("sardined"))
		return prog.ExitOK
	}
	if *file == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "sardined: -settings FILE is required and takes no further arguments")
		flags.Usage()
		return prog.ExitUsage
	}
	settings, err := config.LoadDaemon(*file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return prog.ExitUsage
	}
	// Keys are loaded again when their files change, so that a hangup asks for nothing. Without this, it would end the process.
	signal.Ignore(syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	d, err := newDaemon(settings, stderr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "sardined:", err)
		return exitCode(err)
	}
	d.serve(stop)
	return prog.ExitOK
}
