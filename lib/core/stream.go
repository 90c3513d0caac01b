package core

import (
	"strconv"
	"time"

	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/order"
)

// Intervals at which the reducer polls the platform. The host list costs one small read. Claims are read more often
// while an order waits for its own claim.
const (
	hostListInterval  = 250 * time.Millisecond
	confInterval      = 200 * time.Millisecond
	claimInterval     = 200 * time.Millisecond
	claimFastInterval = 10 * time.Millisecond
	// pollTimeout is the time after which an unanswered read is sent again.
	pollTimeout = 5 * time.Second
)

// platformPolls holds the schedules of the reads from the platform and the state of the checkpoint appends.
type platformPolls struct {
	conf, claims, hostList poll
	// logAnswers reports that the last read of the configuration stream succeeded.
	logAnswers bool
	// appendID numbers the appends of checkpoints; checkpointPending reports that one is in progress.
	appendID          uint64
	checkpointPending bool
}

// poll is the schedule of one periodic read; at most one read is in progress.
type poll struct {
	due     time.Duration
	pending bool
}

// finish schedules the next read after one has ended.
func (p *poll) finish(now, interval time.Duration) { *p = poll{due: now + interval} }

// tryStart reports whether to read now, and records that a read is in progress. No other read starts until this one
// ends or pollTimeout has passed.
func (p *poll) tryStart(now time.Duration) bool {
	if now < p.due {
		return false
	}
	*p = poll{due: now + pollTimeout, pending: true}
	return true
}

// expedite makes the next read due at once, unless a read is in progress.
func (p *poll) expedite(now time.Duration) {
	if !p.pending {
		p.due = min(p.due, now)
	}
}

func (st *platformPolls) wake() time.Duration {
	return min(st.conf.due, st.claims.due, st.hostList.due)
}

// pollPlatform sends the reads that are due.
func (s *State) pollPlatform() {
	st := &s.polls
	if s.dedup.PendingClaims() > 0 && !st.claims.pending {
		st.claims.due = min(st.claims.due, s.now+claimFastInterval)
	}
	if st.hostList.tryStart(s.now) {
		s.emit(ReadHostList{})
	}
	if st.conf.tryStart(s.now) {
		s.emit(ReadLog{Stream: StreamConfig, From: s.conf.Next()})
	}
	if st.claims.tryStart(s.now) {
		s.emit(ReadLog{Stream: StreamClaims, From: s.dedup.NextOffset()})
	}
}

func (s *State) logRead(ev LogRead) {
	switch ev.Stream {
	case StreamConfig:
		s.confRead(ev)
	case StreamClaims:
		s.claimsRead(ev)
	}
}

func (s *State) logReadFailed(stream Stream) {
	switch stream {
	case StreamConfig:
		s.polls.logAnswers = false
		s.polls.conf.finish(s.now, confInterval)
	case StreamClaims:
		s.polls.claims.finish(s.now, claimInterval)
	}
}

func (s *State) confRead(ev LogRead) {
	st := &s.polls
	st.logAnswers = true
	st.conf.finish(s.now, confInterval)
	records := make([]conf.Record, 0, len(ev.Records))
	for _, r := range ev.Records {
		records = append(records, conf.Record(r))
	}
	before := s.conf.Next()
	changed := s.conf.Apply(conf.Batch{Records: records, First: ev.First, Next: ev.Next, SentAt: ev.SentAt})
	if s.conf.Next() < ev.Next && s.conf.Next() > before {
		st.conf.expedite(s.now)
		s.pollPlatform()
	}
	if changed {
		s.applyConfiguration()
	}
	s.appendCheckpoint(ev)
}

// appendCheckpoint appends a checkpoint when one is due, so that the log's retention does not remove the
// configuration.
func (s *State) appendCheckpoint(ev LogRead) {
	st := &s.polls
	if st.checkpointPending || !s.conf.CheckpointDue(s.now, s.rand(), ev.First, ev.Next, s.cfg.Timing.Retention) {
		return
	}
	st.checkpointPending = true
	st.appendID++
	s.emit(Append{Stream: StreamConfig, AppendID: st.appendID, Data: s.conf.Checkpoint()})
}

// applyConfiguration puts a changed configuration into force and announces its version to the other hosts at once.
func (s *State) applyConfiguration() {
	s.topo.view = s.conf.View()
	s.rebuild()
	s.members.HeartbeatNow(s.now)
	s.notice(false, "configuration", "version", strconv.FormatInt(s.conf.Version(), 10))
}

func (s *State) claimsRead(ev LogRead) {
	st := &s.polls
	st.claims.finish(s.now, claimInterval)
	records := make([]order.Record, 0, len(ev.Records))
	for _, r := range ev.Records {
		records = append(records, order.Record(r))
	}
	before := s.dedup.NextOffset()
	s.applyVerdicts(s.dedup.Apply(s.now, order.Batch{Records: records, First: ev.First, Next: ev.Next}))
	if s.dedup.NextOffset() < ev.Next && s.dedup.NextOffset() > before {
		st.claims.expedite(s.now)
	}
	s.pollPlatform()
}

// appendClaims appends the claims that are due.
func (s *State) appendClaims() {
	for {
		a, ok := s.dedup.PrepareAppend(s.now, s.listedHosts())
		if !ok {
			return
		}
		s.emit(Append{Stream: StreamClaims, AppendID: a.ID, Data: a.Data})
	}
}

// listedHosts returns the number of listed hosts, which share the log; it is at least one.
func (s *State) listedHosts() int { return max(1, len(s.topo.addresses)) }

func (s *State) appendEnded(ev AppendEnded) {
	if ev.Stream == StreamConfig {
		s.polls.checkpointPending = false
		return
	}
	result := order.AppendUnknown
	switch {
	case ev.Answered:
		result = order.AppendConfirmed
	case ev.NotApplied:
		result = order.AppendNotApplied
	}
	s.dedup.FinishAppend(s.now, ev.AppendID, result)
	s.polls.claims.expedite(s.now)
	s.pollPlatform()
}
