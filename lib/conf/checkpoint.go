package conf

import (
	"fmt"
	"slices"
	"time"
)

// checkpoint is the complete state of a store at one version.
type checkpoint struct {
	version int64
	items   map[Item]entry
	// decisions holds the remembered decisions, oldest first.
	decisions []decidedProposal
}

// decidedProposal is a proposal's ID and the decision on it.
type decidedProposal struct {
	id       ProposalID
	decision Decision
}

// minCheckpointInterval is the minimum time between two checkpoints that one host appends, so that slow appends do not
// accumulate.
const minCheckpointInterval = 5 * time.Second

// checkpoint validates the decoded checkpoint and converts it. It fails with *RecordError.
func (w *wireCheckpoint) checkpoint() (*checkpoint, error) {
	if w.Version < 0 {
		return nil, &RecordError{Problem: fmt.Sprintf("checkpoint version %d is negative", w.Version)}
	}
	c := &checkpoint{version: w.Version, items: make(map[Item]entry, len(w.Items))}
	for _, wi := range w.Items {
		item, err := ParseItem(wi.Item)
		if err != nil {
			return nil, &RecordError{Problem: "checkpoint contains an invalid item", Err: err}
		}
		value, err := valueFromWire(item.Kind, wi.Value)
		if err != nil {
			return nil, err
		}
		if item.Kind == KindClass {
			if err := value.Class.check(); err != nil {
				return nil, &RecordError{Problem: "checkpoint contains an invalid class", Err: err}
			}
		}
		if _, ok := c.items[item]; ok || wi.Version < 0 || wi.Version > w.Version {
			return nil, &RecordError{Problem: fmt.Sprintf("checkpoint contains item %s twice, or with the invalid version %d", item, wi.Version)}
		}
		c.items[item] = entry{value: value, version: wi.Version}
	}
	return c, c.addDecisions(w.Decided)
}

// addDecisions validates the decisions of a decoded checkpoint and adds them. Versions must ascend.
func (c *checkpoint) addDecisions(list []wireDecision) error {
	if len(list) > MaxDecisions {
		return &RecordError{Problem: fmt.Sprintf("checkpoint has %d decisions, the maximum is %d", len(list), MaxDecisions)}
	}
	last := NoVersion
	ids := make(map[string]bool, len(list))
	for _, d := range list {
		if ids[d.ID] {
			return &RecordError{Problem: fmt.Sprintf("checkpoint contains two decisions on proposal %q", d.ID)}
		}
		ids[d.ID] = true
		if checkName("proposalId", d.ID) != nil || d.Version <= last || d.Version > c.version ||
			d.Current < NoVersion || d.Current > d.Version || Result(d.Result) < Accepted || Result(d.Result) > Full {
			return &RecordError{Problem: fmt.Sprintf("checkpoint contains an invalid decision at version %d", d.Version)}
		}
		last = d.Version
		c.decisions = append(c.decisions, decidedProposal{
			id:       ProposalID(d.ID),
			decision: Decision{Result: Result(d.Result), Version: d.Version, Current: d.Current},
		})
	}
	return nil
}

