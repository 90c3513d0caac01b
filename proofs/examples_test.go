package proofs

import (
	"path/filepath"
	"strings"
	"testing"

	"sardinecross.example/proofs/site"
)

// TestExamplesAreAccepted guards against example settings that the programs no longer accept, and against commands that
// sardinectl no longer has or whose --help shows no examples.
func TestExamplesAreAccepted(t *testing.T) {
	t.Parallel()
	s := &site.Site{T: t, Dir: t.TempDir()}
	files, err := filepath.Glob("../examples/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("example settings in ../examples: %v, error %v", files, err)
	}
	for _, f := range files {
		program := "sardined"
		if strings.Contains(f, "operator") {
			program = "sardinectl"
		}
		s.RunCtl("settings", "check", "-program", program, f).RequireSuccess()
	}
	for _, command := range []string{
		"class set", "class list", "out", "back", "status", "settings check", "keys ca", "keys host",
	} {
		r := s.RunCtl(append(strings.Fields(command), "--help")...).RequireSuccess()
		if !strings.Contains(string(r.Stdout)+r.Stderr, "Examples:") {
			t.Errorf("sardinectl %s --help shows no examples", command)
		}
	}
	if r := s.RunCtl("settings", "check", "-program", "sardined", "../examples/operator.jsonc"); r.ExitCode != 2 {
		t.Errorf("checking the settings of another program exited with %d, want 2", r.ExitCode)
	}
}
