package member

import (
	"math"
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Never is a time that is never reached. It stands for "no timer is set".
const Never = time.Duration(math.MaxInt64)

const (
	// maxSendTimes is the number of rounds of heartbeats whose send time is kept. At the default interval it covers 6.4
	// s, longer than a pledge is valid; the echo of an older heartbeat is ignored.
	maxSendTimes = 64
	// maxFormerIncarnations is the number of former incarnations of a host whose late heartbeats are rejected. A
	// heartbeat of a former incarnation is accepted again once the latest incarnation is silent for
	// Settings.ReachableTimeout: in that case the former incarnation is the running one, and a late heartbeat of an
	// older incarnation had replaced it.
	maxFormerIncarnations = 8
)

// Settings configures a Table and is fixed for its lifetime. Zero durations are replaced by their defaults.
type Settings struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Interval is the time between two rounds of heartbeats, 100 ms by default.
	Interval time.Duration
	// ReachableTimeout is the time without a heartbeat after which a host counts as unreachable, 600 ms by default.
	ReachableTimeout time.Duration
	// RemoveAfter is how long an unlisted host stays a member after its last heartbeat or listing, 10 s by default.
	RemoveAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.Interval == 0 {
		s.Interval = 100 * time.Millisecond
	}
	if s.ReachableTimeout == 0 {
		s.ReachableTimeout = 600 * time.Millisecond
	}
	if s.RemoveAfter == 0 {
		s.RemoveAfter = 10 * time.Second
	}
	return s
}

// Entry is one host of the host list.
type Entry struct {
	Host        ident.HostID
	DataCentre  ident.DataCentre
	PeerAddress string
	Leaving     bool
}

// Host is the state of one member of the table.
type Host struct {
	ID         ident.HostID
	DataCentre ident.DataCentre
	// PeerAddress is the address from the host list, empty until the host is listed.
	PeerAddress string
	// Incarnation is zero until the first heartbeat from the host.
	Incarnation ident.Incarnation
	// Listed is true if the last successful read of the host list contained the host.
	Listed bool
	// Leaving is true if the host's last heartbeat or the host list marks the host as leaving.
	Leaving bool
	// Reachable is true if the last heartbeat is younger than Settings.ReachableTimeout. It is always true for the
	// table's own host.
	Reachable bool
	// LastHeartbeatAt is the time at which the last heartbeat of Incarnation was received.
	LastHeartbeatAt time.Duration
	// ConfVersion, ConfAge and LogAnswers are copied from the last heartbeat. ConfAge counts from SentAfter.
	ConfVersion int64
	ConfAge     time.Duration
	LogAnswers  bool
	// SentAfter is a time before which the last heartbeat cannot have been sent: the time at which the table's own host
	// sent the heartbeat that the last one echoed. It is negative if the last heartbeat echoed none.
	SentAfter time.Duration
}

// Receipt describes how Table.Receive handled a heartbeat.
type Receipt struct {
	// Accepted is false if the heartbeat was rejected: its number is not above the highest received, it comes from a
	// former incarnation, or it comes from the table's own host.
	Accepted bool
	// FirstOfIncarnation is true for the first heartbeat of the sender's incarnation. Restarted is also true if that
	// incarnation replaces an earlier one.
	FirstOfIncarnation, Restarted bool
	// BecameReachable is true if the sender was unreachable or unknown before.
	BecameReachable bool
	// IncarnationMatches is true if Heartbeat.To is this host's incarnation, so that Echo and Pledges are valid.
	IncarnationMatches bool
	// EchoedSentAt is the time at which this host sent the echoed heartbeat. It is set only if Echoed is true.
	EchoedSentAt time.Duration
	Echoed       bool
}

// Outgoing is a heartbeat to send. Package core fills in the fields that the table does not know:
// the configuration, the host list and upstreams, and the pledges.
type Outgoing struct {
	To        ident.HostID
	Heartbeat Heartbeat
}

