package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// recoveryTime is the bound recovery-s of the deployment.
const recoveryTime = 15 * time.Second

// recovery plays a site whose machines were replaced over time: most of the machines that it ever had were stopped by SIGTERM and
// removed for good. Then the processes of those that are left are killed at the same moment, and start again after a short delay. The
// check is RECOVER. A tenant sends what it usually does, well within its limit.
func recovery(log *record, trouble bool) (int, error) {
	const (
		removed  = 30
		left     = 4
		key      = "mgjqnirth5mgjy5rcpih"
		rate     = 60.0 // the tenant's limit a second
		workers  = 6
		workTime = 40 * time.Millisecond
		limit    = 1500 * time.Millisecond
		before   = 4 * time.Second
		after    = 12 * time.Second // beyond recoveryTime
		// forgetTime is longer than the hosts remember each other after they have left.
		forgetTime = 62 * time.Second
	)
	zones := []string{"alpha", "beta"}
	s, err := newSite(log, zonesOf(zones, (removed+left)/2), 1, "base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,platform",
		commonBounds+",strict-revoke=false,revoke-s=5,quota-window-s=5,quota-overage=0.1,quota-slack=20")
	if err != nil {
		return noCheck, err
	}
	defer s.stop()
	config := configuration(s.services, 1060, 2, coldPerSecond)
	config["tenants"] = []any{map[string]any{"name": tenantName, "api-keys": []string{key}, "priority": 1, "rate-per-s": rate, "burst": rate}}
	s.configure(config)
	for n := range workers {
		if _, err := startWorker(s.store, log, fmt.Sprintf("i-%04d", n), s.services[0], net.JoinHostPort(s.ip(0, 100+n), workerPort), zones[n%2], 4, workTime, 0); err != nil {
			return noCheck, err
		}
	}
	if err := s.start(); err != nil {
		return noCheck, err
	}
	var kept, gone []*host
	for i, h := range s.hosts {
		if i%(len(s.hosts)/2) < left/2 {
			kept = append(kept, h)
		} else {
			gone = append(gone, h)
		}
	}
	log.line("%d of %d machines are removed", len(gone), len(s.hosts))
	for _, h := range gone {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range gone {
		<-h.exited
	}
	s.hosts = kept
	time.Sleep(forgetTime)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	begin := time.Now()
	for _, zone := range zones {
		wg.Go(func() { s.clients(ctx, zone, tenantName, key, rate/1.6/2, limit) })
	}
	time.Sleep(before)
	fault := time.Now()
	if trouble {
		log.line("all hosts are killed")
		s.kill()
		time.Sleep(restartDelay)
		log.line("all hosts start")
		if err := s.launch(s.hosts); err != nil {
			cancel()
			return noCheck, err
		}
	}
	back := time.Now()
	time.Sleep(recoveryTime + after)
	cancel()
	wg.Wait()
	share := func(from, to time.Time) (served, all int) {
		for _, c := range log.calls {
			if c.sent.After(from) && c.sent.Before(to) {
				all++
				if c.status == 200 {
					served++
				}
			}
		}
		return served, all
	}
	servedBefore, allBefore := share(begin, fault)
	servedAfter, allAfter := share(back.Add(recoveryTime), time.Now())
	log.line("RECOVER: %d of %d served before the fault, %d of %d of those sent later than %v after the machines were back", servedBefore, allBefore, servedAfter, allAfter, recoveryTime)
	fmt.Printf("%d of %d served before, %d of %d later than %v after\n", servedBefore, allBefore, servedAfter, allAfter, recoveryTime)
	switch {
	case 4*servedBefore < allBefore || allAfter == 0:
		return noCheck, fmt.Errorf("too few requests were served before the fault")
	case 4*servedAfter < allAfter:
		return broken, nil
	}
	return held, nil
}
