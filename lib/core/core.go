// Package core makes every decision of an entry host. Its State is a reducer: each Step takes one event and returns
// effects. The daemon's runner reads the clock and does the I/O: it delivers the events and carries out the effects.
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

// State is the complete state of one host incarnation. It is not safe for concurrent use.
type State struct {
	cfg Settings
	// now is the time of the current step; it never decreases.
	now time.Duration
	// seed is the state of the random number generator during the current step.
	seed    uint64
	effects []Effect

	members *member.Table
	leases  *lease.State
	conf    *conf.Store
	dedup   *order.Deduplicator

	topo       topology
	requests   map[ident.RequestID]*request
	timers     timers
	polls      platformPolls
	acceptance acceptanceCache
	shutdown   shutdown
	counters   Counters
	notices    noticeLimiter
	// peers are the hosts of the last ConnectPeers effect, computed at peersRevision of the membership table.
	peers         []PeerAddress
	peersRevision uint64
	// ownersRevision is the revision of the membership table at which the owners were last compared.
	ownersRevision uint64
	// nextEjectionCheck, nextProbeCheck and nextLimitCheck are the earliest times of the next check for outliers, due
	// probes and lower limits.
	nextEjectionCheck, nextProbeCheck, nextLimitCheck time.Duration
	// confRequestedAt is the time at which the last ConfRequest was sent.
	confRequestedAt time.Duration
	// rotation counts the calls of Addresses, so that the hosts of one data centre take turns at the first place.
	rotation int
	// blocked, untried and tried are buffers that every dispatch reuses: the classes for which it found no upstream,
	// and the candidates that a request has not tried and has tried.
	blocked        map[*policy.Class]bool
	untried, tried []policy.Candidate
	// disabled switches off rules in tests, to show that the tests detect a missing rule.
	disabled disabledRules
}

// disabledRules names the safety rules that a test can switch off.
type disabledRules struct{ retrySafety, runAccuracy, configFreshness, outOfService bool }

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	begun bool
	// serveUntil is the time until which callers may still arrive with an address that they received earlier.
	serveUntil time.Duration
	stopped    bool
}

// New returns the state of a host that has just started. The runner delivers Tick as the first event.
func New(cfg Settings) *State {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Limits = cfg.Limits.withDefaults()
	table := member.New(0, member.Settings{
		Host: cfg.Host, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre, Interval: cfg.Timing.Heartbeat,
	})
	s := &State{
		cfg:     cfg,
		members: table,
		leases: lease.New(0, lease.Settings{
			Host: cfg.Host, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre,
			Lease: cfg.Timing.Lease, Pledge: cfg.Timing.Pledge,
		}, table),
		conf: conf.NewStore(),
		dedup: order.NewDeduplicator(cfg.Incarnation, order.Limits{
			Tokens: cfg.Limits.RequestIDs, TokenLifetime: cfg.Timing.RequestIDLifetime,
			KeyLifetime: cfg.Timing.Retention / 2, MaxAnswerBytes: cfg.Limits.StoredAnswerBytes,
		}),
		requests:        map[ident.RequestID]*request{},
		notices:         noticeLimiter{},
		blocked:         map[*policy.Class]bool{},
		confRequestedAt: -confInterval,
	}
	s.counters.Refused = map[Reason]uint64{}
	s.topo.init(cfg)
	return s
}

// Step applies one event and returns its effects in the order in which they take effect. rnd must be unpredictable to
// callers, because request IDs are derived from it. The returned slice is valid until the next Step.
func (s *State) Step(now time.Duration, rnd uint64, ev Event) []Effect {
	s.now = max(s.now, now)
	s.seed = rnd
	s.effects = s.effects[:0]
	s.applyTimeouts()
	s.handleEvent(ev)
	s.finishStep()
	return s.effects
}

// applyTimeouts applies all timeouts before the event is handled. A host whose process was suspended therefore
// handles the event with its leases expired and its configuration known to be old.
func (s *State) applyTimeouts() {
	s.leases.Advance(s.now)
	s.applyVerdicts(s.dedup.Expire(s.now))
	s.pollPlatform()
	s.sendHeartbeats()
	s.updateEjections()
	s.sendProbes()
}

// finishStep starts the work that the event made possible and emits the messages and platform calls that are due.
func (s *State) finishStep() {
	// Timers fire after the event, so that a request whose answer has just arrived is not hedged.
	s.fireTimers()
	s.markServicesWithNewSlots()
	s.dispatchDirty()
	s.appendClaims()
	s.pollPlatform()
	s.sendHeartbeats()
	s.sendSlotMessages()
	// This host may have granted slots to itself, which waiting requests can use.
	if s.markServicesWithNewSlots() {
		s.dispatchDirty()
		s.sendSlotMessages()
	}
	s.updatePeers()
	s.finishShutdown()
}

func (s *State) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		s.requestArrived(ev)
	case RequestCancelled:
		s.requestCancelled(ev.ID)
	case IDRequested:
		s.issueID(ev)
	case AttemptAnswered:
		s.attemptAnswered(ev)
	case AttemptEnded:
		s.attemptEnded(ev)
	case RelayEnded:
		s.relayEnded(ev)
	case PeerMessage:
		s.handlePeerMessage(ev)
	case StopRequested:
		s.beginShutdown()
	default:
		s.handlePlatformEvent(ev)
	}
}

func (s *State) handlePlatformEvent(ev Event) {
	switch ev := ev.(type) {
	case HostListRead:
		s.hostListRead(ev.Entries)
	case HostListFailed:
		s.polls.hostList.finish(s.now, hostListInterval)
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

// rand returns the next random number of the step, generated by splitmix64 from the number passed to Step.
func (s *State) rand() uint64 {
	s.seed += 0x9e3779b97f4a7c15
	z := s.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Wake returns the time at which the next Tick must be delivered.
func (s *State) Wake() time.Duration {
	wake := min(s.members.Wake(), s.leases.Wake(), s.timers.wake(), s.polls.wake())
	if at, ok := s.dedup.Wake(s.now); ok {
		wake = min(wake, at)
	}
	if s.shutdown.begun && !s.shutdown.stopped && s.now < s.shutdown.serveUntil {
		wake = min(wake, s.shutdown.serveUntil)
	}
	if wake <= s.now {
		return s.now + minWakeDelay
	}
	return wake
}

// minWakeDelay is the delay of a Tick that is already due. Each step handles everything that is due, so a wake time
// in the past is a bug in one of the sub-states. The delay keeps such a bug from making the runner spin.
const minWakeDelay = time.Millisecond

// beginShutdown begins a graceful shutdown. Callers are directed to other hosts at once. Those that still arrive are
// served until every address that was given to a caller has expired and every deadline has passed.
func (s *State) beginShutdown() {
	if s.shutdown.begun {
		return
	}
	s.shutdown.begun = true
	s.shutdown.serveUntil = s.now + s.cfg.Timing.AddressLifetime + s.topo.longestDeadline()
	s.members.SetLeaving(s.now)
	s.notice(false, "leaving", "until", s.shutdown.serveUntil.String())
}

func (s *State) finishShutdown() {
	if !s.shutdown.begun || s.shutdown.stopped || s.now < s.shutdown.serveUntil || len(s.requests) > 0 {
		return
	}
	s.shutdown.stopped = true
	s.emit(Stop{})
}