// peer is the state of one other host.
type peer struct {
	host Host
	// highestSeq is the highest sequence number received from host.Incarnation.
	highestSeq uint64
	// lastListedAt is the time of the last host list that contained the host; negative if there was none.
	lastListedAt time.Duration
	// lastHeartbeatAt is the time of the last accepted heartbeat of any incarnation; negative if there was none.
	lastHeartbeatAt time.Duration
	// announcedLeaving (from heartbeats) and listedLeaving (from the host list) determine Host.Leaving.
	announcedLeaving, listedLeaving bool
	// formerIncarnations holds the most recently replaced incarnations, oldest first.
	formerIncarnations []ident.Incarnation
}

// Table holds the membership as one host sees it. It is not safe for concurrent use.
type Table struct {
	settings Settings
	self     Host
	peers    map[ident.HostID]*peer
	// sortedPeers holds the values of peers by ascending ID.
	sortedPeers []*peer
	// seq is the number of the last round of heartbeats; all heartbeats of one round carry the same number.
	seq uint64
	// sendTimes holds the send times of the last rounds, indexed by seq%maxSendTimes.
	sendTimes [maxSendTimes]time.Duration
	// nextRoundAt is the time at which the next round of heartbeats is due.
	nextRoundAt time.Duration
	// nextTimeoutAt is the earliest time at which a peer becomes unreachable or is removed.
	nextTimeoutAt time.Duration
	revision      uint64
	// membersByDC caches the results of Members for the revision cachedRevision.
	membersByDC    map[ident.DataCentre][]ident.HostID
	cachedRevision uint64
}

// New returns a table that contains only its own host. The first round of heartbeats is due at once.
func New(now time.Duration, s Settings) *Table {
	s = s.withDefaults()
	return &Table{
		settings: s,
		self: Host{
			ID: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Reachable: true,
		},
		peers:         map[ident.HostID]*peer{},
		nextRoundAt:   now,
		nextTimeoutAt: Never,
		revision:      1,
	}
}

// Self returns the state of the table's own host.
func (t *Table) Self() Host { return t.self }

// SetLeaving marks this host as leaving and makes the next round of heartbeats due at once. The mark cannot be removed.
func (t *Table) SetLeaving(now time.Duration) {
	if t.self.Leaving {
		return
	}
	t.self.Leaving = true
	t.revision++
	t.HeartbeatNow(now)
}

// SetList applies the result of a successful read of the host list. A host that is no longer listed stays a member until
// Settings.RemoveAfter has passed.
func (t *Table) SetList(now time.Duration, entries []Entry) {
	t.Advance(now)
	for _, p := range t.sortedPeers {
		p.host.Listed = false
	}
	t.self.Listed = false
	for _, e := range entries {
		t.applyEntry(now, e)
	}
	for _, p := range t.sortedPeers {
		p.updateLeaving()
	}
	t.revision++
	t.updateNextTimeout(now)
}

// applyEntry applies one entry of the host list and adds the host if it is new.
func (t *Table) applyEntry(now time.Duration, e Entry) {
	if e.Host == t.settings.Host {
		t.self.Listed = true
		t.self.PeerAddress = e.PeerAddress
		return
	}
	p := t.ensurePeer(e.Host)
	p.host.Listed = true
	p.host.DataCentre = e.DataCentre
	p.host.PeerAddress = e.PeerAddress
	p.listedLeaving = e.Leaving
	p.lastListedAt = now
}

// Receive processes a heartbeat that the given incarnation of a host sent.
func (t *Table) Receive(now time.Duration, from ident.HostID, inc ident.Incarnation, hb *Heartbeat) Receipt {
	t.Advance(now)
	if from == t.settings.Host {
		return Receipt{}
	}
	p := t.ensurePeer(from)
	if slices.Contains(p.formerIncarnations, inc) && now-p.lastHeartbeatAt < t.settings.ReachableTimeout {
		return Receipt{}
	}
	if inc == p.host.Incarnation && hb.Seq <= p.highestSeq {
		return Receipt{}
	}
	r := Receipt{Accepted: true, BecameReachable: !p.host.Reachable}
	if inc != p.host.Incarnation {
		r.FirstOfIncarnation = true
		r.Restarted = p.host.Incarnation != 0
		p.startIncarnation(inc)
	}
	r.IncarnationMatches = hb.To == t.settings.Incarnation
	if r.IncarnationMatches {
		r.EchoedSentAt, r.Echoed = t.roundSentAt(hb.Echo)
	}
	t.applyHeartbeat(now, p, hb, r)
	return r
}

