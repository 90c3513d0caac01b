package lease

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/member"
)

const (
	ms       = time.Millisecond
	step     = 5 * ms
	deadline = 400 * ms
	// listLag is the most by which one host's reading of the host list is late. It is below the time for which a
	// started host does not pledge.
	listLag = 800 * ms
	// delistAfter is how long the host list keeps a host that is dead or stopped.
	delistAfter = 3 * time.Second
)

// world runs several hosts against upstreams, with a clock, a network and faults of its own.
type world struct {
	rnd       *rand.Rand
	now       time.Duration
	hosts     []*host
	upstreams []*upstream
	packets   []packet
	cut       map[[2]int]bool
	// loss is the share of lost packets in percent, slow the longest delay.
	loss   int
	slow   time.Duration
	guards guards
}

type host struct {
	index int
	id    ident.HostID
	dc    ident.DataCentre
	inc   ident.Incarnation
	up    bool
	// joined reports that the host was started once; downSince is the time from which it is dead or frozen.
	joined, frozen bool
	downSince      time.Duration
	delisted       bool
	readAt         time.Duration
	table          *member.Table
	state          *State
	attempts       []*attempt
	// started counts the requests started at each upstream.
	started []int
}

type attempt struct {
	upstream int
	host     *host
	// ends is the time at which the upstream is done, deadline the latest possible one.
	ends, deadline time.Duration
	shed           bool
}

type upstream struct {
	Upstream
	cold bool
	// running holds the requests that the upstream may be serving.
	running []*attempt
}

type packet struct {
	from, to int
	inc      ident.Incarnation
	at       time.Duration
	beat     *member.Heartbeat
	message  Message
}

func newWorld(seed uint64, dcs []ident.DataCentre, g guards) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]int]bool{}, slow: 10 * ms, guards: g}
	for i, dc := range dcs {
		w.hosts = append(w.hosts, &host{index: i, id: ident.HostID(fmt.Sprintf("h%d", i)), dc: dc})
	}
	for i, slots := range []int{4, 1} {
		up := Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("u%d", i)), DataCentre: "a", Slots: slots,
			Deadline: deadline, ConnCost: ms, ProbeCost: 6 * ms, Share: 0.1,
		}
		w.upstreams = append(w.upstreams, &upstream{Upstream: up})
	}
	return w
}

// start starts a host with a new incarnation.
func (w *world) start(h *host) {
	h.inc = ident.Incarnation(w.rnd.Uint64() | 1)
	h.up, h.joined, h.frozen, h.delisted = true, true, false, false
	h.table = member.New(w.now, member.Settings{Host: h.id, Incarnation: h.inc, DataCentre: h.dc})
	h.state = New(w.now, Settings{Host: h.id, Incarnation: h.inc, DataCentre: h.dc}, h.table)
	h.state.guards = w.guards
	h.attempts = nil
	h.started = make([]int, len(w.upstreams))
	h.readAt = w.now + time.Duration(w.rnd.Int64N(int64(listLag)))
	var ups []Upstream
	for _, u := range w.upstreams {
		ups = append(ups, u.Upstream)
	}
	h.state.SetUpstreams(w.now, ups)
}

// kill ends a host; its requests run at the upstreams until their deadlines.
func (w *world) kill(h *host) {
	if !h.up {
		return
	}
	h.up = false
	h.downSince = w.now
	for _, a := range h.attempts {
		a.ends = a.deadline
	}
}

