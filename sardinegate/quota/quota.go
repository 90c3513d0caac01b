// Package quota enforces the limits of organisations together with the other hosts. It asks the owner of an organisation for a
// unit for each request, and answers the other hosts for the organisations that this host owns. Package allow decides.
package quota

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sardinecross.example/lib/allow"
	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// answerTimeout is how long a host waits for an answer before it asks the next one.
	answerTimeout = 25 * time.Millisecond
	// maxAsked is the number of hosts that are asked for one unit.
	maxAsked = 2
	// suspectDuration is how long a host that did not answer is not asked again.
	suspectDuration = 400 * time.Millisecond
	// tickInterval is the time between updates of the orders of owners. A freeze is found by a longer gap; see package allow.
	tickInterval = 100 * time.Millisecond
	// idleInterval replaces it while the configuration has no organisations.
	idleInterval = 400 * time.Millisecond
	// lateAnswerTime is how long a unit is returned that was granted too late for its request.
	lateAnswerTime = 2 * time.Second
	// transferWait is how long a handover waits until this host sees itself as the owner.
	transferWait = time.Second
	// maxTransfer is the number of organisations in one datagram: names of 256 bytes fit.
	maxTransfer = 100
)

// node sends messages to the other hosts; see mesh.Node.
type node interface {
	Send(host string, m *mesh.Message) bool
	Phase() mesh.Phase
	RankRunning(task string, leaving bool) []string
	Reach() (known, alive int)
	Unheard() int
	Alive() []mesh.Member
}

// Deps are the dependencies of a Quota.
type Deps struct {
	Host string
	Node node
	Log  *slog.Logger
	// Organisations returns the organisations of the configuration in force, nil if it has none. Leaving reports whether this
	// host is shutting down.
	Organisations func() *orgs.Table
	Leaving       func() bool
	// Now returns a time that goes on while the process or the machine is suspended. Nil stands for the clock of the system.
	Now func() time.Duration
}

// Quota is safe for concurrent use.
type Quota struct {
	deps   Deps
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// Granted and Rejected count the requests of this host. AsDeputy counts decisions for other hosts and this one as a
	// deputy, Alone decisions because no host answered.
	Granted, Rejected, AsDeputy, Alone atomic.Int64

	mu    sync.Mutex
	state *allow.State
	// known is the number of hosts that may be running.
	known int
	// table and members are what orders is computed from. orders holds the hosts by organisation, the owner first, and stale the
	// organisations whose order is yet to be computed.
	table   *orgs.Table
	members []memberKey
	leaving bool
	// phase is that of this host when the orders were last queued.
	phase  mesh.Phase
	orders map[string]ownerOrder
	stale  []*orgs.Organisation
	// seq numbers the requests, returns and transfers of this process.
	seq uint64
	// pending holds the channels of requests that wait for an answer, late those that no longer do, with the time.
	pending      map[uint64]chan mesh.AllowanceReply
	late         map[uint64]lateRequest
	suspectUntil map[string]time.Duration
	rejections   map[string]allow.Rejection
	// received holds the last numbers of returns and transfers by host, handovers those that wait until this host sees itself
	// as the owner.
	received  map[string]lastSeq
	handovers map[string]handover
	answers   answers
	log       rejectionLog
}

// memberKey holds what the order of owners depends on.
type memberKey struct {
	host           string
	ready, leaving bool
	capacity       int
}

type lateRequest struct {
	host, organisation string
	at                 time.Duration
}

type lastSeq struct {
	boot int64
	seq  uint64
}

type handover struct {
	level float64
	at    time.Duration
}

// New starts a Quota with its background task.
func New(deps Deps, settings allow.Settings) *Quota {
	if deps.Now == nil {
		deps.Now = bootTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	q := &Quota{
		deps:         deps,
		cancel:       cancel,
		state:        allow.New(deps.Now(), settings),
		known:        1,
		orders:       make(map[string]ownerOrder),
		pending:      make(map[uint64]chan mesh.AllowanceReply),
		late:         make(map[uint64]lateRequest),
		suspectUntil: make(map[string]time.Duration),
		rejections:   make(map[string]allow.Rejection),
		received:     make(map[string]lastSeq),
		handovers:    make(map[string]handover),
	}
	q.wg.Go(func() {
		for interval := tickInterval; pause.For(ctx, interval); {
			interval = idleInterval
			if q.deps.Organisations() != nil {
				interval = tickInterval
			}
			q.Update()
		}
	})
	return q
}

// Close stops the background task and waits until it has ended.
func (q *Quota) Close() {
	q.cancel()
	q.wg.Wait()
}

// bootTime returns the time since the machine was started, which goes on while it is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) // fails only for an unknown clock
	return time.Duration(ts.Nano())
}

