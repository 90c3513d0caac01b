package lease

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// assumedIdleConnTimeout is the time without requests after which the holder assumes that its connections to an
// upstream are closed.
const assumedIdleConnTimeout = 60 * time.Second

// holderState is the state of this host as a holder of slots of one upstream.
type holderState struct {
	owner    ident.HostID
	ownerInc ident.Incarnation
	// epoch counts the changes of owner and the void allowances; see Demand.Epoch.
	epoch uint64
	// inFlight <= held at all times. The difference is the number of idle slots, which may be used before leaseEnd.
	inFlight, held int
	leaseEnd       time.Duration
	// keep is the Keep of the last allowance.
	keep int
	// want is the number of slots wanted beyond those held; requestedWant is the part of it that was requested from
	// the owner and not yet granted.
	want, requestedWant int
	// seen is the highest Allowance.Total received in the epoch.
	seen uint64
	// minIdle is the smallest number of idle slots since the last housekeeping. That many slots were idle all the
	// time and are returned.
	minIdle int
	// conns estimates the open connections to the upstream.
	conns      int
	lastUsedAt time.Duration
	// report holds the totals of the epoch, ackedReport those of the last demand that the owner answered.
	report, ackedReport Report
	lastDemand          Demand
	lastDemandAt        time.Duration
	// quiescent reports that the owner has answered an empty demand, so that no renewals are needed.
	quiescent bool
	// inNextRequest reports that the upstream is in the request queue of its owner.
	inNextRequest bool
}

// requestQueue gathers the upstreams of the next slot request to one owner.
type requestQueue struct {
	upstreams []*upstreamState
	// dueAt is the time of the next request, sentAt that of the last one.
	dueAt, sentAt time.Duration
}

// Permit is the right to send one request to an upstream.
type Permit struct {
	// StartBy is the end of the lease, by which the first byte must have been sent.
	StartBy time.Duration
	// Deadline is the end of the attempt: the requested deadline, but no later than the longest one that other hosts
	// wait for before they use the slot.
	Deadline time.Duration
}

// Start uses an idle slot for one request, if there is one and the lease is valid. The slot is in use until End.
func (s *State) Start(now time.Duration, id ident.UpstreamID, deadline time.Duration) (Permit, bool) {
	u, ok := s.upstreams[id]
	if !ok {
		return Permit{}, false
	}
	h := &u.asHolder
	if now >= h.leaseEnd || h.inFlight >= h.held || u.NoNewWork {
		return Permit{}, false
	}
	h.inFlight++
	h.lastUsedAt = now
	h.minIdle = min(h.minIdle, h.held-h.inFlight)
	return Permit{StartBy: h.leaseEnd, Deadline: min(deadline, now+u.startDeadline)}, true
}

// FreeSlots returns the number of requests that Start would permit now.
func (s *State) FreeSlots(now time.Duration, id ident.UpstreamID) int {
	u, ok := s.upstreams[id]
	if !ok || now >= u.asHolder.leaseEnd || u.NoNewWork {
		return 0
	}
	return u.asHolder.held - u.asHolder.inFlight
}

// InFlight returns the number of this host's requests in flight at an upstream.
func (s *State) InFlight(id ident.UpstreamID) int {
	u, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	return u.asHolder.inFlight
}

// RequestResult describes how a request to an upstream ended.
type RequestResult struct {
	// Completed reports that the upstream answered in full and did not shed the request.
	Completed bool
	// NewConn reports that the request opened a connection.
	NewConn bool
	// Draining reports that the upstream announced that it takes no new work.
	Draining bool
}

// End makes the slot of an ended request idle, or returns it to the owner if the owner called it back.
func (s *State) End(now time.Duration, id ident.UpstreamID, e RequestResult) {
	s.Advance(now)
	u, ok := s.upstreams[id]
	if !ok || u.asHolder.inFlight == 0 {
		return
	}
	h := &u.asHolder
	h.inFlight--
	h.lastUsedAt = now
	h.quiescent = false
	if e.Completed {
		h.report.Completed++
		h.report.Draining = false
	}
	if e.NewConn {
		h.report.NewConns++
		h.conns = min(h.conns+1, u.Slots)
	}
	if e.Draining && !h.report.Draining {
		h.report.Draining = true
		s.queueDemand(now, u, true)
	}
	s.limitHeld(now, u, h.keep)
}

// ReportSignal reports a sign that the upstream is cold. The holder returns its idle slots at once, because the
// owner has to decide anew how many to grant.
func (s *State) ReportSignal(now time.Duration, id ident.UpstreamID) {
	s.Advance(now)
	u, ok := s.upstreams[id]
	if !ok {
		return
	}
	h := &u.asHolder
	h.report.Signals++
	h.conns = 0
	h.quiescent = false
	h.keep = 0
	s.limitHeld(now, u, 0)
	s.queueDemand(now, u, true)
}

