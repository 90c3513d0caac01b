// Package core is the reducer of the entry host: every decision of the daemon is one step from an event to effects.
package core

import (
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/lease"
	"sardinecross.example/lib/member"
	"sardinecross.example/lib/order"
	"sardinecross.example/lib/policy"
)

// State is all state of one host incarnation. It is not safe for concurrent use.
type State struct {
	cfg Settings
	// now is the time of the current step; it never decreases.
	now time.Duration
	// seed yields the random numbers of the current step.
	seed    uint64
	effects []Effect

	table *member.Table
	slots *lease.State
	conf  *conf.Store
	book  *order.Deduplicator

	topo     topology
	requests map[ident.RequestID]*request
	timers   timers
	streams  streams
	service  serviceState
	leaving  leaving
	counters Counters
	notices  noticeLimit
	// peers are those of the last Peers effect, computed for the revision peersAt of the table.
	peers   []PeerAddress
	peersAt uint64
	// ownersAt is the revision for which the owners were compared.
	ownersAt uint64
	// judgeAt, probeAt and limitsAt are the times of the next look at stragglers, probes and limits.
	judgeAt, probeAt, limitsAt time.Duration
	// asked is the time of the last ConfRequest.
	asked time.Duration
	// rotation counts the answers of Addresses; the hosts of one data centre take turns at the first place.
	rotation int
	// blocked, fresh and tried are scratch space of one dispatch.
	blocked      map[*policy.Class]bool
	fresh, tried []policy.Candidate
	// guards switches off rules in tests, to show that the tests detect their absence.
	guards guards
}

// guards names the rules that a test can switch off.
type guards struct{ noRetryRule, noRunRule, noFreshRule, noOutRule bool }

// leaving is the progress of a graceful shutdown.
type leaving struct {
	begun bool
	// until is the time up to which callers may still arrive with an address they were given earlier.
	until   time.Duration
	stopped bool
}

// New returns the state of a host that has just started; the runner delivers Tick first.
func New(cfg Settings) *State {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Limits = cfg.Limits.withDefaults()
	table := member.New(0, member.Settings{
		Host: cfg.Host, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre, Interval: cfg.Timing.Heartbeat,
	})
	s := &State{
		cfg:   cfg,
		table: table,
		slots: lease.New(0, lease.Settings{
			Host: cfg.Host, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre,
			Lease: cfg.Timing.Lease, Pledge: cfg.Timing.Pledge,
		}, table),
		conf: conf.NewStore(),
		book: order.NewDeduplicator(cfg.Incarnation, order.Limits{
			Tokens: cfg.Limits.RequestIDs, TokenLifetime: cfg.Timing.RequestIDLifetime,
			KeyLifetime: cfg.Timing.Retention / 2, MaxAnswerBytes: cfg.Limits.StoredAnswerBytes,
		}),
		requests: map[ident.RequestID]*request{},
		notices:  noticeLimit{},
		blocked:  map[*policy.Class]bool{},
		asked:    -confInterval,
	}
	s.counters.Refused = map[Reason]uint64{}
	s.topo.init(cfg)
	return s
}

// Step applies one event and returns its effects in the order in which they take effect. The random number must be
// unpredictable to callers, because request IDs are derived from it. The slice is valid until the next Step.
func (s *State) Step(now time.Duration, rnd uint64, ev Event) []Effect {
	s.now = max(s.now, now)
	s.seed = rnd
	s.effects = s.effects[:0]
	s.applyTimeouts()
	s.route(ev)
	s.conclude()
	return s.effects
}

// applyTimeouts applies every timeout before the event is looked at, so that a host that was stopped meanwhile
// decides on its event with expired leases and an old configuration.
func (s *State) applyTimeouts() {
	s.slots.Advance(s.now)
	s.apply(s.book.Expire(s.now))
	s.pollPlatform()
	s.sendHeartbeats()
	s.judgeStragglers()
	s.sendProbes()
}

// conclude starts the work that the event made possible and sends what the sub-states have to say.
func (s *State) conclude() {
	// After the event, so that an answer that has just arrived is not hedged.
	s.fireTimers()
	s.markReady()
	s.dispatchDirty()
	s.flushClaims()
	s.pollPlatform()
	s.sendHeartbeats()
	s.flushSlots()
	// A grant from this host to itself can free slots for requests that wait.
	if s.markReady() {
		s.dispatchDirty()
		s.flushSlots()
	}
	s.announcePeers()
	s.finishStop()
}

func (s *State) route(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		s.arrive(ev)
	case RequestCancelled:
		s.cancel(ev.ID)
	case IDWanted:
		s.issue(ev)
	case AttemptAnswered:
		s.answered(ev)
	case AttemptEnded:
		s.attemptEnded(ev)
	case RelayEnded:
		s.relayEnded(ev)
	case PeerMessage:
		s.receive(ev)
	case StopRequested:
		s.stop()
	default:
		s.routePlatform(ev)
	}
}

func (s *State) routePlatform(ev Event) {
	switch ev := ev.(type) {
	case HostListRead:
		s.hostListRead(ev.Entries)
	case HostListFailed:
		s.streams.hostList.answered(s.now, hostListInterval)
	case LogRead:
		s.logRead(ev)
	case LogReadFailed:
		s.logReadFailed(ev.Stream)
	case AppendEnded:
		s.appendEnded(ev)
	case ProbeEnded:
		s.probeEnded(ev)
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// rand returns the next random number of the step (splitmix64 over the step's own number).
func (s *State) rand() uint64 {
	s.seed += 0x9e3779b97f4a7c15
	z := s.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Wake returns the next time at which Tick must be delivered.
func (s *State) Wake() time.Duration {
	wake := min(s.table.NextWake(), s.slots.Wake(), s.timers.wake(), s.streams.wake())
	if at, ok := s.book.Wake(s.now); ok {
		wake = min(wake, at)
	}
	if s.leaving.begun && !s.leaving.stopped && s.now < s.leaving.until {
		wake = min(wake, s.leaving.until)
	}
	if wake <= s.now {
		return s.now + wakeFloor
	}
	return wake
}

// wakeFloor is the delay of a Tick that is due already. Every step handles what is due at its time, so a time in the past
// is a fault of a sub-state, which must not keep the runner busy.
const wakeFloor = time.Millisecond

// stop begins a graceful shutdown: callers are sent elsewhere at once, and those that still arrive are served
// until every address given out and every deadline has passed.
func (s *State) stop() {
	if s.leaving.begun {
		return
	}
	s.leaving.begun = true
	s.leaving.until = s.now + s.cfg.Timing.AddressLifetime + s.topo.longestDeadline()
	s.table.SetLeaving(s.now)
	s.notice(false, "leaving", "until", s.leaving.until.String())
}

func (s *State) finishStop() {
	if !s.leaving.begun || s.leaving.stopped || s.now < s.leaving.until || len(s.requests) > 0 {
		return
	}
	s.leaving.stopped = true
	s.emit(Stop{})
}
