package conf

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinecross.example/lib/common/ident"
)

var (
	passau   = DataCentreItem("passau")
	landshut = DataCentreItem("landshut")
)

// Guards against two proposals with the same base that are both accepted: two operators who propose at the same time
// would both be told that they won. The log also holds a retry of the first proposal, which must keep its first
// decision.
func TestConcurrentProposalsHaveOneWinner(t *testing.T) {
	var l fakeLog
	s := NewStore()
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	l.add(mustRecord(t, outProposal("b", passau, NoVersion, false)))
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	l.catchUp(s, 0)
	assertDecision(t, s, "a", Decision{Result: Accepted, Version: 0, Current: 0})
	assertDecision(t, s, "b", Decision{Result: Conflict, Version: 1, Current: 0})
	if !s.View().DataCentreOut("passau") || s.View().DataCentreOut("landshut") {
		t.Fatal("the accepted proposal is not in force, or another data centre is out")
	}
}

// Guards against a published class that is missing from the view, and against a view that changes after it was returned.
func TestPublishedClassIsInView(t *testing.T) {
	var l fakeLog
	s := NewStore()
	p := Proposal{ID: "a", Item: ClassItem("orders"), Base: NoVersion, Value: Value{Class: testClass}}
	l.add(mustRecord(t, p))
	before := s.View()
	l.catchUp(s, 0)
	assertClasses(t, s, "orders")
	if c, ok := s.View().Class("orders"); !ok || c != testClass {
		t.Fatalf("class: got %+v %v", c, ok)
	}
	if len(before.Classes()) != 0 {
		t.Fatal("a view returned earlier changed")
	}
}

// Guards against an undecodable, empty or oversized record that stops a host or makes hosts differ.
func TestUndecodableRecordOnlyAdvancesVersion(t *testing.T) {
	var l fakeLog
	s := NewStore()
	l.add([]byte("not a record"))
	l.add(nil)
	l.add(make([]byte, MaxRecordBytes+1))
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	l.catchUp(s, 0)
	if s.Version() != 3 || !s.View().DataCentreOut("passau") {
		t.Fatalf("version %d, want 3 with passau out of service", s.Version())
	}
}

// Guards against a full configuration that accepts no further item, because it keeps the items of replaced upstreams.
// Only upstream 7 is in service, so exactly one item can be evicted.
func TestFullConfigurationEvictsItemInService(t *testing.T) {
	var l fakeLog
	s := NewStore()
	for i := range MaxItems {
		item := UpstreamItem(ident.UpstreamID(fmt.Sprint(i)))
		l.add(mustRecord(t, outProposal(fmt.Sprint("p", i), item, NoVersion, i != 7)))
	}
	l.add(mustRecord(t, outProposal("x", passau, NoVersion, true)))
	l.add(mustRecord(t, outProposal("y", landshut, NoVersion, true)))
	s.Apply(l.read(0, MaxItems+2, 0))
	assertDecision(t, s, "x", Decision{Result: Accepted, Version: MaxItems, Current: MaxItems})
	assertDecision(t, s, "y", Decision{Result: Full, Version: MaxItems + 1, Current: NoVersion})
	if n := len(s.Checkpoint()); n > MaxRecordBytes {
		t.Fatalf("checkpoint has %d bytes, more than MaxRecordBytes", n)
	}
	other := NewStore()
	if _, err := other.ApplyCheckpoint(s.Checkpoint()); err != nil {
		t.Fatal(err)
	}
	assertSame(t, other, s)
}

