package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// refusal crashes the workers of some services, all in one zone, which come back together a moment later at their addresses, each under a
// new ID. One worker of each service is faulty: it writes some refusals once more, late, where the next response on the connection is
// expected. The checks are REFUSED and TWICE. Without the trouble, the workers are sound and do not crash.
func refusal(log *record, trouble bool) (int, error) {
	const (
		serviceNum = 3
		workerNum  = 2 // of each service
		faulty     = 1 // of them
		downTime   = 100 * time.Millisecond
		pause      = 7 * time.Second
		rounds     = 14
		// repeatShare is the share of the refusals that are repeated for faultTime after the start. Of all answers of the faulty workers in
		// that time it must stay below maxRepeated.
		repeatShare, maxRepeated = 0.1, 0.03
		faultTime                = 5 * time.Second
		demand                   = 360.0 // orders a second from each zone
		limit                    = 2 * time.Second
		workTime                 = 20 * time.Millisecond
	)
	zones := []string{"alpha", "beta"}
	s, err := newSite(log, zonesOf(zones, 2), serviceNum, "base,drain,config,cost,retry,recover,health,places,platform", commonBounds)
	if err != nil {
		return noCheck, err
	}
	defer s.stop()
	s.configure(configuration(s.services, 260, 2, 26))
	var all, workers []*worker
	startWorkers := func() error {
		workers = nil
		for n := range serviceNum * workerNum {
			w, err := startWorker(s.store, log, fmt.Sprintf("i-%04d", len(all)), s.services[n%serviceNum], net.JoinHostPort(s.ip(0, 100+n), workerPort), "alpha", 6, workTime, coldTime)
			if err != nil {
				return err
			}
			if trouble && n/serviceNum < faulty {
				w.setRepeats(repeatShare, faultTime)
			}
			all, workers = append(all, w), append(workers, w)
		}
		return nil
	}
	if err := startWorkers(); err != nil {
		return noCheck, err
	}
	if err := s.start(); err != nil {
		return noCheck, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, zone := range zones {
		wg.Go(func() { s.clients(ctx, zone, "", "", demand, limit) })
	}
	time.Sleep(2 * time.Second)
	for range rounds {
		if trouble {
			log.line("the workers crash")
			for _, w := range workers {
				w.crash()
			}
			time.Sleep(downTime)
			log.line("the workers are back")
			if err := startWorkers(); err != nil {
				cancel()
				return noCheck, err
			}
		}
		time.Sleep(pause)
	}
	cancel()
	wg.Wait()
	twice, refused, served := 0, 0, 0
	for _, c := range log.calls {
		if c.status == 200 {
			served++
		}
		if len(c.runs) > 1 {
			twice++
			log.line("TWICE: order %s ran at %s and at %s", c.id, c.runs[0].worker, c.runs[1].worker)
		}
		if len(c.runs) > 0 && (c.status == 503 || c.status == 429) {
			refused++
			log.line("REFUSED: order %s was answered %d and ran at %s", c.id, c.status, c.runs[0].worker)
		}
	}
	repeated, answered := 0, 0
	for _, w := range all {
		if w.repeats > 0 {
			repeated, answered = repeated+w.repeated, answered+w.answered
		}
	}
	log.line("%d orders, %d served, %d ran twice, %d ran and were answered as not run; %d of %d answers were repeated", len(log.calls), served, twice, refused, repeated, answered)
	fmt.Printf("%d orders, %d served, %d ran twice, %d ran and were answered as not run; %d of %d answers were repeated\n", len(log.calls), served, twice, refused, repeated, answered)
	if served < len(log.calls)/4 {
		return noCheck, fmt.Errorf("only %d of %d orders were served", served, len(log.calls))
	}
	if float64(repeated) > maxRepeated*float64(answered) {
		return noCheck, fmt.Errorf("too many answers were repeated: %d of %d", repeated, answered)
	}
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}
