package proofs

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sardinecross.example/proofs/site"
)

// TestWholeAnswers guards against truncated answers that look complete, and against answers that belong to another request.
// Upstreams truncate, delay and swap their answers, and callers disconnect early or read slowly.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	recordVerdict(t, wholeAnswers, "truncated", "crossed", "late", "truncated and late", "caller leaves",
		"slow caller of a large answer", "answer above the memory limit")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsPerDataCentre: 1,
		UpstreamsPerService: map[string]int{"enquiry": 2, "booking": 1}, Warm: true,
	})
	g := &answerChecker{s: s, t: t, client: &http.Client{}}
	s.Wait("requests to be served", func() bool { return g.get("first", 100) })
	for _, fault := range []string{
		`{"truncated": {"probability": 0.3}}`,
		`{"crossed": {"probability": 0.3}}`,
		`{"late": {"probability": 0.2}, "lateBy": "1500ms"}`,
		`{"truncated": {"probability": 0.3}, "late": {"probability": 0.2}, "lateBy": "300ms"}`,
	} {
		s.PostControl(s.UpstreamControl(), `{"service": "enquiry", "clear": true, "faults": `+fault+`}`)
		g.sendConcurrently(8, 40)
	}
	clearUpstreamFaults(s)
	g.disconnectEarly(30)
	g.sendConcurrently(8, 40)
	if g.wrong.Load() > 0 {
		t.Errorf("%d answers were truncated or belonged to another request", g.wrong.Load())
	}
	if g.complete.Load() == 0 || g.failed.Load() == 0 {
		t.Errorf("complete answers: %d, visible failures: %d, want some of both", g.complete.Load(), g.failed.Load())
	}
	g.readSlowly(64 << 20)
	t.Logf("complete answers: %d, visible failures: %d", g.complete.Load(), g.failed.Load())
}

// answerChecker sends consultations and counts their answers: complete ones, failures that the caller sees, and wrong ones,
// which look complete but are truncated or belong to another request.
type answerChecker struct {
	s                       *faultSite
	t                       *testing.T
	client                  *http.Client
	complete, failed, wrong atomic.Int64
}

func (g *answerChecker) request(ctx context.Context, number string, size int) *http.Request {
	h := g.s.Hosts[len(number)%len(g.s.Hosts)]
	url := fmt.Sprintf("http://%s/v1/classes/consultations/item?number=%s&bytes=%d", h.CallerAddr, number, size)
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	return req
}

// get sends one request and reports whether it got the complete answer to it.
func (g *answerChecker) get(number string, size int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := g.client.Do(g.request(ctx, number, size))
	if err != nil {
		g.failed.Add(1)
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		g.failed.Add(1)
		return false
	}
	if len(data) != size || !bytes.HasPrefix(data, []byte("number="+number+"\n")) {
		g.wrong.Add(1)
		g.t.Errorf("answer to request %s has %d bytes, want %d, and begins with %.40q", number, len(data), size, data)
		return false
	}
	g.complete.Add(1)
	return true
}

// sendConcurrently sends requests from a number of concurrent callers, each one after the other.
func (g *answerChecker) sendConcurrently(callers, each int) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range each {
				g.get(fmt.Sprintf("n%d.%d.%d", i, j, time.Now().UnixNano()), 2000+1000*(j%40))
			}
		}()
	}
	wg.Wait()
}

// disconnectEarly sends n requests whose caller disconnects while it waits for the answer or reads it.
func (g *answerChecker) disconnectEarly(n int) {
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%5)*time.Millisecond)
		if resp, err := g.client.Do(g.request(ctx, fmt.Sprintf("gone%d", i), 1<<20)); err == nil {
			_, _ = io.ReadFull(resp.Body, make([]byte, 10))
			resp.Body.Close()
		}
		cancel()
	}
}

// readSlowly reads a large answer in small parts with pauses. The answer must be complete, or end with an error once the
// deadline of the class has passed.
func (g *answerChecker) readSlowly(size int) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	resp, err := g.client.Do(g.request(ctx, "slow", size))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	sum, n := fnv.New64a(), 0
	buf := make([]byte, 256<<10)
	for {
		m, err := resp.Body.Read(buf)
		_, _ = sum.Write(buf[:m])
		n += m
		if err == io.EOF && n != size && resp.StatusCode == http.StatusOK {
			g.t.Errorf("a slow caller read %d of %d bytes without an error", n, size)
		}
		if err != nil {
			return
		}
		site.Sleep(time.Millisecond)
	}
}

