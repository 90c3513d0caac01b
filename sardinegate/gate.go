package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sardinecross.example/lib/allow"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/platform"
	"sardinecross.example/sardinegate/broker"
	"sardinecross.example/sardinegate/front"
	"sardinecross.example/sardinegate/grace"
	"sardinecross.example/sardinegate/logger"
	"sardinecross.example/sardinegate/mesh"
	"sardinecross.example/sardinegate/pool"
	"sardinecross.example/sardinegate/quota"
	"sardinecross.example/sardinegate/watch"
)

const (
	// maxProbesPerSecond is the highest rate of probes to one upstream. The platform's settings may lower it.
	maxProbesPerSecond = 14.0
	// crossDataCentreCost and bulkCrossDataCentreCost are added to the expected response time of an upstream in another
	// data centre, as shares of the average response time of the service; see grant.Settings.
	crossDataCentreCost     = 0.5
	bulkCrossDataCentreCost = 4.0
	// messagesPerCore and messagesPerMbps are the messages and probes a second that a host handles for all hosts with a
	// quarter of a core, and with a quarter of a link of 1 Mbit/s at 500 bytes each.
	messagesPerCore = 3000.0
	messagesPerMbps = 62.5
	// minConnections is the lower bound of this host's connection limit per upstream.
	minConnections = 4
)

// gate is an entry host with its listeners and background tasks.
type gate struct {
	settings     platform.Settings
	settingsPath string
	log          *slog.Logger
	processLog   *slog.Logger // for the start and the stop; see logger.NewProcessLogger
	logWriter    *logger.Writer
	store        *platform.Store
	node         *mesh.Node
	watcher      *watch.Watcher
	pool         *pool.Pool
	broker       *broker.Broker
	quota        *quota.Quota
	stop         *grace.Stop
	callerServer *front.Server
	httpServers  []*http.Server
	// listenerConnsClosed counts the connections to listeners other than that for callers that a limit closed.
	listenerConnsClosed atomic.Int64
	wg                  sync.WaitGroup
	settingsModTime     time.Time // modification time of the settings file when it was last read
	start               time.Time
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
	g := &gate{settings: s, settingsPath: path, logWriter: logger.NewWriter(out), store: platform.NewStore(s.StoreAddress), pool: pool.New(),
		stop: grace.New(), start: time.Now()}
	g.log = logger.NewLogger(g.logWriter, level)
	g.processLog = logger.NewProcessLogger(g.logWriter, level)
	if info, err := os.Stat(path); err == nil {
		g.settingsModTime = info.ModTime()
	}
	boot := time.Now().UnixNano()
	g.processLog.Info("start", "host", s.Host, "dataCentre", s.DataCentre, "boot", boot)
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
		Host: s.Host, DataCentre: s.DataCentre, Node: g.node, Pool: g.pool, Codec: platform.HeaderCodec{}, Log: g.log,
		View: g.watcher.View, Leaving: g.stop.Begun,
		ProbeInterval:   time.Duration(float64(time.Second) / min(maxProbesPerSecond, s.MaxProbesPerSecond)),
		ProbesPerSecond: float64(capacity(s)), ProbeByDataCentre: s.HasContract(platform.ContractPool),
		Statuses: g.store, CanaryShare: s.CanaryShare,
	}, grant.Settings{
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		Hosts: 1, CrossDataCentreCost: crossDataCentreCost, BulkCrossDataCentreCost: bulkCrossDataCentreCost,
		PreferIdleConnections: s.HasContract(platform.ContractPool),
	})
	g.quota = quota.New(quota.Deps{
		Host: s.Host, Node: g.node, Log: g.log, Organisations: g.organisations, Leaving: g.stop.Begun,
	}, allow.Settings{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack})
	g.node.OnAlive(func(host string) {
		g.broker.HostAlive(host)
		g.quota.HostAlive(host)
	})
	g.node.Start(g.heartbeat, func(m *mesh.Message) {
		g.watcher.Handle(m)
		g.broker.Handle(m)
		g.quota.Handle(m)
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
	g.wg.Go(g.announceReady)
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

// organisations returns the organisations of the configuration in force, nil if it has none.
func (g *gate) organisations() *orgs.Table {
	if t := g.watcher.View().Routes; t != nil {
		return t.Organisations
	}
	return nil
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
	hb := mesh.Heartbeat{
		Leaving:       g.stop.Begun(),
		Ready:         g.readyForTasks(),
		ColdUpstreams: g.broker.Cold(),
	}
	return hb.WithProgress(g.watcher.Progress()).WithMemory(g.watcher.Remembers())
}
