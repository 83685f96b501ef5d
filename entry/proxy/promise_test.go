package proxy_test

import (
	"testing"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// Guards against a write that a primary commits for a client whose transaction is answered as one that only reads.
func TestWriteInReadOnlyTransactionIsRefused(t *testing.T) {
	writes := map[string]statement.Statement{
		"write":    {ID: "w1", Verb: statement.Write, Text: "WRITE x 1"},
		"prepared": {ID: "w1", Verb: statement.Execute, Text: "EXECUTE s x 1", Name: "s", Value: "x 1"},
	}
	for _, database := range []policy.Database{"orders", "counts", "shelves"} {
		for name, write := range writes {
			t.Run(string(database)+"/"+name, func(t *testing.T) {
				d := newDatabases("a")
				c, _ := newEntry(t, "e", d, nil).open(database, "key")
				c.send(statement.Statement{ID: "p1", Verb: statement.Prepare, Name: "s", Value: "q"})
				c.execute("b1", statement.Begin, "BEGIN READ")
				if a := c.execute("r1", statement.Read, "READ x"); a.Outcome != statement.Done {
					t.Fatalf("the read was answered with %q: %s", a.Outcome, a.Detail)
				}
				if a := c.send(write); a.Outcome != statement.ReadOnlyServer || a.State != statement.Failed {
					t.Errorf("the write was answered with %q in state %q", a.Outcome, a.State)
				}
				if a := c.execute("c1", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted || a.State != statement.Idle {
					t.Errorf("the commit was answered with %q in state %q", a.Outcome, a.State)
				}
				if n := d.runCount("w1") + d.runCount("c1"); n != 0 {
					t.Errorf("%d statements of the refused write reached a database", n)
				}
			})
		}
	}
}

// Guards against a promise that nothing was written after a commit whose answer is lost, unless the transaction has sent no write.
func TestLostCommitIsAbortedOnlyWithoutWrites(t *testing.T) {
	tests := map[string]struct {
		begin   string
		verb    statement.Verb
		text    string
		aborted bool
	}{
		"write":          {"BEGIN", statement.Write, "WRITE x 1", false},
		"read":           {"BEGIN", statement.Read, "READ x", true},
		"read-only read": {"BEGIN READ", statement.Read, "READ x", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDatabases("a")
			c, _ := newEntry(t, "e", d, nil).open("orders", "key")
			d.update(func(s map[group.Server]*server) { s["a"].lostCommits = 1 })
			c.execute("b1", statement.Begin, test.begin)
			if a := c.execute("s1", test.verb, test.text); a.Outcome != statement.Done {
				t.Fatalf("%s was answered with %q: %s", test.text, a.Outcome, a.Detail)
			}
			a := c.execute("c1", statement.Commit, "COMMIT")
			if n := d.runCount("c1"); n != 1 {
				t.Fatalf("the commit ran %d times", n)
			}
			if aborted := a.Outcome == statement.Aborted; aborted != test.aborted || !aborted && a.Outcome != statement.TimedOut {
				t.Errorf("the lost commit was answered with %q: %s", a.Outcome, a.Detail)
			}
		})
	}
}

// Guards against a commit of the other statements of a transaction after one of its statements was answered with a promise that nothing is
// kept.
func TestPromiseInTransactionPreventsItsCommit(t *testing.T) {
	refused := map[string]func(d *databases, c *clientConn) statement.Answer{
		"no memory for a value": func(_ *databases, c *clientConn) statement.Answer {
			c.noMemory.Store(true)
			return c.send(statement.Statement{ID: "s1", Verb: statement.Set, Name: "zone", Value: "1"})
		},
		"no memory for a prepared statement": func(_ *databases, c *clientConn) statement.Answer {
			c.noMemory.Store(true)
			return c.send(statement.Statement{ID: "s1", Verb: statement.Prepare, Name: "s", Value: "q"})
		},
	}
	for _, outcome := range []statement.Outcome{statement.Busy, statement.Overloaded, statement.Lagging, statement.ReadOnlyServer, statement.WrongServer} {
		refused["database answers "+string(outcome)] = func(d *databases, c *clientConn) statement.Answer {
			d.update(func(s map[group.Server]*server) { s["a"].refuseWrites = outcome })
			return c.execute("w2", statement.Write, "WRITE y 1")
		}
	}
	for name, refuse := range refused {
		t.Run(name, func(t *testing.T) {
			d := newDatabases("a")
			c, _ := newEntry(t, "e", d, nil).open("orders", "key")
			c.execute("b1", statement.Begin, "BEGIN")
			if a := c.execute("w1", statement.Write, "WRITE x 1"); a.Outcome != statement.Done {
				t.Fatalf("the write was answered with %q: %s", a.Outcome, a.Detail)
			}
			if a := refuse(d, c); !a.Outcome.NothingKept() || a.State != statement.Failed {
				t.Errorf("the refused statement was answered with %q in state %q", a.Outcome, a.State)
			}
			if a := c.execute("c1", statement.Commit, "COMMIT"); a.Outcome != statement.Aborted {
				t.Errorf("the commit was answered with %q", a.Outcome)
			}
			if n := d.runCount("c1"); n != 0 {
				t.Error("the commit reached the database")
			}
		})
	}
}