// Checkpoint encodes the state of the store for other hosts and for the log. It returns nil if no record was applied.
func (s *Store) Checkpoint() []byte {
	if s.version == NoVersion {
		return nil
	}
	w := &wireCheckpoint{Version: s.version, Items: []wireItem{}, Decided: []wireDecision{}}
	for _, item := range sortedItems(s.items) {
		e := s.items[item]
		w.Items = append(w.Items, wireItem{Item: item.String(), Version: e.version, Value: valueToWire(item.Kind, e.value)})
	}
	for _, id := range s.decisionOrder {
		d := s.decisions[id]
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

// ApplyCheckpoint replaces the state with another host's checkpoint if that is newer, and reports whether it did. It
// fails with *RecordError.
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

// install replaces the state with a newer checkpoint and reports whether it did. An older checkpoint is ignored,
// because a host's version never decreases.
func (s *Store) install(c *checkpoint) bool {
	if c.version <= s.version {
		return false
	}
	s.version = c.version
	s.next = c.version + 1
	s.searching = false
	s.items = c.items
	s.decisions = make(map[ProposalID]Decision, len(c.decisions))
	s.decisionOrder = s.decisionOrder[:0:0]
	for _, r := range c.decisions {
		s.decisions[r.id] = r.decision
		s.decisionOrder = append(s.decisionOrder, r.id)
	}
	s.viewStale = true
	return true
}

// updateLastCheckpoint records the version of the newest checkpoint in the log. A checkpoint whose version is not below
// currentVersion was appended after currentAt, which bounds its age. The age of an earlier checkpoint, read while
// catching up, is unknown.
func (s *Store) updateLastCheckpoint(version int64) {
	if version < s.lastCheckpoint.version {
		return
	}
	s.lastCheckpoint.version = version
	s.lastCheckpoint.jitterDrawn = false
	if s.hasBeenCurrent && version >= s.currentVersion {
		s.lastCheckpoint.ageKnown, s.lastCheckpoint.appendedAfter = true, s.currentAt
	}
}

// checkpointInfo describes the newest known checkpoint in the log and this host's schedule for the next one.
type checkpointInfo struct {
	version int64
	// ageKnown is true if the checkpoint is known to have been appended after the time appendedAfter.
	ageKnown      bool
	appendedAfter time.Duration
	// jitter is the fraction (0 to below 1) of an eighth of the retention by which this host delays its checkpoint.
	// It is drawn once for each checkpoint.
	jitter      float64
	jitterDrawn bool
	// lastDueAt is the time at which CheckpointDue last returned true; it is set if hasBeenDue.
	lastDueAt  time.Duration
	hasBeenDue bool
}

// CheckpointDue reports whether this host should append the result of Checkpoint to the log now. first and next are
// Batch.First and Batch.Next of the last read; retention is how long the log keeps records, zero if unknown. The random
// number spreads the hosts over time, so that usually only one of them appends. A host that has just started does not
// know how old the newest checkpoint is, so it appends one soon: if every host ran for less than half the retention,
// the log would otherwise delete the last checkpoint before a new one was appended.
func (s *Store) CheckpointDue(now time.Duration, random uint64, first, next int64, retention time.Duration) bool {
	if s.version == NoVersion || s.searching || s.version+1 != next || !s.hasBeenCurrent {
		return false
	}
	if s.lastCheckpoint.hasBeenDue && now-s.lastCheckpoint.lastDueAt < minCheckpointInterval {
		return false
	}
	if !s.lastCheckpoint.jitterDrawn {
		s.lastCheckpoint.jitterDrawn, s.lastCheckpoint.jitter = true, float64(random%1024)/1024
	}
	if !s.needsCheckpoint(now, first, next, retention) {
		return false
	}
	s.lastCheckpoint.lastDueAt, s.lastCheckpoint.hasBeenDue = now, true
	return true
}

// needsCheckpoint reports whether the log needs a new checkpoint. One is due when the newest has reached 3/8 to 1/2 of
// the retention, depending on the jitter. If the age of the newest is unknown, one is due within 1/8 of the retention
// after the store first held the whole log.
func (s *Store) needsCheckpoint(now time.Duration, first, next int64, retention time.Duration) bool {
	// A checkpoint is usable only while the log retains all records after its version. A new one is due before retention
	// by size reaches them: when the checkpoint's version lies in the older half of the retained log.
	if first > 0 && 2*(s.lastCheckpoint.version+1-first) < next-first {
		return true
	}
	eighth := float64(retention) / 8
	if !s.lastCheckpoint.ageKnown {
		return now >= s.firstCurrentAt+time.Duration(s.lastCheckpoint.jitter*eighth)
	}
	return retention > 0 && now-s.lastCheckpoint.appendedAfter >= time.Duration((3+s.lastCheckpoint.jitter)*eighth)
}

// storeDecision stores a decision and deletes the oldest one if there are more than MaxDecisions.
func (s *Store) storeDecision(id ProposalID, d Decision) {
	s.decisions[id] = d
	s.decisionOrder = append(s.decisionOrder, id)
	if len(s.decisionOrder) > MaxDecisions {
		delete(s.decisions, s.decisionOrder[0])
		s.decisionOrder = slices.Delete(s.decisionOrder, 0, 1)
	}
}
