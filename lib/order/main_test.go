package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property-based tests, so that runs are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20240", "rapid.checks": "3000", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