// Guards against installing a checkpoint when the log has deleted records between the checkpoint's version and its
// offset: the store would skip those records.
func TestCheckpointOlderThanRetainedLogIsNotUsed(t *testing.T) {
	var l fakeLog
	writer := NewStore()
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	l.catchUp(writer, 0)
	saved := writer.Checkpoint()
	l.add(mustRecord(t, outProposal("b", landshut, NoVersion, true)))
	l.add(saved)
	l.catchUp(writer, 0)
	l.first = 2
	s := NewStore()
	l.catchUp(s, 0)
	if !s.NeedsPeerCheckpoint() || s.Version() != NoVersion {
		t.Fatalf("needs a checkpoint from another host: %v, version %d", s.NeedsPeerCheckpoint(), s.Version())
	}
	l.add(writer.Checkpoint())
	l.catchUp(s, 0)
	l.catchUp(writer, 0)
	assertSame(t, s, writer)
}

// Guards against an age that is too low: a stale configuration would count as fresh.
func TestConfigurationAge(t *testing.T) {
	const s1 = time.Second
	var l fakeLog
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	s := NewStore()
	t.Run("unknown before the first read", func(t *testing.T) {
		if s.Age(s1) >= 0 || s.Fresh(s1) {
			t.Fatal("the age is known without a read")
		}
	})
	t.Run("counts from the send time of the read", func(t *testing.T) {
		l.catchUp(s, 2*s1)
		if got := s.Age(6 * s1); got != 4*s1 || s.Fresh(6*s1) {
			t.Fatalf("age %v", got)
		}
	})
	t.Run("not reset by a read that misses the end of the log", func(t *testing.T) {
		b := l.read(0, 1, 5*s1)
		b.Next++
		s.Apply(b)
		if got := s.Age(6 * s1); got != 4*s1 {
			t.Fatalf("age %v", got)
		}
	})
	t.Run("adopted from the same version only", func(t *testing.T) {
		s.AdoptAge(s.Version()+1, 0, 6*s1)
		s.AdoptAge(s.Version(), -1, 6*s1)
		if got := s.Age(6 * s1); got != 4*s1 {
			t.Fatalf("age %v", got)
		}
		s.AdoptAge(s.Version(), s1, 5*s1)
		if got := s.Age(6 * s1); got != 2*s1 {
			t.Fatalf("age %v", got)
		}
	})
}

// Guards against a host with a stale configuration that accepts work while a majority of hosts may have a newer version.
func TestMayServe(t *testing.T) {
	var l fakeLog
	s := NewStore()
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	l.catchUp(s, 0)
	same, newer := PeerState{Version: s.Version()}, PeerState{Version: s.Version() + 1}
	stale := MaxFreshAge + 1
	for _, c := range []struct {
		name    string
		now     time.Duration
		reached []PeerState
		want    bool
	}{
		{"fresh and alone", MaxFreshAge, nil, true},
		{"stale with a majority", stale, []PeerState{same, same}, true},
		{"stale with half", stale, []PeerState{same}, false},
		{"a newer version", stale, []PeerState{same, same, newer}, false},
		{"a log that answers", stale, []PeerState{same, same, {Version: 0, LogAnswers: true}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := s.MayServe(c.now, 4, c.reached); got != c.want {
				t.Fatalf("got %v", got)
			}
		})
	}
	t.Run("records known to be missing", func(t *testing.T) {
		s.Apply(Batch{Next: 5})
		if s.MayServe(stale, 4, []PeerState{same, same, same}) {
			t.Fatal("accepts work although the log has records that the store lacks")
		}
	})
}

// Guards against retention deleting the last checkpoint before a new one is appended, and against every host appending
// one at the same time.
func TestCheckpointDue(t *testing.T) {
	const retention = 8 * time.Hour
	var l fakeLog
	s := NewStore()
	if s.CheckpointDue(0, 0, 0, 0, retention) {
		t.Fatal("due before any record was applied")
	}
	l.add(mustRecord(t, outProposal("a", passau, NoVersion, true)))
	l.catchUp(s, 0)
	if s.CheckpointDue(0, 512, 0, l.next(), retention) || !s.CheckpointDue(time.Hour/2, 512, 0, l.next(), retention) {
		t.Fatal("a starting host does not spread its checkpoint over an eighth of the retention")
	}
	l.add(s.Checkpoint())
	l.catchUp(s, time.Hour)
	if s.CheckpointDue(3*time.Hour, 512, 0, l.next(), retention) {
		t.Fatal("due after less than half of the retention")
	}
	if !s.CheckpointDue(4*time.Hour, 512, 0, l.next(), retention) {
		t.Fatal("not due after half of the retention")
	}
	for range 8 {
		l.add(nil)
	}
	l.catchUp(s, 4*time.Hour)
	l.first = 1
	if !s.CheckpointDue(4*time.Hour+minCheckpointInterval, 0, l.first, l.next(), 0) {
		t.Fatal("not due when retention by size approaches it")
	}
}

