package main

import (
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"
)

// Figures of FAILBACK in the configuration and the bounds of the deployment.
const (
	coldTime        = 3 * time.Second
	coldPerSecond   = 5.1
	coldBurstFactor = 1.5
	coldSlack       = 5.0
)

// restartDelay is the time from the end of a process to its next start.
const restartDelay = 500 * time.Millisecond

// zonesOf returns the zone of each host of a site with a number of hosts in each of the zones.
func zonesOf(zones []string, perZone int) []string {
	var of []string
	for _, z := range zones {
		for range perZone {
			of = append(of, z)
		}
	}
	return of
}

// restart takes the workers of a service, all in one zone, down for a moment, after which they come back together, cold. At the same
// moment it kills the processes of all hosts, which start again after a short delay. The check is FAILBACK. Without the trouble, the
// workers come back cold as well.
func restart(log *record, trouble bool) (int, error) {
	const (
		perZone   = 4
		workerNum = 3
		slots     = 4
		demand    = 70.0 // requests a second from each zone
		rounds    = 4
		pause     = 10 * time.Second
		limit     = 3 * time.Second
		workTime  = 20 * time.Millisecond
		allowed   = coldPerSecond*coldBurstFactor + coldSlack
	)
	zones := []string{"alpha", "beta", "gamma"}
	s, err := newSite(log, zonesOf(zones, perZone), 1, "base,drain,config,cost,retry,recover,health,places,platform", commonBounds)
	if err != nil {
		return noCheck, err
	}
	defer s.stop()
	s.configure(configuration(s.services, 260, 2, coldPerSecond))
	cold := make(map[string]time.Time) // when each cold worker started
	var workers []*worker
	next := 0
	startWorkers := func(coldFor time.Duration) error {
		workers = nil
		for range workerNum {
			w, err := startWorker(s.store, log, fmt.Sprintf("i-%04d", next), s.services[0], net.JoinHostPort(s.ip(0, 100+next), workerPort), "alpha", slots, workTime, coldFor)
			if err != nil {
				return err
			}
			next++
			if coldFor > 0 {
				cold[w.id] = time.Now()
			}
			workers = append(workers, w)
		}
		return nil
	}
	if err := startWorkers(0); err != nil {
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
	time.Sleep(4 * time.Second)
	for range rounds {
		log.line("the workers are down")
		for _, w := range workers {
			w.exit()
			w.leave()
		}
		if trouble {
			log.line("all hosts are killed")
			s.kill()
		}
		time.Sleep(restartDelay)
		log.line("the workers are back, cold")
		if err := startWorkers(coldTime); err != nil {
			cancel()
			return noCheck, err
		}
		if trouble {
			log.line("all hosts start")
			if err := s.launch(s.hosts); err != nil {
				cancel()
				return noCheck, err
			}
		}
		time.Sleep(pause)
	}
	cancel()
	wg.Wait()
	worst, over, served := 0, 0, 0
	for id, at := range cold {
		n := mostWhileCold(log, id, at)
		log.line("FAILBACK: at most %d requests within a second at %s while it was cold, allowed %.2f", n, id, allowed)
		worst = max(worst, n)
		if float64(n) > allowed {
			over++
		}
	}
	for _, c := range log.calls {
		if c.status == 200 {
			served++
		}
	}
	log.line("%d requests, %d served; %d of %d cold workers got more than %.2f within a second, at most %d", len(log.calls), served, over, len(cold), allowed, worst)
	fmt.Printf("%d requests, %d served; %d of %d cold workers got more than %.2f within a second, at most %d\n", len(log.calls), served, over, len(cold), allowed, worst)
	if served == 0 {
		return noCheck, fmt.Errorf("no request was served")
	}
	if over > 0 {
		return broken, nil
	}
	return held, nil
}

// mostWhileCold returns the largest number of requests that were sent and ran at a worker within one second while it was cold.
func mostWhileCold(log *record, worker string, start time.Time) int {
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, c := range log.calls {
		for _, r := range c.runs {
			if r.worker == worker && r.at.Before(start.Add(coldTime)) {
				spans = append(spans, span{c.sent, r.at})
			}
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	most := 0
	for i, first := range spans {
		n := 0
		for _, other := range spans[i:] {
			if other.ran.Sub(first.sent) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
