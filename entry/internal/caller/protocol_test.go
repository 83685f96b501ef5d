package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/database"
)

// frontend sends raw protocol messages.
type frontend struct {
	*pgproto3.Frontend
	t *testing.T
}

func (e *testEntry) newFrontend(t *testing.T) *frontend {
	t.Helper()
	hijacked, err := e.connect(t, "").PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = hijacked.Conn.Close() })
	if err := hijacked.Conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &frontend{Frontend: pgproto3.NewFrontend(hijacked.Conn, hijacked.Conn), t: t}
}

// exchange sends messages and returns a description of n answer messages, or of all up to ReadyForQuery if n is 0.
func (f *frontend) exchange(n int, messages ...pgproto3.FrontendMessage) []string {
	f.t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	if err := f.Flush(); err != nil {
		f.t.Fatal(err)
	}
	var got []string
	for n == 0 || len(got) < n {
		m, err := f.Receive()
		if err != nil {
			f.t.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			continue
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Code)
			if n > 0 {
				return got
			}
		case *pgproto3.ReadyForQuery:
			got = append(got, "ready "+string(m.TxStatus))
			if n == 0 {
				return got
			}
		default:
			got = append(got, fmt.Sprintf("%T", m)[len("*pgproto3."):])
		}
	}
	return got
}

func (f *frontend) expect(what string, got []string, want ...string) {
	f.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		f.t.Errorf("%s: %s", what, diff)
	}
}

func parse(sql string) *pgproto3.Parse { return &pgproto3.Parse{Query: sql} }

func TestPipelinedBatches(t *testing.T) {
	f := newFleet(t, nil)
	c := f.newEntry().newFrontend(t)
	bind, execute, sync, flush := &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
	insert := "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('%s', 1)"
	c.expect("begin and statement in one batch",
		c.exchange(0, parse("BEGIN"), bind, execute, parse(fmt.Sprintf(insert, "a")), bind, execute, sync),
		"ParseComplete", "BindComplete", "BEGIN", "ParseComplete", "BindComplete", "INSERT 0 1", "ready T")
	c.expect("commit", c.exchange(0, parse("COMMIT"), bind, execute, sync), "ParseComplete", "BindComplete", "COMMIT", "ready I")
	c.expect("begin alone", c.exchange(0, parse("BEGIN"), bind, &pgproto3.Describe{ObjectType: 'P'}, execute, sync),
		"ParseComplete", "BindComplete", "NoData", "BEGIN", "ready T")
	c.expect("refused in the block", c.exchange(0, &pgproto3.Query{String: "SELECT '" + testKey + "'"}), "LW001", "ready E")
	c.expect("statement in a failed block", c.exchange(0, parse("SELECT 1"), bind, execute, sync), "25P02", "ready E")
	c.expect("end of a failed block", c.exchange(0, parse("ROLLBACK"), bind, execute, sync), "ParseComplete", "BindComplete", "ROLLBACK", "ready I")
	c.expect("flush", c.exchange(3, parse("SELECT 1"), bind, &pgproto3.Describe{ObjectType: 'P'}, flush),
		"ParseComplete", "BindComplete", "RowDescription")
	c.expect("execute after flush", c.exchange(0, execute, sync), "DataRow", "SELECT 1", "ready I")
	c.expect("error before flush", c.exchange(1, parse("SELECT nonsense"), flush), "0A000")
	c.expect("skipped up to sync", c.exchange(0, parse("SELECT 1"), bind, execute, sync), "ready I")
	c.expect("error in a batch", c.exchange(0, parse(fmt.Sprintf(insert, "b")), bind, execute, parse("SELECT nonsense"), bind, execute, sync),
		"ParseComplete", "BindComplete", "INSERT 0 1", "0A000", "ready I")
	c.expect("the batch was rolled back", c.exchange(0, &pgproto3.Query{String: "SELECT key FROM stock WHERE key = 'b'"}),
		"RowDescription", "SELECT 0", "ready I")
	c.expect("unknown statement", c.exchange(0, &pgproto3.Bind{PreparedStatement: "none"}, execute, sync), "26000", "ready I")
	c.expect("state of the connection", c.exchange(0, &pgproto3.Query{String: "DISCARD ALL"}), "DISCARD ALL", "ready I")
	c.expect("after it", c.exchange(0, &pgproto3.Query{String: "SELECT 1"}), "RowDescription", "DataRow", "SELECT 1", "ready I")
	c.expect("function call", c.exchange(0, &pgproto3.FunctionCall{}), "0A000", "ready I")
	c.expect("empty query", c.exchange(0, &pgproto3.Query{}), "EmptyQueryResponse", "ready I")
}