// SetWanted sets the number of queued requests that could use another slot of the upstream now.
func (s *State) SetWanted(now time.Duration, id ident.UpstreamID, n int) {
	s.Advance(now)
	u, ok := s.upstreams[id]
	if !ok || u.asHolder.want == n || u.NoNewWork && n > 0 {
		return
	}
	h := &u.asHolder
	h.want = n
	h.quiescent = false
	// Without this update the owner would grant unused slots for requests that were sent to another upstream.
	if n != h.requestedWant {
		s.queueDemand(now, u, true)
	}
}

// ReturnIdle returns idle slots of an upstream to its owner and keeps at most the given number of them.
func (s *State) ReturnIdle(now time.Duration, id ident.UpstreamID, idle int) {
	s.Advance(now)
	if u, ok := s.upstreams[id]; ok {
		s.limitHeld(now, u, u.asHolder.inFlight+idle)
	}
}

// limitHeld returns the idle slots by which the held slots exceed keep. A slot that the owner called back is returned
// without waiting for the next renewal.
func (s *State) limitHeld(now time.Duration, u *upstreamState, keep int) {
	h := &u.asHolder
	held := max(h.inFlight, min(h.held, keep))
	if held == h.held {
		return
	}
	h.held = held
	h.minIdle = min(h.minIdle, held-h.inFlight)
	h.quiescent = false
	s.queueDemand(now, u, true)
}

// returnUnused returns the slots that were idle since the last housekeeping, or all idle slots of an expired lease.
func (s *State) returnUnused(now time.Duration, u *upstreamState) {
	h := &u.asHolder
	if now >= h.leaseEnd {
		s.limitHeld(now, u, 0)
	} else if h.minIdle > 0 {
		s.limitHeld(now, u, h.held-h.minIdle)
	}
	h.minIdle = h.held - h.inFlight
	if h.conns > 0 && now-h.lastUsedAt > assumedIdleConnTimeout {
		h.conns = 0
	}
}

// switchOwner makes the holder request slots from the owner that is now elected in this host's view. No request starts
// under the former owner's lease any more.
func (s *State) switchOwner(now time.Duration, u *upstreamState) {
	h := &u.asHolder
	if h.owner == u.elected && h.ownerInc == u.electedInc {
		return
	}
	s.dequeueDemand(u)
	h.owner, h.ownerInc = u.elected, u.electedInc
	s.newEpoch(now, u)
}

// newEpoch gives up all slots except those in use. The next report contains the observations that the owner of the
// former epoch did not acknowledge.
func (s *State) newEpoch(now time.Duration, u *upstreamState) {
	h := &u.asHolder
	h.epoch++
	h.held = h.inFlight
	h.minIdle = 0
	h.leaseEnd = 0
	h.keep = 0
	h.seen = 0
	h.lastDemandAt = -1
	h.requestedWant = 0
	h.lastDemand = Demand{}
	h.report.Completed -= h.ackedReport.Completed
	h.report.NewConns -= h.ackedReport.NewConns
	h.report.Signals -= h.ackedReport.Signals
	h.ackedReport = Report{}
	h.quiescent = h.held == 0 && h.want == 0 && h.report == Report{}
	if !h.quiescent {
		s.queueDemand(now, u, true)
	}
}

// queueDemand puts the upstream into the next request to its owner. The request is due at once, or, if throttled and to
// another host, not before MinRequestInterval after the last one.
func (s *State) queueDemand(now time.Duration, u *upstreamState, throttled bool) {
	h := &u.asHolder
	if h.owner == "" {
		return
	}
	q, ok := s.requestQueues[h.owner]
	if !ok {
		q = &requestQueue{dueAt: member.Never, sentAt: -s.settings.MinRequestInterval}
		s.requestQueues[h.owner] = q
	}
	if !h.inNextRequest {
		h.inNextRequest = true
		q.upstreams = append(q.upstreams, u)
	}
	switch {
	case h.owner == s.settings.Host || !throttled:
		q.dueAt = min(q.dueAt, now)
	default:
		q.dueAt = min(q.dueAt, max(now, q.sentAt+s.settings.MinRequestInterval))
	}
}

func (s *State) dequeueDemand(u *upstreamState) {
	h := &u.asHolder
	if !h.inNextRequest {
		return
	}
	h.inNextRequest = false
	q := s.requestQueues[h.owner]
	q.upstreams = slices.DeleteFunc(q.upstreams, func(v *upstreamState) bool { return v == u })
}

