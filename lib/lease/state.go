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
	// tick is the interval of the housekeeping. Safety does not depend on it: leases, pledges and shares are checked
	// against the time of each use.
	tick = 50 * time.Millisecond
	// confSpread is the time within which a changed deadline is in effect on every host.
	confSpread = 5 * time.Second
	// heardKept is longer than a message can be delayed between two hosts.
	heardKept = time.Minute
)

// Settings are fixed for the life of a State.
type Settings struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Lease is the validity of a lease from the sending of the last answered request, 500 ms by default.
	Lease time.Duration
	// Pledge is the validity of a pledge from the sending of the heartbeat it echoes, 1 s by default.
	Pledge time.Duration
	// Margin covers clock drift and the clock difference to upstreams, 100 ms by default.
	Margin time.Duration
	// Renew is the interval of a holder's requests, 100 ms by default.
	Renew time.Duration
	// Gather is the least time between two requests to one owner, 2 ms by default: a queue that grows
	// under overload would otherwise cause a request for each arrival.
	Gather time.Duration
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
	set(&s.Renew, 100*time.Millisecond)
	set(&s.Gather, 2*time.Millisecond)
	return s
}

// Upstream is what the settings, the host list and the operators say about one upstream.
type Upstream struct {
	ID         ident.UpstreamID
	DataCentre ident.DataCentre
	// Slots is the most that the upstream bears, ColdSlots what it bears in a cold start; zero means 1.
	Slots, ColdSlots int
	// Deadline is the longest deadline of the classes of the service.
	Deadline time.Duration
	// Out reports that the upstream gets no new work: taken out of service (itself or its data centre) or leaving.
	Out bool
	// ProbeCost and ConnCost are the upstream's time for a probe and for a new connection.
	ProbeCost, ConnCost time.Duration
	// Share is the part of the upstream's time that measuring may take; zero means 0.01.
	Share float64
}

// Message is one message to another host; exactly one of the pointers is set.
type Message struct {
	To      ident.HostID
	Request *Request
	Grant   *Grant
	Handoff *Handoff
}

// State is the part of one host in the division of the slots: it pledges, owns and holds. It is not safe for
// concurrent use. Every method that takes the time may be called with any time not before the last one.
//
// After each event the caller takes the messages with Outbox, in which requests of this host to itself are also
// handled, and then the upstreams with Ready.
type State struct {
	settings Settings
	table    *member.Table
	units    map[ident.UpstreamID]*unit
	// order holds the units in the order in which they were added.
	order []*unit
	// revision is the one of the table for which the owners were computed.
	revision uint64
	// advanced is the time of the last Advance, next that of the next housekeeping, renew that of the next renewal.
	advanced, next, renew time.Duration
	// pledgeFrom is the time of the first pledge: a former incarnation of this host, or this one before a long stop,
	// may have pledged until then.
	pledgeFrom time.Duration
	// contacts are the owners that this host sends requests to, replies the hosts with grants to send.
	contacts map[ident.HostID]*contact
	replies  map[ident.HostID]*reply
	handoffs []Message
	ready    []ident.UpstreamID
	// requestSeq, grantSeq and handoffSeq number the own messages.
	requestSeq, grantSeq, handoffSeq uint64
	// heard holds the senders of the last minute.
	heard  map[ident.Incarnation]*heardSeq
	guards guards
}

// heardSeq is the last sequence numbers received from one incarnation, and when.
type heardSeq struct {
	request, grant uint64
	at             time.Duration
}

// guards switches off single rules, to show that the tests detect their absence.
type guards struct{ noHold, roundUp, noReclaimDelay, noRestartWait bool }

// unit is the state of one upstream in all three parts.
type unit struct {
	Upstream
	// startDeadline bounds the deadlines of new requests, holdDeadline those of requests that may be in flight. They
	// follow Deadline late, at startAt and holdAt, because other hosts may have the former configuration.
	startDeadline, holdDeadline time.Duration
	startAt, holdAt             time.Duration
	hash                        uint64
	// best is the host that should own the upstream in this host's view, empty if there is none.
	best    ident.HostID
	bestInc ident.Incarnation
	vote    vote
	term    term
	claim   claim
}

// New returns a state without upstreams. The table must be advanced and fed by the caller.
func New(now time.Duration, s Settings, table *member.Table) *State {
	s = s.withDefaults()
	return &State{
		settings:   s,
		table:      table,
		units:      map[ident.UpstreamID]*unit{},
		advanced:   now,
		next:       now,
		renew:      now + s.Renew,
		pledgeFrom: now + s.Pledge,
		contacts:   map[ident.HostID]*contact{},
		replies:    map[ident.HostID]*reply{},
		heard:      map[ident.Incarnation]*heardSeq{},
	}
}

