package core

import (
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/sets"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
	"sardinecross.example/lib/policy"
)

// topology is what the host list, the configuration and the settings say together.
type topology struct {
	cfg  Settings
	view conf.View
	// reading is the last reading of the host list, entries the same by ID and without repetitions; listedAt is the time at which the
	// membership got them.
	reading, entries []HostEntry
	listedAt         time.Duration
	// readAt is the time of the last reading, negative before the first.
	readAt time.Duration
	// reported are upstreams that are leaving by a newer reading of another host. An own reading replaces them.
	reported sets.Set[ident.UpstreamID]

	services  map[ident.ServiceName]*service
	classes   map[ident.ClassName]*class
	upstreams map[ident.UpstreamID]*upstream
	// order holds the services by name.
	order []*service
	// dirty are the services that have to be dispatched in this step.
	dirty []*service
	// addresses are the hosts' listeners for callers.
	addresses map[ident.HostID]string
}

// service is a group of interchangeable upstreams and the classes that use them.
type service struct {
	name    ident.ServiceName
	ranks   *policy.RankScheduler
	classes []*class
	// zones are the data centres in the order of preference, the own one first.
	zones []*zone
	// usable is the number of upstreams that may get work.
	usable int
	dirty  bool
	// armed reports that a timer of the service is set.
	armed bool
	// wanting reports that slots were asked for.
	wanting bool
	// lastStart is the time of the last attempt.
	lastStart time.Duration
	// contendedUntil is the end of the time in which no spare slot is kept.
	contendedUntil time.Duration
	// rotation is the place of the upstream that is asked for slots first.
	rotation int
}

// zone is the part of a service in one data centre.
type zone struct {
	name ident.DataCentre
	// upstreams are those that may get work.
	upstreams []*upstream
}

// class is one class of the configuration with its observations, which survive a change of the definition.
type class struct {
	name     ident.ClassName
	def      conf.Class
	service  *service
	policy   *policy.Class
	inFlight int
}

// upstream is one entry of the host list.
type upstream struct {
	id         ident.UpstreamID
	service    *service
	dataCentre ident.DataCentre
	address    string
	// out reports that the upstream or its data centre was taken out of service.
	out     bool
	leaving bool
	// incarnation is the last one seen in an answer or a probe.
	incarnation string
	// want is the number of slots last asked for.
	want int
	// owner is the one last reported, limit the last one seen while this host was the owner.
	owner ident.HostID
	limit int
}

func (u *upstream) usable() bool { return !u.out && !u.leaving }

func (t *topology) init(cfg Settings) {
	t.cfg = cfg
	t.readAt = -1
	t.services = map[ident.ServiceName]*service{}
	t.classes = map[ident.ClassName]*class{}
	t.upstreams = map[ident.UpstreamID]*upstream{}
	t.addresses = map[ident.HostID]string{}
	for name := range cfg.Services {
		svc := &service{name: name, ranks: policy.NewRankScheduler()}
		t.services[name] = svc
		t.order = append(t.order, svc)
	}
	slices.SortFunc(t.order, func(a, b *service) int { return strings.Compare(string(a.name), string(b.name)) })
}

// mark has a service dispatched at the end of the step.
func (t *topology) mark(svc *service) {
	if !svc.dirty {
		svc.dirty = true
		t.dirty = append(t.dirty, svc)
	}
}

// longestDeadline returns the longest deadline of all classes.
func (t *topology) longestDeadline() time.Duration {
	var longest time.Duration
	for _, c := range t.classes {
		longest = max(longest, c.def.Deadline)
	}
	return longest
}

// hostListRead takes in a reading. An empty reading is a fault of the list: at least this host runs.
func (s *State) hostListRead(entries []HostEntry) {
	s.streams.hostList.answered(s.now, hostListInterval)
	if len(entries) == 0 {
		return
	}
	t := &s.topo
	changed := !slices.Equal(entries, t.reading) || len(t.reported) > 0
	t.readAt = s.now
	t.reported = nil
	if changed || s.now-t.listedAt >= time.Second {
		t.listedAt = s.now
		s.table.SetList(s.now, memberEntries(entries))
	}
	if changed {
		t.reading = slices.Clone(entries)
		t.entries = slices.Clone(entries)
		slices.SortStableFunc(t.entries, func(a, b HostEntry) int { return strings.Compare(a.ID, b.ID) })
		t.entries = slices.CompactFunc(t.entries, func(a, b HostEntry) bool { return a.ID == b.ID && a.Role == b.Role })
		s.rebuild()
	}
}

// listAge returns the time since the last reading of the host list, negative if there was none.
func (s *State) listAge() time.Duration {
	if s.topo.readAt < 0 {
		return -1
	}
	return s.now - s.topo.readAt
}

// leavingUpstreams returns the upstreams known to be leaving, by ID.
func (s *State) leavingUpstreams() []ident.UpstreamID {
	var ids []ident.UpstreamID
	for _, e := range s.topo.entries {
		if u := s.topo.upstreams[ident.UpstreamID(e.ID)]; e.Role == RoleUpstream && u != nil && u.leaving {
			ids = append(ids, u.id)
		}
	}
	return ids
}

// listReported takes in what another host read of leaving upstreams after the last own reading. Without it, a host that was
// stopped while an upstream left, and then finds the host list down, would send work to that upstream.
func (s *State) listReported(age time.Duration, leaving []ident.UpstreamID) {
	t := &s.topo
	if age < 0 || s.now-age <= t.readAt {
		return
	}
	changed := false
	for _, id := range leaving {
		if u := t.upstreams[id]; u != nil && !u.leaving {
			t.reported = t.reported.With(id)
			changed = true
		}
	}
	if changed {
		s.rebuild()
	}
}

func memberEntries(entries []HostEntry) []member.Entry {
	var hosts []member.Entry
	for _, e := range entries {
		if e.Role == RoleHost {
			hosts = append(hosts, member.Entry{
				Host: ident.HostID(e.ID), DataCentre: e.DataCentre, PeerAddress: e.PeerAddress, Leaving: e.Leaving,
			})
		}
	}
	return hosts
}

// rebuild brings services, classes and upstreams up to date with the host list and the configuration.
func (s *State) rebuild() {
	t := &s.topo
	t.rebuildClasses()
	t.rebuildUpstreams(s.guards)
	t.rebuildZones()
	var units []lease.Upstream
	for _, e := range t.entries {
		if u := t.upstreams[ident.UpstreamID(e.ID)]; e.Role == RoleUpstream && u != nil {
			units = append(units, t.unit(u)...)
		}
	}
	s.slots.SetUpstreams(s.now, units)
	s.ownersAt = 0
	for _, svc := range t.order {
		t.mark(svc)
	}
	s.refuseOrphans()
}

// refuseOrphans ends the requests that wait for a class or service that is gone.
func (s *State) refuseOrphans() {
	var orphans []*request
	for _, r := range s.requests {
		if !r.Queued() {
			continue
		}
		if s.topo.classes[r.className] == r.class && r.class.service.usable > 0 {
			continue
		}
		orphans = append(orphans, r)
	}
	slices.SortFunc(orphans, func(a, b *request) int { return int(a.ID) - int(b.ID) })
	for _, r := range orphans {
		s.refuse(r, ReasonNoCapacity, RunNo)
	}
}

