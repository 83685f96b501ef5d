package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"
)

// ResultsFile is the name of the JSON file that Run writes to Options.OutDir.
const ResultsFile = "slopes.json"

// Options configures Run.
type Options struct {
	// BinDir holds the programs, and OutDir receives the results.
	BinDir, OutDir string
	// SampleDuration is how long the leader is observed for each rate.
	SampleDuration time.Duration
	// Timeout limits each measurement, over all of its sizes.
	Timeout time.Duration
	// Measurements holds the names of the measurements to run; empty runs all.
	Measurements []string
}

type measurement struct {
	name string
	run  func(context.Context, Options) ([]Series, error)
}

var measurements = []measurement{
	{"renewals", func(ctx context.Context, o Options) ([]Series, error) {
		return MeasureRenewals(ctx, o, []int{50, 200, 600})
	}},
	{"announcements", func(ctx context.Context, o Options) ([]Series, error) {
		return MeasureAnnouncements(ctx, o, []int{90, 450, 1400})
	}},
	{"journal", func(ctx context.Context, o Options) ([]Series, error) { return MeasureJournal(ctx, o, []int{3, 5, 7}) }},
	{"callers", func(ctx context.Context, o Options) ([]Series, error) {
		return MeasureCallers(ctx, o, []int{1000, 5000, 10000}, []int{8000, 16000, 32000})
	}},
	{"inventory", func(context.Context, Options) ([]Series, error) { return MeasureDeltas([]int{90, 450, 1400}), nil }},
}

// Run runs the measurements, prints the table of each when it is done and writes all series to ResultsFile. A failed
// measurement does not stop the others.
func Run(ctx context.Context, w io.Writer, options Options) error {
	results := struct {
		Span   string   `json:"span"`
		Series []Series `json:"series"`
		Failed []string `json:"failed"`
	}{Span: options.SampleDuration.String(), Failed: []string{}}
	for _, m := range measurements {
		if len(options.Measurements) > 0 && !strings.Contains(strings.Join(options.Measurements, " "), m.name) {
			continue
		}
		timeoutCtx, cancel := context.WithTimeout(ctx, options.Timeout)
		series, err := m.run(timeoutCtx, options)
		cancel()
		if err != nil {
			fmt.Fprintf(w, "%s failed: %v\n", m.name, err)
			results.Failed = append(results.Failed, m.name)
			continue
		}
		results.Series = append(results.Series, series...)
		if err := WriteTable(w, series); err != nil {
			return err
		}
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if err := os.WriteFile(filepath.Join(options.OutDir, ResultsFile), data, 0o640); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if len(results.Failed) > 0 {
		return fmt.Errorf("slopes: measurements failed: %s", strings.Join(results.Failed, ", "))
	}
	return nil
}

// WriteTable writes series as a table with their points, fitted lines and residuals.
func WriteTable(w io.Writer, series []Series) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g per %s\t+ %.4g\tresidual %.3g\n",
			s.Measurement, s.Quantity, strings.Join(points, "  "), s.Slope, s.SizeUnit, s.Intercept, s.Residual)
	}
	return table.Flush()
}
