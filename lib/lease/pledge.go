package lease

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

// avoidAfterHandoff is how long a host does not pledge to an owner that has just handed over. The heartbeat with the
// reason (a leaving flag, a host with a higher hash) arrives within this time or is lost.
const avoidAfterHandoff = 300 * time.Millisecond

// ownPledge is the pledge that this host makes to an owner of one upstream.
type ownPledge struct {
	// owner is the host that the pledge is made to, empty if there is no pledge.
	owner    ident.HostID
	ownerInc ident.Incarnation
	// sent reports that the owner may have received the pledge. The owner counts it at most up to the time in until.
	sent  bool
	until time.Duration
	// echoedSeq is the highest heartbeat sequence number echoed with the pledge.
	echoedSeq uint64
	// slotsFreeAt is the time from which the slots that former owners granted by virtue of this host's pledges are
	// unused, except those listed in the transfer handoffSeq of the owner of incarnation previousInc. The listed slots
	// are unused from previousUntil on.
	slotsFreeAt   time.Duration
	previousInc   ident.Incarnation
	handoffSeq    uint64
	previousUntil time.Duration
	// avoidOwner is a host that this host makes no pledge to until avoidUntil.
	avoidOwner ident.HostID
	avoidUntil time.Duration
}

// pledge is a pledge that this host as an owner has received from another host or made to itself.
type pledge struct {
	host ident.HostID
	inc  ident.Incarnation
	// heartbeatSeq is the sequence number of the heartbeat that carried the pledge, zero for a pledge to itself.
	heartbeatSeq uint64
	// until is the end of the pledge, usableAt the time from which it counts.
	until, usableAt time.Duration
	// previousInc is the incarnation of the owner whose handoff released the host's last pledge, handoffSeq the
	// sequence number of the transfer. They are zero if there was none or the slots listed in it are unused.
	previousInc ident.Incarnation
	handoffSeq  uint64
	// firstAt is the time of the first pledge of this incarnation with the same previous owner and handoff.
	firstAt time.Duration
}

// pastHandoff describes a transfer of the upstream by an owner.
type pastHandoff struct {
	ownerInc ident.Incarnation
	seq      uint64
	// recordedAt is the time at which this host received the handoff or made it.
	recordedAt time.Duration
	// slotsFreeAt is the time from which only the slots listed in the handoff may still be in use.
	slotsFreeAt time.Duration
	limit       int
	budget      time.Duration
}

// updateOwnPledge releases this host's pledge if it is not to the elected owner, and pledges to that owner if no pledge
// remains. A host that is not in the host list does not pledge, because other hosts may not count it as a member.
func (s *State) updateOwnPledge(now time.Duration, u *upstreamState) {
	if u.DataCentre != s.settings.DataCentre || now < s.pledgeFrom && !s.disabled.restartWait {
		return
	}
	own := &u.ownPledge
	listed := s.table.Self().Listed
	if own.owner != "" && (own.owner != u.elected || own.ownerInc != u.electedInc || !listed) {
		s.releaseOwnPledge(now, u)
	}
	if own.owner != "" || !listed || u.elected == "" || u.elected == own.avoidOwner && now < own.avoidUntil {
		return
	}
	own.owner, own.ownerInc = u.elected, u.electedInc
	own.sent, own.echoedSeq, own.until = false, 0, 0
	if own.owner == s.settings.Host {
		s.pledgeSelf(now, u)
	}
}

// releaseOwnPledge releases this host's pledge if the owner certainly does not count it any more.
func (s *State) releaseOwnPledge(now time.Duration, u *upstreamState) {
	own := &u.ownPledge
	host, _ := s.table.Get(own.owner)
	ended := own.until
	switch {
	case !own.sent:
	case own.owner == s.settings.Host:
		ended = now
	case host.Incarnation != 0 && host.Incarnation != own.ownerInc:
		// The incarnation pledged to has ended, or a very late heartbeat of an older one makes it seem so. In the
		// second case the owner may count the pledge until it expires.
		ended = max(now, own.until)
	case now < own.until:
		return
	}
	if own.owner == s.settings.Host {
		s.removePledge(u, s.settings.Host)
	}
	if own.sent {
		own.slotsFreeAt = max(own.slotsFreeAt, ended+s.reclaimDelay(u))
		own.previousInc = 0
	}
	own.owner = ""
}

