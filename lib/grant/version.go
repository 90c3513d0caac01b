package grant

import (
	"slices"
	"strings"
	"time"

	"sardinecross.example/lib/canary"
)

// SetRollout sets the rollout of a service, nil if it has none. Without one, every listed version gets requests.
func (s *State) SetRollout(service string, r *canary.Rollout) { s.service(service).rollout = r }

// versionChoice is the choice of a version for one request. The zero value allows every version.
type versionChoice struct {
	limited bool
	target  bool
	version string
	// packed is the only upstream of the target version that is allowed, if it is not empty.
	packed string
}

// chooseVersion returns the versions that a request may be sent to.
func (s *State) chooseVersion(now time.Duration, svc *service, req *AttemptRequest) versionChoice {
	r := svc.rollout
	if r == nil {
		return versionChoice{}
	}
	stage, _ := r.Stage()
	c := versionChoice{limited: true, target: r.Choose(now, req.WithoutOwner) == canary.TargetOnly, version: r.Order.Version}
	switch {
	case stage == canary.Waiting && svc.onlyTarget(c.version), stage >= canary.Moved && stage != canary.RolledBack && !svc.lists(c.version):
		// The order names the version that runs already, or the upstreams of the target version are gone.
		return versionChoice{}
	case (stage == canary.Canary || stage == canary.Moving) && c.target:
		packed := s.packedUpstream(now, svc, req, c.version)
		c.target = packed != "" // the old version serves what the target version has no room for
		if stage == canary.Canary {
			c.packed = packed
		}
	}
	return c
}

// lists reports whether an upstream of a version is listed, onlyTarget whether none of another version is.
func (svc *service) lists(version string) bool {
	return slices.ContainsFunc(svc.upstreams, func(u *upstream) bool { return u.Version == version })
}

func (svc *service) onlyTarget(version string) bool {
	return !slices.ContainsFunc(svc.upstreams, func(u *upstream) bool { return u.Version != version })
}

// packedUpstream returns the first upstream of a version, by ID, that is below its knee. Packed onto few upstreams, the
// requests of the canary stage show how the version behaves under load.
func (s *State) packedUpstream(now time.Duration, svc *service, req *AttemptRequest, version string) string {
	best := ""
	for _, u := range svc.upstreams {
		if u.Version != version || best != "" && strings.Compare(u.ID, best) > 0 || u.dead(now) || !s.usable(now, svc, u, req) {
			continue
		}
		if u.inFlight(now) < u.kneeSlots() && u.trialUse(now, req, false) != noUse {
			best = u.ID
		}
	}
	return best
}

// allows reports whether a choice allows an upstream.
func (c versionChoice) allows(u *upstream) bool {
	return !c.limited || (u.Version == c.version) == c.target && (c.packed == "" || u.ID == c.packed)
}

// recordVersionGrant records that a request was granted an upstream.
func (svc *service) recordVersionGrant(now time.Duration, u *upstream) {
	if r := svc.rollout; r != nil {
		r.Granted(now, u.Version == r.Order.Version)
	}
}

// recordVersionEnd adds the end of an attempt to the evidence of a rollout. The work of a response counts only at a warm
// upstream that is not above its knee, as others are slower whatever they run.
func (svc *service) recordVersionEnd(now time.Duration, u *upstream, a *attempt, d AttemptEnd) {
	r := svc.rollout
	if r == nil {
		return
	}
	var took time.Duration
	if d.Outcome == Served && !u.isCold(now) && u.inFlight(now) <= u.kneeSlots() {
		took = time.Duration((u.workDone - a.workAtStart) * float64(time.Second))
	}
	switch d.Outcome {
	case Served, Failed, Unreached, TimedOut:
		r.Ended(a.request.Route, u.Version == r.Order.Version, d.Outcome != Served, took)
	case Shed, Abandoned, Unused:
	}
}

// RolloutSite returns what the owner of a service knows of its upstreams for its rollout.
func (s *State) RolloutSite(now time.Duration, name string) canary.Site {
	var site canary.Site
	svc := s.service(name)
	if svc.rollout == nil {
		return site
	}
	for _, u := range svc.upstreams {
		switch {
		case u.Version != svc.rollout.Order.Version:
			site.Old++
			site.OldInFlight += len(u.attempts)
		case s.inService(u) && !u.isCold(now) && !u.dead(now) && u.reportedAt >= 0:
			site.Ready++
		}
	}
	return site
}

// VersionMaySend reports whether a granted attempt may still be sent to an upstream. The stage may have changed since.
func (s *State) VersionMaySend(id string) bool {
	u := s.byID[id]
	if u == nil {
		return true
	}
	r := s.service(u.Service).rollout
	if r == nil {
		return true
	}
	switch stage, _ := r.Stage(); stage {
	case canary.RolledBack:
		return u.Version != r.Order.Version
	case canary.Moved, canary.Complete:
		return u.Version == r.Order.Version || !s.service(u.Service).lists(r.Order.Version)
	case canary.Waiting, canary.Canary, canary.Moving:
	}
	return true
}
