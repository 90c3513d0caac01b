package main

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testSite provides the platform, one upstream and the CA for daemons that run in the test process.
type testSite struct {
	dir         string
	log         *httptest.Server
	hostList    *httptest.Server
	upstream    *httptest.Server
	requestsRun atomic.Int64
	ca          *x509.Certificate
	caKey       *ecdsa.PrivateKey

	// mu guards records, by stream, and the entries of the host list.
	mu      sync.Mutex
	records map[string][][]byte
	entries []map[string]string
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	s := &testSite{dir: t.TempDir(), records: map[string][][]byte{}}
	s.log = httptest.NewServer(http.HandlerFunc(s.serveLog))
	s.hostList = httptest.NewServer(http.HandlerFunc(s.serveHostList))
	s.upstream = httptest.NewServer(http.HandlerFunc(s.serveUpstream))
	t.Cleanup(s.log.Close)
	t.Cleanup(s.hostList.Close)
	t.Cleanup(s.upstream.Close)
	s.entries = append(s.entries, map[string]string{
		"id": "u1", "role": "upstream", "service": "booking", "dataCentre": "passau",
		"address": s.upstream.Listener.Addr().String(), "state": "live",
	})
	s.writeCertificate(t, "ca")
	return s
}

func (s *testSite) serveLog(w http.ResponseWriter, r *http.Request) {
	stream := strings.Split(r.URL.Path, "/")[3]
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		body, _ := io.ReadAll(r.Body)
		s.records[stream] = append(s.records[stream], body)
		fmt.Fprintf(w, `{"offset":%d}`, len(s.records[stream])-1)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	type record struct {
		Offset int    `json:"offset"`
		Data   []byte `json:"data"`
	}
	records := []record{}
	for i := max(from, 0); i < len(s.records[stream]); i++ {
		records = append(records, record{i, s.records[stream][i]})
	}
	json.NewEncoder(w).Encode(map[string]any{"records": records, "first": 0, "next": len(s.records[stream])})
}

func (s *testSite) serveHostList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"entries": s.entries})
}

func (s *testSite) serveUpstream(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		io.WriteString(w, `{"incarnation":"i1","slots":4,"inFlight":0,"state":"ready"}`)
		return
	}
	s.requestsRun.Add(1)
	w.Header().Set("X-Request-Nonce", r.Header.Get("X-Request-Nonce"))
	w.Header().Set("X-Upstream-Incarnation", "i1")
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.RequestURI, body)
}

// writeCertificate writes the PEM file of a host, with its certificate and key. The first call writes the CA.
func (s *testSite) writeCertificate(t testing.TB, name string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if s.ca == nil {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
		s.ca, s.caKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, s.ca, &key.PublicKey, s.caKey)
	assertNoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assertNoError(t, err)
	var out bytes.Buffer
	assertNoError(t, pem.Encode(&out, &pem.Block{Type: "CERTIFICATE", Bytes: der}))
	assertNoError(t, pem.Encode(&out, &pem.Block{Type: "PRIVATE KEY", Bytes: private}))
	assertNoError(t, os.WriteFile(filepath.Join(s.dir, name+".pem"), out.Bytes(), 0o600))
}

// publishClass appends a proposal for a class to the configuration stream.
func (s *testSite) publishClass(t testing.TB, class string, idempotent bool) {
	t.Helper()
	data, err := conf.NewProposal(conf.Proposal{
		ID: conf.ProposalID("p-" + class), Item: conf.Item{Kind: conf.KindClass, Name: class}, Base: conf.NoVersion,
		Value: conf.Value{Class: conf.Class{
			Service: "booking", Target: 50 * time.Millisecond, Deadline: time.Second, Idempotent: idempotent, Rank: 1,
		}},
	})
	assertNoError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records["config"] = append(s.records["config"], data)
}

// testDaemon is a running daemon with the addresses of its listeners.
type testDaemon struct {
	callers, admin string
	stop           chan os.Signal
	ended          chan struct{}
}

// listenAddresses are the addresses of a daemon's listeners.
type listenAddresses struct{ callers, admin, peers string }

// freeAddresses returns addresses with free ports. The daemon needs the ports in its settings, so the system cannot choose
// them when the daemon listens. All are held until the last one is chosen, so that they differ, and belong to an IP
// address that no other test process uses, so that none of them takes one before the daemon listens.
func freeAddresses(t testing.TB) listenAddresses {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.1.%d.%d:0", pid>>8&0xff, pid&0xff)
	callers, err := net.Listen("tcp", host)
	assertNoError(t, err)
	defer callers.Close()
	admin, err := net.Listen("tcp", host)
	assertNoError(t, err)
	defer admin.Close()
	peers, err := net.ListenPacket("udp", host)
	assertNoError(t, err)
	defer peers.Close()
	return listenAddresses{callers.Addr().String(), admin.Addr().String(), peers.LocalAddr().String()}
}

