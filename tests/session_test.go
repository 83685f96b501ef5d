package tests_test

import (
	"errors"
	"fmt"
	"testing"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
)

func TestRoamingSessionsReadTheirOwnWritesFromReplicas(t *testing.T) {
	f := startFleet(t, smallLayout())
	s := connect(t, f, 0)
	const rounds = 30
	for i := range rounds {
		if err := s.write(fmt.Sprint("roam-", i), "crate"); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
		s.reconnect((i + 1) % len(f.Entries))
		n, err := s.count("crate")
		if err != nil || n != int64(i+1) {
			t.Fatalf("after write %d the session sees %d rows, %v", i, n, err)
		}
	}
	withoutToken := connect(t, f, 2)
	if n, err := withoutToken.count("crate"); err != nil || n != rounds {
		t.Errorf("a session without a token sees %d rows, %v", n, err)
	}
	eventually(t, "a replica serves a read", func() error {
		if n, err := withoutToken.count("crate"); err != nil || n != rounds {
			return fmt.Errorf("the session sees %d rows: %w", n, err)
		}
		if replicaReads(databaseEvents(t, f)) == 0 {
			return errors.New("only the primary has served reads")
		}
		return nil
	})
}

// replicaReads counts the reads that replicas ran for workspaces.
func replicaReads(list []history.DatabaseEvent) int {
	n := 0
	for _, d := range list {
		if d.Kind == history.DatabaseStatement && d.Workspace != "" && d.Role == group.RoleReplica && d.Access == "read" {
			n++
		}
	}
	return n
}