// pledgeSelf adds this host's pledge to itself, which needs no heartbeat and is valid until its release.
func (s *State) pledgeSelf(now time.Duration, u *upstreamState) {
	own := &u.ownPledge
	own.sent = true
	own.clearExpiredPrevious(now)
	p := pledge{
		host: own.owner, inc: own.ownerInc, until: member.Never, usableAt: own.slotsFreeAt,
		previousInc: own.previousInc, handoffSeq: own.handoffSeq, firstAt: now,
	}
	u.asOwner.pledges = append(u.asOwner.pledges, p)
	s.recountPledges(now, u)
}

// clearExpiredPrevious forgets the handoff of the previous owner when the slots listed in it are unused.
func (own *ownPledge) clearExpiredPrevious(now time.Duration) {
	if now >= own.previousUntil {
		own.previousInc, own.handoffSeq = 0, 0
	}
}

// Pledges returns the pledges for the heartbeat that is sent to a host now. It must be called in the same step as
// member.Table.DueHeartbeats, which returns that heartbeat.
func (s *State) Pledges(now time.Duration, to ident.HostID) []member.Pledge {
	s.Advance(now)
	seq, at := s.table.Echo(to)
	if seq == 0 || !s.table.Self().Listed {
		return nil
	}
	var out []member.Pledge
	for _, u := range s.upstreamOrder {
		own := &u.ownPledge
		if own.owner != to || u.elected != to || own.ownerInc != u.electedInc {
			continue
		}
		own.sent = true
		own.echoedSeq = seq
		own.until = max(own.until, at+s.settings.Pledge)
		own.clearExpiredPrevious(now)
		p := member.Pledge{Upstream: u.ID, Previous: own.previousInc, Handoff: own.handoffSeq, Wait: max(0, own.slotsFreeAt-now)}
		out = append(out, p)
	}
	return out
}

// HandleHeartbeat applies the pledges of a heartbeat. The receipt is the result of member.Table.Receive for it.
func (s *State) HandleHeartbeat(now time.Duration, from ident.HostID, inc ident.Incarnation, r member.Receipt, hb *member.Heartbeat) {
	s.Advance(now)
	if !r.Accepted || !r.IncarnationMatches {
		return
	}
	for i := range hb.Pledges {
		p := &hb.Pledges[i]
		u, ok := s.upstreams[p.Upstream]
		if !ok || !r.Echoed || hb.Echo <= u.asOwner.voidEchoSeq {
			continue
		}
		s.acceptPledge(now, u, pledge{
			host: from, inc: inc, heartbeatSeq: hb.Seq, until: r.EchoedSentAt + s.settings.Pledge,
			usableAt: now + p.Wait, previousInc: p.Previous, handoffSeq: p.Handoff, firstAt: now,
		})
	}
	for _, u := range s.upstreamOrder {
		if slices.ContainsFunc(u.asOwner.pledges, func(p pledge) bool { return p.host == from && p.heartbeatSeq != hb.Seq }) {
			s.withdrawPledge(now, u, from)
		}
	}
}

// acceptPledge stores a pledge in place of the host's last one.
func (s *State) acceptPledge(now time.Duration, u *upstreamState, p pledge) {
	o := &u.asOwner
	i := slices.IndexFunc(o.pledges, func(q pledge) bool { return q.host == p.host })
	if i < 0 {
		o.pledges = append(o.pledges, p)
		s.recountPledges(now, u)
		return
	}
	q := o.pledges[i]
	if q.inc == p.inc && q.previousInc == p.previousInc && q.handoffSeq == p.handoffSeq {
		p.firstAt = q.firstAt
	}
	o.pledges[i] = p
	// The renewal of a usable pledge changes only its end, so that the share stays the same.
	if q.inc == p.inc && q.until > now && s.isUsable(now, u, &q) && s.isUsable(now, u, &p) {
		return
	}
	s.recountPledges(now, u)
}

// withdrawPledge removes a pledge that the host's newest heartbeat does not repeat.
func (s *State) withdrawPledge(now time.Duration, u *upstreamState, host ident.HostID) {
	if s.removePledge(u, host) {
		s.redistribute(now, u)
	}
}

// removePledge removes a host's pledge and reports whether there was one.
func (s *State) removePledge(u *upstreamState, host ident.HostID) bool {
	o := &u.asOwner
	n := len(o.pledges)
	o.pledges = slices.DeleteFunc(o.pledges, func(p pledge) bool { return p.host == host })
	o.countStale = true
	return len(o.pledges) < n
}

