package proofs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The test in this file stops two hosts one shortly after the other, beside consultations whose time limits are well below the
// grace, and compares what their callers saw with what the hosts have logged.

const (
	// pairLimit is the time limit of the callers and the timeout of the routes.
	pairLimit = 1200 * time.Millisecond
	// pairPause is the time between the two stops.
	pairPause = 1300 * time.Millisecond
	// pairCallers is the number of callers of each kind at each host.
	pairCallers = 6
)

// startConsultations starts callers that send consultations, pipelined or one after the other on a kept connection.
func (s *gateSite) startConsultations(h *gateHost, seed uint64) *stopLoad {
	l := &stopLoad{s: s, h: h, consultations: true}
	for i, run := range []func(*rand.Rand){l.callOnKeptConnections, l.callPipelined} {
		for j := range pairCallers {
			rng := rand.New(rand.NewPCG(seed, uint64(i*pairCallers+j)))
			l.wg.Go(func() { run(rng) })
		}
	}
	return l
}

// stopOutcome is what came of the stop of one host.
type stopOutcome struct {
	h               *gateHost
	stopped, exited time.Time
	calls           []*stopCall
}

// stopHost sends SIGTERM to a host after a pause, and waits for its end and its callers.
func (s *gateSite) stopHost(l *stopLoad, pause time.Duration) *stopOutcome {
	time.Sleep(pause)
	o := &stopOutcome{h: l.h, stopped: time.Now()}
	l.h.Signal(syscall.SIGTERM)
	select {
	case <-l.h.Done:
	case <-time.After(time.Until(o.stopped.Add(gateGrace))):
		s.T.Errorf("host %s did not stop within its grace of %v", l.h.ID, gateGrace)
		l.h.Kill()
	}
	o.exited = time.Now()
	l.h.alive.Store(false)
	o.calls = l.wait()
	return o
}

// logLines returns the fields of the lines that a host has written.
func (h *gateHost) logLines(t *testing.T) []map[string]any {
	t.Helper()
	out, err := os.ReadFile(h.Output.Name())
	if err != nil {
		t.Fatal(err)
	}
	var lines []map[string]any
	for line := range strings.Lines(string(out)) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil {
			lines = append(lines, fields)
		}
	}
	return lines
}

// logStop logs what a host wrote of its stop and of the requests that it has lost.
func logStop(t *testing.T, o *stopOutcome, lost []string) {
	t.Helper()
	lostIDs := make(map[string]bool)
	for _, l := range lost {
		lostIDs[strings.Fields(l)[1]] = true
	}
	outcomes := make(map[string]int)
	leftOut := 0.0
	for _, f := range o.h.logLines(t) {
		switch msg := f["msg"]; {
		case msg == "request" && lostIDs[fmt.Sprint(f["id"])]:
			outcomes[fmt.Sprintf("%v %v %v", f["level"], f["status"], f["outcome"])]++
		case msg == "log lines left out":
			n, _ := f["lines"].(float64)
			leftOut += n
		case msg != "request" && msg != "work as an owner":
			at, _ := time.Parse(time.RFC3339Nano, fmt.Sprint(f["time"]))
			if at.After(o.stopped) {
				t.Logf("%s, %v after SIGTERM: %v", o.h.ID, at.Sub(o.stopped).Round(time.Millisecond), f)
			}
		}
	}
	begun := make(map[string]int)
	for _, c := range o.calls {
		if lostIDs[c.id] {
			begun[fmt.Sprintf("order %t, answer begun %t, %v", c.order, c.answerBegun, c.err)]++
		}
	}
	t.Logf("%s exited %v after SIGTERM; lost %d of %d, of these logged: %v, seen by callers: %v; log lines left out: %v", o.h.ID,
		o.exited.Sub(o.stopped).Round(time.Millisecond), len(lost), len(o.calls), outcomes, begun, leftOut)
}

// assertStopLogged checks that the log of a host explains its stop: each phase with the time since the signal and what was open.
func assertStopLogged(t *testing.T, o *stopOutcome) {
	t.Helper()
	phases := make(map[string]map[string]any)
	for _, f := range o.h.logLines(t) {
		phases[fmt.Sprint(f["msg"])] = f
	}
	for _, msg := range []string{"stop", "connections no longer accepted", "stopped"} {
		f, ok := phases[msg]
		if !ok {
			t.Errorf("%s has no log line %q", o.h.ID, msg)
			continue
		}
		for _, field := range []string{"sinceStopMs", "connections", "requests"} {
			if _, ok := f[field].(float64); !ok {
				t.Errorf("%s: the log line %q has no number %s: %v", o.h.ID, msg, field, f)
			}
		}
	}
	if ms, ok := phases["stopped"]["sinceStopMs"].(float64); ok && time.Duration(ms)*time.Millisecond > gateGrace {
		t.Errorf("%s stopped %v ms after the signal, later than its grace", o.h.ID, ms)
	}
}

// Guards against consultations that lose their answer although their time limit is well below the grace, when two hosts are
// stopped one shortly after the other and their callers keep or pipeline connections, and against a log that does not explain a stop.
func TestGateStopsThatOverlapLoseNoConsultation(t *testing.T) {
	for seed := range *stopSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newGateSite(t, 2)
			s.sendCommand(map[string]any{"TimeoutMS": pairLimit.Milliseconds()})
			time.Sleep(2 * time.Second) // until the timeout is in force
			outcomes := make([]*stopOutcome, 2)
			loads := make([]*stopLoad, len(outcomes))
			for i := range outcomes {
				loads[i] = s.startConsultations(s.hosts[(int(seed)+i)%len(s.hosts)], seed)
			}
			var stops sync.WaitGroup
			for i, l := range loads {
				stops.Go(func() { outcomes[i] = s.stopHost(l, time.Second+time.Duration(i)*pairPause) })
			}
			stops.Wait()
			seen := s.platformStats()
			for _, o := range outcomes {
				logStop(t, o, lostCalls(o.calls, seen, o.stopped, pairLimit))
				assertNoneLost(t, o.calls, seen, o.stopped, pairLimit)
				assertSomeServed(t, o.calls, o.stopped)
				assertStopLogged(t, o)
			}
		})
	}
}
