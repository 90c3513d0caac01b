package main

import (
	"context"
	"strings"
	"testing"

	"sardinecross.example/lib/common/prog"
)

// Guards against starting a load with invalid options, or one that would be sent to another machine.
func TestUsage(t *testing.T) {
	for name, c := range map[string]struct{ args, stderr string }{
		"no class":          {"-entry 127.0.0.1:1", "no classes"},
		"no entry":          {"-class a", "no entries"},
		"other machine":     {"-entry 192.0.2.1:1 -class a", "not a loopback"},
		"host name":         {"-entry localhost:1 -class a", "not an IP address"},
		"unknown kind":      {"-entry 127.0.0.1:1 -class a -kind odd", "-kind"},
		"too short":         {"-entry 127.0.0.1:1 -class a -duration 1ms", "-duration"},
		"missing settings":  {"-settings /nonexistent", "/nonexistent"},
		"unknown flag":      {"-rapid", "usage"},
		"direct to nowhere": {"-class a -direct", "no upstreams"},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			code := execute(context.Background(), strings.Fields(c.args), &stdout, &stderr)
			if code != prog.ExitUsage || !strings.Contains(stderr.String(), c.stderr) {
				t.Errorf("code %d, %s; want %s", code, stderr.String(), c.stderr)
			}
		})
	}
}

// Guards against a run that passes although no host responded.
func TestNeverServed(t *testing.T) {
	var stdout, stderr strings.Builder
	args := strings.Fields("-entry 127.0.0.1:1 -class a -duration 50ms -rate 100")
	if code := execute(context.Background(), args, &stdout, &stderr); code != prog.ExitFailed || !strings.Contains(stdout.String(), "never served") {
		t.Errorf("code %d, %s%s", code, stdout.String(), stderr.String())
	}
}
