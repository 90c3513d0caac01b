package metric

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Callers choose the names of tenants, so these must not take memory without bound.
func TestTenantsAreBounded(t *testing.T) {
	s := New()
	for i := range maxTenants + 100 {
		s.Request("orders", "t"+strconv.Itoa(i), 3*time.Millisecond, time.Millisecond, 0)
	}
	s.Refused("queueFull")
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
			t.Errorf("%s is missing", want)
		}
	}
	if n := strings.Count(out.String(), "tenant_total_seconds_count"); n != maxTenants+1 {
		t.Errorf("%d tenants", n)
	}
}
