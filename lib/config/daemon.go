package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"sardinecross.example/lib/common/ident"
)

// Daemon holds the settings of sardined.
type Daemon struct {
	Host     Host     `config:"host,required"`
	Listen   Listen   `config:"listen,required"`
	Platform Platform `config:"platform,required"`
	TLS      TLS      `config:"tls,required"`
	// PeerAddresses overrides the addresses that the host list gives for other hosts, for hosts behind network address
	// translation (NAT).
	PeerAddresses map[ident.HostID]netip.AddrPort `config:"peerAddresses" range:"0..1024"`
	// DataCentres are all data centres of the site. The host prefers its own, then the others in this order.
	DataCentres []ident.DataCentre            `config:"dataCentres,required" range:"1..64" unique:"."`
	Services    map[ident.ServiceName]Service `config:"services,required" range:"1..256"`
	Logging     Logging                       `config:"logging"`
	Limits      Limits                        `config:"limits"`
	Timing      Timing                        `config:"timing"`
	Runtime     Runtime                       `config:"runtime"`
}

// Host identifies the host on which the daemon runs.
type Host struct {
	ID         ident.HostID     `config:"id,required"`
	Site       string           `config:"site,required"`
	DataCentre ident.DataCentre `config:"dataCentre,required"`
}

// Listen holds the addresses of the daemon's listeners.
type Listen struct {
	Callers netip.AddrPort `config:"callers,required"`
	Peers   netip.AddrPort `config:"peers,required"`
	Admin   netip.AddrPort `config:"admin,required"`
}

// Platform describes the platform's services that the programs use: the log and the host list.
type Platform struct {
	Log      netip.AddrPort `config:"log,required"`
	HostList netip.AddrPort `config:"hostList,required"`
	// Retention is the minimum time for which the log keeps a record. Hosts remember idempotency keys for half of it.
	Retention time.Duration `config:"retention" range:"4s..8760h"`
}

// TLS names the files with the certificates for the links between hosts.
type TLS struct {
	// CA is the file with the certificate of the certificate authority.
	CA string `config:"ca,required"`
	// Identity is the file with the host's certificate and private key.
	Identity string `config:"identity,required"`
}

// Service describes the upstreams of one service.
type Service struct {
	// Slots is the maximum number of requests that an upstream can serve at once.
	Slots int `config:"slots,required" range:"1..1024"`
	// ColdSlots is the same limit during a cold start. It must not exceed Slots.
	ColdSlots   int `config:"coldSlots" range:"1..1024"`
	Connections int `config:"connections" range:"1..65536"`
	// ProbeCost and ConnectionCost are the time that a probe and a new connection take from an upstream.
	ProbeCost      time.Duration `config:"probeCost" range:"0s..10s"`
	ConnectionCost time.Duration `config:"connectionCost" range:"0s..10s"`
	// MeasuringShare is the fraction of an upstream's time that probes and new connections may take.
	MeasuringShare float64 `config:"measuringShare" range:"0.0001..0.5"`
}

// Logging configures the daemon's own log output.
type Logging struct {
	Level  string `config:"level" oneof:"debug info warn error"`
	Format string `config:"format" oneof:"text json"`
}

// Limits bounds the resources that callers may use.
type Limits struct {
	HeaderBytes int `config:"headerBytes" range:"1024..1048576"`
	BodyBytes   int `config:"bodyBytes" range:"1024..1073741824"`
	// ConnectionsPerCaller is the maximum number of connections from one IP address.
	ConnectionsPerCaller int `config:"connectionsPerCaller" range:"1..65536"`
	// StoredAnswerBytes is the size of the largest answer that is stored for a repeated request.
	StoredAnswerBytes int `config:"storedAnswerBytes" range:"0..16777216"`
	// RequestIDs is the maximum number of issued request IDs that are remembered at once.
	RequestIDs int `config:"requestIds" range:"1..10000000"`
}

