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
	loadSeed = 11
	// defaultMaxAttempts bounds how often a caller sends a request that was refused as "not run" or that is idempotent.
	defaultMaxAttempts = 5
)

// loadSpec describes an open-loop load: the requests of each class arrive as a Poisson process, whether or not earlier
// requests have ended.
type loadSpec struct {
	duration time.Duration
	// share is the offered load as a fraction of the capacity of each class.
	share float64
	// shift moves half of the first class's rate to the second class in every other step of 10 ms.
	shift bool
	// maxAttempts bounds the attempts of one request; zero means defaultMaxAttempts. With 1, every refusal is counted.
	maxAttempts int
	// events run during the load.
	events []loadEvent
}

// loadEvent is an action during a load.
type loadEvent struct {
	// at is the time since the start of the load.
	at    time.Duration
	label string
	run   func()
}

// requestSample is the result of one request. Its times are durations since the start of the load.
type requestSample struct {
	class int
	// due is when the request was scheduled, end is when its last attempt ended.
	due, end time.Duration
	outcome  site.Outcome
	attempts int
	// code is the error code of the last attempt, empty if it was served.
	code string
}

// requestSender sends requests either through the hosts or straight to the upstreams.
type requestSender interface {
	// attempt sends one attempt of the request with the given number from a client. It returns the outcome, the error code
	// and how long to wait before a retry. previousAttempts counts the earlier attempts of the request.
	attempt(client int, c classSpec, number string, deadline time.Time, previousAttempts int) (site.Outcome, string, time.Duration)
}

// loadResult holds the results of one load: the requests, the counters of the workers after the load, and the greatest
// delay between the time when a request was due and the time when it was sent.
type loadResult struct {
	spec         siteSpec
	load         loadSpec
	samples      []requestSample
	workers      []workerStats
	maxSendDelay time.Duration
}

// clientCount is the number of simulated clients. Through the hosts, each has an IP address and connections of its own.
const clientCount = 26

// run resets the workers' counters, sends a load and collects its results.
func (b *benchSite) run(l loadSpec, sender requestSender) *loadResult {
	b.T.Helper()
	b.PostControl(b.UpstreamControl(), `{"resetStats": true}`)
	r := &loadResult{spec: b.spec, load: l}
	rng := rand.New(rand.NewPCG(loadSeed, 1))
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
			e.run()
		})
	}
	const step = 10 * time.Millisecond
	number := 0
	for at := time.Duration(0); at < l.duration; at += step {
		for _, a := range r.arrivals(rng, due, at, step) {
			time.Sleep(time.Until(start.Add(a.due)))
			number++
			id, client := fmt.Sprintf("%d-%d-%d", b.SecondOctet, start.UnixNano(), number), rng.IntN(clientCount)
			r.maxSendDelay = max(r.maxSendDelay, time.Since(start)-a.due)
			wg.Go(func() {
				r.sendRequest(sender, &a, client, id, start)
				mu.Lock()
				defer mu.Unlock()
				r.samples = append(r.samples, a)
			})
		}
	}
	wg.Wait()
	r.workers = b.fetchWorkerStats()
	return r
}

// arrivals returns the requests that are due in the step that starts at time at, in the order of their times. For each class,
// due holds the number of expected arrivals until the next arrival, which is exponentially distributed.
func (r *loadResult) arrivals(rng *rand.Rand, due []float64, at, step time.Duration) []requestSample {
	var list []requestSample
	for i, c := range r.spec.classes {
		rate := r.load.share * r.spec.capacity(c)
		if moved := r.load.share * r.spec.capacity(r.spec.classes[0]) / 2; r.load.shift && at/step%2 == 1 {
			rate += []float64{-moved, moved, 0}[i]
		}
		expected := rate * step.Seconds()
		for due[i] < expected {
			list = append(list, requestSample{class: i, due: at + time.Duration(due[i]/expected*float64(step))})
			due[i] += rng.ExpFloat64()
		}
		due[i] -= expected
	}
	slices.SortFunc(list, func(x, y requestSample) int { return int(x.due - y.due) })
	return list
}

// sendRequest sends a request as a caller does. It retries a request that was refused as "not run", and an idempotent
// request after any failure. A request that is not served in the end counts as unknown if the outcome of any attempt was
// unknown, else as not run.
func (r *loadResult) sendRequest(sender requestSender, s *requestSample, client int, number string, start time.Time) {
	c := r.spec.classes[s.class]
	deadline := start.Add(s.due + c.deadline)
	maxAttempts := r.load.maxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	failure := site.NotRun
	for s.attempts < maxAttempts && time.Now().Before(deadline) {
		var pause time.Duration
		s.outcome, s.code, pause = sender.attempt(client, c, number, deadline, s.attempts)
		s.attempts++
		if s.outcome == site.Served {
			break
		}
		if s.outcome == site.Unknown {
			failure = site.Unknown
			if c.orders {
				break
			}
		}
		if s.attempts < maxAttempts {
			time.Sleep(min(max(pause, 5*time.Millisecond), 200*time.Millisecond))
		}
	}
	if s.outcome != site.Served {
		s.outcome = failure
	}
	s.end = time.Since(start)
}

// newTransport returns a transport that dials from localIP, if that is not empty.
func newTransport(localIP string) *http.Transport {
	d := &net.Dialer{Timeout: 500 * time.Millisecond}
	if localIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 200, IdleConnTimeout: time.Minute, DisableCompression: true,
	}
}

