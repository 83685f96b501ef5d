package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"lentilwind.dev/lentilwind/jsonc"
)

// Validated is a settings struct with defaults and validation rules.
type Validated interface {
	// ApplyDefaults sets the fields that the file omits.
	ApplyDefaults()
	// Check returns every problem with its JSON pointer.
	Check() []jsonc.Problem
}

// Read decodes a file of JSON with comments into target; if the file is refused, the error wraps a *jsonc.Error with every problem.
func Read(path string, target Validated) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := Parse(data, target); err != nil {
		return fmt.Errorf("settings: %s: %w", path, err)
	}
	return nil
}

// Parse decodes the text of a settings file into target.
func Parse(data []byte, target Validated) error {
	doc, err := jsonc.Parse(data)
	if err != nil {
		return err
	}
	var problems []jsonc.Problem
	if err := doc.Decode(target); err != nil {
		var refused *jsonc.Error
		if !errors.As(err, &refused) {
			return err
		}
		problems = append(problems, refused.Problems...)
	}
	target.ApplyDefaults()
	problems = append(problems, target.Check()...)
	return doc.NewError(problems)
}

// CheckAddress returns a problem if the value is not an IP address with a port.
func CheckAddress(pointer, value string) []jsonc.Problem {
	if _, err := netip.ParseAddrPort(value); err == nil {
		return nil
	}
	return []jsonc.Problem{{
		Pointer: pointer,
		Message: fmt.Sprintf("%q is no IP address with a port", value),
		Remedy:  `write for example "127.0.0.1:7000"`,
	}}
}

// CheckRequired returns a problem if the value is empty.
func CheckRequired(pointer, value, remedy string) []jsonc.Problem {
	if value != "" {
		return nil
	}
	return []jsonc.Problem{{Pointer: pointer, Message: "a value is missing at " + pointer, Remedy: remedy}}
}

// ResolvePath resolves a relative path from a settings file against the directory of that file.
func ResolvePath(settingsFile, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(settingsFile), path)
}
