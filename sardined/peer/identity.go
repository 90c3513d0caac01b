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

// protocol is the application protocol that both hosts negotiate in the TLS handshake (ALPN).
const protocol = "sardinecross/1"

// identity holds the site's CA certificates and the certificate and key of this host. Changed files take effect with
// the next handshake.
type identity struct {
	host                 ident.HostID
	caFile, identityFile string
	logger               *slog.Logger

	mu sync.Mutex
	// lastStamps are the stamps of caFile and identityFile at the last attempt to load them.
	lastStamps  [2]fileStamp
	pool        *x509.CertPool
	certificate tls.Certificate
}

// fileStamp tells whether a file was replaced or written: its modification time or size then differs.
type fileStamp struct {
	modified time.Time
	size     int64
}

// loadIdentity reads the identity of host from the two PEM files.
func loadIdentity(host ident.HostID, caFile, identityFile string, logger *slog.Logger) (*identity, error) {
	id := &identity{host: host, caFile: caFile, identityFile: identityFile, logger: logger}
	id.lastStamps = id.statFiles()
	if err := id.load(); err != nil {
		return nil, err
	}
	return id, nil
}

// statFiles returns the stamps of caFile and identityFile; the stamp of a file that cannot be examined is zero.
func (id *identity) statFiles() [2]fileStamp {
	var stamps [2]fileStamp
	for i, name := range []string{id.caFile, id.identityFile} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// load reads both files and checks that the CA issued the certificate for this host. id.mu must be held, except before
// other goroutines can use the identity.
func (id *identity) load() error {
	ca, err := os.ReadFile(id.caFile)
	if err != nil {
		return &IdentityError{File: id.caFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return &IdentityError{File: id.caFile, Err: &NoCertificateError{}}
	}
	data, err := os.ReadFile(id.identityFile)
	if err != nil {
		return &IdentityError{File: id.identityFile, Err: err}
	}
	certificate, err := tls.X509KeyPair(data, data)
	if err != nil {
		return &IdentityError{File: id.identityFile, Err: err}
	}
	_, err = certificate.Leaf.Verify(x509.VerifyOptions{
		DNSName:   string(id.host),
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return &IdentityError{File: id.identityFile, Err: err}
	}
	id.pool, id.certificate = pool, certificate
	return nil
}

// credentials returns this host's certificate and the CA pool, and reloads them first if a file has changed. If the new
// files cannot be used, the certificate and the pool loaded before stay in effect.
func (id *identity) credentials() (tls.Certificate, *x509.CertPool) {
	id.mu.Lock()
	defer id.mu.Unlock()
	if stamp := id.statFiles(); stamp != id.lastStamps {
		id.lastStamps = stamp
		if err := id.load(); err != nil {
			id.logger.Error("identity not reloaded", "error", err)
		} else {
			id.logger.Info("identity reloaded", "file", id.identityFile)
		}
	}
	return id.certificate, id.pool
}

// serverConfig returns the TLS settings of the listener, which requires a client certificate of the site's CA.
func (id *identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := id.credentials()
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

// clientConfig returns the TLS settings for dialling host, whose certificate must carry its name.
func (id *identity) clientConfig(host ident.HostID) *tls.Config {
	certificate, pool := id.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ServerName:   string(host),
	}
}

// hostOf returns the host named by the peer certificate of a connection. TLS has verified the certificate already.
func hostOf(state tls.ConnectionState) (ident.HostID, error) {
	if len(state.PeerCertificates) == 0 {
		return "", &NoCertificateError{}
	}
	names := state.PeerCertificates[0].DNSNames
	if len(names) != 1 {
		return "", &CertificateNamesError{Names: names}
	}
	return ident.HostID(names[0]), nil
}

// IdentityError reports a CA or identity file that cannot be used.
type IdentityError struct {
	File string
	Err  error
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("TLS identity: file %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *IdentityError) Unwrap() error { return e.Err }

// NoCertificateError reports a file or a connection without a certificate.
type NoCertificateError struct{}

// Error implements error.
func (*NoCertificateError) Error() string { return "no certificate found" }

// CertificateNamesError reports a certificate that does not name exactly one host among its DNS names.
type CertificateNamesError struct{ Names []string }

// Error implements error.
func (e *CertificateNamesError) Error() string {
	return fmt.Sprintf("certificate has the DNS names %q, want exactly one", e.Names)
}
