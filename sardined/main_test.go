package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against wrong exit codes, on which service managers and operators' scripts rely, and against a mistake in the
// settings that is reported without its line number.
func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	assertNoError(t, os.WriteFile(broken, []byte("{\n  \"host\": 1\n}\n"), 0o600))
	for name, c := range map[string]struct {
		args   []string
		code   int
		output string
	}{
		"help":            {[]string{"--help"}, 0, "-settings FILE"},
		"version":         {[]string{"-version"}, 0, "sardined "},
		"no settings":     {nil, 2, "-settings FILE is required"},
		"unknown flag":    {[]string{"-x"}, 2, "not defined"},
		"more arguments":  {[]string{"-settings", broken, "x"}, 2, "no further arguments"},
		"missing file":    {[]string{"-settings", broken + "x"}, 2, "no such file"},
		"broken settings": {[]string{"-settings", broken}, 2, broken + ":2:"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if code := run(c.args, &out, &out); code != c.code || !strings.Contains(out.String(), c.output) {
				t.Errorf("code %d, output %s", code, out.String())
			}
		})
	}
}
