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
	"sardinecross.example/sardinegate/logger"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
	"sardinecross.example/sardinegate/stats"
	"sardinecross.example/sardinegate/watch"
)

const (
	// metricsPort is the TCP port on which metrics are served at /metrics.
	metricsPort = 9464
	// maxProbesPerSecond is the highest rate of probes to one upstream. The platform's settings may lower it.
	maxProbesPerSecond = 14.0
	// crossDataCentreCost and bulkCrossDataCentreCost are added to the expected response time of an upstream in another
	// data centre, as shares of the average response time of the service; see grant.Settings.
	crossDataCentreCost     = 0.5
	bulkCrossDataCentreCost = 4.0
	// addressLifetime is how long callers may use the addresses of hosts that the directory returned, unless the
	// settings bound it to less.
	addressLifetime = 2 * time.Second
	// minLocalHosts is the number of ready hosts in a data centre below which its callers also get the addresses of
	// hosts in other data centres.
	minLocalHosts = 2
	// messagesPerCore and messagesPerMbps are the messages and probes a second that a host handles for all hosts with a
	// quarter of a core, and with a quarter of a link of 1 Mbit/s at 500 bytes each.
	messagesPerCore = 3000.0
	messagesPerMbps = 62.5
	// minConnections is the lower bound of this host's connection limit per upstream.
	minConnections = 4
	// settingsCheckInterval is the time between checks whether the settings file was modified, as it may change without
	// a SIGHUP.
	settingsCheckInterval = time.Second
	// drainTime is the length of the last part of the grace period, in which no new connections are accepted and requests
	// in flight may end. It includes exitMargin.
	drainTime = 2 * time.Second
	// joinTimeout is how long a host with a complete view waits for other hosts before it serves callers. It may be the only
	// one.
	joinTimeout = 300 * time.Millisecond
	// exitMargin is the length of the last part of drainTime, in which the process stops its goroutines and exits.
	exitMargin = 600 * time.Millisecond
	// readHeaderTimeout and idleTimeout apply to connections from the platform and from other hosts, not from callers.
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 90 * time.Second
)

// gate is an entry host with its listeners and background tasks.
type gate struct {
	settings        platform.Settings
	settingsPath    string
	log             *slog.Logger
	logWriter       *logger.Writer
	store           *platform.Store
	node            *mesh.Node
	watcher         *watch.Watcher
	pool            *pool.Pool
	broker          *broker.Broker
	leaving         atomic.Bool
	callerServer    *front.Server
	httpServers     []*http.Server
	wg              sync.WaitGroup
	settingsModTime time.Time // modification time of the settings file when it was last read
	start           time.Time
	// completeAt is the time.Duration from start until the view was first complete; 0 before that.
	completeAt atomic.Int64

	// mu guards settings.Grace and settings.MaxAddressLifetime, the only settings that a reload changes.
	mu sync.Mutex
}

var _ platform.AddressSource = (*gate)(nil)

// newGate starts an entry host. quiet limits the log to warnings and errors.
func newGate(s platform.Settings, path string, out io.Writer, quiet bool) (*gate, error) {
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		return nil, &platform.DecodeError{Subject: "settings: ip", Reason: "not a valid IP address", Err: err}
	}
	level := slog.LevelInfo
	if quiet {
		level = slog.LevelWarn
	}
	g := &gate{settings: s, settingsPath: path, logWriter: logger.NewWriter(out), store: platform.NewStore(s.StoreAddress), pool: pool.New(), start: time.Now()}
	g.log = logger.NewLogger(g.logWriter, level)
	if info, err := os.Stat(path); err == nil {
		g.settingsModTime = info.ModTime()
	}
	boot := time.Now().UnixNano()
	g.log.Info("start", "host", s.Host, "dataCentre", s.DataCentre, "boot", boot)
	g.node, err = mesh.Listen(mesh.Self{
		Host: s.Host, DataCentre: s.DataCentre, CallerAddress: s.CallerAddress, Boot: boot,
		Listen: netip.AddrPortFrom(ip, uint16(s.InternalPort)), Capacity: capacity(s),
	}, g.log)
	if err != nil {
		return nil, fmt.Errorf("open socket for datagrams of other hosts: %w", err)
	}
	g.watcher = watch.New(watch.Deps{
		Host: s.Host, IP: ip, Source: g.store, Node: g.node, Log: g.log,
		OnViewChange: g.updateView,
	})
	g.broker = broker.New(broker.Deps{
		Host: s.Host, Node: g.node, Pool: g.pool, Codec: platform.HeaderCodec{}, Log: g.log,
		View: g.watcher.View, Leaving: g.leaving.Load,
		ProbeInterval:   time.Duration(float64(time.Second) / min(maxProbesPerSecond, s.MaxProbesPerSecond)),
		ProbesPerSecond: float64(capacity(s)),
	}, grant.Settings{
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		Hosts: 1, CrossDataCentreCost: crossDataCentreCost, BulkCrossDataCentreCost: bulkCrossDataCentreCost,
	})
	g.node.OnAlive(g.broker.HostAlive)
	g.node.Start(g.heartbeat, func(m *mesh.Message) {
		g.watcher.Handle(m)
		g.broker.Handle(m)
	})
	for _, seed := range s.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil {
			g.log.Warn("seed not used", "seed", seed, "error", err)
			continue
		}
		g.node.AddAddress(addr.Addr())
	}
	g.watcher.Start()
	return g, g.listen(g.newStats())
}

