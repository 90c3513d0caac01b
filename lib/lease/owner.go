package lease

import (
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// turnDuration is how long a holder keeps its last slots while others have none. It is about the time of a few
// requests, so that a contended upstream does not spend a round trip between hosts for each request.
const turnDuration = 50 * time.Millisecond

// ownerState is the state of this host as an owner of one upstream. The slots that holders may use, now or once the
// messages to them arrive, are the sum of holderAccount.outstanding and foreignSlots.slots. The entitlements, which
// bound what holders may still start after their next allowance, never exceed the share in total.
type ownerState struct {
	pledges []pledge
	// voidEchoSeq is the sequence number of this host's last heartbeat before its last handoff. Pledges that echo it or
	// an earlier one are void.
	voidEchoSeq  uint64
	pastHandoffs []pastHandoff
	foreignSlots []foreignSlots
	accounts     []*holderAccount
	// usablePledges, majority and memberCount are the result of the last count of pledges. It is valid for
	// countRevision of the member table and before countValidUntil, unless countStale is set.
	usablePledges   int
	majority        bool
	countStale      bool
	countValidUntil time.Duration
	countRevision   uint64
	// owning reports that at least one pledge to this host is usable.
	owning bool
	// memberCount is the number of members of the data centre.
	memberCount int
	limitState
}

// holderAccount is the owner's account of the slots of one upstream that one incarnation of a holder has.
type holderAccount struct {
	host  ident.HostID
	inc   ident.Incarnation
	epoch uint64
	// held, seen, want and conns are copied from the last demand; granted is the Allowance.Total of the epoch.
	held          int
	seen, granted uint64
	want          int
	conns         int
	// entitled is the most slots that the holder may keep; see Allowance.Keep.
	entitled int
	// demandAt is the time at which the last demand arrived, demandSentAt its time of sending on the holder's clock.
	demandAt, demandSentAt time.Duration
	// lastGrantAt is the time of the last slot granted.
	lastGrantAt time.Duration
	report      Report
	// prepaidConns is the number of new connections charged to the budget and not yet reported by the holder.
	prepaidConns int
	// promisedSlots counts the slots that the current run of callBackSlots reserves for this holder: slots on their way
	// back from other holders and slots that it calls back.
	promisedSlots int
	// queued reports that the account is in the grant queue of its host.
	queued bool
	// void reports that the next allowance tells the holder to start a new epoch.
	void     bool
	upstream *upstreamState
}

// outstanding returns the most slots that the holder may be using under this owner.
func (acct *holderAccount) outstanding() int { return acct.held + int(acct.granted-acct.seen) }

// unmet returns the number of slots that the holder wants beyond those granted but not yet acknowledged.
func (acct *holderAccount) unmet() int { return max(0, acct.want-int(acct.granted-acct.seen)) }

// foreignSlots are slots of one holder that another owner, or this one in a former term, granted and then handed over.
type foreignSlots struct {
	host  ident.HostID
	inc   ident.Incarnation
	epoch uint64
	slots int
	// until is the time from which the slots are free if no demand of the holder arrives.
	until time.Duration
}

// grantQueue gathers the accounts whose allowances go into the next grant to one host.
type grantQueue struct{ accounts []*holderAccount }

// needsHousekeeping reports whether the housekeeping has to redistribute the slots.
func (o *ownerState) needsHousekeeping() bool {
	return o.owning || len(o.accounts) > 0 || len(o.foreignSlots) > 0 || len(o.pledges) > 0
}

// outstanding returns the number of slots that may be in use, including those of former owners.
func (o *ownerState) outstanding(now time.Duration) int {
	n := 0
	for _, acct := range o.accounts {
		n += acct.outstanding()
	}
	for _, f := range o.foreignSlots {
		if f.until > now {
			n += f.slots
		}
	}
	return n
}

// addForeignSlots records slots that another owner granted. The same slots can become known in two ways; the larger
// number and the later time count.
func (o *ownerState) addForeignSlots(f foreignSlots) {
	for i := range o.foreignSlots {
		g := &o.foreignSlots[i]
		if g.host == f.host && g.inc == f.inc && g.epoch == f.epoch {
			g.slots = max(g.slots, f.slots)
			g.until = max(g.until, f.until)
			return
		}
	}
	o.foreignSlots = append(o.foreignSlots, f)
}

// addPastHandoff records a handoff in place of an earlier one by the same incarnation.
func (o *ownerState) addPastHandoff(past pastHandoff) {
	for i := range o.pastHandoffs {
		if o.pastHandoffs[i].ownerInc == past.ownerInc {
			past.slotsFreeAt = max(past.slotsFreeAt, o.pastHandoffs[i].slotsFreeAt)
			past.seq = max(past.seq, o.pastHandoffs[i].seq)
			o.pastHandoffs[i] = past
			return
		}
	}
	o.pastHandoffs = append(o.pastHandoffs, past)
}

// expireOwnerState removes expired state, above all the slots of holders that have sent no demand for the reclaim
// delay.
func (s *State) expireOwnerState(now time.Duration, u *upstreamState) {
	o := &u.asOwner
	delay := s.reclaimDelay(u)
	if s.disabled.reclaimDelay {
		delay = s.settings.Lease
	}
	o.accounts = slices.DeleteFunc(o.accounts, func(acct *holderAccount) bool {
		return !acct.queued && acct.host != s.settings.Host && now >= acct.demandAt+delay
	})
	o.foreignSlots = slices.DeleteFunc(o.foreignSlots, func(f foreignSlots) bool { return now >= f.until })
	o.pastHandoffs = slices.DeleteFunc(o.pastHandoffs, func(past pastHandoff) bool {
		return now >= max(past.recordedAt+s.reclaimDelay(u), past.slotsFreeAt)+s.settings.Pledge
	})
	o.pledges = slices.DeleteFunc(o.pledges, func(p pledge) bool { return now-s.reclaimDelay(u) >= p.until })
}

// HandleRequest applies a holder's request. It drops requests for another incarnation and those out of order. The next
// Outbox returns the answer.
func (s *State) HandleRequest(now time.Duration, from ident.HostID, inc ident.Incarnation, r *SlotRequest) {
	s.Advance(now)
	if r.Owner != s.settings.Incarnation || !s.acceptSeq(now, from, inc, r.Seq, 0) {
		return
	}
	s.applyRequest(now, from, inc, r)
}

func (s *State) applyRequest(now time.Duration, from ident.HostID, inc ident.Incarnation, r *SlotRequest) {
	for i := range r.Upstreams {
		d := &r.Upstreams[i]
		u, ok := s.upstreams[d.Upstream]
		if !ok {
			continue
		}
		acct := s.applyDemand(now, u, from, inc, d)
		acct.demandSentAt = r.SentAt
		s.queueAllowance(acct)
		s.redistribute(now, u)
	}
}

// applyDemand updates the account of a holder from its demand.
func (s *State) applyDemand(now time.Duration, u *upstreamState, from ident.HostID, inc ident.Incarnation, d *Demand) *holderAccount {
	o := &u.asOwner
	acct := s.findAccount(u, from, inc)
	if acct == nil || acct.epoch != d.Epoch {
		acct = s.startAccount(u, acct, from, inc, d)
	}
	acct.demandAt = now
	acct.held = d.Held
	acct.seen = d.Seen
	acct.granted = max(acct.granted, d.Seen)
	acct.want = d.Want
	acct.conns = d.Conns
	acct.entitled = min(acct.entitled, acct.outstanding())
	acct.void = o.removeGivenUpSlots(from, inc, d.Epoch)
	s.applyReport(now, u, acct, d.Report)
	return acct
}

// removeGivenUpSlots removes the foreign slots that a holder gave up with an earlier epoch, and reports whether it has
// some in the given epoch.
func (o *ownerState) removeGivenUpSlots(host ident.HostID, inc ident.Incarnation, epoch uint64) bool {
	current := false
	o.foreignSlots = slices.DeleteFunc(o.foreignSlots, func(f foreignSlots) bool {
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

func (s *State) findAccount(u *upstreamState, host ident.HostID, inc ident.Incarnation) *holderAccount {
	for _, acct := range u.asOwner.accounts {
		if acct.inc == inc && acct.host == host {
			return acct
		}
	}
	return nil
}

// startAccount starts the account of a holder's epoch, in place of that of a former epoch. The new account grants
// nothing: the slots held according to the demand were granted by another owner, or by this one before it removed the
// former account.
func (s *State) startAccount(u *upstreamState, former *holderAccount, host ident.HostID, inc ident.Incarnation, d *Demand) *holderAccount {
	acct := former
	if acct == nil {
		acct = &holderAccount{host: host, inc: inc, upstream: u}
		u.asOwner.accounts = append(u.asOwner.accounts, acct)
	}
	acct.epoch = d.Epoch
	acct.granted = d.Seen
	acct.entitled = 0
	acct.prepaidConns = 0
	acct.report = Report{}
	if d.Seen > 0 {
		acct.report = d.Report
	}
	return acct
}

// convertToForeign turns the accounts of this owner into foreign slots, as the next owner sees them after a handoff.
func (s *State) convertToForeign(now time.Duration, u *upstreamState) {
	o := &u.asOwner
	o.foreignSlots = slices.DeleteFunc(o.foreignSlots, func(f foreignSlots) bool { return now >= f.until })
	for _, acct := range o.accounts {
		if n := acct.outstanding(); n > 0 {
			until := acct.demandAt + s.reclaimDelay(u)
			if acct.host == s.settings.Host {
				until = now + s.reclaimDelay(u)
			}
			o.addForeignSlots(foreignSlots{host: acct.host, inc: acct.inc, epoch: acct.epoch, slots: n, until: until})
		}
		s.dequeueAllowance(acct)
	}
	o.accounts = nil
}

// redistribute lowers the entitlements at an upstream to fit the share, grants free slots to the holders that want
// them, and calls slots back for the holders that have fewer than others.
func (s *State) redistribute(now time.Duration, u *upstreamState) {
	o := &u.asOwner
	share := s.share(now, u)
	if len(o.accounts) == 0 {
		return
	}
	s.reduceEntitlements(o, share)
	s.grantFreeSlots(now, u, share)
	s.callBackSlots(now, u)
}

// reduceEntitlements lowers the largest entitlement by one, repeatedly, until the sum fits the share.
func (s *State) reduceEntitlements(o *ownerState, share int) {
	sum := 0
	for _, acct := range o.accounts {
		sum += acct.entitled
	}
	for ; sum > share; sum-- {
		largest := o.accounts[0]
		for _, acct := range o.accounts {
			if acct.entitled > largest.entitled {
				largest = acct
			}
		}
		largest.entitled--
		s.queueAllowance(largest)
	}
}

// grantFreeSlots grants free slots to the holders that want more, first to the one with the fewest.
func (s *State) grantFreeSlots(now time.Duration, u *upstreamState, share int) {
	o := &u.asOwner
	for total := o.outstanding(now); total < share; {
		acct := s.neediest(now, u)
		if acct == nil {
			break
		}
		if acct.entitled == acct.outstanding() {
			s.chargeConn(u, acct)
			acct.granted++
			total++
		}
		acct.entitled++
		acct.lastGrantAt = now
		s.queueAllowance(acct)
	}
}

// neediest returns the holder that gets the next slot: among those that want one, the one with the fewest slots. A slot
// beyond the holder's connections needs budget for a new connection.
func (s *State) neediest(now time.Duration, u *upstreamState) *holderAccount {
	var best *holderAccount
	for _, acct := range u.asOwner.accounts {
		if acct.unmet() == 0 || acct.void || !s.canAffordSlot(now, u, acct) {
			continue
		}
		if best == nil || acct.entitled < best.entitled || acct.entitled == best.entitled && acct.lastGrantAt < best.lastGrantAt {
			best = acct
		}
	}
	return best
}

// callBackSlots lowers the entitlements of some holders in favour of those with fewer slots. Slots that are already on
// their way back are counted first.
func (s *State) callBackSlots(now time.Duration, u *upstreamState) {
	o := &u.asOwner
	returning := 0
	for _, acct := range o.accounts {
		acct.promisedSlots = 0
		if now-acct.demandAt < s.settings.Lease {
			returning += acct.outstanding() - acct.entitled
		}
	}
	for {
		recipient := o.callBackRecipient()
		if recipient == nil {
			break
		}
		recipient.promisedSlots++
		if returning > 0 {
			returning--
			continue
		}
		donor := o.callBackDonor(now, recipient)
		if donor == nil {
			break
		}
		donor.entitled--
		s.queueAllowance(donor)
	}
}

// callBackRecipient returns the holder with the fewest slots, granted or promised, among those that want still more.
func (o *ownerState) callBackRecipient() *holderAccount {
	var recipient *holderAccount
	for _, acct := range o.accounts {
		if acct.unmet() <= acct.promisedSlots || acct.void {
			continue
		}
		if recipient == nil || acct.entitled+acct.promisedSlots < recipient.entitled+recipient.promisedSlots {
			recipient = acct
		}
	}
	return recipient
}

// callBackDonor returns the holder that gives up a slot for the recipient: it has at least two more than the recipient,
// or its turn is over and the recipient has none. The recipient's promisedSlots already include this slot.
func (o *ownerState) callBackDonor(now time.Duration, recipient *holderAccount) *holderAccount {
	var donor *holderAccount
	recipientSlots := recipient.entitled + recipient.promisedSlots - 1
	for _, acct := range o.accounts {
		if acct == recipient || acct.entitled == 0 || acct.promisedSlots > 0 {
			continue
		}
		turnOver := recipientSlots == 0 && now-acct.lastGrantAt >= turnDuration
		if acct.entitled < recipientSlots+2 && !turnOver {
			continue
		}
		if donor == nil || acct.entitled > donor.entitled || acct.entitled == donor.entitled && acct.lastGrantAt < donor.lastGrantAt {
			donor = acct
		}
	}
	return donor
}

// queueAllowance puts the allowance of an account into the next grant to the holder's host.
func (s *State) queueAllowance(acct *holderAccount) {
	if acct.queued {
		return
	}
	acct.queued = true
	q, ok := s.grantQueues[acct.host]
	if !ok {
		q = &grantQueue{}
		s.grantQueues[acct.host] = q
	}
	q.accounts = append(q.accounts, acct)
}

func (s *State) dequeueAllowance(acct *holderAccount) {
	if !acct.queued {
		return
	}
	acct.queued = false
	q := s.grantQueues[acct.host]
	q.accounts = slices.DeleteFunc(q.accounts, func(q *holderAccount) bool { return q == acct })
}

// flushGrants builds the queued grants and appends them to out. The grant to this host itself is applied at once
// instead.
func (s *State) flushGrants(now time.Duration, out []Message) []Message {
	for _, id := range s.hostsWithPendingGrants() {
		q := s.grantQueues[id]
		host, ok := s.table.Get(id)
		// Building an allowance can lower the entitlement of another account, which queues that account.
		accounts := q.accounts
		q.accounts = nil
		g := &SlotGrant{Holder: host.Incarnation, Upstreams: make([]Allowance, 0, len(accounts))}
		for _, acct := range accounts {
			acct.queued = false
			if ok && acct.inc == host.Incarnation {
				g.Upstreams = append(g.Upstreams, s.buildAllowance(now, acct))
			}
		}
		if len(g.Upstreams) == 0 {
			continue
		}
		s.grantSeq++
		g.Seq = s.grantSeq
		if id == s.settings.Host {
			s.applyGrant(now, s.settings.Host, s.settings.Incarnation, g)
			continue
		}
		out = append(out, Message{To: id, Grant: g})
	}
	return out
}

// hostsWithPendingGrants returns the hosts with queued allowances by ascending ID, which makes each step deterministic.
func (s *State) hostsWithPendingGrants() []ident.HostID {
	var ids []ident.HostID
	for id, q := range s.grantQueues {
		if len(q.accounts) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *State) buildAllowance(now time.Duration, acct *holderAccount) Allowance {
	// Time alone may have lowered the share since the last redistribution, for instance as a pledge expired.
	s.reduceEntitlements(&acct.upstream.asOwner, s.share(now, acct.upstream))
	return Allowance{
		Upstream: acct.upstream.ID, Epoch: acct.epoch, SentAt: acct.demandSentAt, Total: acct.granted, Keep: acct.entitled, Void: acct.void,
	}
}

// Owner returns the elected owner of an upstream in this host's view, and false if there is none.
func (s *State) Owner(id ident.UpstreamID) (ident.HostID, bool) {
	u, ok := s.upstreams[id]
	if !ok || u.elected == "" {
		return "", false
	}
	return u.elected, true
}