// Update updates the orders of owners, and hands over the organisations that this host no longer owns. It is called at an
// interval, and when this host begins to leave.
func (q *Quota) Update() {
	q.mu.Lock()
	transfers := q.update(q.deps.Now())
	q.mu.Unlock()
	q.sendTransfers(transfers)
}

// update returns the levels to hand over, by host. q.mu must be held.
func (q *Quota) update(now time.Duration) map[string][]mesh.AllowanceLevel {
	table := q.deps.Organisations()
	if frozen := q.state.Tick(now); table == nil && q.table == nil {
		return nil
	} else if frozen {
		q.deps.Log.Warn("host was frozen, allowances begin anew")
		q.members = nil
		clear(q.handovers)
	}
	known, alive := q.deps.Node.Reach()
	known += q.deps.Node.Unheard()
	q.known = known
	q.state.SetReach(now, known, alive)
	for seq, r := range q.late {
		if now-r.at > lateAnswerTime {
			delete(q.late, seq)
		}
	}
	leaving, phase := q.deps.Leaving(), q.deps.Node.Phase()
	var members []memberKey
	for _, m := range q.deps.Node.Alive() {
		members = append(members, memberKey{m.Host, m.Ready, m.Leaving, m.Capacity})
	}
	if table != q.table || leaving != q.leaving || phase != q.phase || q.members == nil || !slices.Equal(members, q.members) {
		changed := table != q.table || phase != q.phase
		q.phase = phase
		q.setTable(now, table)
		q.queueChanges(members, leaving, changed)
		q.members, q.leaving = append([]memberKey{}, members...), leaving
	}
	transfers := make(map[string][]mesh.AllowanceLevel)
	q.rankStale(now, transfers)
	return transfers
}

// setTable removes what is known of organisations that the configuration no longer limits. q.mu must be held.
func (q *Quota) setTable(now time.Duration, table *orgs.Table) {
	if table == q.table {
		return
	}
	q.table = table
	limited := func(name string) bool {
		if table == nil {
			return false
		}
		o, ok := table.Get(name)
		return ok && o.Rate > 0
	}
	q.state.Remove(now, limited)
	clear(q.orders)
	q.stale = nil
	clear(q.rejections)
}

func limitOf(o *orgs.Organisation) allow.Limit { return allow.Limit{Rate: o.Rate, Burst: o.Burst} }

// Take asks for one unit of an organisation. late is set if the request will probably miss its target. If no unit is granted,
// retryAfter is the time after which there may be one.
func (q *Quota) Take(ctx context.Context, o *orgs.Organisation, late bool) (granted bool, retryAfter time.Duration) {
	if o.Rate <= 0 {
		return true, 0
	}
	granted, retryAfter, role := q.take(ctx, o, late)
	if granted {
		q.Granted.Add(1)
		return true, 0
	}
	q.Rejected.Add(1)
	q.mu.Lock()
	lines := q.log.add(q.deps.Now(), o.Name, role)
	q.mu.Unlock()
	for _, l := range lines {
		q.deps.Log.Info("allowance exceeded", "organisation", l.organisation, "rejected", l.count, "decidedAs", l.role)
	}
	return false, retryAfter
}

