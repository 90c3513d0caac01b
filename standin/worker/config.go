package worker

import (
	"net/netip"
	"time"

	"sardinecross.example/lib/common/serve"
)

// Settings are those of all workers of one process.
type Settings struct {
	Control  netip.AddrPort     `config:"control,required"`
	Seed     int                `config:"seed"`
	Services map[string]Service `config:"services,required" range:"1.."`
	Workers  []Place            `config:"workers,required" range:"1.." unique:"id"`
}

// Place says where one worker runs.
type Place struct {
	ID         string         `config:"id,required"`
	Service    string         `config:"service,required"`
	DataCentre string         `config:"dataCentre,required"`
	Address    netip.AddrPort `config:"address,required"`
}

// Service describes the workers of one service.
type Service struct {
	Slots       int `config:"slots" range:"1..1024"`
	ColdSlots   int `config:"coldSlots" range:"1..1024"`
	Connections int `config:"connections" range:"1..65536"`
	// Queue is how many requests above the slots wait before the worker sheds.
	Queue          int           `config:"queue" range:"0..65536"`
	ConnectionCost time.Duration `config:"connectionCost" range:"0s..10s"`
	ProbeCost      time.Duration `config:"probeCost" range:"0s..10s"`
	ServiceTime    ServiceTime   `config:"serviceTime"`
	// AnswerBytes is the size of an answer whose request asks for none.
	AnswerBytes int `config:"answerBytes" range:"0..1073741824"`
	// WarmUp is how many completed requests for each bearable slot double what a cold worker bears.
	WarmUp int `config:"warmUp" range:"1..1000000"`
	// Warm starts the workers warm.
	Warm bool `config:"warm"`
	// ReportLag is the age of the load report.
	ReportLag time.Duration `config:"reportLag" range:"0s..10m"`
	// ReportBias is added to the reported requests in flight.
	ReportBias int `config:"reportBias" range:"-1024..1024"`
}

// ServiceTime is a log-normal distribution.
type ServiceTime struct {
	Median time.Duration `config:"median" range:"0s..10m"`
	P99    time.Duration `config:"p99" range:"0s..10m"`
}

// SetDefaults implements config.Defaulter.
func (s *Settings) SetDefaults() { s.Seed = 1 }

// SetDefaults implements config.Defaulter. A host's limit doubles after 8 completed requests for each slot; WarmUp is
// lower, so that a host that follows this rule stays below what a cold worker bears.
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
			report("workers", p.ID+" is of a service that is not among services")
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

// Faults are what POST /control switches for a worker.
type Faults struct {
	// Down closes the listener and all connections; the worker comes back as a new, cold incarnation.
	Down bool `config:"down"`
	// Drain sheds all new requests and finishes the running ones.
	Drain bool `config:"drain"`
	// Straggle multiplies the service time.
	Straggle float64 `config:"straggle" range:"0..1000000"`
	// FailFast answers 500 at once and does not run the request.
	FailFast serve.FaultTrigger `config:"failFast"`
	// Late delays the answer of a request by LateBy, even past its deadline.
	Late   serve.FaultTrigger `config:"late"`
	LateBy time.Duration      `config:"lateBy" range:"0s..10m"`
	// Crossed answers with the nonce and the number of the request before.
	Crossed serve.FaultTrigger `config:"crossed"`
	// Truncated ends the connection in the middle of the answer.
	Truncated serve.FaultTrigger `config:"truncated"`
	// RunThenClose runs the request and closes the connection without an answer.
	RunThenClose serve.FaultTrigger `config:"runThenClose"`
	// Misreport is the state in the load report whatever the worker's state is.
	Misreport string `config:"misreport" oneof:"ready cold draining"`
}

// control is the body of POST /control. It concerns the workers that match all of the first three fields that are present.
type control struct {
	Worker     string `config:"worker"`
	Service    string `config:"service"`
	DataCentre string `config:"dataCentre"`
	// Clear ends all faults before Faults is applied.
	Clear  bool   `config:"clear"`
	Faults Faults `config:"faults"`
	// Restart closes all connections and starts a new, cold incarnation.
	Restart bool `config:"restart"`
	// Cold makes the worker cold without a sign.
	Cold bool `config:"cold"`
	// ResetStats starts the counts of the worker anew, but for the runs of orders.
	ResetStats bool `config:"resetStats"`
}
