// Package canary decides on the rollout of a version of a service: its stages, the share of requests that the new version
// gets, and from the ends of attempts whether it is bad. It does no I/O and reads no clock.
package canary

import (
	"time"

	"sardinecross.example/lib/fleet"
)

// Stage is the stage of a rollout.
type Stage uint8

// Stages of a rollout.
const (
	// Waiting means that no upstream of the target version is ready.
	Waiting Stage = iota
	// Canary means that the target version gets a small share of the requests.
	Canary
	// Moving means that the share grows to all requests.
	Moving
	// Moved means that all new requests go to the target version.
	Moved
	// Complete and RolledBack are final.
	Complete
	RolledBack
)

// String returns the name of the stage in logs.
func (s Stage) String() string {
	return [...]string{"waiting", "canary", "moving", "moved", "complete", "rolledBack"}[s]
}

// Final reports whether a stage is never left.
func (s Stage) Final() bool { return s >= Complete }

const (
	// ownerShare is the part of the share that an owner uses. The rest is for a second owner while hosts disagree.
	ownerShare = 0.8
	// moveAfter is the part of the time of an order after which the version may move, moveWithout the part after which
	// little evidence suffices, moveBefore the part after which a move would end too late.
	moveAfter, moveWithout, moveBefore = 0.65, 0.72, 0.78
	// moveLength is the part of the time that the move takes.
	moveLength = 0.1
	// giveUpAfter is the part of the time after which a version that has not moved is rolled back.
	giveUpAfter = 0.95
	// ackTimeout is how long the owner waits for the other hosts to acknowledge that the version has moved.
	ackTimeout = 1500 * time.Millisecond
	// routeTraffic is the number of responses of the old version from which on a route counts as having traffic.
	// enoughResponses and enoughRatio, of the old version's, are the responses of the target version that suffice.
	routeTraffic, enoughResponses, enoughRatio = 50, 20, 0.03
	// fewResponses suffice in all after moveWithout.
	fewResponses = 10
	// toldLifetime is how long a new owner relies on the stage that it was told. A stage that was told earlier may have been
	// followed by a rollback that this host has missed; the owner tells it every 400 ms.
	toldLifetime = 3 * time.Second
	// maxRoutes bounds the routes with evidence of their own.
	maxRoutes = 1024
)

// Rollout is the state of the rollout of one order on one host.
type Rollout struct {
	Order fleet.Order
	// Reason tells why the version was rolled back.
	Reason string
	share  float64
	began  time.Duration // when the order was written, as far as known; may be negative
	stage  Stage
	// number numbers the states of this host. It grows with each change of the stage.
	number  uint64
	changed time.Duration // when the stage last changed
	// owner is set while this host owns the service. Evidence and credit count from the time when it became the owner.
	owner bool
	// takingOver is set from the time when this host became the owner until it first moves the rollout on.
	takingOver bool
	toldAt     time.Duration // when the owner last told the stage; meaningful if told is set
	told       bool
	// known is set once the stage is known from the owner before or from the store.
	known bool
	// credit is the number of requests that the target version may still get. It is below 1 after each grant, and starts at
	// 0, so that the share holds for each owner on its own.
	credit float64
	total  routeEvidence
	routes map[string]*routeEvidence
}

// New returns the rollout of an order that was written at the time began. share is the share of all requests that a bad
// version may get.
func New(began time.Duration, order fleet.Order, share float64) *Rollout {
	return &Rollout{Order: order, share: share, began: began, routes: make(map[string]*routeEvidence)}
}

// Stage returns the stage and the number of the state.
func (r *Rollout) Stage() (Stage, uint64) { return r.stage, r.number }

// Elapsed returns the time since the order was written.
func (r *Rollout) Elapsed(now time.Duration) time.Duration { return max(now-r.began, 0) }

// Known reports whether the stage is known from the store or from an owner.
func (r *Rollout) Known() bool { return r.known }

// SetKnown records that the store holds no final state of the order.
func (r *Rollout) SetKnown() { r.known = true }

// SetOwner sets whether this host owns the service. A new owner knows no counts and starts without evidence.
func (r *Rollout) SetOwner(owner bool) {
	if owner && !r.owner {
		r.credit, r.total, r.routes = 0, routeEvidence{}, make(map[string]*routeEvidence)
		r.takingOver = true
	}
	r.owner = owner
}

// Set changes the stage and reports whether it did. A later stage is kept, and so is a final one: only Complete replaces
// RolledBack, because the store holds it by then, and the upstreams of the old version have stopped.
func (r *Rollout) Set(now time.Duration, s Stage) bool {
	if r.stage == s || s < r.stage && s != Complete || r.stage == Complete {
		return false
	}
	r.stage, r.changed, r.credit = s, now, 0
	r.number++
	return true
}

// Tell records the stage that the owner has told, and the time since the order was written. It reports whether the stage
// changed.
func (r *Rollout) Tell(now time.Duration, s Stage, elapsed time.Duration) bool {
	r.known, r.told, r.toldAt = true, true, now
	r.began = min(r.began, now-elapsed)
	return r.Set(now, s)
}

// Site is what the owner knows of the upstreams and hosts of a service.
type Site struct {
	// Ready counts the usable warm upstreams of the target version, Old those of other versions that are listed.
	Ready, Old int
	// OldInFlight counts the attempts in flight at upstreams of other versions.
	OldInFlight int
	// Acked is set if all live hosts have acknowledged the present state.
	Acked bool
}

