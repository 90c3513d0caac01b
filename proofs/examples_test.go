package proofs

import (
	"path/filepath"
	"strings"
	"testing"
)

// TestExamples guards against example settings and commands of the pages that the programs no longer accept.
func TestExamples(t *testing.T) {
	t.Parallel()
	s := &site{t: t, dir: t.TempDir()}
	files, err := filepath.Glob("../examples/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, f := range files {
		program := "sardined"
		if strings.Contains(f, "operator") {
			program = "sardinectl"
		}
		s.ctl("settings", "check", "-program", program, f).ok()
	}
	for _, command := range []string{
		"class set", "class list", "out", "back", "status", "settings check", "keys ca", "keys host",
	} {
		r := s.ctl(append(strings.Fields(command), "--help")...).ok()
		if !strings.Contains(string(r.out)+r.errs, "Examples:") {
			t.Errorf("sardinectl %s --help shows no examples", command)
		}
	}
	if r := s.ctl("settings", "check", "-program", "sardined", "../examples/operator.jsonc"); r.code != 2 {
		t.Errorf("settings of another program were accepted with code %d, want 2", r.code)
	}
}
