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

// TestWholeAnswers guards against short answers passed off as whole and against answers to another request, with upstreams
// that truncate, delay and cross their answers, and callers that leave or read slowly.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	holds(t, wholeAnswers, "truncated", "crossed", "late", "truncated and late", "caller leaves", "slow caller of a large answer",
		"answer above the memory limit")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau", "landshut"}, HostsEach: 1, Workers: map[string]int{"enquiry": 2, "booking": 1}, Warm: true,
	})
	g := &getter{s: s, t: t, client: &http.Client{}}
	s.Wait("requests to be served", func() bool { return g.get("first", 100) })
	for _, fault := range []string{
		`{"truncated": {"probability": 0.3}}`,
		`{"crossed": {"probability": 0.3}}`,
		`{"late": {"probability": 0.2}, "lateBy": "1500ms"}`,
		`{"truncated": {"probability": 0.3}, "late": {"probability": 0.2}, "lateBy": "300ms"}`,
	} {
		s.Control(s.FleetControl(), `{"service": "enquiry", "clear": true, "faults": `+fault+`}`)
		g.flood(8, 40)
	}
	clearUpstreams(s)
	g.leave(30)
	g.flood(8, 40)
	if g.wrong.Load() > 0 {
		t.Errorf("%d answers were short or belonged to another request", g.wrong.Load())
	}
	if g.whole.Load() == 0 || g.visible.Load() == 0 {
		t.Errorf("whole answers: %d, visible failures: %d, want some of both", g.whole.Load(), g.visible.Load())
	}
	g.slow(64 << 20)
	t.Logf("whole: %d, visible failures: %d", g.whole.Load(), g.visible.Load())
}

// getter sends consultations and checks their answers.
type getter struct {
	s                     *proof
	t                     *testing.T
	client                *http.Client
	whole, visible, wrong atomic.Int64
}

func (g *getter) request(ctx context.Context, number string, size int) *http.Request {
	h := g.s.Hosts[len(number)%len(g.s.Hosts)]
	url := fmt.Sprintf("http://%s/v1/classes/consultations/item?number=%s&bytes=%d", h.Callers, number, size)
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	return req
}

// get sends one request and reports whether it got the whole answer to it.
func (g *getter) get(number string, size int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := g.client.Do(g.request(ctx, number, size))
	if err != nil {
		g.visible.Add(1)
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		g.visible.Add(1)
		return false
	}
	if len(data) != size || !bytes.HasPrefix(data, []byte("number="+number+"\n")) {
		g.wrong.Add(1)
		g.t.Errorf("answer to %s has %d bytes and begins with %.40q", number, len(data), data)
		return false
	}
	g.whole.Add(1)
	return true
}

func (g *getter) flood(callers, each int) {
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

// leave sends requests whose callers disconnect in the middle.
func (g *getter) leave(n int) {
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%5)*time.Millisecond)
		if resp, err := g.client.Do(g.request(ctx, fmt.Sprintf("gone%d", i), 1<<20)); err == nil {
			_, _ = io.ReadFull(resp.Body, make([]byte, 10))
			resp.Body.Close()
		}
		cancel()
	}
}

// slow reads a large answer in small parts with pauses. The deadline of the class ends it visibly, or it is whole.
func (g *getter) slow(size int) {
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
		site.After(time.Millisecond)
	}
}

