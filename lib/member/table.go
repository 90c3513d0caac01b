package member

import (
	"math"
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Never is a wake-up time that does not come.
const Never = time.Duration(math.MaxInt64)

const (
	// sentKept bounds the own heartbeats whose sending time is kept. At the default interval it covers 6.4 s,
	// more than a pledge lasts; an older echo proves nothing.
	sentKept = 64
	// retiredKept bounds the former incarnations of a host whose late heartbeats are refused. One that is heard while
	// the last one is silent is accepted: a late heartbeat of an older incarnation had replaced it.
	retiredKept = 8
)

// Settings are fixed for the life of a Table.
type Settings struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Interval is the time between two heartbeats, 100 ms by default.
	Interval time.Duration
	// Reach is the age up to which the last heartbeat proves a host reachable, 600 ms by default.
	Reach time.Duration
	// Keep is how long a host stays a member after it was last heard or listed, 10 s by default.
	Keep time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.Interval == 0 {
		s.Interval = 100 * time.Millisecond
	}
	if s.Reach == 0 {
		s.Reach = 600 * time.Millisecond
	}
	if s.Keep == 0 {
		s.Keep = 10 * time.Second
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

// Host is one member as the table knows it.
type Host struct {
	ID         ident.HostID
	DataCentre ident.DataCentre
	// PeerAddress is empty until the host was listed.
	PeerAddress string
	// Incarnation is zero until the host was heard.
	Incarnation ident.Incarnation
	// Listed reports that the last reading of the host list had the host.
	Listed bool
	// Leaving reports that the host or the host list said so.
	Leaving bool
	// Reachable reports that the host's last heartbeat is recent; it is always set for the own host.
	Reachable bool
	// HeardAt is the time of the last heartbeat of this incarnation.
	HeardAt time.Duration
	// ConfVersion, ConfAge and LogAnswers are those of the last heartbeat; ConfAge counts from SentAfter.
	ConfVersion int64
	ConfAge     time.Duration
	LogAnswers  bool
	// SentAfter is a time before the last heartbeat was sent: this host had sent the echoed heartbeat then.
	// It is negative if the heartbeat echoed nothing.
	SentAfter time.Duration
}

// Receipt is what a heartbeat proved.
type Receipt struct {
	// Accepted is false for a heartbeat that is older than one already received or of a former incarnation.
	Accepted bool
	// First reports the first heartbeat of this host's incarnation, Restarted that it replaces another incarnation.
	First, Restarted bool
	// Returned reports that the host was not reachable before.
	Returned bool
	// Addressed reports that the sender knew this host's incarnation, so that echo and pledges count.
	Addressed bool
	// EchoedAt is the time at which this host sent the heartbeat that was echoed; it is set if Echoed.
	EchoedAt time.Duration
	Echoed   bool
}

// Outgoing is a heartbeat that is due. The caller adds the configuration and the pledges.
type Outgoing struct {
	To        ident.HostID
	Heartbeat Heartbeat
}

// peer is the state of one other host.
type peer struct {
	host Host
	// seq is the highest sequence number received in the incarnation.
	seq uint64
	// listedAt is the time of the last reading that had the host; negative if there was none.
	listedAt time.Duration
	// heardAt is the time of the last heartbeat of any incarnation; negative if there was none.
	heardAt time.Duration
	// said and listLeaving are the two sources of Host.Leaving.
	said, listLeaving bool
	retired           []ident.Incarnation
}

// Table is the view that one host has of all hosts. It is not safe for concurrent use.
type Table struct {
	settings Settings
	self     Host
	peers    map[ident.HostID]*peer
	// order holds the peers by ascending ID.
	order []*peer
	// seq numbers the rounds of heartbeats; all heartbeats of one round carry the same number.
	seq  uint64
	sent [sentKept]time.Duration
	// due is the time of the next round.
	due time.Duration
	// expiry is the time of the next timeout of a peer.
	expiry   time.Duration
	revision uint64
	// members caches the answers of Members for the revision cachedAt.
	members  map[ident.DataCentre][]ident.HostID
	cachedAt uint64
}

// New returns a table that knows only its own host. The first round of heartbeats is due at once.
func New(now time.Duration, s Settings) *Table {
	s = s.withDefaults()
	return &Table{
		settings: s,
		self: Host{
			ID: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Reachable: true,
		},
		peers:    map[ident.HostID]*peer{},
		due:      now,
		expiry:   Never,
		revision: 1,
	}
}

// Self returns the own host.
func (t *Table) Self() Host { return t.self }

// SetLeaving announces that this host shuts down; it cannot be taken back.
func (t *Table) SetLeaving(now time.Duration) {
	if t.self.Leaving {
		return
	}
	t.self.Leaving = true
	t.revision++
	t.Hurry(now)
}

// SetList replaces the listed hosts with those of a successful reading. A host that is no longer listed stays
// a member for Settings.Keep.
func (t *Table) SetList(now time.Duration, entries []Entry) {
	t.Advance(now)
	for _, p := range t.order {
		p.host.Listed = false
	}
	t.self.Listed = false
	for _, e := range entries {
		t.list(now, e)
	}
	for _, p := range t.order {
		p.refresh()
	}
	t.revision++
	t.schedule(now)
}

func (t *Table) list(now time.Duration, e Entry) {
	if e.Host == t.settings.Host {
		t.self.Listed = true
		t.self.PeerAddress = e.PeerAddress
		return
	}
	p := t.peer(e.Host)
	p.host.Listed = true
	p.host.DataCentre = e.DataCentre
	p.host.PeerAddress = e.PeerAddress
	p.listLeaving = e.Leaving
	p.listedAt = now
}

// Receive takes in a heartbeat from a host in the given incarnation.
func (t *Table) Receive(now time.Duration, from ident.HostID, inc ident.Incarnation, hb *Heartbeat) Receipt {
	t.Advance(now)
	if from == t.settings.Host {
		return Receipt{}
	}
	p := t.peer(from)
	if slices.Contains(p.retired, inc) && now-p.heardAt < t.settings.Reach {
		return Receipt{}
	}
	if inc == p.host.Incarnation && hb.Seq <= p.seq {
		return Receipt{}
	}
	r := Receipt{Accepted: true, Returned: !p.host.Reachable}
	if inc != p.host.Incarnation {
		r.First = true
		r.Restarted = p.host.Incarnation != 0
		p.restart(inc)
	}
	r.Addressed = hb.To == t.settings.Incarnation
	if r.Addressed {
		r.EchoedAt, r.Echoed = t.sentAt(hb.Echo)
	}
	t.take(now, p, hb, r)
	return r
}

// take stores an accepted heartbeat.
func (t *Table) take(now time.Duration, p *peer, hb *Heartbeat, r Receipt) {
	before := p.host
	p.seq = hb.Seq
	p.heardAt = now
	p.said = hb.Leaving
	p.host.Reachable = true
	p.host.HeardAt = now
	p.host.DataCentre = hb.DataCentre
	p.host.ConfVersion = hb.ConfVersion
	p.host.ConfAge = hb.ConfAge
	p.host.LogAnswers = hb.LogAnswers
	p.host.SentAfter = -1
	if r.Echoed {
		p.host.SentAfter = r.EchoedAt
	}
	p.refresh()
	changed := r.First || r.Returned || before.Leaving != p.host.Leaving || before.DataCentre != p.host.DataCentre
	if changed {
		t.revision++
	}
	t.expiry = min(t.expiry, now+t.settings.Reach)
}

// restart forgets everything that belongs to the former incarnation.
func (p *peer) restart(inc ident.Incarnation) {
	p.retired = slices.DeleteFunc(p.retired, func(r ident.Incarnation) bool { return r == inc })
	if p.host.Incarnation != 0 {
		p.retired = append(p.retired, p.host.Incarnation)
	}
	if len(p.retired) > retiredKept {
		p.retired = p.retired[1:]
	}
	p.host.Incarnation = inc
	p.seq = 0
	p.said = false
	// The host list lags: what it said of the former incarnation does not hold for a host that started again.
	p.listLeaving = p.listLeaving && len(p.retired) == 0
}

func (p *peer) refresh() { p.host.Leaving = p.said || (p.host.Listed && p.listLeaving) }

// sentAt returns the time at which the round of heartbeats seq was sent.
func (t *Table) sentAt(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq > t.seq || t.seq-seq >= sentKept {
		return 0, false
	}
	return t.sent[seq%sentKept], true
}

// Seq returns the number of the last round of heartbeats.
func (t *Table) Seq() uint64 { return t.seq }

// Echo returns the highest sequence number received from a host in its current incarnation and when it was received.
func (t *Table) Echo(id ident.HostID) (seq uint64, at time.Duration) {
	p, ok := t.peers[id]
	if !ok {
		return 0, 0
	}
	return p.seq, p.host.HeardAt
}

// Hurry makes the next round of heartbeats due now.
func (t *Table) Hurry(now time.Duration) { t.due = min(t.due, now) }

// Due returns the heartbeats to send now, if any, and counts them as sent at this time.
func (t *Table) Due(now time.Duration) []Outgoing {
	t.Advance(now)
	if now < t.due {
		return nil
	}
	t.seq++
	t.sent[t.seq%sentKept] = now
	t.due = now + t.settings.Interval
	out := make([]Outgoing, 0, len(t.order))
	for _, p := range t.order {
		out = append(out, Outgoing{To: p.host.ID, Heartbeat: t.heartbeat(p)})
	}
	return out
}

func (t *Table) heartbeat(p *peer) Heartbeat {
	return Heartbeat{
		Seq: t.seq, Echo: p.seq, To: p.host.Incarnation,
		DataCentre: t.self.DataCentre, Leaving: t.self.Leaving,
	}
}

// Wake returns the next time at which Due or Advance has work.
func (t *Table) Wake() time.Duration { return min(t.due, t.expiry) }

// Advance applies the timeouts that have passed and reports whether the view changed.
func (t *Table) Advance(now time.Duration) bool {
	if now < t.expiry {
		return false
	}
	before := t.revision
	kept := t.order[:0]
	for _, p := range t.order {
		if p.host.Reachable && now-p.heardAt >= t.settings.Reach {
			p.host.Reachable = false
			t.revision++
		}
		if t.gone(now, p) {
			delete(t.peers, p.host.ID)
			t.revision++
			continue
		}
		kept = append(kept, p)
	}
	clear(t.order[len(kept):])
	t.order = kept
	t.schedule(now)
	return t.revision != before
}

func (t *Table) gone(now time.Duration, p *peer) bool {
	return !p.host.Listed && now >= p.keptUntil(t.settings.Keep)
}

func (p *peer) keptUntil(keep time.Duration) time.Duration { return max(p.heardAt, p.listedAt) + keep }

// schedule computes the next timeout.
func (t *Table) schedule(now time.Duration) {
	t.expiry = Never
	for _, p := range t.order {
		if p.host.Reachable {
			t.expiry = min(t.expiry, p.heardAt+t.settings.Reach)
		}
		if !p.host.Listed {
			t.expiry = min(t.expiry, max(now, p.keptUntil(t.settings.Keep)))
		}
	}
}

// Revision grows whenever membership, reachability, an incarnation or a leaving flag changes.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns one member.
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

// Hosts returns all members, the own host included, by ascending ID.
func (t *Table) Hosts() []Host {
	out := make([]Host, 0, len(t.order)+1)
	for _, p := range t.order {
		out = append(out, p.host)
	}
	at, _ := slices.BinarySearchFunc(out, t.self.ID, func(h Host, id ident.HostID) int { return compare(h.ID, id) })
	return slices.Insert(out, at, t.self)
}

// Members returns the members of a data centre by ascending ID, reachable or not, leaving or not. The caller
// must not change the slice; it is valid until the revision changes.
func (t *Table) Members(dc ident.DataCentre) []ident.HostID {
	if t.cachedAt != t.revision {
		t.members = map[ident.DataCentre][]ident.HostID{}
		for _, h := range t.Hosts() {
			t.members[h.DataCentre] = append(t.members[h.DataCentre], h.ID)
		}
		t.cachedAt = t.revision
	}
	return t.members[dc]
}

// Majority reports whether this host and the hosts it reaches are more than half of the hosts of the last reading
// of the host list. It is false if the own host is not listed.
func (t *Table) Majority() bool {
	if !t.self.Listed {
		return false
	}
	listed, reached := 1, 1
	for _, p := range t.order {
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

// peer returns the state of a host and adds the host if it is new.
func (t *Table) peer(id ident.HostID) *peer {
	if p, ok := t.peers[id]; ok {
		return p
	}
	p := &peer{host: Host{ID: id, SentAfter: -1}, listedAt: -1, heardAt: -1}
	t.peers[id] = p
	at, _ := slices.BinarySearchFunc(t.order, id, func(q *peer, id ident.HostID) int { return compare(q.host.ID, id) })
	t.order = slices.Insert(t.order, at, p)
	t.revision++
	return p
}

func compare(a, b ident.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
