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

// withDatabases returns an inventory of one service with these databases.
func withDatabases(names ...string) string {
	var databases []string
	for _, name := range names {
		databases = append(databases, fmt.Sprintf(`{"name": %q, "dataCentre": "raquira"}`, name))
	}
	return fmt.Sprintf(`{
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  "instances": [{"name": "entry-1", "dataCentre": "raquira"}, {"name": "entry-2", "dataCentre": "raquira"}, {"name": "entry-3", "dataCentre": "raquira"}],
  "services": [{"name": "inventario-1", "slots": 2, "connections": 20, "databases": [%s]}],
}`, strings.Join(databases, ", "))
}

func (f *fleet) awaitInForce(revision inventory.Revision) {
	f.t.Helper()
	f.await(fmt.Sprintf("revision %d in force", revision), func() bool {
		var answer protocol.InForce
		path := fmt.Sprintf("/v1/inventory/in-force?revision=%d&waitMs=1000", revision)
		if _, err := f.lead(http.MethodGet, path, nil, &answer); err != nil {
			f.t.Fatal(err)
		}
		return answer.InForce
	})
}

// checkRefused fails unless a change was refused with a problem at the first service's databases.
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

func TestDatabasesChangeOneAtATimeAndOnlyOnceTheBaseIsInForce(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	apply := func(operation string, base inventory.Revision, names ...string) error {
		_, err := f.apply(operation, base, withDatabases(names...))
		return err
	}
	if err := apply("first", 0, "a", "b", "c"); err != nil {
		t.Fatal(err)
	}
	f.awaitInForce(1)
	checkRefused(t, "two exchanged", apply("two", 1, "a", "d", "e"))
	checkRefused(t, "one exchanged", apply("exchange", 1, "a", "b", "d"))
	if err := apply("one", 1, "a", "b", "c", "d"); err != nil {
		t.Fatal(err)
	}
	f.awaitInForce(2)
	// An entry that has revision 2 in force holds a lease on it, while revision 3 is accepted.
	entry := f.endpoint("entry-1")
	if _, err := f.renew(entry, 1, "entry-1", 2, 0); err != nil {
		t.Fatal(err)
	}
	unchanged := strings.Replace(withDatabases("a", "b", "c", "d"), `"connections": 20`, `"connections": 21`, 1)
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
