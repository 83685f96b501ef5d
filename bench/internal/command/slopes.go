package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/bench/internal/slopes"
)

const (
	defaultSpan  = 5 * time.Second
	defaultLimit = 2 * time.Minute
)

func newSlopes() *cobra.Command {
	var options slopes.Options
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how the resource use of each role grows with the size of a fleet",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runSlopes(ctx, cmd, options)
		},
	}
	addDirFlags(cmd, &options.BinDir, &options.OutDir, "out/slopes")
	cmd.Flags().DurationVar(&options.SampleDuration, "span", defaultSpan, "duration of each rate measurement")
	cmd.Flags().DurationVar(&options.Timeout, "limit", defaultLimit, "timeout of each measurement")
	cmd.Flags().StringSliceVar(&options.Measurements, "only", nil, "measurements to run: renewals, announcements, journal, callers, inventory")
	return cmd
}

func runSlopes(ctx context.Context, cmd *cobra.Command, options slopes.Options) error {
	if err := prepareResultsDir(options.OutDir); err != nil {
		return err
	}
	return slopes.Run(ctx, cmd.OutOrStdout(), options)
}
