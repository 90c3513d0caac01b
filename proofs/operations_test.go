package proofs

import (
	"encoding/json"
	"io"
	"io/fs"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"sardinecross.example/platform/standin/users"
)

const operationsPage = "../docs/OPERATIONS.md"

// readOperationsPage returns the two parts of OPERATIONS.md: on the users' platform (sardinegate) and on one's own hosts
// (sardined).
func readOperationsPage(t *testing.T) (platform, own string) {
	t.Helper()
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	platform, own, ok := strings.Cut(string(text), "\n# On one's own hosts\n")
	if !ok {
		t.Fatalf("%s has no heading \"# On one's own hosts\"", operationsPage)
	}
	return platform, own
}

// indentedLines returns the lines of the indented code blocks of a page, without their indentation.
func indentedLines(text string) []string {
	var out []string
	for line := range strings.Lines(text) {
		if code, ok := strings.CutPrefix(line, "    "); ok {
			out = append(out, strings.TrimSpace(code))
		}
	}
	return out
}

// Guards against commands in OPERATIONS.md that fail when they are run as written. Those of the part on one's own hosts run
// in a directory that contains only the examples. Commands that need a running site are tested elsewhere.
func TestOperationsCommands(t *testing.T) {
	t.Parallel()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	host := users.Host{ID: "passau-1", Zone: "passau", IP: netip.MustParseAddr("127.0.0.1"), Store: netip.MustParseAddrPort("127.0.0.2:1"), Grace: gateGrace}
	settings := filepath.Join(t.TempDir(), "boot.conf")
	if err := os.WriteFile(settings, []byte(host.SettingsText()), 0o600); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.Symlink(filepath.Join(root, "examples"), filepath.Join(dir, "examples")); err != nil {
		t.Fatal(err)
	}
	platform, own := readOperationsPage(t)
	ran := 0
	run := func(dir, command string) {
		t.Helper()
		cmd := exec.Command("sh", "-c", strings.ReplaceAll(command, "FILE", settings))
		cmd.Dir = dir
		cmd.Env = append(os.Environ(), "PATH="+filepath.Join(root, "bin")+":"+os.Getenv("PATH"))
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", command, err, out)
		}
		ran++
	}
	for _, command := range indentedLines(platform) {
		if strings.HasPrefix(command, "go build") || strings.HasPrefix(command, "target/") {
			run(root, command)
		}
	}
	for _, command := range indentedLines(own) {
		if strings.HasPrefix(command, "sardinectl settings") || strings.HasPrefix(command, "sardinectl keys") {
			run(dir, command)
		}
	}
	if ran != 5 {
		t.Errorf("%d commands of %s ran, want 5", ran, operationsPage)
	}
}

var (
	tableNames = regexp.MustCompile("`([^`]+)`")
	logCalls   = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error)\("([^"]+)"`)
)

// firstColumnNames returns the names in backquotes in the first column of the table below a heading.
func firstColumnNames(text, heading string) []string {
	var names []string
	_, rest, _ := strings.Cut(text, heading)
	rest, _, _ = strings.Cut(rest, "\n## ")
	for line := range strings.Lines(rest) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, m := range tableNames.FindAllStringSubmatch(cells[1], -1) {
				names = append(names, m[1])
			}
		}
	}
	return names
}

// Guards against log messages in OPERATIONS.md that sardinegate never writes, and messages that the page leaves out.
func TestOperationsLogLines(t *testing.T) {
	t.Parallel()
	written := map[string]bool{"log lines left out": true} // package logger builds it without a call that logCalls matches
	err := filepath.WalkDir("../sardinegate", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range logCalls.FindAllStringSubmatch(string(text), -1) {
			written[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	written["request"] = true // its level is computed, so logCalls does not match the call
	platform, _ := readOperationsPage(t)
	named := map[string]bool{}
	for _, name := range firstColumnNames(platform, "## Logs") {
		named[name] = true
	}
	for name := range named {
		if !written[name] {
			t.Errorf("%s names the log message %q, which is never written", operationsPage, name)
		}
	}
	for name := range written {
		if !named[name] {
			t.Errorf("%s leaves out the log message %q", operationsPage, name)
		}
	}
}

// Guards against metrics in OPERATIONS.md that are not served, and against sample log lines of failed requests whose fields
// differ from those that a host writes. The test provokes each kind of failure and finds its log line by the request ID.
func TestOperationsFailureLinesAndMetrics(t *testing.T) {
	s := newGateSite(t, 1)
	l := &gateLoad{s: s}
	platform, _ := readOperationsPage(t)
	samples := map[string]map[string]any{}
	for _, line := range indentedLines(platform) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) != nil {
			continue
		}
		switch status := fields["status"]; status {
		case 503.0:
			samples["refused"] = fields
		case 200.0:
			samples["late"] = fields
		case 502.0:
			samples["unknown"] = fields
		}
	}
	h := s.hosts[0]
	send := func(service string, status int) string {
		t.Helper()
		a := l.send(http.DefaultClient, h, service, "")
		if a.Status != status {
			t.Errorf("a request for service %s got status %d, want %d", service, a.Status, status)
		}
		return a.ID
	}
	ids := map[string]string{}
	s.sendCommand(map[string]any{"WorkMS": 700}) // the target is 600 ms
	ids["late"] = send("booking", http.StatusOK)
	s.sendCommand(map[string]any{"WorkMS": 20})
	for _, zone := range []string{"passau", "landshut"} {
		for _, id := range s.platformStats().Upstreams["booking/"+zone] {
			s.sendCommand(map[string]any{"Drop": id})
		}
	}
	ids["unknown"] = send("booking", http.StatusBadGateway)
	s.sendCommand(map[string]any{"Out": "passau"})
	s.sendCommand(map[string]any{"Out": "landshut"})
	s.Wait("the refusal of a request", func() bool {
		a := l.send(http.DefaultClient, h, "enquiry", "")
		ids["refused"] = a.ID
		return a.Status == http.StatusServiceUnavailable
	})
	for kind, id := range ids {
		got, want := s.waitForRequestLine(h, id), samples[kind]
		delete(got, "time")
		delete(want, "time")
		if !slices.Equal(slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))) {
			t.Errorf("%s request: the page shows %v, a host writes %v", kind, want, got)
		}
		if got["level"] != "WARN" {
			t.Errorf("%s request: level %v, want WARN", kind, got["level"])
		}
	}
	resp, err := http.Get("http://" + h.IP.String() + ":9464/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range firstColumnNames(platform, "## Metrics") {
		name, _, _ = strings.Cut(name, "{")
		if prefix, _, wild := strings.Cut(name, "*"); wild {
			name = prefix
		}
		if !strings.Contains(string(text), "\nsardinegate_"+name) && !strings.HasPrefix(string(text), "sardinegate_"+name) {
			t.Errorf("%s names the metric %q, which is not served", operationsPage, name)
		}
	}
}

// waitForRequestLine waits until a host has written the log line of a request, and returns the fields of the line.
func (s *gateSite) waitForRequestLine(h *gateHost, id string) map[string]any {
	s.T.Helper()
	var fields map[string]any
	s.Wait("the log line of request "+id, func() bool {
		out, _ := os.ReadFile(h.Output.Name())
		for line := range strings.Lines(string(out)) {
			if strings.Contains(line, `"id":"`+id+`"`) {
				return json.Unmarshal([]byte(line), &fields) == nil
			}
		}
		return false
	})
	return fields
}
