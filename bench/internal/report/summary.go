package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"

	"lentilwind.dev/bench/checker"
)

// metric is a named number of a summary.
type metric struct {
	Name  string
	Value float64
}

// Text formats the value as an integer if it is whole, and with three decimals otherwise.
func (m metric) Text() string { return formatValue(m.Value) }

func formatValue(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

// guaranteeMetrics returns the number of violations of each guarantee.
func guaranteeMetrics(s *checker.Summary) []metric {
	return []metric{
		{"lostWrites", float64(s.LostWrites)},
		{"doubledWrites", float64(s.DoubledWrites)},
		{"staleReads", float64(s.StaleReads)},
		{"mixedWorkspaces", float64(s.MixedWorkspaces)},
		{"keyLeaks", float64(s.KeyLeaks)},
		{"overQuota", float64(s.OverQuota)},
		{"falseNotRun", float64(s.FalseNotRun)},
		{"withdrawnKeys", float64(s.WithdrawnKeys)},
		{"cutOffRequests", float64(s.CutOffRequests)},
	}
}

func measurementMetrics(s *checker.Summary) []metric {
	return []metric{
		{"requests", float64(s.Requests)},
		{"replicaReadShare", s.ReplicaReadShare},
		{"wrongfulRefusals", float64(s.WrongfulRefusals)},
		{"failovers", float64(len(s.Failovers))},
		{"failoverGapP50Ms", float64(s.FailoverGapP50Ms)},
		{"failoverGapMs", float64(s.FailoverGapMs)},
		{"worstWorkspaceShare", s.WorstWorkspaceShare},
		{"addedLatencyUs p50", float64(s.AddedLatencyUs.P50)},
		{"addedLatencyUs p99", float64(s.AddedLatencyUs.P99)},
	}
}

// WriteSummary writes a summary as a table of text.
func WriteSummary(w io.Writer, s *checker.Summary) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range slices.Concat(guaranteeMetrics(s), measurementMetrics(s)) {
		fmt.Fprintf(tw, "%s\t%s\n", m.Name, m.Text())
	}
	for _, skipped := range s.Skipped {
		fmt.Fprintf(tw, "skipped\t%s\n", skipped)
	}
	for _, f := range s.Findings {
		fmt.Fprintf(tw, "broken\t%s %s: %s\n", f.Promise, f.Request, f.Detail)
	}
	return tw.Flush()
}

// ErrNoSummary reports that a directory holds no summary.json.
var ErrNoSummary = errors.New("report: no summary.json in the directory or its immediate subdirectories")

// ReadSummaries reads the summaries of the runs in a directory and in its immediate subdirectories.
func ReadSummaries(dir string) ([]*checker.Summary, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "summary.json"))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	inSubdirs, err := filepath.Glob(filepath.Join(dir, "*", "summary.json"))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var list []*checker.Summary
	for _, path := range append(paths, inSubdirs...) {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		var s checker.Summary
		if err := json.Unmarshal(data, &s); err != nil {
			return nil, fmt.Errorf("report: %s: %w", path, err)
		}
		list = append(list, &s)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNoSummary, dir)
	}
	return list, nil
}

// WriteComparison writes a table of two sets of runs side by side: the median of each metric, with the lowest and highest
// value if there are several runs.
func WriteComparison(w io.Writer, a, b []*checker.Summary) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "figure\tA (%d runs)\tB (%d runs)\n", len(a), len(b))
	samplesA, samplesB := collectSamples(a), collectSamples(b)
	for i := range samplesA {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", samplesA[i].name, samplesA[i].summary(), samplesB[i].summary())
	}
	return tw.Flush()
}

// metricSamples holds the values of one metric in several runs.
type metricSamples struct {
	name   string
	values []float64
}

func collectSamples(runs []*checker.Summary) []metricSamples {
	var list []metricSamples
	for n, s := range runs {
		for i, m := range slices.Concat(guaranteeMetrics(s), measurementMetrics(s)) {
			if n == 0 {
				list = append(list, metricSamples{name: m.Name})
			}
			list[i].values = append(list[i].values, m.Value)
		}
	}
	return list
}

func (samples metricSamples) summary() string {
	slices.Sort(samples.values)
	median := samples.values[len(samples.values)/2]
	if len(samples.values) == 1 {
		return formatValue(median)
	}
	return fmt.Sprintf("%s [%s .. %s]", formatValue(median), formatValue(samples.values[0]), formatValue(samples.values[len(samples.values)-1]))
}
