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
	// maxListLag is the longest delay of one host's reading of the host list. It is shorter than the time for which a
	// started host does not pledge.
	maxListLag = 800 * ms
	// delistDelay is how long the host list keeps a host that is down or frozen.
	delistDelay = 3 * time.Second
)

// simulation runs several hosts and upstreams with a simulated clock, network and faults.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	hosts     []*host
	upstreams []*upstream
	packets   []packet
	cutLinks  map[[2]int]bool
	// lossPercent is the percentage of lost packets, maxDelay the longest delay of a packet.
	lossPercent int
	maxDelay    time.Duration
	disabled    disabledRules
}

type host struct {
	index int
	id    ident.HostID
	dc    ident.DataCentre
	inc   ident.Incarnation
	up    bool
	// everStarted reports that the host was started at least once; downSince is the time since which it is down or
	// frozen.
	everStarted, frozen bool
	downSince           time.Duration
	delisted            bool
	nextListAt          time.Duration
	table               *member.Table
	state               *State
	attempts            []*attempt
	// started counts the requests started at each upstream.
	started []int
}

type attempt struct {
	upstream int
	host     *host
	// endsAt is the time at which the upstream ends the request, deadline the latest possible one.
	endsAt, deadline time.Duration
	shed             bool
}

type upstream struct {
	Upstream
	cold bool
	// running holds the requests that the upstream may be serving.
	running []*attempt
}

type packet struct {
	from, to  int
	inc       ident.Incarnation
	at        time.Duration
	heartbeat *member.Heartbeat
	message   Message
}

func newSimulation(seed uint64, dcs []ident.DataCentre, m disabledRules) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), cutLinks: map[[2]int]bool{}, maxDelay: 10 * ms, disabled: m}
	for i, dc := range dcs {
		sim.hosts = append(sim.hosts, &host{index: i, id: ident.HostID(fmt.Sprintf("h%d", i)), dc: dc})
	}
	for i, slots := range []int{4, 1} {
		up := Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("u%d", i)), DataCentre: "a", Slots: slots,
			Deadline: deadline, ConnCost: ms, ProbeCost: 6 * ms, MeasuringShare: 0.1,
		}
		sim.upstreams = append(sim.upstreams, &upstream{Upstream: up})
	}
	return sim
}

// start starts a host with a new incarnation.
func (sim *simulation) start(h *host) {
	h.inc = ident.Incarnation(sim.rng.Uint64() | 1)
	h.up, h.everStarted, h.frozen, h.delisted = true, true, false, false
	h.table = member.New(sim.now, member.Settings{Host: h.id, Incarnation: h.inc, DataCentre: h.dc})
	h.state = New(sim.now, Settings{Host: h.id, Incarnation: h.inc, DataCentre: h.dc}, h.table)
	h.state.disabled = sim.disabled
	h.attempts = nil
	h.started = make([]int, len(sim.upstreams))
	h.nextListAt = sim.now + time.Duration(sim.rng.Int64N(int64(maxListLag)))
	var ups []Upstream
	for _, u := range sim.upstreams {
		ups = append(ups, u.Upstream)
	}
	h.state.SetUpstreams(sim.now, ups)
}

// kill ends a host. Its requests keep running at the upstreams until their deadlines.
func (sim *simulation) kill(h *host) {
	if !h.up {
		return
	}
	h.up = false
	h.downSince = sim.now
	for _, a := range h.attempts {
		a.endsAt = a.deadline
	}
}

