package report_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/report"
)

func TestWriteHTMLShowsFindingsAndPlots(t *testing.T) {
	start := time.Date(2030, 1, 1, 5, 0, 0, 0, time.UTC)
	run := &checker.Run{
		Quotas: []checker.Quota{{Workspace: "florists", Rate: 10, Burst: 10}},
		Faults: []history.Fault{{Time: start.Add(time.Second), Done: start.Add(time.Second), Kind: "kill", Target: "inv1-a"}},
	}
	for i := range 40 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		run.Requests = append(run.Requests, history.Request{
			ID: "lost-one", Workspace: "florists", Service: "inventario-1", Path: history.PathEntry, Route: "order", Write: true,
			Scheduled: at, Invoked: at, Completed: at.Add(3 * time.Millisecond), Outcome: history.OutcomeOK,
		})
	}
	var page bytes.Buffer
	if err := report.WriteHTML(&page, "tres-rios, seed 1", run, checker.Check(run)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"tres-rios, seed 1", "lost-one", "inv1-a", "Reads served by replicas"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != 5 {
		t.Errorf("page has %d plots, want 5", n)
	}
	if strings.Contains(page.String(), "<?xml") || strings.Contains(page.String(), "src=") {
		t.Error("page contains an XML declaration or refers to another resource")
	}
}

func TestWriteComparisonShowsMedianAndSpread(t *testing.T) {
	dir := t.TempDir()
	for seed, gap := range map[string]int64{"seed-1": 300, "seed-2": 500, "seed-3": 400} {
		data, err := json.Marshal(checker.Summary{FailoverGapMs: gap})
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, seed, "summary.json")
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o750), os.WriteFile(path, data, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	many, err := report.ReadSummaries(dir)
	if err != nil {
		t.Fatal(err)
	}
	one, err := report.ReadSummaries(filepath.Join(dir, "seed-1"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := report.WriteComparison(&out, one, many); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "300") || !strings.Contains(out.String(), "400 [300 .. 500]") {
		t.Errorf("got comparison\n%s\nwant 300 and 400 [300 .. 500]", out.String())
	}
	if _, err := report.ReadSummaries(t.TempDir()); !errors.Is(err, report.ErrNoSummary) {
		t.Errorf("got error %v for an empty directory, want ErrNoSummary", err)
	}
}
