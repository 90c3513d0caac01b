package front

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// BenchmarkRequest is the cost of one request through front, runner and proxy, with the reducer replaced.
// The allocations include those of the upstream in the same process, about 30.
func BenchmarkRequest(b *testing.B) {
	h := newHost(b, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		c := h.connect(b)
		defer c.Close()
		r := bufio.NewReader(c)
		for pb.Next() {
			io.WriteString(c, "GET /v1/classes/orders/a HTTP/1.1\r\nHost: x\r\nX-Tenant: t\r\nX-Request-Timeout: 5000\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
		}
	})
}