func TestLostPipelineIsUnknownOnceItsSyncWasSent(t *testing.T) {
	f := newFleet(t, nil)
	c := f.newEntry().newFrontend(t)
	bind, execute, sync, flush := &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
	insert := parse("/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)")
	c.expect("flush", c.exchange(3, insert, bind, execute, flush), "ParseComplete", "BindComplete", "INSERT 0 1")
	f.databases[0].DropConnections()
	c.expect("sync", c.exchange(0, sync), "LW002", "ready I")
	c.expect("flush again", c.exchange(3, insert, bind, execute, flush), "ParseComplete", "BindComplete", "INSERT 0 1")
	c.expect("sync commits", c.exchange(0, sync), "ready I")
	c.expect("committed", c.exchange(0, &pgproto3.Query{String: "SELECT key FROM stock"}), "RowDescription", "DataRow", "SELECT 1", "ready I")
	insert = parse("/*route='order'*/ INSERT INTO stock (key, value) VALUES ('b', 1)")
	c.expect("flush a third time", c.exchange(3, insert, bind, execute, flush), "ParseComplete", "BindComplete", "INSERT 0 1")
	c.expect("refused in the pipeline", c.exchange(0, parse("SELECT '"+testKey+"'"), sync), "LW001", "ready I")
	c.expect("after it", c.exchange(0, &pgproto3.Query{String: "SELECT key FROM stock"}), "RowDescription", "DataRow", "SELECT 1", "ready I")
}

// Guards against the promise that a lost transaction is rolled back when its commit was bound in an earlier batch than the one that runs it.
func TestLostCommitOfEarlierPortalIsUnknown(t *testing.T) {
	for _, portal := range []string{"", "p"} {
		t.Run("portal "+portal, func(t *testing.T) {
			f := newFleet(t, nil)
			c := f.newEntry().newFrontend(t)
			sync := &pgproto3.Sync{}
			c.expect("begin", c.exchange(0, &pgproto3.Query{String: "BEGIN"}), "BEGIN", "ready T")
			c.expect("insert", c.exchange(0, &pgproto3.Query{String: "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)"}), "INSERT 0 1", "ready T")
			c.expect("bind", c.exchange(0, parse("COMMIT"), &pgproto3.Bind{DestinationPortal: portal}, sync), "ParseComplete", "BindComplete", "ready T")
			f.databases[0].DropConnections()
			c.expect("commit", c.exchange(0, &pgproto3.Execute{Portal: portal}, sync), "LW002", "ready I")
		})
	}
}

// Guards against an acknowledged commit that no majority holds, because the same batch begins the next block.
func TestCommitThatBeginsTheNextBlockIsNotAcknowledgedUnconfirmed(t *testing.T) {
	bind, execute, sync := &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}
	for name, batch := range map[string][]pgproto3.FrontendMessage{
		"query":    {&pgproto3.Query{String: "COMMIT; BEGIN"}},
		"pipeline": {parse("COMMIT"), bind, execute, parse("BEGIN"), bind, execute, sync},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, nil)
			f.limits.ConfirmTimeout = time.Second
			c := f.newEntry().newFrontend(t)
			insert := &pgproto3.Query{String: "/*route='order'*/ INSERT INTO stock (key, value) VALUES ('a', 1)"}
			c.expect("begin", c.exchange(0, &pgproto3.Query{String: "BEGIN"}), "BEGIN", "ready T")
			c.expect("insert", c.exchange(0, insert), "INSERT 0 1", "ready T")
			f.databases[0].SetFaults(func(faults *database.Faults) { faults.PauseReplication = true })
			c.expect("commit", c.exchange(0, batch...), "LW002", "ready I")
		})
	}
}

func TestEveryQueryExecModeOfTheDriverWorks(t *testing.T) {
	f := newFleet(t, nil)
	e := f.newEntry()
	ctx := testContext(t)
	conn := e.connect(t, "")
	for i, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec,
		pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			for round := range 3 {
				key := fmt.Sprintf("%d-%d", i, round)
				if _, err := conn.Exec(ctx, insertOrder, mode, key, i); err != nil {
					t.Fatal(err)
				}
				var value int
				if err := conn.QueryRow(ctx, readLookup, mode, key).Scan(&value); err != nil || value != i {
					t.Errorf("got %d, %v", value, err)
				}
			}
		})
	}
	var batch pgx.Batch
	for i := range 20 {
		batch.Queue(insertOrder, fmt.Sprintf("batch-%d", i), i)
	}
	if err := conn.SendBatch(ctx, &batch).Close(); err != nil {
		t.Errorf("batch: %v", err)
	}
	var n int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM stock").Scan(&n); err != nil || n != 35 {
		t.Errorf("%d rows, %v", n, err)
	}
}

func TestLongAnswersAreRelayedCompletely(t *testing.T) {
	for _, forward := range []bool{false, true} {
		t.Run(fmt.Sprintf("forward %v", forward), func(t *testing.T) {
			f := newFleet(t, nil)
			f.forwardAll = forward
			e := f.newEntry()
			ctx := testContext(t)
			conn := e.connect(t, "")
			const statements, rowsEach = 20, 500
			for i := range statements {
				rows := "INSERT INTO journal (id, key, value) VALUES ('x', 'y', 1)"
				for range rowsEach - 1 {
					rows += ", ('" + fmt.Sprint(i) + "-a-long-identifier-that-fills-the-answer', 'y', 1)"
				}
				if _, err := conn.Exec(ctx, rows); err != nil {
					t.Fatal(err)
				}
			}
			for _, route := range []string{"", "/*route='lookup'*/ ", "/*route='exact'*/ "} {
				rows, err := conn.Query(ctx, route+"SELECT id, key, value FROM journal")
				if err != nil {
					t.Fatal(err)
				}
				n := 0
				for rows.Next() {
					n++
				}
				if rows.Err() != nil || n != statements*rowsEach {
					t.Errorf("%q: %d rows, %v", route, n, rows.Err())
				}
			}
		})
	}
}
