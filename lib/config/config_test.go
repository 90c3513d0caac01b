package config

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const daemonFile = `{
  // A host of Passau.
  "host": {"id": "passau-1", "site": "hofbauer", "dataCentre": "passau"},
  "listen": {"callers": "127.0.1.1:8080", "peers": "127.0.1.1:9000", "admin": "127.0.1.1:8090"},
  "platform": {"log": "127.0.0.10:7001", "hostList": "127.0.0.10:7002"},
  "tls": {"ca": "ca.pem", "identity": "passau-1.pem"},
  "dataCentres": ["passau", "landshut"],
  "services": {"booking": {"slots": 4, "probeCost": "7ms"}},
  "timing": {"lease": "600ms"},
}`

func decodeDaemon(data string) (Daemon, error) {
	var d Daemon
	err := Decode("f", []byte(data), &d)
	return d, err
}

func assertProblems(t *testing.T, err error, want ...string) {
	t.Helper()
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want a *ValidationError", err)
	}
	if got := err.Error(); got != strings.Join(want, "\n") {
		t.Fatalf("got\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
}

// The settings of a file must be combined with the defaults of the keys that it leaves out.
func TestDaemonDefaults(t *testing.T) {
	d, err := decodeDaemon(daemonFile)
	if err != nil {
		t.Fatal(err)
	}
	if d.Listen.Peers != netip.MustParseAddrPort("127.0.1.1:9000") || d.DataCentres[1] != "landshut" {
		t.Fatalf("got %+v", d)
	}
	if got, want := d.Timing, (Timing{100 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second, time.Minute}); got != want {
		t.Fatalf("timing %+v", got)
	}
	if got, want := d.Services["booking"], (Service{4, 1, 256, 7 * time.Millisecond, time.Millisecond, 0.01}); got != want {
		t.Fatalf("service %+v", got)
	}
	if d.Limits.RequestIDs != 100_000 || d.Logging.Format != "text" || d.Runtime.MemoryLimitBytes != 536870912 {
		t.Fatalf("defaults %+v", d)
	}
}

// Guards against invalid settings that are accepted, or reported at the wrong line, column or key.
func TestRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", `"tls": {`, `"tls": {"cert": "x", `, `f:6:11: tls.cert: is not a known key`},
		{"key in the wrong case", `"site"`, `"Site"`, "f:3:11: host.site: is missing\nf:3:30: host.Site: is not a known key"},
		{"repeated key", `"slots": 4`, `"slots": 4, "slots": 5`, `f:8:40: services.booking.slots: is given twice`},
		{"repeated service", `}},`, `}, "booking": {"slots": 1}},`, `f:8:61: services.booking: is given twice`},
		{"missing object", `"tls": {"ca": "ca.pem", "identity": "passau-1.pem"},`, ``, `f:1:1: tls: is missing`},
		{"no unit", `"600ms"`, `600`, `f:9:23: timing.lease: must be a duration with a unit, for example "50ms"`},
		{"wrong unit", `"600ms"`, `"600 ms"`, `f:9:23: timing.lease: "600 ms" is not a duration with a unit, for example "50ms"`},
		{"number with a unit", `4,`, `"4kB",`, `f:8:37: services.booking.slots: must be a number without a unit`},
		{"fraction", `4,`, `4.5,`, `f:8:37: services.booking.slots: 4.5 is not a whole number in range`},
		{"below the range", `4,`, `0,`, `f:8:37: services.booking.slots: 0 is below 1`},
		{"above the range", `"7ms"`, `"1h"`, `f:8:53: services.booking.probeCost: 1h0m0s is above 10s`},
		{"empty list", `"passau", "landshut"`, ``, `f:7:18: dataCentres: length 0 is below 1`},
		{"repeated element", `"landshut"`, `"passau"`, `f:7:29: dataCentres[1]: passau is given twice`},
		{"host name as address", `127.0.1.1:9000`, `passau:9000`, `f:4:52: listen.peers: "passau:9000" is not an IP address and port, for example "127.0.0.1:8080"`},
		{"no port", `127.0.1.1:9000`, `127.0.1.1:0`, `f:4:52: listen.peers: "127.0.1.1:0" has no port`},
		{"empty string", `"ca.pem"`, `""`, `f:6:17: tls.ca: is empty`},
		{"not an object", `{"lease": "600ms"}`, `null`, `f:9:13: timing: must be an object`},
		{"value not in oneof", `"timing"`, `"logging": {"level": "loud"}, "timing"`, `f:9:24: logging.level: "loud" is not one of debug, info, warn, error`},
		{"lease below the heartbeat", `"600ms"`, `"60ms"`, `f:9:23: timing.lease: is not above heartbeat`},
		{"unknown data centre of the host", `"dataCentre": "passau"`, `"dataCentre": "x"`, `f:3:64: host.dataCentre: "x" is not among dataCentres`},
		{"syntax", `"600ms"`, `six`, `f:9:23: invalid literal: six`},
	} {
		t.Run(c.name, func(t *testing.T) {
			data := strings.Replace(daemonFile, c.old, c.new, 1)
			_, err := decodeDaemon(data)
			assertProblems(t, err, strings.Split(c.want, "\n")...)
		})
	}
}

// Guards against a decoder that stops at the first problem: operators would have to start the program once for each.
func TestReportsAllProblemsAtOnce(t *testing.T) {
	var o Operator
	err := Decode("f", []byte("{\"platform\": {\"log\": \"log:1\"},\n\"admin\": [\"127.0.0.1:1\", 5, \"127.0.0.1:1\"], \"x\": 1}"), &o)
	assertProblems(t, err,
		`f:1:14: platform.hostList: is missing`,
		`f:1:22: platform.log: "log:1" is not an IP address and port, for example "127.0.0.1:8080"`,
		`f:2:26: admin[1]: must be an IP address and port, for example "127.0.0.1:8080"`,
		`f:2:29: admin[2]: 127.0.0.1:1 is given twice`,
		`f:2:45: x: is not a known key`)
}

// A missing file must be reported as *FileError, and a valid one must load.
func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	var missing *FileError
	if _, err := LoadDaemon(file); !errors.As(err, &missing) {
		t.Fatalf("got %v", err)
	}
	if err := os.WriteFile(file, []byte(daemonFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadDaemon(file); err != nil {
		t.Fatal(err)
	}
}

// Guards against a decoder that panics on a settings file, or fails without listing a problem.
func FuzzDecode(f *testing.F) {
	f.Add(daemonFile)
	f.Add(`{"services": {"": []}, "dataCentres": {}, "host": null}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, data string) {
		if _, err := decodeDaemon(data); err != nil {
			var invalid *ValidationError
			if !errors.As(err, &invalid) || len(invalid.Diagnostics) == 0 {
				t.Fatalf("got %v", err)
			}
		}
	})
}
