package grant

import (
	"time"

	"sardinecross.example/lib/fleet"
)

// ApplyNotice records what an upstream said about further requests in a response to a host, and reports whether it says more
// than was known. From then on, that host is not granted the upstream against it.
func (s *State) ApplyNotice(now time.Duration, host string, l fleet.Lifetime, n fleet.Notice) bool {
	rec, changed := s.notices.Apply(now, host, l, n)
	if u := s.byID[l.Upstream]; u != nil && u.Lifetime() == l {
		u.notices = rec
	}
	return changed
}

// ApplyLeaving records that an upstream is leaving, as another host says, and reports whether this was not known.
func (s *State) ApplyLeaving(now time.Duration, l fleet.Lifetime) bool {
	rec, changed := s.notices.ApplyLeaving(now, l)
	if u := s.byID[l.Upstream]; u != nil && u.Lifetime() == l {
		u.notices = rec
	}
	return changed
}

// Notice returns what is known that the lifetime of an upstream wants of a host now.
func (s *State) Notice(now time.Duration, host string, l fleet.Lifetime) fleet.Notice {
	return s.notices.Get(l).Notice(now, host)
}

// LeavingReady returns the lifetimes that are leaving by their own responses, by service, though the list shows them as
// ready. Hosts that got none of their responses can't know this from the list. If fromResponse is set, it leaves out those of
// which this host knows it only because another host repeated it.
func (s *State) LeavingReady(fromResponse bool) map[string][]fleet.Lifetime {
	leaving := make(map[string][]fleet.Lifetime)
	for l, known := range s.notices.Leaving() {
		if s.listed(l) && s.byID[l.Upstream].State == fleet.Ready && (known || !fromResponse) {
			service := s.byID[l.Upstream].Service
			leaving[service] = append(leaving[service], l)
		}
	}
	return leaving
}

// listed reports whether the list of upstreams holds a lifetime.
func (s *State) listed(l fleet.Lifetime) bool {
	u := s.byID[l.Upstream]
	return u != nil && u.Lifetime() == l
}
