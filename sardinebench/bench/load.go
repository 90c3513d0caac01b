package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/proofs/site"
)

const (
	benchSeed = 11
	// benchAttempts is how often a caller sends a request that was refused as "not run".
	benchAttempts = 5
)

// benchLoad is an open-loop load; each class is a Poisson process.
type benchLoad struct {
	duration time.Duration
	// share is the load as a part of the capacity of each class.
	share float64
	// shift moves half of the first class's rate to the second in every other step of 10 ms.
	shift bool
	// attempts is 1 to see each refusal, zero for benchAttempts.
	attempts int
	// events happen at times from the start of the load.
	events []benchEvent
}

type benchEvent struct {
	at   time.Duration
	what string
	do   func()
}

// benchSample is the end of one request; times are from the start of the load.
type benchSample struct {
	class    int
	due, end time.Duration
	outcome  site.Outcome
	attempts int
	code     string
}

// benchTarget sends attempts.
type benchTarget interface {
	// attempt sends one attempt of a request from a client; tried counts the earlier ones.
	attempt(client int, c benchClass, number string, deadline time.Time, tried int) (site.Outcome, string, time.Duration)
}

// benchRun holds the results of one load.
type benchRun struct {
	spec      benchSpec
	load      benchLoad
	samples   []benchSample
	workers   []benchWorker
	sendDelay time.Duration
}

const benchClients = 26

// run sends a load and collects its results.
func (b *benchSite) run(l benchLoad, target benchTarget) *benchRun {
	b.T.Helper()
	b.PostControl(b.UpstreamControl(), `{"resetStats": true}`)
	r := &benchRun{spec: b.spec, load: l}
	rng := rand.New(rand.NewPCG(benchSeed, 1))
	due := make([]float64, len(b.spec.classes))
	for i := range due {
		due[i] = rng.ExpFloat64()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for _, e := range l.events {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(e.at)))
			e.do()
		})
	}
	const step = 10 * time.Millisecond
	number := 0
	for at := time.Duration(0); at < l.duration; at += step {
		for _, a := range r.arrivals(rng, due, at, step) {
			time.Sleep(time.Until(start.Add(a.due)))
			number++
			id, client := fmt.Sprintf("%d-%d-%d", b.SecondOctet, start.UnixNano(), number), rng.IntN(benchClients)
			r.sendDelay = max(r.sendDelay, time.Since(start)-a.due)
			wg.Go(func() {
				r.call(target, &a, client, id, start)
				mu.Lock()
				defer mu.Unlock()
				r.samples = append(r.samples, a)
			})
		}
	}
	wg.Wait()
	r.workers = b.benchWorkers()
	return r
}

// arrivals returns the requests of one step in the order of their times.
func (r *benchRun) arrivals(rng *rand.Rand, due []float64, at, step time.Duration) []benchSample {
	var list []benchSample
	for i, c := range r.spec.classes {
		rate := r.load.share * r.spec.capacity(c)
		if moved := r.load.share * r.spec.capacity(r.spec.classes[0]) / 2; r.load.shift && at/step%2 == 1 {
			rate += []float64{-moved, moved, 0}[i]
		}
		expected := rate * step.Seconds()
		for due[i] < expected {
			list = append(list, benchSample{class: i, due: at + time.Duration(due[i]/expected*float64(step))})
			due[i] += rng.ExpFloat64()
		}
		due[i] -= expected
	}
	slices.SortFunc(list, func(x, y benchSample) int { return int(x.due - y.due) })
	return list
}

