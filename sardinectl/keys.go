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
	// backdate allows for clocks that disagree.
	backdate = 5 * time.Minute
	year     = 365 * 24 * time.Hour
)

func keysCACommand() command {
	return command{
		name:     "keys ca",
		summary:  "Print the certificate and key of a new certification authority for the links between hosts",
		examples: []string{"keys ca > site-ca.pem", "keys ca -site hofbauer -validity 43800h > site-ca.pem"},
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			site := flags.String("site", "sardinecross", "`NAME` of the site")
			validity := flags.Duration("validity", 5*year, "time until the certificate expires")
			return func(context.Context, []string) error {
				template := newTemplate(*site, *validity)
				template.IsCA = true
				template.BasicConstraintsValid = true
				template.MaxPathLenZero = true
				template.KeyUsage = x509.KeyUsageCertSign
				return t.issue(template, nil)
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
				return t.issueHost(*ca, *id, *address, *validity)
			}
		},
	}
}

func (t *tool) issueHost(caFile, id, address string, validity time.Duration) error {
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
	template := newTemplate(id, validity)
	template.DNSNames = []string{id}
	template.IPAddresses = []net.IP{ip.AsSlice()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return t.issue(template, ca)
}

func loadCA(file string) (*tls.Certificate, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &pemError{File: file, Err: err}
	}
	ca, err := tls.X509KeyPair(data, data)
	if err != nil {
		return nil, &pemError{File: file, Err: err}
	}
	if !ca.Leaf.IsCA {
		return nil, &pemError{File: file, Err: &notCAError{}}
	}
	return &ca, nil
}

func newTemplate(name string, validity time.Duration) *x509.Certificate {
	var serial [16]byte
	// Read never fails.
	_, _ = rand.Read(serial[:])
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial[:]),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-backdate),
		NotAfter:     time.Now().Add(validity),
	}
}

// issue prints a certificate for a new key, signed by the CA or, without one, by itself.
func (t *tool) issue(template *x509.Certificate, ca *tls.Certificate) error {
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