// SetUpstreams replaces the set of upstreams. A removed upstream must have no request in flight on this host; one
// that has keeps its state, without new work, until a later call.
func (s *State) SetUpstreams(now time.Duration, upstreams []Upstream) {
	s.Advance(now)
	listed := make(map[ident.UpstreamID]struct{}, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = struct{}{}
		s.setUpstream(now, u)
	}
	s.removeUpstreams(now, listed)
	s.elect(now)
	for _, u := range s.order {
		s.settle(now, u)
	}
}

func (s *State) setUpstream(now time.Duration, up Upstream) {
	up.ColdSlots = min(max(up.ColdSlots, 1), up.Slots)
	if up.Share == 0 {
		up.Share = 0.01
	}
	u, ok := s.units[up.ID]
	if !ok {
		u = &unit{hash: xxhash.Sum64String(string(up.ID)), startDeadline: up.Deadline, holdDeadline: up.Deadline}
		u.startAt, u.holdAt = member.Never, member.Never
		u.Upstream = up
		u.vote.quietAt = s.quietAfterStart(u)
		u.term.limit = up.ColdSlots
		u.term.budgetAt = now
		s.units[up.ID] = u
		s.order = append(s.order, u)
		return
	}
	if up.Deadline != u.Deadline {
		u.setDeadline(now, s.hold(u), up.Deadline)
	}
	if u.Out && !up.Out {
		u.term.fall(up.ColdSlots)
		u.term.draining = false
	}
	if up.Out {
		u.claim.want = 0
	}
	u.Upstream = up
	u.term.limit = min(max(u.term.limit, up.ColdSlots), up.Slots)
	u.term.stale = true
}

// setDeadline changes the deadline such that no host starts a request that outlasts what another host waits.
func (u *unit) setDeadline(now, hold, d time.Duration) {
	u.startDeadline = min(u.startDeadline, d)
	u.holdDeadline = max(u.holdDeadline, d)
	u.startAt = now + confSpread
	u.holdAt = now + confSpread + hold
}

func (u *unit) advanceDeadline(now time.Duration) {
	if now >= u.startAt {
		u.startDeadline = u.Deadline
		u.startAt = member.Never
	}
	if now >= u.holdAt {
		u.holdDeadline = u.Deadline
		u.holdAt = member.Never
	}
}

