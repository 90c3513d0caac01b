package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/config"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/roster"
	"sardinecross.example/sardined/admin"
	"sardinecross.example/sardined/front"
	"sardinecross.example/sardined/metric"
	"sardinecross.example/sardined/peer"
	"sardinecross.example/sardined/proxy"
	"sardinecross.example/sardined/runner"
)

const (
	// bufferedBytesDivisor bounds the request bodies in memory to 1/8 of the memory limit for the requests of callers, and
	// to another 1/8 for those that other hosts relay.
	bufferedBytesDivisor = 8
	// connectionsPerSlot is the maximum number of connections to an upstream for each of its slots. It exceeds 1 to leave
	// room for connections that cancelled attempts still occupy.
	connectionsPerSlot = 2
	// shutdownTimeout bounds the time for writing the answers that are still in progress when the reducer has no request
	// left to serve.
	shutdownTimeout = 2 * time.Second
)

// daemon holds the components of the process.
type daemon struct {
	logger      *slog.Logger
	platformLog *applog.Client
	hostList    *roster.Client
	upstreams   *proxy.Client
	links       *peer.Links
	runner      *runner.Runner
	front       *front.Server
	admin       *admin.Server
}

// newDaemon starts all components.
func newDaemon(s config.Daemon, logOutput io.Writer) (*daemon, error) {
	applyRuntimeSettings(s.Runtime)
	level := new(slog.LevelVar)
	logger := newLogger(s, logOutput, level)
	// Libraries use the default logger of slog.
	slog.SetDefault(logger)
	metrics := metric.New()
	clock := runner.NewClock()
	incarnation := runner.NewIncarnation()
	d := &daemon{logger: logger}
	var err error
	d.links, err = peer.New(peer.Config{
		Host:             s.Host.ID,
		Incarnation:      incarnation,
		Address:          s.Listen.Peers,
		AddressOverrides: s.PeerAddresses,
		CAFile:           s.TLS.CA,
		IdentityFile:     s.TLS.Identity,
		MaxHeaderBytes:   s.Limits.HeaderBytes,
		MaxBodyBytes:     s.Limits.BodyBytes,
		MaxBufferedBytes: s.Runtime.MemoryLimitBytes / bufferedBytesDivisor,
	}, peer.Deps{Metrics: metrics, Logger: logger})
	if err != nil {
		return nil, err
	}
	d.platformLog = applog.New(s.Platform.Log.String())
	d.hostList = roster.New(s.Platform.HostList.String())
	d.upstreams = proxy.New(proxy.Config{
		LocalIP:      s.Listen.Callers.Addr(),
		MaxConns:     maxConnsPerUpstream(s.Services),
		CaptureBytes: s.Limits.StoredAnswerBytes,
		Now:          clock.Now,
	})
	d.runner = runner.New(runner.Deps{
		Reducer:   core.New(coreSettings(s, incarnation)),
		Clock:     clock,
		Log:       d.platformLog,
		HostList:  d.hostList,
		Links:     d.links,
		Upstreams: d.upstreams,
		Metrics:   metrics,
		Logger:    logger,
	})
	if err := d.listen(s, metrics, level); err != nil {
		d.close()
		return nil, err
	}
	logger.Info("started", "host", s.Host.ID, "incarnation", incarnation.String(), "callers", s.Listen.Callers.String())
	return d, nil
}

// listen starts the listeners for operators, for other hosts and for callers, in this order.
func (d *daemon) listen(s config.Daemon, metrics *metric.Set, level *slog.LevelVar) error {
	var err error
	if d.admin, err = admin.New(
		admin.Config{Address: s.Listen.Admin},
		admin.Deps{StatusSource: d.runner, Metrics: metrics, Logger: d.logger, LogLevel: level},
	); err != nil {
		return err
	}
	if err := d.links.Start(d.runner); err != nil {
		return err
	}
	d.front, err = front.New(front.Config{
		Address:              s.Listen.Callers,
		HeaderBytes:          s.Limits.HeaderBytes,
		BodyBytes:            s.Limits.BodyBytes,
		BufferedBytes:        s.Runtime.MemoryLimitBytes / bufferedBytesDivisor,
		ConnectionsPerCaller: s.Limits.ConnectionsPerCaller,
	}, front.Deps{Backend: d.runner, Metrics: metrics, Logger: d.logger})
	return err
}