// renewAll queues the demands of all upstreams that need renewals, and makes the requests due now.
func (s *State) renewAll(now time.Duration) {
	for _, u := range s.upstreamOrder {
		if !u.asHolder.quiescent {
			s.queueDemand(now, u, false)
		}
	}
}

// flushRequests builds the requests that are due and appends them to out. The request to this host itself is applied at
// once instead.
func (s *State) flushRequests(now time.Duration, out []Message) []Message {
	for _, id := range s.ownersWithDueRequests(now) {
		q := s.requestQueues[id]
		upstreams := q.upstreams
		q.upstreams = nil
		q.dueAt = member.Never
		q.sentAt = now
		r := &SlotRequest{SentAt: now, Upstreams: make([]Demand, 0, len(upstreams))}
		for _, u := range upstreams {
			u.asHolder.inNextRequest = false
			r.Owner = u.asHolder.ownerInc
			r.Upstreams = append(r.Upstreams, s.buildDemand(now, u))
		}
		s.requestSeq++
		r.Seq = s.requestSeq
		if id == s.settings.Host {
			s.applyRequest(now, id, s.settings.Incarnation, r)
			continue
		}
		out = append(out, Message{To: id, Request: r})
	}
	return out
}

// ownersWithDueRequests returns the owners with due requests by ascending ID, which makes each step deterministic.
func (s *State) ownersWithDueRequests(now time.Duration) []ident.HostID {
	var ids []ident.HostID
	for id, q := range s.requestQueues {
		if q.dueAt <= now && len(q.upstreams) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// buildDemand returns the current demand for an upstream and stores it as the last one. Idle slots of an expired lease
// are given up first.
func (s *State) buildDemand(now time.Duration, u *upstreamState) Demand {
	h := &u.asHolder
	if now >= h.leaseEnd {
		h.held = h.inFlight
		h.minIdle = 0
	}
	h.lastDemand = Demand{
		Upstream: u.ID, Epoch: h.epoch, Want: h.want, Held: h.held, Seen: h.seen,
		Conns: max(h.conns, h.inFlight), Report: h.report,
	}
	h.lastDemandAt = now
	h.requestedWant = h.want
	return h.lastDemand
}

// HandleGrant applies a grant received from an owner. It drops grants for another incarnation and those out of order.
func (s *State) HandleGrant(now time.Duration, from ident.HostID, inc ident.Incarnation, g *SlotGrant) {
	s.Advance(now)
	if g.Holder != s.settings.Incarnation || !s.acceptSeq(now, from, inc, 0, g.Seq) {
		return
	}
	s.applyGrant(now, from, inc, g)
}

func (s *State) applyGrant(now time.Duration, from ident.HostID, inc ident.Incarnation, g *SlotGrant) {
	for i := range g.Upstreams {
		a := &g.Upstreams[i]
		u, ok := s.upstreams[a.Upstream]
		if !ok || u.asHolder.owner != from || u.asHolder.ownerInc != inc || u.asHolder.epoch != a.Epoch {
			continue
		}
		if a.Void {
			s.newEpoch(now, u)
			continue
		}
		s.applyAllowance(now, u, a)
	}
}

// applyAllowance extends the lease, adds the granted slots if the lease is then valid, and returns idle slots above
// Keep.
func (s *State) applyAllowance(now time.Duration, u *upstreamState, a *Allowance) {
	h := &u.asHolder
	expired := now >= h.leaseEnd
	h.leaseEnd = max(h.leaseEnd, a.SentAt+s.settings.Lease)
	valid := now < h.leaseEnd
	if expired && !valid {
		h.held = h.inFlight
	}
	added := 0
	if a.Total > h.seen {
		added = int(a.Total - h.seen)
		h.seen = a.Total
		h.quiescent = false
	}
	if !valid {
		added = 0
	}
	h.keep = a.Keep
	h.held += added
	if added > 0 {
		h.want = max(0, h.want-added)
		h.requestedWant = max(0, h.requestedWant-added)
		s.ready = append(s.ready, u.ID)
	}
	s.limitHeld(now, u, h.keep)
	s.recordAck(u, a)
}

// recordAck records that the owner has answered the last demand, and ends the renewals if that demand was empty.
func (s *State) recordAck(u *upstreamState, a *Allowance) {
	h := &u.asHolder
	if a.SentAt != h.lastDemandAt {
		return
	}
	h.ackedReport = h.lastDemand.Report
	empty := h.held == 0 && h.want == 0 && h.lastDemand.Held == 0 && h.lastDemand.Want == 0
	h.quiescent = empty && h.lastDemand.Seen == h.seen && h.lastDemand.Report == h.report
}
