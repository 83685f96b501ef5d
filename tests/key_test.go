package tests_test

import (
	"testing"
	"time"

	"lentilwind.dev/bench/history"
)

func TestWithdrawnKeysStopWorkingOnConnectedCallers(t *testing.T) {
	f := start(t, small())
	var sessions []*session
	for entry := range f.Entries {
		s := connect(t, f, entry)
		if err := s.write("before-"+f.Entries[entry].Name(), "crate"); err != nil {
			t.Fatal(err)
		}
		sessions = append(sessions, s)
	}
	begun := time.Now()
	if _, err := f.RunLentilctl(t.Context(), "key", "withdraw", "--workspace", workspace, "--id", string(f.Keys[workspace].ID)); err != nil {
		t.Fatal(err)
	}
	if spent := time.Since(begun); spent > withdrawalTarget {
		t.Errorf("the withdrawal took %v, more than %v", spent, withdrawalTarget)
	}
	for entry, s := range sessions {
		if err := s.write("after-"+f.Entries[entry].Name(), "crate"); err == nil {
			t.Errorf("%s took a write under a withdrawn key", f.Entries[entry].Name())
		}
		if _, err := dial(within(t, attemptLimit), f, entry, workspace, ""); err == nil {
			t.Errorf("%s took a connection under a withdrawn key", f.Entries[entry].Name())
		}
	}
	list := records(t, f)
	for entry := range sessions {
		if committed(list, "after-"+f.Entries[entry].Name()) > 0 {
			t.Errorf("a write ran under a withdrawn key")
		}
	}
	for _, d := range list {
		if d.Kind == history.DatabaseWatchedText {
			t.Errorf("%s received a key", d.Server)
		}
	}
}

func TestWrongKeysAndForeignWorkspacesAreRefused(t *testing.T) {
	f := start(t, small())
	other := f.Keys["florists"]
	f.Keys["florists"] = f.Keys[workspace]
	if _, err := dial(within(t, attemptLimit), f, 0, "florists", ""); err == nil {
		t.Error("the key of another workspace was taken")
	}
	f.Keys["florists"] = other
	s := connect(t, f, 0)
	if err := s.write("one", "crate"); err != nil {
		t.Fatal(err)
	}
	stranger, err := dial(within(t, attemptLimit), f, 1, "florists", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stranger.Close(t.Context()) }()
	var n int64
	err = stranger.QueryRow(within(t, attemptLimit), "/*route='lookup',key='crate'*/ SELECT count(*) FROM journal WHERE key = $1", "crate").Scan(&n)
	if err != nil || n != 0 {
		t.Errorf("another workspace sees %d rows, %v", n, err)
	}
}
