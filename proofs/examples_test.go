package proofs

import (
	"path/filepath"
	"strings"
	"testing"

	"sardinecross.example/proofs/site"
)

// TestExamples guards against example settings and commands of the pages that the programs no longer accept.
func TestExamples(t *testing.T) {
	t.Parallel()
	s := &site.Site{T: t, Dir: t.TempDir()}
	files, err := filepath.Glob("../examples/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, f := range files {
		program := "sardined"
		if strings.Contains(f, "operator") {
			program = "sardinectl"
		}
		s.Ctl("settings", "check", "-program", program, f).OK()
	}
	for _, command := range []string{
		"class set", "class list", "out", "back", "status", "settings check", "keys ca", "keys host",
	} {
		r := s.Ctl(append(strings.Fields(command), "--help")...).OK()
		if !strings.Contains(string(r.Out)+r.Errs, "Examples:") {
			t.Errorf("sardinectl %s --help shows no examples", command)
		}
	}
	if r := s.Ctl("settings", "check", "-program", "sardined", "../examples/operator.jsonc"); r.Code != 2 {
		t.Errorf("settings of another program were accepted with code %d, want 2", r.Code)
	}
}
