package tests_test

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"testing"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/instance/identity"
)

func TestKeysAreAcceptedOverTLSOnly(t *testing.T) {
	f := startFleetWith(t, smallLayout(), fleet.Options{RequireTLS: true})
	if conn, err := dial(withTimeout(t, attemptTimeout), f, 0, workspace, ""); err == nil {
		_ = conn.Close(t.Context())
		t.Error("a key was accepted over plain text")
	}
	authority, err := os.ReadFile(f.AuthorityFile())
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority)
	cfg, err := pgx.ParseConfig("host=127.0.0.1 sslmode=disable user=" + workspace + " database=" + f.Layout.Prefix + "-1")
	if err != nil {
		t.Fatal(err)
	}
	address := f.Entries[0].Callers
	cfg.Host, cfg.Port, cfg.Password = address.Addr().String(), address.Port(), f.Keys[workspace].Key
	cfg.TLSConfig = &tls.Config{RootCAs: roots, ServerName: identity.ServerName, MinVersion: tls.VersionTLS13}
	conn, err := pgx.ConnectConfig(withTimeout(t, attemptTimeout), cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(t.Context()) }()
	if err := insert(t.Context(), conn, "over-tls", "crate"); err != nil {
		t.Fatal(err)
	}
	if n := countCommits(databaseEvents(t, f), "over-tls"); n != 1 {
		t.Errorf("the row was committed %d times", n)
	}
}
