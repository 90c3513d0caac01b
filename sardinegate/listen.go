package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"sardinecross.example/lib/explain"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/platform"
	"sardinecross.example/sardinegate/entry"
	"sardinecross.example/sardinegate/front"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/stats"
)

const (
	// metricsPort is the TCP port on which metrics are served at /metrics.
	metricsPort = 9464
	// addressLifetime is how long callers may use the addresses of hosts that the directory returned, unless the
	// settings bound it to less.
	addressLifetime = 2 * time.Second
	// minLocalHosts is the number of ready hosts in a data centre below which its callers also get the addresses of
	// hosts in other data centres.
	minLocalHosts = 2
	// joinTimeout is how long a host with a complete view waits for other hosts before it serves callers. It may be the only
	// one.
	joinTimeout = 300 * time.Millisecond
	// readyCheckInterval is the time between checks whether a started host is ready.
	readyCheckInterval = 10 * time.Millisecond
	// idleTimeout applies to connections from the platform and from other hosts, not from callers.
	idleTimeout = 90 * time.Second
	// sendBufferBytes is the size of the send buffer of connections on which other hosts copy what this host knows.
	sendBufferBytes = 16 << 10
)

// listen opens the listeners of the host and starts to serve them.
func (g *gate) listen(collector *stats.Collector) error {
	s := g.settings
	deps := entry.Deps{
		DataCentre: s.DataCentre, Selector: g.broker, Allowances: g.quota, Sender: g.pool, Codec: platform.HeaderCodec{},
		View: g.servingView, Stop: g.stop, Recorder: collector, Log: g.log,
	}
	if s.StrictRevoke {
		deps.RevokeAfter = s.RevokeAfter
		deps.ConfigurationAge = func() time.Duration { age, _ := g.watcher.Ages(); return age }
	}
	handler := entry.New(deps)
	g.callerServer = &front.Server{
		Log: g.log, Limits: callerLimits(s), HeaderTimeout: g.headTimeout, Handler: handler, BodyChecker: handler,
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", collector)
	mux.Handle(explain.Path, g.explainHandler(handler))
	ip := netip.MustParseAddr(s.IP)
	for _, l := range []struct {
		name    string
		addr    string
		handler http.Handler // nil for the listener for callers
	}{
		{"callers", s.CallerAddress, nil},
		{"ready", s.ReadyAddress, platform.ReadyHandler(g)},
		{"directory", s.DirectoryAddress, platform.DirectoryHandler(g)},
		{"metrics", netip.AddrPortFrom(ip, metricsPort).String(), mux},
		{"hosts", netip.AddrPortFrom(ip, uint16(s.InternalPort)).String(), g.watcher},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := listenerConfig(l.handler == g.watcher).Listen(context.Background(), "tcp4", l.addr)
		if err != nil {
			return fmt.Errorf("open listener: %w", err)
		}
		g.serveListener(ln, l.name, l.handler)
	}
	return nil
}

// listenerConfig returns the configuration of a listener. With smallSendBuffer, a write returns only when all but the last
// sendBufferBytes of it are on their way, so that the server knows how long a transfer takes.
func listenerConfig(smallSendBuffer bool) *net.ListenConfig {
	cfg := &net.ListenConfig{}
	if smallSendBuffer {
		cfg.Control = func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
			})
			return errors.Join(err, setErr)
		}
	}
	return cfg
}

// serveListener serves ln in the background until shutdown. A nil handler means that callers connect there.
func (g *gate) serveListener(ln net.Listener, name string, h http.Handler) {
	serve := g.callerServer.Serve
	if h != nil {
		bound := newConnBound(listenerConns(g.settings), name, g.log, &g.listenerConnsClosed)
		server := &http.Server{
			Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxListenerHeaderBytes,
			ConnState: bound.connStateChanged,
		}
		g.httpServers = append(g.httpServers, server)
		serve = server.Serve
	}
	g.wg.Go(func() { _ = serve(ln) }) // the error is always ErrServerClosed
}

// Ready implements platform.AddressSource. The host is ready once it may serve callers, until it shuts down.
func (g *gate) Ready() bool { return g.mayServe() && !g.stop.Begun() }

// mayServe reports whether the host knows a configuration and the list of upstreams, and what other hosts know beyond them. A
// host that serves before it has heard from the others takes itself for the owner of every service, and uses upstreams of
// which the others know that they are leaving.
func (g *gate) mayServe() bool {
	completeAt := time.Duration(g.completeAt.Load())
	return completeAt > 0 && (g.node.Joined() || time.Since(g.start) > completeAt+joinTimeout)
}

// readyForTasks reports whether the host is ready and has heard the others, so that it may do tasks for all hosts.
func (g *gate) readyForTasks() bool { return g.Ready() && g.node.Phase() != mesh.Joining }

// announceReady tells the other hosts that this one is ready as soon as it is, so that they agree on the owners of services.
func (g *gate) announceReady() {
	for !g.readyForTasks() {
		if g.stop.Begun() {
			return
		}
		time.Sleep(readyCheckInterval)
	}
	g.node.SendHeartbeat()
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
