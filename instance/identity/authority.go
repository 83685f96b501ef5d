package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"time"
)

// Role determines what the holder of a certificate is authorized to do.
type Role string

// The roles of certificates.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleOperator Role = "operator"
)

// ServerName is the DNS name in every certificate; clients verify it instead of addresses, which change.
const ServerName = "fleet.lentilwind.internal"

const (
	// AuthorityLifetime is the lifetime of an authority's certificate.
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	// clockTolerance is how far a certificate's validity begins in the past, so that processes with a slow clock accept it.
	clockTolerance = 5 * time.Minute
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	serialBits       = 120
)

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of one fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates the authority of a fleet.
func NewAuthority(fleet string, now time.Time) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("identity: %w", err)
	}
	template, err := newTemplate(pkix.Name{CommonName: fleet, Organization: []string{"lentilwind"}}, now, AuthorityLifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return encodePair(template, template, key, key)
}

// LoadAuthority decodes an authority from PEM.
func LoadAuthority(pair KeyPair) (*Authority, error) {
	certificate, err := parseCertificate(pair.Certificate)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(pair.Key)
	if block == nil {
		return nil, errors.New("identity: the authority's key file holds no PEM block")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("identity: authority key: %w", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("identity: the authority's key is not an ECDSA key")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a key and signs a certificate for it that names one instance or operator.
func (a *Authority) Issue(name string, role Role, addresses []netip.Addr, now time.Time, lifetime time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("identity: %w", err)
	}
	template, err := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}}, now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{ServerName}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	return encodePair(template, a.certificate, key, a.key)
}

func newTemplate(subject pkix.Name, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func encodePair(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, fmt.Errorf("identity: sign: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("identity: encode key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}

func parseCertificate(data []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != certificateBlock {
		return nil, errors.New("identity: no PEM certificate found")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return certificate, nil
}
