package lease

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

const (
	// housekeepingInterval is the time between two runs of housekeep. It does not affect safety: leases, pledges and
	// shares are checked against the time of each use.
	housekeepingInterval = 50 * time.Millisecond
	// configPropagationTime is the time within which a changed deadline is in effect on every host.
	configPropagationTime = 5 * time.Second
	// seqRetention is how long the sequence numbers of a silent sender are kept. It exceeds the longest delay of a
	// message between two hosts.
	seqRetention = time.Minute
)

// Settings are fixed for the life of a State.
type Settings struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Lease is how long a lease is valid after the sending of the last answered request, 500 ms by default.
	Lease time.Duration
	// Pledge is how long a pledge is valid after the sending of the heartbeat that it echoes, 1 s by default.
	Pledge time.Duration
	// Margin is added to the reclaim delay for clock drift and the clock difference to upstreams, 100 ms by default.
	Margin time.Duration
	// RenewInterval is the interval at which a holder renews its leases, 100 ms by default.
	RenewInterval time.Duration
	// MinRequestInterval is the least time between two requests to one owner, except renewals, 2 ms by default. Without
	// it a queue that grows under overload would cause a request for each arrival.
	MinRequestInterval time.Duration
}

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&s.Lease, 500*time.Millisecond)
	set(&s.Pledge, time.Second)
	set(&s.Margin, 100*time.Millisecond)
	set(&s.RenewInterval, 100*time.Millisecond)
	set(&s.MinRequestInterval, 2*time.Millisecond)
	return s
}

// Upstream describes one upstream according to the settings, the host list and the operators.
type Upstream struct {
	ID         ident.UpstreamID
	DataCentre ident.DataCentre
	// Slots is the greatest number of concurrent requests that the upstream can serve, ColdSlots that in a cold start.
	// Zero ColdSlots means 1.
	Slots, ColdSlots int
	// Deadline is the longest deadline among the classes of the upstream's service.
	Deadline time.Duration
	// NoNewWork reports that the upstream gets no new work: it or its data centre is taken out of service, or it is
	// leaving.
	NoNewWork bool
	// ProbeCost and ConnCost are the time that the upstream spends on a probe and on a new connection.
	ProbeCost, ConnCost time.Duration
	// MeasuringShare is the fraction of the upstream's time that probes and new connections may take; zero means 0.01.
	MeasuringShare float64
}

// Message is one message to another host; exactly one of the pointers is set.
type Message struct {
	To      ident.HostID
	Request *SlotRequest
	Grant   *SlotGrant
	Handoff *Handoff
}

// State is one host's state in the division of the slots: it pledges to owners, grants slots as an owner and uses slots
// as a holder. It is not safe for concurrent use. The times passed to its methods must not decrease.
//
// After each event the messages that Outbox returns must be sent; then the new slots at the upstreams that Ready returns
// can be used. Outbox also applies the requests and grants of this host to itself.
type State struct {
	settings  Settings
	table     *member.Table
	upstreams map[ident.UpstreamID]*upstreamState
	// upstreamOrder holds the upstreams in the order in which they were added.
	upstreamOrder []*upstreamState
	// tableRevision is the revision of the table for which the owners were elected.
	tableRevision uint64
	// advancedAt is the time of the last Advance, housekeepAt that of the next housekeeping, renewAt that of the next
	// renewal.
	advancedAt, housekeepAt, renewAt time.Duration
	// pledgeFrom is the time before which this host makes no pledge, because pledges by a former incarnation, or by
	// this one before a long stop, may be valid until then.
	pledgeFrom time.Duration
	// requestQueues is keyed by the owner, grantQueues by the holder's host.
	requestQueues   map[ident.HostID]*requestQueue
	grantQueues     map[ident.HostID]*grantQueue
	pendingHandoffs []Message
	ready           []ident.UpstreamID
	// requestSeq, grantSeq and handoffSeq are the last sequence numbers of this host's messages and transfers.
	requestSeq, grantSeq, handoffSeq uint64
	// lastSeqs is keyed by the sender's incarnation; entries are removed after seqRetention.
	lastSeqs map[ident.Incarnation]*senderSeqs
	disabled disabledRules
}

// senderSeqs holds the last sequence numbers received from one incarnation.
type senderSeqs struct {
	request, grant uint64
	receivedAt     time.Duration
}

