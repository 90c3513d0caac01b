// Package allow limits the requests of each organisation over all hosts. It holds the decisions of one host: as the owner of
// an organisation, as a deputy of the owner, and alone. It has no clock and no sockets; the caller passes the time, which must
// go on while the process or the machine is suspended.
package allow

import (
	"math"
	"time"
)

const (
	// maxGap is the longest time between two calls of a running host. After a longer one the host was frozen and other hosts
	// may have taken over. It is below the 1.3 s after which they do, and needs a call every 100 ms or so.
	maxGap = time.Second
	// startHold is how long a started or resumed host grants nothing as an owner without a handover. Within this time it
	// hears the first of the other hosts; before, each of them would take itself for the owner after a restart of all.
	startHold = 100 * time.Millisecond
	// startTime is how long after its start a host that becomes the owner counts as the successor of an owner that has ended:
	// itself in its earlier life, or one that ended with all others. Its empty bucket may fill at the whole rate, as nobody
	// else fills one.
	startTime = 2 * time.Second
	// takeoverHold is how long an owner that took over from a silent one fills its bucket only at the rate of a deputy. The
	// previous owner was silent for at least 1.3 s before, and notices a partition within 2.5 s.
	takeoverHold = 1200 * time.Millisecond
	// relayedHold is added to it from relayedFrom hosts on, where hosts hear those of other data centres through others: an owner that
	// is cut off counts them for up to 2.5 s after the last table, while its successor was elected 0.9 s after the cut. The 0.5 s of both
	// at two thirds of the rate do not fit the reserve of a limit above some 20/s.
	relayedHold = 500 * time.Millisecond
	relayedFrom = 48
	// fractionHold is how long more hosts must be heard until an owner uses a larger share of the rate. When a partition
	// ends, the owner on the other side may notice later.
	fractionHold = 2500 * time.Millisecond
	// toldTime is how long a number of hosts that another host told counts. Hosts forget silent ones after the same time.
	toldTime = time.Minute
	// transferTime is how long after it became the owner a host accepts a handover.
	transferTime = 2500 * time.Millisecond
	// firstDeputyShare and secondDeputyShare are the shares of the reserve that the buckets of the two deputies hold, and
	// deputyFillShare is what each of them fills by in a window. A new deputy begins with an empty bucket, and one that becomes
	// the owner keeps its level as the start credit. So deputies and new owners together grant at most the sum of the two
	// buckets and their fill within a window, 9/16 of the reserve, however often they change.
	firstDeputyShare  = 3.0 / 8
	secondDeputyShare = 1.0 / 16
	deputyFillShare   = 1.0 / 16
	// deputyUse is the share of the reserve that a deputy grants while there is an owner. A busy organisation whose owner answers late
	// uses it all the time, and requests that wait are sent some time after their unit was granted, which the rest has to cover: with
	// 7/16 a day of a large site exceeded the bound (2,307 of 2,290).
	deputyUse = 1.0 / 8
	// startCreditShare is the share of the reserve that a started host may grant at once as the owner. Two starts of owners
	// within a window are covered.
	startCreditShare = 1.0 / 16
	// aloneShare is the share of the reserve that all hosts that decide alone together grant within a window.
	aloneShare = 1.0 / 4
	// deputies is the number of hosts behind the owner that act as its deputies.
	deputies = 2
	// lateShare is the share of the capacity of an owner's bucket that is kept from requests that will probably miss their
	// target. A caller far beyond its limit otherwise spends most units on requests that return too late to be of use.
	lateShare = 1.0 / 4
	// MaxRetryAfter bounds the time to retry of a rejection.
	MaxRetryAfter = 5 * time.Second
	// deputyRetryAfter is the shortest time to retry of a deputy and of a host that decides alone, after which the owner may
	// be known again.
	deputyRetryAfter = 250 * time.Millisecond
)

// Settings are the tolerance of the limits: within any Window, an organisation may get Overage more than its limit, as a share of
// it, and Slack requests more.
type Settings struct {
	Window         time.Duration
	Overage, Slack float64
}

// Limit is the limit of an organisation: Rate requests per second and Burst requests at once.
type Limit struct{ Rate, Burst float64 }

// Bound returns the number of requests that all hosts together may grant within any window.
func (s Settings) Bound(l Limit) float64 {
	return (l.Rate*s.Window.Seconds()+l.Burst)*(1+s.Overage) + s.Slack
}

// reserve returns the part of the bound that the owner's bucket does not use.
func (s Settings) reserve(l Limit) float64 {
	return s.Bound(l) - l.Rate*s.Window.Seconds() - l.capacity()
}

