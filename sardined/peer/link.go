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

// Codes with which links are closed.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeRefused
	codeReplaced
	codeProtocol
)

// peer is another host.
type peer struct {
	host ident.HostID
	// gone is closed when the host is no longer listed or the links are closed.
	gone chan struct{}
	// wake holds one token while the queue is not empty.
	wake chan struct{}
	// dialling is guarded by the mutex of Links.
	dialling bool

	mu sync.Mutex
	// address is the zero value while the host is not listed.
	address netip.AddrPort
	// link is the connection in use, or nil. A message of an earlier one is never passed on after it was replaced.
	link *link
	// queue holds at most queueSize messages, the oldest first, and is empty without a link.
	queue  []core.Message
	closed bool
}

// link is one connection.
type link struct {
	conn *quic.Conn
	// done is closed when every goroutine of the connection has ended.
	done chan struct{}
}

func newPeer(host ident.HostID) *peer {
	return &peer{host: host, gone: make(chan struct{}), wake: make(chan struct{}, 1)}
}

func (p *peer) setAddress(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

func (p *peer) listed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address.IsValid()
}

// target returns the address to dial, or false if the host is no longer listed.
func (p *peer) target() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address, !p.closed
}

// drop is called when the host is not listed. It reports whether the peer is no longer needed: a link that the other
// host dialled stays until that host closes it, since the list may lag behind the host's start.
func (p *peer) drop() bool {
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
	close(p.gone)
	if p.link != nil {
		_ = p.link.conn.CloseWithError(codeClosed, "closed")
	}
}

// push queues a message and returns how many messages were dropped.
func (p *peer) push(m core.Message) int {
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

// take moves the queued messages to buf.
func (p *peer) take(buf []core.Message) []core.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	buf = append(buf[:0], p.queue...)
	clear(p.queue)
	p.queue = p.queue[:0]
	return buf
}

// attach makes a connection the one in use; the one before has ended when attach returns.
// Messages queued for the connection before are dropped.
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

// detach ends the use of a connection whose goroutines have ended.
func (p *peer) detach(k *link) {
	p.mu.Lock()
	p.link = nil
	p.mu.Unlock()
	close(k.done)
}

// current returns the connection in use, or nil.
func (p *peer) current() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil
	}
	return p.link.conn
}

// run serves a connection until it fails.
func (l *Links) run(p *peer, conn *quic.Conn) {
	k, ok := p.attach(conn)
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
	case <-p.gone: // this host closed it
	default:
		l.deps.Logger.Warn("link lost", "host", p.host, "error", cause)
	}
	p.detach(k)
}

// sendMessages writes the queued messages to the message stream.
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
		messages = p.take(messages)
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

// receiveMessages passes on the messages of the other host in their order. A message that cannot be read is dropped;
// a length above the limit ends the link, since what follows it cannot be told apart.
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

// ProtocolError reports a host that does not follow the protocol.
type ProtocolError struct{ Err error }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol between hosts: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }
