package lease

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// turn is how long a holder keeps its last slots while others have none; it is about the time of a few requests, so
// that a contended upstream does not spend a round trip between hosts for each request.
const turn = 50 * time.Millisecond

// term is the owner's part of one upstream. The slots that holders may use, now or once their messages arrive, are
// the sum of record.count and foreign.slots. The entitlements, which bound what holders may still start after
// their next allowance, never exceed the share in total.
type term struct {
	pledges []pledge
	// after is the own heartbeat up to which echoes carry no pledge, because of a handoff.
	after   uint64
	handed  []handed
	foreign []foreign
	records []*record
	// counted and majority are the result of the last count of pledges, valid for shareRevision of the table and
	// before shareUntil unless stale.
	counted       int
	majority      bool
	stale         bool
	shareUntil    time.Duration
	shareRevision uint64
	owning        bool
	// members is the number of members of the last count.
	members int
	limitState
}

// record is the owner's account of one incarnation of a holder.
type record struct {
	host  ident.HostID
	inc   ident.Incarnation
	epoch uint64
	// held, seen and want are those of the last demand; granted is the total of the epoch.
	held          int
	seen, granted uint64
	want          int
	conns         int
	// entitled is the most the holder may keep.
	entitled int
	// heardAt is the time of the last demand, sentAt its time on the holder's clock.
	heardAt, sentAt time.Duration
	// since is the time of the last slot granted.
	since  time.Duration
	report Report
	// prepaid is the number of new connections charged and not yet reported.
	prepaid int
	// promised counts slots that were called back for this record in one pass of share out.
	promised int
	// queued reports that the record is in the reply to its host.
	queued bool
	// void reports that the reply tells the holder to start a new epoch.
	void bool
	unit *unit
}

// count is the most that the holder may be using under this owner.
func (r *record) count() int { return r.held + int(r.granted-r.seen) }

// unmet is the number of slots the holder asked for beyond those on the way to it.
func (r *record) unmet() int { return max(0, r.want-int(r.granted-r.seen)) }

// foreign is slots granted by an owner that handed over.
type foreign struct {
	host  ident.HostID
	inc   ident.Incarnation
	epoch uint64
	slots int
	until time.Duration
}

// reply gathers the records with something to tell one host.
type reply struct{ records []*record }

// busy reports that housekeeping has to look at the term.
func (t *term) busy() bool {
	return t.owning || len(t.records) > 0 || len(t.foreign) > 0 || len(t.pledges) > 0
}

// total is the number of slots that may be in use.
func (t *term) total(now time.Duration) int {
	n := 0
	for _, r := range t.records {
		n += r.count()
	}
	for _, f := range t.foreign {
		if f.until > now {
			n += f.slots
		}
	}
	return n
}

// addForeign notes slots of another owner. The same slots can arrive by two ways; the larger claim counts.
func (t *term) addForeign(f foreign) {
	for i := range t.foreign {
		g := &t.foreign[i]
		if g.host == f.host && g.inc == f.inc && g.epoch == f.epoch {
			g.slots = max(g.slots, f.slots)
			g.until = max(g.until, f.until)
			return
		}
	}
	t.foreign = append(t.foreign, f)
}

func (t *term) addHanded(h handed) {
	for i := range t.handed {
		if t.handed[i].inc == h.inc {
			h.quietAt = max(h.quietAt, t.handed[i].quietAt)
			h.seq = max(h.seq, t.handed[i].seq)
			t.handed[i] = h
			return
		}
	}
	t.handed = append(t.handed, h)
}

// cleanTerm removes what time has made irrelevant, above all the slots of silent holders.
func (s *State) cleanTerm(now time.Duration, u *unit) {
	t := &u.term
	hold := s.hold(u)
	if s.guards.noReclaimDelay {
		hold = s.settings.Lease
	}
	t.records = slices.DeleteFunc(t.records, func(r *record) bool {
		return !r.queued && r.host != s.settings.Host && now >= r.heardAt+hold
	})
	t.foreign = slices.DeleteFunc(t.foreign, func(f foreign) bool { return now >= f.until })
	t.handed = slices.DeleteFunc(t.handed, func(h handed) bool {
		return now >= max(h.at+s.hold(u), h.quietAt)+s.settings.Pledge
	})
	t.pledges = slices.DeleteFunc(t.pledges, func(p pledge) bool { return now-s.hold(u) >= p.until })
}

