package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/bench/internal/report"
)

// errViolations is returned when the checker found violations, so that the program exits with an error.
var errViolations = errors.New("the checker found violations")

const demoDuration = 20 * time.Second

// demoPlan kills a primary, withdraws an API key and changes a route's maximum staleness.
const demoPlan = `{
  "faults": [
    // The primary of a slot is killed and restarted later with its data.
    {"at": "5s", "kind": "killPrimary", "service": "inventario-1", "slot": 0, "for": "6s"},
    {"at": "9s", "kind": "withdrawKey", "workspace": "florists"},
    {"at": "13s", "kind": "changeRule", "route": "lookup", "maxStaleness": "800ms"},
  ],
}`

func newDemo() *cobra.Command {
	var bin, out string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the Tres Ríos fleet under load with faults, and check the results",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, err := experiment.ParsePlan([]byte(demoPlan))
			if err != nil {
				return err
			}
			return runExperiment(cmd, experiment.Options{
				Scenario: experiment.ScenarioTresRios, BinDir: bin, OutDir: out, Plan: plan, Seed: 1, Duration: demoDuration,
			})
		},
	}
	addDirFlags(cmd, &bin, &out, "out/demo")
	return cmd
}

func addDirFlags(cmd *cobra.Command, bin, out *string, defaultOut string) {
	cmd.Flags().StringVar(bin, "bin", "out/bin", "directory of the programs")
	cmd.Flags().StringVar(out, "out", defaultOut, "directory for the results; earlier results in it are removed")
}

// runExperiment runs one experiment in an emptied results directory; SIGINT or SIGTERM ends it.
func runExperiment(cmd *cobra.Command, options experiment.Options) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options.Progress = cmd.OutOrStdout()
	if err := prepareResultsDir(options.OutDir); err != nil {
		return err
	}
	return checkExperiment(ctx, cmd.OutOrStdout(), options)
}

// checkExperiment runs one experiment and prints its summary. It returns errViolations if the checker found violations.
func checkExperiment(ctx context.Context, w io.Writer, options experiment.Options) error {
	summary, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.WriteSummary(w, summary); err != nil {
		return err
	}
	fmt.Fprintln(w, "results:", filepath.Join(options.OutDir, experiment.SummaryFile), filepath.Join(options.OutDir, experiment.ReportFile))
	if n := summary.Broken(); n > 0 {
		return fmt.Errorf("%w: %d", errViolations, n)
	}
	return nil
}

// resultsMarker is a file that marks a results directory, which may be emptied.
const resultsMarker = ".lentil-bench"

var errNotResults = errors.New("the directory contains files that are not results; empty it or choose another one")

// prepareResultsDir creates the results directory or removes earlier results from it. It fails if the directory contains anything
// else.
func prepareResultsDir(path string) error {
	files, err := os.ReadDir(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if len(files) > 0 {
		if _, err := os.Stat(filepath.Join(path, resultsMarker)); err != nil {
			return fmt.Errorf("%w: %s", errNotResults, path)
		}
		if err := os.RemoveAll(path); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(path, resultsMarker), nil, 0o640)
}
