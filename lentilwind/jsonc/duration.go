package jsonc

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "500ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration in the form used in documents.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes the duration from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("jsonc: a duration is text such as \"500ms\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("jsonc: %q is no duration; write for example \"500ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
