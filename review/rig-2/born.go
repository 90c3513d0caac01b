package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// born starts a worker while the clock of its machine is ahead. The clock steps back, and the worker crashes and starts again under its
// ID, by its clock before the first start. Later it reports that it drains, and goes on serving. The check is DRAIN. Without the trouble,
// the clock is right all the time.
func born(log *record, trouble bool) (int, error) {
	const (
		clockAhead = 2400 * time.Millisecond
		runTime    = 1400 * time.Millisecond // until the crash
		downTime   = 300 * time.Millisecond
		settleTime = 5300 * time.Millisecond
		servesOn   = 6 * time.Second // after the report that it drains
		id         = "i-again"
		workTime   = 100 * time.Millisecond
	)
	s, err := newSite(log, zonesOf([]string{"north", "south"}, 2), 1, "base,drain,config,cost,retry,recover,health,places,platform", commonBounds)
	if err != nil {
		return noCheck, err
	}
	defer s.stop()
	s.configure(configuration(s.services, 260, 2, coldPerSecond))
	start := func(id string, n int, ahead time.Duration) (*worker, error) {
		return startWorkerAhead(s.store, log, id, s.services[0], net.JoinHostPort(s.ip(0, 100+n), workerPort), "north", 4, workTime, 0, ahead)
	}
	for n := range 3 {
		if _, err := start(fmt.Sprintf("i-%04d", n), n, 0); err != nil {
			return noCheck, err
		}
	}
	if err := s.start(); err != nil {
		return noCheck, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.clients(ctx, "north", "", "", 40, 3*time.Second) })
	end := func() {
		cancel()
		wg.Wait()
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = clockAhead
	}
	first, err := start(id, 3, ahead)
	if err != nil {
		end()
		return noCheck, err
	}
	time.Sleep(runTime)
	log.line("the clock of the machine of %s is right; the worker crashes", id)
	first.end()
	time.Sleep(downTime)
	second, err := start(id, 3, 0)
	if err != nil {
		end()
		return noCheck, err
	}
	time.Sleep(settleTime)
	second.report("draining")
	confirmed := time.Now()
	log.line("the store has confirmed that %s drains", id)
	time.Sleep(servesOn)
	end()
	late := 0
	for _, c := range log.calls {
		for _, r := range c.runs {
			if r.worker == id && r.at.Sub(confirmed) > drainTime {
				late++
			}
		}
	}
	log.line("DRAIN: %d of %d requests reached %s later than %v after its report", late, len(log.calls), id, drainTime)
	fmt.Printf("%d of %d requests reached the worker later than %v after its report\n", late, len(log.calls), drainTime)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
