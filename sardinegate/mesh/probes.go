package mesh

import (
	"time"

	"sardinecross.example/lib/fleet"
)

// ProbeReports tells the owner of services what probes of their upstreams by a host of the upstreams' data centre found. Programs
// of earlier versions drop it.
type ProbeReports struct {
	// Seq counts the messages with reports from 1 in each lifetime of the sender.
	Seq     uint64        `cbor:"1,keyasint"`
	Reports []ProbeReport `cbor:"2,keyasint"`
}

// ProbeReport is the answer of an upstream to a probe, or, if Unanswered is not 0, how long it has not answered.
type ProbeReport struct {
	_         struct{} `cbor:",toarray"`
	Upstream  string
	Report    *fleet.Report
	Unhealthy bool
	// Age is the time since the probe was sent.
	Age, Unanswered time.Duration
}

func (c *checker) probeReports(reports []ProbeReport) {
	for i := range reports {
		r := &reports[i]
		c.name("upstream of a report", r.Upstream)
		c.duration("age", r.Age)
		c.duration("time without an answer", r.Unanswered)
		c.require((r.Report == nil) == (r.Unanswered > 0), "report", "is neither an answer nor a time without one")
		if r.Report != nil {
			c.report(r.Report)
		}
	}
}

// Relaying reports whether there are so many live hosts that hosts of different data centres hear of each other by tables.
func (n *Node) Relaying() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relaying
}

// FirstByDataCentre returns the first of the ranked hosts in each data centre.
func (n *Node) FirstByDataCentre(ranked []string) map[string]string {
	first := make(map[string]string)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range ranked {
		dataCentre := n.self.DataCentre
		if host != n.self.Host {
			m := n.members[host]
			if m == nil {
				continue
			}
			dataCentre = m.DataCentre
		}
		if _, ok := first[dataCentre]; !ok && dataCentre != "" {
			first[dataCentre] = host
		}
	}
	return first
}