// disabledRules names the safety rules that a test can switch off, to show that the other tests detect a missing rule.
// With roundingDown, every owner rounds its share up.
type disabledRules struct{ formerOwnerWait, roundingDown, reclaimDelay, restartWait bool }

// upstreamState is the state of one upstream: this host's pledge, its state as an owner and its state as a holder.
type upstreamState struct {
	Upstream
	// startDeadline bounds the deadlines of new requests, reclaimDeadline those of requests that may be in flight. A
	// longer Deadline takes effect on startDeadline at startDeadlineChangeAt, a shorter one on reclaimDeadline at
	// reclaimDeadlineChangeAt, because other hosts may have the former configuration until then.
	startDeadline, reclaimDeadline                 time.Duration
	startDeadlineChangeAt, reclaimDeadlineChangeAt time.Duration
	hash                                           uint64
	// elected is the owner of the upstream in this host's view, empty if there is none.
	elected    ident.HostID
	electedInc ident.Incarnation
	ownPledge  ownPledge
	asOwner    ownerState
	asHolder   holderState
}

// New returns a state without upstreams. The state reads and advances the table; host lists and heartbeats must be passed
// to the table first.
func New(now time.Duration, s Settings, table *member.Table) *State {
	s = s.withDefaults()
	return &State{
		settings:      s,
		table:         table,
		upstreams:     map[ident.UpstreamID]*upstreamState{},
		advancedAt:    now,
		housekeepAt:   now,
		renewAt:       now + s.RenewInterval,
		pledgeFrom:    now + s.Pledge,
		requestQueues: map[ident.HostID]*requestQueue{},
		grantQueues:   map[ident.HostID]*grantQueue{},
		lastSeqs:      map[ident.Incarnation]*senderSeqs{},
	}
}

// SetUpstreams replaces the set of upstreams. A removed upstream must have no request in flight on this host. One whose
// slots may still be in use stays, without new work, until a later call.
func (s *State) SetUpstreams(now time.Duration, upstreams []Upstream) {
	s.Advance(now)
	listed := make(map[ident.UpstreamID]struct{}, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = struct{}{}
		s.setUpstream(now, u)
	}
	s.removeUpstreams(now, listed)
	s.elect(now)
	for _, u := range s.upstreamOrder {
		s.redistribute(now, u)
	}
}

func (s *State) setUpstream(now time.Duration, up Upstream) {
	up.ColdSlots = min(max(up.ColdSlots, 1), up.Slots)
	if up.MeasuringShare == 0 {
		up.MeasuringShare = 0.01
	}
	u, ok := s.upstreams[up.ID]
	if !ok {
		u = &upstreamState{hash: xxhash.Sum64String(string(up.ID)), startDeadline: up.Deadline, reclaimDeadline: up.Deadline}
		u.startDeadlineChangeAt, u.reclaimDeadlineChangeAt = member.Never, member.Never
		u.Upstream = up
		u.ownPledge.slotsFreeAt = s.slotsFreeAfterStart(u)
		u.asOwner.limit = up.ColdSlots
		u.asOwner.budgetAt = now
		s.upstreams[up.ID] = u
		s.upstreamOrder = append(s.upstreamOrder, u)
		return
	}
	if up.Deadline != u.Deadline {
		u.setDeadline(now, s.reclaimDelay(u), up.Deadline)
	}
	if u.NoNewWork && !up.NoNewWork {
		u.asOwner.resetToCold(up.ColdSlots)
		u.asOwner.draining = false
	}
	if up.NoNewWork {
		u.asHolder.want = 0
	}
	u.Upstream = up
	u.asOwner.limit = min(max(u.asOwner.limit, up.ColdSlots), up.Slots)
	u.asOwner.countStale = true
}

// setDeadline changes the deadline in steps, so that no host starts a request with a deadline beyond the time that
// another host waits before it reuses the slot.
func (u *upstreamState) setDeadline(now, delay, d time.Duration) {
	u.startDeadline = min(u.startDeadline, d)
	u.reclaimDeadline = max(u.reclaimDeadline, d)
	u.startDeadlineChangeAt = now + configPropagationTime
	u.reclaimDeadlineChangeAt = now + configPropagationTime + delay
}

