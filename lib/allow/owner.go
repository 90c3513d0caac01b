package allow

import "time"

// organisation is what a host holds for one organisation.
type organisation struct {
	limit Limit
	// position is that of this host in its order of owners. Only the host at 0 uses owner.
	position             int
	owner, deputy, alone bucket
	// usable bounds what a deputy grants while there is an owner. The rest of its bucket is for the time when it is the owner.
	usable bucket
	// becameOwner is when this host became the owner, since when it may grant, and fullFrom when its bucket begins to fill at
	// the whole rate.
	becameOwner, since, fullFrom time.Duration
	// received is set once a handover was received as this owner.
	received bool
	// credited is set once this host had the credit of a started host.
	credited bool
	// granted counts the units granted since the bucket was last full, less those returned.
	granted float64
	// promised is the time to retry that was given to the last request that was rejected.
	promised time.Duration
}

// organisation returns the state of an organisation with its present limit. A lower limit holds at once.
func (s *State) organisation(name string, limit Limit) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{limit: limit, position: -1, alone: bucket{at: s.now}}
		s.organisations[name] = o
	}
	if o.limit != limit {
		s.settle(o)
		s.settleDeputy(o)
		o.limit = limit
		s.settle(o)
		s.settleDeputy(o)
	}
	return o
}

// becomeOwner starts a bucket with what is left in that of the deputy, if the host was one, or with the credit of a started host.
func (s *State) becomeOwner(o *organisation) {
	o.becameOwner = s.now
	o.since = max(s.now, s.started+startHold)
	o.fullFrom = o.since
	if s.now-s.started > startTime {
		o.fullFrom += takeoverHold
		if s.reach.known >= relayedFrom {
			o.fullFrom += relayedHold
		}
	}
	o.received, o.granted, o.promised = false, 0, 0
	o.owner = bucket{level: o.deputy.level, at: o.since}
	if s.now-s.started <= startTime && !o.credited {
		o.credited = true
		o.owner.level += startCreditShare * s.settings.reserve(o.limit) * s.reach.fraction
	}
}

// settle fills the owner's bucket up to now and returns its level.
func (s *State) settle(o *organisation) float64 {
	if o.owner.at == 0 {
		return 0
	}
	capacity := o.limit.capacity() * s.reach.fraction
	over := o.owner.fill(min(s.now, o.fullFrom), s.deputyRate(o), capacity)
	if s.now > o.fullFrom {
		over += o.owner.fill(s.now, o.limit.Rate*s.reach.fraction, capacity)
	}
	if over > 0 {
		o.granted = 0
	}
	return o.owner.level
}

// settleDeputy fills the bucket of a deputy up to now.
func (s *State) settleDeputy(o *organisation) {
	if !isDeputy(o.position) {
		return
	}
	share := secondDeputyShare
	if o.position == 1 {
		share = firstDeputyShare
	}
	reserve := s.settings.reserve(o.limit) * s.reach.fraction
	o.deputy.fill(s.now, s.deputyRate(o), share*reserve)
	o.usable.fill(s.now, s.deputyRate(o), deputyUse*reserve)
}

// deputyRate returns the rate at which a deputy fills its bucket, and a new owner until it may use the whole rate.
func (s *State) deputyRate(o *organisation) float64 {
	return deputyFillShare * s.settings.reserve(o.limit) * s.reach.fraction / s.settings.Window.Seconds()
}

// decideAsOwner decides from the owner's bucket. Each request that is rejected gets the time of the next unit that was promised to
// none before. Beyond MaxRetryAfter the times begin again, so that they stay spread.
func (s *State) decideAsOwner(o *organisation, late bool) Decision {
	if s.now < o.since {
		return Decision{RetryAfter: max(o.since-s.now, deputyRetryAfter)}
	}
	s.settle(o)
	kept := late && o.owner.level < 1+lateShare*o.limit.capacity()*s.reach.fraction
	if !kept && o.owner.take() {
		o.granted++
		return Decision{Granted: true}
	}
	rate := o.limit.Rate * s.reach.fraction
	if s.now < o.fullFrom {
		rate = s.deputyRate(o)
	}
	next := s.now + o.owner.until(rate)
	if o.promised >= next && rate > 0 {
		next = o.promised + time.Duration(float64(time.Second)/max(rate, 1/MaxRetryAfter.Seconds()))
	}
	if next-s.now > MaxRetryAfter {
		next = s.now + o.owner.until(rate)
	}
	o.promised = next
	return Decision{RetryAfter: next - s.now}
}
