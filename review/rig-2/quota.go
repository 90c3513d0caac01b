package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/bits"
	"net"
	"sort"
	"sync"
	"time"
)

// Limit of the tenant, what it sends usually and by how much more while it is hot, and the tolerance of QUOTA in the bounds of the
// deployment.
const (
	tenantName              = "cuka620"
	tenantRate, tenantBurst = 200.0, 20.0
	usualRate               = tenantRate / 1.6
	hotFactor               = 7.5
	hotTime                 = 6500 * time.Millisecond
	hotBefore               = 500 * time.Millisecond // before the disruption
	quotaWindow             = 5 * time.Second
	quotaOverage            = 0.1
	quotaSlack              = 20.0
)

// oneWay lets a tenant send several times its limit from all zones, some times. Meanwhile nothing passes from one zone to another one, in one
// direction, while both hear all others. The check is QUOTA.
func oneWay(log *record, trouble bool) (int, error) {
	const (
		cutTime = 5500 * time.Millisecond
		pause   = 12 * time.Second
		rounds  = 4
	)
	return quota(log, func(s *site, hot func()) error {
		from, to := s.zonesToCut(tenantName)
		setCut := func(cut bool) {
			for x, a := range s.hosts {
				for y, b := range s.hosts {
					if a.zone == from && b.zone == to {
						s.net.cuts[x][y].Store(cut)
					}
				}
			}
		}
		for range rounds {
			hot()
			time.Sleep(hotBefore)
			if trouble {
				log.line("nothing passes from %s to %s", from, to)
				setCut(true)
			}
			time.Sleep(cutTime)
			setCut(false)
			if trouble {
				log.line("all passes from %s to %s", from, to)
			}
			time.Sleep(pause)
		}
		return nil
	})
}

// restartQuota lets a tenant send several times its limit from all zones, some times. Meanwhile the processes of all hosts are killed at the same
// moment, and start again after a short delay. The check is QUOTA.
func restartQuota(log *record, trouble bool) (int, error) {
	const (
		pause  = 12 * time.Second
		rounds = 4
	)
	return quota(log, func(s *site, hot func()) error {
		for range rounds {
			hot()
			time.Sleep(hotBefore)
			if trouble {
				log.line("all hosts are killed")
				s.kill()
				time.Sleep(restartDelay)
				log.line("all hosts start")
				if err := s.launch(s.hosts); err != nil {
					return err
				}
			}
			time.Sleep(pause)
		}
		return nil
	})
}