// applyHeartbeat stores an accepted heartbeat.
func (t *Table) applyHeartbeat(now time.Duration, p *peer, hb *Heartbeat, r Receipt) {
	before := p.host
	p.highestSeq = hb.Seq
	p.lastHeartbeatAt = now
	p.announcedLeaving = hb.Leaving
	p.host.Reachable = true
	p.host.LastHeartbeatAt = now
	p.host.DataCentre = hb.DataCentre
	p.host.ConfVersion = hb.ConfVersion
	p.host.ConfAge = hb.ConfAge
	p.host.LogAnswers = hb.LogAnswers
	p.host.SentAfter = -1
	if r.Echoed {
		p.host.SentAfter = r.EchoedSentAt
	}
	p.updateLeaving()
	changed := r.FirstOfIncarnation || r.BecameReachable ||
		before.Leaving != p.host.Leaving || before.DataCentre != p.host.DataCentre
	if changed {
		t.revision++
	}
	t.nextTimeoutAt = min(t.nextTimeoutAt, now+t.settings.ReachableTimeout)
}

// startIncarnation switches the peer to a new incarnation and resets the state of the former one.
func (p *peer) startIncarnation(inc ident.Incarnation) {
	p.formerIncarnations = slices.DeleteFunc(p.formerIncarnations, func(r ident.Incarnation) bool { return r == inc })
	if p.host.Incarnation != 0 {
		p.formerIncarnations = append(p.formerIncarnations, p.host.Incarnation)
	}
	if len(p.formerIncarnations) > maxFormerIncarnations {
		p.formerIncarnations = p.formerIncarnations[1:]
	}
	p.host.Incarnation = inc
	p.highestSeq = 0
	p.announcedLeaving = false
	// The host list lags, so its leaving mark may belong to the former incarnation and is cleared after a restart.
	p.listedLeaving = p.listedLeaving && len(p.formerIncarnations) == 0
}

// updateLeaving sets Host.Leaving from its two sources.
func (p *peer) updateLeaving() {
	p.host.Leaving = p.announcedLeaving || (p.host.Listed && p.listedLeaving)
}

// roundSentAt returns the time at which the round of heartbeats with number seq was sent, and whether it is still kept.
func (t *Table) roundSentAt(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq > t.seq || t.seq-seq >= maxSendTimes {
		return 0, false
	}
	return t.sendTimes[seq%maxSendTimes], true
}

// Seq returns the number of the last round of heartbeats.
func (t *Table) Seq() uint64 { return t.seq }

// Echo returns the highest sequence number received from a host's current incarnation and the time at which it was
// received. Both are zero if there is none.
func (t *Table) Echo(id ident.HostID) (seq uint64, at time.Duration) {
	p, ok := t.peers[id]
	if !ok {
		return 0, 0
	}
	return p.highestSeq, p.host.LastHeartbeatAt
}

// HeartbeatNow makes the next round of heartbeats due now. DueHeartbeats returns it.
func (t *Table) HeartbeatNow(now time.Duration) { t.nextRoundAt = min(t.nextRoundAt, now) }

// DueHeartbeats returns the round of heartbeats that is due, nil if none is, and records now as its send time.
func (t *Table) DueHeartbeats(now time.Duration) []Outgoing {
	t.Advance(now)
	if now < t.nextRoundAt {
		return nil
	}
	t.seq++
	t.sendTimes[t.seq%maxSendTimes] = now
	t.nextRoundAt = now + t.settings.Interval
	out := make([]Outgoing, 0, len(t.sortedPeers))
	for _, p := range t.sortedPeers {
		out = append(out, Outgoing{To: p.host.ID, Heartbeat: t.heartbeat(p)})
	}
	return out
}

// heartbeat returns the heartbeat of the current round for one peer.
func (t *Table) heartbeat(p *peer) Heartbeat {
	return Heartbeat{
		Seq: t.seq, Echo: p.highestSeq, To: p.host.Incarnation,
		DataCentre: t.self.DataCentre, Leaving: t.self.Leaving,
	}
}

// Wake returns the time at which DueHeartbeats or Advance must be called next.
func (t *Table) Wake() time.Duration { return min(t.nextRoundAt, t.nextTimeoutAt) }

