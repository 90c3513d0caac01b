package grant

import "time"

const (
	// connectionIdleTime is how long a connection is assumed to stay open after its last response. Upstreams close idle connections
	// after 10 s, and hosts a second before.
	connectionIdleTime = 9 * time.Second
	// maxConnectionGain is the share of the expected response time by which an upstream may be slower than another one if the asking host
	// has an idle connection to it. Estimates of equal upstreams differ by some 30% with the ages of their reports. Where little room is
	// left, responses are late already, and the share falls to minConnectionGain.
	maxConnectionGain = 0.45
	minConnectionGain = 0.1
	// ampleRoom is the share of the slots below the knees that must be free for the whole gain.
	ampleRoom = 0.08
	// maxIdleConnections bounds the idle connections that are assumed between a host and an upstream, maxConnectedHosts the hosts of an
	// upstream of which they are known.
	maxIdleConnections = 4
	maxConnectedHosts  = 512
)

// idleConnections are the connections of a host to an upstream that are not in use.
type idleConnections struct {
	n      int
	usedAt time.Duration // when the last of them became idle
}

// connectionGain returns the share of the expected response time that an idle connection is worth, by the room that the last search
// found.
func (svc *service) connectionGain() float64 {
	return minConnectionGain + (maxConnectionGain-minConnectionGain)*min(max(svc.freeShare, 0)/ampleRoom, 1)
}

// hasIdleConnection reports whether a host probably has an idle connection to the upstream.
func (u *upstream) hasIdleConnection(now time.Duration, host string) bool {
	c, ok := u.connections[host]
	return ok && now-c.usedAt < connectionIdleTime
}

// takeConnection records that a host uses one of its idle connections and reports whether it has one.
func (u *upstream) takeConnection(now time.Duration, host string) bool {
	c := u.connections[host]
	if !u.hasIdleConnection(now, host) {
		return false
	}
	if c.n--; c.n == 0 {
		delete(u.connections, host)
	} else {
		u.connections[host] = c
	}
	return true
}

// addConnection records that a connection of a host has become idle.
func (u *upstream) addConnection(now time.Duration, host string) {
	if u.connections == nil {
		u.connections = make(map[string]idleConnections)
	}
	c, ok := u.connections[host]
	if !ok && len(u.connections) >= maxConnectedHosts {
		return
	}
	u.connections[host] = idleConnections{min(c.n+1, maxIdleConnections), now}
}

// expireConnections drops the connections that have been idle for too long.
func (u *upstream) expireConnections(now time.Duration) {
	for host, c := range u.connections {
		if now-c.usedAt >= connectionIdleTime {
			delete(u.connections, host)
		}
	}
}
