package quota

import (
	"sardinecross.example/lib/explain"
	"sardinecross.example/lib/orgs"
)

// Explain returns what this host knows of the allowance of an organisation now, nil if the organisation has no limit. It takes no
// unit and asks no other host.
func (q *Quota) Explain(o *orgs.Organisation, late bool) *explain.Allowance {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table != nil {
		if present, ok := q.table.Get(o.Name); ok {
			o = present
		}
	}
	if o.Rate <= 0 {
		return nil
	}
	now, limit := q.deps.Now(), limitOf(o)
	a := &explain.Allowance{RatePerS: o.Rate, Burst: o.Burst, State: explain.Unknown}
	order := q.orders[o.Name]
	if len(order.hosts) > 0 {
		a.Owner = order.hosts[0]
	}
	if _, after, ok := q.rejections[o.Name].Reject(now, limit, q.known); ok {
		a.State, a.DecidedAs, a.RetryAfterMs = explain.Rejected, "remembered", after.Milliseconds()
		return a
	}
	hosts := q.candidates(now, o.Name)
	if order.stale || len(hosts) > 0 && hosts[0] != q.deps.Host {
		return a // the other host decides, or a request would compute the order first, which changes the state
	}
	d, ok := q.state.Peek(now, o.Name, limit, late, len(hosts) == 0)
	if !ok {
		return a
	}
	a.State, a.DecidedAs = explain.Granted, d.Role.String()
	if !d.Granted {
		a.State, a.RetryAfterMs = explain.Rejected, d.RetryAfter.Milliseconds()
	}
	return a
}
