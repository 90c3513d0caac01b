package watch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// applyTime is the time in which a change is in force at all hosts.
	applyTime = 2 * time.Second
	// settleTime is longer than a site takes to start.
	settleTime = 4 * time.Second
)

// restore replaces the store by a copy without the last records of a stream.
func (s *memorySource) restore(stream fleet.Stream, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records[stream] = s.records[stream][: len(s.records[stream])-lost : len(s.records[stream])-lost]
}

// countingSource counts the calls for the newest records.
type countingSource struct {
	*memorySource
	newest atomic.Int64
}

func (s *countingSource) Newest(ctx context.Context, stream fleet.Stream) ([]fleet.Record, fleet.Position, error) {
	s.newest.Add(1)
	return s.memorySource.Newest(ctx, stream)
}

// newEraSource returns a store that tells its era, with a configuration and the upstreams a and b.
func newEraSource() *countingSource {
	s := &countingSource{memorySource: newMemorySource()}
	s.era = 1
	s.put(fleet.Operators, "config", 1)
	s.putReport("a", 1, fleet.Ready)
	s.putReport("b", 1, fleet.Ready)
	return s
}

// putReport writes the entry of an upstream.
func (s *memorySource) putReport(id string, number int64, state fleet.State) {
	s.put(fleet.Upstreams, id, fleet.Upstream{ID: id, Service: "s", Slots: 1, Started: 1, ReportNumber: number, State: state})
}

// running returns the hosts that run.
func (s *slowSite) running() []*slowHost {
	var out []*slowHost
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.running {
			out = append(out, h)
		}
		h.mu.Unlock()
	}
	return out
}

// assertDuring checks a condition of the views of all hosts that run, every 10 ms for a time.
func (s *slowSite) assertDuring(t *testing.T, d time.Duration, what string, holds func(v *fleet.View) bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < d; time.Sleep(10 * time.Millisecond) {
		for _, h := range s.running() {
			if v := h.View(); v.Routes != nil && !holds(v) {
				operators, list := h.Progress()
				t.Fatalf("%s: not so at %s after %v, at %+v and %+v", what, h.deps.Host, time.Since(start), operators, list)
			}
		}
	}
}

// assertWithin checks that a condition holds for the views of all hosts that run after a time.
func (s *slowSite) assertWithin(t *testing.T, d time.Duration, what string, holds func(v *fleet.View) bool) {
	t.Helper()
	time.Sleep(d)
	s.assertDuring(t, 10*time.Millisecond, what, holds)
}

func hasVersion(version int64) func(*fleet.View) bool {
	return func(v *fleet.View) bool { return v.Routes.Version == version }
}

func isOut(dataCentre string) func(*fleet.View) bool {
	return func(v *fleet.View) bool { _, out := v.DataCentresOut[dataCentre]; return out }
}

// usesOnly returns whether the upstreams that accept requests are those with the given IDs.
func usesOnly(ids ...string) func(*fleet.View) bool {
	return func(v *fleet.View) bool {
		n := 0
		for _, u := range v.Upstreams {
			if u.State == fleet.Ready {
				n++
			}
		}
		for _, id := range ids {
			if u, ok := v.Upstreams[id]; !ok || u.State != fleet.Ready {
				return false
			}
		}
		return n == len(ids)
	}
}

// Guards against hosts that miss the changes after a restore for as long as the log is shorter than it was, or that go back to
// the configuration of the copy.
func TestRecordsLostAndFewerWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 4)
		time.Sleep(settleTime)
		for v := range 6 {
			s.put(fleet.Operators, "config", 2+v)
		}
		site.assertWithin(t, applyTime, "the storm is in force", hasVersion(7))
		s.restore(fleet.Operators, 6)
		site.assertDuring(t, time.Second, "the configuration stays", hasVersion(7))
		s.put(fleet.Operators, "config", 7)
		s.put(fleet.Operators, "passau", true)
		site.assertWithin(t, applyTime, "a data centre is out of service", isOut("passau"))
		s.put(fleet.Operators, "config", 8)
		site.assertWithin(t, applyTime, "the next configuration is in force", hasVersion(8))
	})
}

