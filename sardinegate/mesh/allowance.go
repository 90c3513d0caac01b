package mesh

import "time"

// AllowanceRequest asks the receiver for one unit of an organisation.
type AllowanceRequest struct {
	Seq          uint64 `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	// Hosts is the number of hosts that may be running as the sender knows it, here and below.
	Hosts int `cbor:"3,keyasint,omitempty"`
	// Late is set if the request will probably miss its target, so that others are more worth the unit.
	Late bool `cbor:"4,keyasint,omitempty"`
}

// AllowanceReply is the answer to the AllowanceRequest with the sequence number Seq.
type AllowanceReply struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time after which a unit may be free, 0 if one was granted.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Hosts      int           `cbor:"4,keyasint,omitempty"`
}

// AllowanceReturn returns units of requests that did not run.
type AllowanceReturn struct {
	Organisation string `cbor:"1,keyasint"`
	Count        int    `cbor:"2,keyasint"`
	// Seq rises with each AllowanceReturn and AllowanceTransfer of a process, so that duplicates are dropped.
	Seq uint64 `cbor:"3,keyasint"`
}

// AllowanceTransfer hands over the buckets of organisations to their new owner. Without levels, it only tells Hosts.
type AllowanceTransfer struct {
	Levels []AllowanceLevel `cbor:"1,keyasint,omitempty"`
	// Seq is as in AllowanceReturn.
	Seq   uint64 `cbor:"2,keyasint"`
	Hosts int    `cbor:"3,keyasint,omitempty"`
}

// AllowanceLevel is the level of the bucket of an organisation, in units.
type AllowanceLevel struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Level        float64
}

func (c *checker) allowances(m *Message) {
	if r := m.AllowanceRequest; r != nil {
		c.name("organisation", r.Organisation)
		c.count("number of hosts", r.Hosts)
	}
	if r := m.AllowanceReply; r != nil {
		c.duration("time to retry", r.RetryAfter)
		c.require(!r.Granted || r.RetryAfter == 0, "time to retry", "is set for a unit that was granted")
		c.count("number of hosts", r.Hosts)
	}
	if r := m.AllowanceReturn; r != nil {
		c.name("organisation", r.Organisation)
		c.require(r.Count > 0 && r.Count <= maxCount, "number of units", "is out of range")
	}
	if t := m.AllowanceTransfer; t != nil {
		c.count("number of hosts", t.Hosts)
		for _, l := range t.Levels {
			c.name("organisation", l.Organisation)
			c.require(l.Level >= 0 && l.Level <= maxCount, "level", "is out of range")
		}
	}
}

// Unheard returns the number of known addresses of hosts that were never heard. They may be running all the same; each counts for
// forgetAfter.
func (n *Node) Unheard() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.unconfirmed)
}
