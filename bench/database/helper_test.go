package database_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/group"
)

const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startService(t *testing.T, cfg database.Config, names ...group.Server) database.Service {
	t.Helper()
	cfg.Service = "inventario-1"
	service, err := database.StartService(cfg, names...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := service.Close(); err != nil {
			t.Error(err)
		}
	})
	return service
}

func startServer(t *testing.T, cfg database.Config) *database.Server {
	t.Helper()
	return startService(t, cfg, "inv1-a")[0]
}

func dial(ctx context.Context, server *database.Server, user string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/inventario-1?sslmode=disable", user, server.Address()))
}

func connect(ctx context.Context, t *testing.T, server *database.Server, user string) *pgx.Conn {
	t.Helper()
	conn, err := dial(ctx, server, user)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// connectScoped opens a connection and sets its scope.
func connectScoped(ctx context.Context, t *testing.T, s *database.Server, slot, term int, access string) *pgx.Conn {
	t.Helper()
	conn := connect(ctx, t, s, database.UserSystem)
	setScope(ctx, t, conn, "florists", slot, term, access)
	return conn
}

func setScope(ctx context.Context, t *testing.T, conn *pgx.Conn, workspace string, slot, term int, access string) {
	t.Helper()
	text := fmt.Sprintf("SET lentilwind.workspace = '%s'; SET lentilwind.slot = '%d'; "+
		"SET lentilwind.term = '%d'; SET lentilwind.access = '%s'", workspace, slot, term, access)
	if _, err := conn.PgConn().Exec(ctx, text).ReadAll(); err != nil {
		t.Fatal(err)
	}
}

func mustExec(ctx context.Context, t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(ctx, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func errorCode(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}

func wantCode(t *testing.T, err error, want string) {
	t.Helper()
	if got := errorCode(err); got != want {
		t.Errorf("got %s, want SQLSTATE %s", got, want)
	}
}

// reportedStatus returns the status that the server last sent to the connection.
func reportedStatus(t *testing.T, conn *pgx.Conn) group.Status {
	t.Helper()
	status, err := group.ParseStatus(conn.PgConn().ParameterStatus("lentilwind.position"))
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// waitForStatus polls the status of a slot until it meets a condition.
func waitForStatus(ctx context.Context, t *testing.T, s *database.Server, slot group.Slot, met func(group.Status) bool) group.Status {
	t.Helper()
	var status group.Status
	eventually(ctx, t, func() bool {
		var ok bool
		status, ok = s.Status(slot)
		return ok && met(status)
	})
	return status
}

// eventually polls until a condition is met.
func eventually(ctx context.Context, t *testing.T, met func() bool) {
	t.Helper()
	for !met() {
		select {
		case <-ctx.Done():
			t.Fatal("the condition was not met in time")
		case <-time.After(time.Millisecond):
		}
	}
}

func countRows(ctx context.Context, t *testing.T, conn *pgx.Conn, table, key string) int64 {
	t.Helper()
	var n int64
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM "+table+" WHERE key = $1", key).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}
