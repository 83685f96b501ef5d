package timeline_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilctl/internal/timeline"
	"lentilwind.dev/lentilwind/hlc"
)

func writeEvents(t *testing.T, path string, list ...events.Event) {
	t.Helper()
	var data []byte
	for _, e := range list {
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		data = append(append(data, line...), '\n')
	}
	if err := os.WriteFile(path, append(data, `{"clock": 12, "cut o`...), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestEventsAreCausallyOrderedDespiteClockSkew(t *testing.T) {
	dir := t.TempDir()
	ahead, behind := time.UnixMilli(100_000), time.UnixMilli(50_000)
	var first, second hlc.Clock
	cause := first.Now(ahead)
	second.Observe(behind, cause)
	effect := second.Now(behind)
	writeEvents(t, filepath.Join(dir, "a.events.jsonl"),
		events.Event{Clock: effect, Time: behind, Instance: "a", Kind: events.KindPrimaryPromoted, Service: "s"})
	writeEvents(t, filepath.Join(dir, "b.events.jsonl"),
		events.Event{Clock: cause, Time: ahead, Instance: "b", Kind: events.KindTermBegun, Service: "s"})
	merged, err := timeline.ReadFiles([]string{filepath.Join(dir, "a.events.jsonl"), filepath.Join(dir, "b.events.jsonl")},
		timeline.Filter{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	if len(merged.Events) != 2 || merged.Events[0].Kind != events.KindTermBegun || merged.Unreadable != 2 {
		t.Errorf("got %+v", merged)
	}
}

const logText = `starting up
  33.9 entry-1 {"time":"2026-07-11T17:46:05.9Z","level":"info","instance":"entry-1","request":"a1","earlier":["a0"],"workspace":"w","reason":"quota","outcome":"overloaded","version":4,"message":"requestRefused"}
{"time":"2026-07-11T17:46:05.5Z","level":"info","instance":"control-2","term":3,"leader":"control-2","self":true,"message":"leaderChanged"}
{"time":"2026-07-11T17:46:01.5Z","level":"info","instance":"control-1","term":2,"leader":"control-1","self":true,"message":"leaderChanged"}
{"time":"2026-07-11T17:46:05.8Z","level":"info","instance":"entry-2","request":"b2","outcome":"unknown","message":"requestFailed"}
{"time":"2026-07-11T17:46:05.8Z","cut o`

func TestRequestFilterIncludesNearbyFleetEvents(t *testing.T) {
	path := filepath.Join(t.TempDir(), "all.log")
	if err := os.WriteFile(path, []byte(logText), 0o600); err != nil {
		t.Fatal(err)
	}
	merged, err := timeline.ReadFiles([]string{path}, timeline.Filter{Request: "a0", Around: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	var kinds []events.Kind
	for _, e := range merged.Events {
		kinds = append(kinds, e.Kind)
	}
	if diff := cmp.Diff([]events.Kind{"leaderChanged", "requestRefused"}, kinds); diff != "" {
		t.Error(diff)
	}
	if merged.Unreadable != 1 {
		t.Errorf("%d lines could not be read, want 1", merged.Unreadable)
	}
	if refused := merged.Events[len(merged.Events)-1]; refused.Detail != "earlier=[a0] outcome=overloaded reason=quota" || refused.Revision != 4 {
		t.Errorf("got %+v", refused)
	}
}
