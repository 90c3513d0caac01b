package worker

import (
	"net/netip"
	"time"

	"sardinecross.example/lib/common/serve"
)

// Settings configures all workers of one process.
type Settings struct {
	Control  netip.AddrPort     `config:"control,required"`
	Seed     int                `config:"seed"`
	Services map[string]Service `config:"services,required" range:"1.."`
	Workers  []Placement        `config:"workers,required" range:"1.." unique:"id"`
}

// Placement configures one worker: its service, the data centre in which it runs and the address on which it listens.
type Placement struct {
	ID         string         `config:"id,required"`
	Service    string         `config:"service,required"`
	DataCentre string         `config:"dataCentre,required"`
	Address    netip.AddrPort `config:"address,required"`
}

// Service configures the workers of one service.
type Service struct {
	// Slots is how many requests a worker runs concurrently.
	Slots int `config:"slots" range:"1..1024"`
	// ColdSlots is how many requests a cold worker has in flight without becoming slower; see Worker.effectiveSlots.
	ColdSlots int `config:"coldSlots" range:"1..1024"`
	// Connections is how many open connections a worker accepts.
	Connections int `config:"connections" range:"1..65536"`
	// Queue is how many requests above the slots wait before the worker sheds further ones.
	Queue int `config:"queue" range:"0..65536"`
	// ConnectionCost is how long a new connection occupies the worker, ProbeCost how long a load report does.
	ConnectionCost time.Duration `config:"connectionCost" range:"0s..10s"`
	ProbeCost      time.Duration `config:"probeCost" range:"0s..10s"`
	ServiceTime    ServiceTime   `config:"serviceTime"`
	// AnswerBytes is the size of a response body in bytes, unless the request asks for another size.
	AnswerBytes int `config:"answerBytes" range:"0..1073741824"`
	// WarmUp is how many requests per effective slot a cold worker completes before its effective slots double.
	WarmUp int `config:"warmUp" range:"1..1000000"`
	// Warm starts the workers with all slots effective.
	Warm bool `config:"warm"`
	// ReportLag is how old the load in a load report is.
	ReportLag time.Duration `config:"reportLag" range:"0s..10m"`
	// ReportBias is added to the number of requests in flight in a load report.
	ReportBias int `config:"reportBias" range:"-1024..1024"`
}

// ServiceTime is a log-normal distribution of the time that a request runs.
type ServiceTime struct {
	Median time.Duration `config:"median" range:"0s..10m"`
	P99    time.Duration `config:"p99" range:"0s..10m"`
}

// SetDefaults implements config.Defaulter.
func (s *Settings) SetDefaults() { s.Seed = 1 }

// SetDefaults implements config.Defaulter. A host doubles its limit for a worker after 8 completed requests per slot.
// WarmUp is lower than that, so that a host that follows this rule never exceeds the effective slots of a cold worker.
func (s *Service) SetDefaults() {
	*s = Service{
		Slots:          4,
		ColdSlots:      1,
		Connections:    260,
		Queue:          4,
		ConnectionCost: time.Millisecond,
		ProbeCost:      6 * time.Millisecond,
		ServiceTime:    ServiceTime{Median: 4 * time.Millisecond, P99: 12 * time.Millisecond},
		AnswerBytes:    256,
		WarmUp:         6,
		ReportLag:      200 * time.Millisecond,
	}
}

// Check implements config.Checker.
func (s *Settings) Check(report func(key, problem string)) {
	for _, p := range s.Workers {
		if _, ok := s.Services[p.Service]; !ok {
			report("workers", p.ID+" has the service "+p.Service+", which is not among services")
		}
	}
}

// Check implements config.Checker.
func (s *Service) Check(report func(key, problem string)) {
	if s.ColdSlots > s.Slots {
		report("coldSlots", "is above slots")
	}
	if s.ServiceTime.P99 < s.ServiceTime.Median {
		report("serviceTime.p99", "is below the median")
	}
}

// Faults holds the faults of a worker, which POST /control injects.
type Faults struct {
	// Down closes the listener and all connections. When it is switched off, the worker starts as a new, cold
	// incarnation.
	Down bool `config:"down"`
	// Drain sheds all new requests, while the running ones finish.
	Drain bool `config:"drain"`
	// ServiceTimeFactor multiplies the service time, unless it is 0.
	ServiceTimeFactor float64 `config:"straggle" range:"0..1000000"`
	// FailFast responds with status 500 at once, without running the request.
	FailFast serve.FaultTrigger `config:"failFast"`
	// Late delays the response to a completed request by LateBy, even past its deadline.
	Late   serve.FaultTrigger `config:"late"`
	LateBy time.Duration      `config:"lateBy" range:"0s..10m"`
	// Crossed responds with the nonce and the number of the previously completed request.
	Crossed serve.FaultTrigger `config:"crossed"`
	// Truncated closes the connection in the middle of the response body.
	Truncated serve.FaultTrigger `config:"truncated"`
	// RunThenClose runs the request and closes the connection without a response.
	RunThenClose serve.FaultTrigger `config:"runThenClose"`
	// Misreport, unless it is empty, replaces the worker's state in the load report.
	Misreport string `config:"misreport" oneof:"ready cold draining"`
}

// control is the body of POST /control. It applies to the workers that match Worker, Service and DataCentre, where an
// empty field matches all workers.
type control struct {
	Worker     string `config:"worker"`
	Service    string `config:"service"`
	DataCentre string `config:"dataCentre"`
	// Clear removes all faults before Faults is applied.
	Clear  bool   `config:"clear"`
	Faults Faults `config:"faults"`
	// Restart closes all connections and starts a new, cold incarnation.
	Restart bool `config:"restart"`
	// Cold makes the worker cold without a new incarnation.
	Cold bool `config:"cold"`
	// ResetStats sets the counters of the worker to zero, except for its open connections and the runs of each order.
	ResetStats bool `config:"resetStats"`
}