// take returns the decision and by which right it was made.
func (q *Quota) take(ctx context.Context, o *orgs.Organisation, late bool) (granted bool, retryAfter time.Duration, role string) {
	q.mu.Lock()
	now := q.deps.Now()
	o, transfers := q.current(now, o)
	if r, after, ok := q.rejections[o.Name].Reject(now, limitOf(o), q.known); ok {
		q.rejections[o.Name] = r
		q.mu.Unlock()
		return false, after, "remembered"
	}
	hosts := q.candidates(now, o.Name)
	q.mu.Unlock()
	q.sendTransfers(transfers)
	for _, host := range hosts {
		if host == q.deps.Host {
			if d, ok := q.decide(o, late); ok {
				return d.Granted, d.RetryAfter, d.Role.String()
			}
			continue
		}
		reply, ok := q.ask(ctx, host, o.Name, late)
		if ok {
			if !reply.Granted && !late { // there may be a unit for a request that is in time
				q.remember(o.Name, reply.RetryAfter)
			}
			return reply.Granted, reply.RetryAfter, "asked"
		}
		if ctx.Err() != nil {
			return false, 0, "ended"
		}
	}
	q.Alone.Add(1)
	q.mu.Lock()
	d := q.state.DecideAlone(q.deps.Now(), o.Name, limitOf(o), late)
	q.mu.Unlock()
	return d.Granted, d.RetryAfter, d.Role.String()
}

// current returns an organisation as the configuration in force has it: a request may have been admitted by an earlier one, and each
// change of the limit changes the buckets. Its order is up to date then. The levels have to be handed over. q.mu must be held.
func (q *Quota) current(now time.Duration, o *orgs.Organisation) (*orgs.Organisation, map[string][]mesh.AllowanceLevel) {
	transfers := make(map[string][]mesh.AllowanceLevel)
	if q.deps.Organisations() != q.table || q.deps.Node.Phase() != q.phase {
		transfers = q.update(now)
	}
	if q.table != nil {
		if present, ok := q.table.Get(o.Name); ok && present.Rate > 0 {
			q.refresh(now, present, transfers)
			return present, transfers
		}
	}
	return o, transfers
}

// candidates returns the hosts to ask for an organisation. q.mu must be held.
func (q *Quota) candidates(now time.Duration, organisation string) []string {
	var hosts []string
	for _, host := range q.orders[organisation].hosts {
		if len(hosts) < maxAsked && now >= q.suspectUntil[host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// decide decides as the owner or a deputy. It returns false if this host is neither.
func (q *Quota) decide(o *orgs.Organisation, late bool) (allow.Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d, ok := q.state.Decide(q.deps.Now(), o.Name, limitOf(o), late)
	if ok && d.Role == allow.Deputy {
		q.AsDeputy.Add(1)
	}
	return d, ok
}

// remember keeps the rejection by another host.
func (q *Quota) remember(organisation string, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rejections[organisation] = allow.NewRejection(q.deps.Now(), retryAfter)
}

// ask asks a host for one unit. It returns false if there was no answer in time.
func (q *Quota) ask(ctx context.Context, host, organisation string, late bool) (mesh.AllowanceReply, bool) {
	replies := make(chan mesh.AllowanceReply, 1)
	q.mu.Lock()
	q.seq++
	seq, known := q.seq, q.known
	q.pending[seq] = replies
	q.mu.Unlock()
	r := &mesh.AllowanceRequest{Seq: seq, Organisation: organisation, Hosts: known, Late: late}
	q.deps.Node.Send(host, &mesh.Message{AllowanceRequest: r})
	t := time.NewTimer(answerTimeout)
	defer t.Stop()
	timedOut := false
	select {
	case r := <-replies:
		return r, true
	case <-t.C:
		timedOut = true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, seq)
	select {
	case r := <-replies: // it came while the lock was awaited
		return r, true
	default:
	}
	now := q.deps.Now()
	q.late[seq] = lateRequest{host, organisation, now}
	if timedOut {
		q.suspectUntil[host] = now + suspectDuration
	}
	return mesh.AllowanceReply{}, false
}

// Return returns the unit of a request that did not run.
func (q *Quota) Return(organisation string) {
	q.mu.Lock()
	order := q.orders[organisation].hosts
	q.mu.Unlock()
	if len(order) > 0 {
		q.returnTo(order[0], organisation)
	}
}

// returnTo returns one unit to a host.
func (q *Quota) returnTo(host, organisation string) {
	q.mu.Lock()
	if host == q.deps.Host {
		q.state.Return(q.deps.Now(), organisation, 1)
		q.mu.Unlock()
		return
	}
	q.seq++
	seq := q.seq
	q.mu.Unlock()
	q.deps.Node.Send(host, &mesh.Message{AllowanceReturn: &mesh.AllowanceReturn{Organisation: organisation, Count: 1, Seq: seq}})
}
