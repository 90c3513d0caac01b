// Package caller sends requests as a client program of a site does: it asks the hosts for addresses, keeps them for
// the time they state, and repeats what is safe to repeat.
package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// addressTimeout bounds the question for addresses or an ID, so that a frozen host costs little of a request's time.
	addressTimeout = 300 * time.Millisecond
	// avoidTime is how long a client prefers other addresses after a connection to one failed.
	avoidTime = time.Second
	// maxIdle is below a host's default limit of connections per caller (256).
	maxIdle = 200
)

// Options are those of all clients of a load.
type Options struct {
	Entries []netip.AddrPort
	// Local is the address that the client's connections come from; invalid means any.
	Local netip.Addr
	// AllowOther permits addresses outside loopback.
	AllowOther bool
	// Direct sends to the upstreams of the class without hosts.
	Direct bool
}

// Client is one client program; it is safe for concurrent use.
type Client struct {
	opt       Options
	index     int
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelFunc
	refreshes sync.WaitGroup

	mu    sync.Mutex
	lists map[string]*list
	// avoid holds the addresses of failed connections and until when to prefer others.
	avoid map[string]time.Time
	// inFlight counts requests to each upstream in direct mode.
	inFlight map[string]int
}

// list is the addresses for one class.
type list struct {
	// fetch is held while the addresses are asked for.
	fetch sync.Mutex
	// addresses and the times belong to Client.mu.
	addresses      []string
	early, expires time.Time
	refreshing     bool
}

// New returns the client of an index; the index decides which entry it asks first.
func New(opt Options, index int) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opt:      opt,
		index:    index,
		ctx:      ctx,
		cancel:   cancel,
		lists:    make(map[string]*list),
		avoid:    make(map[string]time.Time),
		inFlight: make(map[string]int),
	}
	c.transport = NewTransport(opt)
	return c
}

// NewTransport returns a transport that dials only what the options allow.
func NewTransport(opt Options) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	if opt.Local.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: opt.Local.AsSlice()}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if !opt.AllowOther && !isLoopback(address) {
			return nil, &LoopbackError{Address: address}
		}
		return d.DialContext(ctx, network, address)
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Close ends the client's own work and waits for it; the caller has ended its calls before.
func (c *Client) Close() {
	c.cancel()
	c.refreshes.Wait()
	c.transport.CloseIdleConnections()
}

// failed notes that a connection to an address failed.
func (c *Client) failed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[address] = time.Now().Add(avoidTime)
}

// preferred returns the addresses with the avoided ones last. It is called with c.mu held.
func (c *Client) preferred(addresses []string) []string {
	now := time.Now()
	good := make([]string, 0, len(addresses))
	var bad []string
	for _, a := range addresses {
		if c.avoid[a].After(now) {
			bad = append(bad, a)
			continue
		}
		good = append(good, a)
	}
	return append(good, bad...)
}