// capacity returns the capacity of the owner's bucket. With less than one, it would never grant.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// Role tells by which right a host decided.
type Role uint8

const (
	// Owner means that the host is the first in its order of owners.
	Owner Role = iota
	// Deputy means that the host was asked and is not the first in its order.
	Deputy
	// Alone means that no other host answered.
	Alone
)

func (r Role) String() string { return [...]string{"owner", "deputy", "alone"}[r] }

// Decision is the decision on one unit of an organisation. RetryAfter is set if it was not granted.
type Decision struct {
	Granted    bool
	RetryAfter time.Duration
	Role       Role
}

// State holds the buckets of one host. It is not safe for concurrent use.
type State struct {
	settings Settings
	// now is the time of the last call, started when the host started or was found to have been frozen.
	now, started  time.Duration
	reach         reach
	organisations map[string]*organisation
}

// New returns the state of a host that starts at the given time.
func New(now time.Duration, settings Settings) *State {
	return &State{settings: settings, now: now, started: now, organisations: make(map[string]*organisation)}
}

// advance sets the time. If the host was frozen, it becomes that of a host that starts.
func (s *State) advance(now time.Duration) {
	if now-s.now > maxGap {
		s.started = now
		s.reach = reach{}
		clear(s.organisations)
	}
	s.now = max(s.now, now)
}

// Tick must be called every 100 ms or so. It reports whether the host was frozen since the last call.
func (s *State) Tick(now time.Duration) (frozen bool) {
	frozen = now-s.now > maxGap
	s.advance(now)
	return frozen
}

// SetReach sets the numbers of hosts that may be running and of those that are heard, both with this host. Hosts that were not heard
// since the start count as well: if all hosts of a partition have started in it, none can tell.
func (s *State) SetReach(now time.Duration, known, alive int) {
	s.advance(now)
	r := s.reach
	if r.told > known && now-r.toldAt < toldTime {
		known = r.told
	}
	r.set(now, known, alive, now-s.started < startTime)
	if r.fraction != s.reach.fraction {
		for _, o := range s.organisations {
			s.settle(o)
			s.settleDeputy(o)
		}
	}
	s.reach = r
}

// Told records the number of hosts that may be running as another host knows it. A host that was started while hosts were cut off
// from each other has not heard of all.
func (s *State) Told(now time.Duration, hosts int) {
	s.advance(now)
	r := &s.reach
	if hosts >= r.told || now-r.toldAt >= toldTime {
		r.told, r.toldAt = hosts, now
	}
	if r.known > 0 && hosts > r.known {
		s.SetReach(now, hosts, r.alive)
	}
}

// SetPosition sets the limit of an organisation and the position of this host in its own order of owners, 0 for the first. A
// negative position means that the host is leaving. If the host was the owner and no longer is, handOver is set, and level has to
// be handed over to the new owner.
func (s *State) SetPosition(now time.Duration, name string, limit Limit, position int) (level float64, handOver bool) {
	s.advance(now)
	o := s.organisation(name, limit)
	s.settleDeputy(o)
	was := o.position
	o.position = position
	switch {
	case was == 0 && position != 0:
		level = s.settle(o)
		handOver = s.now >= o.since
		o.owner = bucket{}
	case was != 0 && position == 0:
		s.becomeOwner(o)
	}
	if isDeputy(position) != isDeputy(was) {
		o.deputy, o.usable = bucket{at: s.now}, bucket{at: s.now}
	}
	return level, handOver
}

// Remove removes organisations that keep does not report as limited.
func (s *State) Remove(now time.Duration, keep func(name string) bool) {
	s.advance(now)
	for name := range s.organisations {
		if !keep(name) {
			delete(s.organisations, name)
		}
	}
}

// Decide decides on one unit as the owner or a deputy. late is set if the request will probably miss its target. It returns false if this host is neither, for example because it is
// leaving: the host that asked has to ask another one.
func (s *State) Decide(now time.Duration, name string, limit Limit, late bool) (Decision, bool) {
	s.advance(now)
	o := s.organisation(name, limit)
	switch {
	case o.position == 0:
		return s.decideAsOwner(o, late), true
	case isDeputy(o.position):
		s.settleDeputy(o)
		b := &o.deputy
		if o.usable.level < b.level {
			b = &o.usable
		}
		d := takeFrom(b, s.deputyRate(o), Deputy)
		if d.Granted && b == &o.usable {
			o.deputy.level--
		} else if d.Granted {
			o.usable.level--
		}
		return d, true
	}
	return Decision{}, false
}

