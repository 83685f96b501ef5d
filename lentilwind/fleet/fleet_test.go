package fleet_test

import (
	"bytes"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/fleet"
)

func TestSupersedes(t *testing.T) {
	old := fleet.Server{Name: "a", Incarnation: 5, Sequence: 7}
	for name, c := range map[string]struct {
		next fleet.Server
		want bool
	}{
		"the next announcement":                       {fleet.Server{Incarnation: 5, Sequence: 8}, true},
		"a repeated announcement":                     {fleet.Server{Incarnation: 5, Sequence: 7}, false},
		"a late announcement of the same incarnation": {fleet.Server{Incarnation: 5, Sequence: 6}, false},
		"the first announcement of a new incarnation": {fleet.Server{Incarnation: 6, Sequence: 1}, true},
		"a late announcement of a former incarnation": {fleet.Server{Incarnation: 4, Sequence: 99}, false},
		"deregistration of the same incarnation":      {fleet.Server{Incarnation: 5, Gone: true}, true},
		"late deregistration of a former incarnation": {fleet.Server{Incarnation: 4, Gone: true}, false},
	} {
		if got := c.next.Supersedes(old); got != c.want {
			t.Errorf("%s: Supersedes returned %v", name, got)
		}
	}
}

func TestDocumentPreservesBody(t *testing.T) {
	body := bytes.Repeat([]byte(`{"a": 1}  `), 20000)
	document, err := fleet.CompressDocument(7, body)
	if err != nil {
		t.Fatal(err)
	}
	if len(document.Body) > len(body)/10 {
		t.Errorf("%d bytes were compressed to %d", len(body), len(document.Body))
	}
	if got, err := document.Decompress(); err != nil || !bytes.Equal(got, body) {
		t.Errorf("the decompressed body differs: %v", err)
	}
	if _, err := (fleet.Document{Version: 7, Body: []byte("no such thing")}).Decompress(); err == nil {
		t.Error("a damaged document was decompressed without an error")
	}
}

// Guards against drain times that begin when an entry hears of them: its clock starts at the announcement, and never after it.
func TestSetLeavingSince(t *testing.T) {
	requested := time.Now()
	roster := fleet.Roster{Servers: []fleet.Server{
		{Name: "known", Leaving: true, LeavingFor: 3 * time.Second}, {Name: "unknown", Leaving: true}, {Name: "staying", LeavingFor: time.Second},
	}}
	roster.SetLeavingSince(requested)
	for i, want := range []time.Time{requested.Add(-3 * time.Second), {}, {}} {
		if got := roster.Servers[i].LeavingSince; !got.Equal(want) {
			t.Errorf("%s has been leaving since %v, want %v", roster.Servers[i].Name, got, want)
		}
	}
}
