package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/lentilwind/jsonc"
)

func TestSampleSettingsAreValid(t *testing.T) {
	s, err := settings.Read("../../sample-settings.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Members) != 3 || s.DataFolder != filepath.Join("..", "..", "data", "control-1") {
		t.Errorf("got %+v", s)
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	text := `{"name": "a", "listen": {"peers": "here"}, "colour": 1, "members": [{"name": "b", "address": "127.0.0.1:1"}]}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := settings.Read(path)
	var invalid *jsonc.Error
	if !errors.As(err, &invalid) || len(invalid.Problems) != 9 {
		t.Errorf("got %v", err)
	}
}
