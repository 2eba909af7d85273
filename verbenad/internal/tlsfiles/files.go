// Package tlsfiles loads a host's certificate, its key and the certificate authorities from files, and reloads them
// without a restart.
package tlsfiles

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/quic-go/quic-go"

	"verbenaledge.example/verbena/ids"
)

// Protocol is the name of the daemons' protocol in the TLS handshake (ALPN).
const Protocol = "verbenaledge/1"

// ErrNoHost is returned for a certificate that doesn't name exactly one host.
var ErrNoHost = errors.New("the certificate must name one host in its DNS names")

// ErrWrongHost means that a certificate names another host than the one called.
var ErrWrongHost = errors.New("the certificate names another host")

// Files holds a host's certificate and key, and the authorities that verify other hosts' certificates.
type Files struct {
	certFile, keyFile, caFile string

	mu              sync.RWMutex
	certificate     *tls.Certificate
	authorities     *x509.CertPool
	certificatesPEM string
	keyPEM          string
}

// Open returns the contents of the files, or an error if they can't be read.
func Open(certFile, keyFile, caFile string) (f *Files, err error) {
	f = &Files{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if _, err := f.Reload(); err != nil {
		return nil, err
	}
	return f, nil
}

// Reload reads the files again. If that fails, the contents in use are kept. It reports whether the certificate or the
// authorities changed.
func (f *Files) Reload() (changed bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load certificates: %w", err)
		}
	}()
	cert, err := os.ReadFile(f.certFile)
	if err != nil {
		return false, err
	}
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return false, err
	}
	ca, err := os.ReadFile(f.caFile)
	if err != nil {
		return false, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return false, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return false, fmt.Errorf("%s holds no certificate", f.caFile)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	certificatesPEM := string(cert) + string(ca)
	changed = f.certificatesPEM != "" && f.certificatesPEM != certificatesPEM
	f.certificate, f.authorities, f.certificatesPEM, f.keyPEM = &pair, pool, certificatesPEM, string(key)
	return changed, nil
}

// ResetKey returns a secret for QUIC stateless resets, derived from the host's key. It stays the same over restarts as
// long as the key does.
func (f *Files) ResetKey() *quic.StatelessResetKey {
	f.mu.RLock()
	defer f.mu.RUnlock()
	key := quic.StatelessResetKey(sha256.Sum256([]byte("reset\x00" + f.keyPEM)))
	return &key
}

// ServerConfig returns the configuration for accepting connections of other daemons.
func (f *Files) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			f.mu.RLock()
			defer f.mu.RUnlock()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{Protocol},
				Certificates: []tls.Certificate{*f.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    f.authorities,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for connecting to a host.
func (f *Files) ClientConfig(h ids.HostID) *tls.Config {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{*f.certificate},
		RootCAs:      f.authorities,
		ServerName:   string(h),
	}
}

// HostOf returns the host that the peer's certificate names.
func HostOf(state tls.ConnectionState) (h ids.HostID, err error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) != 1 {
		return "", ErrNoHost
	}
	return ids.HostID(state.PeerCertificates[0].DNSNames[0]), nil
}