// Request takes in a holder's request. The answer is sent with the next Outbox.
func (s *State) Request(now time.Duration, from ident.HostID, inc ident.Incarnation, r *Request) {
	s.Advance(now)
	if r.Owner != s.settings.Incarnation || !s.inOrder(now, from, inc, r.Seq, 0) {
		return
	}
	s.takeRequest(now, from, inc, r)
}

func (s *State) takeRequest(now time.Duration, from ident.HostID, inc ident.Incarnation, r *Request) {
	for i := range r.Upstreams {
		d := &r.Upstreams[i]
		u, ok := s.units[d.Upstream]
		if !ok {
			continue
		}
		rec := s.demand(now, u, from, inc, d)
		rec.sentAt = r.SentAt
		s.enqueue(rec)
		s.settle(now, u)
	}
}

// demand brings the account of a holder up to date.
func (s *State) demand(now time.Duration, u *unit, from ident.HostID, inc ident.Incarnation, d *Demand) *record {
	t := &u.term
	rec := s.recordOf(u, from, inc)
	if rec == nil || rec.epoch != d.Epoch {
		rec = s.newRecord(u, rec, from, inc, d)
	}
	rec.heardAt = now
	rec.held = d.Held
	rec.seen = d.Seen
	rec.granted = max(rec.granted, d.Seen)
	rec.want = d.Want
	rec.conns = d.Conns
	rec.entitled = min(rec.entitled, rec.count())
	rec.void = t.yieldForeign(from, inc, d.Epoch)
	s.evidence(now, u, rec, d.Report)
	return rec
}

// yieldForeign removes the slots that a holder gave up with its epoch, and reports whether some of this epoch remain.
func (t *term) yieldForeign(host ident.HostID, inc ident.Incarnation, epoch uint64) bool {
	current := false
	t.foreign = slices.DeleteFunc(t.foreign, func(f foreign) bool {
		if f.host != host || f.inc != inc {
			return false
		}
		if f.epoch < epoch {
			return true
		}
		current = true
		return false
	})
	return current
}

func (s *State) recordOf(u *unit, host ident.HostID, inc ident.Incarnation) *record {
	for _, r := range u.term.records {
		if r.inc == inc && r.host == host {
			return r
		}
	}
	return nil
}

// newRecord starts the account of a holder's epoch, in place of that of a former epoch. The new account grants
// nothing: what the demand holds was granted by somebody else, or by this owner before it forgot.
func (s *State) newRecord(u *unit, old *record, host ident.HostID, inc ident.Incarnation, d *Demand) *record {
	rec := old
	if rec == nil {
		rec = &record{host: host, inc: inc, unit: u}
		u.term.records = append(u.term.records, rec)
	}
	rec.epoch = d.Epoch
	rec.granted = d.Seen
	rec.entitled = 0
	rec.prepaid = 0
	rec.report = Report{}
	if d.Seen > 0 {
		rec.report = d.Report
	}
	return rec
}

// expose turns the own accounts into foreign slots, as they are after a handoff.
func (s *State) expose(now time.Duration, u *unit) {
	t := &u.term
	t.foreign = slices.DeleteFunc(t.foreign, func(f foreign) bool { return now >= f.until })
	for _, r := range t.records {
		if n := r.count(); n > 0 {
			until := r.heardAt + s.hold(u)
			if r.host == s.settings.Host {
				until = now + s.hold(u)
			}
			t.addForeign(foreign{host: r.host, inc: r.inc, epoch: r.epoch, slots: n, until: until})
		}
		s.dequeue(r)
	}
	t.records = nil
}

// settle brings the entitlements of an upstream in line with the share, grants free slots to holders that want them,
// and calls slots back for those that have fewer than others.
func (s *State) settle(now time.Duration, u *unit) {
	t := &u.term
	share := s.share(now, u)
	if len(t.records) == 0 {
		return
	}
	s.lower(t, share)
	s.grantFree(now, u, share)
	s.callBack(now, u)
}

// lower takes entitlements back, from the largest first, until they fit the share.
func (s *State) lower(t *term, share int) {
	sum := 0
	for _, r := range t.records {
		sum += r.entitled
	}
	for ; sum > share; sum-- {
		top := t.records[0]
		for _, r := range t.records {
			if r.entitled > top.entitled {
				top = r
			}
		}
		top.entitled--
		s.enqueue(top)
	}
}

// grantFree hands free slots to the holders that want more, the one with the fewest first.
func (s *State) grantFree(now time.Duration, u *unit, share int) {
	t := &u.term
	for total := t.total(now); total < share; {
		r := s.neediest(now, u)
		if r == nil {
			break
		}
		if r.entitled == r.count() {
			s.chargeConn(u, r)
			r.granted++
			total++
		}
		r.entitled++
		r.since = now
		s.enqueue(r)
	}
}

