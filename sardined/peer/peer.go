// Package peer maintains the links to other hosts: one QUIC connection for each pair of hosts, which carries messages
// between their reducers and relayed requests. Of each pair, the host with the lower ID dials.
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
	// queueSize is the number of messages queued for one host, about those of one second. Older messages are of no use
	// to the receiver.
	queueSize = 128
	// idleTimeout ends a link to a host that is frozen or down. It exceeds the scheduling pauses of a busy machine.
	idleTimeout = 2 * time.Second
	// keepAlivePeriod is the time after which a packet is sent on a link without traffic, so that idleTimeout does not end
	// the link to a host that responds.
	keepAlivePeriod = 500 * time.Millisecond
	// handshakeTimeout bounds the silence of the other host during a handshake.
	handshakeTimeout = time.Second
	// backoffMin and backoffMax bound the wait between two attempts to dial a host.
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
	// maxRelays bounds the requests in progress that one other host relays to this one.
	maxRelays = 256
)

// Handler processes the messages and relayed requests of other hosts; runner.Runner implements it.
type Handler interface {
	// PeerMessage processes a message of the given incarnation of another host. It must not block.
	PeerMessage(from ident.HostID, incarnation ident.Incarnation, m core.Message)
	// Serve runs a relayed request and writes its answer to sink. ctx ends when the other host gives up the request.
	Serve(ctx context.Context, req *runner.Request, sink runner.Sink) error
}

var _ Handler = (*runner.Runner)(nil)

// Config holds the settings of the links.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Address is the address of the listener, and the source address of dialled links.
	Address netip.AddrPort
	// AddressOverrides replaces the addresses in the host list at which other hosts are dialled.
	AddressOverrides map[ident.HostID]netip.AddrPort
	// CAFile and IdentityFile are PEM files: the site's CA, and this host's certificate with its private key.
	CAFile, IdentityFile string
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a relayed request.
	MaxHeaderBytes, MaxBodyBytes int
	// MaxBufferedBytes bounds the bodies of all relayed requests in progress.
	MaxBufferedBytes int64
}

// Deps holds the services that the links use.
type Deps struct {
	Metrics *metric.Set
	Logger  *slog.Logger
}

// Links manages the connections to all other hosts.
type Links struct {
	cfg       Config
	deps      Deps
	identity  *identity
	conn      *net.UDPConn
	transport *quic.Transport
	ctx       context.Context
	cancel    context.CancelFunc
	// bufferedBytes is the total size of the bodies of relayed requests in progress.
	bufferedBytes atomic.Int64
	tasks         sync.WaitGroup

	mu sync.Mutex
	// handler is nil until Start.
	handler Handler
	closed  bool
	peers   map[ident.HostID]*peer
}

var _ runner.Links = (*Links)(nil)

// New loads the identity and binds the listener's socket. Links open once Start is called.
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
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxRelays,
		MaxIncomingUniStreams: 1,
	}
}

// Start begins to accept links and to dial the hosts set so far.
func (l *Links) Start(handler Handler) error {
	listener, err := l.transport.Listen(l.identity.serverConfig(), quicConfig())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.handler = handler
	for _, p := range l.peers {
		l.startDiallerLocked(p)
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

// accept serves a link that another host dialled. It refuses hosts whose ID is not lower than this one's, which must not
// dial this host.
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
	p := l.ensurePeerLocked(host)
	l.mu.Unlock()
	l.serveLink(p, conn)
}

// ensurePeerLocked returns the peer of a host and adds it if needed. l.mu must be held.
func (l *Links) ensurePeerLocked(host ident.HostID) *peer {
	p := l.peers[host]
	if p == nil {
		p = newPeer(host)
		l.peers[host] = p
	}
	return p
}

// addressFor returns the address at which to dial a host: that of the settings, or else that of the host list.
func (l *Links) addressFor(e core.PeerAddress) (netip.AddrPort, error) {
	if a, ok := l.cfg.AddressOverrides[e.ID]; ok {
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
		address, err := l.addressFor(e)
		if err != nil {
			continue
		}
		listed[e.ID] = struct{}{}
		p := l.ensurePeerLocked(e.ID)
		p.setAddress(address)
		l.startDiallerLocked(p)
	}
	for host, p := range l.peers {
		if _, ok := listed[host]; !ok && p.closeUnlisted() {
			delete(l.peers, host)
		}
	}
}

// startDiallerLocked starts the goroutine that dials a peer, and dials it again whenever the link is lost. It does
// nothing if the other host is the one that dials, if the goroutine was started already, if the host list has never
// contained the host, or before Start and after Close. l.mu must be held.
func (l *Links) startDiallerLocked(p *peer) {
	if l.handler == nil || l.closed || p.dialling || p.host < l.cfg.Host || !p.hasAddress() {
		return
	}
	p.dialling = true
	l.tasks.Go(func() {
		backoff := backoffMin
		for l.ctx.Err() == nil {
			address, ok := p.dialAddress()
			if !ok {
				return
			}
			conn, err := l.dial(p.host, address)
			if err == nil {
				started := time.Now()
				l.serveLink(p, conn)
				if time.Since(started) > backoffMax {
					backoff = backoffMin
				}
			}
			l.waitBackoff(backoff, p)
			backoff = min(2*backoff, backoffMax)
		}
	})
}

// waitBackoff waits for d, or until the peer or all links are closed.
func (l *Links) waitBackoff(d time.Duration, p *peer) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.stop:
	case <-l.ctx.Done():
	}
}

func (l *Links) dial(host ident.HostID, address netip.AddrPort) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, 2*handshakeTimeout)
	defer cancel()
	return l.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), l.identity.clientConfig(host), quicConfig())
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
	l.deps.Metrics.PeerMessagesDropped.Inc(int64(p.enqueue(m)))
}

// Close closes every link and the listener, and waits until their goroutines have ended.
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
