package tests_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// writer inserts rows one at a time, through its entries in turn, and records the outcome reported for each.
type writer struct {
	t       *testing.T
	f       *fleet.Fleet
	entries []int
	// name is the prefix of the ids of the writer's rows.
	name string
	key  string
	next int

	acknowledged []string
	notRun       []string
	unknown      []string
}

// writeOne inserts one row and reports whether it was acknowledged.
func (w *writer) writeOne() bool {
	id := fmt.Sprintf("%s-%d", w.name, w.next)
	entry := w.entries[w.next%len(w.entries)]
	w.next++
	conn, err := dial(withTimeout(w.t, attemptTimeout), w.f, entry, workspace, "")
	if err != nil {
		w.notRun = append(w.notRun, id)
		return false
	}
	defer func() { _ = conn.Close(w.t.Context()) }()
	started := time.Now()
	err = insert(w.t.Context(), conn, id, w.key)
	if err != nil {
		w.t.Logf("%s through %s after %v: %v", id, w.f.Entries[entry].Name(), time.Since(started).Round(time.Millisecond), err)
	}
	switch {
	case err == nil:
		w.acknowledged = append(w.acknowledged, id)
		return true
	case notRun(err):
		w.notRun = append(w.notRun, id)
	default:
		w.unknown = append(w.unknown, id)
	}
	return false
}

// writeUntilAcknowledged inserts rows until one is acknowledged and returns the time elapsed since the given moment.
func (w *writer) writeUntilAcknowledged(since time.Time) time.Duration {
	w.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !w.writeOne() {
		if time.Now().After(deadline) {
			w.t.Fatalf("no write was acknowledged: %d not run, %d unknown", len(w.notRun), len(w.unknown))
		}
	}
	return time.Since(since)
}

// check reads all rows back and compares them with the reported outcomes.
func (w *writer) check() {
	w.t.Helper()
	seen := w.readBack()
	maps.DeleteFunc(seen, func(id string, _ int) bool { return !strings.HasPrefix(id, w.name+"-") })
	for _, id := range w.acknowledged {
		if seen[id] != 1 {
			w.t.Errorf("the acknowledged row %s is stored %d times", id, seen[id])
		}
	}
	for _, id := range w.notRun {
		if seen[id] != 0 {
			w.t.Errorf("the row %s was reported as not run but is stored", id)
		}
	}
	for id, n := range seen {
		if n > 1 {
			w.t.Errorf("the row %s is stored %d times", id, n)
		}
	}
}

func (w *writer) readBack() map[string]int {
	w.t.Helper()
	var conn *pgx.Conn
	eventually(w.t, "connect", func() error {
		var err error
		conn, err = dial(withTimeout(w.t, attemptTimeout), w.f, w.entries[0], workspace, "")
		return err
	})
	defer func() { _ = conn.Close(w.t.Context()) }()
	seen := make(map[string]int)
	eventually(w.t, "read back", func() error {
		clear(seen)
		rows, err := conn.Query(withTimeout(w.t, attemptTimeout), fmt.Sprintf("/*route='restock',key='%s'*/ SELECT id FROM journal WHERE key = $1", w.key), w.key)
		if err != nil {
			return err
		}
		ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
		for _, id := range ids {
			seen[id]++
		}
		return err
	})
	return seen
}

func newWriter(t *testing.T, f *fleet.Fleet, name, key string, entries ...int) *writer {
	t.Helper()
	if len(entries) == 0 {
		for i := range f.Entries {
			entries = append(entries, i)
		}
	}
	w := &writer{t: t, f: f, name: name, key: key, entries: entries}
	for range 10 {
		w.writeUntilAcknowledged(time.Now())
	}
	return w
}

// primaryOf returns the backend server that committed a row as primary.
func primaryOf(t *testing.T, f *fleet.Fleet, id string) *fleet.Database {
	t.Helper()
	list := databaseEvents(t, f)
	for _, d := range slices.Backward(list) {
		for _, c := range d.Changes {
			if c.ID == id && d.Role == group.RolePrimary {
				return f.Databases[d.Server]
			}
		}
	}
	t.Fatalf("no primary committed %s", id)
	return nil
}

func (w *writer) primary() *fleet.Database {
	return primaryOf(w.t, w.f, w.acknowledged[len(w.acknowledged)-1])
}

func TestKilledPrimaryIsReplacedWithoutLoss(t *testing.T) {
	f := startFleet(t, smallLayout())
	w := newWriter(t, f, "all", "kiln")
	old := w.primary()
	if err := old.Kill(); err != nil {
		t.Fatal(err)
	}
	gap := w.writeUntilAcknowledged(time.Now())
	t.Logf("failover gap after a kill: %v", gap)
	if gap > failoverTarget {
		t.Errorf("the gap is above the target of %v", failoverTarget)
	}
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		w.writeUntilAcknowledged(time.Now())
	}
	w.check()
}

func TestPausedPrimaryAcknowledgesNothingOnceReplaced(t *testing.T) {
	f := startFleet(t, smallLayout())
	w := newWriter(t, f, "all", "kiln")
	old := w.primary()
	if err := old.Pause(); err != nil {
		t.Fatal(err)
	}
	gap := w.writeUntilAcknowledged(time.Now())
	t.Logf("failover gap after a pause: %v", gap)
	if gap > failoverTarget {
		t.Errorf("the gap is above the target of %v", failoverTarget)
	}
	if err := old.Resume(); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		w.writeUntilAcknowledged(time.Now())
	}
	w.check()
}

func TestPartitionedPrimaryIsReplaced(t *testing.T) {
	f := startFleet(t, smallLayout())
	w := newWriter(t, f, "all", "kiln")
	old := w.primary()
	var isolatedEntries, remainingEntries []int
	for i, e := range f.Entries {
		if e.DataCentre == old.DataCentre {
			isolatedEntries = append(isolatedEntries, i)
			continue
		}
		remainingEntries = append(remainingEntries, i)
	}
	isolated := newWriter(t, f, "inside", "kiln", isolatedEntries...)
	f.Network.Isolate(relay.Zone(old.DataCentre), zones(f.Layout.DataCentres)...)
	w.entries = remainingEntries
	gap := w.writeUntilAcknowledged(time.Now())
	t.Logf("failover gap after a partition: %v", gap)
	if gap > failoverTarget {
		t.Errorf("the gap is above the target of %v", failoverTarget)
	}
	for range 5 {
		if isolated.writeOne() {
			t.Error("the isolated data centre acknowledged a write after its primary was replaced")
		}
	}
	f.Network.Heal()
	isolated.writeUntilAcknowledged(time.Now())
	w.check()
	isolated.check()
}

func zones(names []inventory.DataCentre) []relay.Zone {
	list := make([]relay.Zone, len(names))
	for i, name := range names {
		list[i] = relay.Zone(name)
	}
	return list
}

func TestPrimaryAndControlLeaderLostTogether(t *testing.T) {
	f := startFleet(t, smallLayout())
	w := newWriter(t, f, "all", "kiln")
	old := w.primary()
	leader := controlLeader(t, f)
	if err := leader.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := old.Kill(); err != nil {
		t.Fatal(err)
	}
	gap := w.writeUntilAcknowledged(time.Now())
	t.Logf("failover gap after losing primary and leader: %v", gap)
	if gap > failoverTarget {
		t.Errorf("the gap is above the target of %v", failoverTarget)
	}
	w.check()
}
