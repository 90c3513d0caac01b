package conf

import (
	"maps"
	"time"
)

// Store decides the configuration of one host. Its state at a version depends only on the log up to that version, however
// the host got there. It is not safe for concurrent use.
type Store struct {
	// version is the offset of the last record decided; it never decreases.
	version int64
	// next is the offset to read from: version+1, or beyond it while searching for a checkpoint.
	next int64
	// searching is true while retention has removed records between version and next.
	searching bool
	items     map[Item]entry
	decided   map[ProposalID]Decision
	// order holds the keys of decided, oldest decision first.
	order []ProposalID
	// view is the view of the last call of View; it is out of date if changed is true.
	view    View
	changed bool
	// known is true if the configuration was known to be current at knownAt, at knownVersion.
	known        bool
	knownAt      time.Duration
	knownVersion int64
	// tailAt is when a read first reached the tail.
	tailAt time.Duration
	// seenNext is the highest offset of the next append that a read returned.
	seenNext int64
	saved    saved
}

// NewStore returns a store that has decided nothing.
func NewStore() *Store {
	return &Store{
		version: NoVersion,
		items:   make(map[Item]entry),
		decided: make(map[ProposalID]Decision),
		view:    newView(NoVersion, nil),
		saved:   saved{version: NoVersion},
	}
}

// View returns the configuration in force.
func (s *Store) View() View {
	if s.changed || s.view.version != s.version {
		s.view = newView(s.version, maps.Clone(s.items))
		s.changed = false
	}
	return s.view
}

// Version returns the offset of the last record that was decided; it never decreases.
func (s *Store) Version() int64 { return s.version }

// Next returns the offset from which to read the stream next.
func (s *Store) Next() int64 { return s.next }

// Apply decides the records of a read in offset order and reports whether the view changed. Records below Next are ignored;
// a gap that retention tore is closed only by a checkpoint.
func (s *Store) Apply(b Batch) bool {
	before := s.version
	s.seenNext = max(s.seenNext, b.Next)
	if b.First > s.next {
		s.searching, s.next = true, b.First
	}
	for _, r := range b.Records {
		if r.Offset < s.next {
			continue
		}
		if r.Offset > s.next {
			break
		}
		if !s.searching {
			s.decide(r)
		} else if s.search(r, b.First) {
			break
		}
	}
	if !s.searching && s.version+1 == b.Next {
		s.current(b.SentAt)
	}
	return s.version != before
}

// current records that the configuration contained the whole log at the given time.
func (s *Store) current(at time.Duration) {
	if !s.known {
		s.tailAt = at
	}
	if !s.known || at > s.knownAt {
		s.known, s.knownAt, s.knownVersion = true, at, s.version
	}
}

// decide decides the record that follows version. A record that cannot be decoded changes only the version.
func (s *Store) decide(r Record) {
	s.version, s.next = r.Offset, r.Offset+1
	p, c, err := decode(r.Data)
	if err != nil {
		return
	}
	if c != nil {
		s.noteCheckpoint(c.version)
		return
	}
	if _, ok := s.decided[p.ID]; ok {
		return
	}
	s.remember(p.ID, s.decideProposal(p, r.Offset))
}

func (s *Store) decideProposal(p *Proposal, offset int64) Decision {
	e, ok := s.items[p.Item]
	if !ok {
		e.version = NoVersion
	}
	if p.Base != e.version {
		return Decision{Result: Conflict, Version: offset, Current: e.version}
	}
	if !ok && len(s.items) >= MaxItems && !s.makeRoom() {
		return Decision{Result: Full, Version: offset, Current: e.version}
	}
	s.items[p.Item] = entry{value: p.Value, version: offset}
	s.changed = true
	return Decision{Result: Accepted, Version: offset, Current: offset}
}

// makeRoom removes the longest unchanged data centre or upstream that is in service, which has the same meaning as no item.
// Names of replaced upstreams would fill the configuration otherwise.
func (s *Store) makeRoom() bool {
	var oldest Item
	version := NoVersion
	for item, e := range s.items {
		if item.Kind != KindClass && !e.value.Out && (version == NoVersion || e.version < version) {
			oldest, version = item, e.version
		}
	}
	if version == NoVersion {
		return false
	}
	delete(s.items, oldest)
	return true
}

// search looks for a checkpoint after a gap. It is usable only if the log still holds every record after its version.
func (s *Store) search(r Record, first int64) bool {
	s.next = r.Offset + 1
	_, c, err := decode(r.Data)
	if err != nil || c == nil || c.version+1 < first || c.version >= r.Offset {
		return false
	}
	if !s.install(c) {
		return false
	}
	s.noteCheckpoint(c.version)
	return true
}

// Lost reports that the log's retained part neither continues this store nor contains a usable checkpoint, as of the last read.
// Only another host's checkpoint helps.
func (s *Store) Lost() bool { return s.searching && s.next >= s.seenNext }

// Decision returns the decision on a proposal while it is remembered.
func (s *Store) Decision(id ProposalID) (Decision, bool) {
	d, ok := s.decided[id]
	return d, ok
}

// Age returns the time since this host knew its configuration to be current; negative means never.
func (s *Store) Age(now time.Duration) time.Duration {
	if !s.known {
		return -1
	}
	return max(0, now-s.knownAt)
}

// Adopt takes over the age that another host's heartbeat reported with its version. EchoSentAt is the time at which this host sent the
// heartbeat that the other one echoed: the other host took its age after that.
func (s *Store) Adopt(version int64, age, echoSentAt time.Duration) {
	if version != s.version || age < 0 {
		return
	}
	s.current(echoSentAt - age)
}

// Fresh reports whether the age is at most FreshFor.
func (s *Store) Fresh(now time.Duration) bool {
	age := s.Age(now)
	return age >= 0 && age <= FreshFor
}

// MayServe reports whether this host may accept new work: it is fresh, or it reaches a majority of the listed hosts (itself included)
// and none of those has a newer version or a log that answers. Reached holds the other listed hosts that are reachable.
func (s *Store) MayServe(now time.Duration, listed int, reached []Peer) bool {
	if s.Fresh(now) {
		return true
	}
	if s.seenNext > s.version+1 {
		return false
	}
	for _, p := range reached {
		if p.Version > s.version || p.LogAnswers {
			return false
		}
	}
	return 2*(len(reached)+1) > listed
}
