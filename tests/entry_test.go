package tests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

func TestEntryKilledInATransactionRollsItBack(t *testing.T) {
	f := startFleet(t, smallLayout())
	conn, err := dial(withTimeout(t, attemptTimeout), f, 0, workspace, "")
	if err != nil {
		t.Fatal(err)
	}
	tx, err := conn.BeginTx(withTimeout(t, attemptTimeout), pgx.TxOptions{BeginQuery: "/*route='order',key='pallet'*/ BEGIN"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		_, err := tx.Exec(withTimeout(t, attemptTimeout), "INSERT INTO journal (id, key, value) VALUES ($1, $2, $3)", fmt.Sprint("half-", i), "pallet", int64(1))
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Entries[0].Kill(); err != nil {
		t.Fatal(err)
	}
	s := connect(t, f, 1)
	if err := s.write("whole", "pallet"); err != nil {
		t.Fatal(err)
	}
	if n, err := s.count("pallet"); err != nil || n != 1 {
		t.Errorf("%d rows have the key, want 1, %v", n, err)
	}
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	f := startFleet(t, smallLayout())
	w := newWriter(t, f, "all", "kiln")
	for _, d := range f.Databases {
		d.Relay.BlackholeConnections()
	}
	for _, i := range f.Entries {
		i.PeerRelay.ForgetSessions()
	}
	gap := w.writeUntilAcknowledged(time.Now())
	t.Logf("gap after all connections went silent: %v", gap)
	if gap > failoverTarget {
		t.Errorf("the gap is above the target of %v", failoverTarget)
	}
	for range 10 {
		w.writeUntilAcknowledged(time.Now())
	}
	w.check()
}

func TestPrimaryIsReplacedAfterLossOfItsDataCentre(t *testing.T) {
	f := startFleet(t, smallLayout())
	w := newWriter(t, f, "all", "kiln")
	lostDataCentre := w.primary().DataCentre
	var remainingEntries []int
	for i, e := range f.Entries {
		if e.DataCentre != lostDataCentre {
			remainingEntries = append(remainingEntries, i)
			continue
		}
		if err := e.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range f.Control {
		if c.DataCentre == lostDataCentre {
			if err := c.Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, d := range f.Databases {
		if d.DataCentre == lostDataCentre {
			if err := d.Kill(); err != nil {
				t.Fatal(err)
			}
		}
	}
	w.entries = remainingEntries
	gap := w.writeUntilAcknowledged(time.Now())
	t.Logf("gap after losing a data centre: %v", gap)
	if gap > failoverTarget {
		t.Errorf("the gap is above the target of %v", failoverTarget)
	}
	w.check()
}