// TestColdStart guards against upstreams that get more requests than they can bear. Meanwhile upstreams start cold, their
// ownership moves between hosts, and cut links make the hosts disagree about which of them are alive.
func TestColdStart(t *testing.T) {
	t.Parallel()
	recordVerdict(t, coldStart, "site starts cold", "host killed", "host restarted", "host frozen", "links cut one way",
		"links cut both ways", "two halves cut from each other", "host killed while links are cut", "upstreams turn cold under load")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau"}, HostsPerDataCentre: 4,
		UpstreamsPerService: map[string]int{"enquiry": 3, "booking": 2}, CuttableLinks: true,
		// An odd number, so that two halves of the hosts cannot have equal shares of the slots.
		Slots: 3,
	})
	tr := s.startTraffic(trafficOptions{orders: 10, consultations: 14, pause: time.Millisecond})
	waitServed := func(what string) {
		t.Helper()
		before := tr.count("consultations", served)
		s.Wait("consultations to be served after "+what, func() bool { return tr.count("consultations", served) > before+200 })
	}
	waitServed("start")
	s.Kill(s.Hosts[0])
	waitServed("a host was killed")
	s.Start(s.Hosts[0])
	waitServed("a host was restarted")
	s.Hosts[1].Signal(syscall.SIGSTOP)
	waitServed("a host was frozen")
	s.Hosts[1].Signal(syscall.SIGCONT)
	waitServed("a host was resumed")
	link := func(a, b int) *site.UDPLink { return s.HostLinks[[2]string{s.Hosts[a].ID, s.Hosts[b].ID}] }
	link(0, 1).Forward.Store(true)
	link(1, 2).Backward.Store(true)
	site.Sleep(2 * time.Second)
	waitServed("links were cut one way")
	for _, pair := range [][2]int{{0, 2}, {0, 3}, {1, 2}, {1, 3}} {
		link(pair[0], pair[1]).SetBoth(true)
	}
	link(0, 1).SetBoth(false)
	link(2, 3).SetBoth(false)
	site.Sleep(5 * time.Second)
	waitServed("two halves were cut from each other")
	link(0, 3).SetBoth(false)
	link(1, 2).SetBoth(false)
	link(0, 2).SetBoth(true)
	link(1, 3).SetBoth(true)
	site.Sleep(2 * time.Second)
	s.Kill(s.Hosts[3])
	waitServed("a host was killed while links were cut")
	for _, l := range s.HostLinks {
		l.SetBoth(false)
	}
	s.Start(s.Hosts[3])
	waitServed("the links were mended")
	s.checkSlots(t)
	s.PostControl(s.UpstreamControl(), `{"dataCentre": "passau", "cold": true}`)
	waitServed("upstreams turned cold")
	tr.stop()
	tr.checkOrders(t)
	// Requests in flight when an upstream turns cold cannot be withdrawn, so only the number of slots is checked here.
	for _, w := range s.UpstreamStats() {
		if w.GreatestInFlight > w.Slots {
			t.Errorf("upstream %s had %d requests in flight with %d slots", w.ID, w.GreatestInFlight, w.Slots)
		}
	}
}

// TestMeasuringBudget guards against probes and new connections that take more than the allowed share of an upstream's time
// because there are many hosts, or because hosts restart often.
func TestMeasuringBudget(t *testing.T) {
	t.Parallel()
	recordVerdict(t, measuringBudget, "many hosts", "host restarted", "upstreams close connections",
		"idle upstreams", "ownership moves")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau"}, HostsPerDataCentre: 6,
		UpstreamsPerService: map[string]int{"enquiry": 3, "booking": 2}, Warm: true,
	})
	tr := s.startTraffic(trafficOptions{consultations: 16, orders: 2, pause: 2 * time.Millisecond})
	started := time.Now()
	s.Wait("traffic", func() bool { return tr.count("consultations", served) > 100 })
	for _, h := range s.Hosts[:3] {
		s.Kill(h)
		site.Sleep(1500 * time.Millisecond)
		s.Start(h)
		site.Sleep(1500 * time.Millisecond)
	}
	s.PostControl(s.UpstreamControl(), `{"service": "enquiry", "faults": {"runThenClose": {"probability": 0.5}}}`)
	site.Sleep(6 * time.Second)
	clearUpstreamFaults(s)
	tr.stop()
	site.Sleep(6 * time.Second)
	elapsed := time.Since(started)
	for _, w := range s.UpstreamStats() {
		spent := time.Duration((w.ProbeTime + w.ConnectionTime) * float64(time.Millisecond))
		// The budget is 1 % of the time. Up to 10 s of unused budget (100 ms) may be spent later.
		allowed := elapsed/100 + 100*time.Millisecond
		t.Logf("upstream %s: %d connections, %d probes, took %v of %v allowed", w.ID, w.Connections, w.Probes, spent, allowed)
		if spent > allowed {
			t.Errorf("upstream %s spent %v on probes and connections, want at most %v", w.ID, spent, allowed)
		}
	}
}