// start starts a daemon and adds it to the host list. The daemon stops at the end of the test.
func (s *testSite) start(t testing.TB, id string) *testDaemon {
	t.Helper()
	s.writeCertificate(t, id)
	listen := freeAddresses(t)
	p := &testDaemon{callers: listen.callers, admin: listen.admin, stop: make(chan os.Signal, 2), ended: make(chan struct{})}
	file := filepath.Join(s.dir, id+".json")
	assertNoError(t, os.WriteFile(file, fmt.Appendf(nil, `{
		"host": {"id": %q, "site": "hofbauer", "dataCentre": "passau"},
		"listen": {"callers": %q, "peers": %q, "admin": %q},
		"platform": {"log": %q, "hostList": %q},
		"tls": {"ca": %q, "identity": %q},
		"dataCentres": ["passau"],
		"services": {"booking": {"slots": 4}},
		"timing": {"addressLifetime": "100ms"},
		"runtime": {"processors": 10},
	}`, id, p.callers, listen.peers, p.admin, s.log.Listener.Addr(), s.hostList.Listener.Addr(),
		filepath.Join(s.dir, "ca.pem"), filepath.Join(s.dir, id+".pem")), 0o600))
	settings, err := config.LoadDaemon(file)
	assertNoError(t, err)
	d, err := newDaemon(settings, io.Discard)
	assertNoError(t, err)
	go func() {
		defer close(p.ended)
		d.serve(p.stop)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, map[string]string{
		"id": id, "role": "host", "dataCentre": "passau", "address": p.callers, "peerAddress": listen.peers, "state": "live",
	})
	t.Cleanup(func() {
		p.stop <- syscall.SIGTERM
		p.stop <- syscall.SIGTERM
		<-p.ended
	})
	return p
}

// doRequest sends a request and returns the status, the body and the header of the answer. Without an answer, the status
// is 0 and the body is the text of the error.
func doRequest(t testing.TB, method, url string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	assertNoError(t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header
}

// awaitOK repeats a request until its status is 200, for at most 20 s.
func awaitOK(t testing.TB, method, url string) (string, http.Header) {
	t.Helper()
	lastBody := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status, body, header := doRequest(t, method, url)
		if status == http.StatusOK {
			return body, header
		}
		lastBody = body
	}
	t.Fatalf("%s: last answer %s", url, lastBody)
	return "", nil
}

// Guards against settings that name one address twice, which the daemon refuses: a port that was chosen and freed could be
// chosen again.
func TestFreeAddressesDiffer(t *testing.T) {
	for range 2000 {
		if l := freeAddresses(t); l.callers == l.admin {
			t.Fatalf("got %+v, want two TCP addresses", l)
		}
	}
}

// The components of the daemon must work together with the real reducer. Two daemons read the configuration and the host
// list from a test platform, and requests pass through them to an upstream. An order that is sent repeatedly with one
// request ID, to both hosts, must run once.
func TestDaemons(t *testing.T) {
	s := newTestSite(t)
	s.publishClass(t, "enquiries", true)
	s.publishClass(t, "orders", false)
	a, b := s.start(t, "a"), s.start(t, "b")
	for _, p := range []*testDaemon{a, b} {
		body, header := awaitOK(t, http.MethodGet, "http://"+p.callers+"/v1/classes/enquiries/x?y=1")
		if body != "/x?y=1 " || header.Get("X-Run") != "yes" {
			t.Errorf("body %q, header %v", body, header)
		}
	}
	t.Run("relayed order", func(t *testing.T) {
		body, _ := awaitOK(t, http.MethodPost, "http://"+a.callers+"/v1/ids?class=orders")
		var issued struct{ ID string }
		assertNoError(t, json.Unmarshal([]byte(body), &issued))
		before := s.requestsRun.Load()
		for _, p := range []*testDaemon{b, a, b} {
			req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/v1/classes/orders/o", strings.NewReader("order"))
			assertNoError(t, err)
			req.Header.Set("X-Request-Id", issued.ID)
			req.Close = true
			resp, err := http.DefaultClient.Do(req)
			assertNoError(t, err)
			got, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK || string(got) != "/o order" {
				t.Errorf("status %d, body %s", resp.StatusCode, got)
			}
		}
		if n := s.requestsRun.Load() - before; n != 1 {
			t.Errorf("order ran %d times, want 1", n)
		}
	})
	t.Run("admin", func(t *testing.T) {
		for path, want := range map[string]string{
			"/status": `"host": "a"`, "/": "<h1>a</h1>", "/metrics.json": "class.enquiries.total",
			"/metrics": `sardined_class_total_seconds_count{class="enquiries"}`,
		} {
			if _, body, _ := doRequest(t, http.MethodGet, "http://"+a.admin+path); !strings.Contains(body, want) {
				t.Errorf("%s: %s", path, body)
			}
		}
		if status, _, _ := doRequest(t, http.MethodGet, "http://"+a.admin+"/debug/pprof/"); status != http.StatusNotFound {
			t.Errorf("profiles served with status %d", status)
		}
	})
	t.Run("graceful shutdown", func(t *testing.T) {
		b.stop <- syscall.SIGTERM
		<-b.ended
		if status, body, _ := doRequest(t, http.MethodGet, "http://"+a.callers+"/v1/classes/enquiries/x"); status != http.StatusOK {
			t.Errorf("status %d: %s", status, body)
		}
	})
}

func assertNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
