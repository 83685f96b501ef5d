package timeline_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

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

func TestCausesStandBeforeEffectsAcrossSkewedClocks(t *testing.T) {
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
	story, err := timeline.ReadFiles([]string{filepath.Join(dir, "a.events.jsonl"), filepath.Join(dir, "b.events.jsonl")},
		timeline.Filter{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	if len(story.Events) != 2 || story.Events[0].Kind != events.KindTermBegun || story.Unreadable != 2 {
		t.Errorf("got %+v", story)
	}
}
