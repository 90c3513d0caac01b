package proofs

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sardinecross.example/platform/standin/users"
)

// The tests in this file stop many hosts in series that overlap, beside load on all hosts and new configurations, as the platform
// does it: SIGTERM, SIGKILL exactly when the grace is over, and the same host started again and stopped once more.

var (
	seriesSeeds   = flag.Uint64("seriesSeeds", 1, "number of seeds of the series of stops")
	seriesFirst   = flag.Uint64("seriesFirst", 0, "first seed of the series of stops")
	seriesHosts   = flag.Int("seriesHosts", 2, "number of hosts in each data centre in the series of stops")
	seriesKeep    = flag.String("seriesKeep", "", "`directory` for the output of the hosts if a series of stops fails")
	seriesCallers = flag.Int("seriesCallers", 1, "number of callers of each kind and host in the series of stops")
)

// seriesHost is a host with its load and its stops.
type seriesHost struct {
	*gateHost
	load  *stopLoad
	stops []time.Time
	// outputs are the names of the files with the output of its processes, in the order of stops.
	outputs []string
}

// stopSeries is a plan of stops and other events, played in one goroutine.
type stopSeries struct {
	s       *gateSite
	rng     *rand.Rand
	hosts   []*seriesHost
	timeout time.Duration // the shortest timeout of the routes
	events  []seriesEvent
	// loadEnds is set when callers need not wait for their host to start again.
	loadEnds atomic.Bool
	watchers sync.WaitGroup // one for each stop

	mu sync.Mutex
	// longestStop is the longest time that a host took to stop; guarded by mu.
	longestStop time.Duration
}

type seriesEvent struct {
	at time.Duration
	do func()
}

func (p *stopSeries) add(at time.Duration, do func()) {
	p.events = append(p.events, seriesEvent{at, do})
}

// between returns a random duration.
func (p *stopSeries) between(a, b time.Duration) time.Duration {
	return a + time.Duration(p.rng.Int64N(int64(b-a)))
}

// play runs all events at their times.
func (p *stopSeries) play() {
	slices.SortStableFunc(p.events, func(a, b seriesEvent) int { return int(a.at - b.at) })
	begin := time.Now()
	for _, e := range p.events {
		time.Sleep(time.Until(begin.Add(e.at)))
		e.do()
	}
}

// newStopSeries starts a site with load on all hosts. Routes have the given timeout at least.
func newStopSeries(t *testing.T, seed uint64, timeout time.Duration, kinds ...callerKind) *stopSeries {
	p := &stopSeries{s: newGateSiteWith(t, *seriesHosts, 6), rng: rand.New(rand.NewPCG(seed, 0)), timeout: timeout}
	p.s.sendCommand(map[string]any{"TimeoutMS": timeout.Milliseconds()})
	time.Sleep(2 * time.Second) // until the timeout is in force
	for i, h := range p.s.hosts {
		sh := &seriesHost{gateHost: h, load: &stopLoad{s: p.s, h: h}}
		p.hosts = append(p.hosts, sh)
		p.startLoad(sh, rand.New(rand.NewPCG(seed, uint64(i)+1)), kinds)
	}
	p.rng.Shuffle(len(p.hosts), func(i, j int) { p.hosts[i], p.hosts[j] = p.hosts[j], p.hosts[i] })
	return p
}

// callerKind is the method of a stopLoad that is one caller. It returns when its host accepts no connections.
type callerKind func(*stopLoad, *rand.Rand)

