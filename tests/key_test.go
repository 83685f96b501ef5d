package tests_test

import (
	"testing"
	"time"

	"lentilwind.dev/bench/history"
)

func TestWithdrawnKeysAreRefusedOnOpenConnections(t *testing.T) {
	f := startFleet(t, smallLayout())
	var sessions []*session
	for entry := range f.Entries {
		s := connect(t, f, entry)
		if err := s.write("before-"+f.Entries[entry].Name(), "crate"); err != nil {
			t.Fatal(err)
		}
		sessions = append(sessions, s)
	}
	started := time.Now()
	if _, err := f.RunLentilctl(t.Context(), "key", "withdraw", "--workspace", workspace, "--id", string(f.Keys[workspace].ID)); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(started); elapsed > withdrawalTarget {
		t.Errorf("the withdrawal took %v, more than %v", elapsed, withdrawalTarget)
	}
	for entry, s := range sessions {
		if err := s.write("after-"+f.Entries[entry].Name(), "crate"); err == nil {
			t.Errorf("%s accepted a write with a withdrawn key", f.Entries[entry].Name())
		}
		if _, err := dial(withTimeout(t, attemptTimeout), f, entry, workspace, ""); err == nil {
			t.Errorf("%s accepted a connection with a withdrawn key", f.Entries[entry].Name())
		}
	}
	list := databaseEvents(t, f)
	for entry := range sessions {
		if countCommits(list, "after-"+f.Entries[entry].Name()) > 0 {
			t.Errorf("a write ran with a withdrawn key")
		}
	}
	for _, d := range list {
		if d.Kind == history.DatabaseWatchedText {
			t.Errorf("%s received a key", d.Server)
		}
	}
}

func TestWorkspacesAreIsolated(t *testing.T) {
	f := startFleet(t, smallLayout())
	other := f.Keys["florists"]
	f.Keys["florists"] = f.Keys[workspace]
	if _, err := dial(withTimeout(t, attemptTimeout), f, 0, "florists", ""); err == nil {
		t.Error("the key of another workspace was accepted")
	}
	f.Keys["florists"] = other
	s := connect(t, f, 0)
	if err := s.write("one", "crate"); err != nil {
		t.Fatal(err)
	}
	otherWorkspaceConn, err := dial(withTimeout(t, attemptTimeout), f, 1, "florists", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = otherWorkspaceConn.Close(t.Context()) }()
	var n int64
	err = otherWorkspaceConn.QueryRow(withTimeout(t, attemptTimeout), "/*route='lookup',key='crate'*/ SELECT count(*) FROM journal WHERE key = $1", "crate").Scan(&n)
	if err != nil || n != 0 {
		t.Errorf("another workspace sees %d rows, %v", n, err)
	}
}