// Timing holds the intervals and lifetimes of the protocols. Lease and Pledge must be longer than Heartbeat.
type Timing struct {
	// Heartbeat is the interval between two heartbeats of a host.
	Heartbeat time.Duration `config:"heartbeat" range:"10ms..10s"`
	// Lease and Pledge are the validity of a lease and of a pledge.
	Lease  time.Duration `config:"lease" range:"50ms..60s"`
	Pledge time.Duration `config:"pledge" range:"50ms..60s"`
	// AddressLifetime is the time for which a caller may keep the addresses of the hosts.
	AddressLifetime time.Duration `config:"addressLifetime" range:"100ms..60s"`
	// RequestIDLifetime is the validity of an issued request ID.
	RequestIDLifetime time.Duration `config:"requestIdLifetime" range:"1s..1h"`
}

// Runtime configures the Go runtime, as GOGC, GOMEMLIMIT and GOMAXPROCS do.
type Runtime struct {
	GCPercent        int   `config:"gcPercent" range:"10..10000"`
	MemoryLimitBytes int64 `config:"memoryLimitBytes" range:"16777216.."`
	Processors       int   `config:"processors" range:"1..1024"`
}

// SetDefaults implements Defaulter.
func (s *Service) SetDefaults() {
	*s = Service{ColdSlots: 1, Connections: 256, ProbeCost: 6 * time.Millisecond, ConnectionCost: time.Millisecond, MeasuringShare: 0.01}
}

// SetDefaults implements Defaulter.
func (p *Platform) SetDefaults() { p.Retention = 10 * time.Minute }

// SetDefaults implements Defaulter.
func (l *Logging) SetDefaults() { *l = Logging{Level: "info", Format: "text"} }

// SetDefaults implements Defaulter.
func (l *Limits) SetDefaults() {
	*l = Limits{
		HeaderBytes:          16 << 10,
		BodyBytes:            1 << 20,
		ConnectionsPerCaller: 256,
		StoredAnswerBytes:    64 << 10,
		RequestIDs:           100_000,
	}
}

// SetDefaults implements Defaulter.
func (t *Timing) SetDefaults() {
	*t = Timing{
		Heartbeat:         100 * time.Millisecond,
		Lease:             500 * time.Millisecond,
		Pledge:            time.Second,
		AddressLifetime:   2 * time.Second,
		RequestIDLifetime: time.Minute,
	}
}

// SetDefaults implements Defaulter.
func (r *Runtime) SetDefaults() {
	*r = Runtime{GCPercent: 800, MemoryLimitBytes: 512 << 20, Processors: 2}
}

// Check implements Checker.
func (d *Daemon) Check(report func(key, problem string)) {
	if !slices.Contains(d.DataCentres, d.Host.DataCentre) {
		report("host.dataCentre", fmt.Sprintf("%q is not among dataCentres", d.Host.DataCentre))
	}
}

// Check implements Checker.
func (l *Listen) Check(report func(key, problem string)) {
	if l.Callers == l.Admin {
		report("admin", "is the same address as callers")
	}
}

// Check implements Checker.
func (s *Service) Check(report func(key, problem string)) {
	if s.ColdSlots > s.Slots {
		report("coldSlots", "is above slots")
	}
}

// Check implements Checker.
func (t *Timing) Check(report func(key, problem string)) {
	// A lease or pledge that is not longer than the heartbeat interval would expire before the next heartbeat renews it.
	if t.Lease <= t.Heartbeat {
		report("lease", "is not above heartbeat")
	}
	if t.Pledge <= t.Heartbeat {
		report("pledge", "is not above heartbeat")
	}
}

var (
	_ Defaulter = (*Platform)(nil)
	_ Defaulter = (*Service)(nil)
	_ Defaulter = (*Logging)(nil)
	_ Defaulter = (*Limits)(nil)
	_ Defaulter = (*Timing)(nil)
	_ Defaulter = (*Runtime)(nil)
	_ Checker   = (*Daemon)(nil)
	_ Checker   = (*Listen)(nil)
	_ Checker   = (*Service)(nil)
	_ Checker   = (*Timing)(nil)
)

// LoadDaemon reads the settings of sardined from a file. Its errors are those of Load.
func LoadDaemon(file string) (Daemon, error) {
	var d Daemon
	err := Load(file, &d)
	return d, err
}