// quota plays a site with a tenant, and checks QUOTA. play calls hot to let the tenant send several times its limit for hotTime, without
// waiting for the end.
func quota(log *record, play func(s *site, hot func()) error) (int, error) {
	const (
		key      = "mgjqnirth5mgjy5rcpih"
		perZone  = 2
		deadline = 1500 * time.Millisecond
		workers  = 24
		workTime = 40 * time.Millisecond
	)
	zones := []string{"alpha", "beta", "gamma", "delta"}
	s, err := newSite(log, zonesOf(zones, perZone), 1, "base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,platform",
		commonBounds+",strict-revoke=false,revoke-s=5,quota-window-s=5,quota-overage=0.1,quota-slack=20")
	if err != nil {
		return noCheck, err
	}
	defer s.stop()
	config := configuration(s.services, 1060, 2, coldPerSecond)
	config["tenants"] = []any{map[string]any{"name": tenantName, "api-keys": []string{key}, "priority": 1, "rate-per-s": tenantRate, "burst": tenantBurst}}
	s.configure(config)
	for n := range workers {
		if _, err := startWorker(s.store, log, fmt.Sprintf("i-%04d", n), s.services[0], net.JoinHostPort(s.ip(0, 100+n), workerPort), zones[n%4], 4, workTime, 0); err != nil {
			return noCheck, err
		}
	}
	if err := s.start(); err != nil {
		return noCheck, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	send := func(ctx context.Context, rate float64) {
		for _, zone := range zones {
			wg.Go(func() { s.clients(ctx, zone, tenantName, key, rate/float64(len(zones)), deadline) })
		}
	}
	send(ctx, usualRate)
	time.Sleep(6 * time.Second)
	err = play(s, func() {
		log.line("the tenant is hot")
		hot, end := context.WithTimeout(ctx, hotTime)
		context.AfterFunc(hot, end)
		send(hot, (hotFactor-1)*usualRate)
	})
	cancel()
	wg.Wait()
	if err != nil {
		return noCheck, err
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most, at := mostInWindow(log)
	log.line("QUOTA: %d requests; at most %d were sent and run within %v, from %.3f s on; allowed %.0f", len(log.calls), most, quotaWindow, at.Seconds(), allowed)
	fmt.Printf("%d requests; at most %d sent and run within %v, from %.3f s on; allowed %.0f\n", len(log.calls), most, quotaWindow, at.Seconds(), allowed)
	if float64(most) < tenantRate*quotaWindow.Seconds()/2 {
		return noCheck, fmt.Errorf("too few requests were run: %d", most)
	}
	if float64(most) > allowed {
		return broken, nil
	}
	return held, nil
}

// mostInWindow returns the largest number of requests that were both sent and run within a window, and when it began.
func mostInWindow(log *record) (most int, at time.Duration) {
	type span struct{ sent, ran time.Duration }
	var spans []span
	for _, c := range log.calls {
		if len(c.runs) > 0 {
			spans = append(spans, span{c.sent.Sub(log.start), c.runs[0].at.Sub(log.start)})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent < spans[j].sent })
	for i, first := range spans {
		n := 0
		for _, other := range spans[i:] {
			if other.sent > first.sent+quotaWindow {
				break
			}
			if other.ran <= first.sent+quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}

// zonesToCut returns the zone of the host that decides on the tenant's limit, and the zone of the host that decides once the hosts of
// the first zone are not heard. The order of the hosts is that of their hashes for the tenant. Each tenant has such a pair.
func (s *site) zonesToCut(tenant string) (from, to string) {
	ordered := append([]*host(nil), s.hosts...)
	hash := func(h *host) uint64 { return xxhash64([]byte("allowance " + tenant + "\x00" + h.name)) }
	sort.Slice(ordered, func(i, j int) bool { return hash(ordered[i]) < hash(ordered[j]) })
	from = ordered[0].zone
	for _, h := range ordered {
		if h.zone != from {
			return from, h.zone
		}
	}
	return from, ""
}

const (
	prime1 uint64 = 0x9E3779B185EBCA87
	prime2 uint64 = 0xC2B2AE3D27D4EB4F
	prime3 uint64 = 0x165667B19E3779F9
	prime4 uint64 = 0x85EBCA77C2B2AE63
	prime5 uint64 = 0x27D4EB2F165667C5
)

// xxhash64 returns the 64-bit hash XXH64 of b with the seed 0.
func xxhash64(b []byte) uint64 {
	round := func(acc, v uint64) uint64 { return bits.RotateLeft64(acc+v*prime2, 31) * prime1 }
	n := uint64(len(b))
	h := prime5
	if len(b) >= 32 {
		p1, p2 := prime1, prime2
		v := [4]uint64{p1 + p2, p2, 0, -p1}
		for len(b) >= 32 {
			for k := range v {
				v[k] = round(v[k], binary.LittleEndian.Uint64(b[8*k:]))
			}
			b = b[32:]
		}
		h = bits.RotateLeft64(v[0], 1) + bits.RotateLeft64(v[1], 7) + bits.RotateLeft64(v[2], 12) + bits.RotateLeft64(v[3], 18)
		for _, x := range v {
			h = (h^round(0, x))*prime1 + prime4
		}
	}
	h += n
	for ; len(b) >= 8; b = b[8:] {
		h = bits.RotateLeft64(h^round(0, binary.LittleEndian.Uint64(b)), 27)*prime1 + prime4
	}
	if len(b) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(b))*prime1, 23)*prime2 + prime3
		b = b[4:]
	}
	for _, c := range b {
		h = bits.RotateLeft64(h^uint64(c)*prime5, 11) * prime1
	}
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}
