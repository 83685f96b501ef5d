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

// errBroken makes the exit code tell that promises were broken.
var errBroken = errors.New("promises were broken")

const demoDuration = 20 * time.Second

// demoPlan kills a primary, withdraws a key and changes a rule.
const demoPlan = `{
  "faults": [
    // The primary of a slot vanishes and comes back later with what it had.
    {"at": "5s", "kind": "killPrimary", "service": "inventario-1", "slot": 0, "for": "6s"},
    {"at": "9s", "kind": "withdrawKey", "workspace": "florists"},
    {"at": "13s", "kind": "changeRule", "route": "lookup", "maxStaleness": "800ms"},
  ],
}`

func newDemo() *cobra.Command {
	var bin, out string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the Tres Ríos fleet under load and faults, and judge it",
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
	addFolders(cmd, &bin, &out, "out/demo")
	return cmd
}

func addFolders(cmd *cobra.Command, bin, out *string, defaultOut string) {
	cmd.Flags().StringVar(bin, "bin", "out/bin", "folder with the programs")
	cmd.Flags().StringVar(out, "out", defaultOut, "folder for the results; what it holds is removed")
}

// runExperiment runs one experiment and prints its table.
func runExperiment(cmd *cobra.Command, options experiment.Options) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options.Progress = cmd.OutOrStdout()
	if err := emptyFolder(options.OutDir); err != nil {
		return err
	}
	return judgeExperiment(ctx, cmd.OutOrStdout(), options)
}

func judgeExperiment(ctx context.Context, w io.Writer, options experiment.Options) error {
	summary, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.Table(w, summary); err != nil {
		return err
	}
	fmt.Fprintln(w, "results:", filepath.Join(options.OutDir, experiment.SummaryFile), filepath.Join(options.OutDir, experiment.ReportFile))
	if n := summary.Broken(); n > 0 {
		return fmt.Errorf("%w: %d", errBroken, n)
	}
	return nil
}

// marker shows that a folder is one of results, which may be emptied.
const marker = ".lentil-bench"

var errForeignFolder = errors.New("the folder holds files that are no results; empty it or name another one")

// emptyFolder removes earlier results and refuses to remove anything else.
func emptyFolder(path string) error {
	files, err := os.ReadDir(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if len(files) > 0 {
		if _, err := os.Stat(filepath.Join(path, marker)); err != nil {
			return fmt.Errorf("%w: %s", errForeignFolder, path)
		}
		if err := os.RemoveAll(path); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(path, marker), nil, 0o640)
}
