package broker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// explainTimeout is how long a host waits for the owner's explanation before it answers from its own view.
	explainTimeout = 500 * time.Millisecond
	// maxExplanations is the number of explanations that a host gives in any explainInterval, to operators and to other hosts together.
	maxExplanations = 5
	explainInterval = time.Second
)

// Explanation is a grant.Explanation with where it comes from.
type Explanation struct {
	grant.Explanation
	// Owner is the host that would decide on the request, AnsweredBy the one whose view this is. OwnView tells why that is not the
	// owner; it is empty if the owner answered.
	Owner, AnsweredBy, OwnView string
	// Unusable is the number of the first candidates that the owner would grant but this host would not send the request to.
	Unusable int
}

// explanations is the state of the explanations that a host gives and asks for.
type explanations struct {
	seq     uint64
	pending map[uint64]pendingExplanation
	// givenAt holds when the last explanations were given, the next one replaces the oldest at next.
	givenAt [maxExplanations]time.Duration
	given   int
}

// pendingExplanation waits for the reply of a host.
type pendingExplanation struct {
	host    string
	replies chan *mesh.ExplainReply
}

// take reports whether one more explanation may be given, and counts it.
func (x *explanations) take(now time.Duration) bool {
	oldest := &x.givenAt[x.given%maxExplanations]
	if x.given >= maxExplanations && now-*oldest < explainInterval {
		return false
	}
	*oldest = now
	x.given++
	return true
}

// MayExplain reports whether this host may give an explanation now. If so, one must be given.
func (b *Broker) MayExplain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.explanations.take(b.now()) {
		b.ExplanationsRejected.Add(1)
		return false
	}
	b.Explanations.Add(1)
	return true
}

// Explain returns where the first attempt of a request would go now, if this host has the given view. It changes nothing that decisions
// depend on.
func (b *Broker) Explain(ctx context.Context, view *fleet.View, req grant.AttemptRequest) Explanation {
	req.ID = grant.AttemptID{Host: b.deps.Host}
	b.mu.Lock()
	owner, cause := b.presentOwner(b.now(), req.Service)
	b.mu.Unlock()
	e := Explanation{Owner: owner, AnsweredBy: owner, OwnView: cause}
	if owner != b.deps.Host {
		var answer *grant.Explanation
		if answer, e.OwnView = b.askExplanation(ctx, owner, req); answer != nil {
			e.Explanation = *answer
			b.checkCandidates(view, &e)
			return e
		}
		e.AnsweredBy, req.WithoutOwner = b.deps.Host, true
	}
	b.mu.Lock()
	e.Explanation = b.state.Explain(b.now(), rand.Float64(), req)
	b.mu.Unlock()
	b.checkCandidates(view, &e)
	return e
}

// presentOwner is owner without a change of what is cached. cause is set if this host stands in for an owner that it can't name or that
// did not answer. b.mu must be held.
func (b *Broker) presentOwner(now time.Duration, service string) (owner, cause string) {
	o := b.ownerOrders[service]
	if now >= o.validUntil {
		o.hosts = b.deps.Node.RankHosts(service, b.deps.Leaving())
	}
	for _, host := range o.hosts {
		if now >= b.suspectUntil[host] {
			return host, ""
		}
	}
	if len(o.hosts) == 0 {
		return b.deps.Host, "no owner is known"
	}
	return b.deps.Host, "no host that may be the owner has answered lately"
}

// askExplanation asks the owner of a service. If there is no answer, it returns why.
func (b *Broker) askExplanation(ctx context.Context, owner string, req grant.AttemptRequest) (answer *grant.Explanation, cause string) {
	replies := make(chan *mesh.ExplainReply, 1)
	b.mu.Lock()
	x := &b.explanations
	x.seq++
	seq := x.seq
	if x.pending == nil {
		x.pending = make(map[uint64]pendingExplanation)
	}
	x.pending[seq] = pendingExplanation{owner, replies}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(x.pending, seq)
		b.mu.Unlock()
	}()
	if !b.deps.Node.Send(owner, &mesh.Message{ExplainRequest: &mesh.ExplainRequest{Seq: seq, Request: req, Route: req.Route}}) {
		return nil, "the owner is not known any more"
	}
	t := time.NewTimer(explainTimeout)
	defer t.Stop()
	select {
	case r := <-replies:
		if r.Busy {
			return nil, fmt.Sprintf("the owner has given %d explanations in the last second", maxExplanations)
		}
		return &r.Explanation, ""
	case <-t.C:
		return nil, fmt.Sprintf("the owner did not answer within %s; it may be dead, cut off or of an earlier version", explainTimeout)
	case <-ctx.Done():
		return nil, "the query has ended"
	}
}

// handleExplain handles queries of other hosts for an explanation, and their replies.
func (b *Broker) handleExplain(now time.Duration, m *mesh.Message) {
	if r := m.ExplainRequest; r != nil {
		req := r.Request
		req.Route = r.Route
		reply := &mesh.ExplainReply{Seq: r.Seq, Busy: !b.MayExplain()}
		if !reply.Busy {
			b.mu.Lock()
			reply.Explanation = b.state.Explain(now, rand.Float64(), req)
			b.mu.Unlock()
		}
		b.deps.Node.Send(m.From, &mesh.Message{ExplainReply: reply})
	}
	if r := m.ExplainReply; r != nil {
		b.mu.Lock()
		p, ok := b.explanations.pending[r.Seq]
		b.mu.Unlock()
		if ok && p.host == m.From {
			select {
			case p.replies <- r:
			default: // a duplicate datagram
			}
		}
	}
}

// checkCandidates passes over the upstreams that this host would not send a request to though it was granted them.
func (b *Broker) checkCandidates(view *fleet.View, e *Explanation) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := false
	for i := range e.Candidates {
		c := &e.Candidates[i]
		if c.Reason != grant.MayBeUsed {
			continue
		}
		u, listed := view.Upstreams[c.Upstream]
		_, out := view.DataCentresOut[u.DataCentre]
		notice := b.state.Notice(now, b.deps.Host, u.Lifetime())
		switch {
		case !listed:
			c.Reason = grant.NotListed
		case u.State != fleet.Ready || notice.Leaving:
			c.Reason = grant.PassLeaving
		case out:
			c.Reason = grant.PassDataCentreOut
		case !notice.IsZero():
			c.Reason = grant.PassPaused
		case !b.state.VersionMaySend(c.Upstream):
			c.Reason = grant.PassVersion
		default:
			usable = true
			continue
		}
		if !usable {
			e.Unusable++
		}
		if len(e.Counts) == grant.PassReasons {
			e.Counts[grant.MayBeUsed]--
			e.Counts[c.Reason]++
		}
	}
}