// run advances the world and returns the first violation.
func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.list()
		w.deliver()
		for _, h := range w.hosts {
			if h.up && !h.frozen {
				w.act(h)
			}
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// check counts the requests in flight at each upstream.
func (w *world) check() error {
	for _, u := range w.upstreams {
		u.running = slices.DeleteFunc(u.running, func(a *attempt) bool { return a.ends <= w.now })
		if len(u.running) > u.Slots {
			return &overload{at: w.now, upstream: u.ID, running: len(u.running), slots: u.Slots}
		}
	}
	for _, h := range w.hosts {
		if h.up && !h.frozen {
			if err := checkTerms(w.now, h.state); err != nil {
				return err
			}
		}
	}
	return nil
}

type overload struct {
	at             time.Duration
	upstream       ident.UpstreamID
	running, slots int
}

func (e *overload) Error() string {
	return fmt.Sprintf("%v: %d requests in flight at %s with %d slots", e.at, e.running, e.upstream, e.slots)
}

// list applies the host list's lag and gives the hosts that are due a reading.
func (w *world) list() {
	for _, h := range w.hosts {
		if down := !h.up || h.frozen; down && w.now-h.downSince > delistAfter {
			h.delisted = true
		}
	}
	for _, h := range w.hosts {
		if !h.up || h.frozen || w.now < h.readAt {
			continue
		}
		h.readAt = w.now + time.Duration(w.rnd.Int64N(int64(listLag)))
		var entries []member.Entry
		for _, o := range w.hosts {
			if o.joined && !o.delisted {
				entries = append(entries, member.Entry{Host: o.id, DataCentre: o.dc})
			}
		}
		h.table.SetList(w.now, entries)
	}
}

func (w *world) deliver() {
	var due []packet
	w.packets = slices.DeleteFunc(w.packets, func(p packet) bool {
		to := w.hosts[p.to]
		if p.at > w.now || to.up && to.frozen {
			return false
		}
		due = append(due, p)
		return true
	})
	slices.SortStableFunc(due, func(a, b packet) int { return cmp.Compare(a.at, b.at) })
	for _, p := range due {
		if h := w.hosts[p.to]; h.up {
			w.receive(h, p)
		}
	}
}

func (w *world) receive(h *host, p packet) {
	from := w.hosts[p.from].id
	switch {
	case p.beat != nil:
		r := h.table.Receive(w.now, from, p.inc, p.beat)
		h.state.Heartbeat(w.now, from, p.inc, r, p.beat)
	case p.message.Request != nil:
		h.state.Request(w.now, from, p.inc, p.message.Request)
	case p.message.Grant != nil:
		h.state.Grant(w.now, from, p.inc, p.message.Grant)
	default:
		h.state.Handoff(w.now, from, p.inc, p.message.Handoff)
	}
}

func (w *world) send(h *host, to ident.HostID, p packet) {
	p.from, p.inc = h.index, h.inc
	p.to = slices.IndexFunc(w.hosts, func(o *host) bool { return o.id == to })
	if w.cut[[2]int{p.from, p.to}] || w.rnd.IntN(100) < w.loss {
		return
	}
	p.at = w.now + time.Duration(w.rnd.Int64N(int64(w.slow)))
	w.packets = append(w.packets, p)
}

// act is one step of a running host: ended requests, new requests, messages.
func (w *world) act(h *host) {
	h.state.Advance(w.now)
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool {
		if a.ends > w.now {
			return false
		}
		id := w.upstreams[a.upstream].ID
		if a.shed {
			h.state.Signal(w.now, id)
		}
		h.state.End(w.now, id, Ending{Completed: !a.shed, NewConn: w.rnd.IntN(20) == 0})
		return true
	})
	for i, u := range w.upstreams {
		wants := w.rnd.IntN(4)
		for wants > 0 && w.request(h, i) {
			wants--
		}
		h.state.Want(w.now, u.ID, wants)
	}
	for _, id := range h.state.Probes(w.now) {
		h.state.ProbeEnded(w.now, id, ProbeResult{OK: true})
	}
	for _, o := range h.table.DueHeartbeats(w.now) {
		beat := o.Heartbeat
		beat.Pledges = h.state.Pledges(w.now, o.To)
		w.send(h, o.To, packet{beat: &beat})
	}
	for _, m := range h.state.Outbox(w.now) {
		w.send(h, m.To, packet{message: m})
	}
	h.state.Ready()
}

// request starts one request. A tenth of them takes until the deadline.
func (w *world) request(h *host, i int) bool {
	u := w.upstreams[i]
	permit, ok := h.state.Start(w.now, u.ID, w.now+time.Hour)
	if !ok {
		return false
	}
	a := &attempt{upstream: i, host: h, deadline: permit.Deadline}
	a.shed = u.cold && len(u.running) > 0
	a.ends = min(a.deadline, w.now+time.Duration(1+w.rnd.IntN(40))*ms)
	if w.rnd.IntN(10) == 0 {
		a.ends = a.deadline
	}
	if a.shed {
		a.ends = w.now + step
	}
	h.attempts = append(h.attempts, a)
	h.started[i]++
	u.running = append(u.running, a)
	return true
}

type badTerm struct {
	upstream                 ident.UpstreamID
	host                     ident.HostID
	entitled, share, counted int
}

func (e *badTerm) Error() string {
	return fmt.Sprintf("%s at %s: entitled %d, counted %d, share %d", e.upstream, e.host, e.entitled, e.counted, e.share)
}

// checkTerms checks the owner's own invariant: entitlements fit the share, and no holder is entitled to more than
// is counted for it.
func checkTerms(now time.Duration, s *State) error {
	for _, u := range s.order {
		entitled := 0
		share := s.share(now, u)
		s.settle(now, u)
		for _, r := range u.term.records {
			entitled += r.entitled
			if r.entitled > r.count() || r.entitled < 0 {
				return &badTerm{u.ID, s.settings.Host, r.entitled, share, r.count()}
			}
		}
		if entitled > share {
			return &badTerm{u.ID, s.settings.Host, entitled, share, u.term.total(now)}
		}
	}
	return nil
}
