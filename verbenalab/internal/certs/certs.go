// Package certs creates a certificate authority and host certificates for demonstrations and tests.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	defaultValidity = 24 * time.Hour
	serialBits      = 100
)

// Authority is a certificate authority that signs host certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (a *Authority, err error) {
	defer annotate(&err, "make authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("verbenalab authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate, key}, err
}

// WriteCA writes the authority's certificate to a PEM file.
func (a *Authority) WriteCA(path string) (err error) {
	defer annotate(&err, "write authority")
	return writePEM(path, "CERTIFICATE", a.certificate.Raw)
}

// WriteHost writes a new certificate and key of a host into a folder, as HOST.crt and HOST.key.
func (a *Authority) WriteHost(dir string, h ids.HostID) (err error) {
	return a.WriteHostWithExpiry(dir, h, time.Now().Add(defaultValidity))
}

// WriteHostWithExpiry is like WriteHost, for a certificate that expires at notAfter.
func (a *Authority) WriteHostWithExpiry(dir string, h ids.HostID, notAfter time.Time) (err error) {
	defer annotate(&err, "write certificate of "+string(h))
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := newTemplate(string(h))
	template.NotAfter = notAfter
	template.DNSNames = []string{string(h)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, string(h)+".key"), "PRIVATE KEY", raw); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, string(h)+".crt"), "CERTIFICATE", der)
}

func newTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand never returns an error
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(defaultValidity),
	}
}

func writePEM(path, blockType string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
}

func annotate(err *error, action string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", action, *err)
	}
}
