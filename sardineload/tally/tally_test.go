package tally

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a latency that is measured from the sending instead of the due time, which makes a request that was
// sent late look fast.
func TestSummary(t *testing.T) {
	l := New([]string{"a", "b"}, time.Second)
	l.RecordSent(0, 100*ms, 7*ms)
	l.RecordResult(0, "1", 100*ms, 300*ms, Result{Outcome: Served, Attempts: 2})
	l.RecordResult(0, "2", 100*ms, 200*ms, Result{Outcome: NotRun, Attempts: 5})
	l.RecordResult(0, "3", 950*ms, 1100*ms, Result{Outcome: Unknown, Wrong: true, Attempts: 1})
	l.RecordResult(1, "", 0, 600*ms, Result{Outcome: Served, Attempts: 1})
	s := l.Summary()
	a := s.Classes[0]
	if a.Sent != 1 || a.Served != 1 || a.NotRun != 1 || a.Unknown != 1 || a.Wrong != 1 || a.Attempts != 8 {
		t.Errorf("class %+v", a)
	}
	if a.P50 < 199 || a.P50 > 201 || a.WidestGap != 700 || s.WidestGap != 400 || s.SendDelay != 7 {
		t.Errorf("summary %+v", s)
	}
	if o := l.OrderOutcomes(); len(o) != 3 || o["2"] != NotRun || o["3"] != Unknown {
		t.Errorf("orders %v", o)
	}
	var csv strings.Builder
	if err := l.WriteCSV(&csv); err != nil || !strings.Contains(csv.String(), "0.1,a,1,1,1,0,0,200.00,200.00\n") {
		t.Errorf("%v, series:\n%s", err, csv.String())
	}
}

// Guards against missing a gap at the start or the end of the load, where no served request marks its other side.
func TestWidestGap(t *testing.T) {
	for want, served := range map[time.Duration][]time.Duration{
		1000 * ms: nil,
		800 * ms:  {200 * ms, 100 * ms},
		500 * ms:  {500 * ms, 900 * ms, 1500 * ms},
	} {
		if got := widestGap(served, time.Second); got != want {
			t.Errorf("served at %v: gap %s, want %s", served, got, want)
		}
	}
}

// Guards against a run that passes in spite of a fault.
func TestOK(t *testing.T) {
	good := func() Summary {
		return Summary{Classes: []ClassSummary{{Sent: 1, Served: 1}}, Orders: &OrderComparison{Sent: 1, RunOnce: 1}}
	}
	if !good().OK() {
		t.Error("good run fails")
	}
	for name, addFault := range map[string]func(*Summary){
		"doubled":       func(s *Summary) { s.Orders.Doubled = 1 },
		"lost":          func(s *Summary) { s.Orders.Lost = 1 },
		"false not run": func(s *Summary) { s.Orders.FalseNotRun = 1 },
		"over slots":    func(s *Summary) { s.Orders.OverSlots = map[string]int{"u": 1} },
		"wrong answer":  func(s *Summary) { s.Classes[0].Wrong = 1 },
		"never served":  func(s *Summary) { s.Classes[0].Served = 0 },
		"overrun":       func(s *Summary) { s.Overruns = 1 },
	} {
		s := good()
		addFault(&s)
		if s.OK() {
			t.Errorf("%s: run passes", name)
		}
	}
}

// Guards against a change of the last line of the report, which scripts read.
func TestLastLine(t *testing.T) {
	var out strings.Builder
	s := Summary{Orders: &OrderComparison{Sent: 9, RunOnce: 5, Doubled: 1, Lost: 2, Unknown: 3, FalseNotRun: 4, OverSlots: map[string]int{"u": 1}}}
	if err := s.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	want := "upstream u was over its slots by 1\norders answered as not run that did run: 4\n" +
		"orders: sent=9 run_once=5 doubled=1 lost=2 unknown=3\n"
	if !strings.HasSuffix(out.String(), want) {
		t.Errorf("got\n%s", out.String())
	}
}
