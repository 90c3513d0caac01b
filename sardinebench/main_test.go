package main

import (
	"io"
	"testing"

	"sardinecross.example/lib/common/prog"
)

// Guards against a measurement that starts on wrong arguments.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{nil, {"other"}, {"-quik", "policies"}} {
		if code := run(args, io.Discard, io.Discard); code != prog.ExitUsage {
			t.Errorf("%v: code %d, want %d", args, code, prog.ExitUsage)
		}
	}
}
