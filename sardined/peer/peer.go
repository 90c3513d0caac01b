// Package peer keeps the links to other hosts.
package peer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/metric"
	"sardinecross.example/sardined/runner"
)

const (
	// queueSize is about a second of messages to one host; older ones are of no use to it.
	queueSize = 128
	// idleTimeout ends a link to a host that is frozen or gone. It is above the pauses of a busy machine.
	idleTimeout     = 2 * time.Second
	keepAlivePeriod = 500 * time.Millisecond
	handshakeTime   = time.Second
	// backoffMin and backoffMax bound the wait between dials of one host.
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
	// maxRelays bounds the relayed requests of one host in progress.
	maxRelays = 256
)

// Handler takes what other hosts send; runner.Runner is one.
type Handler interface {
	// PeerMessage must not block.
	PeerMessage(from ident.HostID, incarnation ident.Incarnation, m core.Message)
	Serve(ctx context.Context, req *runner.Request, sink runner.Sink) error
}

var _ Handler = (*runner.Runner)(nil)

// Config holds the settings of the links.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Address is the listener's, and the source of the links dialled.
	Address netip.AddrPort
	// Addresses replaces what the host list says about where to dial other hosts.
	Addresses map[ident.HostID]netip.AddrPort
	// CAFile and IdentityFile are PEM files; the identity holds a certificate and its key.
	CAFile, IdentityFile string
	// HeaderBytes and BodyBytes bound a relayed request.
	HeaderBytes, BodyBytes int
	// BufferedBytes bounds the bodies of all relayed requests in progress.
	BufferedBytes int64
}

// Deps is what the links need.
type Deps struct {
	Metrics *metric.Set
	Logger  *slog.Logger
}

// Links are the connections to other hosts.
type Links struct {
	cfg       Config
	deps      Deps
	identity  *identity
	conn      *net.UDPConn
	transport *quic.Transport
	ctx       context.Context
	cancel    context.CancelFunc
	buffered  atomic.Int64
	tasks     sync.WaitGroup

	mu sync.Mutex
	// handler is nil until Start.
	handler Handler
	closed  bool
	peers   map[ident.HostID]*peer
}

var _ runner.Links = (*Links)(nil)

// New binds the listener; Start must follow.
func New(cfg Config, deps Deps) (*Links, error) {
	id, err := loadIdentity(cfg.Host, cfg.CAFile, cfg.IdentityFile, deps.Logger)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		cfg:       cfg,
		deps:      deps,
		identity:  id,
		conn:      conn,
		transport: &quic.Transport{Conn: conn},
		ctx:       ctx,
		cancel:    cancel,
		peers:     make(map[ident.HostID]*peer),
	}, nil
}

// Address returns the listener's address.
func (l *Links) Address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTime,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxRelays,
		MaxIncomingUniStreams: 1,
	}
}

// Start accepts and dials links.
func (l *Links) Start(handler Handler) error {
	listener, err := l.transport.Listen(l.identity.server(), quicConfig())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.handler = handler
	for _, p := range l.peers {
		l.dialLocked(p)
	}
	l.mu.Unlock()
	l.tasks.Go(func() {
		for {
			conn, err := listener.Accept(l.ctx)
			if err != nil {
				_ = listener.Close()
				return
			}
			l.tasks.Go(func() { l.accept(conn) })
		}
	})
	return nil
}

// accept serves a link that another host dialled.
func (l *Links) accept(conn *quic.Conn) {
	host, err := hostOf(conn.ConnectionState().TLS)
	if err != nil || host >= l.cfg.Host {
		l.deps.Logger.Warn("link refused", "peer", conn.RemoteAddr().String(), "host", host, "error", err)
		_ = conn.CloseWithError(codeRefused, "wrong name")
		return
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		_ = conn.CloseWithError(codeClosed, "closed")
		return
	}
	p := l.peerLocked(host)
	l.mu.Unlock()
	l.run(p, conn)
}

func (l *Links) peerLocked(host ident.HostID) *peer {
	p := l.peers[host]
	if p == nil {
		p = newPeer(host)
		l.peers[host] = p
	}
	return p
}

// address returns where to dial a host: what the settings say, or else the host list.
func (l *Links) address(e core.PeerAddress) (netip.AddrPort, error) {
	if a, ok := l.cfg.Addresses[e.ID]; ok {
		return a, nil
	}
	return netip.ParseAddrPort(e.Address)
}

// SetPeers implements runner.Links.
func (l *Links) SetPeers(list []core.PeerAddress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	listed := make(map[ident.HostID]struct{}, len(list))
	for _, e := range list {
		if e.ID == l.cfg.Host {
			continue
		}
		address, err := l.address(e)
		if err != nil {
			continue
		}
		listed[e.ID] = struct{}{}
		p := l.peerLocked(e.ID)
		p.setAddress(address)
		l.dialLocked(p)
	}
	for host, p := range l.peers {
		if _, ok := listed[host]; !ok && p.drop() {
			delete(l.peers, host)
		}
	}
}

// dialLocked starts the goroutine that keeps a link if this host is the one that dials.
func (l *Links) dialLocked(p *peer) {
	if l.handler == nil || l.closed || p.dialling || p.host < l.cfg.Host || !p.listed() {
		return
	}
	p.dialling = true
	l.tasks.Go(func() {
		backoff := backoffMin
		for l.ctx.Err() == nil {
			address, ok := p.target()
			if !ok {
				return
			}
			conn, err := l.dial(p.host, address)
			if err == nil {
				started := time.Now()
				l.run(p, conn)
				if time.Since(started) > backoffMax {
					backoff = backoffMin
				}
			}
			l.pause(backoff, p)
			backoff = min(2*backoff, backoffMax)
		}
	})
}

func (l *Links) pause(d time.Duration, p *peer) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.gone:
	case <-l.ctx.Done():
	}
}

func (l *Links) dial(host ident.HostID, address netip.AddrPort) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, 2*handshakeTime)
	defer cancel()
	return l.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), l.identity.client(host), quicConfig())
}

// Send implements runner.Links.
func (l *Links) Send(to ident.HostID, m core.Message) {
	l.mu.Lock()
	p := l.peers[to]
	l.mu.Unlock()
	if p == nil {
		l.deps.Metrics.PeerMessagesDropped.Inc(1)
		return
	}
	l.deps.Metrics.PeerMessagesDropped.Inc(int64(p.push(m)))
}

// Close ends every link and waits for it.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	for _, p := range l.peers {
		p.close()
	}
	l.mu.Unlock()
	l.cancel()
	l.tasks.Wait()
	_ = l.transport.Close()
	_ = l.conn.Close()
}