// Advance moves the rollout on at its owner and reports whether the stage changed. It never returns Complete: the store
// has to hold that first. See MayComplete.
func (r *Rollout) Advance(now time.Duration, site Site) bool {
	elapsed := r.Elapsed(now)
	part := func(f float64) time.Duration { return time.Duration(f * float64(r.Order.Over)) }
	if r.owner && r.takingOver {
		r.takingOver = false
		r.known = r.known && (!r.told || now-r.toldAt <= toldLifetime)
	}
	switch {
	case !r.owner || !r.known || r.stage.Final():
		return false
	case r.against() != "":
		r.Reason = r.against()
		return r.Set(now, RolledBack)
	case r.stage < Moving && elapsed >= part(giveUpAfter):
		r.Reason = "not enough evidence in time"
		if r.stage == Waiting {
			r.Reason = "no upstream of the version is ready"
		} else if s := r.suspicion(); s != "" {
			r.Reason = "not enough evidence in time, suspected: " + s
		}
		return r.Set(now, RolledBack)
	case r.stage == Waiting && site.Ready > 0:
		if site.Old == 0 {
			return r.Set(now, Moved) // the order names the version that runs already
		}
		return r.Set(now, Canary)
	case r.stage == Canary && elapsed >= part(moveAfter) && elapsed < part(moveBefore) && r.suspicion() == "" && r.enough(elapsed >= part(moveWithout)):
		return r.Set(now, Moving)
	case r.stage == Moving && now-r.changed >= part(moveLength):
		return r.Set(now, Moved)
	}
	return false
}

// MayComplete reports whether the state complete may be written.
func (r *Rollout) MayComplete(now time.Duration, site Site) bool {
	return r.owner && r.stage == Moved && site.OldInFlight == 0 && (site.Acked || now-r.changed >= ackTimeout)
}

// against returns the reason why the version is bad, or an empty string.
func (r *Rollout) against() string { return r.evidenceAbove(1) }

// suspicion returns the reason why the version may be bad and must not move yet, or an empty string.
func (r *Rollout) suspicion() string { return r.evidenceAbove(suspicionRatio) }

// evidenceAbove returns the reason if the evidence against the version is at least a part of what rolls it back.
func (r *Rollout) evidenceAbove(part float64) string {
	if r.total.failing.sum >= part*evidenceLimit {
		return "failures of all routes"
	}
	for route, e := range r.routes {
		if reason := e.against(part); reason != "" {
			return reason + " of route " + route
		}
	}
	return ""
}

// enough reports whether there is evidence for each route with traffic. few is set when little suffices.
func (r *Rollout) enough(few bool) bool {
	if few {
		return r.total.target.responses >= fewResponses
	}
	for _, e := range r.routes {
		want := min(enoughResponses, enoughRatio*float64(e.old.responses))
		if e.old.responses >= routeTraffic && float64(e.target.responses) < want {
			return false
		}
	}
	return r.total.target.responses >= fewResponses
}

// Use tells which versions a request may be sent to.
type Use uint8

// Uses of versions.
const (
	OldOnly Use = iota
	TargetOnly
)

// Choose returns the version for a request that is to be granted. withoutOwner is set if the host decides alone.
func (r *Rollout) Choose(now time.Duration, withoutOwner bool) Use {
	switch {
	case r.stage == Moved || r.stage == Complete:
		return TargetOnly
	case withoutOwner || !r.owner || !r.known || r.stage != Canary && r.stage != Moving:
		return OldOnly
	case r.credit+r.presentShare(now) >= 1:
		return TargetOnly
	}
	return OldOnly
}

// presentShare returns the share of the requests that the target version gets now.
func (r *Rollout) presentShare(now time.Duration) float64 {
	f := r.share * ownerShare
	if r.stage == Moving {
		f += (1 - f) * min(1, float64(now-r.changed)/(moveLength*float64(r.Order.Over)))
	}
	return f
}

// Granted records that a request was granted an upstream of the target version or of another one.
func (r *Rollout) Granted(now time.Duration, target bool) {
	r.credit += r.presentShare(now)
	if target {
		r.credit--
	} else {
		r.credit = min(r.credit, 1) // requests that the target version had no room for are not made up later
	}
}

// Ended records the end of an attempt on a route. took is the response time without machine slowdown, 0 if it does not
// count.
func (r *Rollout) Ended(route string, target, bad bool, took time.Duration) {
	r.total.add(target, bad, 0, slowFactor)
	e := r.routes[route]
	if e == nil {
		if len(r.routes) >= maxRoutes {
			return
		}
		e = &routeEvidence{}
		r.routes[route] = e
	}
	slow := slowFactor
	if r.stage >= Moving {
		slow = movingSlowFactor
	}
	if r.stage >= Moved {
		took = 0 // the old version gets no requests any more, with which response times of the same time could be compared
	}
	e.add(target, bad, took, slow)
}

// Counts returns the responses and the bad ones of the old and of the target version.
func (r *Rollout) Counts() (old, oldBad, target, targetBad int) {
	return r.total.old.responses, r.total.old.bad, r.total.target.responses, r.total.target.bad
}

// Evidence is the evidence on one route for a log line.
type Evidence struct {
	Route                          string
	Old, OldBad, Target, TargetBad int
	// Against is the highest sum of the tests; see evidenceLimit.
	Against float64
}

// Evidence returns the evidence on the route with most against the version.
func (r *Rollout) Evidence() Evidence {
	worst := Evidence{Against: -1}
	for route, e := range r.routes {
		against := max(e.failing.sum, e.median.sum, e.tail.sum)
		if against > worst.Against || against == worst.Against && route < worst.Route {
			worst = Evidence{route, e.old.responses, e.old.bad, e.target.responses, e.target.bad, against}
		}
	}
	return worst
}
