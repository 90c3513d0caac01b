package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// bodySize is the length of an order's body in bytes. The configuration allows 1 MiB.
	bodySize = 250 << 10
	// uploadLimit is the time that the clients wait for an answer.
	uploadLimit = 6 * time.Second
	// userPause is the time that a user waits after the end of a connection.
	userPause = time.Second
	// maxLost is the number of requests that a machine may lose on kept connections; see LOST.
	maxLost = 3
)

// upload lets more users come at once, some times. Each keeps a connection and sends one order after the other. The check is LOST for the
// orders that were passed on to a worker, on connections that were kept.
func upload(log *record, trouble bool) (int, error) {
	const (
		usual      = 150 // users of all hosts
		burstShare = 0.7 // more users in a burst
		burstTime  = 3 * time.Second
		// arrivalTime is the time within which the users of a burst come.
		arrivalTime = time.Second
		pause       = 6 * time.Second
		rounds      = 7
		workerNum   = 60
		workTime    = 750 * time.Millisecond
	)
	zones := []string{"alpha", "beta"}
	s, err := newSite(log, zones, 1, "base,drain,config,cost,retry,recover,health,places,platform", commonBounds)
	if err != nil {
		return noCheck, err
	}
	defer s.stop()
	s.configure(configuration(s.services, 260, 2, 26))
	for n := range workerNum {
		if _, err := startWorker(s.store, log, fmt.Sprintf("i-%04d", n), s.services[0], net.JoinHostPort(s.ip(0, 100+n), workerPort), zones[n%2], 6, workTime, 0); err != nil {
			return noCheck, err
		}
	}
	if err := s.start(); err != nil {
		return noCheck, err
	}
	users := &uploaders{site: s, body: bytes.Repeat([]byte("order "), bodySize/6), lost: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	start := func(ctx context.Context, n int) {
		for i := range n {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * arrivalTime / time.Duration(n))
				users.run(ctx, zones[i%2])
			})
		}
	}
	start(ctx, usual)
	for range rounds {
		time.Sleep(pause)
		if !trouble {
			time.Sleep(burstTime)
			continue
		}
		log.line("%d more users come", int(usual*burstShare))
		burst, end := context.WithTimeout(ctx, burstTime)
		start(burst, int(usual*burstShare))
		<-burst.Done()
		end()
	}
	cancel()
	wg.Wait()
	served, worst := 0, 0
	for _, c := range log.calls {
		if c.status == http.StatusOK {
			served++
		}
	}
	for h, n := range users.lost {
		log.line("LOST: host %s closed %d kept connections with an order that was passed on", h, n)
		worst = max(worst, n)
	}
	for _, h := range s.hosts {
		select {
		case <-h.exited:
			log.line("host %s has ended", h.name)
		default:
		}
	}
	log.line("%d orders, %d served; at most %d were passed on and lost with their kept connection at one host, %d allowed", len(log.calls), served, worst, maxLost)
	fmt.Printf("%d orders, %d served; at most %d were passed on and lost with their kept connection at one host, %d allowed\n", len(log.calls), served, worst, maxLost)
	if served < len(log.calls)/4 {
		return noCheck, fmt.Errorf("only %d of %d orders were served", served, len(log.calls))
	}
	if worst > maxLost {
		return broken, nil
	}
	return held, nil
}

// uploaders are users with a connection each.
type uploaders struct {
	site *site
	body []byte

	mu   sync.Mutex
	lost map[string]int // by host
}

// run is one user: it sends one order after the other until ctx ends, on one connection for as long as it is kept.
func (u *uploaders) run(ctx context.Context, zone string) {
	for ctx.Err() == nil {
		addrs := resolve(u.site.hosts[rand.IntN(len(u.site.hosts))], "site.example", zone)
		if len(addrs) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		addr := addrs[rand.IntN(len(addrs))]
		nc, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		u.use(ctx, nc, addr)
		_ = nc.Close()
		time.Sleep(userPause)
	}
}

// use sends orders on a connection until it ends or ctx does.
func (u *uploaders) use(ctx context.Context, nc net.Conn, addr string) {
	ip, _, _ := net.SplitHostPort(addr)
	host := ""
	for _, h := range u.site.hosts {
		if h.ip == ip {
			host = h.name
		}
	}
	br := bufio.NewReader(nc)
	for answered := 0; ctx.Err() == nil; answered++ {
		id := u.site.newID()
		u.site.log.sent(id, "", host)
		begin := time.Now()
		status, wait, again, err := u.order(nc, br, id)
		if err != nil {
			u.site.log.ended(id, 0, err.Error())
			if answered > 0 && time.Since(begin) < routeTimeout && u.site.log.hasRun(id) {
				u.mu.Lock()
				u.lost[host]++
				u.mu.Unlock()
			}
			return
		}
		u.site.log.ended(id, status, "")
		if !again {
			return
		}
		time.Sleep(wait)
	}
}

// order sends one order and reads its answer. wait is the time to wait after it, again is set if the connection is kept.
func (u *uploaders) order(nc net.Conn, br *bufio.Reader, id string) (status int, wait time.Duration, again bool, err error) {
	_ = nc.SetDeadline(time.Now().Add(uploadLimit))
	head := fmt.Sprintf("POST /%s/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		u.site.services[0], id, uploadLimit.Milliseconds(), len(u.body))
	buffers := net.Buffers{[]byte(head), u.body}
	if _, err := buffers.WriteTo(nc); err != nil {
		return 0, 0, false, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, 0, false, err
	}
	var rest bytes.Buffer
	if _, err := rest.ReadFrom(resp.Body); err != nil {
		return 0, 0, false, err
	}
	_ = resp.Body.Close()
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(after * float64(time.Second)), !resp.Close, nil
}
