package linktest

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
)

// Fleet issues the certificates of one test.
type Fleet struct {
	t         testing.TB
	authority identity.KeyPair
}

// New returns a fleet with a new authority.
func New(t testing.TB) *Fleet {
	t.Helper()
	authority, err := identity.NewAuthority("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &Fleet{t: t, authority: authority}
}

// Endpoint opens an endpoint on a free port without serving it.
func (f *Fleet) Endpoint(name string, role identity.Role) *link.Endpoint {
	f.t.Helper()
	signer, err := identity.LoadAuthority(f.authority)
	if err != nil {
		f.t.Fatal(err)
	}
	pair, err := signer.Issue(name, role, nil, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	source, err := identity.Load(identity.Files{
		Authority:   f.write("authority.pem", f.authority.Certificate),
		Certificate: f.write("certificate.pem", pair.Certificate),
		Key:         f.write("key.pem", pair.Key),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	endpoint, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: inventory.InstanceName(name), Incarnation: 1,
		Identity: source, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return endpoint
}

func (f *Fleet) write(name string, data []byte) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// Serve serves an endpoint until the test ends.
func (f *Fleet) Serve(e *link.Endpoint) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
}
