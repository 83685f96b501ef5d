package database_test

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
)

// A replica that waits for a reply from a silent primary must leave it as soon as it is told to follow another.
func TestNewSourceEndsConnectionToSilentPrimary(t *testing.T) {
	ctx := testContext(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	service := startService(t, database.Config{LinkTimeout: jsonc.Duration(time.Hour)}, "a", "b", "c")
	b, c := connect(ctx, t, service[1], database.UserMonitor), connect(ctx, t, service[2], database.UserMonitor)
	for _, sql := range []string{"SELECT lentilwind_fence(0, 2)", "SELECT lentilwind_promote(0, 2, 0)"} {
		if _, err := statusRow(ctx, b, sql); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := statusRow(ctx, c, "SELECT lentilwind_follow(0, 2, $1)", silent.Addr().String()); err != nil {
		t.Fatal(err)
	}
	link, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = link.Close() }()
	primary := pgproto3.NewBackend(link, link)
	if _, err := primary.ReceiveStartupMessage(); err != nil {
		t.Fatal(err)
	}
	if _, err := primary.Receive(); err != nil {
		t.Fatal(err)
	}
	if _, err := statusRow(ctx, c, "SELECT lentilwind_follow(0, 2, $1)", service[1].Address()); err != nil {
		t.Fatal(err)
	}
	waitForStatus(ctx, t, service[2], 0, func(s group.Status) bool { return s.Term == 2 })
}

func TestConnectionsReportServerName(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{}, "a", "b")
	for i, want := range []string{"a", "b"} {
		for _, user := range []string{database.UserSystem, database.UserMonitor} {
			conn := connect(ctx, t, service[i], user)
			if got := conn.PgConn().ParameterStatus("lentilwind.server"); got != want {
				t.Errorf("the server name reported to %s is %q, want %q", user, got, want)
			}
		}
	}
}