// neediest returns the holder to get the next slot. A slot beyond the holder's connections needs budget for a new one.
func (s *State) neediest(now time.Duration, u *unit) *record {
	var best *record
	for _, r := range u.term.records {
		if r.unmet() == 0 || r.void || !s.canConnect(now, u, r) {
			continue
		}
		if best == nil || r.entitled < best.entitled || r.entitled == best.entitled && r.since < best.since {
			best = r
		}
	}
	return best
}

// callBack lowers entitlements in favour of holders that have fewer.
func (s *State) callBack(now time.Duration, u *unit) {
	t := &u.term
	returning := 0
	for _, r := range t.records {
		r.promised = 0
		if now-r.heardAt < s.settings.Lease {
			returning += r.count() - r.entitled
		}
	}
	for {
		poor := t.poorest()
		if poor == nil {
			break
		}
		poor.promised++
		if returning > 0 {
			returning--
			continue
		}
		rich := t.richest(now, poor)
		if rich == nil {
			break
		}
		rich.entitled--
		s.enqueue(rich)
	}
}

// poorest returns the holder with the fewest slots among those whose wants are not met or promised.
func (t *term) poorest() *record {
	var poor *record
	for _, r := range t.records {
		if r.unmet() <= r.promised || r.void {
			continue
		}
		if poor == nil || r.entitled+r.promised < poor.entitled+poor.promised {
			poor = r
		}
	}
	return poor
}

// richest returns the holder that can give up a slot for the poor one: it has at least two more, or its turn is over
// and the poor one has none. The promise to the poor one is already counted.
func (t *term) richest(now time.Duration, poor *record) *record {
	var rich *record
	has := poor.entitled + poor.promised - 1
	for _, r := range t.records {
		if r == poor || r.entitled == 0 || r.promised > 0 {
			continue
		}
		over := has == 0 && now-r.since >= turn
		if r.entitled < has+2 && !over {
			continue
		}
		if rich == nil || r.entitled > rich.entitled || r.entitled == rich.entitled && r.since < rich.since {
			rich = r
		}
	}
	return rich
}

// enqueue puts a record into the next grant to its host.
func (s *State) enqueue(r *record) {
	if r.queued {
		return
	}
	r.queued = true
	p, ok := s.replies[r.host]
	if !ok {
		p = &reply{}
		s.replies[r.host] = p
	}
	p.records = append(p.records, r)
}

func (s *State) dequeue(r *record) {
	if !r.queued {
		return
	}
	r.queued = false
	p := s.replies[r.host]
	p.records = slices.DeleteFunc(p.records, func(q *record) bool { return q == r })
}

// flushGrants builds the grants; the one to this host is handled at once.
func (s *State) flushGrants(now time.Duration, out []Message) []Message {
	for _, id := range s.replyOrder() {
		p := s.replies[id]
		host, ok := s.table.Get(id)
		// Building an allowance can lower the entitlement of another record, which queues that one.
		records := p.records
		p.records = nil
		g := &Grant{Holder: host.Incarnation, Upstreams: make([]Allowance, 0, len(records))}
		for _, r := range records {
			r.queued = false
			if ok && r.inc == host.Incarnation {
				g.Upstreams = append(g.Upstreams, s.allowance(now, r))
			}
		}
		if len(g.Upstreams) == 0 {
			continue
		}
		s.grantSeq++
		g.Seq = s.grantSeq
		if id == s.settings.Host {
			s.takeGrant(now, s.settings.Host, s.settings.Incarnation, g)
			continue
		}
		out = append(out, Message{To: id, Grant: g})
	}
	return out
}

// replyOrder returns the hosts with pending grants by ascending ID, so that a step has one result.
func (s *State) replyOrder() []ident.HostID {
	var ids []ident.HostID
	for id, p := range s.replies {
		if len(p.records) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *State) allowance(now time.Duration, r *record) Allowance {
	// The share may have fallen by time alone since the record was settled.
	s.lower(&r.unit.term, s.share(now, r.unit))
	return Allowance{
		Upstream: r.unit.ID, Epoch: r.epoch, SentAt: r.sentAt, Total: r.granted, Keep: r.entitled, Void: r.void,
	}
}

// Owner returns the owner of an upstream in this host's view.
func (s *State) Owner(id ident.UpstreamID) (ident.HostID, bool) {
	u, ok := s.units[id]
	if !ok || u.best == "" {
		return "", false
	}
	return u.best, true
}