// Advance marks silent hosts as unreachable, removes expired ones, and reports whether the revision changed.
func (t *Table) Advance(now time.Duration) bool {
	if now < t.nextTimeoutAt {
		return false
	}
	before := t.revision
	kept := t.sortedPeers[:0]
	for _, p := range t.sortedPeers {
		if p.host.Reachable && now-p.lastHeartbeatAt >= t.settings.ReachableTimeout {
			p.host.Reachable = false
			t.revision++
		}
		if t.shouldRemove(now, p) {
			delete(t.peers, p.host.ID)
			t.revision++
			continue
		}
		kept = append(kept, p)
	}
	clear(t.sortedPeers[len(kept):])
	t.sortedPeers = kept
	t.updateNextTimeout(now)
	return t.revision != before
}

// shouldRemove reports whether an unlisted peer's time as a member has ended.
func (t *Table) shouldRemove(now time.Duration, p *peer) bool {
	return !p.host.Listed && now >= p.retainedUntil(t.settings.RemoveAfter)
}

// retainedUntil returns the time until which the peer stays a member if it is not listed.
func (p *peer) retainedUntil(keep time.Duration) time.Duration {
	return max(p.lastHeartbeatAt, p.lastListedAt) + keep
}

// updateNextTimeout recomputes nextTimeoutAt.
func (t *Table) updateNextTimeout(now time.Duration) {
	t.nextTimeoutAt = Never
	for _, p := range t.sortedPeers {
		if p.host.Reachable {
			t.nextTimeoutAt = min(t.nextTimeoutAt, p.lastHeartbeatAt+t.settings.ReachableTimeout)
		}
		if !p.host.Listed {
			t.nextTimeoutAt = min(t.nextTimeoutAt, max(now, p.retainedUntil(t.settings.RemoveAfter)))
		}
	}
}

// Revision returns a counter that grows whenever membership, reachability, an incarnation, a data centre or a leaving
// flag changes.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns the member with the given ID and whether it exists.
func (t *Table) Get(id ident.HostID) (Host, bool) {
	if id == t.settings.Host {
		return t.self, true
	}
	p, ok := t.peers[id]
	if !ok {
		return Host{}, false
	}
	return p.host, true
}

// Hosts returns all members, including the table's own host, by ascending ID.
func (t *Table) Hosts() []Host {
	out := make([]Host, 0, len(t.sortedPeers)+1)
	for _, p := range t.sortedPeers {
		out = append(out, p.host)
	}
	at, _ := slices.BinarySearchFunc(out, t.self.ID, func(h Host, id ident.HostID) int { return compareIDs(h.ID, id) })
	return slices.Insert(out, at, t.self)
}

// Members returns the members of a data centre by ascending ID, including unreachable and leaving ones. The slice
// must not be modified and is valid until the revision changes.
func (t *Table) Members(dc ident.DataCentre) []ident.HostID {
	if t.cachedRevision != t.revision {
		t.membersByDC = map[ident.DataCentre][]ident.HostID{}
		for _, h := range t.Hosts() {
			t.membersByDC[h.DataCentre] = append(t.membersByDC[h.DataCentre], h.ID)
		}
		t.cachedRevision = t.revision
	}
	return t.membersByDC[dc]
}

// Majority reports whether this host and the listed hosts that it can reach are more than half of the last read host
// list. It is false if this host is not listed.
func (t *Table) Majority() bool {
	if !t.self.Listed {
		return false
	}
	listed, reached := 1, 1
	for _, p := range t.sortedPeers {
		if !p.host.Listed {
			continue
		}
		listed++
		if p.host.Reachable {
			reached++
		}
	}
	return 2*reached > listed
}

// ensurePeer returns the state of another host and adds the host if it is new.
func (t *Table) ensurePeer(id ident.HostID) *peer {
	if p, ok := t.peers[id]; ok {
		return p
	}
	p := &peer{host: Host{ID: id, SentAfter: -1}, lastListedAt: -1, lastHeartbeatAt: -1}
	t.peers[id] = p
	at, _ := slices.BinarySearchFunc(t.sortedPeers, id, func(q *peer, id ident.HostID) int { return compareIDs(q.host.ID, id) })
	t.sortedPeers = slices.Insert(t.sortedPeers, at, p)
	t.revision++
	return p
}

func compareIDs(a, b ident.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
