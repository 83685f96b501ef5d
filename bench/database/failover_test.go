package database_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
)

const insertJournal = "INSERT INTO journal (id, key, value) VALUES ($1, 'k', 1)"

// hasApplied reports whether exactly the given number of records is received and applied.
func hasApplied(n group.Position) func(group.Status) bool {
	return func(s group.Status) bool { return s.Received == n && s.Applied == n }
}

// hasAppliedInTerm is hasApplied for a member that reports the given term.
func hasAppliedInTerm(term group.Term, n group.Position) func(group.Status) bool {
	return func(s group.Status) bool { return s.Term == term && s.Received == n && s.Applied == n }
}

// statusRow reads the row that a monitoring function returns.
func statusRow(ctx context.Context, conn *pgx.Conn, sql string, args ...any) (group.Status, error) {
	var s group.Status
	var role string
	var slot, term, fenced, received, applied, age int64
	err := conn.QueryRow(ctx, sql, args...).Scan(&slot, &role, &term, &fenced, &received, &applied, &age)
	s.Slot, s.Role = group.Slot(slot), group.Role(role)
	s.Term, s.FencedTerm = group.Term(term), group.Term(fenced)
	s.Received, s.Applied = group.Position(received), group.Position(applied)
	s.Lag = time.Duration(age) * time.Millisecond
	return s, err
}

func TestReplicasFollowThePrimary(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{}, "a", "b", "c")
	conn := connectScoped(ctx, t, service[1], 1, 1, "write")
	for i := range 10 {
		mustExec(ctx, t, conn, insertJournal, fmt.Sprint("op-", i))
	}
	for _, s := range []*database.Server{service[0], service[2]} {
		waitForStatus(ctx, t, s, 1, hasApplied(10))
		waitForStatus(ctx, t, s, 1, func(st group.Status) bool { return st.Lag < time.Second && st.Role == group.RoleReplica })
		if n := countRows(ctx, t, connectScoped(ctx, t, s, 1, 1, "read"), "journal", "k"); n != 10 {
			t.Errorf("a replica shows %d rows, want 10", n)
		}
	}
	_, err := connectScoped(ctx, t, service[0], 1, 1, "write").Exec(ctx, "SELECT 1")
	wantCode(t, err, "25006")
}

func TestApplyDelayHidesRecords(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{ApplyDelay: jsonc.Duration(time.Hour)}, "a", "b")
	mustExec(ctx, t, connectScoped(ctx, t, service[0], 0, 1, "write"), insertJournal, "op-1")
	status := waitForStatus(ctx, t, service[1], 0, func(s group.Status) bool { return s.Received == 1 })
	if status.Applied != 0 {
		t.Errorf("a delayed record is visible: %v", status)
	}
}

func TestPausedReplicationIncreasesLag(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{}, "a", "b")
	mustExec(ctx, t, connectScoped(ctx, t, service[0], 0, 1, "write"), insertJournal, "op-1")
	waitForStatus(ctx, t, service[1], 0, hasApplied(1))
	service[0].SetFaults(func(f *database.Faults) { f.PauseReplication = true })
	waitForStatus(ctx, t, service[1], 0, func(s group.Status) bool { return s.Lag > 200*time.Millisecond })
	mustExec(ctx, t, connectScoped(ctx, t, service[0], 0, 1, "write"), insertJournal, "op-2")
	service[0].SetFaults(func(f *database.Faults) { f.PauseReplication = false })
	waitForStatus(ctx, t, service[1], 0, hasApplied(2))
}

