package peer

import (
	"bufio"
	"context"
	"errors"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
)

// Application error codes with which links are closed.
const (
	// codeClosed: this host closes the link, or the link failed.
	codeClosed quic.ApplicationErrorCode = iota
	// codeRefused: the certificate does not name a host that may dial this one.
	codeRefused
	// codeReplaced: the other host opened a newer connection.
	codeReplaced
	// codeProtocol: the other host violated the protocol.
	codeProtocol
)

// peer is another host, with the link to it and the messages queued for it.
type peer struct {
	host ident.HostID
	// stop is closed when the host has left the host list or this host closes its links.
	stop chan struct{}
	// wake holds an element while the queue is not empty; it wakes sendMessages.
	wake chan struct{}
	// dialling reports that the goroutine that dials the host was started. It is guarded by the mutex of Links.
	dialling bool

	mu sync.Mutex
	// address is where to dial the host; the zero value until the host list first contains the host.
	address netip.AddrPort
	// link is the connection in use, or nil. Once it is replaced, no message that arrived on the old connection is
	// passed to the handler any more.
	link *link
	// queue holds at most queueSize messages, the oldest first; it stays empty while link is nil.
	queue  []core.Message
	closed bool
}

// link is one connection to a peer.
type link struct {
	conn *quic.Conn
	// done is closed when every goroutine that serves the connection has ended.
	done chan struct{}
}

func newPeer(host ident.HostID) *peer {
	return &peer{host: host, stop: make(chan struct{}), wake: make(chan struct{}, 1)}
}

func (p *peer) setAddress(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// hasAddress reports whether the host list has ever contained the host.
func (p *peer) hasAddress() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address.IsValid()
}

// dialAddress returns the address to dial, or false if the peer was closed.
func (p *peer) dialAddress() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address, !p.closed
}

// closeUnlisted closes a peer that is not in the host list and reports whether it did. It keeps a peer that has a link
// but has never been listed: that host dialled this one, and the list may lag behind the host's start. Such a link stays
// until the other host closes it.
func (p *peer) closeUnlisted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && !p.address.IsValid() {
		return false
	}
	p.closeLocked()
	return true
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked()
}

func (p *peer) closeLocked() {
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	if p.link != nil {
		_ = p.link.conn.CloseWithError(codeClosed, "closed")
	}
}

// enqueue queues a message and returns how many messages were dropped: the message itself if there is no link, or the
// oldest one if the queue is full.
func (p *peer) enqueue(m core.Message) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return 1
	}
	dropped := 0
	if len(p.queue) == queueSize {
		copy(p.queue, p.queue[1:])
		p.queue = p.queue[:queueSize-1]
		dropped = 1
	}
	p.queue = append(p.queue, m)
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return dropped
}

// dequeueAll empties the queue and returns its messages in buf, whose previous contents are overwritten.
func (p *peer) dequeueAll(buf []core.Message) []core.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	buf = append(buf[:0], p.queue...)
	clear(p.queue)
	p.queue = p.queue[:0]
	return buf
}

// attach makes conn the connection in use. It first closes the previous connection, if any, and waits until its
// goroutines have ended. Messages queued for the previous connection are dropped. attach returns false if the peer was
// closed.
func (p *peer) attach(conn *quic.Conn) (*link, bool) {
	next := &link{conn: conn, done: make(chan struct{})}
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, false
		}
		old := p.link
		if old == nil {
			p.link = next
			clear(p.queue)
			p.queue = p.queue[:0]
			p.mu.Unlock()
			return next, true
		}
		p.mu.Unlock()
		_ = old.conn.CloseWithError(codeReplaced, "replaced")
		<-old.done
	}
}

// detach marks a connection whose goroutines have ended as no longer in use.
func (p *peer) detach(ended *link) {
	p.mu.Lock()
	p.link = nil
	p.mu.Unlock()
	close(ended.done)
}

// activeConn returns the connection in use, or nil.
func (p *peer) activeConn() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil
	}
	return p.link.conn
}

