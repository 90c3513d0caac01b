package main

import (
	"io"
	"testing"

	"sardinecross.example/lib/common/prog"
)

// A measurement must not start with a missing or unknown subcommand or an unknown flag.
func TestInvalidArguments(t *testing.T) {
	for _, args := range [][]string{nil, {"other"}, {"-quik", "policies"}} {
		if code := run(args, io.Discard, io.Discard); code != prog.ExitUsage {
			t.Errorf("%v: exit code %d, want %d", args, code, prog.ExitUsage)
		}
	}
}
