package tests_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/lentilwind/protocol"
)

// status asks control for the state of the fleet.
func status(t *testing.T, f *fleet.Fleet) (protocol.FleetStatus, error) {
	t.Helper()
	var s protocol.FleetStatus
	out, err := f.RunLentilctl(t.Context(), "status")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(out, &s)
}

func controlLeader(t *testing.T, f *fleet.Fleet) *fleet.Instance {
	t.Helper()
	var leader *fleet.Instance
	eventually(t, "find the leader", func() error {
		s, err := status(t, f)
		if err != nil {
			return err
		}
		for _, c := range f.Control {
			if c.Name() == string(s.Leader) {
				leader = c
				return nil
			}
		}
		return fmt.Errorf("no control process is called %q", s.Leader)
	})
	return leader
}

// document returns the accepted inventory.
func document(t *testing.T, f *fleet.Fleet) protocol.InventoryRecord {
	t.Helper()
	var record protocol.InventoryRecord
	eventually(t, "read the inventory", func() error {
		out, err := f.RunLentilctl(t.Context(), "inventory", "show")
		if err != nil {
			return err
		}
		return json.Unmarshal(out, &record)
	})
	return record
}

// change writes a document that differs from the given one to a file.
func change(t *testing.T, record protocol.InventoryRecord, mark string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "inventory.jsonc")
	text := fmt.Sprintf("// %s\n%s", mark, record.Document)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// exitCode returns the exit code of lentilctl, or -1.
func exitCode(err error) int {
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return failed.ExitCode()
	}
	if err == nil {
		return 0
	}
	return -1
}

const conflictCode = 4

func TestOperatorsRaceUnderEqualNumbersAndResend(t *testing.T) {
	f := start(t, small())
	base := document(t, f)
	const operators = 5
	codes := make([]int, operators)
	paths := make([]string, operators)
	var g sync.WaitGroup
	for i := range operators {
		paths[i] = change(t, base, fmt.Sprint("operator ", i))
		g.Go(func() {
			_, err := f.RunLentilctl(t.Context(), "inventory", "apply", paths[i], "--base", fmt.Sprint(base.Revision), "--operation", fmt.Sprint("race-", i))
			codes[i] = exitCode(err)
		})
	}
	g.Wait()
	winner := -1
	for i, code := range codes {
		switch {
		case code == 0 && winner < 0:
			winner = i
		case code != conflictCode:
			t.Errorf("operator %d got exit code %d beside the winner %d", i, code, winner)
		}
	}
	if winner < 0 {
		t.Fatalf("nobody won: %v", codes)
	}
	again, err := f.RunLentilctl(t.Context(), "inventory", "apply", paths[winner], "--base", fmt.Sprint(base.Revision), "--operation", fmt.Sprint("race-", winner))
	if err != nil || !strings.Contains(string(again), fmt.Sprintf(`"revision": %d`, base.Revision+1)) {
		t.Errorf("the resend got %s, %v", again, err)
	}
	if now := document(t, f); now.Revision != base.Revision+1 || !strings.Contains(now.Document, fmt.Sprint("operator ", winner)) {
		t.Errorf("revision %d is in force: %.40s", now.Revision, now.Document)
	}
}

func TestControlProcessCatchesUpAfterHundredsOfChangesAndSurvivesASecondLoss(t *testing.T) {
	f := start(t, small())
	leader := controlLeader(t, f)
	var away, other *fleet.Instance
	for _, c := range f.Control {
		switch {
		case c == leader:
		case away == nil:
			away = c
		default:
			other = c
		}
	}
	if err := away.Kill(); err != nil {
		t.Fatal(err)
	}
	record := document(t, f)
	const changes = 300
	for i := range changes {
		path := change(t, record, fmt.Sprint("change ", i))
		if _, err := f.RunLentilctl(t.Context(), "inventory", "apply", path, "--base", fmt.Sprint(int(record.Revision)+i), "--wait=false"); err != nil {
			t.Fatal(err)
		}
	}
	if err := away.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "catch up", func() error { return caughtUp(t, f, away.Name()) })
	if err := other.Kill(); err != nil {
		t.Fatal(err)
	}
	now := document(t, f)
	path := change(t, now, "after the second loss")
	if _, err := f.RunLentilctl(t.Context(), "inventory", "apply", path, "--base", fmt.Sprint(now.Revision)); err != nil {
		t.Fatal(err)
	}
	if got := document(t, f); got.Revision != record.Revision+changes+1 {
		t.Errorf("revision %d, want %d", got.Revision, record.Revision+changes+1)
	}
	w := newWriter(t, f, "all", "kiln")
	w.check()
}

func caughtUp(t *testing.T, f *fleet.Fleet, name string) error {
	s, err := status(t, f)
	if err != nil {
		return err
	}
	for _, m := range s.Members {
		if string(m.Name) == name && m.Matched == s.Committed {
			return nil
		}
	}
	return fmt.Errorf("%s has not caught up with %d: %+v", name, s.Committed, s.Members)
}

func TestSilentLeaderComesBackWithoutRevertingAnything(t *testing.T) {
	f := start(t, small())
	leader := controlLeader(t, f)
	if err := leader.Pause(); err != nil {
		t.Fatal(err)
	}
	record := document(t, f)
	path := change(t, record, "while the leader was silent")
	if _, err := f.RunLentilctl(t.Context(), "inventory", "apply", path, "--base", fmt.Sprint(record.Revision)); err != nil {
		t.Fatal(err)
	}
	if err := leader.Resume(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the old leader follows", func() error { return caughtUp(t, f, leader.Name()) })
	if now := document(t, f); now.Revision != record.Revision+1 {
		t.Errorf("revision %d, want %d", now.Revision, record.Revision+1)
	}
	w := newWriter(t, f, "all", "kiln")
	w.check()
}