// recountPledges counts the pledges anew and redistributes the slots by the result.
func (s *State) recountPledges(now time.Duration, u *upstreamState) {
	u.asOwner.countStale = true
	s.redistribute(now, u)
}

// isUsable reports whether a pledge counts now.
func (s *State) isUsable(now time.Duration, u *upstreamState, p *pledge) bool {
	if s.disabled.formerOwnerWait {
		return now < p.until
	}
	return now < p.until && now >= s.usableAt(u, p)
}

// usableAt returns the time from which the slots that former owners granted by virtue of this pledge are unused, except
// those that this host knows from handoffs.
func (s *State) usableAt(u *upstreamState, p *pledge) time.Duration {
	if p.previousInc == 0 {
		return p.usableAt
	}
	for i := range u.asOwner.pastHandoffs {
		past := &u.asOwner.pastHandoffs[i]
		if past.ownerInc == p.previousInc && past.seq >= p.handoffSeq {
			return max(p.usableAt, past.slotsFreeAt)
		}
	}
	return max(p.usableAt, p.firstAt+s.reclaimDelay(u))
}

// share returns the number of slots that this host may grant in total: the part of the limit that corresponds to its
// part of the members' pledges. Only the owner with the majority rounds up, so that the shares never exceed the limit.
func (s *State) share(now time.Duration, u *upstreamState) int {
	o := &u.asOwner
	if o.countStale || now >= o.countValidUntil || o.countRevision != s.table.Revision() {
		s.countPledges(now, u)
	}
	if u.NoNewWork || o.draining {
		return 0
	}
	members := len(s.table.Members(u.DataCentre))
	if members == 0 || o.usablePledges == 0 {
		return 0
	}
	slots := o.limit * o.usablePledges
	if o.majority || s.disabled.roundingDown {
		slots += members - 1
	}
	return min(slots/members, o.limit)
}

// countPledges counts the usable pledges of members and determines when time alone changes the result. With exactly
// half of the pledges, the owner that has the pledge of the member with the lowest ID has the majority.
func (s *State) countPledges(now time.Duration, u *upstreamState) {
	o := &u.asOwner
	members := s.table.Members(u.DataCentre)
	o.countStale = false
	o.countRevision = s.table.Revision()
	o.countValidUntil = member.Never
	o.usablePledges = 0
	o.memberCount = len(members)
	hasLowestMember := false
	for i := range o.pledges {
		p := &o.pledges[i]
		if p.until > now {
			o.countValidUntil = min(o.countValidUntil, p.until)
		}
		if from := s.usableAt(u, p); from > now {
			o.countValidUntil = min(o.countValidUntil, from)
		}
		index, isMember := slices.BinarySearch(members, p.host)
		if !isMember || !s.isUsable(now, u, p) {
			continue
		}
		o.usablePledges++
		hasLowestMember = hasLowestMember || index == 0
	}
	o.majority = 2*o.usablePledges > len(members) || hasLowestMember && 2*o.usablePledges == len(members)
	s.setOwning(now, u, o.usablePledges > 0)
}

// setOwning starts or ends the term of this host as an owner. A term starts with the limit and the budget of a recent
// handoff, otherwise with the cold limit.
func (s *State) setOwning(now time.Duration, u *upstreamState, owning bool) {
	o := &u.asOwner
	if o.owning == owning {
		return
	}
	o.owning = owning
	if !owning {
		o.resetToCold(u.ColdSlots)
		return
	}
	o.budget, o.budgetAt = 0, now
	o.observedAt = now
	for i := range o.pastHandoffs {
		past := &o.pastHandoffs[i]
		if past.limit > 0 && now-past.recordedAt < s.settings.Pledge+s.reclaimDelay(u) {
			o.limit = min(max(past.limit, u.ColdSlots), u.Slots)
			o.budget = past.budget
		}
	}
}

// handOver ends this host's term as an owner. It lists every granted slot for the next owner and drops the pledges
// received so far, so that they permit no further grants.
func (s *State) handOver(now time.Duration, u *upstreamState) {
	o := &u.asOwner
	if len(o.pledges) == 0 && o.outstanding(now) == 0 {
		return
	}
	share := s.share(now, u)
	s.handoffSeq++
	tr := Transfer{Upstream: u.ID, Seq: s.handoffSeq, Wait: s.unlistedSlotsWait(now, u)}
	if o.owning && share > 0 {
		tr.Limit = o.limit
		tr.Budget = o.refillBudget(now, u)
	}
	s.convertToForeign(now, u)
	for _, f := range o.foreignSlots {
		outstanding := Outstanding{Host: f.host, Incarnation: f.inc, Epoch: f.epoch, Slots: f.slots, For: f.until - now}
		tr.Outstanding = append(tr.Outstanding, outstanding)
	}
	s.queueHandoff(tr)
	s.endTerm(now, u, tr)
}

