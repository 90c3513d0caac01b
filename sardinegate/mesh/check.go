package mesh

import (
	"fmt"
	"math"
	"time"

	"sardinecross.example/lib/canary"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
)

const (
	// maxNameBytes bounds the names of hosts, upstreams and services, in bytes.
	maxNameBytes = 1024
	// maxDuration bounds every duration in a message. It is above all that the platform's adapter passes on, and sums of
	// several fit a time.Duration.
	maxDuration = 2_000_000_000 * time.Second
	// maxCount bounds every count, capacity and slowdown in a message.
	maxCount = math.MaxInt32
	// maxSpan bounds the records between the positions of a span. The store returns fewer in one read.
	maxSpan = 1 << 20
)

// InvalidMessageError reports a message that was decoded but has a value that no host sends.
type InvalidMessageError struct{ Field, Reason string }

// Error implements error.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("invalid message: %s %s", e.Field, e.Reason)
}

// checker keeps the first fault that is found in a message.
type checker struct{ err error }

func (c *checker) require(ok bool, field, reason string) {
	if !ok && c.err == nil {
		c.err = &InvalidMessageError{field, reason}
	}
}

func (c *checker) name(field, s string) {
	c.require(s != "" && len(s) <= maxNameBytes, field, "is empty or too long")
}

func (c *checker) duration(field string, d time.Duration) {
	c.require(d >= 0 && d <= maxDuration, field, "is out of range")
}

func (c *checker) count(field string, n int) {
	c.require(n >= 0 && n <= maxCount, field, "is out of range")
}

func (c *checker) slowdown(percent float64) {
	c.require(percent >= 0 && percent <= maxCount, "slowdown", "is out of range")
}

// check returns an InvalidMessageError for the first value that would harm the state of a host.
func (m *Message) check() error {
	c := &checker{}
	c.name("sender", m.From)
	if m.Heartbeat != nil {
		c.heartbeat(m.Heartbeat)
	}
	if m.AttemptRequest != nil {
		c.attemptRequest(m.From, m.AttemptRequest)
	}
	c.require(len(m.Route) <= maxNameBytes, "route", "is too long")
	if m.SelectionReply != nil {
		c.selection(&m.SelectionReply.Selection)
	}
	if m.AttemptEnd != nil {
		c.attemptEnd(m.From, m.AttemptEnd)
	}
	if m.ListChanges != nil {
		c.span(m.ListChanges.Span)
		c.duration("time of reads", m.ListChanges.Reads)
		for _, change := range m.ListChanges.Changes {
			c.change(change)
		}
	}
	if m.OperatorRecords != nil {
		c.span(m.OperatorRecords.Span)
	}
	if m.RolloutState != nil {
		c.rolloutState(m.RolloutState)
	}
	if m.RolloutAck != nil {
		c.name("service", m.RolloutAck.Service)
		c.name("version", m.RolloutAck.Version)
	}
	for _, n := range m.Notices {
		c.name("upstream of a notice", n.Lifetime.Upstream)
		c.duration("time to retry", n.Notice.RetryAfter)
	}
	if m.Table != nil {
		c.table(m.Table)
	}
	if m.Question != nil {
		c.duration("time of a question", m.Question.At)
		c.require(len(m.Question.Hosts) <= maxAsked, "question", "asks about too many hosts")
	}
	if m.Answer != nil {
		c.answer(m.Answer)
	}
	if m.ProbeReports != nil {
		c.probeReports(m.ProbeReports.Reports)
	}
	for _, name := range m.Unheard {
		c.name("host that is not heard", name)
	}
	c.allowances(m)
	c.explanations(m)
	return c.err
}

func (c *checker) answer(a *Answer) {
	c.duration("time of a question", a.At)
	c.require(len(a.Heard) <= maxAsked, "answer", "tells of too many hosts")
	for _, h := range a.Heard {
		c.duration("age", h.Age)
	}
}

func (c *checker) table(t *Table) {
	c.name("data centre", t.DataCentre)
	for _, e := range t.Entries {
		c.name("host", e.Host)
		c.count("capacity", e.Capacity)
	}
	c.cold(t.ColdUpstreams)
}

func (c *checker) cold(upstreams []ColdUpstream) {
	for _, u := range upstreams {
		c.duration("time that an upstream stays cold", u.Left)
	}
}

func (c *checker) heartbeat(hb *Heartbeat) {
	c.count("capacity", hb.Capacity)
	operators, list := hb.Progress()
	for _, p := range []fleet.Position{operators.Position, operators.Previous, list.Position, list.Previous} {
		c.require(p.Offset >= 0 && p.Era >= 0, "position", "is negative")
	}
	c.cold(hb.ColdUpstreams)
}

func (c *checker) attemptRequest(from string, r *grant.AttemptRequest) {
	c.require(r.ID.Host == from, "attempt", "is not the sender's")
	c.name("service", r.Service)
	c.duration("target", r.Target)
	c.duration("elapsed time", r.Elapsed)
	c.require(r.TimeLeft >= -maxDuration && r.TimeLeft <= maxDuration, "time left", "is out of range")
	c.require(r.AttemptsLeft >= -1 && r.AttemptsLeft <= maxCount, "attempts left", "is out of range")
	for _, id := range r.Tried {
		c.name("upstream already tried", id)
	}
}

func (c *checker) selection(s *grant.Selection) {
	c.require(s.Reason <= grant.RequestEnded, "reason", "is unknown")
	c.require((s.Upstream != "") == (s.Reason == grant.Granted), "reason", "does not fit the upstream")
	c.duration("time to retry", s.RetryAfter)
	c.slowdown(s.SlowdownPercent)
}

func (c *checker) attemptEnd(from string, e *grant.AttemptEnd) {
	c.require(e.ID.Host == from, "attempt", "is not the sender's")
	if e.Upstream == "" {
		c.require(e.Outcome == grant.Unused && e.Report == nil, "upstream", "is empty though the attempt was granted")
	} else {
		c.name("upstream", e.Upstream)
	}
	c.require(e.Outcome <= grant.TimedOut, "outcome", "is unknown")
	c.duration("duration", e.Took)
	if e.Report != nil {
		c.report(e.Report)
	}
}

func (c *checker) report(r *fleet.Report) {
	c.count("running requests", r.Running)
	c.count("waiting requests", r.Waiting)
	c.count("slots", r.Slots)
	c.slowdown(r.SlowdownPercent)
	c.duration("time that an upstream stays cold", r.ColdFor)
}

func (c *checker) span(s Span) {
	c.require(s.From >= 0 && s.To >= s.From && s.To-s.From <= maxSpan, "span", "is not one that a host reads at once")
	c.require(s.Era >= 0, "era", "is negative")
	c.duration("age", s.Age)
}

func (c *checker) change(change fleet.Change) {
	c.name("upstream of a change", change.ID)
	if u := change.Upstream; u != nil {
		c.require(u.ID == change.ID, "upstream of a change", "has another ID")
		c.count("slots", u.Slots)
		c.require(len(u.Version) <= maxNameBytes, "version", "is too long")
		c.require(u.State <= fleet.Leaving, "state", "is unknown")
		c.require(u.ColdFor >= 0, "time that an upstream stays cold", "is negative")
	}
}

func (c *checker) rolloutState(r *RolloutState) {
	c.name("service", r.Service)
	c.name("version", r.Version)
	c.require(r.Stage <= canary.RolledBack, "stage", "is unknown")
	c.duration("time since the order", r.Elapsed)
	c.duration("time of the order", r.Over)
}