// storeMachine is a state machine for rapid. Its stores reach their versions by different reads, restarts and
// checkpoints; reference reads every record before retention deletes it.
type storeMachine struct {
	log           fakeLog
	reference     *Store
	stores        []*Store
	lastVersions  []int64
	itemVersions  map[Item]int64
	proposalCount int
}

func (m *storeMachine) propose(t *rapid.T) {
	item := rapid.SampledFrom([]Item{passau, landshut, UpstreamItem("u1"), UpstreamItem("u2")}).Draw(t, "item")
	base := NoVersion
	if v, ok := m.itemVersions[item]; ok && rapid.IntRange(0, 3).Draw(t, "stale") > 0 {
		base = v
	}
	id := rapid.IntRange(max(0, m.proposalCount-3), m.proposalCount).Draw(t, "id")
	m.proposalCount = max(m.proposalCount, id+1)
	p := outProposal(fmt.Sprint("p", id), item, base, rapid.Bool().Draw(t, "out"))
	data, err := NewProposal(p)
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
}

func (m *storeMachine) append(data []byte) {
	m.log.add(data)
	m.log.catchUp(m.reference, 0)
	for _, item := range m.reference.View().Items() {
		_, m.itemVersions[item] = m.reference.View().Item(item)
	}
}

func (m *storeMachine) pickStore(t *rapid.T) int {
	return rapid.IntRange(0, len(m.stores)-1).Draw(t, "store")
}

func (m *storeMachine) check(t *rapid.T) {
	for i, s := range m.stores {
		if s.Version() < m.lastVersions[i] {
			t.Fatalf("version of store %d decreased from %d to %d", i, m.lastVersions[i], s.Version())
		}
		m.lastVersions[i] = s.Version()
		replay := NewStore()
		replay.Apply(Batch{Records: m.allRecords()[:s.Version()+1], Next: m.log.next()})
		assertSame(t, s, replay)
	}
}

func (m *storeMachine) allRecords() []Record {
	whole := fakeLog{records: m.log.records}
	return whole.read(0, len(m.log.records), 0).Records
}

// Guards against stores that differ at equal versions or whose version decreases, for any sequence of partial and
// repeated reads, retention, restarts and checkpoints. It fails if install accepts an older checkpoint, if Apply treats
// records after a gap as the next ones, if decideRecord ignores earlier decisions, or if Apply skips the offset check.
func TestStoresAgreeAtEqualVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeMachine{reference: NewStore(), itemVersions: make(map[Item]int64)}
		for range 3 {
			m.stores = append(m.stores, NewStore())
			m.lastVersions = append(m.lastVersions, NoVersion)
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose,
			"garbage": func(*rapid.T) { m.append([]byte{0xff}) },
			"checkpoint": func(t *rapid.T) {
				if data := m.stores[m.pickStore(t)].Checkpoint(); data != nil {
					m.append(data)
				}
			},
			"read": func(t *rapid.T) {
				s := m.stores[m.pickStore(t)]
				from := max(0, s.Next()-int64(rapid.IntRange(-2, 3).Draw(t, "shift")))
				s.Apply(m.log.read(from, rapid.IntRange(1, 6).Draw(t, "limit"), 0))
			},
			"gossip": func(t *rapid.T) {
				from, to := m.stores[m.pickStore(t)], m.stores[m.pickStore(t)]
				if data := from.Checkpoint(); data != nil {
					if _, err := to.ApplyCheckpoint(data); err != nil {
						t.Fatal(err)
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := m.pickStore(t)
				m.stores[i], m.lastVersions[i] = NewStore(), NoVersion
			},
			"trim": func(t *rapid.T) {
				m.log.first = min(m.log.next(), m.log.first+int64(rapid.IntRange(0, 3).Draw(t, "n")))
			},
			"": m.check,
		})
	})
}

