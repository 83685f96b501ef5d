package settings_test

import (
	"errors"
	"path/filepath"
	"testing"

	"lentilwind.dev/entry/internal/settings"
	instance "lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilwind/jsonc"
)

func TestSampleSettingsAreValid(t *testing.T) {
	s, err := settings.Read(filepath.Join("..", "..", "sample-settings.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Identity.Authority != filepath.Join("..", "..", "authority.pem") || len(s.PlainTextPrefixes()) != 1 {
		t.Errorf("got %+v", s)
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	var s settings.Settings
	err := instance.Parse([]byte(`{"naem": "a", "listen": {"callers": "here"}, "control": ["x"], "plainTextNetworks": ["127.0.0.1"],
		"limits": {"callers": -1}}`), &s)
	var settingsErr *jsonc.Error
	if !errors.As(err, &settingsErr) {
		t.Fatalf("got %v", err)
	}
	found := make(map[string]bool)
	for _, p := range settingsErr.Problems {
		found[p.Pointer] = true
	}
	for _, want := range []string{"/naem", "/name", "/listen/callers", "/control/0", "/plainTextNetworks/0", "/limits/callers", "/sessionSecretFile"} {
		if !found[want] {
			t.Errorf("no problem at %s in %v", want, err)
		}
	}
}
