package command

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/bench/internal/report"
)

const defaultDuration = 30 * time.Second

func newRun() *cobra.Command {
	var options experiment.Options
	var scenario, faultsPath string
	var repeat int
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a fleet under the load of a scenario with a fault plan, and write a report",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Scenario = experiment.Scenario(scenario)
			if faultsPath != "" {
				plan, err := experiment.ReadPlan(faultsPath)
				if err != nil {
					return err
				}
				options.Plan = plan
			}
			return runRepeated(cmd, options, repeat)
		},
	}
	addDirFlags(cmd, &options.BinDir, &options.OutDir, "out/run")
	cmd.Flags().StringVar(&scenario, "scenario", string(experiment.ScenarioTresRios), "tres-rios or clydeside")
	cmd.Flags().StringVar(&faultsPath, "faults", "", "fault plan, JSON with comments")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the arrival times and random choices")
	cmd.Flags().DurationVar(&options.Duration, "duration", defaultDuration, "duration of the load")
	cmd.Flags().BoolVar(&options.Relays, "network", true, "run relays between the processes that add network delays")
	cmd.Flags().IntVar(&repeat, "repeat", 1, "number of runs, each with the next seed and its own results directory")
	return cmd
}

func runRepeated(cmd *cobra.Command, options experiment.Options, repeat int) error {
	if repeat <= 1 {
		return runExperiment(cmd, options)
	}
	out := options.OutDir
	for range repeat {
		options.OutDir = filepath.Join(out, fmt.Sprintf("seed-%d", options.Seed))
		if err := runExperiment(cmd, options); err != nil {
			return err
		}
		options.Seed++
	}
	return nil
}

func newCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Show the metrics of two results, or of two sets of repeated runs, side by side",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.ReadSummaries(args[0])
			if err != nil {
				return err
			}
			b, err := report.ReadSummaries(args[1])
			if err != nil {
				return err
			}
			return report.WriteComparison(cmd.OutOrStdout(), a, b)
		},
	}
}
