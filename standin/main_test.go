package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sardinecross.example/lib/common/prog"
)

// Guards against wrong exit codes: wrong flags and settings must exit with code 2 and a message that names the flag or
// the position in the file, an address on which the program can't listen with code 1.
func TestRunExitCodes(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct {
		args     []string
		settings string
		code     int
		stderr   string
	}{
		"nothing":                     {nil, "", prog.ExitUsage, "usage:"},
		"unknown stand-in":            {[]string{"clock", "-listen", "127.0.0.1:1", "-control", "127.0.0.1:2"}, "", prog.ExitUsage, "clock"},
		"no addresses":                {[]string{"log"}, "", prog.ExitUsage, "-listen"},
		"unknown key":                 {[]string{"log"}, `{"lisen": "127.0.0.1:1"}`, prog.ExitUsage, ":1:2: lisen"},
		"unknown service":             {[]string{"upstreams"}, `{"control": "127.0.0.1:1", "services": {"s": {}}, "workers": [{"id": "w", "service": "x", "dataCentre": "p", "address": "127.0.0.1:2"}]}`, prog.ExitUsage, "workers: w"},
		"host without peer address":   {[]string{"hosts"}, `{"listen": "127.0.0.1:1", "control": "127.0.0.1:2", "entries": [{"id": "h", "role": "host", "dataCentre": "p", "address": "127.0.0.1:3"}]}`, prog.ExitUsage, "entries[0].peerAddress"},
		"callers without directories": {[]string{"callers", "-control", "127.0.0.1:2"}, "", prog.ExitUsage, "-directories"},
		"callers, bad flag":           {[]string{"callers", "-rat", "1"}, "", prog.ExitUsage, "-rat"},
		"address of another machine":  {[]string{"log", "-listen", "192.0.2.1:1", "-control", "192.0.2.1:2"}, "", prog.ExitFailed, "listen on 192.0.2.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			args := c.args
			if c.settings != "" {
				file := filepath.Join(dir, "settings.json")
				if err := os.WriteFile(file, []byte(c.settings), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append(args, "-settings", file)
			}
			var stdout, stderr strings.Builder
			if code := run(context.Background(), args, &stdout, &stderr); code != c.code || !strings.Contains(stderr.String(), c.stderr) {
				t.Errorf("exit code %d, stderr %s; want %d, %s", code, stderr.String(), c.code, c.stderr)
			}
		})
	}
}