// call sends a request as a caller does: again if it was refused as "not run", or if it is idempotent.
func (r *benchRun) call(target benchTarget, s *benchSample, client int, number string, start time.Time) {
	c := r.spec.classes[s.class]
	deadline := start.Add(s.due + c.deadline)
	most := r.load.attempts
	if most == 0 {
		most = benchAttempts
	}
	seen := site.NotRun
	for s.attempts < most && time.Now().Before(deadline) {
		var pause time.Duration
		s.outcome, s.code, pause = target.attempt(client, c, number, deadline, s.attempts)
		s.attempts++
		if s.outcome == site.Served {
			break
		}
		if s.outcome == site.Unknown {
			seen = site.Unknown
			if c.orders {
				break
			}
		}
		if s.attempts < most {
			time.Sleep(min(max(pause, 5*time.Millisecond), 200*time.Millisecond))
		}
	}
	if s.outcome != site.Served {
		s.outcome = seen
	}
	s.end = time.Since(start)
}

func benchTransport(local string) *http.Transport {
	d := &net.Dialer{Timeout: 500 * time.Millisecond}
	if local != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(local)}
	}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 200, IdleConnTimeout: time.Minute, DisableCompression: true,
	}
}

// benchSend sends one attempt and reads the whole answer.
func benchSend(tr *http.Transport, url string, c benchClass, number string, deadline time.Time, direct bool) (site.Outcome, string, time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(250*time.Millisecond))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/classes/"+c.name+"/work?bytes=256&number="+number, strings.NewReader("number="+number+"\n"))
	if err != nil {
		return site.Unknown, "request", 0
	}
	if c.orders {
		req.GetBody = nil
		req.Header.Set("X-Order-Number", number)
	}
	req.Header.Set("X-Request-Timeout", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if direct {
		req.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
		req.Header.Set("X-Request-Nonce", number)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return site.NotRun, "dial", 0
		}
		return site.Unknown, "cut: " + err.Error(), 0
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return site.Unknown, "truncated", 0
	case resp.StatusCode == http.StatusOK:
		return site.Served, "", 0
	case resp.Header.Get("X-Not-Run") == "true":
		return site.NotRun, "shed", 0
	}
	return refusalOf(resp, data)
}

