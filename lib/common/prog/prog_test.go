package prog

import (
	"flag"
	"io"
	"strings"
	"testing"
)

// Scripts rely on the exit codes: a request for help must exit with ExitOK and an unknown flag with ExitUsage.
func TestParseExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		code int
		exit bool
	}{
		"none":    {nil, ExitOK, false},
		"known":   {[]string{"-a"}, ExitOK, false},
		"help":    {[]string{"-help"}, ExitOK, true},
		"unknown": {[]string{"-b"}, ExitUsage, true},
	} {
		t.Run(name, func(t *testing.T) {
			flags := flag.NewFlagSet("p", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			flags.Bool("a", false, "")
			if code, exit := Parse(flags, c.args); code != c.code || exit != c.exit {
				t.Errorf("got %d, %v", code, exit)
			}
		})
	}
	if v := Version("p"); !strings.HasPrefix(v, "p ") {
		t.Errorf("got %q", v)
	}
}
