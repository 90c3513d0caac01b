// Package caller sends requests as a client program of a site does. It queries the hosts for the addresses of a class,
// caches them for the time that the response states, and retries requests that are safe to retry.
package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"sardinecross.example/lib/common/heads"
)

const (
	dialTimeout = 500 * time.Millisecond
	// hostQueryTimeout limits a query for addresses or for a request ID, so that a host that hangs uses up little of the
	// time of a request. After a query of all hosts failed, it is also the time until the next one.
	hostQueryTimeout = 300 * time.Millisecond
	// avoidDuration is how long a client prefers other addresses after a connection to an address failed.
	avoidDuration = time.Second
	// maxIdleConns is the number of idle connections that a client keeps to each address. It is below a host's default limit
	// of connections per caller (256).
	maxIdleConns = 200
)

// Options configures the clients of a load.
type Options struct {
	// Entries are the hosts that clients query first.
	Entries []netip.AddrPort
	// LocalAddr is the local address of the client's connections; the zero address means any.
	LocalAddr netip.Addr
	// AllowNonLoopback allows connections to addresses outside loopback.
	AllowNonLoopback bool
	// Direct makes clients send requests to the upstreams of the class directly, without hosts.
	Direct bool
}

// Client simulates one client program. It is safe for concurrent use.
type Client struct {
	opt       Options
	index     int
	transport heads.Transport
	ctx       context.Context
	cancel    context.CancelFunc
	refreshes sync.WaitGroup

	mu           sync.Mutex
	addressLists map[string]*addressList
	// avoidUntil holds, for each address to which a connection failed, the time until which other addresses are preferred.
	avoidUntil map[string]time.Time
	// inFlight counts the requests in flight to each address. Direct mode chooses upstreams by it.
	inFlight map[string]int
}

// addressList holds the cached addresses of the hosts for one class.
type addressList struct {
	// fetchMu is held while the hosts are queried for the addresses.
	fetchMu sync.Mutex
	// The fields below are protected by Client.mu. The addresses are refreshed in the background after refreshAt, and by the
	// next request after expiresAt.
	addresses            []string
	refreshAt, expiresAt time.Time
	refreshing           bool
}

// New returns a client. Its index decides which entry it queries first, so that the clients of a load spread over the
// entries.
func New(opt Options, index int) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opt:          opt,
		index:        index,
		ctx:          ctx,
		cancel:       cancel,
		addressLists: make(map[string]*addressList),
		avoidUntil:   make(map[string]time.Time),
		inFlight:     make(map[string]int),
	}
	c.transport = NewTransport(opt)
	return c
}

// NewTransport returns a transport that connects only to addresses that the options allow.
func NewTransport(opt Options) heads.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	if opt.LocalAddr.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: opt.LocalAddr.AsSlice()}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if !opt.AllowNonLoopback && !isLoopback(address) {
			return nil, &LoopbackError{Address: address}
		}
		return d.DialContext(ctx, network, address)
	}
	return heads.Transport{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Close stops the refreshes in the background, waits for them and closes idle connections. All calls must have ended
// before.
func (c *Client) Close() {
	c.cancel()
	c.refreshes.Wait()
	c.transport.CloseIdleConnections()
}

// markFailed records that a connection to an address failed, so that other addresses are preferred for avoidDuration.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
}

// avoidedLast returns the addresses in the same order, but with those to avoid at the end. c.mu must be held.
func (c *Client) avoidedLast(addresses []string) []string {
	now := time.Now()
	usable := make([]string, 0, len(addresses))
	var avoided []string
	for _, a := range addresses {
		if c.avoidUntil[a].After(now) {
			avoided = append(avoided, a)
			continue
		}
		usable = append(usable, a)
	}
	return append(usable, avoided...)
}
