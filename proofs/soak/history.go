package soak

import (
	"time"

	"sardinecross.example/platform/standin/server"
	"sardinecross.example/platform/standin/users"
)

// Call is one request of a caller and its outcome.
type Call struct {
	ID, Host, Service string
	// Added is when the request's route was confirmed if a Routes event has added it; otherwise it is the zero time.
	Added time.Time
	Order bool
	// Linked is set if the request went through a link that may lose it.
	Linked bool
	// Behind is set if the request was sent behind another on its connection.
	Behind bool
	Limit  time.Duration
	Work   time.Duration
	// Begun is when the first byte was written and Sent when the last was; the zero time if it was not written whole. Ended
	// is when the response was complete or the connection had ended.
	Begun, Sent, Ended time.Time
	// Status is 0 without a complete response. Verified is set if the response is the upstream's, GaveUp if the caller
	// stopped waiting.
	Status           int
	Verified, GaveUp bool
}

// Span is a time in which a host, an upstream or the store was disrupted. A planned one of a host is a stop.
type Span struct {
	From, To time.Time
	// Host or Upstream is the ID of what was disrupted; without any it is the store.
	Host, Upstream string
	Planned        bool
	// Store is set if a host was cut off from the store alone.
	Store bool
}

// Act is a change that the store has confirmed at At: an upstream that leaves or a zone out of service, until the time Back.
type Act struct {
	At, Back time.Time
	// Upstream is the ID of the upstream that leaves, or Zone the zone.
	Upstream, Zone string
}

// Order is the order of a rollout, written at At.
type Order struct {
	At               time.Time
	Over             time.Duration
	Service, Version string
	// Bad is when the version begins to respond badly; the zero time if it is good.
	Bad time.Time
}

// End is a process that ended by itself or did not end when it had to.
type End struct {
	At     time.Time
	Host   string
	Reason string
}

// Listing is an answer of a host's directory.
type Listing struct {
	At    time.Time
	Host  string
	Named []string // IDs of hosts
}

// History is what was seen of a run.
type History struct {
	Timeout, Grace time.Duration
	Calls          []Call
	Runs, Arrivals []server.Run
	// Zones holds the zones of upstreams by their IDs.
	Zones       map[string]string
	Disruptions []Span
	// Downs holds the times in which a host had no process.
	Downs    []Span
	Listings []Listing
	Acts     []Act
	// Orders holds the orders of rollouts, and States the states that hosts have written for them.
	Orders []Order
	States []users.State
	// Restores holds when the store was restored from a copy.
	Restores []time.Time
	Ends     []End
	// KilledAtGrace is the number of processes that still ran at the end of their grace and were killed, as the platform does.
	// No rule forbids it; requests that are lost by it are reported.
	KilledAtGrace int
	// Memory is the greatest resident size of each host's processes in bytes.
	Memory map[string]int64
	// Calm is the time after the last event in which a site must serve again.
	Calm Span
}

// disrupted reports whether a disruption that is selected overlaps the given time.
func (h *History) disrupted(from, to time.Time, selected func(Span) bool) bool {
	for _, d := range h.Disruptions {
		if selected(d) && !d.From.After(to) && !d.To.Before(from) {
			return true
		}
	}
	return false
}

// inTouchSince returns since when a host has been in touch with the platform at a time. It returns false if it isn't.
func (h *History) inTouchSince(host string, at time.Time) (time.Time, bool) {
	var since time.Time
	for _, d := range h.Disruptions {
		if d.Upstream != "" || d.Host != "" && d.Host != host || d.From.After(at) {
			continue
		}
		if end := d.To.Add(stableWindow); end.After(since) {
			since = end
		}
	}
	return since, !since.After(at)
}

// overdue reports whether a host must have obeyed a change that was confirmed at act by the time at: it has been in touch
// and has known of the change for longer than the bound.
func (h *History) overdue(act time.Time, host string, at time.Time, bound time.Duration) bool {
	since, ok := h.inTouchSince(host, at)
	if act.After(since) {
		since = act
	}
	return ok && at.After(since.Add(bound))
}
