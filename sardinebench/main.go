// Command sardinebench measures sites made of the built programs, which run as separate processes on this machine.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/sardinebench/bench"
	"sardinecross.example/sardinebench/slope"
	"sardinecross.example/sardinebench/trial"
)

const usage = `usage: sardinebench [-quick] [-scenarios NAME,...] policies
       sardinebench slopes
Run in the directory sardinebench of the repository, with the programs built. policies writes its results to out/.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("sardinebench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		_, _ = fmt.Fprint(stderr, usage) // a failure to write to stderr cannot be reported
		flags.PrintDefaults()
	}
	var cfg bench.Settings
	flags.BoolVar(&cfg.Quick, "quick", false, "one site at a constant service time, for a shorter time")
	scenarios := flags.String("scenarios", "", "`NAMES` of scenarios and sites, joined by commas; all if empty")
	if code, exit := prog.Parse(flags, args); exit {
		return code
	}
	if *scenarios != "" {
		cfg.Scenarios = strings.Split(*scenarios, ",")
	}
	ok := false
	switch flags.Arg(0) {
	case "policies":
		ok = trial.Run(stdout, "policies", func(t *trial.T) { bench.Run(t, cfg) })
	case "slopes":
		ok = trial.Run(stdout, "slopes", slope.Run)
	default:
		flags.Usage()
		return prog.ExitUsage
	}
	if !ok {
		return prog.ExitFailed
	}
	return prog.ExitOK
}