// serve waits for a signal and then shuts down gracefully. A second signal ends the graceful shutdown early.
func (d *daemon) serve(stop <-chan os.Signal) {
	sig := <-stop
	d.logger.Info("stopping", "signal", sig.String())
	d.front.Leave()
	d.runner.Step(core.StopRequested{})
	select {
	case <-d.runner.Stopped():
	case sig = <-stop:
		d.logger.Warn("graceful shutdown ended early", "signal", sig.String())
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := d.front.Shutdown(ctx); err != nil {
		d.logger.Warn("requests interrupted", "error", err)
	}
	d.close()
	d.logger.Info("stopped")
}

// close closes the components that were started.
func (d *daemon) close() {
	d.runner.Close()
	if d.front != nil {
		d.front.Close()
	}
	if d.admin != nil {
		d.admin.Close()
	}
	d.links.Close()
	d.platformLog.Close()
	d.hostList.Close()
	d.upstreams.Close()
}

// newLogger returns a logger whose level can be changed later through level.
func newLogger(s config.Daemon, w io.Writer, level *slog.LevelVar) *slog.Logger {
	// The error is ignored: config accepts only valid names of levels.
	_ = level.UnmarshalText([]byte(s.Logging.Level))
	opts := &slog.HandlerOptions{Level: level}
	if s.Logging.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// applyRuntimeSettings sets the limits of the Go runtime.
func applyRuntimeSettings(r config.Runtime) {
	if r.Processors > 0 {
		runtime.GOMAXPROCS(r.Processors)
	}
	debug.SetGCPercent(r.GCPercent)
	debug.SetMemoryLimit(r.MemoryLimitBytes)
}

// maxConnsPerUpstream returns the maximum number of connections to one upstream. Leases keep the number of requests in
// flight below it.
func maxConnsPerUpstream(services map[ident.ServiceName]config.Service) int {
	n := 1
	for _, s := range services {
		n = max(n, connectionsPerSlot*s.Slots)
	}
	return n
}

// coreSettings returns the reducer's part of the settings.
func coreSettings(s config.Daemon, incarnation ident.Incarnation) core.Settings {
	services := make(map[ident.ServiceName]core.Service, len(s.Services))
	for name, v := range s.Services {
		services[name] = core.Service{
			Slots:          v.Slots,
			ColdSlots:      v.ColdSlots,
			ProbeCost:      v.ProbeCost,
			ConnectionCost: v.ConnectionCost,
			MeasuringShare: v.MeasuringShare,
		}
	}
	return core.Settings{
		Host:        s.Host.ID,
		Incarnation: incarnation,
		DataCentre:  s.Host.DataCentre,
		Address:     s.Listen.Callers.String(),
		DataCentres: s.DataCentres,
		Services:    services,
		Timing: core.Timing{
			Heartbeat:         s.Timing.Heartbeat,
			Lease:             s.Timing.Lease,
			Pledge:            s.Timing.Pledge,
			AddressLifetime:   s.Timing.AddressLifetime,
			RequestIDLifetime: s.Timing.RequestIDLifetime,
			Retention:         s.Platform.Retention,
		},
		Limits: core.Limits{
			RequestIDs:        s.Limits.RequestIDs,
			StoredAnswerBytes: s.Limits.StoredAnswerBytes,
		},
	}
}

// exitCode returns the exit code for an error of newDaemon. An unusable identity counts as a mistake in the settings.
func exitCode(err error) int {
	var id *peer.IdentityError
	if errors.As(err, &id) {
		return prog.ExitUsage
	}
	return prog.ExitFailed
}