// startLoad starts callers of each kind. They keep using their host while it is stopped, and after it was started again.
func (p *stopSeries) startLoad(h *seriesHost, rng *rand.Rand, kinds []callerKind) {
	l := h.load
	for _, run := range kinds {
		for range *seriesCallers {
			callerRng := rand.New(rand.NewPCG(rng.Uint64(), 0))
			l.wg.Go(func() {
				for !p.loadEnds.Load() {
					run(l, callerRng)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
}

// stop plans a stop of a host with SIGHUP before it, and SIGHUP, SIGTERM and SIGINT after it.
func (p *stopSeries) stop(h *seriesHost, at time.Duration) {
	hangup := func() {
		p.s.changeSettings(h.gateHost)
		h.Signal(syscall.SIGHUP)
	}
	p.add(at-p.between(0, 300*time.Millisecond), hangup)
	p.add(at, func() { p.terminate(h) })
	end := at + gateGrace
	for at += p.between(0, time.Second); at < end && p.rng.IntN(5) > 0; at += p.between(0, time.Second) {
		p.add(at, []func(){hangup, func() { h.Signal(syscall.SIGTERM) }, func() { h.Signal(syscall.SIGINT) }}[p.rng.IntN(3)])
	}
}

// terminate sends SIGTERM to a host, and SIGKILL when its grace is over.
func (p *stopSeries) terminate(h *seriesHost) {
	process, stopped := h.Process, time.Now()
	h.Signal(syscall.SIGTERM)
	h.stops = append(h.stops, stopped)
	timer := time.AfterFunc(gateGrace, func() { process.Signal(syscall.SIGKILL) })
	p.watchers.Go(func() {
		<-process.Done
		timer.Stop()
		// A busy machine reports the end late, so the cause of the end tells whether the host was killed.
		if status, ok := process.Cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signal() == syscall.SIGKILL {
			p.s.T.Errorf("host %s did not stop within its grace of %v after SIGTERM at %v", h.ID, gateGrace, stopped.Format(time.RFC3339Nano))
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.longestStop = max(p.longestStop, time.Since(stopped))
	})
}

// start starts a host again. The output of its former process is kept.
func (p *stopSeries) start(h *seriesHost) {
	<-h.Done
	kept := fmt.Sprintf("%s.%d", h.Output.Name(), len(h.outputs)+1)
	if err := os.Rename(h.Output.Name(), kept); err != nil {
		p.s.T.Fatal(err)
	}
	h.outputs = append(h.outputs, kept)
	p.s.startHost(h.gateHost)
}

// restartAndStop plans a stop, a new start after the grace, and a stop that begins soon after this start.
func (p *stopSeries) restartAndStop(h *seriesHost, at, soonest, latest time.Duration) {
	p.stop(h, at)
	at += gateGrace + p.between(50*time.Millisecond, 500*time.Millisecond)
	p.add(at, func() { p.start(h) })
	p.stop(h, at+max(p.between(soonest, latest), 10*time.Millisecond))
}

// changeConfiguration plans new configurations: further routes, another timeout, a data centre out of service and back.
func (p *stopSeries) changeConfiguration(until time.Duration) {
	out := false
	for at := p.between(0, time.Second); at < until; at += p.between(800*time.Millisecond, 2300*time.Millisecond) {
		var command map[string]any
		switch n := p.rng.IntN(4); {
		case out:
			command, out = map[string]any{"Back": "landshut"}, false
		case n == 0:
			command, out = map[string]any{"Out": "landshut"}, true
		case n == 1:
			longer := p.timeout + time.Duration(p.rng.IntN(2))*500*time.Millisecond
			command = map[string]any{"TimeoutMS": longer.Milliseconds()}
		default:
			command = map[string]any{"Prefixes": []string{fmt.Sprintf("/later%d/", at.Milliseconds())}}
		}
		p.add(at, func() { p.s.sendCommand(command) })
	}
}

// end waits for all callers and checks the outcomes of their requests.
func (p *stopSeries) end() {
	t := p.s.T.(*testing.T)
	t.Helper()
	p.loadEnds.Store(true)
	p.watchers.Wait()
	for _, h := range p.hosts {
		h.load.wait()
	}
	seen := p.s.platformStats()
	stops, longestDelay, counts := 0, time.Duration(0), newOutcomeCounts(seen)
	for _, h := range p.hosts {
		stops += len(h.stops)
		longestDelay = max(longestDelay, h.longestSignalDelay())
		for stopped, calls := range h.callsByStop() {
			assertNoneLost(t, calls, seen, stopped, p.timeout)
			counts.add(calls, stopped)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%d hosts, %d stops, the longest %v, signals handled after up to %v; %s", len(p.hosts), stops, p.longestStop, longestDelay, counts)
	if counts.servedAfterStop == 0 {
		t.Error("no request that came after SIGTERM was served")
	}
	if t.Failed() {
		p.logLost(seen)
		p.keepOutput()
	}
}

// longestSignalDelay returns the longest time from a SIGTERM to the host's log line on it.
func (h *seriesHost) longestSignalDelay() time.Duration {
	var longest time.Duration
	for i, output := range append(slices.Clone(h.outputs), h.Output.Name()) {
		data, _ := os.ReadFile(output)
		for line := range bytes.Lines(data) {
			var logged struct {
				Time time.Time
				Msg  string
			}
			if json.Unmarshal(line, &logged) == nil && logged.Msg == "stop" && i < len(h.stops) {
				longest = max(longest, logged.Time.Sub(h.stops[i]))
			}
		}
	}
	return longest
}

// callsByStop returns the requests to a host by the last SIGTERM before they ended; the zero time if there was none.
func (h *seriesHost) callsByStop() map[time.Time][]*stopCall {
	calls := make(map[time.Time][]*stopCall)
	for _, c := range h.load.calls {
		var last time.Time
		for _, stopped := range h.stops {
			if !stopped.After(c.ended) {
				last = stopped
			}
		}
		calls[last] = append(calls[last], c)
	}
	return calls
}

// logLost logs what hosts wrote about requests that were lost.
func (p *stopSeries) logLost(seen users.Stats) {
	files, _ := filepath.Glob(filepath.Join(p.s.Dir, "*.out*"))
	for _, h := range p.hosts {
		for stopped, calls := range h.callsByStop() {
			for _, lost := range lostCalls(calls, seen, stopped, p.timeout) {
				id := strings.Fields(lost)[1]
				for _, f := range files {
					data, _ := os.ReadFile(f)
					for line := range bytes.Lines(data) {
						if bytes.Contains(line, []byte(`"`+id+`"`)) {
							p.s.T.Logf("%s: %s: %s", filepath.Base(f), id, line)
						}
					}
				}
			}
		}
	}
}

// keepOutput copies the site's directory.
func (p *stopSeries) keepOutput() {
	if *seriesKeep == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*seriesKeep, strings.ReplaceAll(p.s.T.(*testing.T).Name(), "/", "_")), os.DirFS(p.s.Dir)); err != nil {
		p.s.T.Errorf("output not kept: %v", err)
	}
}

// outcomeCounts counts requests by their outcome.
type outcomeCounts struct {
	passedOn                          map[string]bool
	requests, served, servedAfterStop int
	statuses                          map[int]int
	// behindClose counts requests that were sent behind a response that closes their connection and not passed on.
	behindClose int
}

func newOutcomeCounts(seen users.Stats) *outcomeCounts {
	n := &outcomeCounts{passedOn: make(map[string]bool), statuses: make(map[int]int)}
	for _, r := range seen.Arrivals {
		n.passedOn[r.ID] = true
	}
	return n
}

// add counts requests that ended after the given SIGTERM, if it is not the zero time.
func (n *outcomeCounts) add(calls []*stopCall, stopped time.Time) {
	for _, c := range calls {
		n.requests++
		n.statuses[c.status]++
		if c.signed {
			n.served++
			if !stopped.IsZero() && c.sent.After(stopped) {
				n.servedAfterStop++
			}
		}
		if errors.Is(c.err, errBehindClose) && !n.passedOn[c.id] {
			n.behindClose++
		}
	}
}

func (n *outcomeCounts) String() string {
	return fmt.Sprintf("%d requests, %d served, %d of them sent after SIGTERM, by status %v; %d sent behind a close and not passed on",
		n.requests, n.served, n.servedAfterStop, n.statuses, n.behindClose)
}

// seriesTimeouts are the timeouts of the routes, one for each seed in turn: well below the grace, below it and above it.
var seriesTimeouts = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 9 * time.Second}

// playOverlappingStops stops half of the hosts, a quarter before these have ended, and both once more soon after a new start, the
// others at the end. The store is away for most of it if mode is one of its faults.
func (p *stopSeries) playOverlappingStops(mode string) {
	half, rest := p.hosts[:len(p.hosts)/2], p.hosts[len(p.hosts)/2:]
	for _, h := range half {
		p.restartAndStop(h, p.between(time.Second, 2*time.Second), 0, 2*time.Second)
	}
	for _, h := range rest[:len(rest)/2] {
		p.restartAndStop(h, p.between(2300*time.Millisecond, 4*time.Second), 0, time.Second)
	}
	for _, h := range rest[len(rest)/2:] {
		p.stop(h, p.between(10*time.Second, 11*time.Second))
	}
	if mode != "" {
		p.add(500*time.Millisecond, func() { p.s.sendCommand(map[string]any{"Store": mode}) })
		p.add(8*time.Second, func() { p.s.sendCommand(map[string]any{"Store": "up"}) })
	}
	p.changeConfiguration(10 * time.Second)
	p.play()
}

// testOverlappingStops plays overlapping stops beside callers of the given kinds, for each seed with the store up and away.
func testOverlappingStops(t *testing.T, kinds ...callerKind) {
	modes := []string{"busy", "many", "silent", "reset", "lost", "late", "slow"}
	for seed := *seriesFirst; seed < *seriesFirst+*seriesSeeds; seed++ {
		for _, mode := range []string{"", modes[seed%uint64(len(modes))]} {
			t.Run(fmt.Sprintf("seed %d, store %q", seed, mode), func(t *testing.T) {
				t.Parallel()
				p := newStopSeries(t, seed, seriesTimeouts[seed%uint64(len(seriesTimeouts))], kinds...)
				p.playOverlappingStops(mode)
				p.end()
			})
		}
	}
}

// Guards against requests that lose their answer while half of the hosts stop, more follow before these have ended, and hosts are
// stopped once more right after a new start; in the second case also while the store is away.
func TestGateOverlappingStopsLoseNoRequest(t *testing.T) {
	testOverlappingStops(t, (*stopLoad).callOnNewConnections, (*stopLoad).callOnKeptConnections, (*stopLoad).callInChunks,
		(*stopLoad).callPipelined, (*stopLoad).upload, (*stopLoad).downloadSlowly, (*stopLoad).callWithoutLength,
		(*stopLoad).callInPieces, (*stopLoad).callInBursts)
}

// Guards against responses that are reset on the way to a caller that reads them slowly and sends another request meanwhile.
func TestGateOverlappingStopsLoseNoPipelinedDownload(t *testing.T) {
	testOverlappingStops(t, (*stopLoad).pipelineDownloads)
}