// capacity returns the number of messages and probes a second that a host with the given settings can handle for all hosts.
// An unknown processor counts as a whole core, an unknown link as unlimited.
func capacity(s platform.Settings) int {
	n := messagesPerCore
	if s.Processors > 0 {
		n *= s.Processors
	}
	if s.LinkMbps > 0 {
		n = min(n, messagesPerMbps*s.LinkMbps)
	}
	return max(int(n), 1)
}

// updateView passes a new view to the broker. It splits the lowest connection limit of any service evenly between the
// live hosts, as each has its own pool, but leaves each at least minConnections.
func (g *gate) updateView(v *fleet.View) {
	g.broker.Update(v)
	if v.Routes == nil {
		return
	}
	if v.Listed {
		g.completeAt.CompareAndSwap(0, int64(time.Since(g.start)))
	}
	minLimit := 0
	for _, s := range v.Routes.Services {
		if s.MaxConnections > 0 && (minLimit == 0 || s.MaxConnections < minLimit) {
			minLimit = s.MaxConnections
		}
	}
	if minLimit > 0 {
		g.pool.SetMaxConnsPerUpstream(max(minLimit/(len(g.node.Alive())+1), minConnections))
	}
}

// heartbeat returns the state of this host that is sent to the other hosts.
func (g *gate) heartbeat() mesh.Heartbeat {
	operators, list := g.watcher.Positions()
	return mesh.Heartbeat{
		Leaving:           g.leaving.Load(),
		Ready:             g.Ready(),
		OperatorsPosition: operators,
		ListPosition:      list,
		ColdUpstreams:     g.broker.Cold(),
	}
}

// newStats returns the metrics of this host.
func (g *gate) newStats() *stats.Collector {
	count := func(n *atomic.Int64) func() float64 { return func() float64 { return float64(n.Load()) } }
	return stats.New(
		stats.Gauge{Name: "store_calls_total", Read: count(&g.watcher.StoreCalls)},
		stats.Gauge{Name: "store_calls_failed_total", Read: count(&g.watcher.FailedStoreCalls)},
		stats.Gauge{Name: "spans_beyond_gap_total", Read: count(&g.watcher.SpansBeyondGap)},
		stats.Gauge{Name: "list_differences_total", Read: count(&g.watcher.ListDifferences)},
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
		stats.Gauge{Name: "decisions_alone_total", Read: count(&g.broker.WithoutOwner)},
		stats.Gauge{Name: "upstream_connections_total", Read: count(&g.pool.Dials)},
		stats.Gauge{Name: "messages_sent_total", Read: count(&g.node.Sent)},
		stats.Gauge{Name: "messages_received_total", Read: count(&g.node.Received)},
		stats.Gauge{Name: "messages_invalid_total", Read: count(&g.node.Invalid)},
		stats.Gauge{Name: "messages_newer_total", Read: count(&g.node.Newer)},
		stats.Gauge{Name: "log_lines_left_out_total", Read: count(&g.logWriter.Dropped)},
	)
}

// listen opens the listeners of the host and starts to serve them.
func (g *gate) listen(collector *stats.Collector) error {
	s := g.settings
	g.callerServer = &front.Server{Log: g.log, Handler: entry.New(entry.Deps{
		DataCentre: s.DataCentre, Selector: g.broker, Sender: g.pool, Codec: platform.HeaderCodec{},
		View: g.servingView, Recorder: collector, Log: g.log,
	})}
	mux := http.NewServeMux()
	mux.Handle("/metrics", collector)
	ip := netip.MustParseAddr(s.IP)
	for _, l := range []struct {
		addr    string
		handler http.Handler // nil for the listener for callers
	}{
		{s.CallerAddress, nil},
		{s.ReadyAddress, platform.ReadyHandler(g)},
		{s.DirectoryAddress, platform.DirectoryHandler(g)},
		{netip.AddrPortFrom(ip, metricsPort).String(), mux},
		{netip.AddrPortFrom(ip, uint16(s.InternalPort)).String(), g.watcher},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp4", l.addr)
		if err != nil {
			return fmt.Errorf("open listener: %w", err)
		}
		g.serveListener(ln, l.handler)
	}
	return nil
}

