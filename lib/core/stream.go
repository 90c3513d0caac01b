package core

import (
	"strconv"
	"time"

	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/order"
)

// Intervals at which the reducer polls the platform. The host list costs one small read; claims are read faster
// while an order waits for its own claim.
const (
	hostListInterval  = 250 * time.Millisecond
	confInterval      = 200 * time.Millisecond
	claimInterval     = 200 * time.Millisecond
	claimFastInterval = 10 * time.Millisecond
	// pollLost is the time after which an unanswered read is sent again.
	pollLost = 5 * time.Second
)

// streams is what the reducer polls.
type streams struct {
	conf, claims, hostList poll
	// logAnswers reports that the last read of the configuration succeeded.
	logAnswers bool
	// appendID numbers the appends of checkpoints; checkpointing reports that one is under way.
	appendID      uint64
	checkpointing bool
}

// poll is the schedule of one repeated read; at most one read is under way.
type poll struct {
	due    time.Duration
	asking bool
}

// answered plans the next read after the end of one.
func (p *poll) answered(now, interval time.Duration) { *p = poll{due: now + interval} }

// take reports whether to read now. A read that is under way delays the next one until pollLost.
func (p *poll) take(now time.Duration) bool {
	if now < p.due {
		return false
	}
	*p = poll{due: now + pollLost, asking: true}
	return true
}

func (p *poll) hurry(now time.Duration) {
	if !p.asking {
		p.due = min(p.due, now)
	}
}

func (st *streams) wake() time.Duration { return min(st.conf.due, st.claims.due, st.hostList.due) }

// pollPlatform sends the reads that are due.
func (s *State) pollPlatform() {
	st := &s.streams
	if s.book.PendingClaims() > 0 && !st.claims.asking {
		st.claims.due = min(st.claims.due, s.now+claimFastInterval)
	}
	if st.hostList.take(s.now) {
		s.emit(ReadHostList{})
	}
	if st.conf.take(s.now) {
		s.emit(ReadLog{Stream: StreamConfig, From: s.conf.Next()})
	}
	if st.claims.take(s.now) {
		s.emit(ReadLog{Stream: StreamClaims, From: s.book.NextOffset()})
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
		s.streams.logAnswers = false
		s.streams.conf.answered(s.now, confInterval)
	case StreamClaims:
		s.streams.claims.answered(s.now, claimInterval)
	}
}

func (s *State) confRead(ev LogRead) {
	st := &s.streams
	st.logAnswers = true
	st.conf.answered(s.now, confInterval)
	records := make([]conf.Record, 0, len(ev.Records))
	for _, r := range ev.Records {
		records = append(records, conf.Record(r))
	}
	before := s.conf.Next()
	changed := s.conf.Apply(conf.Batch{Records: records, First: ev.First, Next: ev.Next, SentAt: ev.SentAt})
	if s.conf.Next() < ev.Next && s.conf.Next() > before {
		st.conf.hurry(s.now)
		s.pollPlatform()
	}
	if changed {
		s.configure()
	}
	s.appendCheckpoint(ev)
}

// appendCheckpoint keeps the configuration within the log's retention.
func (s *State) appendCheckpoint(ev LogRead) {
	st := &s.streams
	if st.checkpointing || !s.conf.CheckpointDue(s.now, s.rand(), ev.First, ev.Next, s.cfg.Timing.Retention) {
		return
	}
	st.checkpointing = true
	st.appendID++
	s.emit(Append{Stream: StreamConfig, AppendID: st.appendID, Data: s.conf.Checkpoint()})
}

// configure puts a changed configuration into force and tells the other hosts at once.
func (s *State) configure() {
	s.topo.view = s.conf.View()
	s.rebuild()
	s.table.HeartbeatNow(s.now)
	s.notice(false, "configuration", "version", strconv.FormatInt(s.conf.Version(), 10))
}

func (s *State) claimsRead(ev LogRead) {
	st := &s.streams
	st.claims.answered(s.now, claimInterval)
	records := make([]order.Record, 0, len(ev.Records))
	for _, r := range ev.Records {
		records = append(records, order.Record(r))
	}
	before := s.book.NextOffset()
	s.apply(s.book.Apply(s.now, order.Batch{Records: records, First: ev.First, Next: ev.Next}))
	if s.book.NextOffset() < ev.Next && s.book.NextOffset() > before {
		st.claims.hurry(s.now)
	}
	s.pollPlatform()
}

// flushClaims appends the claims that are due.
func (s *State) flushClaims() {
	for {
		a, ok := s.book.PrepareAppend(s.now, s.listedHosts())
		if !ok {
			return
		}
		s.emit(Append{Stream: StreamClaims, AppendID: a.ID, Data: a.Data})
	}
}

// listedHosts returns the number of hosts that share the log, at least one.
func (s *State) listedHosts() int { return max(1, len(s.topo.addresses)) }

func (s *State) appendEnded(ev AppendEnded) {
	if ev.Stream == StreamConfig {
		s.streams.checkpointing = false
		return
	}
	result := order.AppendUnknown
	switch {
	case ev.Answered:
		result = order.AppendConfirmed
	case ev.NotApplied:
		result = order.AppendNotApplied
	}
	s.book.FinishAppend(s.now, ev.AppendID, result)
	s.streams.claims.hurry(s.now)
	s.pollPlatform()
}