func isDeputy(position int) bool { return position > 0 && position <= deputies }

// DecideAlone decides on one unit because no other host answered.
func (s *State) DecideAlone(now time.Duration, name string, limit Limit, late bool) Decision {
	s.advance(now)
	o := s.organisation(name, limit)
	if o.position == 0 {
		return s.decideAsOwner(o, late)
	}
	// Half of the share is granted at once and half as the fill. A share of less than a unit never grants one: many hosts with
	// such a share must not grant a unit each.
	share := s.shareAlone(o)
	capacity := max(share/2, min(share, 1))
	rate := (share - capacity) / s.settings.Window.Seconds()
	o.alone.fill(s.now, rate, capacity)
	return takeFrom(&o.alone, rate, Alone)
}

// shareAlone returns what this host may grant alone within a window.
func (s *State) shareAlone(o *organisation) float64 {
	return aloneShare * s.settings.reserve(o.limit) / float64(max(s.reach.known, 1))
}

// takeFrom decides from a bucket that was filled up to now at the given rate.
func takeFrom(b *bucket, rate float64, role Role) Decision {
	if b.take() {
		return Decision{Granted: true, Role: role}
	}
	return Decision{RetryAfter: max(deputyRetryAfter, min(b.until(rate), MaxRetryAfter)), Role: role}
}

// Return gives back units of requests that did not run, at most as many as were granted since the bucket was last full.
func (s *State) Return(now time.Duration, name string, count int) {
	s.advance(now)
	o := s.organisations[name]
	if o == nil || o.position != 0 {
		return
	}
	s.settle(o)
	n := min(float64(count), o.granted)
	o.granted -= n
	o.owner.level = min(o.owner.level+n, o.limit.capacity()*s.reach.fraction)
}

// Receive takes over the level that the previous owner handed over. It returns false if it is not used: this host is not a new
// owner, or has received one before. The caller must drop duplicates.
func (s *State) Receive(now time.Duration, name string, level float64) bool {
	s.advance(now)
	o := s.organisations[name]
	if o == nil || o.position != 0 || o.received || now-o.becameOwner > transferTime || !(level >= 0) {
		return false
	}
	s.settle(o)
	o.received = true
	o.since, o.fullFrom = min(o.since, now), now
	o.owner.at = now
	// The result is not above that of a bucket that had this level when the host became the owner.
	capacity := o.limit.capacity() * s.reach.fraction
	o.owner.level = max(o.owner.level, min(capacity, level+o.owner.level+o.granted)-o.granted)
	return true
}

// reach is what a host knows of the number of hosts.
type reach struct {
	known, alive int
	// told is the largest number of hosts that another host told lately, at toldAt.
	told   int
	toldAt time.Duration
	// fraction is the share of the hosts that is heard, as owners use it; 0 before the first value.
	fraction float64
	// raised is the smallest share since raisedAt, at which the share became larger than fraction; 0 if it is not.
	raised   float64
	raisedAt time.Duration
}

// set sets the numbers of hosts. A smaller share counts at once, a larger one after fractionHold, or at once while the host starts
// and grants nothing as an owner.
func (r *reach) set(now time.Duration, known, alive int, starting bool) {
	f := min(1, float64(alive)/float64(max(known, 1)))
	r.known, r.alive = known, alive
	switch {
	case starting || f <= r.fraction:
		r.fraction, r.raised = f, 0
	case r.raised == 0:
		r.raised, r.raisedAt = f, now
	default:
		r.raised = min(r.raised, f)
		if now-r.raisedAt >= fractionHold {
			r.fraction, r.raised = r.raised, 0
		}
	}
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration // the time of level; 0 if the bucket was not used yet
}

// fill adds the tokens since the last call and returns those that were above the capacity.
func (b *bucket) fill(now time.Duration, rate, capacity float64) (over float64) {
	if b.at != 0 && now > b.at {
		b.level += rate * (now - b.at).Seconds()
	}
	b.at = max(b.at, now)
	over = max(0, b.level-capacity)
	b.level -= over
	return over
}

func (b *bucket) take() bool {
	// Sums of small fills are a little below the whole number that they stand for.
	const epsilon = 1e-9
	if b.level < 1-epsilon {
		return false
	}
	b.level--
	return true
}

// until returns the time until the bucket has a unit.
func (b *bucket) until(rate float64) time.Duration {
	seconds := math.Inf(1)
	if rate > 0 {
		seconds = max(0, 1-b.level) / rate
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}
