package trial

import (
	"os"
	"strings"
	"testing"
)

// After a failed step, the measurement must go on, report the failure and run all clean-ups. Otherwise it hides the failure
// or leaves processes and files behind.
func TestRunAfterFailedStep(t *testing.T) {
	var out strings.Builder
	var order []string
	dir := ""
	ok := Run(&out, "all", func(m *T) {
		m.Cleanup(func() { order = append(order, "first") })
		m.Cleanup(func() { order = append(order, "second") })
		dir = m.TempDir()
		if m.Run("fatal", func(m *T) { m.Fatalf("broken %d", 1); order = append(order, "not reached") }) {
			t.Error("Run reported success for a failed step")
		}
		if !m.Run("good", func(m *T) { m.Log("fine") }) {
			t.Error("Run reported a failure for a successful step")
		}
	})
	if ok {
		t.Error("Run reported success for a measurement with a failed step")
	}
	if got := strings.Join(order, " "); got != "second first" {
		t.Errorf("order of clean-ups: %q, want %q", got, "second first")
	}
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("temporary directory %s was not removed: stat: %v", dir, err)
	}
	if !strings.Contains(out.String(), "all/fatal: broken 1\n") || !strings.Contains(out.String(), "all/good: fine\n") {
		t.Errorf("the lines of the steps are missing in the output:\n%s", out.String())
	}
}
