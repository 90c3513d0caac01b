package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
)

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func upstreamIDs(n int) []ident.UpstreamID {
	var ids []ident.UpstreamID
	for i := range n {
		ids = append(ids, ident.UpstreamID(fmt.Sprintf("u%d", i)))
	}
	return ids
}

// Guards against a wrong heap position after a removal: a later Remove would then remove another request.
func TestQueueServesEarliestDeadlineFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		waiting := map[ident.RequestID]*Item{}
		for id := range ident.RequestID(rapid.IntRange(1, 60).Draw(t, "steps")) {
			item := &Item{ID: id, Deadline: time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline"))}
			q.Push(item)
			waiting[id] = item
			if rapid.Bool().Draw(t, "remove") {
				victim := waiting[ident.RequestID(rapid.IntRange(0, int(id)).Draw(t, "victim"))]
				if victim != nil {
					q.Remove(victim)
					delete(waiting, victim.ID)
				}
			}
		}
		last := time.Duration(-1)
		for n := q.Len(); n > 0; n-- {
			head := q.Head()
			q.Remove(head)
			if head.Deadline < last || waiting[head.ID] != head || head.Queued() {
				t.Fatalf("item %d left the queue out of deadline order or more than once", head.ID)
			}
			last = head.Deadline
			delete(waiting, head.ID)
		}
		if len(waiting) != 0 {
			t.Fatalf("%d items are missing from the queue", len(waiting))
		}
	})
}

// Guards against queueing requests that can only be answered after their deadline.
func TestAdmitsOnlyRequestsThatMeetDeadline(t *testing.T) {
	c := NewClass("c", 1, 50*time.Millisecond)
	c.ObserveSlotTime(10 * time.Millisecond)
	for id := range ident.RequestID(8) {
		c.Queue.Push(&Item{ID: id})
	}
	assertEqual(t, "8 waiting for 4 slots, 50 ms left", c.Admits(0, 50*time.Millisecond, 4), true)
	assertEqual(t, "8 waiting for 4 slots, 49 ms left", c.Admits(0, 49*time.Millisecond, 4), false)
	assertEqual(t, "8 waiting for 0 slots, 30 ms left", c.Admits(0, 30*time.Millisecond, 0), false)
	assertEqual(t, "deadline already passed", NewClass("d", 1, 0).Admits(5, 5, 4), false)
}

// Guards against slots occupied by requests whose response would come after the deadline.
func TestMeetsDeadline(t *testing.T) {
	c := NewClass("c", 1, 50*time.Millisecond)
	c.ObserveSlotTime(10 * time.Millisecond)
	assertEqual(t, "10 ms left", c.MeetsDeadline(0, 10*time.Millisecond), true)
	assertEqual(t, "9 ms left", c.MeetsDeadline(0, 9*time.Millisecond), false)
}

// Guards against a low-ranked class that never gets a start while a class of a better rank always has requests waiting.
func TestLowRankDoesNotStarve(t *testing.T) {
	first, second := NewClass("a", 1, 0), NewClass("b", 2, 0)
	scheduler := NewRankScheduler(second, first)
	for id := range ident.RequestID(400) {
		first.Queue.Push(&Item{ID: id})
		second.Queue.Push(&Item{ID: id})
	}
	starts := map[ident.ClassName]int{}
	for range 220 {
		c := scheduler.Next(func(*Class) bool { return false })
		c.Queue.Remove(c.Queue.Head())
		scheduler.RecordStart(c)
		starts[c.Name]++
	}
	assertEqual(t, "starts of rank 1", starts["a"], 200)
	assertEqual(t, "starts of rank 2", starts["b"], 20)
	skipped := scheduler.Next(func(c *Class) bool { return c == first })
	assertEqual(t, "next class when rank 1 is skipped", skipped.Name, "b")
}

// Guards against retries that amplify an overload: they must not exceed a tenth of the requests.
func TestRetryBudgetLimitsRetriesToTenth(t *testing.T) {
	b := newRetryBudget()
	taken := 0
	for range 10_000 {
		b.Deposit()
		if b.TryWithdraw() {
			taken++
		}
	}
	if taken > 1000+initialBudget {
		t.Errorf("%d retries for 10000 requests, want at most a tenth and the initial budget", taken)
	}
}

// Guards against a wrong hedge delay: far below the 95th percentile, hedges for ordinary responses use up the retry budget.
func TestHedgeDelayTracksP95(t *testing.T) {
	c := NewClass("c", 1, 0)
	if _, ok := c.HedgeDelay(); ok {
		t.Error("hedge delay reported without observations")
	}
	above := 0
	for i := range 20_000 {
		took := time.Duration(1+i*7919%1000) * time.Millisecond
		if after, ok := c.HedgeDelay(); ok && i > 10_000 && took > after {
			above++
		}
		c.ObserveFirstByte(took)
	}
	if above < 300 || above > 800 {
		t.Errorf("%d of 10000 responses above the estimate, want about 500", above)
	}
}

