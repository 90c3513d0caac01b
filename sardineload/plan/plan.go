package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is the interval within which the rates of all classes are constant.
const Step = 10 * time.Millisecond

// Kind tells how an order is protected against running twice.
type Kind int

// Kinds of requests.
const (
	// KindPlain is a request of an idempotent class.
	KindPlain Kind = iota
	// KindIssued is an order with a request ID issued by a host.
	KindIssued
	// KindKey is an order with an idempotency key chosen by the client.
	KindKey
	// KindNeither is an order with neither. It must not be retried once it may have run.
	KindNeither
)

// Arrival is one request of the load.
type Arrival struct {
	// At is when the request is due, counted from the start of the load.
	At time.Duration
	// Class is the index of the class in the settings.
	Class int
	Kind  Kind
	// Client is the index of the client that sends the request.
	Client int
}

// Plan generates the arrivals of a load. The same settings, including the seed, give the same arrivals.
type Plan struct {
	cfg Settings
	rng *rand.Rand
	// untilNext holds, for each class, the expected number of arrivals until its next arrival. Unlike a time, this number
	// stays valid when the rate changes.
	untilNext []float64
}

// New returns the plan of a load.
func New(cfg Settings) *Plan {
	p := &Plan{cfg: cfg, rng: rand.New(rand.NewPCG(uint64(cfg.Seed), 3)), untilNext: make([]float64, len(cfg.Classes))}
	for i := range p.untilNext {
		p.untilNext[i] = p.rng.ExpFloat64()
	}
	return p
}

// Steps returns the number of steps of the load.
func (p *Plan) Steps() int { return int(p.cfg.Duration / Step) }

// Next returns the arrivals of step n, sorted by time. It must be called once for each step, in order. The arrivals of
// each class are a Poisson process.
func (p *Plan) Next(n int) []Arrival {
	start := time.Duration(n) * Step
	var arrivals []Arrival
	for i, c := range p.cfg.Classes {
		expected := p.rate(i, start) * Step.Seconds()
		for p.untilNext[i] < expected {
			at := start + time.Duration(p.untilNext[i]/expected*float64(Step))
			arrivals = append(arrivals, Arrival{At: at, Class: i, Kind: p.randomKind(c), Client: p.rng.IntN(p.cfg.Clients)})
			p.untilNext[i] += p.rng.ExpFloat64()
		}
		p.untilNext[i] -= expected
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

// rate returns the requests per second of a class at a time, after all active shifts.
func (p *Plan) rate(class int, at time.Duration) float64 {
	rates := make([]float64, len(p.cfg.Classes))
	for i, c := range p.cfg.Classes {
		rates[i] = c.Rate
	}
	for _, s := range p.cfg.Shifts {
		if !s.active(at) {
			continue
		}
		from, to := p.cfg.classIndex(s.From), p.cfg.classIndex(s.To)
		moved := min(s.Rate, rates[from])
		rates[from] -= moved
		rates[to] += moved
	}
	return rates[class]
}

// active reports whether the shift is in effect at a time.
func (s Shift) active(at time.Duration) bool {
	since := at - s.At
	if since >= 0 && s.Every > 0 {
		since %= s.Every
	}
	return since >= 0 && since < s.For
}

// randomKind draws a kind of order according to the weights of the class.
func (p *Plan) randomKind(c Class) Kind {
	if !c.Orders {
		return KindPlain
	}
	x := p.rng.Float64() * (c.Kinds.Issued + c.Kinds.Key + c.Kinds.Neither)
	switch {
	case x < c.Kinds.Issued:
		return KindIssued
	case x < c.Kinds.Issued+c.Kinds.Key:
		return KindKey
	}
	return KindNeither
}
