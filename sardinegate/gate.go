package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/platform"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/entry"
	"sardinecross.example/sardinegate/front"
	"sardinecross.example/sardinegate/lines"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
	"sardinecross.example/sardinegate/stats"
	"sardinecross.example/sardinegate/watch"
)

const (
	// metricsPort serves the measurements at /metrics.
	metricsPort = 9464
	// probesPerSecond is the rate of probes at one upstream, unless the platform allows less.
	probesPerSecond = 14.0
	// crossCost and bulkCrossCost are what an upstream in another data centre costs, as a share of a response time.
	crossCost     = 0.5
	bulkCrossCost = 4.0
	// addressLifetime is how long callers keep addresses.
	addressLifetime = 2 * time.Second
	// fewLocal is the number of hosts in a data centre below which its callers also get hosts elsewhere.
	fewLocal = 2
	// minConnections is the least number of connections that a host may have to one upstream.
	minConnections = 4
	// settingsTick is the time between checks whether the settings file was changed without a signal.
	settingsTick = time.Second
	// lastWork is the part of the grace that is left for requests in flight after the listeners closed.
	lastWork = 2 * time.Second
	// exitMargin is the part of the grace that is left for the end of the process.
	exitMargin = 600 * time.Millisecond
	// readHeaderTimeout and idleTimeout are for the platform and other hosts.
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 90 * time.Second
)

// gate is the running entry host.
type gate struct {
	settings platform.Settings
	path     string
	log      *slog.Logger
	lines    *lines.Writer
	store    *platform.Store
	node     *mesh.Node
	watcher  *watch.Watcher
	pool     *pool.Pool
	broker   *broker.Broker
	leaving  atomic.Bool
	callers  *front.Server
	others   []*http.Server
	done     sync.WaitGroup
	modified time.Time // of the settings file when it was read

	// mu guards the settings that a reload changes: Grace and MaxAddressLifetime.
	mu sync.Mutex
}

var _ platform.Addresses = (*gate)(nil)

// newGate starts an entry host.
func newGate(s platform.Settings, path string, out io.Writer, quiet bool) (*gate, error) {
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		return nil, &platform.DecodeError{What: "settings: ip", Reason: "no IP address", Err: err}
	}
	level := slog.LevelInfo
	if quiet {
		level = slog.LevelWarn
	}
	g := &gate{settings: s, path: path, lines: lines.New(out), store: platform.NewStore(s.Store), pool: pool.New()}
	g.log = lines.Logger(g.lines, level)
	if info, err := os.Stat(path); err == nil {
		g.modified = info.ModTime()
	}
	boot := time.Now().UnixNano()
	g.log.Info("start", "host", s.Host, "dataCentre", s.DataCentre, "boot", boot)
	g.node, err = mesh.Listen(mesh.Self{
		Host: s.Host, DataCentre: s.DataCentre, Callers: s.Callers, Boot: boot,
		Listen: netip.AddrPortFrom(ip, uint16(s.Internal)),
	}, g.log)
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	g.watcher = watch.New(watch.Deps{
		Host: s.Host, IP: ip, Source: g.store, Node: g.node, Log: g.log,
		Changed: g.changed,
	})
	g.broker = broker.New(broker.Deps{
		Host: s.Host, Node: g.node, Pool: g.pool, Dialect: platform.Dialect{}, Log: g.log,
		View: g.watcher.View, Leaving: g.leaving.Load,
		ProbeEvery: time.Duration(float64(time.Second) / min(probesPerSecond, s.MaxProbesPerSecond)),
	}, grant.Settings{
		RetryRatio: s.RepeatRatio, RetrySlack: s.RepeatSlack, RetryWindow: s.RepeatWindow,
		Hosts: 1, CrossDataCentreCost: crossCost, BulkCrossDataCentreCost: bulkCrossCost,
	})
	g.node.Start(g.status, func(m *mesh.Message) {
		g.watcher.Handle(m)
		g.broker.Handle(m)
	})
	for _, seed := range s.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil {
			g.log.Warn("seed not used", "seed", seed, "error", err)
			continue
		}
		g.node.Introduce(addr.Addr())
	}
	g.watcher.Start()
	return g, g.listen(g.newStats())
}

// changed takes over a new view.
func (g *gate) changed(v *fleet.View) {
	g.broker.Update(v)
	if v.Routes == nil {
		return
	}
	least := 0
	for _, s := range v.Routes.Services {
		if s.MaxConnections > 0 && (least == 0 || s.MaxConnections < least) {
			least = s.MaxConnections
		}
	}
	if least > 0 {
		g.pool.SetMaxConnsPerUpstream(max(least/(len(g.node.Alive())+1), minConnections))
	}
}

func (g *gate) status() mesh.Beat {
	operators, list := g.watcher.Positions()
	return mesh.Beat{
		Leaving:   g.leaving.Load(),
		Ready:     g.Ready(),
		Operators: operators,
		List:      list,
		Cold:      g.broker.Cold(),
	}
}

