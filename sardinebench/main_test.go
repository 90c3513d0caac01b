package main

import (
	"io"
	"testing"

	"sardinecross.example/lib/common/prog"
)

// Guards against a measurement that starts although the subcommand is missing or unknown, or a flag is misspelt. With a
// misspelt -quick, the long measurement would start instead of the short one.
func TestInvalidArguments(t *testing.T) {
	for _, args := range [][]string{nil, {"other"}, {"-quik", "policies"}} {
		if code := run(args, io.Discard, io.Discard); code != prog.ExitUsage {
			t.Errorf("%v: exit code %d, want %d", args, code, prog.ExitUsage)
		}
	}
}
