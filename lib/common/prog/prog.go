// Package prog holds what all programs have in common on the command line.
package prog

import (
	"errors"
	"flag"
	"runtime/debug"
)

// Exit codes.
const (
	// Done is success.
	Done = 0
	// Failed is an error while running.
	Failed = 1
	// Usage is a mistake in arguments or settings.
	Usage = 2
)

// Parse parses arguments. If ended is true, the program ends with the code: flags are wrong, which was printed, or help
// was asked for.
func Parse(flags *flag.FlagSet, args []string) (code int, ended bool) {
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return Done, true
	case err != nil:
		return Usage, true
	}
	return Done, false
}

// Version returns the name of a program with its revision, as far as the build knows it.
func Version(name string) string {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version = s.Value
			}
		}
	}
	return name + " " + version
}
