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

// auditTimeout bounds the reading of the upstreams' runs.
const auditTimeout = 30 * time.Second

// load is one run of the tool.
type load struct {
	cfg     plan.Settings
	opt     caller.Options
	clients []*caller.Client
	tally   *tally.Tally
	// runID makes order numbers unique among runs with the same seed.
	runID string
	start time.Time
	calls sync.WaitGroup
	// room holds one element for each request in flight.
	room    chan struct{}
	summary tally.Summary
}

func newLoad(cfg plan.Settings, opt options) *load {
	var names []string
	for _, c := range cfg.Classes {
		names = append(names, c.Name)
	}
	l := &load{
		cfg:   cfg,
		opt:   caller.Options{Entries: cfg.Entries, AllowOther: opt.allowOther, Direct: opt.direct},
		tally: tally.New(names, cfg.Duration),
		runID: strconv.FormatUint(rand.Uint64(), 36),
		room:  make(chan struct{}, cfg.MaxInFlight),
	}
	if opt.direct {
		// One client knows all requests in flight, so the baseline has the best choice of upstreams.
		cfg.Clients = 1
		l.cfg.Clients = 1
	}
	// Check has found the address to be valid or empty.
	local, _ := netip.ParseAddr(cfg.ClientBase)
	for i := range cfg.Clients {
		o := l.opt
		if local.IsValid() {
			o.Local = local
			local = local.Next()
		}
		l.clients = append(l.clients, caller.New(o, i))
	}
	return l
}

// run sends the load, waits for its outcomes and compares the orders. An interrupt ends the sending, not the waiting.
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
	return l.compare()
}

// sleepUntil returns false if ctx ended first.
func (l *load) sleepUntil(ctx context.Context, at time.Duration) bool {
	return pause.For(ctx, at-time.Since(l.start))
}

func (l *load) send(a plan.Arrival, number string) {
	select {
	case l.room <- struct{}{}:
	default:
		l.tally.Overrun()
		return
	}
	l.tally.Sent(a.Class, a.At, time.Since(l.start)-a.At)
	class := l.cfg.Classes[a.Class]
	call := caller.Call{Class: class, Kind: a.Kind, Number: number, Deadline: l.start.Add(a.At + class.Timeout)}
	order := ""
	if class.Orders {
		order = number
	}
	l.calls.Go(func() {
		result := l.clients[a.Client].Do(context.Background(), call)
		l.tally.Ended(a.Class, order, a.At, time.Since(l.start), result)
		<-l.room
	})
}

// compare reads the upstreams' runs after a time in which work that was given up could still start.
func (l *load) compare() error {
	time.Sleep(l.cfg.Settle)
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	rt := caller.NewTransport(l.opt)
	defer rt.CloseIdleConnections()
	runs, err := audit.Read(ctx, rt, l.cfg.Upstreams.String())
	if err != nil {
		return err
	}
	orders := audit.Compare(l.tally.Orders(), runs)
	l.summary.Orders = &orders
	return nil
}
