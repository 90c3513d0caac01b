package prog

import (
	"flag"
	"io"
	"strings"
	"testing"
)

// Guards against exit codes that scripts cannot rely on.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		args  []string
		code  int
		ended bool
	}{
		"none":    {nil, Done, false},
		"known":   {[]string{"-a"}, Done, false},
		"help":    {[]string{"-help"}, Done, true},
		"unknown": {[]string{"-b"}, Usage, true},
	} {
		t.Run(name, func(t *testing.T) {
			flags := flag.NewFlagSet("p", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			flags.Bool("a", false, "")
			if code, ended := Parse(flags, c.args); code != c.code || ended != c.ended {
				t.Errorf("got %d, %v", code, ended)
			}
		})
	}
	if v := Version("p"); !strings.HasPrefix(v, "p ") {
		t.Errorf("got %q", v)
	}
}