func (u *upstreamState) advanceDeadline(now time.Duration) {
	if now >= u.startDeadlineChangeAt {
		u.startDeadline = u.Deadline
		u.startDeadlineChangeAt = member.Never
	}
	if now >= u.reclaimDeadlineChangeAt {
		u.reclaimDeadline = u.Deadline
		u.reclaimDeadlineChangeAt = member.Never
	}
}

func (s *State) removeUpstreams(now time.Duration, listed map[ident.UpstreamID]struct{}) {
	kept := s.upstreamOrder[:0]
	for _, u := range s.upstreamOrder {
		_, ok := listed[u.ID]
		if !ok && u.removable(now) {
			delete(s.upstreams, u.ID)
			continue
		}
		if !ok {
			u.NoNewWork = true
			u.asOwner.countStale = true
		}
		kept = append(kept, u)
	}
	clear(s.upstreamOrder[len(kept):])
	s.upstreamOrder = kept
}

// removable reports that no slot of the upstream can be in use.
func (u *upstreamState) removable(now time.Duration) bool {
	return u.asHolder.inFlight == 0 && u.asHolder.held == 0 && u.asOwner.outstanding(now) == 0
}

// reclaimDelay returns the time after which the slots of a silent holder or owner are certainly unused.
func (s *State) reclaimDelay(u *upstreamState) time.Duration {
	return s.settings.Lease + u.reclaimDeadline + s.settings.Margin
}

// Wake returns the next time at which Advance or Outbox has work.
func (s *State) Wake() time.Duration {
	wake := min(s.housekeepAt, s.renewAt)
	for _, q := range s.requestQueues {
		wake = min(wake, q.dueAt)
	}
	return wake
}

// Advance runs the elections, housekeeping and renewals that are due. The other methods call it as needed.
func (s *State) Advance(now time.Duration) {
	gap := now - s.advancedAt
	s.advancedAt = max(s.advancedAt, now)
	s.table.Advance(now)
	if gap > s.settings.Pledge && len(s.upstreams) > 0 {
		s.resume(now)
	}
	if s.tableRevision != s.table.Revision() {
		s.elect(now)
	}
	if now >= s.housekeepAt {
		s.housekeepAt = now + housekeepingInterval
		s.housekeep(now)
	}
	if now >= s.renewAt {
		s.renewAt = now + s.settings.RenewInterval
		s.renewAll(now)
	}
}

func (s *State) housekeep(now time.Duration) {
	maps.DeleteFunc(s.lastSeqs, func(_ ident.Incarnation, seqs *senderSeqs) bool { return now-seqs.receivedAt > seqRetention })
	for _, u := range s.upstreamOrder {
		u.advanceDeadline(now)
		s.updateOwnPledge(now, u)
		s.expireOwnerState(now, u)
		s.returnUnused(now, u)
		if u.asOwner.needsHousekeeping() {
			s.redistribute(now, u)
		}
	}
}

// resume handles a pause of the process that was longer than a pledge is valid. Other hosts may have removed this host
// from their members in the meantime, so its pledges wait as long as those of a new incarnation.
func (s *State) resume(now time.Duration) {
	s.pledgeFrom = now + s.settings.Pledge
	for _, u := range s.upstreamOrder {
		if u.ownPledge.owner == s.settings.Host {
			s.removePledge(u, s.settings.Host)
		}
		u.ownPledge = ownPledge{slotsFreeAt: max(u.ownPledge.slotsFreeAt, s.slotsFreeAfterStart(u))}
	}
}

// slotsFreeAfterStart returns the time from which the slots granted by virtue of this host's pledges before its start
// are unused.
func (s *State) slotsFreeAfterStart(u *upstreamState) time.Duration {
	if s.disabled.restartWait {
		return 0
	}
	return s.pledgeFrom + s.reclaimDelay(u)
}

