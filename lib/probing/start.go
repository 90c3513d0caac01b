package probing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startTime is how long after its start a host takes the orders of hosts for unsettled, holdTime how long it must have had a role
	// until it probes all upstreams meanwhile. Until then it probes one in sampleShare, other ones than other hosts do: requests that
	// come at once need some upstreams of which something is known.
	startTime   = 2 * time.Second
	holdTime    = 150 * time.Millisecond
	sampleShare = 8
)

// Start keeps a host that has started from most probes for which others will be responsible. When all hosts start together, each one takes
// itself for the owner of all services until it hears of the others, and the owners change with each one that is better ranked: 184 hosts
// opened 20,161 connections to 316 upstreams within 2 s and loaded them with probes.
type Start struct {
	since map[[2]string]time.Duration // by service and data centre, when this host got a role
}

// Probes reports whether a host with a role for the upstreams of a service in a data centre probes one of them. now is the time since
// the start of the host.
func (s *Start) Probes(now time.Duration, host, service, dataCentre string, role Role, upstream string) bool {
	if now >= startTime {
		s.since = nil
		return role != None
	}
	key := [2]string{service, dataCentre}
	since, had := s.since[key]
	switch {
	case role == None:
		delete(s.since, key)
		return false
	case !had:
		if s.since == nil {
			s.since = make(map[[2]string]time.Duration)
		}
		since = now
		s.since[key] = since
	}
	return now-since >= holdTime || xxhash.Sum64String(host+" "+upstream)%sampleShare == 0
}
