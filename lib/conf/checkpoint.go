package conf

import (
	"slices"
	"time"
)

// checkpoint is the complete state of a store at one version.
type checkpoint struct {
	version int64
	items   map[Item]entry
	// decided is in the order of the decisions, oldest first.
	decided []remembered
}

type remembered struct {
	id       ProposalID
	decision Decision
}

// askAgain is the shortest time between two checkpoints of one host, so that slow appends do not pile up.
const askAgain = 5 * time.Second

func (w *wireCheckpoint) checkpoint() (*checkpoint, error) {
	if w.Version < 0 {
		return nil, &RecordError{Problem: "checkpoint without a version"}
	}
	c := &checkpoint{version: w.Version, items: make(map[Item]entry, len(w.Items))}
	for _, wi := range w.Items {
		item, err := ParseItem(wi.Item)
		if err != nil {
			return nil, &RecordError{Problem: "bad item", Err: err}
		}
		value, err := fromWire(item.Kind, wi.Value)
		if err != nil {
			return nil, err
		}
		if item.Kind == KindClass {
			if err := value.Class.check(); err != nil {
				return nil, &RecordError{Problem: "invalid class", Err: err}
			}
		}
		if _, ok := c.items[item]; ok || wi.Version < 0 || wi.Version > w.Version {
			return nil, &RecordError{Problem: "repeated item or item of a later version"}
		}
		c.items[item] = entry{value: value, version: wi.Version}
	}
	return c, c.addDecided(w.Decided)
}

func (c *checkpoint) addDecided(list []wireDecision) error {
	if len(list) > MaxDecisions {
		return &RecordError{Problem: "too many decisions"}
	}
	last := NoVersion
	ids := make(map[string]bool, len(list))
	for _, d := range list {
		if ids[d.ID] {
			return &RecordError{Problem: "repeated decision"}
		}
		ids[d.ID] = true
		if checkName("proposalId", d.ID) != nil || d.Version <= last || d.Version > c.version ||
			d.Current < NoVersion || d.Current > d.Version || Result(d.Result) < Accepted || Result(d.Result) > Full {
			return &RecordError{Problem: "bad decision"}
		}
		last = d.Version
		c.decided = append(c.decided, remembered{
			id:       ProposalID(d.ID),
			decision: Decision{Result: Result(d.Result), Version: d.Version, Current: d.Current},
		})
	}
	return nil
}

// Checkpoint encodes the state of the store for other hosts and for the log; nil if nothing was decided.
func (s *Store) Checkpoint() []byte {
	if s.version == NoVersion {
		return nil
	}
	w := &wireCheckpoint{Version: s.version, Items: []wireItem{}, Decided: []wireDecision{}}
	for _, item := range sortedItems(s.items) {
		e := s.items[item]
		w.Items = append(w.Items, wireItem{Item: item.String(), Version: e.version, Value: toWire(item.Kind, e.value)})
	}
	for _, id := range s.order {
		d := s.decided[id]
		w.Decided = append(w.Decided, wireDecision{
			ID: string(id), Result: int(d.Result), Version: d.Version, Current: d.Current,
		})
	}
	data, err := encode(wireRecord{Checkpoint: w})
	if err != nil {
		// The wire types hold only plain values, which the encoder always accepts.
		panic(err)
	}
	return data
}

// ApplyCheckpoint takes over another host's checkpoint if it is newer, and reports whether the view changed. It fails with
// *RecordError.
func (s *Store) ApplyCheckpoint(data []byte) (bool, error) {
	_, c, err := decode(data)
	if err != nil {
		return false, err
	}
	if c == nil {
		return false, &RecordError{Problem: "not a checkpoint"}
	}
	return s.install(c), nil
}

// install replaces the state by a newer one; an older one is ignored, because a host never goes back.
func (s *Store) install(c *checkpoint) bool {
	if c.version <= s.version {
		return false
	}
	s.version = c.version
	s.next = c.version + 1
	s.searching = false
	s.items = c.items
	s.decided = make(map[ProposalID]Decision, len(c.decided))
	s.order = s.order[:0:0]
	for _, r := range c.decided {
		s.decided[r.id] = r.decision
		s.order = append(s.order, r.id)
	}
	s.changed = true
	return true
}

// noteCheckpoint remembers the newest checkpoint in the log. Whatever was appended after the last read that reached the tail
// is younger than that read; the age of a checkpoint met while catching up is unknown.
func (s *Store) noteCheckpoint(version int64) {
	if version < s.saved.version {
		return
	}
	s.saved.version = version
	s.saved.drawn = false
	if s.known && version >= s.knownVersion {
		s.saved.dated, s.saved.at = true, s.knownAt
	}
}

// saved is what a store knows about the newest checkpoint in the log.
type saved struct {
	version int64
	// dated is true if the checkpoint is known to have been appended after at.
	dated bool
	at    time.Duration
	// spread is this host's share of the spreading interval, drawn once for each checkpoint.
	spread float64
	drawn  bool
	// asked is the time of the last positive answer of CheckpointDue.
	asked    time.Duration
	hasAsked bool
}

// CheckpointDue reports whether this host should append Checkpoint to the log, given the first and next offset of its last read and
// the log's retention (zero if unknown). A random number spreads the hosts, so that usually one of them appends. A host that has just
// started does not know how old the newest checkpoint is, so it appends one soon: otherwise hosts that all live shorter
// than half the retention would let the last checkpoint lapse.
func (s *Store) CheckpointDue(now time.Duration, rnd uint64, first, next int64, retention time.Duration) bool {
	if s.version == NoVersion || s.searching || s.version+1 != next || !s.known {
		return false
	}
	if s.saved.hasAsked && now-s.saved.asked < askAgain {
		return false
	}
	if !s.saved.drawn {
		s.saved.drawn, s.saved.spread = true, float64(rnd%1024)/1024
	}
	if !s.due(now, first, next, retention) {
		return false
	}
	s.saved.asked, s.saved.hasAsked = now, true
	return true
}

func (s *Store) due(now time.Duration, first, next int64, retention time.Duration) bool {
	// The records after the checkpoint must be retained as long as the checkpoint is needed.
	if first > 0 && 2*(s.saved.version+1-first) < next-first {
		return true
	}
	eighth := float64(retention) / 8
	if !s.saved.dated {
		return now >= s.tailAt+time.Duration(s.saved.spread*eighth)
	}
	return retention > 0 && now-s.saved.at >= time.Duration((3+s.saved.spread)*eighth)
}

// remember stores a decision and forgets the oldest one above MaxDecisions.
func (s *Store) remember(id ProposalID, d Decision) {
	s.decided[id] = d
	s.order = append(s.order, id)
	if len(s.order) > MaxDecisions {
		delete(s.decided, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
}
