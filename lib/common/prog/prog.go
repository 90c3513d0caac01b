// Package prog provides the exit codes, flag parsing and version output that all programs share.
package prog

import (
	"errors"
	"flag"
	"runtime/debug"
)

// Exit codes that all programs share.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports an error at run time.
	ExitFailed = 1
	// ExitUsage reports invalid arguments or settings.
	ExitUsage = 2
)

// Parse parses the command-line arguments. If exit is true, the program must exit with the returned code: the flags are
// invalid, or help was requested. The flag set has then printed the error or the help.
func Parse(flags *flag.FlagSet, args []string) (code int, exit bool) {
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK, true
	case err != nil:
		return ExitUsage, true
	}
	return ExitOK, false
}

// Version returns the program's name followed by the VCS revision of the build. Without a revision it gives the module
// version, and without build information "unknown".
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