// observeNormal records ten responses of 10 ms for each of the first n upstreams.
func observeNormal(tracker *UpstreamTracker, n int) {
	for _, id := range upstreamIDs(n) {
		for range 10 {
			tracker.Observe(id, 10*time.Millisecond)
		}
	}
}

func TestOutlierEjection(t *testing.T) {
	newTracker := func(n int) *UpstreamTracker {
		tracker := &UpstreamTracker{}
		tracker.SetUpstreams(upstreamIDs(n))
		observeNormal(tracker, n)
		tracker.UpdateEjections(time.Second)
		return tracker
	}
	// Guards against a slow upstream that keeps receiving its share of the requests.
	t.Run("slow", func(t *testing.T) {
		tracker := newTracker(6)
		for range 5 {
			tracker.Observe("u1", 100*time.Millisecond)
		}
		changes := tracker.UpdateEjections(2 * time.Second)
		assertEqual(t, "changes", len(changes), 1)
		assertEqual(t, "ejected", tracker.Ejected("u1"), true)
		assertEqual(t, "trial due immediately after ejection", tracker.TrialDue("u1", 2*time.Second), false)
		assertEqual(t, "trial due after a second", tracker.TrialDue("u1", 3*time.Second), true)
		tracker.RecordTrial("u1", 3*time.Second)
		assertEqual(t, "second trial due immediately after the first", tracker.TrialDue("u1", 3*time.Second+1), false)
	})
	// Guards against an upstream that fails within a millisecond and is therefore preferred as the fastest.
	t.Run("fast failures", func(t *testing.T) {
		tracker := newTracker(6)
		tracker.ObserveFailure("u2", time.Millisecond)
		assertEqual(t, "changes after one failure", len(tracker.UpdateEjections(2*time.Second)), 0)
		tracker.ObserveFailure("u2", time.Millisecond)
		tracker.UpdateEjections(3 * time.Second)
		assertEqual(t, "ejected after two failures", tracker.Ejected("u2"), true)
	})
	// Guards against ejecting most of the upstreams of a class when most of them are slow.
	t.Run("at most a third", func(t *testing.T) {
		tracker := newTracker(9)
		for _, id := range upstreamIDs(4) {
			tracker.ObserveFailure(id, time.Second)
		}
		tracker.UpdateEjections(2 * time.Second)
		assertEqual(t, "ejected", tracker.EjectedCount(), 3)
		left := append(upstreamIDs(3), upstreamIDs(9)[5:]...)
		tracker.SetUpstreams(left)
		tracker.UpdateEjections(2 * time.Second)
		assertEqual(t, "ejected of the remaining seven upstreams", tracker.EjectedCount(), 2)
	})
	// Guards against an upstream that is never selected again because others appear faster: its smoothed time must decay
	// to the median while it gets no requests.
	t.Run("idle", func(t *testing.T) {
		tracker := newTracker(6)
		tracker.Observe("u4", 50*time.Millisecond)
		before := tracker.ExpectedTime("u4")
		for i := range 100 {
			tracker.UpdateEjections(2*time.Second + time.Duration(i)*evaluationInterval)
			if i < maxIdleEvaluations {
				assertEqual(t, "smoothed time before the decay starts", tracker.ExpectedTime("u4"), before)
			}
		}
		if got := tracker.ExpectedTime("u4"); got > 11*time.Millisecond {
			t.Errorf("smoothed time is %v after 5 s without requests, want about the median of 10 ms", got)
		}
	})
	// Guards against an upstream that stays ejected after it has recovered.
	t.Run("recovery", func(t *testing.T) {
		tracker := newTracker(6)
		tracker.ObserveFailure("u3", 200*time.Millisecond)
		tracker.UpdateEjections(2 * time.Second)
		assertEqual(t, "ejected", tracker.Ejected("u3"), true)
		tracker.Observe("u3", 10*time.Millisecond)
		tracker.Observe("u3", 10*time.Millisecond)
		tracker.UpdateEjections(3 * time.Second)
		assertEqual(t, "ejected after two fast trials", tracker.Ejected("u3"), false)
	})
}

// Guards against requests sent to the busier or slower of two upstreams.
func TestPickPrefersLowerCost(t *testing.T) {
	tracker := &UpstreamTracker{}
	tracker.SetUpstreams(upstreamIDs(2))
	observeNormal(tracker, 2)
	two := []Candidate{{Upstream: "u0", InFlight: 3}, {Upstream: "u1", InFlight: 1}}
	for rnd := range uint64(4) {
		assertEqual(t, "less busy", tracker.Pick(two, rnd<<32|rnd), 1)
	}
	for range 9 {
		tracker.Observe("u1", 40*time.Millisecond)
	}
	assertEqual(t, "faster", tracker.Pick(two, 1), 0)
	assertEqual(t, "none", tracker.Pick(nil, 1), -1)
}
