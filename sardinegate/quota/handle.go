package quota

import (
	"time"

	"sardinecross.example/lib/allow"
	"sardinecross.example/sardinegate/mesh"
)

// Handle handles messages of other hosts that concern allowances.
func (q *Quota) Handle(m *mesh.Message) {
	switch {
	case m.AllowanceRequest != nil:
		q.handleRequest(m, m.AllowanceRequest)
	case m.AllowanceReply != nil:
		q.handleReply(m.From, m.AllowanceReply)
	case m.AllowanceReturn != nil:
		q.mu.Lock()
		if r := m.AllowanceReturn; q.isNext(m, r.Seq) {
			q.state.Return(q.deps.Now(), r.Organisation, r.Count)
		}
		q.mu.Unlock()
	case m.AllowanceTransfer != nil:
		q.handleTransfer(m, m.AllowanceTransfer)
	}
}

// HostAlive tells a host that becomes alive how many hosts there may be. One that was started while hosts were cut off from each
// other would take too large a share of the limits.
func (q *Quota) HostAlive(host string) {
	q.mu.Lock()
	q.seq++
	t := &mesh.AllowanceTransfer{Seq: q.seq, Hosts: q.known}
	limited := q.table != nil
	q.mu.Unlock()
	if limited {
		q.deps.Node.Send(host, &mesh.Message{AllowanceTransfer: t})
	}
}

// handleRequest decides for another host. It does not answer if this host is neither the owner nor a deputy, or does not know the
// organisation: the other host asks the next one.
func (q *Quota) handleRequest(m *mesh.Message, r *mesh.AllowanceRequest) {
	if q.phaseChanged() {
		q.Update() // the other hosts may know already that this one is an owner
	}
	q.mu.Lock()
	now, table := q.deps.Now(), q.table
	q.state.Told(now, r.Hosts)
	id := requestID{m.From, m.Boot, r.Seq}
	if reply, ok := q.answers.get(now, id); ok {
		q.mu.Unlock()
		q.deps.Node.Send(m.From, &mesh.Message{AllowanceReply: &reply})
		return
	}
	if table == nil {
		q.mu.Unlock()
		return
	}
	o, ok := table.Get(r.Organisation)
	var d allow.Decision
	transfers := make(map[string][]mesh.AllowanceLevel)
	if ok && o.Rate > 0 {
		q.refresh(now, o, transfers)
		d, ok = q.state.Decide(now, o.Name, limitOf(o), r.Late)
	}
	reply := mesh.AllowanceReply{Seq: r.Seq, Granted: ok && (d.Granted || o.Rate <= 0), RetryAfter: d.RetryAfter, Hosts: q.known}
	if ok {
		q.answers.add(id, reply)
	}
	q.mu.Unlock()
	q.sendTransfers(transfers)
	if !ok {
		return
	}
	if d.Role == allow.Deputy {
		q.AsDeputy.Add(1)
	}
	q.deps.Node.Send(m.From, &mesh.Message{AllowanceReply: &reply})
}

// phaseChanged reports whether the phase of this host has changed since the orders of owners were computed.
func (q *Quota) phaseChanged() bool {
	phase := q.deps.Node.Phase()
	q.mu.Lock()
	defer q.mu.Unlock()
	return phase != q.phase
}

// handleReply passes an answer to the request that waits for it. If none waits any more, a unit that was granted is returned.
func (q *Quota) handleReply(from string, r *mesh.AllowanceReply) {
	q.mu.Lock()
	q.state.Told(q.deps.Now(), r.Hosts)
	delete(q.suspectUntil, from)
	if replies := q.pending[r.Seq]; replies != nil {
		delete(q.pending, r.Seq)
		replies <- *r
		q.mu.Unlock()
		return
	}
	late, ok := q.late[r.Seq]
	ok = ok && late.host == from
	if ok {
		delete(q.late, r.Seq) // a duplicate of the answer must return nothing
	}
	q.mu.Unlock()
	if ok && r.Granted {
		q.returnTo(from, late.organisation)
	}
}