func (g *gate) newStats() *stats.Set {
	count := func(n *atomic.Int64) func() float64 { return func() float64 { return float64(n.Load()) } }
	return stats.New(
		stats.Gauge{Name: "store_calls_total", Read: count(&g.watcher.Calls)},
		stats.Gauge{Name: "store_calls_failed_total", Read: count(&g.watcher.Failed)},
		stats.Gauge{Name: "upstream_list_age_seconds", Read: func() float64 { _, age := g.watcher.Ages(); return age.Seconds() }},
		stats.Gauge{Name: "configuration_age_seconds", Read: func() float64 { age, _ := g.watcher.Ages(); return age.Seconds() }},
		stats.Gauge{Name: "configuration_version", Read: func() float64 {
			if t := g.watcher.View().Routes; t != nil {
				return float64(t.Version)
			}
			return 0
		}},
		stats.Gauge{Name: "hosts_alive", Read: func() float64 { return float64(len(g.node.Alive()) + 1) }},
		stats.Gauge{Name: "probes_total", Read: count(&g.broker.Probes)},
		stats.Gauge{Name: "decisions_alone_total", Read: count(&g.broker.Alone)},
		stats.Gauge{Name: "upstream_connections_total", Read: count(&g.pool.Dials)},
		stats.Gauge{Name: "messages_sent_total", Read: count(&g.node.Sent)},
		stats.Gauge{Name: "messages_received_total", Read: count(&g.node.Received)},
		stats.Gauge{Name: "messages_invalid_total", Read: count(&g.node.Invalid)},
		stats.Gauge{Name: "log_lines_left_out_total", Read: count(&g.lines.Dropped)},
	)
}

// listen opens all listeners.
func (g *gate) listen(set *stats.Set) error {
	s := g.settings
	g.callers = &front.Server{Log: g.log, Handler: entry.New(entry.Deps{
		DataCentre: s.DataCentre, Grants: g.broker, Sender: g.pool, Dialect: platform.Dialect{},
		View: g.watcher.View, Record: set, Log: g.log,
	})}
	mux := http.NewServeMux()
	mux.Handle("/metrics", set)
	ip := netip.MustParseAddr(s.IP)
	for _, l := range []struct {
		addr    string
		handler http.Handler // nil for callers
	}{
		{s.Callers, nil},
		{s.Ready, platform.Ready(g)},
		{s.Directory, platform.Directory(g)},
		{netip.AddrPortFrom(ip, metricsPort).String(), mux},
		{netip.AddrPortFrom(ip, uint16(s.Internal)).String(), g.watcher},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp4", l.addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		g.serveOn(ln, l.handler)
	}
	return nil
}

// serveOn serves a listener until shutdown.
func (g *gate) serveOn(ln net.Listener, h http.Handler) {
	serve := g.callers.Serve
	if h != nil {
		server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		g.others = append(g.others, server)
		serve = server.Serve
	}
	g.done.Go(func() { _ = serve(ln) }) // always ends with ErrServerClosed
}

// Ready implements platform.Addresses.
func (g *gate) Ready() bool {
	v := g.watcher.View()
	return v.Routes != nil && v.Listed && !g.leaving.Load()
}

// Nearest implements platform.Addresses: the hosts of the caller's data centre, and all others if these are few.
func (g *gate) Nearest(dataCentre string) ([]string, time.Duration) {
	var local, all []string
	add := func(dc, addr string) {
		all = append(all, addr)
		if dc == dataCentre {
			local = append(local, addr)
		}
	}
	if g.Ready() {
		add(g.settings.DataCentre, g.settings.Callers)
	}
	for _, m := range g.node.Alive() {
		if m.Ready && !m.Leaving {
			add(m.DataCentre, m.Callers)
		}
	}
	_, longest := g.bounds()
	valid := min(addressLifetime, longest)
	if len(local) >= fewLocal {
		return local, valid
	}
	return all, valid
}

// serve runs until a signal ends the process.
func (g *gate) serve(signals <-chan os.Signal) {
	t := time.NewTicker(settingsTick)
	defer t.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				g.log.Info("stop", "signal", sig.String())
				g.shutdown(signals)
				return
			}
			g.reload("signal")
		case <-t.C:
			if info, err := os.Stat(g.path); err == nil && info.ModTime() != g.modified {
				g.reload("file changed")
			}
		}
	}
}

// reload reads the settings again. The bounds of the operators take effect at once, addresses at the next start.
func (g *gate) reload(cause string) {
	if info, err := os.Stat(g.path); err == nil {
		g.modified = info.ModTime()
	}
	s, err := platform.LoadSettings(g.path)
	if err != nil {
		g.log.Error("settings not reloaded", "cause", cause, "error", err)
		return
	}
	restart := s.Callers != g.settings.Callers || s.Ready != g.settings.Ready || s.Directory != g.settings.Directory ||
		s.Internal != g.settings.Internal || s.Store != g.settings.Store || s.Host != g.settings.Host || s.DataCentre != g.settings.DataCentre
	g.mu.Lock()
	g.settings.Grace, g.settings.MaxAddressLifetime = s.Grace, s.MaxAddressLifetime
	g.mu.Unlock()
	g.broker.SetRepeats(s.RepeatRatio, s.RepeatSlack, s.RepeatWindow)
	g.log.Info("settings reloaded", "cause", cause, "needsRestart", restart)
}

// bounds returns the grace and the longest lifetime of addresses.
func (g *gate) bounds() (grace, addresses time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.Grace, g.settings.MaxAddressLifetime
}

// shutdown takes the host out of the directory, serves what still arrives, and ends within the grace.
func (g *gate) shutdown(signals <-chan os.Signal) {
	grace, _ := g.bounds()
	g.leaving.Store(true)
	g.callers.DisableKeepAlives()
	g.node.Beat()
	select {
	case <-time.After(grace - lastWork):
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastWork-exitMargin)
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut at the end of the grace", "error", err)
	}
	g.callers.Close()
	for _, s := range g.others {
		_ = s.Close() // nothing is left to answer
	}
	g.done.Wait()
	g.watcher.Close()
	g.broker.Close()
	g.node.Close()
	g.pool.Close()
	g.store.Close()
	g.log.Info("stopped")
	g.lines.Close()
}
