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
	// bufferedShare of the memory limit may hold request bodies, once for callers and once for other hosts.
	bufferedShare = 8
	// connectionsPerSlot leaves room for connections that a cancelled attempt still occupies.
	connectionsPerSlot = 2
	// shutdownTime is given to answers in progress after the reducer has nothing left to serve.
	shutdownTime = 2 * time.Second
)

// daemon is every part of the process.
type daemon struct {
	logger    *slog.Logger
	log       *applog.Client
	hostList  *roster.Client
	upstreams *proxy.Client
	links     *peer.Links
	runner    *runner.Runner
	front     *front.Server
	admin     *admin.Server
}

// newDaemon starts every part.
func newDaemon(s config.Daemon, logOutput io.Writer) (*daemon, error) {
	applyRuntime(s.Runtime)
	level := new(slog.LevelVar)
	logger := newLogger(s, logOutput, level)
	// Libraries log through the standard logger.
	slog.SetDefault(logger)
	metrics := metric.New()
	clock := runner.NewClock()
	incarnation := runner.NewIncarnation()
	d := &daemon{logger: logger}
	var err error
	d.links, err = peer.New(peer.Config{
		Host:          s.Host.ID,
		Incarnation:   incarnation,
		Address:       s.Listen.Peers,
		Addresses:     s.PeerAddresses,
		CAFile:        s.TLS.CA,
		IdentityFile:  s.TLS.Identity,
		HeaderBytes:   s.Limits.HeaderBytes,
		BodyBytes:     s.Limits.BodyBytes,
		BufferedBytes: s.Runtime.MemoryLimitBytes / bufferedShare,
	}, peer.Deps{Metrics: metrics, Logger: logger})
	if err != nil {
		return nil, err
	}
	d.log = applog.New(s.Platform.Log.String())
	d.hostList = roster.New(s.Platform.HostList.String())
	d.upstreams = proxy.New(proxy.Config{
		LocalIP:      s.Listen.Callers.Addr(),
		MaxConns:     maxConns(s.Services),
		CaptureBytes: s.Limits.StoredAnswerBytes,
		Now:          clock.Now,
	})
	d.runner = runner.New(runner.Deps{
		Reducer:   core.New(coreSettings(s, incarnation)),
		Clock:     clock,
		Log:       d.log,
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

// listen starts the listeners.
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
		BufferedBytes:        s.Runtime.MemoryLimitBytes / bufferedShare,
		ConnectionsPerCaller: s.Limits.ConnectionsPerCaller,
	}, front.Deps{Backend: d.runner, Metrics: metrics, Logger: d.logger})
	return err
}

// serve runs until a signal and the graceful shutdown after it; a second signal ends the shutdown early.
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
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if err := d.front.Shutdown(ctx); err != nil {
		d.logger.Warn("requests interrupted", "error", err)
	}
	d.close()
	d.logger.Info("stopped")
}

// close ends every part that was started.
func (d *daemon) close() {
	d.runner.Close()
	if d.front != nil {
		d.front.Close()
	}
	if d.admin != nil {
		d.admin.Close()
	}
	d.links.Close()
	d.log.Close()
	d.hostList.Close()
	d.upstreams.Close()
}

func newLogger(s config.Daemon, w io.Writer, level *slog.LevelVar) *slog.Logger {
	// The settings hold only names of levels.
	_ = level.UnmarshalText([]byte(s.Logging.Level))
	opts := &slog.HandlerOptions{Level: level}
	if s.Logging.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

func applyRuntime(r config.Runtime) {
	if r.Processors > 0 {
		runtime.GOMAXPROCS(r.Processors)
	}
	debug.SetGCPercent(r.GCPercent)
	debug.SetMemoryLimit(r.MemoryLimitBytes)
}

// maxConns bounds the connections to one upstream. Leases keep the requests in flight below it.
func maxConns(services map[ident.ServiceName]config.Service) int {
	n := 1
	for _, s := range services {
		n = max(n, connectionsPerSlot*s.Slots)
	}
	return n
}

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

// exitCode tells mistakes in the settings from other failures.
func exitCode(err error) int {
	var id *peer.IdentityError
	if errors.As(err, &id) {
		return prog.ExitUsage
	}
	return prog.ExitFailed
}