// unlistedSlotsWait returns the time after which the slots of former owners that this host knows from no handoff are
// free.
func (s *State) unlistedSlotsWait(now time.Duration, u *upstreamState) time.Duration {
	var wait time.Duration
	for i := range u.asOwner.pledges {
		p := &u.asOwner.pledges[i]
		if p.previousInc != 0 {
			wait = max(wait, s.usableAt(u, p)-now)
		}
	}
	for _, past := range u.asOwner.pastHandoffs {
		wait = max(wait, past.slotsFreeAt-now)
	}
	return wait
}

// queueHandoff adds the transfer to the next handoff to each reachable member of the data centre.
func (s *State) queueHandoff(tr Transfer) {
	for _, id := range s.table.Members(s.settings.DataCentre) {
		if host, _ := s.table.Get(id); id == s.settings.Host || !host.Reachable {
			continue
		}
		i := slices.IndexFunc(s.pendingHandoffs, func(m Message) bool { return m.To == id })
		if i < 0 {
			i = len(s.pendingHandoffs)
			s.pendingHandoffs = append(s.pendingHandoffs, Message{To: id, Handoff: &Handoff{HeartbeatSeq: s.table.Seq()}})
		}
		h := s.pendingHandoffs[i].Handoff
		h.Upstreams = append(h.Upstreams, tr)
	}
}

// endTerm removes the pledges received. New pledges to this host count if they echo a heartbeat that it sends later.
func (s *State) endTerm(now time.Duration, u *upstreamState, tr Transfer) {
	o := &u.asOwner
	o.voidEchoSeq = s.table.Seq()
	o.pledges = o.pledges[:0]
	o.countStale = true
	o.addPastHandoff(pastHandoff{ownerInc: s.settings.Incarnation, seq: tr.Seq, recordedAt: now, slotsFreeAt: now + tr.Wait})
	s.releaseAfterHandoff(now, u, s.settings.Host, s.settings.Incarnation, tr.Seq)
	s.table.HeartbeatNow(now)
}

// releaseAfterHandoff releases this host's pledge to an owner that handed over.
func (s *State) releaseAfterHandoff(now time.Duration, u *upstreamState, owner ident.HostID, inc ident.Incarnation, seq uint64) {
	own := &u.ownPledge
	if own.owner != owner || own.ownerInc != inc {
		return
	}
	if own.sent {
		own.previousInc, own.handoffSeq = inc, seq
		own.previousUntil = now + s.reclaimDelay(u)
	}
	own.owner = ""
	own.avoidOwner, own.avoidUntil = owner, now+avoidAfterHandoff
}

// HandleHandoff applies the handoff of another owner.
func (s *State) HandleHandoff(now time.Duration, from ident.HostID, inc ident.Incarnation, h *Handoff) {
	s.Advance(now)
	if from == s.settings.Host {
		return
	}
	for i := range h.Upstreams {
		tr := &h.Upstreams[i]
		u, ok := s.upstreams[tr.Upstream]
		if !ok {
			continue
		}
		s.recordHandoff(now, u, inc, tr)
		if u.ownPledge.owner == from && u.ownPledge.echoedSeq <= h.HeartbeatSeq {
			s.releaseAfterHandoff(now, u, from, inc, tr.Seq)
			s.table.HeartbeatNow(now)
		}
		s.updateOwnPledge(now, u)
		s.redistribute(now, u)
	}
}

// recordHandoff stores a transfer and the outstanding slots listed in it.
func (s *State) recordHandoff(now time.Duration, u *upstreamState, inc ident.Incarnation, tr *Transfer) {
	o := &u.asOwner
	for _, outstanding := range tr.Outstanding {
		if outstanding.Slots > 0 && outstanding.For > 0 {
			o.addForeignSlots(foreignSlots{host: outstanding.Host, inc: outstanding.Incarnation, epoch: outstanding.Epoch, slots: outstanding.Slots, until: now + outstanding.For})
		}
	}
	o.addPastHandoff(pastHandoff{
		ownerInc: inc, seq: tr.Seq, recordedAt: now, slotsFreeAt: now + max(0, tr.Wait), limit: tr.Limit, budget: tr.Budget,
	})
	o.countStale = true
}
