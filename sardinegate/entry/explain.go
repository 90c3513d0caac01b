package entry

import (
	"context"
	"net/http"
	"time"

	"sardinecross.example/lib/explain"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
)

// Explainer explains what a handler would do with a request.
type Explainer struct {
	Host    string
	Handler *Handler
	// Upstreams explains which upstreams a request may be sent to; see broker.Broker.
	Upstreams interface {
		Explain(ctx context.Context, view *fleet.View, req grant.AttemptRequest) broker.Explanation
	}
	// Allowances explains the allowance of an organisation; see quota.Quota.
	Allowances interface {
		Explain(o *orgs.Organisation, late bool) *explain.Allowance
	}
	ConfigurationAge func() time.Duration
	// Progress returns how far the host knows the operators' records and the list of upstreams.
	Progress func() (operators, list fleet.Progress)
	Stopping func() bool
}

// Explain returns where a request would go now, and why. It follows Handler.ServeHTTP without the body, and changes nothing.
func (x *Explainer) Explain(ctx context.Context, r *http.Request) *explain.Answer {
	h := x.Handler
	c := &call{arrived: time.Now(), r: r, view: h.deps.View()}
	a := &explain.Answer{Host: x.Host, Stopping: x.Stopping()}
	refused := h.admitWith(c, h.timeLimits.peek)
	if t := c.view.Routes; t != nil {
		operators, list := x.Progress()
		a.Configuration = &explain.Configuration{
			Version: t.Version, AgeMs: x.ConfigurationAge().Milliseconds(), Position: explainedPosition(operators),
		}
		a.List = explainedPosition(list)
		if rt, ok := t.Match(r.Host, r.URL.EscapedPath()); ok {
			a.Route, a.KeyNeeded = rt.Name, t.Organisations != nil && !rt.Public
			a.Service, a.Split = shares(rt)
		}
	}
	if c.organisation != nil {
		a.Organisation = c.organisation.Name
	}
	if refused != nil {
		a.Rejection = rejection(refused)
		return a
	}
	c.service = a.Service
	may := c.route.Kind.MayRepeat() && c.route.MaxAttempts > 1
	a.Class = &explain.Class{
		Priority: c.priority(), Kind: c.route.Kind.String(), MaxAttempts: c.route.MaxAttempts, Retry: may, Hedge: may,
		TargetMs: c.route.Target.Milliseconds(), DeadlineMs: c.deadline.Sub(c.arrived).Milliseconds(),
	}
	if c.organisation != nil && x.Allowances != nil {
		a.Allowance = x.Allowances.Explain(c.organisation, c.probablyLate())
	}
	refused = x.selectUpstream(ctx, c, a)
	// The checks before that for an upstream, the first one last.
	if !h.deps.Stop.MayFinish(c.deadline) {
		refused = refuse(http.StatusServiceUnavailable, "host is stopping", minRetryAfter)
	}
	if q := a.Allowance; q != nil && q.State == explain.Rejected {
		refused = refuse(http.StatusTooManyRequests, "allowance exceeded", max(time.Duration(q.RetryAfterMs)*time.Millisecond, minRetryAfter))
	}
	if refused != nil {
		a.Upstream, a.Rejection = "", rejection(refused)
	}
	return a
}

// shares returns the shares of the services of a route, and the service with the greatest one.
func shares(rt *route.Route) (greatest string, all []explain.Share) {
	total, most := 0.0, -1.0
	for _, p := range rt.Split {
		total += p.Weight
	}
	for _, p := range rt.Split {
		if p.Weight > most {
			greatest, most = p.Service, p.Weight
		}
		if total > 0 {
			all = append(all, explain.Share{Service: p.Service, Share: p.Weight / total})
		}
	}
	return greatest, all
}

// selectUpstream adds the upstreams that the request may be sent to. It returns an outcome if none would be used.
func (x *Explainer) selectUpstream(ctx context.Context, c *call, a *explain.Answer) *outcome {
	e := x.Upstreams.Explain(ctx, c.view, x.Handler.attemptRequest(c, false, false))
	s := &explain.Selection{
		Owner: e.Owner, AnsweredBy: e.AnsweredBy, OwnView: e.OwnView, Result: e.Reason.String(), Waiting: e.Waiting,
		ExpectedWaitMs: e.ExpectedWait.Milliseconds(), Upstreams: e.Listed(), LeftOut: e.LeftOut(),
		Candidates: make([]explain.Candidate, 0, len(e.Candidates)), PassedOver: make(map[string]int),
	}
	a.Selection = s
	for r, n := range e.Counts {
		if reason := grant.PassReason(r); reason != grant.MayBeUsed && n > 0 {
			s.PassedOver[reason.String()] = n
		}
	}
	for _, k := range e.Candidates {
		u := c.view.Upstreams[k.Upstream]
		s.Candidates = append(s.Candidates, explain.Candidate{
			Upstream: k.Upstream, DataCentre: u.DataCentre, Version: u.Version, ExpectedTimeMs: k.ExpectedTime.Milliseconds(),
			InFlight: k.InFlight, Slots: k.Slots, PassedOver: k.Reason.String(),
		})
		if a.Upstream == "" && k.Reason == grant.MayBeUsed {
			a.Upstream = k.Upstream
		}
	}
	switch {
	case e.Reason == grant.Queued:
		return nil
	case e.Reason != grant.Granted:
		return refuse(http.StatusServiceUnavailable, e.Reason.String(), e.RetryAfter)
	case e.Unusable >= maxUnusableGrants:
		return refuse(http.StatusServiceUnavailable, "granted upstreams are not usable", minRetryAfter)
	case a.Upstream == "":
		return refuse(http.StatusServiceUnavailable, grant.NoUpstream.String(), minRetryAfter)
	}
	return nil
}

// rejection returns an outcome as an answer shows it, with the Retry-After that respond would send.
func rejection(o *outcome) *explain.Rejection {
	after := o.retryAfter
	if after > 0 {
		after = max(after, minRetryAfter)
	}
	return &explain.Rejection{Status: o.status, Reason: o.reason, RetryAfterMs: after.Milliseconds()}
}

// explainedPosition returns the position of a host in a stream.
func explainedPosition(p fleet.Progress) *explain.Position {
	return &explain.Position{Era: p.Position.Era, Offset: p.Position.Offset}
}
