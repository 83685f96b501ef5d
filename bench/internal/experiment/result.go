package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/report"
)

// The result files.
const (
	requestsFile  = "requests.jsonl"
	databasesFile = "databases.jsonl"
	finalFile     = "final.jsonl"
	faultsFile    = "faults.jsonl"
	// SummaryFile contains the checker's summary.
	SummaryFile = "summary.json"
	// ReportFile is the HTML report.
	ReportFile = "report.html"
)

// writeResults reads the events that the databases recorded, checks the run and writes the results.
func (e *experiment) writeResults() (*checker.Summary, error) {
	for _, d := range e.fleet.Databases {
		events, err := history.Read[history.DatabaseEvent](d.RecordFile)
		if err != nil {
			return nil, err
		}
		e.run.DatabaseEvents = append(e.run.DatabaseEvents, events...)
	}
	summary := checker.Check(&e.run)
	err := errors.Join(
		writeAll(filepath.Join(e.OutDir, databasesFile), e.run.DatabaseEvents),
		writeAll(filepath.Join(e.OutDir, finalFile), e.run.FinalJournals),
		writeAll(filepath.Join(e.OutDir, faultsFile), e.run.Faults),
		writeSummary(filepath.Join(e.OutDir, SummaryFile), summary),
		e.writeReport(summary),
	)
	return summary, err
}

func writeAll[T any](path string, records []T) error {
	w, err := history.Create[T](path)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := w.Add(r); err != nil {
			return errors.Join(err, w.Close())
		}
	}
	return w.Close()
}

func writeSummary(path string, summary *checker.Summary) error {
	data, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o640); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

func (e *experiment) writeReport(summary *checker.Summary) error {
	file, err := os.Create(filepath.Join(e.OutDir, ReportFile))
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	title := fmt.Sprintf("%s, seed %d, %s", e.Scenario, e.Seed, e.Duration)
	return errors.Join(report.WriteHTML(file, title, &e.run, summary), file.Close())
}
