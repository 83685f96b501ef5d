package tests_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runProgram runs a built program and returns its exit code and combined output.
func runProgram(t *testing.T, name string, args ...string) (int, string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), filepath.Join("..", "out", "bin", name), args...).CombinedOutput()
	return exitCode(err), string(out)
}

func TestEveryProgramAcceptsFilesOfFleetInit(t *testing.T) {
	dir := t.TempDir()
	samples, fleet := filepath.Join(dir, "samples"), filepath.Join(dir, "fleet")
	steps := []struct {
		name string
		args []string
	}{
		{"lentilctl", []string{"fleet", "sample", "--dir", samples}},
		{"lentilctl", []string{"fleet", "init", "--plan", filepath.Join(samples, "plan.jsonc"), "--dir", fleet}},
		{"lentilctl", []string{"inventory", "check", filepath.Join(fleet, "inventory.jsonc")}},
		{"lentilctl", []string{"fleet", "expiry", "--dir", fleet}},
		{"lentilctl", []string{"fleet", "renew", "--dir", fleet, "entry-1"}},
		{"lentil-control", []string{"check-config", filepath.Join(fleet, "instances", "control-1", "settings.jsonc")}},
		{"lentil-entry", []string{"check-config", filepath.Join(fleet, "instances", "entry-1", "settings.jsonc")}},
		{"lentil-control", []string{"check-config", "../control/sample-settings.jsonc"}},
		{"lentil-entry", []string{"check-config", "../entry/sample-settings.jsonc"}},
		{"lentil-bench", []string{"check-config", "../bench/samples/database.jsonc"}},
		{"lentil-bench", []string{"check-config", "--faults", "../bench/samples/faults.jsonc"}},
		{"lentilctl", []string{"completion", "bash"}},
	}
	for _, step := range steps {
		if code, out := runProgram(t, step.name, step.args...); code != 0 {
			t.Errorf("%s %v: exit code %d: %s", step.name, step.args, code, out)
		}
	}
}

func TestEveryProgramRefusesABrokenSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte("{\"nmae\": 1,}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"lentil-control", "lentil-entry", "lentil-bench"} {
		if code, out := runProgram(t, name, "check-config", path); code <= 0 {
			t.Errorf("%s: exit code %d: %s", name, code, out)
		}
	}
}
