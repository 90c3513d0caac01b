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

// topology combines the host list, the configuration and the settings into services, classes and upstreams.
type topology struct {
	cfg  Settings
	view conf.View
	// lastList is the host list as last read; entries are the same, sorted by ID and without duplicates.
	// tableUpdatedAt is the time at which the membership table last received the list.
	lastList, entries []HostEntry
	tableUpdatedAt    time.Duration
	// lastReadAt is the time of the last read of the host list, negative before the first.
	lastReadAt time.Duration
	// reportedLeaving are the upstreams that are leaving according to another host's newer read of the list. This
	// host's next read replaces them.
	reportedLeaving sets.Set[ident.UpstreamID]

	services  map[ident.ServiceName]*service
	classes   map[ident.ClassName]*class
	upstreams map[ident.UpstreamID]*upstream
	// sortedServices holds the services, sorted by name.
	sortedServices []*service
	// dirty holds the services to be dispatched in this step.
	dirty []*service
	// addresses holds the hosts' listeners for callers.
	addresses map[ident.HostID]string
}

// service is a group of interchangeable upstreams and the classes that use them.
type service struct {
	name    ident.ServiceName
	ranks   *policy.RankScheduler
	classes []*class
	// zones are the data centres in order of preference, the host's own first.
	zones []*zone
	// usable is the number of upstreams that may get work.
	usable int
	dirty  bool
	// recheckArmed reports that the timer for the next recheck is set.
	recheckArmed bool
	// slotsRequested reports that slots were requested from owners in the last dispatch.
	slotsRequested bool
	// lastStart is the time at which the last attempt started.
	lastStart time.Duration
	// contendedUntil is the time until which no spare slot is kept.
	contendedUntil time.Duration
	// rotation is the index, modulo their number, of the upstream for which slots are requested first.
	rotation int
}

// zone is the part of a service in one data centre.
type zone struct {
	name ident.DataCentre
	// upstreams are the upstreams that may get work.
	upstreams []*upstream
}

// class is one class of the configuration with its statistics, which survive a change of the definition.
type class struct {
	name     ident.ClassName
	def      conf.Class
	service  *service
	policy   *policy.Class
	inFlight int
}

// upstream is an upstream of the host list.
type upstream struct {
	id         ident.UpstreamID
	service    *service
	dataCentre ident.DataCentre
	address    string
	// takenOut reports that the upstream or its data centre is taken out of service.
	takenOut bool
	leaving  bool
	// incarnation is the last one received in an answer or a probe.
	incarnation string
	// wantedSlots is the number of slots last requested.
	wantedSlots int
	// reportedOwner is the owner at the last comparison of owners; lastLimit is the limit last seen while this host
	// was the owner.
	reportedOwner ident.HostID
	lastLimit     int
}

func (u *upstream) usable() bool { return !u.takenOut && !u.leaving }

func (t *topology) init(cfg Settings) {
	t.cfg = cfg
	t.lastReadAt = -1
	t.services = map[ident.ServiceName]*service{}
	t.classes = map[ident.ClassName]*class{}
	t.upstreams = map[ident.UpstreamID]*upstream{}
	t.addresses = map[ident.HostID]string{}
	for name := range cfg.Services {
		svc := &service{name: name, ranks: policy.NewRankScheduler()}
		t.services[name] = svc
		t.sortedServices = append(t.sortedServices, svc)
	}
	slices.SortFunc(t.sortedServices, func(a, b *service) int { return strings.Compare(string(a.name), string(b.name)) })
}

