package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"sardinecross.example/lib/common/ident"
)

// protocol is negotiated in TLS.
const protocol = "sardinecross/1"

// identity holds the site's CA and the host's certificate. Changed files take effect with the next handshake.
type identity struct {
	host         ident.HostID
	caFile, file string
	logger       *slog.Logger

	mu          sync.Mutex
	stamp       [2]fileStamp
	pool        *x509.CertPool
	certificate tls.Certificate
}

// fileStamp changes when a file is replaced or written.
type fileStamp struct {
	modified time.Time
	size     int64
}

func loadIdentity(host ident.HostID, caFile, file string, logger *slog.Logger) (*identity, error) {
	id := &identity{host: host, caFile: caFile, file: file, logger: logger}
	id.stamp = id.stamps()
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

func (id *identity) stamps() [2]fileStamp {
	var stamps [2]fileStamp
	for i, name := range []string{id.caFile, id.file} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// load reads both files and checks that they belong together; it requires mu.
func (id *identity) load() error {
	ca, err := os.ReadFile(id.caFile)
	if err != nil {
		return &IdentityError{File: id.caFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return &IdentityError{File: id.caFile, Err: &NoCertificateError{}}
	}
	data, err := os.ReadFile(id.file)
	if err != nil {
		return &IdentityError{File: id.file, Err: err}
	}
	certificate, err := tls.X509KeyPair(data, data)
	if err != nil {
		return &IdentityError{File: id.file, Err: err}
	}
	_, err = certificate.Leaf.Verify(x509.VerifyOptions{
		DNSName:   string(id.host),
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return &IdentityError{File: id.file, Err: err}
	}
	id.pool, id.certificate = pool, certificate
	return nil
}

// current returns the files' contents. Files that cannot be used leave the ones before in effect.
func (id *identity) current() (tls.Certificate, *x509.CertPool) {
	id.mu.Lock()
	defer id.mu.Unlock()
	if stamp := id.stamps(); stamp != id.stamp {
		id.stamp = stamp
		if err := id.load(); err != nil {
			id.logger.Error("identity not reloaded", "error", err)
		} else {
			id.logger.Info("identity reloaded", "file", id.file)
		}
	}
	return id.certificate, id.pool
}

func (id *identity) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := id.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{protocol},
				Certificates:           []tls.Certificate{certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              pool,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

func (id *identity) client(host ident.HostID) *tls.Config {
	certificate, pool := id.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ServerName:   string(host),
	}
}

// hostOf returns the host that a certificate verified by TLS belongs to.
func hostOf(state tls.ConnectionState) (ident.HostID, error) {
	if len(state.PeerCertificates) == 0 {
		return "", &NoCertificateError{}
	}
	names := state.PeerCertificates[0].DNSNames
	if len(names) != 1 {
		return "", &NamesError{Names: names}
	}
	return ident.HostID(names[0]), nil
}

// IdentityError reports a file of the identity that cannot be used.
type IdentityError struct {
	File string
	Err  error
}

// Error implements error.
func (e *IdentityError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *IdentityError) Unwrap() error { return e.Err }

// NoCertificateError reports a missing certificate.
type NoCertificateError struct{}

// Error implements error.
func (*NoCertificateError) Error() string { return "no certificate" }

// NamesError reports a certificate that does not name exactly one host.
type NamesError struct{ Names []string }

// Error implements error.
func (e *NamesError) Error() string { return fmt.Sprintf("certificate with names %q", e.Names) }
