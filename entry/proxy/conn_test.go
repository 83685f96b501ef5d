package proxy_test

import (
	"fmt"
	"strings"
	"testing"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
)

// Guards against an EXECUTE under the name of another statement after the connection of a transaction has dropped prepared statements to make
// room.
func TestDroppedPreparedStatementsAreNotExecuted(t *testing.T) {
	const rounds, textBytes = 12, 20 << 10
	d := newDatabases("a")
	c, _ := newEntry(t, "e", d, nil).open("orders", "key")
	c.execute("b1", statement.Begin, "BEGIN")
	for n := range rounds {
		text := fmt.Sprint(n%5) + strings.Repeat("q", textBytes)
		c.send(statement.Statement{ID: "p1", Verb: statement.Prepare, Name: "s", Value: text, ReadOnly: true})
		id := statement.ID(fmt.Sprintf("e%d", n))
		if a := c.send(statement.Statement{ID: id, Verb: statement.Execute, Name: "s", Value: "x"}); a.Outcome != statement.Done {
			t.Fatalf("execute %d was answered with %q: %s", n, a.Outcome, a.Detail)
		}
	}
	held, dropped, executed := make(map[string]string), 0, 0
	d.update(func(servers map[group.Server]*server) {
		for _, st := range servers["a"].executed {
			switch st.Verb {
			case statement.Prepare:
				if held[st.Name] != "" {
					t.Errorf("the name %s was used twice", st.Name)
				}
				held[st.Name] = st.Value
			case statement.Deallocate:
				held[st.Name] = ""
				dropped++
			case statement.Execute:
				if want := fmt.Sprint(executed % 5); !strings.HasPrefix(held[st.Name], want) {
					t.Errorf("execute %d ran under the name %s, which does not hold its text", executed, st.Name)
				}
				executed++
			}
		}
	})
	if dropped == 0 || executed != rounds {
		t.Errorf("%d statements were dropped and %d executed", dropped, executed)
	}
}