// isNext reports whether a return or a transfer is later than all before from its sender, and not a duplicate. q.mu must be held.
func (q *Quota) isNext(m *mesh.Message, seq uint64) bool {
	last := q.received[m.From]
	if m.Boot == last.boot && seq <= last.seq {
		return false
	}
	q.received[m.From] = lastSeq{m.Boot, seq}
	return true
}

// handleTransfer takes over the levels that another host hands over. They wait if this host does not see itself as the owner yet.
func (q *Quota) handleTransfer(m *mesh.Message, t *mesh.AllowanceTransfer) {
	q.mu.Lock()
	now := q.deps.Now()
	q.state.Told(now, t.Hosts)
	var transfers map[string][]mesh.AllowanceLevel
	if q.isNext(m, t.Seq) && len(t.Levels) > 0 {
		transfers = q.update(now)
		for _, l := range t.Levels {
			if _, ok := q.orders[l.Organisation]; !ok {
				continue
			}
			if o, ok := q.table.Get(l.Organisation); ok {
				q.handovers[l.Organisation] = handover{l.Level, now}
				q.rank(now, o, transfers) // the sender may be leaving
			}
		}
		q.deps.Log.Info("allowances taken over", "from", m.From, "organisations", len(t.Levels))
	}
	q.mu.Unlock()
	q.sendTransfers(transfers)
}

// sendTransfers hands over levels.
func (q *Quota) sendTransfers(transfers map[string][]mesh.AllowanceLevel) {
	for host, levels := range transfers {
		q.deps.Log.Info("allowances handed over", "to", host, "organisations", len(levels))
		for len(levels) > 0 {
			n := min(len(levels), maxTransfer)
			q.mu.Lock()
			q.seq++
			t := &mesh.AllowanceTransfer{Seq: q.seq, Hosts: q.known, Levels: levels[:n]}
			q.mu.Unlock()
			q.deps.Node.Send(host, &mesh.Message{AllowanceTransfer: t})
			levels = levels[n:]
		}
	}
}

// answerTime is how long an answer is kept at least. Datagrams arrive later than their duplicates by less.
const answerTime = 250 * time.Millisecond

type requestID struct {
	host string
	boot int64
	seq  uint64
}

// answers holds the answers of the last answerTime, up to twice as long, so that a duplicate of a request takes no further unit.
type answers struct {
	recent, before map[requestID]mesh.AllowanceReply
	since          time.Duration
}

func (a *answers) get(now time.Duration, id requestID) (mesh.AllowanceReply, bool) {
	if now-a.since >= answerTime || a.recent == nil {
		a.before, a.recent, a.since = a.recent, make(map[requestID]mesh.AllowanceReply), now
	}
	if r, ok := a.recent[id]; ok {
		return r, true
	}
	r, ok := a.before[id]
	return r, ok
}

func (a *answers) add(id requestID, r mesh.AllowanceReply) { a.recent[id] = r }

const (
	// rejectionLogInterval is the shortest time between two log lines on the rejections of one organisation.
	rejectionLogInterval = time.Second
	// maxRejectionLines is the number of organisations with a line in each interval.
	maxRejectionLines = 16
)

// rejectionLog counts the rejections since the last log lines.
type rejectionLog struct {
	since time.Duration
	lines []rejectionLine
}

type rejectionLine struct {
	organisation, role string
	count              int
}

// add counts a rejection and returns the lines to log, at most once in each interval.
func (l *rejectionLog) add(now time.Duration, organisation, role string) []rejectionLine {
	found := false
	for i := range l.lines {
		if l.lines[i].organisation == organisation {
			l.lines[i].count++
			l.lines[i].role = role
			found = true
		}
	}
	if !found && len(l.lines) < maxRejectionLines {
		l.lines = append(l.lines, rejectionLine{organisation, role, 1})
	}
	if now-l.since < rejectionLogInterval {
		return nil
	}
	lines := l.lines
	l.since, l.lines = now, nil
	return lines
}
