package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/logbuf"
	"sardinecross.example/lib/core"
	"sardinecross.example/lib/member"
	"sardinecross.example/sardined/metric"
	"sardinecross.example/sardined/runner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a runner.Sink that records the answer.
type recorder struct {
	status int
	header http.Header
	length int64
	body   []byte
}

func (s *recorder) SetWriteTimeout(time.Duration) {}

func (s *recorder) WriteHead(status int, header http.Header, length int64) error {
	s.status, s.header, s.length = status, header, length
	return nil
}

func (s *recorder) Write(p []byte) (int, error) {
	s.body = append(s.body, p...)
	return len(p), nil
}

func (s *recorder) Flush() error { return nil }

type receivedMessage struct {
	from        ident.HostID
	incarnation ident.Incarnation
	message     core.Message
}

// host is the Links of one host with a Handler that passes messages to a channel and relayed requests to serve.
type host struct {
	*Links
	messages chan receivedMessage
	serve    atomic.Pointer[serveFunc]
}

type serveFunc func(ctx context.Context, req *runner.Request, sink runner.Sink) error

func (h *host) PeerMessage(from ident.HostID, incarnation ident.Incarnation, m core.Message) {
	h.messages <- receivedMessage{from, incarnation, m}
}

func (h *host) Serve(ctx context.Context, req *runner.Request, sink runner.Sink) error {
	return (*h.serve.Load())(ctx, req, sink)
}

func newHost(t testing.TB, a *testCA, id ident.HostID, incarnation ident.Incarnation, address string) *host {
	t.Helper()
	return newLoggingHost(t, a, id, incarnation, address, slog.New(slog.DiscardHandler))
}

func newLoggingHost(t testing.TB, a *testCA, id ident.HostID, incarnation ident.Incarnation, address string, log *slog.Logger) *host {
	t.Helper()
	links, err := New(Config{
		Host:             id,
		Incarnation:      incarnation,
		Address:          netip.MustParseAddrPort(address),
		CAFile:           a.path("ca.pem"),
		IdentityFile:     a.path(string(id) + ".pem"),
		MaxHeaderBytes:   4096,
		MaxBodyBytes:     1 << 20,
		MaxBufferedBytes: 1 << 24,
	}, Deps{Metrics: metric.New(), Logger: log})
	assertNoError(t, err)
	h := &host{Links: links, messages: make(chan receivedMessage, 1000)}
	assertNoError(t, links.Start(h))
	t.Cleanup(h.Close)
	return h
}

// newLinkedHosts returns the hosts "a" and "b" with an open link, which "a" dialled.
func newLinkedHosts(t testing.TB) (*host, *host) {
	t.Helper()
	a := newTestCA(t)
	a.issueIdentity(t, "a")
	a.issueIdentity(t, "b")
	ha := newHost(t, a, "a", 1, "127.0.0.1:0")
	hb := newHost(t, a, "b", 2, "127.0.0.1:0")
	listAsPeers(ha, hb)
	exchangeHeartbeats(t, ha, hb)
	return ha, hb
}

// listAsPeers gives each host a host list of all of them.
func listAsPeers(hosts ...*host) {
	var list []core.PeerAddress
	for _, h := range hosts {
		list = append(list, core.PeerAddress{ID: h.cfg.Host, Address: h.Address().String()})
	}
	for _, h := range hosts {
		h.SetPeers(list)
	}
}

func heartbeat(seq uint64) core.Message {
	return core.Message{Heartbeat: &member.Heartbeat{Seq: seq}}
}