// markDirty schedules a service to be dispatched at the end of the step.
func (t *topology) markDirty(svc *service) {
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

// hostListRead handles a read of the host list. An empty list is a fault of the platform, because at least this host
// is running.
func (s *State) hostListRead(entries []HostEntry) {
	s.polls.hostList.finish(s.now, hostListInterval)
	if len(entries) == 0 {
		return
	}
	t := &s.topo
	changed := !slices.Equal(entries, t.lastList) || len(t.reportedLeaving) > 0
	t.lastReadAt = s.now
	t.reportedLeaving = nil
	if changed || s.now-t.tableUpdatedAt >= time.Second {
		t.tableUpdatedAt = s.now
		s.members.SetList(s.now, memberEntries(entries))
	}
	if changed {
		t.lastList = slices.Clone(entries)
		t.entries = slices.Clone(entries)
		slices.SortStableFunc(t.entries, func(a, b HostEntry) int { return strings.Compare(a.ID, b.ID) })
		t.entries = slices.CompactFunc(t.entries, func(a, b HostEntry) bool { return a.ID == b.ID && a.Role == b.Role })
		s.rebuild()
	}
}

// listAge returns the time since the last read of the host list, negative if there was none.
func (s *State) listAge() time.Duration {
	if s.topo.lastReadAt < 0 {
		return -1
	}
	return s.now - s.topo.lastReadAt
}

// leavingUpstreams returns the upstreams known to be leaving, sorted by ID.
func (s *State) leavingUpstreams() []ident.UpstreamID {
	var ids []ident.UpstreamID
	for _, e := range s.topo.entries {
		if u := s.topo.upstreams[ident.UpstreamID(e.ID)]; e.Role == RoleUpstream && u != nil && u.leaving {
			ids = append(ids, u.id)
		}
	}
	return ids
}

// mergeReportedLeaving adds the leaving upstreams that another host reports, if that host read the list after this
// one did. Without it, a host that was suspended while an upstream left, and then finds the host list down, would
// send work to that upstream.
func (s *State) mergeReportedLeaving(age time.Duration, leaving []ident.UpstreamID) {
	t := &s.topo
	if age < 0 || s.now-age <= t.lastReadAt {
		return
	}
	changed := false
	for _, id := range leaving {
		if u := t.upstreams[id]; u != nil && !u.leaving {
			t.reportedLeaving = t.reportedLeaving.With(id)
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

// rebuild updates services, classes and upstreams after a change of the host list or the configuration.
func (s *State) rebuild() {
	t := &s.topo
	t.rebuildClasses()
	t.rebuildUpstreams(s.disabled)
	t.rebuildZones()
	var units []lease.Upstream
	for _, e := range t.entries {
		if u := t.upstreams[ident.UpstreamID(e.ID)]; e.Role == RoleUpstream && u != nil {
			units = append(units, t.leaseUpstreams(u)...)
		}
	}
	s.leases.SetUpstreams(s.now, units)
	s.ownersRevision = 0
	for _, svc := range t.sortedServices {
		t.markDirty(svc)
	}
	s.refuseOrphans()
}

// refuseOrphans refuses the queued requests whose class was removed or replaced, or whose service has no usable
// upstream.
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

// rebuildClasses updates the classes. A class that stays with its service keeps its statistics. A class whose service
// is not in the settings is unknown on this host.
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
	for _, svc := range t.sortedServices {
		svc.classes = svc.classes[:0]
	}
	var all []*policy.Class
	for _, svc := range t.sortedServices {
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

func (t *topology) rebuildUpstreams(g disabledRules) {
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
		u.leaving = e.Leaving || t.reportedLeaving.Has(id)
		u.takenOut = !g.outOfService && (t.view.UpstreamOut(id) || t.view.DataCentreOut(e.DataCentre))
		next[id] = u
	}
	t.upstreams = next
}

// rebuildZones groups the usable upstreams by data centre and passes them to the trackers of the classes.
func (t *topology) rebuildZones() {
	for _, svc := range t.sortedServices {
		svc.zones = nil
		svc.usable = 0
		for _, dc := range t.orderedDataCentres() {
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
	for _, svc := range t.sortedServices {
		for _, c := range svc.classes {
			c.policy.Tracker.SetUpstreams(listed[svc])
		}
	}
}

// orderedDataCentres returns the data centres of the settings, the host's own first.
func (t *topology) orderedDataCentres() []ident.DataCentre {
	order := []ident.DataCentre{t.cfg.DataCentre}
	for _, dc := range t.cfg.DataCentres {
		if dc != t.cfg.DataCentre {
			order = append(order, dc)
		}
	}
	return order
}

// zone returns the zone of a data centre. A data centre that the settings do not name gets a new zone at the end.
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

// leaseUpstreams describes an upstream to the lease state. The result is empty until the service has a class, because
// the longest deadline of its classes bounds the leases.
func (t *topology) leaseUpstreams(u *upstream) []lease.Upstream {
	var deadline time.Duration
	for _, c := range u.service.classes {
		deadline = max(deadline, c.def.Deadline)
	}
	if deadline == 0 {
		return nil
	}
	svcCfg := t.cfg.Services[u.service.name]
	return []lease.Upstream{{
		ID: u.id, DataCentre: u.dataCentre, Slots: svcCfg.Slots, ColdSlots: svcCfg.ColdSlots, Deadline: deadline,
		NoNewWork: !u.usable(), ProbeCost: svcCfg.ProbeCost, ConnCost: svcCfg.ConnectionCost, MeasuringShare: svcCfg.MeasuringShare,
	}}
}