func (s *State) removeUpstreams(now time.Duration, listed map[ident.UpstreamID]struct{}) {
	kept := s.order[:0]
	for _, u := range s.order {
		_, ok := listed[u.ID]
		if !ok && u.idle(now) {
			delete(s.units, u.ID)
			continue
		}
		if !ok {
			u.Out = true
			u.term.stale = true
		}
		kept = append(kept, u)
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// idle reports that forgetting the unit forgets no slot in use.
func (u *unit) idle(now time.Duration) bool {
	return u.claim.inFlight == 0 && u.claim.held == 0 && u.term.total(now) == 0
}

// hold is the time after which slots of a silent host or owner are certainly unused.
func (s *State) hold(u *unit) time.Duration {
	return s.settings.Lease + u.holdDeadline + s.settings.Margin
}

// Wake returns the next time at which Advance or Outbox has work.
func (s *State) Wake() time.Duration {
	wake := min(s.next, s.renew)
	for _, c := range s.contacts {
		wake = min(wake, c.due)
	}
	return wake
}

// Advance applies what has become due. The other methods call it as needed.
func (s *State) Advance(now time.Duration) {
	gap := now - s.advanced
	s.advanced = max(s.advanced, now)
	s.table.Advance(now)
	if gap > s.settings.Pledge && len(s.units) > 0 {
		s.resume(now)
	}
	if s.revision != s.table.Revision() {
		s.elect(now)
	}
	if now >= s.next {
		s.next = now + tick
		s.housekeep(now)
	}
	if now >= s.renew {
		s.renew = now + s.settings.Renew
		s.renewAll(now)
	}
}

func (s *State) housekeep(now time.Duration) {
	maps.DeleteFunc(s.heard, func(_ ident.Incarnation, h *heardSeq) bool { return now-h.at > heardKept })
	for _, u := range s.order {
		u.advanceDeadline(now)
		s.stepVote(now, u)
		s.cleanTerm(now, u)
		s.trimClaim(now, u)
		if u.term.busy() {
			s.settle(now, u)
		}
	}
}

// resume is called after a stop of the process that was longer than a pledge lasts. Other hosts may have removed
// this host from their members meanwhile, so its pledges wait as long as those of a new incarnation.
func (s *State) resume(now time.Duration) {
	s.pledgeFrom = now + s.settings.Pledge
	for _, u := range s.order {
		if u.vote.to == s.settings.Host {
			s.forgetPledge(u, s.settings.Host)
		}
		u.vote = vote{quietAt: max(u.vote.quietAt, s.quietAfterStart(u))}
	}
}

// quietAfterStart is the time from which nothing that this host pledged before its start matters.
func (s *State) quietAfterStart(u *unit) time.Duration {
	if s.guards.noRestartWait {
		return 0
	}
	return s.pledgeFrom + s.hold(u)
}

// elect computes the owners anew after the view of the hosts changed.
func (s *State) elect(now time.Duration) {
	s.revision = s.table.Revision()
	ranks := map[ident.DataCentre][]candidate{}
	for _, h := range s.table.Hosts() {
		if h.Reachable && !h.Leaving {
			c := candidate{id: h.ID, inc: h.Incarnation, hash: xxhash.Sum64String(string(h.ID))}
			ranks[h.DataCentre] = append(ranks[h.DataCentre], c)
		}
	}
	for _, u := range s.order {
		u.term.stale = true
		owner := best(ranks[u.DataCentre], u.hash)
		wasBest := u.best == s.settings.Host
		u.best, u.bestInc = owner.id, owner.inc
		if (wasBest || s.table.Self().Leaving) && u.best != s.settings.Host {
			s.handOver(now, u)
		}
		s.stepVote(now, u)
		s.follow(now, u)
	}
}

type candidate struct {
	id   ident.HostID
	inc  ident.Incarnation
	hash uint64
}

// best returns the candidate with the highest rendezvous hash, which is the zero candidate if there is none.
func best(candidates []candidate, unit uint64) candidate {
	var top candidate
	var score uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[8:], unit)
	for _, c := range candidates {
		binary.LittleEndian.PutUint64(pair[:8], c.hash)
		h := xxhash.Sum64(pair[:])
		if top.id == "" || h > score || h == score && c.id < top.id {
			top, score = c, h
		}
	}
	return top
}

// inOrder reports whether a message is newer than the last one of the same kind from the same incarnation.
func (s *State) inOrder(now time.Duration, from ident.HostID, inc ident.Incarnation, request, grant uint64) bool {
	if host, ok := s.table.Get(from); !ok || host.Incarnation != inc {
		return false
	}
	h, ok := s.heard[inc]
	if !ok {
		h = &heardSeq{}
		s.heard[inc] = h
	}
	if request != 0 && request <= h.request || grant != 0 && grant <= h.grant {
		return false
	}
	h.request = max(h.request, request)
	h.grant = max(h.grant, grant)
	h.at = now
	return true
}

// Ready returns the upstreams that gained a free slot since the last call.
func (s *State) Ready() []ident.UpstreamID {
	out := s.ready
	s.ready = nil
	return out
}

// Outbox returns the messages that are due, in the order in which they must be sent. Requests of this host to itself
// are handled here without a message.
func (s *State) Outbox(now time.Duration) []Message {
	s.Advance(now)
	out := s.handoffs
	s.handoffs = nil
	// A grant to the own host can cause one more request to itself, for instance after a void allowance.
	for range 4 {
		out = s.flushRequests(now, out)
		out = s.flushGrants(now, out)
		if !s.ownPending() {
			break
		}
	}
	return out
}

func (s *State) ownPending() bool {
	c, ok := s.contacts[s.settings.Host]
	r, replies := s.replies[s.settings.Host]
	return ok && len(c.dirty) > 0 && c.due <= s.advanced || replies && len(r.records) > 0
}

// Status is the state of one upstream for the operators' page.
type Status struct {
	// Owner is the owner in this host's view.
	Owner ident.HostID
	// Pledges is the number of members whose pledges count for this host, Members that of the data centre.
	Pledges, Members int
	// Limit, Share and Outstanding are those of this host as an owner.
	Limit, Share, Outstanding int
	// Held and InFlight are those of this host as a holder, LeaseEnd the end of its lease.
	Held, InFlight int
	LeaseEnd       time.Duration
	Draining       bool
}

// Status returns the state of an upstream.
func (s *State) Status(now time.Duration, id ident.UpstreamID) (Status, bool) {
	u, ok := s.units[id]
	if !ok {
		return Status{}, false
	}
	share := s.share(now, u)
	return Status{
		Owner: u.best, Pledges: u.term.counted, Members: len(s.table.Members(u.DataCentre)),
		Limit: u.term.limit, Share: share, Outstanding: u.term.total(now),
		Held: u.claim.held, InFlight: u.claim.inFlight, LeaseEnd: u.claim.leaseEnd, Draining: u.term.draining,
	}, true
}