// rebuildClasses keeps the observations of classes that stay with their service. The class of a service that
// the settings do not have is unknown on this host.
func (t *topology) rebuildClasses() {
	next := map[ident.ClassName]*class{}
	for _, name := range t.view.Classes() {
		def, _ := t.view.Class(name)
		svc := t.services[def.Service]
		if svc == nil {
			continue
		}
		c := t.classes[name]
		if c == nil || c.service != svc {
			c = &class{name: name, service: svc, policy: policy.NewClass(name, def.Rank, def.Target)}
		}
		c.def = def
		c.policy.Rank, c.policy.Target = def.Rank, def.Target
		next[name] = c
	}
	t.classes = next
	for _, svc := range t.order {
		svc.classes = svc.classes[:0]
	}
	var all []*policy.Class
	for _, svc := range t.order {
		all = nil
		for _, name := range t.view.Classes() {
			if c := next[name]; c != nil && c.service == svc {
				svc.classes = append(svc.classes, c)
				all = append(all, c.policy)
			}
		}
		svc.ranks = policy.NewRankScheduler(all...)
	}
}

func (t *topology) rebuildUpstreams(g guards) {
	next := map[ident.UpstreamID]*upstream{}
	clear(t.addresses)
	for _, e := range t.entries {
		if e.Role == RoleHost {
			t.addresses[ident.HostID(e.ID)] = e.Address
			continue
		}
		svc := t.services[e.Service]
		if svc == nil {
			continue
		}
		id := ident.UpstreamID(e.ID)
		u := t.upstreams[id]
		if u == nil || u.service != svc {
			u = &upstream{id: id, service: svc}
		}
		u.dataCentre, u.address = e.DataCentre, e.Address
		u.leaving = e.Leaving || t.reported.Has(id)
		u.out = !g.noOutRule && (t.view.UpstreamOut(id) || t.view.DataCentreOut(e.DataCentre))
		next[id] = u
	}
	t.upstreams = next
}

// rebuildZones groups the usable upstreams by data centre and tells the classes which upstreams there are.
func (t *topology) rebuildZones() {
	for _, svc := range t.order {
		svc.zones = nil
		svc.usable = 0
		for _, dc := range t.preference() {
			svc.zones = append(svc.zones, &zone{name: dc})
		}
	}
	listed := map[*service][]ident.UpstreamID{}
	for _, e := range t.entries {
		u := t.upstreams[ident.UpstreamID(e.ID)]
		if e.Role != RoleUpstream || u == nil || !u.usable() {
			continue
		}
		z := u.service.zone(u.dataCentre)
		z.upstreams = append(z.upstreams, u)
		u.service.usable++
		listed[u.service] = append(listed[u.service], u.id)
	}
	for _, svc := range t.order {
		for _, c := range svc.classes {
			c.policy.Tracker.SetUpstreams(listed[svc])
		}
	}
}

// preference returns the data centres of the settings, the own one first.
func (t *topology) preference() []ident.DataCentre {
	order := []ident.DataCentre{t.cfg.DataCentre}
	for _, dc := range t.cfg.DataCentres {
		if dc != t.cfg.DataCentre {
			order = append(order, dc)
		}
	}
	return order
}

// zone returns the zone of a data centre; one that the settings do not name comes last.
func (svc *service) zone(dc ident.DataCentre) *zone {
	for _, z := range svc.zones {
		if z.name == dc {
			return z
		}
	}
	z := &zone{name: dc}
	svc.zones = append(svc.zones, z)
	return z
}

// unit describes an upstream to the leases. There is none before the service has a class, because the longest
// deadline of the classes bounds the leases.
func (t *topology) unit(u *upstream) []lease.Upstream {
	var deadline time.Duration
	for _, c := range u.service.classes {
		deadline = max(deadline, c.def.Deadline)
	}
	if deadline == 0 {
		return nil
	}
	facts := t.cfg.Services[u.service.name]
	return []lease.Upstream{{
		ID: u.id, DataCentre: u.dataCentre, Slots: facts.Slots, ColdSlots: facts.ColdSlots, Deadline: deadline,
		Out: !u.usable(), ProbeCost: facts.ProbeCost, ConnCost: facts.ConnectionCost, MeasuringShare: facts.MeasuringShare,
	}}
}
