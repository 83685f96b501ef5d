package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentilwind.dev/bench/internal/command"
)

func run(args ...string) (string, error) {
	root := command.New()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

func TestSampleFilesAreValid(t *testing.T) {
	for _, args := range [][]string{
		{"check-config", "../../samples/database.jsonc"},
		{"check-config", "--faults", "../../samples/faults.jsonc"},
		{"check-config", "--faults", "../../samples/failovers.jsonc"},
		{"check-config", "--faults", "../../samples/planned-stops.jsonc"},
	} {
		if out, err := run(args...); err != nil || !strings.Contains(out, "no faults") {
			t.Errorf("%v: %q, %v", args, out, err)
		}
	}
}

func TestCheckConfigReportsLineOfUnknownField(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(path, []byte("{\n  \"service\": \"s\",\n  \"colour\": 1\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("check-config", path); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got %v, want an error with the line number", err)
	}
}

func TestDemoKeepsDirectoryWithOtherFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "precious")
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("demo", "--out", dir, "--bin", dir); err == nil {
		t.Error("demo accepted a directory with other files")
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the file was removed: %v", err)
	}
}
