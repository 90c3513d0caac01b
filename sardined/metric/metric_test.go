package metric

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Callers choose the names of tenants. Histograms for every new name would let them use up the memory, so tenants beyond
// the bound must be recorded together as "other".
func TestTenantsAreBounded(t *testing.T) {
	s := New()
	for i := range maxTenants + 100 {
		s.ObserveRequest("orders", "t"+strconv.Itoa(i), 3*time.Millisecond, time.Millisecond, 0)
	}
	s.CountRefusal("queueFull")
	var out bytes.Buffer
	if err := s.WriteText(&out, map[string]uint64{"retries": 2}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`sardined_tenant_total_seconds_count{tenant="other"} 100`,
		`sardined_class_added_seconds{class="orders",quantile="0.99"} 0.002`,
		`sardined_refused_total{reason="queueFull"} 1`,
		"sardined_retries_total 2",
	} {
		if !strings.Contains(out.String(), want+"\n") {
			t.Errorf("line %s is missing", want)
		}
	}
	if n := strings.Count(out.String(), "tenant_total_seconds_count"); n != maxTenants+1 {
		t.Errorf("metrics of %d tenants, want %d", n, maxTenants+1)
	}
}
