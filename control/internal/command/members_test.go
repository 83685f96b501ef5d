package command_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// documentWithDatabases returns an inventory of one service with these databases.
func documentWithDatabases(names ...string) string {
	var databases []string
	for _, name := range names {
		databases = append(databases, fmt.Sprintf(`{"name": %q, "dataCentre": "raquira"}`, name))
	}
	return fmt.Sprintf(`{
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  "instances": [{"name": "entry-1", "dataCentre": "raquira"}, {"name": "entry-2", "dataCentre": "raquira"}, {"name": "entry-3", "dataCentre": "raquira"}],
  "workspaces": [], "routes": [],
  "services": [{"name": "inventario-1", "slots": 2, "connections": 20, "databases": [%s]}],
}`, strings.Join(databases, ", "))
}

func (f *fleet) awaitInForce(revision inventory.Revision) {
	f.t.Helper()
	f.await(fmt.Sprintf("revision %d in force", revision), func() bool {
		var answer protocol.InForce
		path := fmt.Sprintf("/v1/inventory/in-force?revision=%d&waitMs=1000", revision)
		if _, err := f.callLeader(http.MethodGet, path, nil, &answer); err != nil {
			f.t.Fatal(err)
		}
		return answer.InForce
	})
}

// checkRefused fails the test unless a change was refused with a problem at the databases of the first service.
func checkRefused(t *testing.T, what string, err error) {
	t.Helper()
	var refused *protocol.OperatorError
	if !errors.As(err, &refused) || refused.Code != protocol.ErrorRefused {
		t.Errorf("%s: got %v", what, err)
		return
	}
	if len(refused.Problems) != 1 || refused.Problems[0].Pointer != "/services/0/databases" || refused.Problems[0].Remedy == "" {
		t.Errorf("%s: got %+v", what, refused.Problems)
	}
}

func TestDatabasesChangeOneAtATimeOnceBaseIsInForce(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	apply := func(operation string, base inventory.Revision, names ...string) error {
		_, err := f.apply(operation, base, documentWithDatabases(names...))
		return err
	}
	if err := apply("first", 0, "a", "b", "c"); err != nil {
		t.Fatal(err)
	}
	f.awaitInForce(1)
	checkRefused(t, "two databases replaced", apply("two", 1, "a", "d", "e"))
	checkRefused(t, "one database replaced", apply("exchange", 1, "a", "b", "d"))
	if err := apply("one", 1, "a", "b", "c", "d"); err != nil {
		t.Fatal(err)
	}
	f.awaitInForce(2)
	// This entry has applied revision 2 and holds a lease, so revision 3 is accepted but not yet in force.
	entry := f.endpoint("entry-1")
	if _, err := f.renew(entry, 1, "entry-1", 2, 0); err != nil {
		t.Fatal(err)
	}
	unchanged := strings.Replace(documentWithDatabases("a", "b", "c", "d"), `"connections": 20`, `"connections": 21`, 1)
	if _, err := f.apply("limit", 2, unchanged); err != nil {
		t.Fatalf("a change of no database: %v", err)
	}
	checkRefused(t, "the base not in force", apply("early", 3, "b", "c", "d"))
	if _, err := f.renew(entry, 1, "entry-1", 3, 0); err != nil {
		t.Fatal(err)
	}
	f.awaitInForce(3)
	if err := apply("early", 3, "b", "c", "d"); err != nil {
		t.Errorf("a refused change that is sent again: %v", err)
	}
	if err := apply("one", 1, "a", "b", "c", "d"); err != nil {
		t.Errorf("a resend of an accepted change: %v", err)
	}
}
