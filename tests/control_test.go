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

// fleetStatus returns the fleet status reported by control.
func fleetStatus(t *testing.T, f *fleet.Fleet) (protocol.FleetStatus, error) {
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
		s, err := fleetStatus(t, f)
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

// currentInventory returns the current inventory.
func currentInventory(t *testing.T, f *fleet.Fleet) protocol.InventoryRecord {
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

// writeChangedInventory writes the inventory with an added comment to a file and returns its path.
func writeChangedInventory(t *testing.T, record protocol.InventoryRecord, comment string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "inventory.jsonc")
	text := fmt.Sprintf("// %s\n%s", comment, record.Document)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// exitCode returns the exit code of a command, or -1 for any error other than a failed exit.
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

const conflictExitCode = 4

func TestConcurrentInventoryChangesHaveOneWinner(t *testing.T) {
	f := startFleet(t, smallLayout())
	base := currentInventory(t, f)
	const operators = 5
	codes := make([]int, operators)
	paths := make([]string, operators)
	var g sync.WaitGroup
	for i := range operators {
		paths[i] = writeChangedInventory(t, base, fmt.Sprint("operator ", i))
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
		case code != conflictExitCode:
			t.Errorf("operator %d got exit code %d, and the winner is operator %d", i, code, winner)
		}
	}
	if winner < 0 {
		t.Fatalf("no change was accepted: %v", codes)
	}
	retried, err := f.RunLentilctl(t.Context(), "inventory", "apply", paths[winner], "--base", fmt.Sprint(base.Revision), "--operation", fmt.Sprint("race-", winner))
	if err != nil || !strings.Contains(string(retried), fmt.Sprintf(`"revision": %d`, base.Revision+1)) {
		t.Errorf("the retry of the accepted change got %s, %v", retried, err)
	}
	if latest := currentInventory(t, f); latest.Revision != base.Revision+1 || !strings.Contains(latest.Document, fmt.Sprint("operator ", winner)) {
		t.Errorf("revision %d is in force: %.40s", latest.Revision, latest.Document)
	}
}

func TestRestartedControlProcessCatchesUpAndSurvivesASecondLoss(t *testing.T) {
	f := startFleet(t, smallLayout())
	leader := controlLeader(t, f)
	var restarted, other *fleet.Instance
	for _, c := range f.Control {
		switch {
		case c == leader:
		case restarted == nil:
			restarted = c
		default:
			other = c
		}
	}
	if err := restarted.Kill(); err != nil {
		t.Fatal(err)
	}
	record := currentInventory(t, f)
	const changes = 300
	for i := range changes {
		path := writeChangedInventory(t, record, fmt.Sprint("change ", i))
		if _, err := f.RunLentilctl(t.Context(), "inventory", "apply", path, "--base", fmt.Sprint(int(record.Revision)+i), "--wait=false"); err != nil {
			t.Fatal(err)
		}
	}
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "catch up", func() error { return checkCaughtUp(t, f, restarted.Name()) })
	if err := other.Kill(); err != nil {
		t.Fatal(err)
	}
	latest := currentInventory(t, f)
	path := writeChangedInventory(t, latest, "after the second loss")
	if _, err := f.RunLentilctl(t.Context(), "inventory", "apply", path, "--base", fmt.Sprint(latest.Revision)); err != nil {
		t.Fatal(err)
	}
	if got := currentInventory(t, f); got.Revision != record.Revision+changes+1 {
		t.Errorf("revision %d, want %d", got.Revision, record.Revision+changes+1)
	}
	w := newWriter(t, f, "all", "kiln")
	w.check()
}

func checkCaughtUp(t *testing.T, f *fleet.Fleet, name string) error {
	s, err := fleetStatus(t, f)
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

func TestResumedLeaderRevertsNothing(t *testing.T) {
	f := startFleet(t, smallLayout())
	leader := controlLeader(t, f)
	if err := leader.Pause(); err != nil {
		t.Fatal(err)
	}
	record := currentInventory(t, f)
	path := writeChangedInventory(t, record, "while the leader was silent")
	if _, err := f.RunLentilctl(t.Context(), "inventory", "apply", path, "--base", fmt.Sprint(record.Revision)); err != nil {
		t.Fatal(err)
	}
	if err := leader.Resume(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the old leader follows", func() error { return checkCaughtUp(t, f, leader.Name()) })
	if latest := currentInventory(t, f); latest.Revision != record.Revision+1 {
		t.Errorf("revision %d, want %d", latest.Revision, record.Revision+1)
	}
	w := newWriter(t, f, "all", "kiln")
	w.check()
}