// exchangeHeartbeats sends heartbeats in both directions until each host received one from the other's incarnation.
func exchangeHeartbeats(t testing.TB, a, b *host) {
	t.Helper()
	for _, way := range [][2]*host{{a, b}, {b, a}} {
		for arrived := false; !arrived; {
			way[0].Send(way[1].cfg.Host, heartbeat(0))
			select {
			case m := <-way[1].messages:
				arrived = m.from == way[0].cfg.Host && m.incarnation == way[0].cfg.Incarnation
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

// Guards against messages of an incarnation that overtake each other between sending and the handler. The reducer relies on
// receiving them in the order of sending.
func TestMessageOrder(t *testing.T) {
	a, b := newLinkedHosts(t)
	const n = 500
	for i := uint64(1); i <= n; i++ {
		a.Send("b", heartbeat(i))
		if i%50 == 0 {
			awaitSeq(t, b, i)
		}
	}
}

// awaitSeq reads messages until one has the sequence number want. The numbers must not decrease.
func awaitSeq(t *testing.T, h *host, want uint64) {
	t.Helper()
	for last := uint64(0); last != want; {
		seq := (<-h.messages).message.Heartbeat.Seq
		if seq < last {
			t.Fatalf("message %d after %d", seq, last)
		}
		last = seq
	}
}

// After a host was frozen or restarted, the link must open again, whichever host dials and also if the old process ended
// without closing its connections. Messages must then carry the new incarnation, and none queued for the old one may
// arrive.
func TestReconnectAfterRestart(t *testing.T) {
	root := t // the hosts must outlive the subtest that starts them
	a := newTestCA(t)
	a.issueIdentity(t, "a")
	a.issueIdentity(t, "b")
	ha := newHost(t, a, "a", 1, "127.0.0.1:0")
	hb := newHost(t, a, "b", 2, "127.0.0.1:0")
	listAsPeers(ha, hb)
	exchangeHeartbeats(t, ha, hb)
	t.Run("of the host that is dialled", func(t *testing.T) {
		address := hb.Address().String()
		hb.Close()
		hb = newHost(root, a, "b", 3, address)
		listAsPeers(ha, hb)
		exchangeHeartbeats(t, ha, hb)
	})
	t.Run("of the host that dials", func(t *testing.T) {
		address := ha.Address().String()
		ha.Close()
		ha = newHost(root, a, "a", 4, address)
		listAsPeers(ha, hb)
		exchangeHeartbeats(t, ha, hb)
	})
	t.Run("without closing the connection", func(t *testing.T) {
		address := ha.Address().String()
		ha.conn.Close()
		ha.Close()
		ha = newHost(root, a, "a", 5, address)
		listAsPeers(ha, hb)
		exchangeHeartbeats(t, ha, hb)
	})
}

// Operators learn of a lost and a reopened link from the log. At the default level it must have each event once, with the
// cause of the loss, and none for links that the host closes itself.
func TestLinkLossAndReturnAreLogged(t *testing.T) {
	a := newTestCA(t)
	a.issueIdentity(t, "a")
	a.issueIdentity(t, "b")
	var log logbuf.Buffer
	ha := newLoggingHost(t, a, "a", 1, "127.0.0.1:0", slog.New(slog.NewTextHandler(&log, nil)))
	hb := newHost(t, a, "b", 2, "127.0.0.1:0")
	listAsPeers(ha, hb)
	exchangeHeartbeats(t, ha, hb)
	address := hb.Address().String()
	hb.Close()
	for end := time.Now().Add(10 * time.Second); log.Count(`msg="link lost" host=b error=`) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the loss of the link is not logged")
		}
	}
	hb = newHost(t, a, "b", 3, address)
	listAsPeers(ha, hb)
	exchangeHeartbeats(t, ha, hb)
	if opened, lost := log.Count(`msg="link opened" host=b`), log.Count("link lost"); opened != 2 || lost != 1 {
		t.Errorf("opened %d times and lost %d times, want 2 and 1", opened, lost)
	}
	ha.Close()
	if n := log.Count("link lost"); n != 1 {
		t.Errorf("closing the host logs %d lost links", n-1)
	}
}

// The queue of a host that reads no messages must stay bounded, and must keep the newest messages. Otherwise such a host
// uses up the memory of the others, or gets only outdated messages once it reads again.
func TestQueueDropsOldest(t *testing.T) {
	p := newPeer("b")
	if p.enqueue(heartbeat(0)) != 1 {
		t.Error("message queued without a link")
	}
	p.link = &link{}
	dropped := 0
	for i := range uint64(queueSize + 10) {
		dropped += p.enqueue(heartbeat(i))
	}
	queued := p.dequeueAll(nil)
	if dropped != 10 || len(queued) != queueSize || queued[0].Heartbeat.Seq != 10 {
		t.Errorf("%d dropped, %d queued, first %d", dropped, len(queued), queued[0].Heartbeat.Seq)
	}
}

// A link must open only to a host with a certificate of the site's CA for its own name, and only from a host with a
// lower ID. A broken identity file must not replace one that works.
func TestLinksRequireIdentityOfSite(t *testing.T) {
	site, other := newTestCA(t), newTestCA(t)
	site.issueIdentity(t, "a")
	site.issueIdentity(t, "b")
	other.issueIdentity(t, "a")
	t.Run("file of another host", func(t *testing.T) {
		_, err := New(Config{Host: "c", CAFile: site.path("ca.pem"), IdentityFile: site.path("a.pem")},
			Deps{Metrics: metric.New(), Logger: slog.New(slog.DiscardHandler)})
		var ie *IdentityError
		if !errors.As(err, &ie) {
			t.Errorf("error %v", err)
		}
	})
	t.Run("another CA", func(t *testing.T) {
		hb := newHost(t, site, "b", 2, "127.0.0.1:0")
		foreign := newHost(t, other, "a", 1, "127.0.0.1:0")
		_, err := foreign.dial("b", hb.Address())
		if err == nil {
			t.Error("dialler of another CA accepts the host's certificate")
		}
		if conn, err := dialRaw(t, hb, other.path("a.pem"), site.path("ca.pem")); err == nil {
			assertRefused(t, conn)
		}
	})
	t.Run("host that must not dial", func(t *testing.T) {
		hb := newHost(t, site, "b", 2, "127.0.0.1:0")
		conn, err := dialRaw(t, hb, site.path("b.pem"), site.path("ca.pem"))
		assertNoError(t, err)
		assertRefused(t, conn)
	})
	t.Run("reload", func(t *testing.T) {
		ha := newHost(t, site, "a", 1, "127.0.0.1:0")
		before, _ := ha.identity.credentials()
		site.writeFile(t, "a.pem", []byte("broken"))
		kept, _ := ha.identity.credentials()
		site.issueIdentity(t, "a")
		after, _ := ha.identity.credentials()
		if before.Leaf.SerialNumber.Cmp(kept.Leaf.SerialNumber) != 0 {
			t.Error("broken identity file took effect")
		}
		if before.Leaf.SerialNumber.Cmp(after.Leaf.SerialNumber) == 0 {
			t.Error("new identity file took no effect")
		}
		hb := newHost(t, site, "b", 2, "127.0.0.1:0")
		listAsPeers(ha, hb)
		exchangeHeartbeats(t, ha, hb)
	})
}

// Guards against an identity that works again, after the site has withdrawn its CA and hosts have restarted.
func TestWithdrawnCAIsRefusedAlsoAfterARestart(t *testing.T) {
	site, withdrawn := newTestCA(t), newTestCA(t)
	site.issueIdentity(t, "b")
	withdrawn.issueIdentity(t, "a")
	own, err := os.ReadFile(site.path("ca.pem"))
	assertNoError(t, err)
	other, err := os.ReadFile(withdrawn.path("ca.pem"))
	assertNoError(t, err)
	site.writeFile(t, "ca.pem", append(other, own...))
	hb := newHost(t, site, "b", 2, "127.0.0.1:0")
	conn, err := dialRaw(t, hb, withdrawn.path("a.pem"), site.path("ca.pem"))
	assertNoError(t, err)
	select {
	case <-conn.Context().Done():
		t.Fatalf("refused before the CA is withdrawn: %v", context.Cause(conn.Context()))
	case <-time.After(100 * time.Millisecond):
	}
	site.writeFile(t, "ca.pem", own)
	for _, when := range []string{"before the restart", "after the restart"} {
		t.Run(when, func(t *testing.T) {
			if conn, err := dialRaw(t, hb, withdrawn.path("a.pem"), site.path("ca.pem")); err == nil {
				assertRefused(t, conn)
			}
		})
		hb = newHost(t, site, "b", 3, "127.0.0.1:0")
	}
}

// dialRaw dials a host with the given identity and CA, without a Links of its own.
func dialRaw(t *testing.T, to *host, identityFile, caFile string) (*quic.Conn, error) {
	t.Helper()
	ca, err := os.ReadFile(caFile)
	assertNoError(t, err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	certificate, err := tls.LoadX509KeyPair(identityFile, identityFile)
	assertNoError(t, err)
	id := &identity{caFile: caFile, identityFile: identityFile, pool: pool, certificate: certificate}
	id.lastStamps = id.statFiles()
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assertNoError(t, err)
	transport := &quic.Transport{Conn: udp}
	t.Cleanup(func() {
		transport.Close()
		udp.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return transport.Dial(ctx, net.UDPAddrFromAddrPort(to.Address()), id.clientConfig(to.cfg.Host), quicConfig())
}

// assertRefused waits until the connection ends and fails if it does not within 10 s, or ended by the idle timeout.
func assertRefused(t *testing.T, conn *quic.Conn) {
	t.Helper()
	select {
	case <-conn.Context().Done():
	case <-time.After(10 * time.Second):
		t.Error("connection not refused within 10 s")
		return
	}
	var idle *quic.IdleTimeoutError
	if errors.As(context.Cause(conn.Context()), &idle) {
		t.Error("connection not refused")
	}
}

// A message that cannot be decoded must not reach the reducer and must not stop later messages. A frame length above the
// limit must end the link.
func TestInvalidMessagesAreSkipped(t *testing.T) {
	site := newTestCA(t)
	site.issueIdentity(t, "a")
	site.issueIdentity(t, "b")
	hb := newHost(t, site, "b", 2, "127.0.0.1:0")
	conn, err := dialRaw(t, hb, site.path("a.pem"), site.path("ca.pem"))
	assertNoError(t, err)
	stream, err := conn.OpenUniStream()
	assertNoError(t, err)
	assertNoError(t, writeFrame(stream, wireHello{Version: wireVersion, Incarnation: 7}, maxMessageBytes))
	assertNoError(t, writeFrame(stream, map[int]int{99: 1}, maxMessageBytes))
	stream.Write([]byte{0, 0, 0, 2, 0xff, 0xff})
	whole, err := encodeMessage(nil, heartbeat(5))
	assertNoError(t, err)
	stream.Write(whole)
	m := <-hb.messages
	if m.from != "a" || m.incarnation != 7 || m.message.Heartbeat.Seq != 5 {
		t.Errorf("received %+v", m)
	}
	if n := hb.deps.Metrics.PeerMessagesInvalid.Count(); n != 2 {
		t.Errorf("%d invalid messages counted", n)
	}
	stream.Write([]byte{0xff, 0xff, 0xff, 0xff})
	assertRefused(t, conn)
}

// Relay must return an error unless the whole answer arrived; otherwise a caller takes a truncated answer for a complete
// one.
func TestRelayedAnswerIsCompleteOrFails(t *testing.T) {
	a, b := newLinkedHosts(t)
	req := &runner.Request{
		Class: "orders", Tenant: "t", Timeout: 5 * time.Second, Token: "id", Depth: 1, Retry: true, Method: "POST",
		Path: "/a", RawPath: "/%61", RawQuery: "q", Header: http.Header{"X-A": {"1"}}, Body: []byte(strings.Repeat("b", 100_000)),
	}
	relay := func(ctx context.Context, serve serveFunc) (*recorder, bool, error) {
		b.serve.Store(&serve)
		sink := &recorder{}
		headSent, err := a.Relay(ctx, "b", req, sink)
		return sink, headSent, err
	}
	t.Run("complete", func(t *testing.T) {
		sink, headSent, err := relay(t.Context(), func(_ context.Context, r *runner.Request, sink runner.Sink) error {
			if r.Class != "orders" || r.Tenant != "t" || r.Token != "id" || r.Depth != 1 || !r.Retry || !r.Relayed ||
				r.RawPath != "/%61" || r.RawQuery != "q" || r.Header.Get("X-A") != "1" || len(r.Body) != 100_000 {
				t.Errorf("request %+v", r)
			}
			if err := sink.WriteHead(201, http.Header{"X-B": {"2"}}, 100_000); err != nil {
				return err
			}
			_, err := sink.Write(r.Body)
			return err
		})
		assertNoError(t, err)
		if !headSent || sink.status != 201 || sink.header.Get("X-B") != "2" || sink.length != 100_000 || len(sink.body) != 100_000 {
			t.Errorf("head sent %v, status %d, %d bytes", headSent, sink.status, len(sink.body))
		}
	})
	t.Run("aborted", func(t *testing.T) {
		_, headSent, err := relay(t.Context(), func(_ context.Context, _ *runner.Request, sink runner.Sink) error {
			sink.WriteHead(200, nil, 10)
			sink.Write([]byte("x"))
			sink.Flush()
			return &runner.AbortError{}
		})
		// The reset of the stream may overtake the head, so both values of headSent are right.
		if err == nil {
			t.Errorf("head sent %v without an error", headSent)
		}
	})
	t.Run("caller leaves", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		_, headSent, err := relay(ctx, func(ctx context.Context, _ *runner.Request, _ runner.Sink) error {
			cancel()
			<-ctx.Done()
			close(ended)
			return &runner.CallerGoneError{}
		})
		if err == nil || headSent {
			t.Errorf("head sent %v, error %v", headSent, err)
		}
		<-ended
	})
	t.Run("other host closes", func(t *testing.T) {
		var once sync.Once
		arrived := make(chan struct{})
		go func() {
			<-arrived
			b.Close()
		}()
		_, headSent, err := relay(t.Context(), func(ctx context.Context, _ *runner.Request, _ runner.Sink) error {
			once.Do(func() { close(arrived) })
			<-ctx.Done()
			return &runner.CallerGoneError{}
		})
		if err == nil || headSent {
			t.Errorf("head sent %v, error %v", headSent, err)
		}
	})
	t.Run("unknown host", func(t *testing.T) {
		_, err := a.Relay(t.Context(), "z", req, &recorder{})
		var ue *UnreachableError
		if !errors.As(err, &ue) {
			t.Errorf("error %v", err)
		}
	})
}