// Guards against hosts that read on from their old position, because the log has reached it again before they read.
func TestOldEndReachedAgainBeforeARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 4)
		time.Sleep(settleTime)
		s.put(fleet.Operators, "config", 2)
		s.put(fleet.Operators, "config", 3)
		site.assertWithin(t, applyTime, "the configuration is in force", hasVersion(3))
		s.locked(func() { s.broken = true })
		s.restore(fleet.Operators, 2)
		s.put(fleet.Operators, "config", 4)
		s.put(fleet.Operators, "passau", true)
		s.put(fleet.Operators, "landshut", true)
		time.Sleep(time.Second)
		s.locked(func() { s.broken = false })
		time.Sleep(applyTime)
		site.assertWithin(t, 0, "the next configuration is in force", hasVersion(4))
		site.assertWithin(t, 0, "a data centre is out of service", isOut("passau"))
	})
}

// Guards against records of operators that are out of force until they are written again, also at hosts that start meanwhile, and
// against ones that stay in force although they are not.
func TestLostOrdersOfOperatorsStayInForceForAGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := newSlowSite(s, 5)
		for i := range 4 {
			site.start(t, i)
		}
		time.Sleep(settleTime)
		s.put(fleet.Operators, "landshut", true)
		time.Sleep(applyTime)
		s.put(fleet.Operators, "passau", true)
		s.put(fleet.Operators, "landshut", nil)
		s.put(fleet.Operators, "config", 2)
		site.assertWithin(t, applyTime, "a data centre is out of service", isOut("passau"))
		s.restore(fleet.Operators, 3)
		time.Sleep(time.Second)
		site.start(t, 4)
		time.Sleep(time.Second)
		site.assertDuring(t, 3*time.Second, "the data centre stays out of service", isOut("passau"))
		site.assertWithin(t, 0, "the other one stays in service", func(v *fleet.View) bool { return !isOut("landshut")(v) })
		site.assertWithin(t, 0, "the configuration stays", hasVersion(2))
		s.put(fleet.Operators, "landshut", nil)
		time.Sleep(10 * time.Second)
		site.assertWithin(t, 0, "nothing is kept that was not written again", func(v *fleet.View) bool { return len(v.DataCentresOut) == 0 })
	})
}

// Guards against requests to an upstream that has left, whose entry came back with the copy, at hosts that knew of it and at one that
// starts after the restore.
func TestRemovalLostWithTheCopy(t *testing.T) {
	for name, end := range map[string]func(s *countingSource){
		"removed":             func(s *countingSource) { s.put(fleet.Upstreams, "a", nil) },
		"leaving, not listed": func(s *countingSource) { s.putReport("a", 2, fleet.Leaving); s.put(fleet.Upstreams, "a", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEraSource()
				site := newSlowSite(s, 5)
				for i := range 4 {
					site.start(t, i)
				}
				time.Sleep(settleTime)
				end(s)
				site.assertWithin(t, applyTime, "only b is used", usesOnly("b"))
				s.restore(fleet.Upstreams, len(s.records[fleet.Upstreams])-2)
				s.putReport("b", 2, fleet.Ready)
				site.assertDuring(t, time.Second, "only b is used", usesOnly("b"))
				site.start(t, 4)
				time.Sleep(applyTime)
				site.assertDuring(t, time.Second, "only b is used", usesOnly("b"))
				s.put(fleet.Upstreams, "a", nil) // its lease ran out
				site.assertDuring(t, 10*time.Second, "only b is used", usesOnly("b"))
			})
		})
	}
}

// Guards against a leaving upstream that is used again because an earlier record of it is written again, and against live ones that are
// not used because they are missing from the copy.
func TestUpstreamsWrittenAgainInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 4)
		time.Sleep(settleTime)
		s.putReport("c", 1, fleet.Ready)
		s.putReport("a", 2, fleet.Ready)
		s.putReport("a", 3, fleet.Leaving)
		site.assertWithin(t, applyTime, "a is leaving", usesOnly("b", "c"))
		s.restore(fleet.Upstreams, 3)
		site.assertDuring(t, 500*time.Millisecond, "c is kept", usesOnly("b", "c"))
		s.putReport("a", 2, fleet.Ready)
		s.putReport("c", 1, fleet.Ready)
		site.assertDuring(t, 500*time.Millisecond, "an earlier record of a is written again", usesOnly("b", "c"))
		s.putReport("a", 3, fleet.Leaving)
		s.putReport("b", 2, fleet.Leaving)
		site.assertWithin(t, applyTime, "b is leaving", usesOnly("c"))
		s.put(fleet.Upstreams, "a", nil)
		site.assertDuring(t, 10*time.Second, "the rest stays", usesOnly("c"))
	})
}

// Guards against an entry that is kept for ever because it is missing from the copy.
func TestUpstreamNotListedAgainAfterARestoreIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 4)
		time.Sleep(settleTime)
		s.putReport("c", 1, fleet.Ready)
		site.assertWithin(t, applyTime, "c is listed", usesOnly("a", "b", "c"))
		s.restore(fleet.Upstreams, 1)
		site.assertWithin(t, 5*time.Second, "c is removed", usesOnly("a", "b"))
	})
}

// Guards against a second restore that undoes what was kept in the first.
func TestTwoRestoresInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 4)
		time.Sleep(settleTime)
		s.put(fleet.Operators, "config", 2)
		s.put(fleet.Operators, "passau", true)
		s.put(fleet.Upstreams, "a", nil)
		site.assertWithin(t, applyTime, "only b is used", usesOnly("b"))
		kept := func(v *fleet.View) bool { return hasVersion(2)(v) && isOut("passau")(v) && usesOnly("b")(v) }
		s.restore(fleet.Operators, 2)
		s.locked(func() { s.records[fleet.Upstreams] = s.records[fleet.Upstreams][:2] })
		site.assertDuring(t, 2*time.Second, "all is kept", kept)
		s.put(fleet.Operators, "config", 2)
		s.restore(fleet.Operators, 1)
		site.assertDuring(t, 2*time.Second, "all is kept", kept)
		s.put(fleet.Operators, "config", 3)
		s.put(fleet.Operators, "landshut", true)
		site.assertWithin(t, applyTime, "the next changes are in force", func(v *fleet.View) bool { return hasVersion(3)(v) && isOut("landshut")(v) })
	})
}

// Guards against reads of all hosts at once when the store is back, and against hosts that learn of its return late.
func TestFewHostsReadARestoredStore(t *testing.T) {
	const (
		hosts = 60
		// maxReads bounds the reads of the newest records by all hosts together, of which each reads three streams after its start.
		maxReads = 10
	)
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, hosts)
		time.Sleep(settleTime)
		s.locked(func() { s.broken = true })
		time.Sleep(time.Second)
		s.restore(fleet.Operators, 0)
		s.put(fleet.Operators, "passau", true)
		s.newest.Store(0)
		s.locked(func() { s.broken = false })
		site.assertWithin(t, applyTime, "the change is in force", isOut("passau"))
		if n := s.newest.Load(); n > maxReads+hosts { // each host announces itself once again
			t.Errorf("%d reads of the newest records, want at most %d beside the announcements", n, maxReads)
		}
	})
}

// Guards against an answer of the era before, delayed on its way, that undoes what was read since.
func TestAnswerOfAnEarlierEraIsNotUsed(t *testing.T) {
	s := newEraSource()
	w := startWatcher(t, s.memorySource)
	eventually(t, "the first view", func() bool { return version(w) == 1 && w.View().Listed })
	s.put(fleet.Operators, "config", 2)
	s.restore(fleet.Operators, 1)
	s.put(fleet.Operators, "config", 3)
	eventually(t, "the configuration after the restore", func() bool { return version(w) == 3 })
	s.locked(func() { s.era = 1 })
	var stale *StaleError
	if err := w.readNewest(t.Context(), w.operatorStream()); !errors.As(err, &stale) {
		t.Errorf("got error %v from an answer of an earlier era, want a StaleError", err)
	}
	w.Handle(&mesh.Message{From: "x", OperatorRecords: &mesh.OperatorRecords{
		Span: mesh.Span{From: 2, To: 3, Era: 1}, Records: []fleet.Record{{Key: "passau", Value: []byte("1")}},
	}})
	if isOut("passau")(w.View()) {
		t.Error("a span of an earlier era was applied")
	}
}

// Guards against calls without a pause by a host that was told of an era in which its store never answers.
func TestEraThatTheStoreNeverAnswers(t *testing.T) {
	const (
		span = 10 * time.Second
		// maxReads is what pauses of maxRetryDelay leave of two streams and the announcement.
		maxReads = 3*int64(span/maxRetryDelay) + 10
	)
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 1)
		time.Sleep(settleTime)
		hb := mesh.Heartbeat{}.WithProgress(fleet.Progress{Position: fleet.At(9, 1)}, fleet.Progress{})
		site.hosts[0].Handle(&mesh.Message{From: "x", Heartbeat: &hb})
		s.newest.Store(0)
		s.put(fleet.Operators, "config", 2)
		time.Sleep(span)
		if n := s.newest.Load(); n > maxReads {
			t.Errorf("%d reads of the newest records in %v, want at most %d", n, span, maxReads)
		}
		site.assertWithin(t, 0, "the configuration is in force", hasVersion(2))
	})
}

// Guards against a host that starts after a restore and does not use live upstreams that are missing from the copy, although the other
// hosts do.
func TestHostThatStartsAfterARestoreKeepsWhatOthersKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := newSlowSite(s, 3)
		site.start(t, 0)
		site.start(t, 1)
		time.Sleep(settleTime)
		s.putReport("c", 1, fleet.Ready)
		site.assertWithin(t, applyTime, "c is listed", usesOnly("a", "b", "c"))
		s.restore(fleet.Upstreams, 1)
		site.assertDuring(t, time.Second, "c is kept", usesOnly("a", "b", "c"))
		site.start(t, 2)
		time.Sleep(200 * time.Millisecond)
		site.assertDuring(t, 500*time.Millisecond, "c is kept", usesOnly("a", "b", "c"))
		s.putReport("c", 2, fleet.Ready)
		site.assertDuring(t, 5*time.Second, "c is listed again", usesOnly("a", "b", "c"))
	})
}

// hasOrder returns whether the order for the service s is that for a version.
func hasOrder(version string) func(*fleet.View) bool {
	return func(v *fleet.View) bool { return v.Orders["s"].Version == version }
}

// Guards against an order that is taken for removed because the newest record of its key cannot be decoded.
func TestUnusableNewestRecordRemovesNothing(t *testing.T) {
	for name, era := range map[string]int64{"era unknown": 0, "era known": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEraSource()
				s.era = era
				s.put(fleet.Operators, "rollout/s", "v2")
				site := startSlowSite(t, s, 4)
				time.Sleep(settleTime)
				s.put(fleet.Operators, "rollout/s", 7) // no version
				site.assertWithin(t, applyTime, "the order stays", hasOrder("v2"))
				s.locked(func() { s.firstKept[fleet.Operators] = int64(len(s.records[fleet.Operators])) })
				s.put(fleet.Operators, "passau", true)
				s.locked(func() { s.firstKept[fleet.Operators]++ })
				site.assertWithin(t, applyTime, "the newest records are read", isOut("passau"))
				site.assertWithin(t, 0, "the order stays", hasOrder("v2"))
			})
		})
	}
}

// Guards against a site that follows the copy because the host that reads it first started shortly before and does not know what was
// removed before its start.
func TestHostThatStartsBeforeARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := newSlowSite(s, 5)
		for i := range 4 {
			site.start(t, i+1)
		}
		time.Sleep(settleTime)
		s.put(fleet.Operators, "rollout/s", "v1")
		s.put(fleet.Operators, "landshut", true)
		time.Sleep(applyTime)
		s.put(fleet.Operators, "landshut", nil)
		s.put(fleet.Operators, "rollout/s", "v2")
		s.put(fleet.Upstreams, "a", nil)
		time.Sleep(applyTime)
		site.start(t, 0) // the first in the order of readers
		time.Sleep(time.Second)
		kept := func(v *fleet.View) bool { return !isOut("landshut")(v) && hasOrder("v2")(v) && usesOnly("b")(v) }
		site.assertWithin(t, 0, "all changes are in force", kept)
		s.restore(fleet.Operators, 2)
		s.locked(func() { s.records[fleet.Upstreams] = s.records[fleet.Upstreams][:2:2] })
		site.assertDuring(t, 3*time.Second, "all is kept", kept)
	})
}

// Guards against a copy that comes into force while the store is away again, so that nothing could be written.
func TestGraceLastsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := startSlowSite(t, s, 4)
		time.Sleep(settleTime)
		s.put(fleet.Operators, "passau", true)
		s.put(fleet.Upstreams, "a", nil)
		kept := func(v *fleet.View) bool { return isOut("passau")(v) && usesOnly("b")(v) }
		site.assertWithin(t, applyTime, "the changes are in force", kept)
		s.restore(fleet.Operators, 1)
		s.locked(func() { s.records[fleet.Upstreams] = s.records[fleet.Upstreams][:2:2] })
		time.Sleep(applyTime)
		s.locked(func() { s.broken = true })
		site.assertDuring(t, 15*time.Second, "all is kept", kept)
		s.locked(func() { s.broken = false })
		s.put(fleet.Upstreams, "a", nil)
		site.assertWithin(t, 15*time.Second, "the record is given up", func(v *fleet.View) bool { return !isOut("passau")(v) })
	})
}

// Guards against hosts that later ones do not find, because their addresses are missing from the copy.
func TestHostsAnnounceThemselvesAgainAfterARestore(t *testing.T) {
	const hosts = 12
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		startSlowSite(t, s, hosts)
		time.Sleep(settleTime)
		assertAnnounced(t, s, hosts)
		s.restore(fleet.Hosts, hosts)
		time.Sleep(applyTime)
		assertAnnounced(t, s, hosts)
		time.Sleep(settleTime)
		s.locked(func() {
			if n := len(s.records[fleet.Hosts]); n != hosts {
				t.Errorf("%d addresses written after the restore, want one of each of %d hosts", n, hosts)
			}
		})
	})
}

// assertAnnounced checks that the store holds the addresses of n hosts.
func assertAnnounced(t *testing.T, s *countingSource, n int) {
	t.Helper()
	records, _, err := s.memorySource.Newest(t.Context(), fleet.Hosts)
	if err != nil || len(records) != n {
		t.Errorf("%d hosts announced, error %v, want %d", len(records), err, n)
	}
}

// Guards against a site that follows the copy because a host that started lately took what another such host remembers for all.
func TestHostsThatStartTogetherBeforeARestore(t *testing.T) {
	for _, old := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d older hosts", old), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts = 8
				s := newEraSource()
				site := newSlowSite(s, hosts)
				for i := hosts - old; i < hosts; i++ {
					site.start(t, i)
				}
				time.Sleep(eraLearnTime + time.Second)
				s.put(fleet.Operators, "passau", true)
				time.Sleep(applyTime)
				s.put(fleet.Operators, "passau", nil)
				s.put(fleet.Upstreams, "a", nil)
				time.Sleep(applyTime)
				for i := range hosts - old {
					site.start(t, i)
				}
				time.Sleep(2 * time.Second)
				s.restore(fleet.Operators, 1)
				s.locked(func() { s.records[fleet.Upstreams] = s.records[fleet.Upstreams][:2:2] })
				site.assertDuring(t, 6*time.Second, "the changes stay in force", func(v *fleet.View) bool {
					return !isOut("passau")(v) && usesOnly("b")(v)
				})
			})
		})
	}
}

// Guards against a host that holds back a record that another one has seen written after the restore.
func TestCopyAfterAWriteInTheEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraSource()
		site := newSlowSite(s, 2)
		a, b := site.hosts[0], site.hosts[1]
		a.remembers.Store(true)
		s.put(fleet.Operators, "passau", true)
		site.readOperatorRecords(t)
		s.put(fleet.Operators, "passau", nil)
		site.readOperatorRecords(t)
		s.restore(fleet.Operators, 1)
		a.readOperatorRecords(t)
		s.put(fleet.Operators, "passau", true)
		if err := a.readChanges(t.Context(), a.operatorStream()); err != nil {
			t.Fatal(err)
		}
		if err := b.copyFromHost(t.Context(), mesh.Member{Host: hostName(0)}); err != nil {
			t.Fatal(err)
		}
		for _, h := range site.hosts {
			if !isOut("passau")(h.View()) {
				t.Errorf("not in force at %s", h.deps.Host)
			}
		}
	})
}

// readOperatorRecords reads the newest operators' records at all hosts.
func (s *slowSite) readOperatorRecords(t *testing.T) {
	t.Helper()
	for _, h := range s.hosts {
		h.readOperatorRecords(t)
	}
}

func (h *slowHost) readOperatorRecords(t *testing.T) {
	t.Helper()
	if err := h.readNewest(t.Context(), h.operatorStream()); err != nil {
		t.Fatal(err)
	}
}
