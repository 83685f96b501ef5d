package command_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentilwind.dev/lentilctl/internal/command"
	"lentilwind.dev/lentilwind/inventory"
)

func run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := command.Execute(args, strings.NewReader(""), &out, &errOut)
	return code, out.String(), errOut.String()
}

func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := run(t, args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d: %s", args, code, errOut)
	}
	return out
}

func TestFleetInitFromSamplePlan(t *testing.T) {
	dir := t.TempDir()
	samples, fleet := filepath.Join(dir, "samples"), filepath.Join(dir, "fleet")
	mustRun(t, "fleet", "sample", "--dir", samples)
	mustRun(t, "fleet", "init", "--plan", filepath.Join(samples, "plan.jsonc"), "--dir", fleet)
	before := mustRun(t, "fleet", "expiry", "--dir", fleet, "--output", "json")
	var list []struct{ Name string }
	if err := json.Unmarshal([]byte(before), &list); err != nil || len(list) != 6 {
		t.Fatalf("got %s, %v", before, err)
	}
	mustRun(t, "fleet", "renew", "--dir", fleet, "entry-1")
	mustRun(t, "inventory", "check", filepath.Join(fleet, "inventory.jsonc"))
	info, err := os.Stat(filepath.Join(fleet, "instances", "entry-1", "key.pem"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("private key mode: got %v, %v; want 0600", info.Mode(), err)
	}
	if code, _, _ := run(t, "fleet", "init", "--plan", filepath.Join(samples, "plan.jsonc"), "--dir", fleet); code == 0 {
		t.Error("a second init in the same folder succeeded")
	}
}

func TestInventoryCheckReportsPositionAndRemedy(t *testing.T) {
	path := filepath.Join(t.TempDir(), "inventory.jsonc")
	if err := os.WriteFile(path, []byte("{\n  \"routes\": [{\"name\": \"x\", \"access\": \"peek\"}]\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errOut := run(t, "inventory", "check", path)
	if code != 3 || !strings.Contains(errOut, "line 2, column 38") || !strings.Contains(errOut, "write one of: read, write") {
		t.Errorf("exit code %d: %s", code, errOut)
	}
}

func TestUsageErrorsExitWithCodeTwo(t *testing.T) {
	for _, args := range [][]string{
		{"no-such-command"},
		{"inventory", "check"},
		{"inventory", "aply", "x"},
		{"status", "--no-such-flag"},
		{"status"},
		{"status", "--output", "xml"},
	} {
		if code, _, _ := run(t, args...); code != 2 {
			t.Errorf("%v: exit code %d, want 2", args, code)
		}
	}
}

func TestCreatedKeyIsValidInInventory(t *testing.T) {
	var created struct{ ID, Key, Hash string }
	if err := json.Unmarshal([]byte(mustRun(t, "key", "create", "--output", "json")), &created); err != nil {
		t.Fatal(err)
	}
	inv := inventory.Inventory{Workspaces: []inventory.Workspace{{
		Name: "w", Rate: 1, Burst: 1, Keys: []inventory.Key{{ID: inventory.KeyID(created.ID), Hash: created.Hash}},
	}}}
	if problems := inv.Check(); len(problems) > 0 {
		t.Error(problems)
	}
}