// elect elects the owners anew after a change of the member table.
func (s *State) elect(now time.Duration) {
	s.tableRevision = s.table.Revision()
	ranks := map[ident.DataCentre][]candidate{}
	for _, h := range s.table.Hosts() {
		if h.Reachable && !h.Leaving {
			c := candidate{id: h.ID, inc: h.Incarnation, hash: xxhash.Sum64String(string(h.ID))}
			ranks[h.DataCentre] = append(ranks[h.DataCentre], c)
		}
	}
	for _, u := range s.upstreamOrder {
		u.asOwner.countStale = true
		owner := electOwner(ranks[u.DataCentre], u.hash)
		wasElected := u.elected == s.settings.Host
		u.elected, u.electedInc = owner.id, owner.inc
		if (wasElected || s.table.Self().Leaving) && u.elected != s.settings.Host {
			s.handOver(now, u)
		}
		s.updateOwnPledge(now, u)
		s.switchOwner(now, u)
	}
}

type candidate struct {
	id   ident.HostID
	inc  ident.Incarnation
	hash uint64
}

// electOwner returns the candidate with the highest rendezvous hash, or the zero candidate if there are none.
func electOwner(candidates []candidate, upstreamHash uint64) candidate {
	var top candidate
	var score uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[8:], upstreamHash)
	for _, c := range candidates {
		binary.LittleEndian.PutUint64(pair[:8], c.hash)
		h := xxhash.Sum64(pair[:])
		if top.id == "" || h > score || h == score && c.id < top.id {
			top, score = c, h
		}
	}
	return top
}

// acceptSeq reports whether a message is newer than the last one of the same kind from the same incarnation, and
// records its sequence number. A sequence number of zero stands for a message of the other kind.
func (s *State) acceptSeq(now time.Duration, from ident.HostID, inc ident.Incarnation, request, grant uint64) bool {
	if host, ok := s.table.Get(from); !ok || host.Incarnation != inc {
		return false
	}
	seqs, ok := s.lastSeqs[inc]
	if !ok {
		seqs = &senderSeqs{}
		s.lastSeqs[inc] = seqs
	}
	if request != 0 && request <= seqs.request || grant != 0 && grant <= seqs.grant {
		return false
	}
	seqs.request = max(seqs.request, request)
	seqs.grant = max(seqs.grant, grant)
	seqs.receivedAt = now
	return true
}

// Ready returns the upstreams that gained a free slot since the last call.
func (s *State) Ready() []ident.UpstreamID {
	out := s.ready
	s.ready = nil
	return out
}

// Outbox returns the messages that are due, in the order in which they must be sent. Requests and grants of this host
// to itself are applied without a message.
func (s *State) Outbox(now time.Duration) []Message {
	s.Advance(now)
	out := s.pendingHandoffs
	s.pendingHandoffs = nil
	// A grant of this host to itself can cause another request to itself, for instance after a void allowance.
	for range 4 {
		out = s.flushRequests(now, out)
		out = s.flushGrants(now, out)
		if !s.ownMessagesDue() {
			break
		}
	}
	return out
}

func (s *State) ownMessagesDue() bool {
	q, ok := s.requestQueues[s.settings.Host]
	r, replies := s.grantQueues[s.settings.Host]
	return ok && len(q.upstreams) > 0 && q.dueAt <= s.advancedAt || replies && len(r.accounts) > 0
}

// Status describes one upstream on the operators' page.
type Status struct {
	// Owner is the owner in this host's view.
	Owner ident.HostID
	// Pledges is the number of members whose pledges to this host count, Members the number of members of the
	// upstream's data centre.
	Pledges, Members int
	// Limit is this host's estimate of the capacity in slots, Share the number of slots that it may grant as an owner,
	// Outstanding the number of slots that holders may be using.
	Limit, Share, Outstanding int
	// Held is the number of slots that this host has as a holder, InFlight the number of those in use, LeaseEnd the end
	// of its lease.
	Held, InFlight int
	LeaseEnd       time.Duration
	Draining       bool
}

// Status returns the state of an upstream.
func (s *State) Status(now time.Duration, id ident.UpstreamID) (Status, bool) {
	u, ok := s.upstreams[id]
	if !ok {
		return Status{}, false
	}
	share := s.share(now, u)
	return Status{
		Owner: u.elected, Pledges: u.asOwner.usablePledges, Members: len(s.table.Members(u.DataCentre)),
		Limit: u.asOwner.limit, Share: share, Outstanding: u.asOwner.outstanding(now),
		Held: u.asHolder.held, InFlight: u.asHolder.inFlight, LeaseEnd: u.asHolder.leaseEnd, Draining: u.asOwner.draining,
	}, true
}
