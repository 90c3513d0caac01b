package conf

import (
	"maps"
	"time"
)

// Store is the replicated configuration on one host. Its state at a version depends only on the log up to that version,
// whether the host applied the records or a checkpoint. It is not safe for concurrent use.
type Store struct {
	// version is the offset of the last applied record. It never decreases.
	version int64
	// next is the offset of the next read: version+1, or a later offset while searching for a checkpoint.
	next int64
	// searching is true while the store looks for a checkpoint, because the log has deleted records after version.
	searching bool
	items     map[Item]entry
	decisions map[ProposalID]Decision
	// decisionOrder holds the keys of decisions, oldest decision first.
	decisionOrder []ProposalID
	// view caches the result of View; viewStale is true if items changed since.
	view      View
	viewStale bool
	// hasBeenCurrent is true once the store is known to have held the whole log. currentAt is the latest such time and
	// currentVersion the version at that time.
	hasBeenCurrent bool
	currentAt      time.Duration
	currentVersion int64
	// firstCurrentAt is the time at which the store first held the whole log.
	firstCurrentAt time.Duration
	// logEnd is the highest Batch.Next that a read returned.
	logEnd         int64
	lastCheckpoint checkpointInfo
}

// NewStore returns an empty store at NoVersion.
func NewStore() *Store {
	return &Store{
		version:        NoVersion,
		items:          make(map[Item]entry),
		decisions:      make(map[ProposalID]Decision),
		view:           newView(NoVersion, nil),
		lastCheckpoint: checkpointInfo{version: NoVersion},
	}
}

// View returns the configuration in force.
func (s *Store) View() View {
	if s.viewStale || s.view.version != s.version {
		s.view = newView(s.version, maps.Clone(s.items))
		s.viewStale = false
	}
	return s.view
}

// Version returns the offset of the last applied record. It never decreases.
func (s *Store) Version() int64 { return s.version }

// Next returns the offset at which the next read of the log stream must start.
func (s *Store) Next() int64 { return s.next }

// Apply applies the records of a read in offset order and reports whether the version changed. Records below Next are
// ignored. If the log has already deleted records that the store lacks, only a checkpoint can replace them.
func (s *Store) Apply(b Batch) bool {
	before := s.version
	s.logEnd = max(s.logEnd, b.Next)
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
			s.decideRecord(r)
		} else if s.tryCheckpoint(r, b.First) {
			break
		}
	}
	if !s.searching && s.version+1 == b.Next {
		s.markCurrent(b.SentAt)
	}
	return s.version != before
}

// markCurrent records that the store held the whole log at the given time.
func (s *Store) markCurrent(at time.Duration) {
	if !s.hasBeenCurrent {
		s.firstCurrentAt = at
	}
	if !s.hasBeenCurrent || at > s.currentAt {
		s.hasBeenCurrent, s.currentAt, s.currentVersion = true, at, s.version
	}
}

// decideRecord applies the record that follows version. A record that cannot be decoded changes only the version.
func (s *Store) decideRecord(r Record) {
	s.version, s.next = r.Offset, r.Offset+1
	p, c, err := decode(r.Data)
	if err != nil {
		return
	}
	if c != nil {
		s.updateLastCheckpoint(c.version)
		return
	}
	if _, ok := s.decisions[p.ID]; ok {
		return
	}
	s.storeDecision(p.ID, s.decideProposal(p, r.Offset))
}

// decideProposal decides the proposal at an offset and applies it if it is accepted.
func (s *Store) decideProposal(p *Proposal, offset int64) Decision {
	e, ok := s.items[p.Item]
	if !ok {
		e.version = NoVersion
	}
	if p.Base != e.version {
		return Decision{Result: Conflict, Version: offset, Current: e.version}
	}
	if !ok && len(s.items) >= MaxItems && !s.evictOldest() {
		return Decision{Result: Full, Version: offset, Current: e.version}
	}
	s.items[p.Item] = entry{value: p.Value, version: offset}
	s.viewStale = true
	return Decision{Result: Accepted, Version: offset, Current: offset}
}

// evictOldest removes the least recently changed data centre or upstream that is in service, and reports whether there
// was one. An item in service means the same as no item. Without eviction, the IDs of replaced upstreams would fill the
// configuration.
func (s *Store) evictOldest() bool {
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

// tryCheckpoint installs the record if it is a usable checkpoint, and reports whether it did. A checkpoint is usable
// only if the log still holds every record after the checkpoint's version; first is the oldest retained offset.
func (s *Store) tryCheckpoint(r Record, first int64) bool {
	s.next = r.Offset + 1
	_, c, err := decode(r.Data)
	if err != nil || c == nil || c.version+1 < first || c.version >= r.Offset {
		return false
	}
	if !s.install(c) {
		return false
	}
	s.updateLastCheckpoint(c.version)
	return true
}

// NeedsPeerCheckpoint reports that, as of the last read, the retained log neither continues from this store's version
// nor contains a usable checkpoint. Only a checkpoint from another host lets the store catch up.
func (s *Store) NeedsPeerCheckpoint() bool { return s.searching && s.next >= s.logEnd }

// Decision returns the decision on a proposal. Only the last MaxDecisions decisions are kept.
func (s *Store) Decision(id ProposalID) (Decision, bool) {
	d, ok := s.decisions[id]
	return d, ok
}

// Age returns the time since the store is last known to have held the whole log. It is negative if the store is not known
// to have ever held it.
func (s *Store) Age(now time.Duration) time.Duration {
	if !s.hasBeenCurrent {
		return -1
	}
	return max(0, now-s.currentAt)
}

// AdoptAge adopts the age of the configuration that another host reported in a heartbeat, if both hosts are at the same
// version. echoedSentAt is the time at which this host sent the heartbeat that the other host's heartbeat echoed. The
// other host measured the age after that time, so the adopted age is never too low.
func (s *Store) AdoptAge(version int64, age, echoedSentAt time.Duration) {
	if version != s.version || age < 0 {
		return
	}
	s.markCurrent(echoedSentAt - age)
}

// Fresh reports whether the age is known and at most MaxFreshAge.
func (s *Store) Fresh(now time.Duration) bool {
	age := s.Age(now)
	return age >= 0 && age <= MaxFreshAge
}

// MayServe reports whether this host may accept new work. Either its configuration is fresh, or this host knows of no
// record that it lacks and reaches a majority of the listed hosts (itself included), none of which has a newer version
// or can read the log. listed is the number of listed hosts; reached holds the other listed hosts that are reachable.
func (s *Store) MayServe(now time.Duration, listed int, reached []PeerState) bool {
	if s.Fresh(now) {
		return true
	}
	if s.logEnd > s.version+1 {
		return false
	}
	for _, p := range reached {
		if p.Version > s.version || p.LogAnswers {
			return false
		}
	}
	return 2*(len(reached)+1) > listed
}