// Guards against a proposal that is appended to the log although hosts will reject it.
func TestInvalidProposalsAreRejected(t *testing.T) {
	good := Proposal{ID: "a", Item: ClassItem("orders"), Base: NoVersion, Value: Value{Class: testClass}}
	for name, change := range map[string]func(*Proposal){
		"no ID":           func(p *Proposal) { p.ID = "" },
		"unknown kind":    func(p *Proposal) { p.Item.Kind = "host" },
		"space in name":   func(p *Proposal) { p.Item.Name = "a b" },
		"negative base":   func(p *Proposal) { p.Base = -2 },
		"no service":      func(p *Proposal) { p.Value.Class.Service = "" },
		"no target":       func(p *Proposal) { p.Value.Class.Target = 0 },
		"target too late": func(p *Proposal) { p.Value.Class.Target = 3 * time.Second },
		"long deadline":   func(p *Proposal) { p.Value.Class.Deadline = time.Hour },
		"rank 0":          func(p *Proposal) { p.Value.Class.Rank = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			p := good
			change(&p)
			var invalid *InvalidError
			if _, err := NewProposal(p); !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want an InvalidError", err)
			}
		})
	}
}

// Guards against records that make decode panic, and against decoded records that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	var l fakeLog
	s := NewStore()
	class := Proposal{ID: "a", Item: ClassItem("orders"), Base: NoVersion, Value: Value{Class: testClass}}
	l.add(mustRecord(f, class))
	l.add(mustRecord(f, outProposal("b", passau, NoVersion, true)))
	l.catchUp(s, 0)
	f.Add(l.records[0])
	f.Add(l.records[1])
	f.Add(s.Checkpoint())
	f.Add([]byte{0xa1, 0x61, 0x78, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, c, err := decode(data)
		if err != nil {
			var bad *RecordError
			if !errors.As(err, &bad) {
				t.Fatalf("error is not a RecordError: %v", err)
			}
			return
		}
		if p != nil {
			mustRecord(t, *p)
			return
		}
		store := NewStore()
		store.install(c)
		other := NewStore()
		if _, err := other.ApplyCheckpoint(store.Checkpoint()); err != nil {
			t.Fatal(err)
		}
		assertSame(t, other, store)
	})
}

// BenchmarkApply measures applying one record, with a new view after each record and, as during catch-up, without.
func BenchmarkApply(b *testing.B) {
	for _, items := range []int{16, 128, 1024} {
		for _, view := range []bool{true, false} {
			b.Run(fmt.Sprintf("items=%d/view=%v", items, view), func(b *testing.B) { benchmarkApply(b, items, view) })
		}
	}
}

func benchmarkApply(b *testing.B, items int, view bool) {
	s := NewStore()
	records := make([][]byte, 4*items)
	for n := range records {
		item := UpstreamItem(ident.UpstreamID(fmt.Sprint(n % items)))
		records[n] = mustRecord(b, outProposal(fmt.Sprint("p", n), item, max(NoVersion, int64(n-items)), n%2 == 0))
	}
	n := 0
	for b.Loop() {
		s.Apply(Batch{Records: []Record{{Offset: int64(n), Data: records[n]}}, Next: int64(n + 1)})
		if n++; n == len(records) {
			s, n = NewStore(), 0
		}
		if view {
			_ = s.View()
		}
	}
}
