package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/sardineload/audit"
	"sardinecross.example/sardineload/caller"
	"sardinecross.example/sardineload/plan"
	"sardinecross.example/sardineload/tally"
)

// auditTimeout limits reading the runs from the upstreams.
const auditTimeout = 30 * time.Second

// load is one run of the load generator.
type load struct {
	cfg           plan.Settings
	callerOptions caller.Options
	clients       []*caller.Client
	tally         *tally.Tally
	// runID is the prefix of the call numbers. It is random, so that they are unique among runs with the same seed.
	runID string
	start time.Time
	calls sync.WaitGroup
	// inFlight is a semaphore with one element for each request in flight. Its capacity is Settings.MaxInFlight.
	inFlight chan struct{}
	summary  tally.Summary
}

func newLoad(cfg plan.Settings, opt options) *load {
	var names []string
	for _, c := range cfg.Classes {
		names = append(names, c.Name)
	}
	l := &load{
		cfg:           cfg,
		callerOptions: caller.Options{Entries: cfg.Entries, AllowNonLoopback: opt.allowNonLoopback, Direct: opt.direct},
		tally:         tally.New(names, cfg.Duration),
		runID:         strconv.FormatUint(rand.Uint64(), 36),
		inFlight:      make(chan struct{}, cfg.MaxInFlight),
	}
	if opt.direct {
		// Direct mode is the baseline. With a single client, which knows all requests in flight, the baseline chooses its
		// upstreams as well as possible.
		cfg.Clients = 1
		l.cfg.Clients = 1
	}
	// Settings.Check ensures that ClientBase is empty or a valid address.
	nextLocal, _ := netip.ParseAddr(cfg.ClientBase)
	for i := range cfg.Clients {
		o := l.callerOptions
		if nextLocal.IsValid() {
			o.LocalAddr = nextLocal
			nextLocal = nextLocal.Next()
		}
		l.clients = append(l.clients, caller.New(o, i))
	}
	return l
}

// run sends the load, waits for the outcomes of all requests and, if an upstream address is set, compares the orders.
// After ctx ends, run sends nothing more but still waits for the outcomes.
func (l *load) run(ctx context.Context) error {
	p := plan.New(l.cfg)
	l.start = time.Now()
	number := 0
	for step := range p.Steps() {
		for _, a := range p.Next(step) {
			if !l.sleepUntil(ctx, a.At) {
				break
			}
			number++
			l.send(a, l.runID+"-"+strconv.Itoa(number))
		}
	}
	l.sleepUntil(ctx, l.cfg.Duration)
	l.calls.Wait()
	for _, c := range l.clients {
		c.Close()
	}
	l.summary = l.tally.Summary()
	if !l.cfg.Upstreams.IsValid() {
		return nil
	}
	return l.compareOrders()
}

// sleepUntil sleeps until a time counted from the start of the load. It returns false if ctx ended first.
func (l *load) sleepUntil(ctx context.Context, at time.Duration) bool {
	return pause.For(ctx, at-time.Since(l.start))
}

// send starts a request, or counts an overrun if too many requests are in flight.
func (l *load) send(a plan.Arrival, callNumber string) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.tally.RecordOverrun()
		return
	}
	l.tally.RecordSent(a.Class, a.At, time.Since(l.start)-a.At)
	class := l.cfg.Classes[a.Class]
	call := caller.Call{Class: class, Kind: a.Kind, Number: callNumber, Deadline: l.start.Add(a.At + class.Timeout)}
	orderNumber := ""
	if class.Orders {
		orderNumber = callNumber
	}
	l.calls.Go(func() {
		result := l.clients[a.Client].Do(context.Background(), call)
		l.tally.RecordResult(a.Class, orderNumber, a.At, time.Since(l.start), result)
		<-l.inFlight
	})
}

// compareOrders compares the outcomes of the orders with the runs at the upstreams. It first waits for Settings.Settle,
// because an upstream may still start work whose caller no longer waits for it.
func (l *load) compareOrders() error {
	time.Sleep(l.cfg.Settle)
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	rt := caller.NewTransport(l.callerOptions)
	defer rt.CloseIdleConnections()
	runs, err := audit.Read(ctx, rt, l.cfg.Upstreams.String())
	if err != nil {
		return err
	}
	orders := audit.Compare(l.tally.OrderOutcomes(), runs)
	l.summary.Orders = &orders
	return nil
}