// TestColdStart guards against more work than an upstream bears while the ownership of upstreams moves, hosts disagree about
// each other, and upstreams start cold.
func TestColdStart(t *testing.T) {
	t.Parallel()
	holds(t, coldStart, "site starts cold", "host killed", "host restarted", "host frozen", "links cut one way",
		"links cut both ways", "two halves cut from each other", "host killed while links are cut", "upstreams turn cold under load")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau"}, HostsEach: 4, Workers: map[string]int{"enquiry": 3, "booking": 2}, Links: true,
		// An odd number, so that two halves of the hosts cannot have equal shares.
		Slots: 3,
	})
	tr := s.traffic(load{orders: 10, consultations: 14, pause: time.Millisecond})
	progress := func(what string) {
		t.Helper()
		before := tr.count("consultations", served)
		s.Wait("consultations to be served after "+what, func() bool { return tr.count("consultations", served) > before+200 })
	}
	progress("start")
	s.Kill(s.Hosts[0])
	progress("a host was killed")
	s.Start(s.Hosts[0])
	progress("a host was restarted")
	s.Hosts[1].Signal(syscall.SIGSTOP)
	progress("a host was frozen")
	s.Hosts[1].Signal(syscall.SIGCONT)
	progress("a host was resumed")
	link := func(a, b int) *site.UDPLink { return s.Pairs[[2]string{s.Hosts[a].ID, s.Hosts[b].ID}] }
	link(0, 1).Forward.Store(true)
	link(1, 2).Backward.Store(true)
	site.After(2 * time.Second)
	progress("links were cut one way")
	for _, pair := range [][2]int{{0, 2}, {0, 3}, {1, 2}, {1, 3}} {
		link(pair[0], pair[1]).Both(true)
	}
	link(0, 1).Both(false)
	link(2, 3).Both(false)
	site.After(5 * time.Second)
	progress("two halves were cut from each other")
	link(0, 3).Both(false)
	link(1, 2).Both(false)
	link(0, 2).Both(true)
	link(1, 3).Both(true)
	site.After(2 * time.Second)
	s.Kill(s.Hosts[3])
	progress("a host was killed while links were cut")
	for _, l := range s.Pairs {
		l.Both(false)
	}
	s.Start(s.Hosts[3])
	progress("the links were mended")
	s.checkSlots(t)
	s.Control(s.FleetControl(), `{"dataCentre": "passau", "cold": true}`)
	progress("upstreams turned cold")
	tr.stop()
	tr.checkOrders(t)
	// Work in flight when an upstream turns cold cannot be called back; it never passes the slots.
	for _, w := range s.Workers() {
		if w.GreatestInFlight > w.Slots {
			t.Errorf("%s had %d in flight with %d slots", w.ID, w.GreatestInFlight, w.Slots)
		}
	}
}

// TestMeasuringBudget guards against probes and new connections that take more of an upstream's time than allowed, however many
// hosts there are and however often they restart.
func TestMeasuringBudget(t *testing.T) {
	t.Parallel()
	holds(t, measuring, "many hosts", "host restarted", "upstreams close connections", "idle upstreams", "ownership moves")
	s := newSite(t, site.Layout{
		DataCentres: []string{"passau"}, HostsEach: 6, Workers: map[string]int{"enquiry": 3, "booking": 2}, Warm: true,
	})
	tr := s.traffic(load{consultations: 16, orders: 2, pause: 2 * time.Millisecond})
	begun := time.Now()
	s.Wait("traffic", func() bool { return tr.count("consultations", served) > 100 })
	for _, h := range s.Hosts[:3] {
		s.Kill(h)
		site.After(1500 * time.Millisecond)
		s.Start(h)
		site.After(1500 * time.Millisecond)
	}
	s.Control(s.FleetControl(), `{"service": "enquiry", "faults": {"runThenClose": {"probability": 0.5}}}`)
	site.After(6 * time.Second)
	clearUpstreams(s)
	tr.stop()
	site.After(6 * time.Second)
	elapsed := time.Since(begun)
	for _, w := range s.Workers() {
		spent := time.Duration((w.ProbeTime + w.ConnectionTime) * float64(time.Millisecond))
		// The budget of 1 % may be saved up for 10 s.
		allowed := elapsed/100 + 100*time.Millisecond
		t.Logf("%s: %d connections, %d probes, %v of %v allowed", w.ID, w.Connections, w.Probes, spent, allowed)
		if spent > allowed {
			t.Errorf("%s spent %v on probes and connections, want at most %v", w.ID, spent, allowed)
		}
	}
}
