package tests_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Timeouts that end hanging tests; they are not performance targets.
const (
	waitTimeout    = 60 * time.Second
	attemptTimeout = 15 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// Targets that users are promised.
const (
	failoverTarget   = 19 * time.Second
	withdrawalTarget = 12 * time.Second
)

const workspace = "stalls"

// smallLayout returns the Tres Ríos layout reduced to one service and four entries.
func smallLayout() fleet.Layout {
	layout := fleet.TresRios()
	layout.Services, layout.Entries = 1, 4
	return layout
}

// startFleet runs a fleet for one test and keeps its files if the test fails.
func startFleet(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	return startFleetWith(t, layout, fleet.Options{Relays: true})
}

// startFleetWith is startFleet with the given options; it sets the folders itself.
func startFleetWith(t *testing.T, layout fleet.Layout, options fleet.Options) *fleet.Fleet {
	t.Helper()
	dir, err := os.MkdirTemp("", "lentilwind-test-")
	if err != nil {
		t.Fatal(err)
	}
	bin, err := filepath.Abs("../out/bin")
	if err != nil {
		t.Fatal(err)
	}
	options.BinDir, options.Dir = bin, dir
	f, err := fleet.Start(t.Context(), layout, options)
	if err != nil {
		t.Fatalf("%v (files in %s)", err, dir)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Logf("closing the fleet: %v", err)
		}
		if t.Failed() || os.Getenv("LENTILWIND_KEEP") != "" {
			t.Logf("the fleet's files are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return f
}

// withTimeout returns a context that expires after limit.
func withTimeout(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// eventually repeats a check until it passes, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}

// session is a caller's session that keeps its token across connections.
type session struct {
	t     *testing.T
	f     *fleet.Fleet
	conn  *pgx.Conn
	token string
}

// dial connects to an entry with a workspace's first key; token, if set, continues the session of an earlier connection.
func dial(ctx context.Context, f *fleet.Fleet, entry int, name inventory.WorkspaceName, token string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("host=127.0.0.1 sslmode=disable user=%s database=%s-1", name, f.Layout.Prefix))
	if err != nil {
		return nil, err
	}
	address := f.Entries[entry].Callers
	cfg.Host, cfg.Port, cfg.Password = address.Addr().String(), address.Port(), f.Keys[name].Key
	if token != "" {
		cfg.RuntimeParams["lentilwind.session"] = token
	}
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(f.ClientAddress(), 0))}
	cfg.DialFunc = dialer.DialContext
	return pgx.ConnectConfig(ctx, cfg)
}

func connect(t *testing.T, f *fleet.Fleet, entry int) *session {
	t.Helper()
	s := &session{t: t, f: f}
	s.reconnect(entry)
	return s
}

// reconnect connects to another entry with the session's token.
func (s *session) reconnect(entry int) {
	s.t.Helper()
	if s.conn != nil {
		s.close()
	}
	eventually(s.t, "connect", func() error {
		ctx, cancel := context.WithTimeout(s.t.Context(), attemptTimeout)
		defer cancel()
		conn, err := dial(ctx, s.f, entry, workspace, s.token)
		if err != nil {
			return err
		}
		s.conn = conn
		return nil
	})
	s.t.Cleanup(s.close)
}

func (s *session) close() {
	if token := s.conn.PgConn().ParameterStatus("lentilwind.session"); token != "" {
		s.token = token
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
}

// write inserts one row and returns the error that the caller receives.
func (s *session) write(id, key string) error {
	return insert(s.t.Context(), s.conn, id, key)
}

func insert(ctx context.Context, conn *pgx.Conn, id, key string) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := conn.Exec(ctx, fmt.Sprintf("/*route='restock',key='%s'*/ INSERT INTO journal (id, key, value) VALUES ($1, $2, $3)", key), id, key, int64(1))
	return err
}

// count returns the number of rows with a key, read through the lookup route.
func (s *session) count(key string) (int64, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), attemptTimeout)
	defer cancel()
	var n int64
	err := s.conn.QueryRow(ctx, fmt.Sprintf("/*route='lookup',key='%s'*/ SELECT count(*) FROM journal WHERE key = $1", key), key).Scan(&n)
	return n, err
}

// sqlState returns the SQLSTATE of an error, or "" if it has none.
func sqlState(err error) string {
	var failed *pgconn.PgError
	if errors.As(err, &failed) {
		return failed.Code
	}
	return ""
}

// notRun reports whether an error guarantees that the request was not run.
func notRun(err error) bool {
	switch sqlState(err) {
	case "LW001", "LW003", "LW004", "LW005":
		return true
	}
	return false
}

// databaseEvents returns the recorded events of all backend servers.
func databaseEvents(t *testing.T, f *fleet.Fleet) []history.DatabaseEvent {
	t.Helper()
	var all []history.DatabaseEvent
	for _, d := range f.Databases {
		list, err := history.Read[history.DatabaseEvent](d.RecordFile)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, list...)
	}
	return all
}

// countCommits counts the transactions that changed a row with the given id on a primary.
func countCommits(list []history.DatabaseEvent, id string) int {
	n := 0
	for _, d := range list {
		if d.Kind != history.DatabaseCommitted || d.Role != group.RolePrimary {
			continue
		}
		for _, c := range d.Changes {
			if c.ID == id {
				n++
			}
		}
	}
	return n
}
