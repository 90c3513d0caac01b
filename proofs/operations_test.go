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

// page returns the parts of OPERATIONS.md on the users' platform and on one's own hosts.
func page(t *testing.T) (platform, own string) {
	t.Helper()
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	platform, own, ok := strings.Cut(string(text), "\n# On one's own hosts\n")
	if !ok {
		t.Fatal("the page has no part on one's own hosts")
	}
	return platform, own
}

// blocks returns the indented lines of a page.
func blocks(text string) []string {
	var out []string
	for line := range strings.Lines(text) {
		if code, ok := strings.CutPrefix(line, "    "); ok {
			out = append(out, strings.TrimSpace(code))
		}
	}
	return out
}

// Guards against commands of the page that do not run as they stand. Those of the part on one's own hosts run in an
// empty directory that has the examples; a command that needs a site is tested elsewhere.
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
	platform, own := page(t)
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
	for _, command := range blocks(platform) {
		if strings.HasPrefix(command, "go build") || strings.HasPrefix(command, "target/") {
			run(root, command)
		}
	}
	for _, command := range blocks(own) {
		if strings.HasPrefix(command, "sardinectl settings") || strings.HasPrefix(command, "sardinectl keys") {
			run(dir, command)
		}
	}
	if ran != 5 {
		t.Errorf("%d commands ran, want 5", ran)
	}
}

var (
	tableNames = regexp.MustCompile("`([^`]+)`")
	logCalls   = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error)\("([^"]+)"`)
)

// column returns the names in the first column of the table below a heading.
func column(text, heading string) []string {
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

// Guards against a page that names log lines that are never written, or leaves some out.
func TestOperationsLogLines(t *testing.T) {
	t.Parallel()
	written := map[string]bool{"log lines left out": true} // built by package logger without a call of this form
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
	written["request"] = true // its level is computed
	platform, _ := page(t)
	named := map[string]bool{}
	for _, name := range column(platform, "## Logs") {
		named[name] = true
	}
	for name := range named {
		if !written[name] {
			t.Errorf("the page names %q, which is not written", name)
		}
	}
	for name := range written {
		if !named[name] {
			t.Errorf("the page leaves out %q", name)
		}
	}
}

// Guards against a page whose metrics are not served, and whose lines of failed requests have other fields than those
// of a host: each kind of failure is provoked, and the line found by the ID of its request.
func TestOperationsFailures(t *testing.T) {
	s := newGateSite(t, 1)
	l := &gateLoad{s: s}
	platform, _ := page(t)
	samples := map[string]map[string]any{}
	for _, line := range blocks(platform) {
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
	h := s.gates[0]
	send := func(service string, status int) string {
		t.Helper()
		a := l.send(http.DefaultClient, h, service, "")
		if a.Status != status {
			t.Errorf("a request of %s got %d, want %d", service, a.Status, status)
		}
		return a.ID
	}
	ids := map[string]string{}
	s.command(map[string]any{"WorkMS": 700}) // the target is 600 ms
	ids["late"] = send("booking", http.StatusOK)
	s.command(map[string]any{"WorkMS": 20})
	for _, zone := range []string{"passau", "landshut"} {
		for _, id := range s.seen().Upstreams["booking/"+zone] {
			s.command(map[string]any{"Drop": id})
		}
	}
	ids["unknown"] = send("booking", http.StatusBadGateway)
	s.command(map[string]any{"Out": "passau"})
	s.command(map[string]any{"Out": "landshut"})
	s.Wait("the refusal of a request", func() bool {
		a := l.send(http.DefaultClient, h, "enquiry", "")
		ids["refused"] = a.ID
		return a.Status == http.StatusServiceUnavailable
	})
	for kind, id := range ids {
		got, want := s.requestLine(h, id), samples[kind]
		delete(got, "time")
		delete(want, "time")
		if !slices.Equal(slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want))) {
			t.Errorf("%s: the page shows %v, a host writes %v", kind, want, got)
		}
		if got["level"] != "WARN" {
			t.Errorf("%s: level %v", kind, got["level"])
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
	for _, name := range column(platform, "## Metrics") {
		name, _, _ = strings.Cut(name, "{")
		if prefix, _, wild := strings.Cut(name, "*"); wild {
			name = prefix
		}
		if !strings.Contains(string(text), "\nsardinegate_"+name) && !strings.HasPrefix(string(text), "sardinegate_"+name) {
			t.Errorf("the page names %q, which is not served", name)
		}
	}
}

// requestLine waits for the log line of a request and returns its fields.
func (s *gateSite) requestLine(h *gateHost, id string) map[string]any {
	s.T.Helper()
	var fields map[string]any
	s.Wait("the line of request "+id, func() bool {
		out, _ := os.ReadFile(h.Out.Name())
		for line := range strings.Lines(string(out)) {
			if strings.Contains(line, `"id":"`+id+`"`) {
				return json.Unmarshal([]byte(line), &fields) == nil
			}
		}
		return false
	})
	return fields
}
