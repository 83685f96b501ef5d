package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files of one process's identity.
type Files struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Peer is the verified identity of the other end of a connection.
type Peer struct {
	Name string
	Role Role
}

// Source provides TLS configurations that use renewed certificate files without a restart.
type Source struct {
	files Files
	roots *x509.CertPool

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified time.Time
}

// Load reads the identity files and checks that the certificate matches the key.
func Load(files Files) (*Source, error) {
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("identity: authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("identity: %s holds no certificate", files.Authority)
	}
	s := &Source{files: files, roots: roots}
	if _, err := s.certificate(); err != nil {
		return nil, err
	}
	return s, nil
}

// certificate returns the current certificate and reloads the files if they have changed.
func (s *Source) certificate() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.files.Certificate)
	if s.loaded != nil && (err != nil || info.ModTime().Equal(s.modified)) {
		return s.loaded, nil
	}
	if err != nil {
		return nil, fmt.Errorf("identity: certificate: %w", err)
	}
	loaded, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil && s.loaded != nil {
		return s.loaded, nil
	}
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	s.loaded, s.modified = &loaded, info.ModTime()
	return s.loaded, nil
}

// Server returns the TLS configuration of a listener that requires a client certificate of the fleet.
func (s *Source) Server(protocols ...string) *tls.Config {
	cfg := s.ServerWithoutClientAuth(protocols...)
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = s.roots
	return cfg
}

// ServerWithoutClientAuth returns the TLS configuration of a listener that requires no client certificate.
func (s *Source) ServerWithoutClientAuth(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate()
		},
	}
}

// Client returns the TLS configuration for connecting to another process of the fleet.
func (s *Source) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		RootCAs:    s.roots,
		ServerName: ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate()
		},
	}
}

// Expiry returns the expiry time of the current certificate.
func (s *Source) Expiry() (time.Time, error) {
	certificate, err := s.certificate()
	if err != nil {
		return time.Time{}, err
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return time.Time{}, fmt.Errorf("identity: %w", err)
	}
	return leaf.NotAfter, nil
}

// PeerOf returns the verified identity of the peer of a TLS connection.
func PeerOf(state tls.ConnectionState) (Peer, error) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return Peer{}, errors.New("identity: the peer presented no verified certificate")
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return Peer{}, fmt.Errorf("identity: the certificate of %q has no role", subject.CommonName)
	}
	return Peer{Name: subject.CommonName, Role: Role(subject.OrganizationalUnit[0])}, nil
}
