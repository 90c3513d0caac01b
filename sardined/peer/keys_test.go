package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testCA is a certificate authority that writes its files to a temporary directory of the test.
type testCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t testing.TB) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "ca"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assertNoError(t, err)
	cert, err := x509.ParseCertificate(der)
	assertNoError(t, err)
	a := &testCA{dir: t.TempDir(), cert: cert, key: key}
	a.writeFile(t, "ca.pem", pemBlock("CERTIFICATE", der))
	return a
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// writeFile creates or replaces a file in the directory.
func (a *testCA) writeFile(t testing.TB, name string, data []byte) {
	t.Helper()
	// The file is replaced atomically, as operators' tools do.
	temporary := filepath.Join(a.dir, name+".new")
	assertNoError(t, os.WriteFile(temporary, data, 0o600))
	assertNoError(t, os.Rename(temporary, a.path(name)))
}

func (a *testCA) path(name string) string { return filepath.Join(a.dir, name) }

// issueIdentity writes the identity file of a host, with a new certificate and key.
func (a *testCA) issueIdentity(t testing.TB, host string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assertNoError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	assertNoError(t, err)
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: host},
		DNSNames:     []string{host},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assertNoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assertNoError(t, err)
	a.writeFile(t, host+".pem", append(pemBlock("CERTIFICATE", der), pemBlock("PRIVATE KEY", private)...))
}

func assertNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