// sendAttempt sends one attempt and reads the whole response. It gives up 250 ms after the deadline. With direct, it adds
// the headers that an upstream expects from a host.
func sendAttempt(tr *http.Transport, url string, c classSpec, number string, deadline time.Time, direct bool) (site.Outcome, string, time.Duration) {
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
	return parseErrorResponse(resp, data)
}

// parseErrorResponse returns the outcome, error code and retry delay of a response with an error from a host.
func parseErrorResponse(resp *http.Response, data []byte) (site.Outcome, string, time.Duration) {
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

// systemSender sends requests to the hosts that GET /v1/hosts returned.
type systemSender struct {
	clients [clientCount]*systemClient
}

// systemClient is one client of a systemSender. It caches the addresses of the hosts.
type systemClient struct {
	site  *benchSite
	index int
	tr    *http.Transport

	mu    sync.Mutex
	rng   *rand.Rand
	hosts []string
	// preferred is the number of addresses at the start of hosts in the preferred data centre, which is that of the
	// first address.
	preferred  int
	refreshAt  time.Time
	refreshing bool
}

func (b *benchSite) newSystemSender() *systemSender {
	sys := &systemSender{}
	for i := range sys.clients {
		c := &systemClient{
			site: b, index: i, tr: newTransport(b.IP(250, i+1)), rng: rand.New(rand.NewPCG(loadSeed, uint64(100+i))),
		}
		b.T.Cleanup(c.tr.CloseIdleConnections)
		sys.clients[i] = c
	}
	return sys
}

func (sys *systemSender) attempt(client int, c classSpec, number string, deadline time.Time, previousAttempts int) (site.Outcome, string, time.Duration) {
	cl := sys.clients[client]
	addr := cl.pickHost(c.name, previousAttempts)
	o, code, pause := sendAttempt(cl.tr, "http://"+addr, c, number, deadline, false)
	if code == "dial" || strings.HasPrefix(code, "cut") {
		cl.mu.Lock()
		cl.refreshAt = time.Time{}
		cl.mu.Unlock()
	}
	return o, code, pause
}

// pickHost returns a random host of the preferred data centre for a first attempt and any host for a retry. It refreshes
// the addresses in the background once refreshAt has passed.
func (c *systemClient) pickHost(class string, previousAttempts int) string {
	c.mu.Lock()
	noHosts := len(c.hosts) == 0
	if time.Now().After(c.refreshAt) && !c.refreshing && !noHosts {
		c.refreshing = true
		go c.refreshHosts(class)
	}
	c.mu.Unlock()
	if noHosts {
		c.refreshHosts(class)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if previousAttempts > 0 {
		return c.hosts[c.rng.IntN(len(c.hosts))]
	}
	return c.hosts[c.rng.IntN(c.preferred)]
}

// refreshHosts fetches the addresses from the first host that answers, and schedules the next refresh after half of their
// lifetime.
func (c *systemClient) refreshHosts(class string) {
	defer func() {
		c.mu.Lock()
		c.refreshing = false
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
		validFor, _ := time.ParseDuration(answer.ValidFor)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hosts, c.preferred, c.refreshAt = nil, 0, time.Now().Add(validFor/2)
		for _, a := range answer.Hosts {
			c.hosts = append(c.hosts, a.Address)
			if a.DataCentre == answer.Hosts[0].DataCentre {
				c.preferred++
			}
		}
		return
	}
}

// selectionPolicy is how a baseline selects upstreams.
type selectionPolicy int

const (
	// leastInFlight knows all requests in flight in the site and selects the upstream with the fewest. No selection could
	// do better.
	leastInFlight selectionPolicy = iota + 1
	// twoChoices selects, of two random upstreams, the one with fewer requests in flight from the same simulated host.
	twoChoices
	// roundRobin selects the upstreams in turn, for each simulated host on its own.
	roundRobin
)

// directSender sends requests straight to the upstreams and selects them as a number of simulated hosts would.
type directSender struct {
	policy     selectionPolicy
	transports []*http.Transport
	addrs      map[string][]string

	mu  sync.Mutex
	rng *rand.Rand
	// inFlight counts the requests in flight of each simulated host by upstream address.
	inFlight []map[string]int
	// nextIndex is the round-robin position of each simulated host.
	nextIndex []atomic.Int64
}

func (b *benchSite) newDirectSender(policy selectionPolicy) *directSender {
	n := b.spec.hosts
	if policy == leastInFlight {
		n = 1
	}
	d := &directSender{policy: policy, addrs: map[string][]string{}, rng: rand.New(rand.NewPCG(loadSeed, 50)), nextIndex: make([]atomic.Int64, n)}
	for i := range n {
		tr := newTransport(b.IP(251, i+1))
		b.T.Cleanup(tr.CloseIdleConnections)
		d.transports, d.inFlight = append(d.transports, tr), append(d.inFlight, map[string]int{})
	}
	for _, p := range b.workers {
		d.addrs[p.service] = append(d.addrs[p.service], p.address)
	}
	return d
}

func (d *directSender) attempt(client int, c classSpec, number string, deadline time.Time, _ int) (site.Outcome, string, time.Duration) {
	host := client % len(d.inFlight)
	addr := d.pickUpstream(host, d.addrs[c.service])
	defer func() {
		d.mu.Lock()
		d.inFlight[host][addr]--
		d.mu.Unlock()
	}()
	return sendAttempt(d.transports[host], "http://"+addr, c, number, deadline, true)
}

func (d *directSender) pickUpstream(host int, addrs []string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.inFlight[host]
	var best string
	switch d.policy {
	case roundRobin:
		// Each simulated host starts at another upstream, so that they do not all select the same one at a time.
		best = addrs[(int(d.nextIndex[host].Add(1))+host*5)%len(addrs)]
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
