package trial

import (
	"os"
	"strings"
	"testing"
)

// Guards against a measurement that leaves processes or files behind, or hides the failure of a step.
func TestRun(t *testing.T) {
	var out strings.Builder
	var order []string
	dir := ""
	ok := Run(&out, "all", func(m *T) {
		m.Cleanup(func() { order = append(order, "first") })
		m.Cleanup(func() { order = append(order, "second") })
		dir = m.TempDir()
		if m.Run("fatal", func(m *T) { m.Fatalf("broken %d", 1); order = append(order, "not reached") }) {
			t.Error("a failed step succeeds")
		}
		if !m.Run("good", func(m *T) { m.Log("fine") }) {
			t.Error("a good step fails")
		}
	})
	if ok {
		t.Error("a measurement with a failed step succeeds")
	}
	if got := strings.Join(order, " "); got != "second first" {
		t.Errorf("clean-up: %s", got)
	}
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("directory left: %v", err)
	}
	if !strings.Contains(out.String(), "all/fatal: broken 1\n") || !strings.Contains(out.String(), "all/good: fine\n") {
		t.Errorf("output:\n%s", out.String())
	}
}