// serveLink sends and receives messages and relayed requests on a connection until it fails or is closed.
func (l *Links) serveLink(p *peer, conn *quic.Conn) {
	active, ok := p.attach(conn)
	if !ok {
		_ = conn.CloseWithError(codeClosed, "closed")
		return
	}
	l.deps.Metrics.PeerConnections.Inc(1)
	l.deps.Logger.Info("link opened", "host", p.host)
	ctx, cancel := context.WithCancel(l.ctx)
	var tasks sync.WaitGroup
	var once sync.Once
	var cause error
	fail := func(err error) {
		once.Do(func() { cause = err })
		cancel()
		code := codeClosed
		var protocolErr *ProtocolError
		if errors.As(err, &protocolErr) {
			code = codeProtocol
		}
		_ = conn.CloseWithError(code, "")
	}
	tasks.Go(func() { fail(l.sendMessages(ctx, p, conn)) })
	tasks.Go(func() { fail(l.receiveMessages(ctx, p, conn)) })
	tasks.Go(func() { fail(l.acceptRelays(ctx, conn, &tasks)) })
	tasks.Wait()
	cancel()
	select {
	case <-p.stop: // this host closed the link
	default:
		l.deps.Logger.Warn("link lost", "host", p.host, "error", cause)
	}
	p.detach(active)
}

// sendMessages opens the message stream and writes queued messages to it until the link ends.
func (l *Links) sendMessages(ctx context.Context, p *peer, conn *quic.Conn) error {
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	hello := wireHello{Version: wireVersion, Incarnation: l.cfg.Incarnation}
	if err := writeFrame(stream, hello, maxMessageBytes); err != nil {
		return err
	}
	var messages []core.Message
	var buf []byte
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return ctx.Err()
		case <-conn.Context().Done():
			return conn.Context().Err()
		}
		messages = p.dequeueAll(messages)
		buf = buf[:0]
		for _, m := range messages {
			if buf, err = encodeMessage(buf, m); err != nil {
				l.deps.Metrics.PeerMessagesDropped.Inc(1)
				l.deps.Logger.Warn("message not sent", "host", p.host, "error", err)
			}
		}
		clear(messages)
		if _, err := stream.Write(buf); err != nil {
			return err
		}
		l.deps.Metrics.PeerMessagesSent.Inc(int64(len(messages)))
		l.deps.Metrics.PeerBytesSent.Inc(int64(len(buf)))
	}
}

// receiveMessages passes the messages of the other host to the handler in the order of arrival. A message that cannot be
// decoded is dropped. A frame length above the limit ends the link, since the start of the next frame is then unknown.
func (l *Links) receiveMessages(ctx context.Context, p *peer, conn *quic.Conn) error {
	stream, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return err
	}
	r := bufio.NewReaderSize(stream, 16<<10)
	body, err := readFrame(r, nil, maxMessageBytes)
	if err != nil {
		return err
	}
	var hello wireHello
	if err := decMode.Unmarshal(body, &hello); err != nil {
		return &ProtocolError{Err: &MessageError{Err: err}}
	}
	if hello.Version != wireVersion || hello.Incarnation == 0 {
		return &ProtocolError{Err: &RangeError{Field: "version", Value: int64(hello.Version)}}
	}
	for {
		if body, err = readFrame(r, body, maxMessageBytes); err != nil {
			var size *SizeError
			if errors.As(err, &size) {
				l.deps.Metrics.PeerMessagesInvalid.Inc(1)
				return &ProtocolError{Err: err}
			}
			return err
		}
		l.deps.Metrics.PeerMessagesReceived.Inc(1)
		l.deps.Metrics.PeerBytesReceived.Inc(int64(lengthBytes + len(body)))
		m, err := decodeMessage(body)
		if err != nil {
			l.deps.Metrics.PeerMessagesInvalid.Inc(1)
			l.deps.Logger.Debug("message dropped", "host", p.host, "error", err)
			continue
		}
		l.handler.PeerMessage(p.host, hello.Incarnation, m)
	}
}

// ProtocolError reports a violation of the protocol by the other host.
type ProtocolError struct{ Err error }

// Error implements error.
func (e *ProtocolError) Error() string {
	return "protocol violation by the other host: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }
