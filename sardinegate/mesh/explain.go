package mesh

import "sardinecross.example/lib/grant"

// ExplainRequest asks the owner of a service where a request would go now. Hosts of earlier versions do not answer.
type ExplainRequest struct {
	Seq     uint64               `cbor:"1,keyasint"`
	Request grant.AttemptRequest `cbor:"2,keyasint"`
	// Route is the name of the route of the request.
	Route string `cbor:"3,keyasint,omitempty"`
}

// ExplainReply is the answer to the ExplainRequest with the sequence number Seq.
type ExplainReply struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Busy is set, and Explanation empty, if the host has given the greatest number of explanations in the last second.
	Busy        bool              `cbor:"2,keyasint,omitempty"`
	Explanation grant.Explanation `cbor:"3,keyasint"`
}

func (c *checker) explanations(m *Message) {
	if r := m.ExplainRequest; r != nil {
		c.attemptRequest(m.From, &r.Request)
		c.require(len(r.Route) <= maxNameBytes, "route", "is too long")
	}
	if m.ExplainReply == nil {
		return
	}
	e := &m.ExplainReply.Explanation
	c.require(e.Reason <= grant.RequestEnded, "reason", "is unknown")
	c.duration("time to retry", e.RetryAfter)
	c.duration("expected wait", e.ExpectedWait)
	c.count("waiting requests", e.Waiting)
	c.require(len(e.Candidates) <= grant.MaxCandidates, "explanation", "has too many candidates")
	c.require(len(e.Counts) <= grant.PassReasons, "explanation", "has too many counts")
	for _, n := range e.Counts {
		c.count("upstreams", n)
	}
	for _, u := range e.Candidates {
		c.name("candidate", u.Upstream)
		c.require(u.Reason < grant.PassReasons, "reason of a candidate", "is unknown")
		c.duration("expected time", u.ExpectedTime)
		c.count("requests in flight", u.InFlight)
		c.count("slots", u.Slots)
	}
}