// serveListener serves ln in the background until shutdown. A nil handler means that callers connect there.
func (g *gate) serveListener(ln net.Listener, h http.Handler) {
	serve := g.callerServer.Serve
	if h != nil {
		server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		g.httpServers = append(g.httpServers, server)
		serve = server.Serve
	}
	g.wg.Go(func() { _ = serve(ln) }) // the error is always ErrServerClosed
}

// Ready implements platform.AddressSource. The host is ready once it may serve callers, until it shuts down.
func (g *gate) Ready() bool { return g.mayServe() && !g.leaving.Load() }

// mayServe reports whether the host knows a configuration and the list of upstreams, and what other hosts know beyond them. A
// host that serves before it has heard from the others takes itself for the owner of every service, and uses upstreams of
// which the others know that they are leaving.
func (g *gate) mayServe() bool {
	completeAt := time.Duration(g.completeAt.Load())
	return completeAt > 0 && (g.node.Joined() || time.Since(g.start) > completeAt+joinTimeout)
}

// servingView returns the view for requests of callers, which is empty while the host may not serve them.
func (g *gate) servingView() *fleet.View {
	if !g.mayServe() {
		return &fleet.View{}
	}
	return g.watcher.View()
}

// NearestHosts implements platform.AddressSource. It returns the ready hosts in the caller's data centre, or those of
// all data centres if there are fewer than minLocalHosts, and how long the caller may use the addresses.
func (g *gate) NearestHosts(dataCentre string) ([]string, time.Duration) {
	var local, all []string
	add := func(dc, addr string) {
		all = append(all, addr)
		if dc == dataCentre {
			local = append(local, addr)
		}
	}
	if g.Ready() {
		add(g.settings.DataCentre, g.settings.CallerAddress)
	}
	for _, m := range g.node.Alive() {
		if m.Ready && !m.Leaving {
			add(m.DataCentre, m.CallerAddress)
		}
	}
	_, longest := g.reloadableLimits()
	valid := min(addressLifetime, longest)
	if len(local) >= minLocalHosts {
		return local, valid
	}
	return all, valid
}

// serve reloads the settings on SIGHUP or when their file was modified. Any other signal shuts the host down.
func (g *gate) serve(signals <-chan os.Signal) {
	t := time.NewTicker(settingsCheckInterval)
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
			if info, err := os.Stat(g.settingsPath); err == nil && info.ModTime() != g.settingsModTime {
				g.reload("file changed")
			}
		}
	}
}

// reload reads the settings again. The grace period, the address lifetime and the retry budget take effect at once; all
// other settings need a restart. The log line reports this for the listen addresses, the internal port, the address of
// the store, and the names of the host and its data centre.
func (g *gate) reload(cause string) {
	if info, err := os.Stat(g.settingsPath); err == nil {
		g.settingsModTime = info.ModTime()
	}
	s, err := platform.LoadSettings(g.settingsPath)
	if err != nil {
		g.log.Error("settings not reloaded", "cause", cause, "error", err)
		return
	}
	restart := s.CallerAddress != g.settings.CallerAddress || s.ReadyAddress != g.settings.ReadyAddress || s.DirectoryAddress != g.settings.DirectoryAddress ||
		s.InternalPort != g.settings.InternalPort || s.StoreAddress != g.settings.StoreAddress || s.Host != g.settings.Host || s.DataCentre != g.settings.DataCentre
	g.mu.Lock()
	g.settings.Grace, g.settings.MaxAddressLifetime = s.Grace, s.MaxAddressLifetime
	g.mu.Unlock()
	g.broker.SetRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	g.log.Info("settings reloaded", "cause", cause, "needsRestart", restart)
}

// reloadableLimits returns the grace period and the longest lifetime of addresses, which a reload may change.
func (g *gate) reloadableLimits() (grace, addresses time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settings.Grace, g.settings.MaxAddressLifetime
}

// shutdown removes the host from the directory, serves requests that still arrive until drainTime is left of the grace
// period, lets requests in flight end, and stops everything. It cuts requests that are still in flight exitMargin before
// the end of the grace period, so that the process ends within it. A further signal skips the wait for drainTime.
func (g *gate) shutdown(signals <-chan os.Signal) {
	grace, _ := g.reloadableLimits()
	g.leaving.Store(true)
	g.callerServer.DisableKeepAlives()
	g.node.SendHeartbeat()
	select {
	case <-time.After(grace - drainTime):
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTime-exitMargin)
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut at the end of the grace", "error", err)
	}
	g.callerServer.Close()
	for _, s := range g.httpServers {
		_ = s.Close() // cuts requests of the platform and of other hosts, which need no answer any more
	}
	g.wg.Wait()
	g.watcher.Close()
	g.broker.Close()
	g.node.Close()
	g.pool.Close()
	g.store.Close()
	g.log.Info("stopped")
	g.logWriter.Close()
}
