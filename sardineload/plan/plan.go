package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Step is the time in which the rates are constant.
const Step = 10 * time.Millisecond

// Kind is how an order is protected against a second run.
type Kind int

// Kinds of requests.
const (
	// KindPlain is a request of an idempotent class.
	KindPlain Kind = iota
	KindIssued
	KindKey
	KindNeither
)

// Arrival is one request of the load.
type Arrival struct {
	// At is when the request is due, counted from the start of the load.
	At     time.Duration
	Class  int
	Kind   Kind
	Client int
}

// Plan yields the arrivals of a load; it depends only on the settings.
type Plan struct {
	cfg Settings
	rng *rand.Rand
	// due is, for each class, the number of expected arrivals until the next one.
	due []float64
}

// New returns the plan of a load.
func New(cfg Settings) *Plan {
	p := &Plan{cfg: cfg, rng: rand.New(rand.NewPCG(uint64(cfg.Seed), 3)), due: make([]float64, len(cfg.Classes))}
	for i := range p.due {
		p.due[i] = p.rng.ExpFloat64()
	}
	return p
}

// Steps returns the number of steps.
func (p *Plan) Steps() int { return int(p.cfg.Duration / Step) }

// Next returns the arrivals of step n in the order of their times; it is called once for each step in order.
// The arrivals of a class are a Poisson process.
func (p *Plan) Next(n int) []Arrival {
	start := time.Duration(n) * Step
	var arrivals []Arrival
	for i, c := range p.cfg.Classes {
		expected := p.rate(i, start) * Step.Seconds()
		for p.due[i] < expected {
			at := start + time.Duration(p.due[i]/expected*float64(Step))
			arrivals = append(arrivals, Arrival{At: at, Class: i, Kind: p.kind(c), Client: p.rng.IntN(p.cfg.Clients)})
			p.due[i] += p.rng.ExpFloat64()
		}
		p.due[i] -= expected
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

// rate returns the requests per second of a class at a time.
func (p *Plan) rate(class int, at time.Duration) float64 {
	rates := make([]float64, len(p.cfg.Classes))
	for i, c := range p.cfg.Classes {
		rates[i] = c.Rate
	}
	for _, s := range p.cfg.Shifts {
		if !s.active(at) {
			continue
		}
		from, to := p.cfg.class(s.From), p.cfg.class(s.To)
		moved := min(s.Rate, rates[from])
		rates[from] -= moved
		rates[to] += moved
	}
	return rates[class]
}

func (s Shift) active(at time.Duration) bool {
	since := at - s.At
	if since >= 0 && s.Every > 0 {
		since %= s.Every
	}
	return since >= 0 && since < s.For
}

func (p *Plan) kind(c Class) Kind {
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
