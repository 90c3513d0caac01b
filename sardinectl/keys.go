package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"flag"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"time"
)

const (
	// backdate is how long before its creation a certificate becomes valid, so that hosts whose clocks are behind accept it.
	backdate = 5 * time.Minute
	year     = 365 * 24 * time.Hour
)

func keysCACommand() command {
	return command{
		name:     "keys ca",
		summary:  "Print the certificate and key of a new certification authority for the links between hosts",
		examples: []string{"keys ca > site-ca.pem", "keys ca -site hofbauer -validity 43800h > site-ca.pem"},
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			site := flags.String("site", "sardinecross", "`NAME` of the site, used as the common name of the certificate")
			validity := flags.Duration("validity", 5*year, "time until the certificate expires")
			return func(context.Context, []string) error {
				template := newCertificateTemplate(*site, *validity)
				template.IsCA = true
				template.BasicConstraintsValid = true
				template.MaxPathLenZero = true
				template.KeyUsage = x509.KeyUsageCertSign
				return t.issueCertificate(template, nil)
			}
		},
	}
}

func keysHostCommand() command {
	return command{
		name:     "keys host",
		args:     "-ca FILE -id ID -address IP",
		summary:  "Print a certificate and key for one host; hosts get only the certificate of the CA, never its key",
		examples: []string{"keys host -ca site-ca.pem -id passau-1 -address 127.0.1.1 > passau-1.pem"},
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			ca := flags.String("ca", "", "`FILE` with the certificate and key of the CA")
			id := flags.String("id", "", "`ID` of the host")
			address := flags.String("address", "", "`IP` of the host")
			validity := flags.Duration("validity", year, "time until the certificate expires")
			return func(context.Context, []string) error {
				return t.issueHostCertificate(*ca, *id, *address, *validity)
			}
		},
	}
}

func (t *tool) issueHostCertificate(caFile, id, address string, validity time.Duration) error {
	if caFile == "" || id == "" {
		return &usageError{Problem: "-ca FILE and -id ID are required"}
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return &usageError{Problem: "-address must be an IP address"}
	}
	ca, err := loadCA(caFile)
	if err != nil {
		return err
	}
	template := newCertificateTemplate(id, validity)
	template.DNSNames = []string{id}
	template.IPAddresses = []net.IP{ip.AsSlice()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return t.issueCertificate(template, ca)
}

func loadCA(file string) (*tls.Certificate, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &caFileError{File: file, Err: err}
	}
	ca, err := tls.X509KeyPair(data, data)
	if err != nil {
		return nil, &caFileError{File: file, Err: err}
	}
	if !ca.Leaf.IsCA {
		return nil, &caFileError{File: file, Err: &notCAError{}}
	}
	return &ca, nil
}

func newCertificateTemplate(name string, validity time.Duration) *x509.Certificate {
	var serial [16]byte
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(serial[:])
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial[:]),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-backdate),
		NotAfter:     time.Now().Add(validity),
	}
}

// issueCertificate generates a key and prints the key and its certificate, signed by the CA or, if ca is nil,
// self-signed.
func (t *tool) issueCertificate(template *x509.Certificate, ca *tls.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	parent, signer := template, any(key)
	if ca != nil {
		parent, signer = ca.Leaf, ca.PrivateKey
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(t.stdout, pem.Block{Type: "CERTIFICATE", Bytes: certificate}, pem.Block{Type: "PRIVATE KEY", Bytes: private})
}

func writePEM(w io.Writer, blocks ...pem.Block) error {
	for _, b := range blocks {
		if err := pem.Encode(w, &b); err != nil {
			return err
		}
	}
	return nil
}