// run advances the simulation by d and returns the first violation.
func (sim *simulation) run(d time.Duration) error {
	for end := sim.now + d; sim.now < end; {
		sim.now += step
		sim.updateHostLists()
		sim.deliver()
		for _, h := range sim.hosts {
			if h.up && !h.frozen {
				sim.stepHost(h)
			}
		}
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if an upstream has more requests in flight than slots, or an owner's entitlements are invalid.
func (sim *simulation) check() error {
	for _, u := range sim.upstreams {
		u.running = slices.DeleteFunc(u.running, func(a *attempt) bool { return a.endsAt <= sim.now })
		if len(u.running) > u.Slots {
			return &overloadError{at: sim.now, upstream: u.ID, running: len(u.running), slots: u.Slots}
		}
	}
	for _, h := range sim.hosts {
		if h.up && !h.frozen {
			if err := checkEntitlements(sim.now, h.state); err != nil {
				return err
			}
		}
	}
	return nil
}

type overloadError struct {
	at             time.Duration
	upstream       ident.UpstreamID
	running, slots int
}

func (e *overloadError) Error() string {
	return fmt.Sprintf("at %v: %d requests in flight at upstream %s with %d slots", e.at, e.running, e.upstream, e.slots)
}

// updateHostLists removes hosts that are down for longer than delistDelay from the host list, and passes the list to
// the hosts whose next reading is due.
func (sim *simulation) updateHostLists() {
	for _, h := range sim.hosts {
		if down := !h.up || h.frozen; down && sim.now-h.downSince > delistDelay {
			h.delisted = true
		}
	}
	for _, h := range sim.hosts {
		if !h.up || h.frozen || sim.now < h.nextListAt {
			continue
		}
		h.nextListAt = sim.now + time.Duration(sim.rng.Int64N(int64(maxListLag)))
		var entries []member.Entry
		for _, o := range sim.hosts {
			if o.everStarted && !o.delisted {
				entries = append(entries, member.Entry{Host: o.id, DataCentre: o.dc})
			}
		}
		h.table.SetList(sim.now, entries)
	}
}

func (sim *simulation) deliver() {
	var due []packet
	sim.packets = slices.DeleteFunc(sim.packets, func(p packet) bool {
		to := sim.hosts[p.to]
		if p.at > sim.now || to.up && to.frozen {
			return false
		}
		due = append(due, p)
		return true
	})
	slices.SortStableFunc(due, func(a, b packet) int { return cmp.Compare(a.at, b.at) })
	for _, p := range due {
		if h := sim.hosts[p.to]; h.up {
			sim.receive(h, p)
		}
	}
}

func (sim *simulation) receive(h *host, p packet) {
	from := sim.hosts[p.from].id
	switch {
	case p.heartbeat != nil:
		r := h.table.Receive(sim.now, from, p.inc, p.heartbeat)
		h.state.HandleHeartbeat(sim.now, from, p.inc, r, p.heartbeat)
	case p.message.Request != nil:
		h.state.HandleRequest(sim.now, from, p.inc, p.message.Request)
	case p.message.Grant != nil:
		h.state.HandleGrant(sim.now, from, p.inc, p.message.Grant)
	default:
		h.state.HandleHandoff(sim.now, from, p.inc, p.message.Handoff)
	}
}

func (sim *simulation) send(h *host, to ident.HostID, p packet) {
	p.from, p.inc = h.index, h.inc
	p.to = slices.IndexFunc(sim.hosts, func(o *host) bool { return o.id == to })
	if sim.cutLinks[[2]int{p.from, p.to}] || sim.rng.IntN(100) < sim.lossPercent {
		return
	}
	p.at = sim.now + time.Duration(sim.rng.Int64N(int64(sim.maxDelay)))
	sim.packets = append(sim.packets, p)
}

// stepHost performs one step of a running host: it ends requests, starts requests and sends messages.
func (sim *simulation) stepHost(h *host) {
	h.state.Advance(sim.now)
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool {
		if a.endsAt > sim.now {
			return false
		}
		id := sim.upstreams[a.upstream].ID
		if a.shed {
			h.state.ReportSignal(sim.now, id)
		}
		h.state.End(sim.now, id, RequestResult{Completed: !a.shed, NewConn: sim.rng.IntN(20) == 0})
		return true
	})
	for i, u := range sim.upstreams {
		wants := sim.rng.IntN(4)
		for wants > 0 && sim.startRequest(h, i) {
			wants--
		}
		h.state.SetWanted(sim.now, u.ID, wants)
	}
	for _, id := range h.state.DueProbes(sim.now) {
		h.state.HandleProbeResult(sim.now, id, ProbeResult{OK: true})
	}
	for _, o := range h.table.DueHeartbeats(sim.now) {
		heartbeat := o.Heartbeat
		heartbeat.Pledges = h.state.Pledges(sim.now, o.To)
		sim.send(h, o.To, packet{heartbeat: &heartbeat})
	}
	for _, m := range h.state.Outbox(sim.now) {
		sim.send(h, m.To, packet{message: m})
	}
	h.state.Ready()
}

// startRequest starts one request if the host has a free slot. A tenth of the requests run until their deadlines.
func (sim *simulation) startRequest(h *host, i int) bool {
	u := sim.upstreams[i]
	permit, ok := h.state.Start(sim.now, u.ID, sim.now+time.Hour)
	if !ok {
		return false
	}
	a := &attempt{upstream: i, host: h, deadline: permit.Deadline}
	a.shed = u.cold && len(u.running) > 0
	a.endsAt = min(a.deadline, sim.now+time.Duration(1+sim.rng.IntN(40))*ms)
	if sim.rng.IntN(10) == 0 {
		a.endsAt = a.deadline
	}
	if a.shed {
		a.endsAt = sim.now + step
	}
	h.attempts = append(h.attempts, a)
	h.started[i]++
	u.running = append(u.running, a)
	return true
}

type entitlementError struct {
	upstream                     ident.UpstreamID
	host                         ident.HostID
	entitled, share, outstanding int
}

func (e *entitlementError) Error() string {
	return fmt.Sprintf("upstream %s at owner %s: entitled to %d slots, %d outstanding, share %d", e.upstream, e.host, e.entitled, e.outstanding, e.share)
}

// checkEntitlements returns an error if the entitlements exceed the owner's share in total, or if a holder is entitled
// to more slots than are outstanding for it.
func checkEntitlements(now time.Duration, s *State) error {
	for _, u := range s.upstreamOrder {
		entitled := 0
		share := s.share(now, u)
		s.redistribute(now, u)
		for _, acct := range u.asOwner.accounts {
			entitled += acct.entitled
			if acct.entitled > acct.outstanding() || acct.entitled < 0 {
				return &entitlementError{u.ID, s.settings.Host, acct.entitled, share, acct.outstanding()}
			}
		}
		if entitled > share {
			return &entitlementError{u.ID, s.settings.Host, entitled, share, u.asOwner.outstanding(now)}
		}
	}
	return nil
}
