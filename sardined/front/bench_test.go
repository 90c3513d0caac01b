package front

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// BenchmarkRequest measures one request through front, runner and proxy, with a directReducer in place of the reducer.
// About 30 of the allocations are those of the upstream, which runs in the same process.
func BenchmarkRequest(b *testing.B) {
	h := newTestHost(b, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }, nil)
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