func refusalOf(resp *http.Response, data []byte) (site.Outcome, string, time.Duration) {
	var refusal struct {
		Error struct {
			Code       string `json:"code"`
			RetryAfter string `json:"retryAfter"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &refusal)
	pause, _ := time.ParseDuration(refusal.Error.RetryAfter)
	if resp.Header.Get("X-Run") == "no" {
		return site.NotRun, refusal.Error.Code, pause
	}
	return site.Unknown, fmt.Sprintf("%d %s", resp.StatusCode, refusal.Error.Code), pause
}

// throughSystem sends to the hosts that address answers name.
type throughSystem struct {
	clients [benchClients]*systemClient
}

type systemClient struct {
	site  *benchSite
	index int
	tr    *http.Transport

	mu      sync.Mutex
	rng     *rand.Rand
	hosts   []string
	own     int
	expires time.Time
	asking  bool
}

func (b *benchSite) system() *throughSystem {
	sys := &throughSystem{}
	for i := range sys.clients {
		c := &systemClient{
			site: b, index: i, tr: benchTransport(b.IP(250, i+1)), rng: rand.New(rand.NewPCG(benchSeed, uint64(100+i))),
		}
		b.T.Cleanup(c.tr.CloseIdleConnections)
		sys.clients[i] = c
	}
	return sys
}

func (sys *throughSystem) attempt(client int, c benchClass, number string, deadline time.Time, tried int) (site.Outcome, string, time.Duration) {
	cl := sys.clients[client]
	addr := cl.pick(c.name, tried)
	o, code, pause := benchSend(cl.tr, "http://"+addr, c, number, deadline, false)
	if code == "dial" || strings.HasPrefix(code, "cut") {
		cl.mu.Lock()
		cl.expires = time.Time{}
		cl.mu.Unlock()
	}
	return o, code, pause
}

// pick returns a random host of the first data centre of the answer, and any host for further attempts.
func (c *systemClient) pick(class string, tried int) string {
	c.mu.Lock()
	first := len(c.hosts) == 0
	if time.Now().After(c.expires) && !c.asking && !first {
		c.asking = true
		go c.ask(class)
	}
	c.mu.Unlock()
	if first {
		c.ask(class)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if tried > 0 {
		return c.hosts[c.rng.IntN(len(c.hosts))]
	}
	return c.hosts[c.rng.IntN(c.own)]
}

// ask fetches the addresses half of their lifetime before it ends.
func (c *systemClient) ask(class string) {
	defer func() {
		c.mu.Lock()
		c.asking = false
		c.mu.Unlock()
	}()
	all := c.site.Hosts
	for i := range all {
		var answer struct {
			Hosts []struct {
				Address    string `json:"address"`
				DataCentre string `json:"dataCentre"`
			} `json:"hosts"`
			ValidFor string `json:"validFor"`
		}
		h := all[(i+c.index)%len(all)]
		if err := site.GetJSON("http://"+h.CallerAddr+"/v1/hosts?class="+class, &answer); err != nil || len(answer.Hosts) == 0 {
			continue
		}
		valid, _ := time.ParseDuration(answer.ValidFor)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hosts, c.own, c.expires = nil, 0, time.Now().Add(valid/2)
		for _, a := range answer.Hosts {
			c.hosts = append(c.hosts, a.Address)
			if a.DataCentre == answer.Hosts[0].DataCentre {
				c.own++
			}
		}
		return
	}
}

// directMode is how a baseline selects upstreams.
type directMode int

const (
	// leastInFlight knows all requests in flight of the site: the best that any selection could do.
	leastInFlight directMode = iota + 1
	// twoChoices takes the better of two random upstreams by the own counts of one would-be host.
	twoChoices
	roundRobin
)

// direct sends straight to the upstreams, with one set of counts for each would-be host.
type direct struct {
	mode  directMode
	tr    []*http.Transport
	addrs map[string][]string

	mu   sync.Mutex
	rng  *rand.Rand
	sets []map[string]int
	next []atomic.Int64
}

func (b *benchSite) direct(mode directMode) *direct {
	n := b.spec.hosts
	if mode == leastInFlight {
		n = 1
	}
	d := &direct{mode: mode, addrs: map[string][]string{}, rng: rand.New(rand.NewPCG(benchSeed, 50)), next: make([]atomic.Int64, n)}
	for i := range n {
		tr := benchTransport(b.IP(251, i+1))
		b.T.Cleanup(tr.CloseIdleConnections)
		d.tr, d.sets = append(d.tr, tr), append(d.sets, map[string]int{})
	}
	for _, p := range b.places {
		d.addrs[p.service] = append(d.addrs[p.service], p.address)
	}
	return d
}

func (d *direct) attempt(client int, c benchClass, number string, deadline time.Time, _ int) (site.Outcome, string, time.Duration) {
	set := client % len(d.sets)
	addr := d.pick(set, d.addrs[c.service])
	defer func() {
		d.mu.Lock()
		d.sets[set][addr]--
		d.mu.Unlock()
	}()
	return benchSend(d.tr[set], "http://"+addr, c, number, deadline, true)
}

func (d *direct) pick(set int, addrs []string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.sets[set]
	var best string
	switch d.mode {
	case roundRobin:
		// Each would-be host starts elsewhere, so that they do not move in step.
		best = addrs[(int(d.next[set].Add(1))+set*5)%len(addrs)]
	case twoChoices:
		i, j := d.rng.IntN(len(addrs)), d.rng.IntN(len(addrs)-1)
		if j >= i {
			j++
		}
		best = addrs[i]
		if counts[addrs[j]] < counts[best] {
			best = addrs[j]
		}
	case leastInFlight:
		from := d.rng.IntN(len(addrs))
		best = addrs[from]
		for i := range addrs {
			if a := addrs[(from+i)%len(addrs)]; counts[a] < counts[best] {
				best = a
			}
		}
	}
	counts[best]++
	return best
}