func TestFailoverTruncatesDivergentTail(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{}, "a", "b", "c")
	old := connectScoped(ctx, t, service[0], 0, 1, "write")
	mustExec(ctx, t, old, insertJournal, "shared")
	waitForStatus(ctx, t, service[1], 0, hasApplied(1))
	waitForStatus(ctx, t, service[2], 0, hasApplied(1))
	service[0].SetFaults(func(f *database.Faults) { f.PauseReplication = true })
	mustExec(ctx, t, old, insertJournal, "lost-1")
	mustExec(ctx, t, old, insertJournal, "lost-2")

	b := connect(ctx, t, service[1], database.UserMonitor)
	c := connect(ctx, t, service[2], database.UserMonitor)
	for _, conn := range []*pgx.Conn{b, c} {
		status, err := statusRow(ctx, conn, "SELECT lentilwind_fence(0, 2)")
		if err != nil || status.Received != 1 || status.FencedTerm != 2 || status.Term != 1 {
			t.Fatalf("fence returned %v, %v", status, err)
		}
	}
	_, err := statusRow(ctx, b, "SELECT lentilwind_fence(0, 1)")
	wantCode(t, err, "55000")
	_, err = statusRow(ctx, b, "SELECT lentilwind_promote(0, 2, 2)")
	wantCode(t, err, "55000")
	_, err = statusRow(ctx, b, "SELECT lentilwind_promote(0, 3, 1)")
	wantCode(t, err, "55000")
	for range 2 {
		status, err := statusRow(ctx, b, "SELECT lentilwind_promote(0, 2, 1)")
		if err != nil || status.Role != group.RolePrimary || status.Term != 2 {
			t.Fatalf("promote returned %v, %v", status, err)
		}
	}
	if _, err := statusRow(ctx, c, "SELECT lentilwind_follow(0, 2, $1)", service[1].Address()); err != nil {
		t.Fatal(err)
	}
	waitForStatus(ctx, t, service[2], 0, hasAppliedInTerm(2, 1))
	mustExec(ctx, t, connectScoped(ctx, t, service[1], 0, 2, "write"), insertJournal, "kept")
	waitForStatus(ctx, t, service[2], 0, hasAppliedInTerm(2, 2))

	a := connect(ctx, t, service[0], database.UserMonitor)
	status, err := statusRow(ctx, a, "SELECT lentilwind_follow(0, 2, $1)", service[1].Address())
	if err != nil || status.Role != group.RoleReplica {
		t.Fatalf("follow returned %v, %v", status, err)
	}
	waitForStatus(ctx, t, service[0], 0, hasAppliedInTerm(2, 2))
	_, err = old.Exec(ctx, insertJournal, "late")
	wantCode(t, err, "25006")
	rows, err := connectScoped(ctx, t, service[0], 0, 2, "read").Query(ctx, "SELECT id FROM journal")
	if err != nil {
		t.Fatal(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil || fmt.Sprint(ids) != "[shared kept]" {
		t.Errorf("the old primary shows %v, %v", ids, err)
	}
}

func TestFencedPrimaryDoesNotCommitAnOpenTransaction(t *testing.T) {
	ctx := testContext(t)
	server := startServer(t, database.Config{})
	conn := connectScoped(ctx, t, server, 0, 1, "write")
	mustExec(ctx, t, conn, "BEGIN")
	mustExec(ctx, t, conn, insertJournal, "op-1")
	monitor := connect(ctx, t, server, database.UserMonitor)
	if _, err := statusRow(ctx, monitor, "SELECT lentilwind_fence(0, 2)"); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Exec(ctx, "COMMIT")
	wantCode(t, err, "25006")
	if status := conn.PgConn().TxStatus(); status != 'I' {
		t.Errorf("the transaction status is %c, want I", status)
	}
	if n := countRows(ctx, t, connectScoped(ctx, t, server, 0, 1, "read"), "journal", "k"); n != 0 {
		t.Errorf("%d rows were committed", n)
	}
}

func TestWaitReturnsOncePositionIsReached(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{}, "a", "b")
	monitor := connect(ctx, t, service[1], database.UserMonitor)
	if _, err := monitor.Exec(ctx, "SELECT * FROM lentilwind_wait(0, 1, 1)"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan int64, 1)
	go func() {
		var n int64
		rows, _ := monitor.Query(ctx, "SELECT * FROM lentilwind_wait(0, 1, 20000)")
		for rows.Next() {
			values, err := rows.Values()
			if err == nil && values[0] == int64(0) {
				n = values[4].(int64)
			}
		}
		answered <- n
	}()
	mustExec(ctx, t, connectScoped(ctx, t, service[0], 0, 1, "write"), insertJournal, "op-1")
	if n := <-answered; n != 1 {
		t.Errorf("the received position is %d, want 1", n)
	}
}

func TestCrashLosesOnlyNonDurableWrites(t *testing.T) {
	for name, folder := range map[string]string{"memory": "", "disk": t.TempDir()} {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			server := startServer(t, database.Config{DataFolder: folder})
			conn := connectScoped(ctx, t, server, 0, 1, "write")
			mustExec(ctx, t, conn, insertJournal, "kept")
			server.SetFaults(func(f *database.Faults) { f.HoldSync = true })
			ended := make(chan error, 1)
			go func() {
				_, err := conn.Exec(ctx, insertJournal, "lost")
				ended <- err
			}()
			eventually(ctx, t, func() bool { return server.HasReceived("lost") })
			if err := server.Crash(); err != nil {
				t.Fatal(err)
			}
			if err := <-ended; err == nil {
				t.Error("a write that is not durable was acknowledged")
			}
			server.SetFaults(func(f *database.Faults) { f.HoldSync = false })
			if err := server.Restart(); err != nil {
				t.Fatal(err)
			}
			again := connectScoped(ctx, t, server, 0, 1, "write")
			if n := countRows(ctx, t, again, "journal", "k"); n != 1 {
				t.Errorf("%d rows survived the crash, want 1", n)
			}
			mustExec(ctx, t, again, insertJournal, "after")
		})
	}
}

func TestFencedTermSurvivesCrashes(t *testing.T) {
	ctx := testContext(t)
	service := startService(t, database.Config{}, "a", "b")
	mustExec(ctx, t, connectScoped(ctx, t, service[0], 0, 1, "write"), insertJournal, "op-1")
	waitForStatus(ctx, t, service[1], 0, hasApplied(1))
	for i, s := range service {
		monitor := connect(ctx, t, s, database.UserMonitor)
		if _, err := statusRow(ctx, monitor, "SELECT lentilwind_fence(0, 5)"); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			if _, err := statusRow(ctx, monitor, "SELECT lentilwind_promote(0, 5, 1)"); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Crash(); err != nil {
			t.Fatal(err)
		}
		if err := s.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	_, err := connectScoped(ctx, t, service[0], 0, 1, "write").Exec(ctx, insertJournal, "late")
	wantCode(t, err, "25006")
	mustExec(ctx, t, connectScoped(ctx, t, service[1], 0, 5, "write"), insertJournal, "op-2")
	monitor := connect(ctx, t, service[0], database.UserMonitor)
	if _, err := statusRow(ctx, monitor, "SELECT lentilwind_follow(0, 5, $1)", service[1].Address()); err != nil {
		t.Fatal(err)
	}
	waitForStatus(ctx, t, service[0], 0, hasAppliedInTerm(5, 2))
	if err := service[0].Crash(); err != nil {
		t.Fatal(err)
	}
	mustExec(ctx, t, connectScoped(ctx, t, service[1], 0, 5, "write"), insertJournal, "op-3")
	if err := service[0].Restart(); err != nil {
		t.Fatal(err)
	}
	waitForStatus(ctx, t, service[0], 0, hasAppliedInTerm(5, 3))
}
