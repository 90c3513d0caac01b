package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkAdded measures the latency that the daemon adds: the difference between the quantiles of requests through the
// daemon and of direct requests to the upstream. Requests are sent at a fixed rate, since a client that waits for each
// answer would send less during a delay and so hide it.
func BenchmarkAdded(b *testing.B) {
	s := newTestSite(b)
	s.publishClass(b, "enquiries", true)
	p := s.start(b, "a")
	awaitOK(b, http.MethodGet, "http://"+p.callers+"/v1/classes/enquiries/x")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{}).DialContext}}
	b.Cleanup(client.CloseIdleConnections)
	direct := measure(b, client, "http://"+s.upstream.Listener.Addr().String()+"/x")
	through := measure(b, client, "http://"+p.callers+"/v1/classes/enquiries/x")
	b.ReportMetric(0, "ns/op")
	for name, q := range map[string]float64{"p50": 50, "p99": 99} {
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), "direct-"+name+"-us")
		b.ReportMetric(float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), "added-"+name+"-us")
	}
}

// measure sends b.N requests, one per millisecond independently of the answers, and returns a histogram of their
// latencies in microseconds.
func measure(b *testing.B, client *http.Client, url string) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var requests sync.WaitGroup
	start := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Millisecond)))
		requests.Go(func() {
			sent := time.Now()
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(sent).Microseconds())
		})
	}
	requests.Wait()
	return h
}
