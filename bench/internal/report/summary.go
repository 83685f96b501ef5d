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

// metric is one figure of a summary.
type metric struct {
	Name  string
	Value float64
}

// Text formats the value with no more digits than it has.
func (m metric) Text() string { return format(m.Value) }

func format(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

func promises(s *checker.Summary) []metric {
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

func measures(s *checker.Summary) []metric {
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

// WriteSummary prints a summary for people.
func WriteSummary(w io.Writer, s *checker.Summary) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range slices.Concat(promises(s), measures(s)) {
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

// ErrNoSummary tells that a folder holds no result.
var ErrNoSummary = errors.New("report: no summary.json in the folder or right below it")

// ReadSummaries reads the result in a folder, or those in the folders right below it.
func ReadSummaries(folder string) ([]*checker.Summary, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "summary.json"))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	below, err := filepath.Glob(filepath.Join(folder, "*", "summary.json"))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var list []*checker.Summary
	for _, path := range append(paths, below...) {
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
		return nil, fmt.Errorf("%w: %s", ErrNoSummary, folder)
	}
	return list, nil
}

// WriteComparison prints two sets of runs side by side: the median of each figure and its spread.
func WriteComparison(w io.Writer, a, b []*checker.Summary) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "figure\tA (%d runs)\tB (%d runs)\n", len(a), len(b))
	left, right := columns(a), columns(b)
	for i := range left {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", left[i].name, left[i].text(), right[i].text())
	}
	return tw.Flush()
}

// column is one figure over several runs.
type column struct {
	name   string
	values []float64
}

func columns(runs []*checker.Summary) []column {
	var list []column
	for n, s := range runs {
		for i, m := range slices.Concat(promises(s), measures(s)) {
			if n == 0 {
				list = append(list, column{name: m.Name})
			}
			list[i].values = append(list[i].values, m.Value)
		}
	}
	return list
}

func (c column) text() string {
	slices.Sort(c.values)
	median := c.values[len(c.values)/2]
	if len(c.values) == 1 {
		return format(median)
	}
	return fmt.Sprintf("%s [%s .. %s]", format(median), format(c.values[0]), format(c.values[len(c.values)-1]))
}
